// A request's way through the assembled parts of the proxy, with two servers on the same event loop.
#include <criterion/criterion.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "proxy/request_driver.hpp"
#include "proxy/request_intake.hpp"
#include "proxy/service_routing.hpp"

using namespace dockbend;

namespace {

char const* const kConfiguration =
    R"({"upsert":{"limits":{"headerBytes":8192,"bodyBytes":50000,"headerDeadlineS":3,"idleTimeoutS":15,"generation":"00000007"},
"sockets":[{"host":"a.example","policy":[{"name":"r1","kind":"idempotent","setpointS":0.02,"rank":0,"generation":"00000007",
"selector":{"pathPrefix":"/p/"},"actuation":{"service":"s1","deadlineS":20,"maxTries":2,"homeRegions":[]}}]}],
"pools":[{"name":"s1","healthPath":"/health","connLimit":110,"selfDedupes":false,"coldS":3.0,"coldRateS":9.9,"generation":"00000007"}]},
"remove":{"routes":[]}})";
char const* const kBody = "the server's bytes";

u32 port_of(evutil_socket_t socket) {
  sockaddr_in address{};
  socklen_t length = sizeof address;
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

/// An HTTP server on a free port of 127.0.0.1 that keeps what it is asked.
struct KeepingServer {
  explicit KeepingServer(event_base* loop) : http(evhttp_new(loop)) {
    evhttp_set_gencb(
        http, [](evhttp_request* request, void* self) { static_cast<KeepingServer*>(self)->on_request(request); },
        this);
    evhttp_bound_socket* const socket = evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);
    cr_assert(socket != nullptr);
    port = port_of(evhttp_bound_socket_get_fd(socket));
  }
  ~KeepingServer() { evhttp_free(http); }
  void on_request(evhttp_request* request) { handle ? handle(request) : requests.push_back(request); }
  /// Answers the first request that was kept.
  void answer() {
    evhttp_request* const request = requests.front();
    requests.erase(requests.begin());
    char const* const id = evhttp_find_header(evhttp_request_get_input_headers(request), "X-Attempt-Id");
    evkeyvalq* const headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "X-Attempt-Id", id);
    evhttp_add_header(headers, "X-Server-Seal", "seal");
    evbuffer* const body = evbuffer_new();
    evbuffer_add_printf(body, "%s", kBody);
    evhttp_send_reply(request, 200, "OK", body);
    evbuffer_free(body);
  }
  evhttp* http;
  u32 port = 0;
  std::function<void(evhttp_request*)> handle;
  std::vector<evhttp_request*> requests;
};

Settings settings_of_proxy() {
  Settings settings;
  settings.ip = "127.0.0.1";
  settings.zone = "z1";
  settings.region = "r1";
  settings.zones = {{"z1", "r1"}};
  return settings;
}

/// The proxy's parts from the intake on, a client's connection to them, and two servers of one service.
struct Fixture {
  Fixture()
      : loop(event_base_new()),
        context(loop, settings_of_proxy()),
        driver(context, "127.0.0.1:1"),
        routing(context),
        intake(context, driver, routing, driver.quota(), driver.writer()),
        front(loop),
        first(loop),
        second(loop) {
    std::map<std::string, ConfigItem> items;
    std::string refusal;
    join(items, read_amend(kConfiguration), refusal);
    for (auto const& [key, item] : items)
      context.configuration.put(item);
    context.has_configuration = true;
    front.handle = [this](evhttp_request* request) { intake.on_request(request); };
    client = evhttp_connection_base_new(loop, nullptr, "127.0.0.1", static_cast<ev_uint16_t>(front.port));
  }
  ~Fixture() { evhttp_connection_free(client); }

  void add_server(std::string const& id, u32 port) {
    LoadBalancer::ServerUpdate server;
    server.id = id;
    server.service = "s1";
    server.address = "127.0.0.1:" + std::to_string(port);
    server.zone = "z1";
    server.capacity = 10;
    server.ready = true;
    context.load_balancer.update_servers({server}, steady_now());
  }
  void ask() {
    evhttp_request* const request = evhttp_request_new(
        [](evhttp_request* answer, void* fixture) { static_cast<Fixture*>(fixture)->on_answer(answer); }, this);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "a.example");
    evhttp_add_header(evhttp_request_get_output_headers(request), "X-Attempt-Id", "a1");
    cr_assert_eq(evhttp_make_request(client, request, EVHTTP_REQ_GET, "/p/x"), 0);
  }
  void on_answer(evhttp_request* answer) {
    status = answer == nullptr ? 0 : evhttp_request_get_response_code(answer);
    is_answered = true;
    if (answer == nullptr) return;
    evbuffer* const input = evhttp_request_get_input_buffer(answer);
    body.resize(evbuffer_get_length(input));
    evbuffer_copyout(input, body.data(), body.size());
  }
  template <class Condition>
  void until(Condition const& holds) {
    Seconds const give_up_at = steady_now() + 10;
    while (!holds() && steady_now() < give_up_at)
      event_base_loop(loop, EVLOOP_ONCE);
    cr_assert(holds());
  }
  /// One request at the first server, late, with the second one to be had.
  void hedge(u32 second_port) {
    add_server("i-1", first.port);
    ask();
    until([this] { return first.requests.size() == 1; });
    add_server("i-2", second_port);
    until([this] { return context.hedged_attempts == 1; });
  }
  ProxiedRequest const* request() const {
    ProxiedRequest const* found = nullptr;
    context.requests.for_each([&](ProxiedRequest const& open) { found = &open; });
    return found;
  }
  void expect_answer() {
    until([this] { return is_answered; });
    cr_assert_eq(status, 200, "%d", status);
    cr_assert_str_eq(body.c_str(), kBody);
    cr_assert_eq(context.requests.size(), 0u);
    until([this] { return context.response_flushes.unflushed() == 0; });
  }

  event_base* loop;
  ProxyContext context;
  RequestDriver driver;
  ServiceRouting routing;
  RequestIntake intake;
  KeepingServer front, first, second;
  evhttp_connection* client = nullptr;
  bool is_answered = false;
  int status = 0;
  std::string body;
};

/// Nobody listens there.
u32 closed_port() {
  int const socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  cr_assert_eq(bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
  u32 const port = port_of(socket);
  close(socket);
  return port;
}

}  // namespace

// The incident of 2026-12-02: the client got 502 here, though its first server had been at work.
Test(hedging, late_attempt_answers_when_its_retry_reaches_no_server) {
  Fixture fixture;
  fixture.hedge(closed_port());
  fixture.until([&] { return fixture.request() != nullptr && fixture.request()->hedged_attempts.empty(); });
  cr_assert_not(fixture.is_answered);
  fixture.first.answer();
  fixture.expect_answer();
}

Test(hedging, first_complete_answer_is_taken_and_the_other_attempt_is_broken_off) {
  for (bool const late_one_wins : {false, true}) {
    Fixture fixture;
    fixture.hedge(fixture.second.port);
    fixture.until([&] { return fixture.second.requests.size() == 1; });
    (late_one_wins ? fixture.first : fixture.second).answer();
    fixture.expect_answer();
    for (u32 const server : {0U, 1U}) {
      Endpoint const& endpoint = fixture.context.load_balancer.endpoint(ServerIndex{server});
      cr_assert_eq(endpoint.in_flight, 0);
      cr_assert_eq(endpoint.connections, endpoint.idle_connections, "the connection at work is closed");
    }
  }
}

Test(hedging, retry_answers_after_the_late_attempt_broke_off) {
  Fixture fixture;
  fixture.hedge(fixture.second.port);
  fixture.until([&] { return fixture.second.requests.size() == 1; });
  evhttp_connection_free(evhttp_request_get_connection(fixture.first.requests.front()));
  fixture.until([&] { return fixture.request()->hedged_attempts.empty(); });
  cr_assert_not(fixture.is_answered);
  fixture.second.answer();
  fixture.expect_answer();
}
