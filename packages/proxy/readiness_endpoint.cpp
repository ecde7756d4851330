#include "proxy/readiness_endpoint.hpp"

#include <event2/http.h>

#include <stdexcept>
#include <string_view>

#include "transport/http_reply.hpp"

namespace dockbend {
namespace {
std::string_view constexpr kReadinessPath = "/-/readiness";
}  // namespace

ReadinessEndpoint::ReadinessEndpoint(ProxyContext const& context, Address const& address)
    : context_(context), server_(evhttp_new(context.loop)) {
  evhttp_set_gencb(server_.get(), on_request, this);
  trim_own_replies_of(server_.get());
  if (evhttp_bind_socket_with_handle(server_.get(), address.ip.c_str(), static_cast<ev_uint16_t>(address.port)) ==
      nullptr)
    throw std::runtime_error("can't listen at " + address.str());
}

void ReadinessEndpoint::on_request(evhttp_request* request, void* endpoint) {
  if (!std::string_view(evhttp_request_get_uri(request)).starts_with(kReadinessPath))
    return send_reply(request, 404, "Not Found", nullptr);
  if (static_cast<ReadinessEndpoint*>(endpoint)->context_.is_ready())
    send_reply(request, 200, "OK", nullptr);
  else
    send_reply(request, 503, "Service Unavailable", nullptr);
}

}  // namespace dockbend
