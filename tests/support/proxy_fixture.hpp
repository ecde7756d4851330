/// The proxy's parts from the intake on, with a client and servers on the same event loop.
#pragma once
#include <criterion/criterion.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstring>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "proxy/request_driver.hpp"
#include "proxy/request_intake.hpp"
#include "proxy/service_routing.hpp"
#include "support/configuration_items.hpp"

namespace dockbend::test {

inline char const* const kConfiguration =
    R"({"upsert":{"limits":{"headerBytes":8192,"bodyBytes":50000,"headerDeadlineS":3,"idleTimeoutS":15,"generation":"00000007"},
"sockets":[{"host":"a.example","policy":[{"name":"r1","kind":"idempotent","setpointS":0.02,"rank":0,"generation":"00000007",
"selector":{"pathPrefix":"/p/"},"actuation":{"service":"s1","deadlineS":20,"maxTries":2,"homeRegions":[]}},
{"name":"r2","kind":"inflow","setpointS":0.02,"rank":0,"generation":"00000007",
"selector":{"pathPrefix":"/u/"},"actuation":{"service":"s1","deadlineS":20,"maxTries":2,"homeRegions":[]}}]}],
"pools":[{"name":"s1","healthPath":"/health","connLimit":110,"selfDedupes":false,"coldS":3.0,"coldRateS":9.9,"generation":"00000007"}]},
"remove":{"routes":[]}})";
inline char const* const kBody = "the server's bytes";

inline u32 port_of(evutil_socket_t socket) {
  sockaddr_in address{};
  socklen_t length = sizeof address;
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

/// An HTTP server on a free port of 127.0.0.1 that keeps what it is asked.
struct KeepingServer {
  explicit KeepingServer(event_base* loop) : http(evhttp_new(loop)) {
    evhttp_set_allowed_methods(http,
                               EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_PATCH);
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
  void answer(int status = 200) {
    evhttp_request* const request = requests.front();
    requests.erase(requests.begin());
    char const* const id = evhttp_find_header(evhttp_request_get_input_headers(request), "X-Attempt-Id");
    evkeyvalq* const headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "X-Attempt-Id", id);
    evhttp_add_header(headers, "X-Server-Seal", "seal");
    evbuffer* const body = evbuffer_new();
    evbuffer_add_printf(body, "%s", kBody);
    evhttp_send_reply(request, status, "Answer", body);
    evbuffer_free(body);
  }
  evhttp* http;
  u32 port = 0;
  std::function<void(evhttp_request*)> handle;
  std::vector<evhttp_request*> requests;
};

inline Settings settings_of_proxy() {
  Settings settings;
  settings.ip = "127.0.0.1";
  settings.zone = "z1";
  settings.region = "r1";
  settings.zones = {{"z1", "r1"}};
  return settings;
}

/// A server on a free port of 127.0.0.1 that reads and writes what a test says, on its newest connection.
struct ScriptedServer {
  /// receive_buffer_bytes: of its connections; 0: the system's default.
  explicit ScriptedServer(event_base* loop, int receive_buffer_bytes = 0) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    listener = evconnlistener_new_bind(loop, on_accepted, this, LEV_OPT_CLOSE_ON_FREE, -1,
                                       reinterpret_cast<sockaddr*>(&address), sizeof address);
    cr_assert(listener != nullptr);
    int const socket = evconnlistener_get_fd(listener);
    if (receive_buffer_bytes > 0)
      setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
    port = port_of(socket);
  }
  ~ScriptedServer() {
    evconnlistener_free(listener);
    for (bufferevent* const each : accepted)
      bufferevent_free(each);
  }
  static void on_accepted(evconnlistener* listener, evutil_socket_t socket, sockaddr*, int, void* server) {
    auto* const self = static_cast<ScriptedServer*>(server);
    bufferevent* const connection =
        bufferevent_socket_new(evconnlistener_get_base(listener), socket, BEV_OPT_CLOSE_ON_FREE);
    self->accepted.push_back(connection);
    bufferevent_setcb(
        connection, nullptr, nullptr,
        [](bufferevent*, short, void* server_of_event) {
          static_cast<ScriptedServer*>(server_of_event)->is_closed = true;
        },
        self);
    if (self->is_reading) bufferevent_enable(connection, EV_READ);
  }
  /// Begins to read on the connections that it has.
  void read_on() {
    is_reading = true;
    for (bufferevent* const each : accepted)
      bufferevent_enable(each, EV_READ);
  }
  std::size_t received() const {
    return accepted.empty() ? 0 : evbuffer_get_length(bufferevent_get_input(accepted.back()));
  }
  void forget_received() {
    evbuffer* const input = bufferevent_get_input(accepted.back());
    evbuffer_drain(input, evbuffer_get_length(input));
  }
  void answer(char const* attempt_id, char const* body) {
    evbuffer_add_printf(bufferevent_get_output(accepted.back()),
                        "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal\r\nContent-Length: %zu\r\n\r\n%s",
                        attempt_id, std::strlen(body), body);
  }
  /// An answer that states no length, and one more header if it is not empty.
  void answer_without_length(char const* attempt_id, std::string const& body, std::string const& header = "") {
    evbuffer* const output = bufferevent_get_output(accepted.back());
    evbuffer_add_printf(output, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal\r\n%s\r\n", attempt_id,
                        header.empty() ? "" : (header + "\r\n").c_str());
    evbuffer_add(output, body.data(), body.size());
  }
  bool has_written_all() const { return evbuffer_get_length(bufferevent_get_output(accepted.back())) == 0; }
  /// Closes its newest connection: in order (FIN), or by a reset (RST).
  void close() {
    bufferevent_free(accepted.back());
    accepted.pop_back();
  }
  void reset() {
    linger const at_once{1, 0};
    setsockopt(bufferevent_getfd(accepted.back()), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close();
  }
  evconnlistener* listener;
  u32 port = 0;
  bool is_reading = true;
  bool is_closed = false;  ///< one of its connections has ended
  std::vector<bufferevent*> accepted;
};

/// The proxy's parts from the intake on, a client's connection to them, and two servers of one service.
struct ProxyFixture {
  ProxyFixture()
      : loop(event_base_new()),
        context(loop, settings_of_proxy()),
        driver(context, "127.0.0.1:1"),
        routing(context),
        intake(context, driver, routing, driver.quota(), driver.writer()),
        front(loop),
        first(loop),
        second(loop) {
    amend(kConfiguration);
    context.has_configuration = true;
    front.handle = [this](evhttp_request* request) { intake.on_request(request, 0); };
    client = evhttp_connection_base_new(loop, nullptr, "127.0.0.1", static_cast<ev_uint16_t>(front.port));
  }
  ~ProxyFixture() {
    if (client != nullptr) evhttp_connection_free(client);
  }

  void amend(char const* change) { put_items(context.configuration, change); }
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
  void ask(evhttp_cmd_type method = EVHTTP_REQ_GET, char const* path = "/p/x", std::string const& sent_body = "",
           char const* attempt_id = "a1") {
    is_answered = false;
    evhttp_request* const request = evhttp_request_new(
        [](evhttp_request* answer, void* fixture) { static_cast<ProxyFixture*>(fixture)->on_answer(answer); }, this);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "a.example");
    evhttp_add_header(evhttp_request_get_output_headers(request), "X-Attempt-Id", attempt_id);
    for (auto const& [name, value] : client_headers)
      evhttp_add_header(evhttp_request_get_output_headers(request), name.c_str(), value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(request), sent_body.data(), sent_body.size());
    cr_assert_eq(evhttp_make_request(client, request, method, path), 0);
  }
  /// The client closes its connection.
  void leave() { evhttp_connection_free(std::exchange(client, nullptr)); }
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
    timeval const tick{0, 5000};  // so that the loop comes back though nothing happens
    while (!holds() && steady_now() < give_up_at) {
      event_base_loopexit(loop, &tick);
      event_base_loop(loop, EVLOOP_ONCE);
    }
    cr_assert(holds());
  }
  void run_for(Seconds span) {
    Seconds const end = steady_now() + span;
    until([end] { return steady_now() >= end; });
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
  /// Of the open request; 0: there is none.
  std::size_t hedged_attempts() const { return request() == nullptr ? 0 : request()->hedged_attempts.size(); }
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
  Headers client_headers;  ///< besides Host and X-Attempt-Id
  bool is_answered = false;
  int status = 0;
  std::string body;
};

/// Nobody listens there.
inline u32 closed_port() {
  int const socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  cr_assert_eq(bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
  u32 const port = port_of(socket);
  close(socket);
  return port;
}

}  // namespace dockbend::test
