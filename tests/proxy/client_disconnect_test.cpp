// Clients that leave: what may be repeated ends with them, what may not goes on, and nothing is begun for them.
#include <criterion/criterion.h>

#include <csignal>

#include "support/proxy_fixture.hpp"
#include "transport/socket_options.hpp"

using namespace dockbend;
using namespace dockbend::test;

namespace {
/// A client's connection as bare bytes, so that it can leave in each way.
class BareClient {
 public:
  explicit BareClient(u32 port) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    std::signal(SIGPIPE, SIG_IGN);  // as in every program: an answer may be written to a client that is gone
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<in_port_t>(port));
    cr_assert_eq(connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
  }
  ~BareClient() { leave(); }
  BareClient(BareClient const&) = delete;

  void send(std::string const& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      ssize_t const count = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      cr_assert_gt(count, 0);
      sent += static_cast<std::size_t>(count);
    }
  }
  void leave() {
    if (socket_ >= 0) close(std::exchange(socket_, -1));
  }
  void leave_by_reset() {
    reset_on_close(socket_);
    leave();
  }
  void half_close() { shutdown(socket_, SHUT_WR); }

 private:
  int socket_;
};

std::string request_of(char const* method, char const* path, char const* attempt_id, std::string const& body = "") {
  return std::string(method) + " " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + attempt_id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A client's request is at work at a server.
struct RequestAtWork {
  explicit RequestAtWork(evhttp_cmd_type method = EVHTTP_REQ_GET, char const* path = "/p/x",
                         std::string const& body = "") {
    fixture.add_server("i-1", server.port);
    fixture.ask(method, path, body);
    fixture.until([this] { return server.received() > 0; });
  }
  ProxyFixture fixture;
  ScriptedServer server{fixture.loop};
};

/// Nothing of a request is left: no slot, no load, and its server counts as healthy.
void expect_nothing_left(ProxyFixture& fixture) {
  cr_assert_eq(fixture.context.requests.size(), 0u);
  for (Endpoint const& endpoint : fixture.context.load_balancer.endpoints()) {
    cr_assert_eq(endpoint.in_flight, 0);
    cr_assert_eq(endpoint.connections, endpoint.idle_connections);
    cr_assert_eq(endpoint.ejections, 0, "its server has not failed");
    cr_assert_eq(endpoint.failure_share, 0);
  }
  cr_assert(fixture.context.failed_attempts.empty());
}
}  // namespace

// The proxy did not look at a client's connection before it wrote the answer: the server worked on for nobody.
Test(client_disconnect, repeatable_run_ends_with_its_client) {
  RequestAtWork at_work;
  ProxyFixture& fixture = at_work.fixture;
  fixture.leave();
  fixture.until([&] { return at_work.server.is_closed; });
  expect_nothing_left(fixture);
  cr_assert_eq(fixture.context.given_up[kClientDisconnected], 1u);
}

Test(client_disconnect, is_noticed_in_each_way_also_behind_a_next_request) {
  using Leave = void (*)(BareClient&);
  Leave const ways[] = {[](BareClient& client) { client.leave(); }, [](BareClient& client) { client.leave_by_reset(); },
                        [](BareClient& client) { client.half_close(); },
                        [](BareClient& client) {
                          client.send(request_of("GET", "/p/y", "a2"));
                          client.leave();
                        }};
  for (Leave const leave : ways) {
    ProxyFixture fixture;
    ScriptedServer server(fixture.loop);
    fixture.add_server("i-1", server.port);
    BareClient client(fixture.front.port);
    client.send(request_of("GET", "/p/x", "a1"));
    fixture.until([&] { return server.received() > 0; });
    leave(client);
    fixture.until([&] { return server.is_closed; });
    fixture.run_for(0.05);
    cr_assert_eq(server.accepted.size(), 1u, "the next request is not sent on");
    expect_nothing_left(fixture);
  }
}

// More than the watch reads of a next request lies between the request and the end of the connection.
Test(client_disconnect, is_found_behind_a_next_request_that_is_long) {
  ProxyFixture fixture;
  ScriptedServer server(fixture.loop);
  fixture.add_server("i-1", server.port);
  BareClient client(fixture.front.port);
  client.send(request_of("GET", "/p/x", "a1"));
  fixture.until([&] { return server.received() > 0; });
  client.send(request_of("POST", "/u/x", "a2", std::string(100000, 'b')));
  client.leave();
  fixture.run_for(0.05);
  cr_assert_not(server.is_closed);
  fixture.until([&] {
    fixture.driver.find_hidden_disconnects();
    return server.is_closed;
  });
  expect_nothing_left(fixture);
}

// The next request, longer than what is read of it meanwhile, waits in the connection's buffer, and is then served.
Test(client_disconnect, client_that_stays_is_served_with_its_next_request_in_the_pipe) {
  ProxyFixture fixture;
  fixture.amend(R"({"upsert":{"limits":{"bodyBytes":500000,"generation":"00000008"}},"remove":{"routes":[]}})");
  fixture.add_server("i-1", fixture.first.port);
  BareClient client(fixture.front.port);
  client.send(request_of("GET", "/p/x", "a1"));
  fixture.until([&] { return fixture.first.requests.size() == 1; });
  client.send(request_of("POST", "/u/x", "a2", std::string(300000, 'b')));
  fixture.run_for(0.05);
  fixture.first.answer();
  fixture.until([&] { return fixture.first.requests.size() == 1; });
  char const* const id =
      evhttp_find_header(evhttp_request_get_input_headers(fixture.first.requests.front()), "X-Attempt-Id");
  cr_assert_str_eq(id, "a2");
  fixture.first.answer();
  fixture.until([&] { return fixture.context.requests.size() == 0; });
  cr_assert_eq(fixture.context.given_up[kClientDisconnected], 0u);
}

// Request and disconnect lie in the proxy's socket when it comes to read them.
Test(client_disconnect, request_of_a_client_that_left_before_it_was_read_reaches_no_server) {
  for (char const* const path : {"/p/x", "/u/x"}) {
    ProxyFixture fixture;
    ScriptedServer server(fixture.loop);
    fixture.add_server("i-1", server.port);
    {
      BareClient client(fixture.front.port);
      client.send(request_of("POST", path, "a1", "body"));
    }
    fixture.until([&] { return fixture.context.given_up[kClientDisconnected] == 1; });
    fixture.run_for(0.05);
    cr_assert(server.accepted.empty());
    expect_nothing_left(fixture);
  }
}

Test(client_disconnect, upload_at_work_goes_on_and_its_answer_is_learned_from) {
  RequestAtWork at_work(EVHTTP_REQ_POST, "/u/x", "body");
  ProxyFixture& fixture = at_work.fixture;
  ScriptedServer& server = at_work.server;
  fixture.leave();
  fixture.until([&] { return fixture.context.runs_without_client == 1; });
  fixture.run_for(0.05);
  cr_assert_not(server.is_closed);
  server.answer("a1", kBody);
  fixture.until([&] { return fixture.context.requests.size() == 0; });
  expect_nothing_left(fixture);
  cr_assert_gt(fixture.context.load_balancer.endpoint(ServerIndex{0}).latency, 0);
}

Test(client_disconnect, both_hedged_attempts_end_with_their_client) {
  ProxyFixture fixture;
  fixture.hedge(fixture.second.port);
  fixture.until([&] { return fixture.second.requests.size() == 1; });
  fixture.leave();
  fixture.until([&] { return fixture.context.requests.size() == 0; });
  for (u32 const server : {0U, 1U}) {
    Endpoint const& endpoint = fixture.context.load_balancer.endpoint(ServerIndex{server});
    cr_assert_eq(endpoint.in_flight, 0);
    cr_assert_eq(endpoint.connections, 0);
  }
  cr_assert_eq(fixture.context.load_balancer.endpoint(ServerIndex{1}).ejections, 0);
}

// Nothing but the disconnect ends it: the watch leaves no limit on the client's silence behind.
Test(client_disconnect, silent_client_is_waited_for) {
  ProxyFixture fixture;
  evhttp_set_timeout(fixture.front.http, 1);
  fixture.add_server("i-1", fixture.first.port);
  fixture.ask();
  fixture.until([&] { return fixture.first.requests.size() == 1; });
  fixture.run_for(1.3);
  cr_assert_eq(fixture.context.requests.size(), 1u);
  fixture.first.answer();
  fixture.expect_answer();
}

// evhttp has its idle limit back once the answer is written.
Test(client_disconnect, idle_limit_holds_again_after_the_answer) {
  ProxyFixture fixture;
  fixture.amend(R"({"upsert":{"limits":{"idleTimeoutS":1,"generation":"00000008"}},"remove":{"routes":[]}})");
  fixture.add_server("i-1", fixture.first.port);
  fixture.ask();
  fixture.until([&] { return fixture.first.requests.size() == 1; });
  fixture.first.answer();
  fixture.expect_answer();
  bool is_closed = false;
  evhttp_connection_set_closecb(
      fixture.client, [](evhttp_connection*, void* flag) { *static_cast<bool*>(flag) = true; }, &is_closed);
  Seconds const answered_at = steady_now();
  fixture.until([&] { return is_closed; });
  cr_assert_lt(steady_now() - answered_at, 5);
}

// It was silent for longer than its idle limit while its request was at work; that ends nothing, and hides nothing.
Test(client_disconnect, is_noticed_after_a_long_silence) {
  ProxyFixture fixture;
  evhttp_set_timeout(fixture.front.http, 1);
  ScriptedServer server(fixture.loop);
  fixture.add_server("i-1", server.port);
  fixture.ask();
  fixture.until([&] { return server.received() > 0; });
  fixture.run_for(1.3);
  fixture.leave();
  fixture.until([&] { return server.is_closed; });
  expect_nothing_left(fixture);
}
