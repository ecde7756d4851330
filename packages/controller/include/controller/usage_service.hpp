/// The singleton role `usage`: reports to the platform what each tenant used, window by window.
#pragma once
#include <memory>
#include <string>

#include "controller/controller_context.hpp"
#include "controller/lease_service.hpp"
#include "controller/singleton_role.hpp"
#include "leases/platform_client.hpp"
#include "leases/usage_reporter.hpp"
#include "usage/median_clock.hpp"
#include "usage/usage_totals.hpp"

namespace dockbend {

/// Collects the proxies' request counts and passes them to the lease holder; as the holder it fixes each
/// window's report by consensus and sends it. Owns the median clock, which decides when a window is over.
/// Runs on the event loop; refers to its context and to the leases, and owns neither.
class UsageService : public SingletonRole {
 public:
  /// Adds itself to `leases`.
  UsageService(ControllerContext& context, LeaseService& leases);

  void tick(Seconds now);
  /// A new value was committed.
  void on_committed();
  /// Counts of proxies, from their agents or from another controller.
  void on_usage_update(UsageUpdate const& update);
  /// Windows before `window` have their report fixed: their counts are not needed any more.
  void on_windows_fixed(u64 window) { totals_.forget_before(UsageWindow(window)); }
  /// A reading of another controller's wall clock. `steady_at`: our steady clock at the middle of the exchange.
  void on_peer_clock(std::string const& ip, Seconds steady_at, WallSeconds peer_wall);

  bool is_wanted() const override;
  bool has_call_in_flight() const override { return platform_ && platform_->is_busy(); }
  /// Ticks off the report that the platform acknowledged.
  void amend_lease_change(ReplicatedState& state) override { tick_off_acknowledged(state); }
  void on_lease_lost() override;
  void write_status(JsonWriter& json, ReplicatedState const& state) const override;

 private:
  bool tick_off_acknowledged(ReplicatedState& state) const;
  void report(Seconds now);
  void fix_next_report(Seconds now);
  bool apply_fixed_report(ReplicatedState& state, FrozenUsageReport const& report, u64 fence) const;
  void send_next_report(Seconds now);
  void post_report(FrozenUsageReport const& report);
  void on_report_answer(u64 window, PlatformResponse const& response);
  void forward_counts(Seconds now);

  ControllerContext& context_;
  LeaseService& leases_;
  UsageReporter reporter_;
  std::unique_ptr<PlatformClient> platform_;  ///< null if the settings name no platform
  UsageTotals totals_;
  MedianClock clock_;
  u64 holder_fence_ = 0;           ///< fencing token of the holder that counts were last forwarded to
  bool must_forward_all_ = false;  ///< the holder may lack counts that were forwarded before
  Seconds forwarded_at_ = 0;
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("controller");
};

}  // namespace dockbend
