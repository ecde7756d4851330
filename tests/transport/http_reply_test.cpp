// What an evhttp server on loopback writes: the bytes of two answers in a row, and of the library's own.
#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "transport/event_owners.hpp"
#include "transport/http_reply.hpp"

using namespace dockbend;

namespace {

std::string const kBody = "body";

struct Server {
  Server() : http(evhttp_new(loop.get())) {
    trim_own_replies_of(http.get());
    evhttp_set_max_headers_size(http.get(), 1000);
    evhttp_set_gencb(
        http.get(),
        [](evhttp_request* request, void* self) {
          BufferOwner const body(evbuffer_new());
          evbuffer_add(body.get(), kBody.data(), kBody.size());
          send_reply(request, static_cast<Server*>(self)->status, "Answer", body.get());
        },
        this);
    evhttp_bound_socket* const bound = evhttp_bind_socket_with_handle(http.get(), "127.0.0.1", 0);
    sockaddr_in address{};
    socklen_t length = sizeof address;
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&address), &length);
    client = socket(AF_INET, SOCK_STREAM, 0);
    cr_assert_eq(connect(client, reinterpret_cast<sockaddr*>(&address), length), 0);
  }
  ~Server() { close(client); }
  /// Sends the bytes; what has come once nothing more does.
  std::string ask(std::string const& bytes) const {
    cr_assert_eq(write(client, bytes.data(), bytes.size()), static_cast<ssize_t>(bytes.size()));
    timeval const wait{0, 30'000};
    event_base_loopexit(loop.get(), &wait);
    event_base_dispatch(loop.get());
    std::string received(65536, '\0');
    ssize_t const length = recv(client, received.data(), received.size(), MSG_DONTWAIT);
    received.resize(length > 0 ? static_cast<std::size_t>(length) : 0);
    return received;
  }
  EventBaseOwner loop{event_base_new()};
  HttpServerOwner http;
  int client = -1;
  int status = 200;
};

std::string request_of(std::string const& method, std::string const& more = "") {
  return method + " /x HTTP/1.1\r\nHost: a\r\n" + more + "\r\n";
}

/// The part behind the head.
std::string body_in(std::string const& answer) {
  std::size_t const end_of_head = answer.find("\r\n\r\n");
  cr_assert_neq(end_of_head, std::string::npos);
  return answer.substr(end_of_head + 4);
}

std::string trimmed(std::string const& bytes) {
  BufferOwner const output(evbuffer_new());
  evbuffer_add(output.get(), bytes.data(), bytes.size());
  trim_own_reply(output.get());
  std::string rest(evbuffer_get_length(output.get()), '\0');
  evbuffer_copyout(output.get(), rest.data(), rest.size());
  return rest;
}

}  // namespace

// Failure: a HEAD that was refused was followed by a body, and the next answer on the connection could not be read.
Test(http_reply, an_answer_to_head_has_no_body_and_the_next_answer_begins_behind_it) {
  Server server;
  for (int status : {200, 400, 404, 503}) {
    server.status = status;
    cr_assert(body_in(server.ask(request_of("HEAD"))).empty());
    std::string const next = server.ask(request_of("GET"));
    cr_assert(next.starts_with("HTTP/1.1 " + std::to_string(status)));
    cr_assert(body_in(next) == kBody);
  }
}

Test(http_reply, statuses_without_content_have_no_body) {
  Server server;
  for (int status : {204, 304}) {
    server.status = status;
    cr_assert(body_in(server.ask(request_of("GET"))).empty());
    cr_assert(body_in(server.ask(request_of("GET"))).empty());
  }
  cr_assert_not(may_have_body(EVHTTP_REQ_GET, 100));
  cr_assert(may_have_body(EVHTTP_REQ_GET, 205));
  cr_assert_not(may_have_body(EVHTTP_REQ_HEAD, 200));
}

// The library answers a head that is too long by itself.
Test(http_reply, the_librarys_own_answer_to_head_has_no_body) {
  std::string const long_header = "X-Filler: " + std::string(2000, 'f') + "\r\n";
  Server server;
  std::string const refused = server.ask(request_of("HEAD", long_header));
  cr_assert(refused.starts_with("HTTP/1.1 400"));
  cr_assert(body_in(refused).empty());
  Server other;
  cr_assert_not(body_in(other.ask(request_of("GET", long_header))).empty(), "its page has the length that it states");
}

Test(http_reply, only_what_follows_a_head_without_a_length_is_trimmed) {
  std::string const head = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n";
  std::string const interim = "HTTP/1.1 100 Continue\r\n\r\n";
  std::string const with_length = "HTTP/1.1 413 Too Large\r\ncontent-LENGTH: 4\r\n\r\nbody";
  std::string const in_chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
  cr_assert(trimmed(head + "page") == head);
  cr_assert(trimmed(interim + head + "page") == interim + head);
  for (std::string const& whole :
       {head, interim, with_length, interim + with_length, in_chunks, std::string("HTTP/1.1 4")})
    cr_assert(trimmed(whole) == whole);
}
