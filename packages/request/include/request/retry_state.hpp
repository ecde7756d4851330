// The course of one errand's tries: what may be tried again, and when a wait has
// lasted long enough. No I/O.
#pragma once
#include <algorithm>

#include "request/headers.hpp"

namespace dockbend {

// Invariants: arrivals <= tries; once maybe_run() it stays so, and an errand that
// is not repeatable is then never sent again; tries that never left a machine
// count as tries, not as arrivals.
class RetryState {
 public:
  RetryState() = default;
  RetryState(bool repeatable, u32 max_attempts, Seconds deadline)
      : repeatable_(repeatable), max_(std::max<u32>(1, max_attempts)), deadline_(deadline) {}

  bool repeatable() const { return repeatable_; }
  bool maybe_run() const { return maybe_run_; }
  u32 attempts() const { return attempts_; }
  u32 arrivals() const { return arrivals_; }
  Seconds deadline() const { return deadline_; }
  Seconds attempt_started_at() const { return attempt_started_at_; }

  // patience: how long this try is worth waiting for while another server could
  // have it; connect: how long until a machine that took no byte is not there.
  void began(Seconds now, Seconds patience, Seconds connect) {
    ++attempts_;
    attempt_started_at_ = now;
    limit_ = now + patience;
    connect_ = now + connect;
  }
  void ended(AttemptResult e) { ended(e, surely_not_run(e)); }
  void ended(AttemptResult e, bool not_run) {
    if (e != AttemptResult::unsent) {
      ++arrivals_;
      paid_ = false;  // its budget token is used up
    }
    if (!not_run) maybe_run_ = true;
  }

  // May it go to another server, as far as it alone decides? The budget of all
  // proxies is asked after this.
  bool may_try_again(Seconds now) const {
    if (maybe_run_ && !repeatable_) return false;
    // A try that never left is no arrival; still, it ends some time.
    if (attempts_ >= max_ + 2 || arrivals_ >= max_) return false;
    return deadline_ - now >= 0.01;
  }
  // A budget token pays for an arrival: a retry that reached no server keeps its token
  // for the next one.
  bool costs_budget() const { return arrivals_ > 0 && !paid_; }
  // A budget token was taken for the next attempt.
  void paid() { paid_ = true; }

  // Would a retry be allowed if the attempt at work were broken off now? Only then may it be.
  bool may_replace(Seconds now) const {
    return repeatable_ && arrivals_ + 1 < max_ && attempts_ < max_ + 2 && deadline_ - now >= 0.01;
  }

  enum class Due { wait, expired, unsent, late };
  // What a timer that fired means. late: may be tried elsewhere, if it is worth it.
  Due due(Seconds now, bool at_server, bool sent, bool draining) const {
    if (now >= deadline_ - 0.001) return Due::expired;
    if (!at_server) return Due::wait;
    if (!sent) return now >= connect_ - 0.001 ? Due::unsent : Due::wait;
    // While draining, a server at work is never broken off.
    if (!draining && now >= limit_ - 0.001 && may_replace(now)) return Due::late;
    return Due::wait;
  }
  // When to look again.
  Seconds next(Seconds now, bool at_server, bool sent) const {
    if (!at_server) return deadline_;
    if (!sent) return std::min(deadline_, std::max(connect_, now + 0.01));
    if (may_replace(now)) return std::min(deadline_, std::max(limit_, now + 0.05));
    return deadline_;
  }

 private:
  bool repeatable_ = false, maybe_run_ = false, paid_ = false;
  u32 max_ = 1, attempts_ = 0, arrivals_ = 0;
  Seconds deadline_ = 0, attempt_started_at_ = 0, limit_ = 0, connect_ = 0;
};

}  // namespace dockbend
