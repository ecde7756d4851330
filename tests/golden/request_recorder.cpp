// A stand-in for a control address: writes each request's method, target and body as one line to standard
// output and answers {}. The first line is its port. Ends when it is told to.
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdio>
#include <string>

namespace {
char const* method_name(evhttp_cmd_type method) {
  switch (method) {
    case EVHTTP_REQ_GET: return "GET";
    case EVHTTP_REQ_POST: return "POST";
    case EVHTTP_REQ_PUT: return "PUT";
    case EVHTTP_REQ_DELETE: return "DELETE";
    default: return "other";
  }
}
void record(evhttp_request* request, void*) {
  evbuffer* const input = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, body.data(), body.size());
  char const* const method = method_name(evhttp_request_get_command(request));
  std::printf("%s %s %s\n", method, evhttp_request_get_uri(request), body.c_str());
  std::fflush(stdout);
  evbuffer* const output = evbuffer_new();
  evbuffer_add_printf(output, "{}");
  evhttp_send_reply(request, 200, "OK", output);
  evbuffer_free(output);
}
}  // namespace

int main() {
  event_base* const base = event_base_new();
  evhttp* const server = evhttp_new(base);
  evhttp_set_gencb(server, record, nullptr);
  evhttp_bound_socket* const socket = evhttp_bind_socket_with_handle(server, "127.0.0.1", 0);
  if (socket == nullptr) return 1;
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (::getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr*>(&address), &size) != 0) return 1;
  std::printf("%u\n", static_cast<unsigned>(ntohs(address.sin_port)));
  std::fflush(stdout);
  return event_base_dispatch(base);
}
