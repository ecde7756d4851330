#include "proxy/attempt_runner.hpp"

namespace dockbend {
namespace {
Seconds constexpr kShortestTimeForAttempt = 0.002;
/// First ejection of a server that let nobody in, or cut off what it had worked on for long; and of a slow one.
Seconds constexpr kEjection = 0.4, kShortEjection = 0.1;
/// A connection that breaks after so long was not just being closed by the server when the request came.
Seconds constexpr kLongAttempt = 0.2;
/// A late attempt is replaced only while this part of the service's mean latency is left.
double constexpr kLatencyPartLeftForReplacement = 0.3;

/// When a client that is refused should come back.
Seconds retry_after(ProxiedRequest const& request) {
  return 0.05 + 0.25 * request.route->latency_target * (0.5 + random01());
}
}  // namespace

EndpointQuery AttemptRunner::query_of(ProxiedRequest const& request) const {
  EndpointQuery query;
  query.pool = request.service_index;
  query.homes = &request.home_regions;
  query.attempted = &request.attempted;
  query.bulky = request.upload;
  query.latency_target = request.route->latency_target;
  return query;
}

void AttemptRunner::start(ProxiedRequest& request) {
  Seconds const now = steady_now();
  if (request.deadline() - now < kShortestTimeForAttempt) return give_up(request, "no time left");
  LoadBalancer::Choice const choice = context_.load_balancer.choose(query_of(request), now);
  if (!choice.ix)
    return give_up(request, choice.no == LoadBalancer::No::none ? "no server may take it" : "all servers at capacity");
  if (request.retry_state().attempts() == 0 && should_shed(request.rank, choice.est, request.route->latency_target))
    return give_up(request, "shed");
  send(request, *choice.ix, now);
}

void AttemptRunner::send(ProxiedRequest& request, ServerIndex server, Seconds now) {
  switch (sender_.send(request, server, now)) {
    case UpstreamSender::Outcome::failed: return on_failed(request, AttemptResult::unsent);
    case UpstreamSender::Outcome::over: return;
    case UpstreamSender::Outcome::sent: break;
  }
  usage_.attempt_sent(request, now);
  request.set_timer(request.retry_state().next(now, true, false));
}

void AttemptRunner::give_up(ProxiedRequest& request, char const* reason) {
  Seconds const now = steady_now();
  flow_.carry_out(request, request.machine.none(now, retry_after(request), reason));
}

void AttemptRunner::retire_connection(ProxiedRequest& request) {
  if (request.connection == nullptr) return;
  UpstreamConnection& connection = *request.connection;
  request.connection = nullptr;
  connection.busy = false;
  context_.connections.doom(connection);
}

void AttemptRunner::on_failed(ProxiedRequest& request, AttemptResult result) {
  Seconds const now = steady_now();
  ServerIndex const server = request.server;
  bool const was_kept = request.connection != nullptr && request.connection->idle_was >= 0;
  retire_connection(request);
  context_.load_balancer.dropped(server);
  if (!surely_not_run(result)) usage_.count(request);
  report_failure(server, result, was_kept, request.retry_state().attempt_started_at(), now);
  flow_.carry_out(request, request.machine.ended(result, now, retry_after(request), [&] {
    return context_.load_balancer.budget(request.service_index).take(now, context_.load_balancer.part());
  }));
}

void AttemptRunner::report_failure(ServerIndex server, AttemptResult result, bool was_kept, Seconds attempt_started_at,
                                   Seconds now) {
  LoadBalancer& balancer = context_.load_balancer;
  switch (result) {
    // A server that closes a kept connection is healthy; only one that lets nobody in is ejected.
    case AttemptResult::unsent:
      if (!was_kept) balancer.shun(server, kEjection, now);
      break;
    case AttemptResult::misdirected: balancer.misdirected(server); break;
    case AttemptResult::not_run: balancer.full(server, now); break;
    case AttemptResult::broken:
      balancer.shun(server, now - attempt_started_at > kLongAttempt ? kEjection : kShortEjection, now);
      break;
    case AttemptResult::silent: balancer.shun(server, kShortEjection, now); break;
    case AttemptResult::whole: break;
  }
}

void AttemptRunner::on_timer(ProxiedRequest& request) {
  Seconds const now = steady_now();
  bool const has_connection = request.connection != nullptr;
  bool const is_sent = has_connection && request.connection->sent;
  switch (request.retry_state().due(now, has_connection, is_sent, context_.drain.is_terminating())) {
    case RetryState::Due::expired: return expire(request, now);
    case RetryState::Due::unsent: return on_failed(request, AttemptResult::unsent);
    case RetryState::Due::late:
      if (request.deadline() - now >
              kLatencyPartLeftForReplacement * context_.load_balancer.lat_of(request.service_index) &&
          replace_late_attempt(request, now))
        return;
      break;
    case RetryState::Due::wait: break;
  }
  request.set_timer(request.retry_state().next(now, has_connection, is_sent));
}

bool AttemptRunner::replace_late_attempt(ProxiedRequest& request, Seconds now) {
  LoadBalancer& balancer = context_.load_balancer;
  LoadBalancer::Choice choice;
  auto const choose_server = [&] {
    choice = balancer.choose(query_of(request), now);
    return static_cast<bool>(choice.ix);
  };
  auto const spend_budget = [&] { return balancer.budget(request.service_index).take(now, balancer.part()); };
  if (!request.machine.replace_attempt(now, context_.drain.is_terminating(), choose_server, spend_budget)) return false;
  ServerIndex const server = request.server;
  retire_connection(request);
  balancer.dropped(server);
  usage_.count(request);
  balancer.shun(server, kShortEjection, now);
  send(request, *choice.ix, now);
  return true;
}

void AttemptRunner::expire(ProxiedRequest& request, Seconds now) {
  bool const is_sent = request.connection != nullptr && request.connection->sent;
  if (is_sent) usage_.count(request);
  if (request.connection != nullptr) {
    retire_connection(request);
    context_.load_balancer.dropped(request.server);
    context_.load_balancer.shun(request.server, kShortEjection, now);
  }
  flow_.carry_out(request, request.machine.expired(is_sent));
}

}  // namespace dockbend
