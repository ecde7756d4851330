#include "command_line/control_client.hpp"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <string_view>

#include "command_line/exit_codes.hpp"
#include "command_line/printer.hpp"
#include "configuration/json.hpp"
#include "transport/event_owners.hpp"

namespace dockbend::command_line {
namespace {

constexpr int kMaxRedirects = 2;
constexpr std::string_view kScheme = "http://";

// Called by libevent with the answer; null or status 0 if there was none.
void take_reply(evhttp_request* request, void* context) {
  if (request == nullptr || evhttp_request_get_response_code(request) == 0) return;
  ApiReply& reply = *static_cast<ApiReply*>(context);
  reply.status = evhttp_request_get_response_code(request);
  char const* const location = evhttp_find_header(evhttp_request_get_input_headers(request), "Location");
  if (location != nullptr) reply.location = location;
  evbuffer* const body = evhttp_request_get_input_buffer(request);
  reply.body.resize(evbuffer_get_length(body));
  evbuffer_copyout(body, reply.body.data(), reply.body.size());
}

// Where a redirect leads; none if it can't be read.
struct RedirectTarget {
  Address address;
  std::string path;
};
std::optional<RedirectTarget> parse_location(std::string const& location) {
  if (location.rfind(kScheme, 0) != 0) return std::nullopt;
  std::size_t const slash = location.find('/', kScheme.size());
  if (slash == std::string::npos) return std::nullopt;
  try {
    std::string const host = location.substr(kScheme.size(), slash - kScheme.size());
    return RedirectTarget{parse_addr(host, "Location"), location.substr(slash)};
  } catch (SettingsError const&) {
    return std::nullopt;
  }
}

// The `fault` member of a refusal, or the whole body.
std::string reason_in(std::string const& body) {
  try {
    rapidjson::Document const document = json::parse(body);
    if (auto const fault = document.FindMember("fault"); fault != document.MemberEnd()) return text_of(fault->value);
  } catch (json::Fault const&) {
    // Not JSON: the body itself is the reason.
  }
  return body;
}

}  // namespace

ApiReply ControlClient::send(ApiCall const& call) const {
  ApiReply reply;
  for (Address const& address : options_.control_addresses) {
    reply = follow_redirects(send_to(address, call), call);
    if (reply.status != 0 && reply.status < 500) break;
  }
  return reply;
}

ApiReply ControlClient::follow_redirects(ApiReply reply, ApiCall const& call) const {
  for (int hop = 0; reply.status == 307 && hop < kMaxRedirects; ++hop) {
    std::optional<RedirectTarget> const target = parse_location(reply.location);
    if (!target) break;
    ApiCall redirected = call;
    redirected.path = target->path;
    reply = send_to(target->address, redirected);
  }
  return reply;
}

ApiReply ControlClient::send_to(Address const& address, ApiCall const& call) const {
  EventBaseOwner const loop(event_base_new());
  HttpConnectionOwner const connection(
      evhttp_connection_base_new(loop.get(), nullptr, address.ip.c_str(), static_cast<ev_uint16_t>(address.port)));
  evhttp_connection_set_timeout(connection.get(), options_.timeout_seconds);
  ApiReply reply;
  evhttp_request* const request = evhttp_request_new(take_reply, &reply);  // owned by the connection once made
  evkeyvalq* const headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", address.str().c_str());
  evhttp_add_header(headers, "Connection", "close");
  evhttp_add_header(headers, "Content-Type", "application/json");
  if (!call.body.empty()) evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
  evhttp_cmd_type const method = call.method == ApiCall::Method::get ? EVHTTP_REQ_GET : EVHTTP_REQ_POST;
  evhttp_make_request(connection.get(), request, method, call.path.c_str());
  event_base_dispatch(loop.get());
  return reply;
}

int ControlClient::report_failure(ApiReply const& reply) const {
  if (reply.status == 200) return kDone;
  if (reply.status == 0) {
    auto const& addresses = options_.control_addresses;
    std::fprintf(stderr, "dockbend: no answer from %s\n",
                 addresses.empty() ? "anywhere" : addresses.back().str().c_str());
    return kFailed;
  }
  std::fprintf(stderr, "dockbend: refused with %d: %s\n", reply.status, reason_in(reply.body).c_str());
  return kFailed;
}

}  // namespace dockbend::command_line
