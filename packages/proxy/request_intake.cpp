#include "proxy/request_intake.hpp"

#include <event2/buffer.h>
#include <event2/http.h>

#include <memory>

#include "transport/counters.hpp"

namespace dockbend {
namespace {
/// What the packets round a request come to, about.
double constexpr kRequestOverheadBytes = 150;
/// Another proxy can take the request at once.
Seconds constexpr kRetryAfterShuttingDown = 0.01;

std::size_t body_bytes_of(evhttp_request* request) {
  return evbuffer_get_length(evhttp_request_get_input_buffer(request));
}
}  // namespace

void RequestIntake::on_request(evhttp_request* client_request, Seconds reading_time) {
  Seconds const now = steady_now();
  Headers const headers = headers_of(evhttp_request_get_input_headers(client_request));
  std::size_t const body_bytes = body_bytes_of(client_request);
  context_.traffic.bytes_in += static_cast<double>(body_bytes + size_of(headers)) + kRequestOverheadBytes;
  IncomingRequest const incoming{headers, evhttp_request_get_uri(client_request), body_bytes,
                                 method_has_body(evhttp_request_get_command(client_request)), reading_time};
  AdmissionResult result =
      admit(incoming, context_.has_configuration ? &context_.configuration : nullptr, context_.configuration.limits(),
            context_.drain.is_draining_for_maintenance(), random01());
  if (result.request && outlasts_shutdown(*result.request, now)) {
    result.request.reset();
    result.refusal = make_local_reply(503, kRetryAfterShuttingDown, true);
    result.reason = "shutting down";
  }
  // It may have come while this process was busy.
  if (result.request && has_client_disconnected(client_request)) {
    result.request.reset();
    result.refusal = make_local_reply(503, kRetryAfterShuttingDown, true);
    result.reason = kClientDisconnected;
  }
  if (result.reason != nullptr) ++context_.given_up[result.reason];
  if (!result.request) return refuse(client_request, result);
  ProxiedRequest& request = open(client_request, std::move(result), now);
  context_.load_balancer.retry_budget(request.service_index).request_arrived(now);
  context_.traffic_observer.on_request(request.route->name, context_.load_balancer.service_name(request.service_index),
                                       request.homes, request.is_upload, now);
  quota_.admit(request, now);
}

bool RequestIntake::outlasts_shutdown(AdmittedRequest const& request, Seconds now) const {
  return context_.drain.is_shutting_down() && request.time_left > context_.shutdown_schedule().longest_request(now);
}

void RequestIntake::refuse(evhttp_request* client_request, AdmissionResult const& result) {
  if (result.refusal.status == 400) ++rejected_input().calls;
  writer_.write_local_reply(client_request, result.refusal, result.attempt_id);
}

ProxiedRequest& RequestIntake::open(evhttp_request* client_request, AdmissionResult&& result, Seconds now) {
  auto owner = std::make_unique<ProxiedRequest>(context_.loop, flow_);
  ProxiedRequest& request = *owner;
  static_cast<AdmittedRequest&>(request) = std::move(*result.request);
  request.client_request = client_request;
  request.method = evhttp_request_get_command(client_request);
  request.target = evhttp_request_get_uri(client_request);
  request.arrived_at = now;
  request.body_bytes = body_bytes_of(client_request);
  request.service_index = routing_.index_of(*request.service);
  request.machine =
      RequestMachine(std::move(result.attempt_id), request.route->kind == schema::RouteKind::keyed,
                     RetryState(request.is_repeatable, request.route->max_attempts, now + request.time_left));
  for (std::string const& home : request.homes)
    request.home_regions.push_back(context_.load_balancer.region_index(home));
  request.monitor_client();
  return context_.requests.open(std::move(owner));
}

}  // namespace dockbend
