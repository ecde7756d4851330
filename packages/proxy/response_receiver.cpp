#include "proxy/response_receiver.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <algorithm>
#include <cstdlib>

namespace dockbend {
namespace {
/// What an answer's head and the packets round it come to, about.
double constexpr kResponseOverheadBytes = 400;
/// A kept connection that fails so soon after a send had been closed by the server while it was idle.
Seconds constexpr kIdleResetWithin = 0.3;
/// How long a connection is kept idle: by default, and how much less than a server's own limit, and at most.
Seconds constexpr kIdleLimit = 4, kIdleMargin = 1.5, kIdleLimitMost = 3600;
/// Statuses from here on say that the server failed.
int constexpr kFirstServerFailure = 500;
/// Warm-up times from here on are taken for garbage.
Seconds constexpr kWarmUpBound = 1e9;

Seconds idle_limit_of(UpstreamResponse const& response) {
  std::string const* const keep_alive = find_header(response.headers, "Keep-Alive");
  if (keep_alive == nullptr) return kIdleLimit;
  std::string_view constexpr kName = "timeout=";
  auto const position = keep_alive->find(kName);
  if (position == std::string::npos) return kIdleLimit;
  Seconds const server_limit = std::strtod(keep_alive->c_str() + position + kName.size(), nullptr);
  return std::clamp(server_limit - kIdleMargin, 0.0, kIdleLimitMost);
}

bool says_close(UpstreamResponse const& response) {
  std::string const* const value = find_header(response.headers, "Connection");
  return value != nullptr && same_header_name(*value, "close");
}

/// A server's own failure is not the request's answer while another attempt may still bring a better one.
AttemptResult result_of(ResponseCheck const& check, UpstreamResponse const& response, ProxiedRequest const& request) {
  bool const is_failure = check.result == AttemptResult::complete && response.status >= kFirstServerFailure;
  return is_failure && request.has_attempt_at_work() ? AttemptResult::failed : check.result;
}

bool has_unread_bytes(UpstreamConnection const& connection) {
  bufferevent* const socket = evhttp_connection_get_bufferevent(connection.http.get());
  return evbuffer_get_length(bufferevent_get_input(socket)) > 0;
}
}  // namespace

void ResponseReceiver::on_return(UpstreamConnection& connection, evhttp_request* upstream_request) {
  ProxiedRequest* const request =
      context_.requests.find_attempt(RequestsInFlight::Handle::from_pointer(connection.owner), &connection);
  if (request == nullptr) return context_.connections.retire(connection);
  Seconds const now = steady_now();
  if (upstream_request == nullptr || evhttp_request_get_response_code(upstream_request) == 0)
    return on_no_response(*request, connection, request->take_hedged_attempt(&connection), now);
  UpstreamResponse const response = read_response(*request, upstream_request);
  count_bytes(response, connection.server);
  ResponseCheck const check = request->machine.check_response(response);
  if (check.rejection) context_.requests.filter().count_discard(*check.rejection);
  if (check.rejection == ResponseRejection::other_id && !ends_with_connection(response) &&
      context_.connections.await_next_response(connection, request->method))
    return;
  std::optional<Attempt> const hedged = request->take_hedged_attempt(&connection);
  bool const has_surplus = has_unread_bytes(connection);
  if (has_surplus) context_.requests.filter().count_discard(ResponseRejection::surplus);
  learn_warm_up(response, connection.server, now);
  if (check.result == AttemptResult::broken) return on_failed(*request, connection, hedged, check.result);
  Attempt const attempt = hedged ? *hedged : request->awaited;
  bool const was_kept = connection.idle_before >= 0;
  if (!hedged) request->awaited.connection = nullptr;
  release_connection(connection, response, has_surplus, now);
  AttemptResult const result = result_of(check, response, *request);
  if (result == AttemptResult::complete)
    return forward(*request, attempt, hedged.has_value(), upstream_request, response, now);
  if (result == AttemptResult::failed) attempts_.record_failure(*request, attempt, "failure of its server");
  if (hedged) return attempts_.on_hedged_failed(*request, attempt, result, was_kept);
  attempts_.on_failed(*request, result);
}

void ResponseReceiver::on_no_response(ProxiedRequest& request, UpstreamConnection& connection,
                                      std::optional<Attempt> const& hedged, Seconds now) {
  Attempt const attempt = hedged ? *hedged : request.awaited;
  // An idle connection that the server had closed or forgotten: no byte came back.
  if (connection.idle_before > 0 && now - attempt.started_at < kIdleResetWithin)
    context_.load_balancer.report_idle_reset(connection.server, connection.idle_before, now);
  if (connection.has_sent) attempts_.record_failure(request, attempt, exchange_failure_name(connection.failure));
  on_failed(request, connection, hedged, connection.has_sent ? AttemptResult::broken : AttemptResult::unsent);
}

void ResponseReceiver::on_failed(ProxiedRequest& request, UpstreamConnection& connection,
                                 std::optional<Attempt> const& hedged, AttemptResult result) {
  if (!hedged) return attempts_.on_failed(request, result);
  bool const was_kept = connection.idle_before >= 0;
  context_.connections.retire(connection);
  attempts_.on_hedged_failed(request, *hedged, result, was_kept);
}

UpstreamResponse ResponseReceiver::read_response(ProxiedRequest const& request,
                                                 evhttp_request* upstream_request) const {
  UpstreamResponse response;
  response.status = evhttp_request_get_response_code(upstream_request);
  response.headers = headers_of(evhttp_request_get_input_headers(upstream_request));
  response.body_bytes = evbuffer_get_length(evhttp_request_get_input_buffer(upstream_request));
  response.answers_head_request = request.method == EVHTTP_REQ_HEAD;
  return response;
}

void ResponseReceiver::count_bytes(UpstreamResponse const& response, ServerIndex server) {
  double const bytes = static_cast<double>(response.body_bytes) + kResponseOverheadBytes;
  context_.traffic.bytes_in += bytes;
  context_.traffic.bytes_out += bytes;
  if (context_.is_remote(server)) context_.traffic.remote_bytes_in += bytes;
}

void ResponseReceiver::learn_warm_up(UpstreamResponse const& response, ServerIndex server, Seconds now) {
  std::string const* const value = find_header(response.headers, "X-Cold-Remaining");
  if (value == nullptr) return;
  Seconds const left = std::strtod(value->c_str(), nullptr);
  if (left > 0 && left < kWarmUpBound) context_.load_balancer.start_warm_up(server, left, now);
}

void ResponseReceiver::release_connection(UpstreamConnection& connection, UpstreamResponse const& response,
                                          bool has_surplus, Seconds now) {
  bool const may_be_kept = !has_surplus && !connection.had_stray_response && !says_close(response) &&
                           !ends_with_connection(response) && !context_.drain.is_shutting_down();
  if (may_be_kept)
    context_.connections.release_idle(connection, idle_limit_of(response), now);
  else
    context_.connections.retire(connection);
}

void ResponseReceiver::forward(ProxiedRequest& request, Attempt const& attempt, bool is_hedged,
                               evhttp_request* upstream_request, UpstreamResponse const& response, Seconds now) {
  context_.load_balancer.attempt_succeeded(attempt.server, now - attempt.started_at, now, &request.route->name);
  if (response.status >= kFirstServerFailure) context_.load_balancer.report_failure(attempt.server, now);
  if (!is_hedged) usage_.count(request);  // a hedged one was counted when it was hedged
  RequestAction const action =
      is_hedged ? request.machine.on_hedged_ended(AttemptResult::complete)
                : request.machine.on_attempt_ended(AttemptResult::complete, now, 0, [] { return false; });
  attempts_.abandon_all(request);
  flow_.carry_out(request, action);
  evbuffer* const body = evhttp_request_get_input_buffer(upstream_request);
  if (action.claim == ClaimDisposition::returned)
    key_outcomes_.report_answer(make_stored_answer(request, upstream_request, response, body));
  writer_.forward(request, upstream_request, response, body);
  flow_.finish(request);
}

}  // namespace dockbend
