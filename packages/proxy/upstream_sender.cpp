#include "proxy/upstream_sender.hpp"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cstdio>

namespace dockbend {
namespace {
/// Until a machine that took no byte counts as absent: in this region, and the most elsewhere.
Seconds constexpr kConnectLimit = 0.25, kRemoteConnectLimitMost = 0.5;
/// Until a machine that acknowledges none of our bytes counts as absent.
int constexpr kAcknowledgementTimeoutMs = 250, kRemoteAcknowledgementTimeoutMs = 600,
              kOnlyAttemptAcknowledgementTimeoutMs = 2000;
/// An attempt is worth waiting for up to the larger of these parts of the usual and the wanted latency.
double constexpr kPatienceInMeanLatencies = 4, kPatiencePartOfTarget = 0.85;
/// What a request's head and the packets round it come to, about.
double constexpr kRequestOverheadBytes = 600;

bool stays_at_proxy(char const* name, bool has_tenants) {
  if (is_hop_by_hop(name) || same_header_name(name, "X-Time-Left") || same_header_name(name, "X-Target-Server") ||
      same_header_name(name, "X-Tenant"))
    return true;
  return has_tenants && same_header_name(name, "Authorization");
}
}  // namespace

UpstreamSender::Outcome UpstreamSender::send(ProxiedRequest& request, ServerIndex server, Seconds now) {
  LoadBalancer& balancer = context_.load_balancer;
  Endpoint const& endpoint = balancer.endpoint(server);
  Seconds const safe_idle_time = balancer.safe_idle_time(server, request.retry_state().is_repeatable(), now);
  UpstreamConnection& connection =
      context_.connections.acquire(server, safe_idle_time, now, request.handle.to_pointer());
  balancer.attempt_started(server, now);
  Seconds const patience =
      std::max(kPatienceInMeanLatencies * balancer.mean_latency(request.service_index, request.route->name, now),
               request.route->latency_target * kPatiencePartOfTarget);
  request.machine.attempt_started(now, patience, connect_limit(server, request));
  request.awaited = {&connection, server, now, request.retry_state().attempts()};
  request.attempted.push_back(server);
  context_.traffic_observer.on_attempt(request.route->name, balancer.zone_name(endpoint.zone), now);

  evhttp_request* const upstream_request = context_.connections.new_request(connection);
  add_headers(upstream_request, request, endpoint.id, now);
  if (request.body_bytes > 0)
    evbuffer_add_buffer_reference(evhttp_request_get_output_buffer(upstream_request),
                                  evhttp_request_get_input_buffer(request.client_request));
  bool const is_remote = context_.is_remote(server);
  RequestsInFlight::Handle const handle = request.handle;
  if (!context_.connections.send(connection, upstream_request, request.method, request.target.c_str(),
                                 acknowledgement_timeout_ms(request, is_remote)))
    return Outcome::failed;
  if (context_.requests.find(handle) == nullptr || request.awaited.connection != &connection) return Outcome::over;
  double const bytes = static_cast<double>(request.body_bytes) + kRequestOverheadBytes;
  context_.traffic.bytes_out += bytes;
  if (is_remote) {
    context_.traffic.remote_bytes_out += bytes;
    ++context_.traffic.remote_attempts;
  }
  return Outcome::sent;
}

void UpstreamSender::add_headers(evhttp_request* upstream_request, ProxiedRequest const& request,
                                 std::string const& server_id, Seconds now) const {
  evkeyvalq* const out = evhttp_request_get_output_headers(upstream_request);
  evkeyvalq* const in = evhttp_request_get_input_headers(request.client_request);
  for (evkeyval* header = in->tqh_first; header != nullptr; header = header->next.tqe_next)
    if (!stays_at_proxy(header->key, request.has_tenants)) evhttp_add_header(out, header->key, header->value);
  if (request.tenant) evhttp_add_header(out, "X-Tenant", request.tenant->name.c_str());
  char milliseconds[32];
  std::snprintf(milliseconds, sizeof milliseconds, "%d",
                static_cast<int>(std::clamp((request.deadline() - now) * 1000, 1.0, 2e9)));
  evhttp_add_header(out, "X-Time-Left", milliseconds);
  evhttp_add_header(out, "X-Target-Server", server_id.c_str());
  evhttp_add_header(out, "Connection", "keep-alive");
  // Stated by us whatever the method: a body without its length would be read as the next request.
  if (request.body_bytes > 0 || method_has_body(request.method))
    evhttp_add_header(out, "Content-Length", std::to_string(request.body_bytes).c_str());
}

// A machine that does not even acknowledge our bytes is not there. What may be attempted again need not wait long to
// learn it; what may not gets the longer time, for giving up on it helps nobody.
int UpstreamSender::acknowledgement_timeout_ms(ProxiedRequest const& request, bool is_remote) const {
  if (!request.retry_state().is_repeatable()) return kOnlyAttemptAcknowledgementTimeoutMs;
  return is_remote ? kRemoteAcknowledgementTimeoutMs : kAcknowledgementTimeoutMs;
}

Seconds UpstreamSender::connect_limit(ServerIndex server, ProxiedRequest const& request) const {
  if (!context_.is_remote(server)) return kConnectLimit;
  return std::max(kConnectLimit, std::min(kRemoteConnectLimitMost, request.route->latency_target));
}

}  // namespace dockbend
