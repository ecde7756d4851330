#include "proxy/response_writer.hpp"

#include <event2/buffer.h>
#include <event2/http.h>

#include <cstdio>

#include "transport/event_owners.hpp"
#include "transport/http_reply.hpp"

namespace dockbend {

void ResponseWriter::close_if_draining(evkeyvalq* headers) const {
  if (drain_.closes_connections()) evhttp_add_header(headers, "Connection", "close");
}

void ResponseWriter::send(evhttp_request* client_request, int status, char const* reason, evbuffer* body) const {
  flushes_.track(client_request);
  send_reply(client_request, status, reason, body);
}

void ResponseWriter::write_local_reply(evhttp_request* client_request, LocalReply const& reply,
                                       std::string const& attempt_id) const {
  evkeyvalq* const headers = evhttp_request_get_output_headers(client_request);
  if (!attempt_id.empty()) evhttp_add_header(headers, "X-Attempt-Id", attempt_id.c_str());
  if (reply.retry_after >= 0) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", reply.retry_after);
    evhttp_add_header(headers, "Retry-After", text);
  }
  if (reply.closes_connection || drain_.closes_connections()) evhttp_add_header(headers, "Connection", "close");
  evhttp_add_header(headers, "Content-Type", "text/plain");
  BufferOwner const body(evbuffer_new());
  evbuffer_add_printf(body.get(), "%s\n", reply.reason);
  send(client_request, reply.status, reply.reason, body.get());
}

void ResponseWriter::forward(ProxiedRequest& request, evhttp_request* upstream_request,
                             UpstreamResponse const& response, evbuffer* body) const {
  evkeyvalq* const headers = evhttp_request_get_output_headers(request.client_request);
  for (auto const& [name, value] : response.headers)
    if (!is_hop_by_hop(name) || (response.answers_head_request && same_header_name(name, "Content-Length")))
      evhttp_add_header(headers, name.c_str(), value.c_str());
  close_if_draining(headers);
  char const* const line = evhttp_request_get_response_code_line(upstream_request);
  send(request.client_request, response.status,
       line != nullptr && *line != '\0' ? line : reason_phrase(response.status), body);
}

void ResponseWriter::write_stored_answer(ProxiedRequest& request, StoredAnswer const& answer) const {
  evkeyvalq* const headers = evhttp_request_get_output_headers(request.client_request);
  for (std::string const& header : answer.headers) {
    auto const colon = header.find(':');
    if (colon == std::string::npos) continue;
    std::string const name = header.substr(0, colon);
    if (same_header_name(name, "X-Attempt-Id")) continue;
    evhttp_add_header(headers, name.c_str(), header.substr(colon + 1).c_str());
  }
  evhttp_add_header(headers, "X-Attempt-Id", request.machine.attempt_id().c_str());
  close_if_draining(headers);
  BufferOwner const body(evbuffer_new());
  evbuffer_add(body.get(), answer.body.data(), answer.body.size());
  send(request.client_request, static_cast<int>(answer.code), answer.reason.c_str(), body.get());
}

StoredAnswer make_stored_answer(ProxiedRequest const& request, evhttp_request* upstream_request,
                                UpstreamResponse const& response, evbuffer* body) {
  StoredAnswer answer;
  set_operation(answer, request.operation);
  answer.holder = request.key_holder;
  answer.homes = request.homes;
  answer.code = static_cast<u32>(response.status);
  char const* const line = evhttp_request_get_response_code_line(upstream_request);
  answer.reason = line != nullptr ? line : "OK";
  for (auto const& [name, value] : response.headers)
    if (!is_hop_by_hop(name) && !same_header_name(name, "Date"))
      answer.headers.emplace_back(name).append(":").append(value);
  answer.body.resize(response.body_bytes);
  evbuffer_copyout(body, answer.body.data(), response.body_bytes);
  return answer;
}

}  // namespace dockbend
