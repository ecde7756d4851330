#include "transport/http_reply.hpp"

#include <event2/bufferevent.h>

#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>

namespace dockbend {
namespace {

int constexpr kFirstFinalStatus = 200, kNoContent = 204, kNotModified = 304;
std::string_view constexpr kEndOfHead = "\r\n\r\n";
/// "HTTP/1.1 1" begins an interim answer, behind which the final one follows.
std::string_view constexpr kProtocol = "HTTP/1.";
std::size_t constexpr kStatusOffset = 9;
/// libevent's own answers are far smaller.
std::size_t constexpr kMostTrimmedBytes = 4096;

bool is_interim(std::string_view head) {
  return head.starts_with(kProtocol) && head.size() > kStatusOffset && head[kStatusOffset] == '1';
}

bool states_length(std::string_view head) {
  std::string lower(head);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
  return lower.find("\r\ncontent-length:") != std::string::npos ||
         lower.find("\r\ntransfer-encoding:") != std::string::npos;
}

/// Where the answer ends that begins the bytes, interim ones before it included, if its head is complete and states no
/// length; npos: otherwise.
std::size_t end_without_body(std::string_view bytes) {
  std::size_t begin = 0;
  for (;;) {
    std::size_t const end_of_head = bytes.find(kEndOfHead, begin);
    if (end_of_head == std::string_view::npos) return end_of_head;
    std::string_view const head = bytes.substr(begin, end_of_head - begin);
    begin = end_of_head + kEndOfHead.size();
    if (!is_interim(head)) return states_length(head) ? std::string_view::npos : begin;
  }
}

void on_output(evbuffer* output, evbuffer_cb_info const* info, void*) {
  if (info->n_added > 0) trim_own_reply(output);
}

bufferevent* create_socket(event_base* loop, void*) {
  bufferevent* const socket = bufferevent_socket_new(loop, -1, 0);
  evbuffer_add_cb(bufferevent_get_output(socket), on_output, nullptr);
  return socket;
}

}  // namespace

bool may_have_body(evhttp_cmd_type method, int status) {
  return method != EVHTTP_REQ_HEAD && status >= kFirstFinalStatus && status != kNoContent && status != kNotModified;
}

void send_reply(evhttp_request* request, int status, char const* reason, evbuffer* body) {
  bool const has_body = may_have_body(evhttp_request_get_command(request), status);
  evhttp_send_reply(request, status, reason, has_body ? body : nullptr);
}

void trim_own_replies_of(evhttp* server) {
  evhttp_set_bevcb(server, create_socket, nullptr);
}

void trim_own_reply(evbuffer* output) {
  std::size_t const length = evbuffer_get_length(output);
  if (length > kMostTrimmedBytes) return;
  std::string bytes(length, '\0');
  evbuffer_copyout(output, bytes.data(), length);
  std::size_t const end = end_without_body(bytes);
  if (end >= length) return;
  evbuffer_drain(output, length);
  evbuffer_add(output, bytes.data(), end);
}

}  // namespace dockbend
