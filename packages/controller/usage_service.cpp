#include "controller/usage_service.hpp"

#include <algorithm>

namespace dockbend {

namespace {

/// A window's report waits for late counts; both times are parts of the bound on the reports' delay.
double constexpr kSettlePartOfDelay = 0.15;
double constexpr kLatePartOfDelay = 0.6;
/// A call to the platform has to end well within the lease that it is made under.
double constexpr kCallPartOfLease = 0.35;
Seconds constexpr kMaxCall = 1.0;
/// Calls use at most half of the rate that the platform allows.
double constexpr kRateReserve = 2.0;
Seconds constexpr kForwardPeriod = 0.5;
/// How long the fixing of a report may wait for a majority.
Seconds constexpr kFixPatience = 1.0;
int constexpr kHttpOk = 200;
char constexpr kReportTask[] = "usage_report";

UsageReportOptions report_options(Settings const& settings) {
  UsageReportOptions options;
  options.report_period = settings.bounds.reportPeriodS;
  options.settle_delay = kSettlePartOfDelay * settings.bounds.usageDelayS;
  options.straggler_delay = kLatePartOfDelay * settings.bounds.usageDelayS;
  options.call_timeout = std::min(kMaxCall, kCallPartOfLease * settings.bounds.leaseTermS);
  if (settings.dutyPerS > 0) options.min_call_gap = std::max(options.min_call_gap, kRateReserve / settings.dutyPerS);
  return options;
}

}  // namespace

UsageService::UsageService(ControllerContext& context, LeaseService& leases)
    : context_(context), leases_(leases), reporter_(report_options(context.settings)) {
  if (context.settings.cloud) platform_ = std::make_unique<PlatformClient>(context.loop, *context.settings.cloud);
  leases.add_role(kUsageRole, *this);
}

void UsageService::tick(Seconds now) {
  clock_.on_own_reading(now, wall_clock_now());
  report(now);
  forward_counts(now);
}

void UsageService::on_committed() {
  if (!context_.committed) return;
  Lease const* lease = context_.committed->term(kUsageRole);
  if (lease == nullptr || lease->fence == holder_fence_) return;
  holder_fence_ = lease->fence;
  must_forward_all_ = true;  // the new holder needs everything that is not reported yet
}

void UsageService::on_usage_update(UsageUpdate const& update) {
  for (UsageRow const& row : update.rows)
    totals_.merge(row);
}

void UsageService::on_peer_clock(std::string const& ip, Seconds steady_at, WallSeconds peer_wall) {
  clock_.on_peer_reading(ip, steady_at, peer_wall);
}

// The lease

bool UsageService::is_wanted() const {
  std::vector<std::string> const& tasks = context_.settings.cloudTasks;
  return platform_ && std::find(tasks.begin(), tasks.end(), kReportTask) != tasks.end() &&
         context_.tenants.has_tenants();
}

void UsageService::on_lease_lost() {
  if (platform_) platform_->cancel();
  reporter_.on_role_lost();
}

void UsageService::write_status(JsonWriter& json, ReplicatedState const& state) const {
  u64 const first_unacknowledged = state.fixed.empty() ? state.to_fix : state.fixed.front().window;
  write_member(json, "lastWindow", first_unacknowledged == 0 ? u64{0} : first_unacknowledged - 1);
  write_member(json, "outstanding", u64{state.fixed.size()});
}

// Reporting

void UsageService::report(Seconds now) {
  if (!leases_.holds(kUsageRole) || !context_.committed || !platform_) return;
  fix_next_report(now);
  send_next_report(now);
}

void UsageService::fix_next_report(Seconds now) {
  Seconds const held_for = now - leases_.held_since(kUsageRole);
  auto const next = reporter_.report_to_freeze(*context_.committed, totals_, clock_.wall_time_at(now), now, held_for);
  if (!next) return;
  context_.submit([this, report = *next, fence = leases_.fence(kUsageRole)](
                      ReplicatedState& state) { return apply_fixed_report(state, report, fence); },
                  [](ReplicatedState const*) {}, kFixPatience);
}

/// Only the holder of the lease fixes reports: it alone has everybody's counts. True if the value changed.
bool UsageService::apply_fixed_report(ReplicatedState& state, FrozenUsageReport const& report, u64 fence) const {
  Lease const* lease = state.term(kUsageRole);
  if (lease == nullptr || lease->fence != fence || lease->holder != context_.settings.nodeName) return false;
  bool const is_ticked_off = tick_off_acknowledged(state);
  return UsageReporter::freeze(state, report) || is_ticked_off;
}

/// True if the value changed.
bool UsageService::tick_off_acknowledged(ReplicatedState& state) const {
  return reporter_.acknowledged_window() && UsageReporter::tick_off(state, *reporter_.acknowledged_window());
}

void UsageService::send_next_report(Seconds now) {
  auto const next = reporter_.report_to_send(*context_.committed, now);
  if (!next || !leases_.may_act(kUsageRole, now, reporter_.call_timeout())) return;
  reporter_.on_sent(now);
  post_report(*next);
}

void UsageService::post_report(FrozenUsageReport const& report) {
  platform_->post(
      "/usage",
      {{"X-Duty-Holder", context_.settings.nodeName}, {"X-Fence-Number", std::to_string(leases_.fence(kUsageRole))}},
      report.body, reporter_.call_timeout(),
      [this, window = report.window](PlatformResponse const& response) { on_report_answer(window, response); });
}

void UsageService::on_report_answer(u64 window, PlatformResponse const& response) {
  reporter_.on_response(window, response, steady_now());
  if (response.status != kHttpOk)
    LOG4CPLUS_INFO(logger_, "The report of usage window " << window << " was answered with " << response.status << ".");
}

/// Sends counts on to the lease holder; at the holder itself they only cease to count as changed.
void UsageService::forward_counts(Seconds now) {
  if (now - forwarded_at_ < kForwardPeriod || !context_.committed) return;
  forwarded_at_ = now;
  Lease const* lease = context_.committed->term(kUsageRole);
  if (lease == nullptr) return;
  if (lease->ip == context_.settings.ip) {
    totals_.take_update(UsageRows::changed);
    return;
  }
  auto const holder = context_.controllers.find(lease->ip);
  if (holder == context_.controllers.end() || !holder->second.link || !holder->second.link->up()) {
    must_forward_all_ = true;
    return;
  }
  UsageUpdate const update = totals_.take_update(must_forward_all_ ? UsageRows::all : UsageRows::changed);
  must_forward_all_ = false;
  if (!update.rows.empty()) holder->second.link->send(MessageType::usage_update, 0, update);
}

}  // namespace dockbend
