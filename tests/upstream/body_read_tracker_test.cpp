// How long a request's bytes took to arrive, at an evhttp server on loopback that gets them in pieces.
#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <string>
#include <vector>

#include "upstream/body_read_tracker.hpp"

using namespace dockbend;

namespace {

struct TimedServer {
  TimedServer() : loop(event_base_new()), http(evhttp_new(loop)) {
    tracker.watch(http);
    evhttp_set_gencb(
        http,
        [](evhttp_request* request, void* self) {
          auto* const server = static_cast<TimedServer*>(self);
          server->reading_times.push_back(server->tracker.request_completed(request));
          evhttp_send_reply(request, HTTP_OK, "OK", nullptr);
        },
        this);
    evhttp_bound_socket* const bound = evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);
    sockaddr_in address{};
    socklen_t length = sizeof address;
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&address), &length);
    client = socket(AF_INET, SOCK_STREAM, 0);
    cr_assert_eq(connect(client, reinterpret_cast<sockaddr*>(&address), length), 0);
  }
  ~TimedServer() {
    close(client);
    evhttp_free(http);
    event_base_free(loop);
  }
  /// Sends the bytes and runs the loop for a while.
  void send_and_wait(std::string const& bytes, int milliseconds) const {
    cr_assert_eq(write(client, bytes.data(), bytes.size()), static_cast<ssize_t>(bytes.size()));
    timeval const wait{0, milliseconds * 1000};
    event_base_loopexit(loop, &wait);
    event_base_dispatch(loop);
  }
  event_base* loop;
  evhttp* http;
  BodyReadTracker tracker;
  int client = -1;
  std::vector<Seconds> reading_times;
};

}  // namespace

Test(body_read_tracker, reading_time_runs_from_the_first_byte) {
  TimedServer server;
  server.send_and_wait("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo", 60);
  server.send_and_wait("d", 60);
  server.send_and_wait("y", 20);
  cr_assert_eq(server.reading_times.size(), 1u);
  cr_assert_gt(server.reading_times[0], 0.11);
  server.send_and_wait("GET /x HTTP/1.1\r\nHost: a\r\n\r\n", 20);
  cr_assert_eq(server.reading_times.size(), 2u);
  cr_assert_lt(server.reading_times[1], 0.1, "the connection's earlier request does not count");
}

Test(body_read_tracker, request_that_came_with_the_one_before_has_no_known_reading_time) {
  TimedServer server;
  server.send_and_wait("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nb", 60);
  server.send_and_wait("oGET /x HTTP/1.1\r\nHost: a\r\n\r\n", 20);
  cr_assert_eq(server.reading_times.size(), 2u);
  cr_assert_gt(server.reading_times[0], 0.05);
  cr_assert_eq(server.reading_times[1], 0);
}
