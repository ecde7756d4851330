// What is known of clients' connections from their acceptance to their end, at an evhttp server on loopback that gets
// its requests in pieces.
#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <string>
#include <vector>

#include "proxy/client_connections.hpp"
#include "proxy/response_flush_tracker.hpp"

using namespace dockbend;

namespace {

ConnectionLimits constexpr kLow{1000, 1000, 1}, kHigh{100'000, 100'000, 15};
char const* const kRequest = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

/// A connection of a client. It is in the same process as the server, which runs between its calls.
struct Client {
  explicit Client(sockaddr_in const& server) : socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    cr_assert_eq(connect(socket, reinterpret_cast<sockaddr const*>(&server), sizeof server), 0);
  }
  ~Client() { leave(); }
  Client(Client const&) = delete;
  void send(std::string const& bytes) const {
    cr_assert_eq(write(socket, bytes.data(), bytes.size()), static_cast<ssize_t>(bytes.size()));
  }
  /// What has come, up to now.
  std::string received() const {
    std::string bytes(65536, '\0');
    ssize_t const length = recv(socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
    bytes.resize(length > 0 ? static_cast<std::size_t>(length) : 0);
    return bytes;
  }
  bool is_closed() const {
    char byte = 0;
    return recv(socket, &byte, 1, MSG_DONTWAIT | MSG_PEEK) == 0;
  }
  void leave() {
    if (socket >= 0) close(socket);
    socket = -1;
  }
  void leave_by_reset() {
    linger const at_once{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    leave();
  }
  int socket;
};

struct Server {
  explicit Server(ConnectionLimits const& limits = kHigh) : connections(loop.get()), http(evhttp_new(loop.get())) {
    connections.watch(http.get());
    connections.set_limits(limits);
    connections.on_ended.connect([this](evhttp_connection const* connection) { flushes.forget(connection); });
    evhttp_set_gencb(
        http.get(),
        [](evhttp_request* request, void* self) {
          auto* const server = static_cast<Server*>(self);
          server->reading_times.push_back(server->connections.request_completed(request));
          server->is_holding ? server->held.push_back(request) : server->answer(request);
        },
        this);
    evhttp_bound_socket* const bound = evhttp_bind_socket_with_handle(http.get(), "127.0.0.1", 0);
    socklen_t length = sizeof address;
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&address), &length);
  }
  void answer(evhttp_request* request) {
    flushes.track(request);  // as the proxy does
    evhttp_send_reply(request, HTTP_OK, "OK", nullptr);
  }
  void run(int milliseconds = 20) const {
    timeval const wait{milliseconds / 1000, milliseconds % 1000 * 1000};
    event_base_loopexit(loop.get(), &wait);
    event_base_dispatch(loop.get());
  }
  void send_and_run(Client const& client, std::string const& bytes, int milliseconds = 20) const {
    client.send(bytes);
    run(milliseconds);
  }

  EventBaseOwner loop{event_base_new()};
  ClientConnections connections;
  ResponseFlushTracker flushes;
  HttpServerOwner http;
  sockaddr_in address{};
  std::vector<Seconds> reading_times;
  bool is_holding = false;  ///< requests are kept and not answered
  std::vector<evhttp_request*> held;
};

std::string post_of(std::size_t body_bytes) {
  return "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
         std::string(body_bytes, 'b');
}
std::string get_with_head_of(std::size_t bytes) {
  return "GET /x HTTP/1.1\r\nHost: a\r\nX-Filler: " + std::string(bytes, 'f') + "\r\n\r\n";
}
bool is_served(Client const& client) {
  return client.received().starts_with("HTTP/1.1 200");
}

}  // namespace

Test(client_connections, reading_time_runs_from_the_first_byte) {
  Server server;
  Client const client(server.address);
  server.send_and_run(client, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo", 60);
  server.send_and_run(client, "d", 60);
  server.send_and_run(client, "y");
  cr_assert_eq(server.reading_times.size(), 1u);
  cr_assert_gt(server.reading_times[0], 0.11);
  server.send_and_run(client, kRequest);
  cr_assert_eq(server.reading_times.size(), 2u);
  cr_assert_lt(server.reading_times[1], 0.1, "the connection's earlier request does not count");
}

Test(client_connections, request_that_came_with_the_one_before_has_no_known_reading_time) {
  Server server;
  Client const client(server.address);
  server.send_and_run(client, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nb", 60);
  server.send_and_run(client, std::string("o") + kRequest);
  cr_assert_eq(server.reading_times.size(), 2u);
  cr_assert_gt(server.reading_times[0], 0.05);
  cr_assert_eq(server.reading_times[1], 0);
}

Test(client_connections, requests_that_are_being_read_are_counted_until_they_are_silent) {
  Server server;
  Client const client(server.address), other(server.address);
  server.send_and_run(client, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo");
  server.send_and_run(other, kRequest);
  cr_assert_eq(server.connections.open_reads(2), 1u);
  for (int i = 0; i < 3; ++i)
    server.connections.tick();
  cr_assert_eq(server.connections.open_reads(2), 0u);
  server.send_and_run(client, "dy");
  cr_assert_eq(server.connections.open_reads(2), 0u);
}

// Failure: a raised limit was in force on connections that were opened afterwards only; older ones got 413 and 400.
Test(client_connections, raised_sizes_are_in_force_on_open_connections) {
  Server server(kLow);
  Client const used(server.address), unused(server.address), used_for_heads(server.address),
      unused_for_heads(server.address);
  server.send_and_run(used, kRequest);
  server.send_and_run(used_for_heads, kRequest);
  cr_assert(is_served(used));
  cr_assert(is_served(used_for_heads));
  server.connections.set_limits(kHigh);
  for (Client const* client : {&used, &unused}) {
    server.send_and_run(*client, post_of(50'000));
    cr_assert(is_served(*client));
  }
  for (Client const* client : {&used_for_heads, &unused_for_heads}) {
    server.send_and_run(*client, get_with_head_of(50'000));
    cr_assert(is_served(*client));
  }
}

Test(client_connections, lowered_sizes_are_in_force_on_open_connections) {
  Server server(kHigh);
  Client const used(server.address), unused(server.address);
  server.send_and_run(used, kRequest);
  cr_assert(is_served(used));
  server.connections.set_limits(kLow);
  for (Client const* client : {&used, &unused}) {
    server.send_and_run(*client, post_of(50'000));
    cr_assert(client->received().starts_with("HTTP/1.1 413"));
  }
}

// Failure: a connection kept the idle limit of the time when it was accepted.
Test(client_connections, changed_idle_limit_is_in_force_on_open_connections) {
  Server server(kHigh);
  Client const used(server.address), unused(server.address);
  server.send_and_run(used, kRequest);
  cr_assert(is_served(used));
  server.connections.set_limits(kLow);
  server.run(500);
  cr_assert_not(used.is_closed() || unused.is_closed());
  server.run(800);
  cr_assert(used.is_closed() && unused.is_closed());

  Client const other(server.address);
  server.run();
  server.connections.set_limits(kHigh);
  server.run(1300);
  cr_assert_not(other.is_closed());
}

// Changes that come in quick succession keep no connection open.
Test(client_connections, changes_of_other_limits_prolong_no_rest) {
  Server server(kLow);
  Client const client(server.address);
  for (int i = 0; i < 14; ++i) {
    server.run(100);
    server.connections.set_limits({kLow.head_bytes, kLow.body_bytes + i, kLow.idle_seconds});
  }
  cr_assert(client.is_closed());
}

// Failure guarded against: a connection that has ended is touched by the next change of the limits.
Test(client_connections, each_end_of_a_connection_is_noticed) {
  Server server(kLow);
  auto const plays = std::vector<void (*)(Server&, Client&)>{
      [](Server&, Client& client) { client.leave(); },
      [](Server&, Client& client) { client.leave_by_reset(); },
      [](Server& server_of_play, Client&) { server_of_play.run(1200); },  // idle, never used
      [](Server& server_of_play, Client& client) {
        server_of_play.send_and_run(client, kRequest);
        client.leave();
      },
      [](Server& server_of_play, Client& client) { server_of_play.send_and_run(client, kRequest, 1200); },  // idle
      [](Server& server_of_play, Client& client) {
        server_of_play.send_and_run(client, "GET /x HT");
        client.leave();
      },
      [](Server& server_of_play, Client& client) {
        server_of_play.send_and_run(client, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo");
        client.leave_by_reset();
      },
      [](Server& server_of_play, Client& client) { server_of_play.send_and_run(client, post_of(2000)); },  // 413
      [](Server& server_of_play, Client& client) { server_of_play.send_and_run(client, "no request\r\n\r\n"); },
      [](Server& server_of_play, Client& client) {
        server_of_play.send_and_run(client, "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nno\r\n");
      },
      [](Server& server_of_play, Client& client) { server_of_play.send_and_run(client, "GET /x HTTP/1.0\r\n\r\n"); },
      [](Server& server_of_play, Client& client) {
        server_of_play.send_and_run(client, "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
      },
      [](Server& server_of_play, Client& client) {
        server_of_play.is_holding = true;
        server_of_play.send_and_run(client, kRequest);
        client.leave_by_reset();
        server_of_play.run();
        server_of_play.answer(server_of_play.held.back());
        server_of_play.is_holding = false;
      },
  };
  for (auto const& play : plays) {
    Client client(server.address);
    server.run();
    cr_assert_eq(server.connections.size(), 1u);
    play(server, client);
    server.run();
    cr_assert_eq(server.connections.size(), 0u, "play %td", &play - plays.data());
    cr_assert_eq(server.flushes.unflushed(), 0u, "play %td", &play - plays.data());
    server.connections.set_limits(kHigh);
    server.connections.set_limits(kLow);
  }
}

Test(client_connections, many_connections_come_and_go_while_limits_change) {
  Server server(kLow);
  std::vector<std::unique_ptr<Client>> clients;
  for (int round = 0; round < 30; ++round) {
    for (int i = 0; i < 20; ++i)
      clients.push_back(std::make_unique<Client>(server.address));
    for (std::size_t i = 0; i < clients.size(); i += 3)
      clients[i]->send(kRequest);
    server.run(3);
    for (std::size_t i = static_cast<std::size_t>(round % 5); i < clients.size(); i += 5)
      clients[i]->leave();
    std::erase_if(clients, [](auto const& client) { return client->socket < 0; });
    server.connections.set_limits(round % 2 == 0 ? kHigh : kLow);
    server.run(3);
  }
  cr_assert_eq(server.connections.size(), clients.size());
}
