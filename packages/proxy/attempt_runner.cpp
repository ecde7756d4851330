#include "proxy/attempt_runner.hpp"

#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <utility>

namespace dockbend {
namespace {
Seconds constexpr kShortestTimeForAttempt = 0.002;
/// First ejection of a server that let nobody in, or cut off what it had worked on for long; and of a slow one.
Seconds constexpr kEjection = 0.4, kShortEjection = 0.1;
/// A connection that breaks after so long was not just being closed by the server when the request came.
Seconds constexpr kLongAttempt = 0.2;
/// A late attempt is hedged only while this part of the service's mean latency is left.
double constexpr kLatencyPartLeftForHedge = 0.3;

/// A server's socket has room for a smaller request, whether its server reads or not (the least receive buffer of
/// Linux).
std::size_t constexpr kBodyThatMayWait = 2048;
/// How often a larger one is looked after until its server's machine has acknowledged a byte of it.
Seconds constexpr kAcknowledgementCheckInterval = 0.1;
/// The system's limit on unacknowledged bytes comes so long after the deadline, which ends the attempt itself.
Seconds constexpr kLimitBehindDeadline = 1;

/// Why an attempt ended, as it is logged.
char constexpr kDeadline[] = "deadline";

/// When a client that is refused should come back.
Seconds retry_after(ProxiedRequest const& request) {
  return 0.05 + 0.25 * request.route->latency_target * (0.5 + random01());
}
}  // namespace

EndpointQuery AttemptRunner::query_of(ProxiedRequest const& request) const {
  EndpointQuery query;
  query.service = request.service_index;
  query.homes = &request.home_regions;
  query.attempted = &request.attempted;
  query.is_upload = request.is_upload;
  query.latency_target = request.route->latency_target;
  query.route = &request.route->name;
  return query;
}

void AttemptRunner::start(ProxiedRequest& request) {
  Seconds const now = steady_now();
  if (request.deadline() - now < kShortestTimeForAttempt) return give_up(request, "no time left");
  LoadBalancer::Choice const choice = context_.load_balancer.choose(query_of(request), now);
  if (!choice.server)
    return give_up(request, choice.refusal == LoadBalancer::Refusal::no_candidate ? "no server may take it"
                                                                                  : "all servers at capacity");
  if (request.retry_state().attempts() == 0 &&
      should_shed(request.rank, choice.expected_latency, request.route->latency_target, choice.usual_latency))
    return give_up(request, "shed");
  send(request, *choice.server, now);
}

void AttemptRunner::send(ProxiedRequest& request, ServerIndex server, Seconds now) {
  switch (sender_.send(request, server, now)) {
    case UpstreamSender::Outcome::failed: return on_failed(request, AttemptResult::unsent);
    case UpstreamSender::Outcome::over: return;
    case UpstreamSender::Outcome::sent: break;
  }
  usage_.attempt_sent(request, now);
  set_timer(request, now);
}

void AttemptRunner::give_up(ProxiedRequest& request, char const* reason) {
  Seconds const now = steady_now();
  flow_.carry_out(request, request.machine.on_no_server(now, retry_after(request), reason));
}

void AttemptRunner::abort_awaited(ProxiedRequest& request) {
  if (request.awaited.connection == nullptr) return;
  context_.connections.abort(*std::exchange(request.awaited.connection, nullptr));
}

void AttemptRunner::on_failed(ProxiedRequest& request, AttemptResult result) {
  Seconds const now = steady_now();
  ServerIndex const server = request.awaited.server;
  bool const was_kept = request.awaited.connection != nullptr && request.awaited.connection->idle_before >= 0;
  abort_awaited(request);
  context_.load_balancer.attempt_abandoned(server);
  if (!proves_not_run(result)) usage_.count(request);
  report_failure(server, result, was_kept, request.awaited.started_at, now);
  flow_.carry_out(request, request.machine.on_attempt_ended(result, now, retry_after(request),
                                                            [&] { return spend_retry_budget(request, now); }));
}

void AttemptRunner::report_failure(ServerIndex server, AttemptResult result, bool was_kept, Seconds attempt_started_at,
                                   Seconds now) {
  LoadBalancer& balancer = context_.load_balancer;
  switch (result) {
    // A server that closes a kept connection is healthy; only one that lets nobody in is ejected.
    case AttemptResult::unsent:
      if (!was_kept) balancer.eject(server, kEjection, now);
      break;
    case AttemptResult::misdirected: balancer.report_misdirected(server); break;
    case AttemptResult::not_run: balancer.report_at_capacity(server, now); break;
    case AttemptResult::broken:
      balancer.eject(server, now - attempt_started_at > kLongAttempt ? kEjection : kShortEjection, now);
      break;
    case AttemptResult::silent: balancer.eject(server, kShortEjection, now); break;
    case AttemptResult::failed: balancer.report_failure(server, now); break;
    case AttemptResult::complete: break;
  }
}

void AttemptRunner::record_failure(ProxiedRequest const& request, Attempt const& attempt, char const* cause) {
  ++context_.failed_attempts[cause];
  if (!context_.drain.is_terminating()) return;
  LOG4CPLUS_INFO(logger_, "While shutting down, attempt "
                              << attempt.number << " of " << request.machine.attempt_id() << " at "
                              << context_.load_balancer.endpoint(attempt.server).address << " ended after "
                              << steady_now() - attempt.started_at << " s: " << cause << ".");
}

void AttemptRunner::on_timer(ProxiedRequest& request) {
  Seconds const now = steady_now();
  bool const has_connection = request.awaited.connection != nullptr;
  bool const is_sent = request.awaited.is_sent();
  if (awaits_acknowledgement(request))
    context_.connections.check_acknowledged(*request.awaited.connection,
                                            request.deadline() - now + kLimitBehindDeadline);
  switch (request.retry_state().timer_meaning(now, has_connection, is_sent, context_.drain.is_terminating())) {
    case RetryState::TimerMeaning::expired: return expire(request, now);
    case RetryState::TimerMeaning::unsent: return on_failed(request, AttemptResult::unsent);
    case RetryState::TimerMeaning::late:
      if (request.deadline() - now > kLatencyPartLeftForHedge * context_.load_balancer.mean_latency(
                                                                    request.service_index, request.route->name, now) &&
          hedge_late_attempt(request, now))
        return;
      break;
    case RetryState::TimerMeaning::wait: break;
  }
  set_timer(request, now);
}

void AttemptRunner::set_timer(ProxiedRequest& request, Seconds now) {
  Seconds const next =
      request.retry_state().next_timer(now, request.awaited.connection != nullptr, request.awaited.is_sent());
  request.set_timer(awaits_acknowledgement(request) ? std::min(next, now + kAcknowledgementCheckInterval) : next);
}

bool AttemptRunner::awaits_acknowledgement(ProxiedRequest const& request) const {
  UpstreamConnection const* const connection = request.awaited.connection;
  return request.body_bytes >= kBodyThatMayWait && connection != nullptr && !connection->is_acknowledged;
}

bool AttemptRunner::spend_retry_budget(ProxiedRequest const& request, Seconds now) {
  LoadBalancer& balancer = context_.load_balancer;
  return balancer.retry_budget(request.service_index).take(now, balancer.proxy_share());
}

bool AttemptRunner::hedge_late_attempt(ProxiedRequest& request, Seconds now) {
  LoadBalancer& balancer = context_.load_balancer;
  LoadBalancer::Choice choice;
  auto const choose_server = [&] {
    choice = balancer.choose(query_of(request), now);
    return static_cast<bool>(choice.server);
  };
  auto const spend_budget = [&] { return spend_retry_budget(request, now); };
  if (!request.machine.hedge_attempt(now, context_.drain.is_terminating(), choose_server, spend_budget)) return false;
  ++context_.hedged_attempts;
  usage_.count(request);
  balancer.eject(request.awaited.server, kShortEjection, now);
  request.hedged_attempts.push_back(std::exchange(request.awaited, {}));
  send(request, *choice.server, now);
  return true;
}

void AttemptRunner::on_hedged_failed(ProxiedRequest& request, Attempt const& attempt, AttemptResult result,
                                     bool was_kept) {
  context_.load_balancer.attempt_abandoned(attempt.server);
  report_failure(attempt.server, result, was_kept, attempt.started_at, steady_now());
  flow_.carry_out(request, request.machine.on_hedged_ended(result));
}

void AttemptRunner::resume_hedged(ProxiedRequest& request) {
  Attempt const attempt = request.hedged_attempts.back();
  request.hedged_attempts.pop_back();
  request.awaited = attempt;
  request.counted_attempts = request.retry_state().attempts();  // it was counted when it was hedged
  set_timer(request, steady_now());
}

void AttemptRunner::abandon_all(ProxiedRequest& request) {
  if (request.awaited.connection != nullptr) {
    if (request.awaited.is_sent()) usage_.count(request);
    abort_awaited(request);
    context_.load_balancer.attempt_abandoned(request.awaited.server);
  }
  for (Attempt const& hedged : request.hedged_attempts) {
    context_.connections.abort(*hedged.connection);
    context_.load_balancer.attempt_abandoned(hedged.server);
  }
  request.hedged_attempts.clear();
}

void AttemptRunner::on_client_disconnected(ProxiedRequest& request) {
  bool const is_sent = request.awaited.is_sent();
  RequestAction const action = request.machine.on_client_disconnected(is_sent);
  if (action.step == RequestAction::Step::wait) {
    ++context_.runs_without_client;
    return;
  }
  report_cancelled(request, steady_now());
  abandon_all(request);
  flow_.carry_out(request, action);
}

void AttemptRunner::report_cancelled(ProxiedRequest const& request, Seconds now) {
  LoadBalancer& balancer = context_.load_balancer;
  if (request.awaited.is_sent())
    balancer.attempt_cancelled(request.awaited.server, now - request.awaited.started_at, now, &request.route->name);
  for (Attempt const& hedged : request.hedged_attempts)
    balancer.attempt_cancelled(hedged.server, now - hedged.started_at, now, &request.route->name);
}

void AttemptRunner::expire(ProxiedRequest& request, Seconds now) {
  bool const is_sent = request.awaited.is_sent();
  if (is_sent) record_failure(request, request.awaited, kDeadline);
  for (Attempt const& hedged : request.hedged_attempts)
    record_failure(request, hedged, kDeadline);
  if (request.awaited.connection != nullptr) context_.load_balancer.eject(request.awaited.server, kShortEjection, now);
  abandon_all(request);
  flow_.carry_out(request, request.machine.on_deadline(is_sent));
}

}  // namespace dockbend
