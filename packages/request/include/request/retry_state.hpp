/// The attempts of one request: what may still be attempted, and when a wait has lasted long enough. No I/O.
///
///                      attempt_started()
///     no attempt  ------------------------->  attempt at work
///         ^                                     |  timer_meaning(): wait, unsent, late or expired
///         |            attempt_ended()          |
///         +-------------------------------------+
///           may_retry()? costs_budget()? then the next attempt
///
/// RequestMachine calls attempt_started(), attempt_ended(), may_retry() and budget_paid(); the proxy's AttemptRunner
/// asks timer_meaning() and next_timer().
#pragma once
#include <algorithm>

#include "request/headers.hpp"

namespace dockbend {

/// Invariants: arrivals <= attempts; once may_have_run() it stays so, and a request that is not repeatable is then
/// never sent again; attempts that never left this machine count as attempts, not as arrivals.
class RetryState {
 public:
  RetryState() = default;
  /// deadline: a time point; max_attempts: arrivals at servers, at least 1.
  RetryState(bool is_repeatable, u32 max_attempts, Seconds deadline)
      : is_repeatable_(is_repeatable), max_attempts_(std::max<u32>(1, max_attempts)), deadline_(deadline) {}

  bool is_repeatable() const { return is_repeatable_; }
  /// Did an attempt end without a proof that the request has not run?
  bool may_have_run() const { return may_have_run_; }
  u32 attempts() const { return attempts_; }
  u32 arrivals() const { return arrivals_; }
  Seconds deadline() const { return deadline_; }
  Seconds attempt_started_at() const { return attempt_started_at_; }

  /// patience: how long the attempt is worth waiting for while another server could have it; connect_limit: how long
  /// until a machine that took no byte counts as absent.
  void attempt_started(Seconds now, Seconds patience, Seconds connect_limit) {
    ++attempts_;
    attempt_started_at_ = now;
    late_at_ = now + patience;
    unconnected_at_ = now + connect_limit;
  }
  void attempt_ended(AttemptResult result) { attempt_ended(result, proves_not_run(result)); }
  void attempt_ended(AttemptResult result, bool is_proof_of_not_run) {
    if (result != AttemptResult::unsent) {
      ++arrivals_;
      has_budget_token_ = false;  // this arrival used it up
    }
    if (!is_proof_of_not_run) may_have_run_ = true;
  }

  /// May it go to another server, as far as this request alone decides? The retry budget is asked after this.
  bool may_retry(Seconds now) const {
    if (may_have_run_ && !is_repeatable_) return false;
    return attempts_ < max_attempts_ + kAttemptsWithoutArrival && arrivals_ < max_attempts_ && has_time(now);
  }
  /// A budget token pays for an arrival: a retry that reached no server keeps its token for the next one.
  bool costs_budget() const { return arrivals_ > 0 && !has_budget_token_; }
  /// A budget token was taken for the next attempt.
  void budget_paid() { has_budget_token_ = true; }

  /// Would a retry beside the attempt at work be allowed now, that one counted as arrived?
  bool may_hedge(Seconds now) const {
    return is_repeatable_ && arrivals_ + 1 < max_attempts_ && attempts_ < max_attempts_ + kAttemptsWithoutArrival &&
           has_time(now);
  }

  enum class TimerMeaning {
    wait,     ///< nothing; arm the timer again
    expired,  ///< the deadline has come
    unsent,   ///< the server's machine took no byte for too long
    late,     ///< may be attempted elsewhere, if that is worth it
  };
  /// What a timer that fired means. has_connection: an attempt is at work; is_sent: a byte of it has left; draining:
  /// a SIGTERM has arrived, after which no attempt at work is hedged.
  TimerMeaning timer_meaning(Seconds now, bool has_connection, bool is_sent, bool draining) const {
    if (now >= deadline_ - kTimerSlack) return TimerMeaning::expired;
    if (!has_connection) return TimerMeaning::wait;
    if (!is_sent) return now >= unconnected_at_ - kTimerSlack ? TimerMeaning::unsent : TimerMeaning::wait;
    if (!draining && now >= late_at_ - kTimerSlack && may_hedge(now)) return TimerMeaning::late;
    return TimerMeaning::wait;
  }
  /// When to look again.
  Seconds next_timer(Seconds now, bool has_connection, bool is_sent) const {
    if (!has_connection) return deadline_;
    if (!is_sent) return std::min(deadline_, std::max(unconnected_at_, now + kShortestConnectWait));
    if (may_hedge(now)) return std::min(deadline_, std::max(late_at_, now + kShortestLateWait));
    return deadline_;
  }

 private:
  /// Attempts that never left this machine are no arrivals; still, they end some time.
  static u32 constexpr kAttemptsWithoutArrival = 2;
  static Seconds constexpr kShortestTimeForRetry = 0.01;
  static Seconds constexpr kTimerSlack = 0.001;  // a timer may fire this early
  static Seconds constexpr kShortestConnectWait = 0.01, kShortestLateWait = 0.05;
  bool has_time(Seconds now) const { return deadline_ - now >= kShortestTimeForRetry; }

  bool is_repeatable_ = false, may_have_run_ = false, has_budget_token_ = false;
  u32 max_attempts_ = 1, attempts_ = 0, arrivals_ = 0;
  Seconds deadline_ = 0, attempt_started_at_ = 0;
  Seconds late_at_ = 0, unconnected_at_ = 0;  // of the attempt at work
};

}  // namespace dockbend
