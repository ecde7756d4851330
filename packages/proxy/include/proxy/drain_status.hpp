/// Whether the proxy still takes requests, and of which kind. State only; ShutdownSequence acts on it. No I/O.
#pragma once
#include "drain/proxy_drain_state.hpp"

namespace dockbend {

/// Two reasons to stop: a SIGTERM (graceful shutdown, never taken back) and an operator's drain for maintenance
/// (may be taken back).
class DrainStatus {
 public:
  explicit DrainStatus(u64 incarnation) : maintenance_(incarnation) {}

  void begin_shutdown(Seconds now);
  bool is_shutting_down() const { return is_shutting_down_; }
  Seconds shutdown_started_at() const { return shutdown_started_at_; }

  bool is_draining_for_maintenance() const { return maintenance_.is_draining(); }
  /// Client connections are closed after their next answer.
  bool closes_connections() const { return is_shutting_down_ || is_draining_for_maintenance(); }
  /// Has a SIGTERM arrived? True from the signal's delivery on: the loop may handle its event later than a timer.
  bool is_terminating() const;

  ProxyDrainState& maintenance() { return maintenance_; }

 private:
  bool is_shutting_down_ = false;
  Seconds shutdown_started_at_ = 0;
  ProxyDrainState maintenance_;
};

}  // namespace dockbend
