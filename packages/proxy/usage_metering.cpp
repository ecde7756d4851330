#include "proxy/usage_metering.hpp"

namespace dockbend {
namespace {
/// A server that was silent for so long after an attempt was sent has not rejected it at once.
Seconds constexpr kSilenceThatCounts = 0.3;
Seconds constexpr kReportInterval = 0.25;
}  // namespace

void UsageMetering::attempt_sent(ProxiedRequest const& request, Seconds now) {
  if (request.tenant) uncounted_.push_back({request.handle, request.retry_state().attempts(), now});
}

void UsageMetering::count(ProxiedRequest& request) {
  RetryState const& state = request.retry_state();
  if (!request.tenant || request.counted_attempts >= state.attempts()) return;
  request.counted_attempts = state.attempts();
  Seconds const started_at = state.attempt_started_at();
  WallSeconds const wall =
      clock_.is_known() ? clock_.wall_time_at(started_at) : wall_clock_now() - (steady_now() - started_at);
  counter_.count_request(request.tenant->name, usage_window_at(wall, context_.settings.bounds.reportPeriodS));
}

void UsageMetering::tick(Seconds now) {
  clock_.on_own_reading(now, wall_clock_now());
  count_silent(now);
  report(now);
}

void UsageMetering::count_silent(Seconds now) {
  while (!uncounted_.empty() && now - uncounted_.front().sent_at > kSilenceThatCounts) {
    UncountedAttempt const attempt = uncounted_.front();
    uncounted_.pop_front();
    ProxiedRequest* const request = context_.requests.find(attempt.handle);
    if (request != nullptr && request->retry_state().attempts() == attempt.attempts && request->awaited.is_sent())
      count(*request);
  }
}

void UsageMetering::report(Seconds now) {
  if (now - reported_at_ < kReportInterval || !context_.agent.up()) return;
  reported_at_ = now;
  UsageUpdate const update = counter_.take_update(reports_all_ ? UsageRows::all : UsageRows::changed);
  reports_all_ = false;
  if (!update.rows.empty()) context_.agent.send(MessageType::usage_update, 0, update);
}

void UsageMetering::report_immediately(Seconds now) {
  reported_at_ = 0;
  report(now);
}

void UsageMetering::on_clock_reading(WallSeconds wall) {
  clock_.on_peer_reading("agent", steady_now(), wall);
}

}  // namespace dockbend
