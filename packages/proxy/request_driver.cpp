#include "proxy/request_driver.hpp"

#include <log4cplus/loggingmacros.h>

#include <vector>

#include "proxy/front_listener.hpp"

namespace dockbend {
namespace {
/// Answers of ours from here on, but for the promise that nothing ran, stand in place of a server's.
int constexpr kFirstFailureStatus = 500;

bool answers_client(RequestAction::Step step) {
  return step == RequestAction::Step::forward_response || step == RequestAction::Step::send_stored_answer ||
         step == RequestAction::Step::send_local_reply;
}
}  // namespace

RequestDriver::RequestDriver(ProxyContext& context, std::string front)
    : context_(context),
      writer_(context.drain, context.response_flushes),
      key_outcomes_(context.agent),
      usage_(context),
      quota_(context, *this, std::move(front)),
      idempotency_(context, *this, writer_),
      attempts_(context, *this, usage_),
      receiver_(context, *this, attempts_, usage_, key_outcomes_, writer_) {
  context_.connections.on_return.connect([this](UpstreamConnection& connection, evhttp_request* upstream_request) {
    receiver_.on_return(connection, upstream_request);
  });
}

void RequestDriver::carry_out(ProxiedRequest& request, RequestAction const& action) {
  if (action.refunds_quota) quota_.refund(request);
  if (action.claim == ClaimDisposition::not_run) key_outcomes_.report(request, KeyOutcome::not_run);
  if (action.claim == ClaimDisposition::lost) key_outcomes_.report(request, KeyOutcome::lost);
  if (action.reason != nullptr) ++context_.given_up[action.reason];
  if (answers_client(action.step))
    request.disconnect_monitor.stop(idle_timeout_seconds(context_.configuration.limits()));
  switch (action.step) {
    case RequestAction::Step::acquire_key: return idempotency_.acquire(request);
    case RequestAction::Step::choose_server: return attempts_.start(request);
    case RequestAction::Step::resume_hedged: return attempts_.resume_hedged(request);
    case RequestAction::Step::send_local_reply:
      log_own_failure(request, action);
      writer_.write_local_reply(request.client_request, action.reply, request.machine.attempt_id());
      return finish(request);
    case RequestAction::Step::wait:
    case RequestAction::Step::forward_response:
    case RequestAction::Step::send_stored_answer: break;
  }
}

void RequestDriver::log_own_failure(ProxiedRequest const& request, RequestAction const& action) const {
  if (!context_.drain.is_terminating() || action.reply.status < kFirstFailureStatus ||
      promises_not_run(action.reply.status))
    return;
  Seconds const now = steady_now();
  RetryState const& state = request.retry_state();
  LOG4CPLUS_INFO(logger_, "While shutting down, "
                              << request.machine.attempt_id() << " was answered with " << action.reply.status << " ("
                              << (action.reason != nullptr ? action.reason : "no reason") << "), "
                              << now - request.arrived_at << " s after it came, with " << state.deadline() - now
                              << " s left: " << state.attempts() << " attempts, " << state.arrivals()
                              << " arrived, the newest begun " << now - state.attempt_started_at() << " s ago.");
}

void RequestDriver::finish(ProxiedRequest& request) {
  if (request.route->kind == schema::RouteKind::keyed) context_.drain.maintenance().on_keyed_answer(steady_now());
  request.cancel_timer();
  context_.requests.close(request);
}

void RequestDriver::on_timer(ProxiedRequest& request) {
  if (QuotaGate::is_waiting(request)) return quota_.refuse(request);
  attempts_.on_timer(request);
}

void RequestDriver::on_client_disconnected(ProxiedRequest& request) {
  attempts_.on_client_disconnected(request);
}

void RequestDriver::find_hidden_disconnects() {
  std::vector<RequestsInFlight::Handle> left;
  context_.requests.for_each([&](ProxiedRequest const& request) {
    if (request.disconnect_monitor.has_hidden_disconnect()) left.push_back(request.handle);
  });
  for (RequestsInFlight::Handle const handle : left)
    if (ProxiedRequest* const request = context_.requests.find(handle)) request->disconnect_monitor.report_disconnect();
}

}  // namespace dockbend
