#include "leases/usage_reporter.hpp"

#include <algorithm>
#include <cmath>

namespace dockbend {
namespace {

Seconds constexpr kNewHolderDelay = 1.2;  // until the other controllers have passed on their counts
Seconds constexpr kMinFreezeInterval = 0.5;
u32 constexpr kMaxRejections = 6;  // then the platform means it
u32 constexpr kMaxBackoffDoublings = 8;
double constexpr kMinBackoffFactor = 0.9, kBackoffFactorSpread = 0.2;
int constexpr kRequestTimeout = 408, kTooManyRequests = 429;

bool is_success(int status) {
  return status >= 200 && status < 300;
}

}  // namespace

std::optional<FrozenUsageReport> UsageReporter::report_to_freeze(ReplicatedState const& state,
                                                                 UsageTotals const& totals, WallSeconds wall_time,
                                                                 Seconds now, Seconds holder_for) {
  if (holder_for < kNewHolderDelay || now - freeze_proposed_at_ < kMinFreezeInterval) return std::nullopt;
  UsageWindow const window = state.to_fix != 0 ? UsageWindow(state.to_fix) : totals.first_window();
  if (window.v == 0) return std::nullopt;  // nothing was ever counted
  WallSeconds const window_end = static_cast<double>(window.v + 1) * options_.report_period;
  Seconds const delay = totals.is_complete(window) ? options_.settle_delay : options_.straggler_delay;
  if (wall_time < window_end + delay) return std::nullopt;
  freeze_proposed_at_ = now;
  FrozenUsageReport report;
  report.window = window.v;
  report.body = usage_report_body(window, totals.counts_by_tenant(window));
  return report;
}

bool UsageReporter::freeze(ReplicatedState& state, FrozenUsageReport const& report) {
  if (state.to_fix != 0 && state.to_fix != report.window) return false;
  state.fixed.push_back(report);
  state.to_fix = report.window + 1;
  return true;
}

bool UsageReporter::tick_off(ReplicatedState& state, u64 window) {
  return std::erase_if(state.fixed, [&](FrozenUsageReport const& report) { return report.window == window; }) > 0;
}

std::optional<FrozenUsageReport> UsageReporter::report_to_send(ReplicatedState const& state, Seconds now) {
  bool const is_still_frozen =
      acknowledged_window_ && std::any_of(state.fixed.begin(), state.fixed.end(), [&](FrozenUsageReport const& report) {
        return report.window == *acknowledged_window_;
      });
  if (!is_still_frozen) acknowledged_window_.reset();
  if (is_calling_ || now < next_call_at_) return std::nullopt;
  auto const next = std::find_if(state.fixed.begin(), state.fixed.end(), [&](FrozenUsageReport const& report) {
    return !acknowledged_window_ || report.window > *acknowledged_window_;
  });
  if (next == state.fixed.end()) return std::nullopt;
  return *next;
}

void UsageReporter::on_sent(Seconds now) {
  is_calling_ = true;
  next_call_at_ = now + options_.min_call_gap;
}

void UsageReporter::on_response(u64 window, PlatformResponse const& response, Seconds now) {
  is_calling_ = false;
  if (!is_success(response.status) && !is_rejected_for_good(response.status)) return back_off(response, now);
  acknowledged_window_ = window;
  failed_calls_ = rejected_calls_ = 0;
  next_call_at_ = now + options_.min_call_gap;
}

bool UsageReporter::is_rejected_for_good(int status) {
  // The reporter can't repair a report that the platform keeps rejecting, and it must not hold up later windows.
  bool const is_rejected = status >= 400 && status < 500 && status != kRequestTimeout && status != kTooManyRequests;
  return is_rejected && ++rejected_calls_ >= kMaxRejections;
}

void UsageReporter::back_off(PlatformResponse const& response, Seconds now) {
  double const doublings = std::min(failed_calls_, kMaxBackoffDoublings);
  Seconds const backoff = std::min(options_.max_backoff, options_.initial_backoff * std::pow(2.0, doublings));
  ++failed_calls_;
  // The platform's wait is heeded up to a bound: "inf", or a year, would end the reports for good.
  Seconds const retry_after = response.retry_after.value_or(0);
  Seconds const platform_wait = std::isfinite(retry_after) ? std::min(retry_after, options_.max_retry_after) : 0;
  next_call_at_ = now + std::max(platform_wait, backoff * (kMinBackoffFactor + kBackoffFactorSpread * random01()));
}

void UsageReporter::on_role_lost() {
  is_calling_ = false;
  failed_calls_ = rejected_calls_ = 0;
  acknowledged_window_.reset();
}

}  // namespace dockbend
