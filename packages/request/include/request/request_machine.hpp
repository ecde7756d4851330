/// The state machine of one request: quota, idempotency key, choice of a server, attempts, answer. Events go in; each
/// returns the RequestAction that the proxy's RequestDriver carries out. No I/O.
///
///              on_quota_refused                 on_key_refused, on_agent_lost, on_stored_answer
///     quota ----------------------> over <--------------------------------------------- key
///       |                                                                                ^ |
///       |  on_quota_granted, keyed                                                       | |
///       +--------------------------------------------------------------------------------+ |
///       |  on_quota_granted, not keyed                                     on_key_granted  |
///       v                                                                                  |
///     server_choice <----------------------------------------------------------------------+
///       |   |  on_no_server: over
///       |   |
///       |   +-- attempt_started --> attempt -- on_attempt_ended, complete: over
///       |                             |  |
///       +<-- on_attempt_ended, may ---+  +-- on_attempt_ended, may not be attempted again: over
///       |    be attempted again       |      or, if a hedged attempt is at work, that one is waited for: attempt
///       +<-- hedge_attempt -----------+
///
///     on_deadline: from every state to over. on_hedged_ended, complete: over. on_client_disconnected: to over, but for
///     a run that outlives its client.
///
/// A late attempt may be hedged: one more attempt goes to another server, the late one stays at work, and the first
/// complete answer of either that is no failure is the request's, or the failure of the last one. So no attempt at work
/// is broken off before there is an answer for the client, or its deadline has come.
///
/// Who calls: QuotaGate on_quota_*, IdempotencyClient on_key_*, on_stored_answer and on_agent_lost, AttemptRunner
/// on_no_server, on_attempt_ended, hedge_attempt, on_hedged_ended, on_deadline and on_client_disconnected,
/// UpstreamSender attempt_started, ResponseReceiver check_response, on_attempt_ended and on_hedged_ended.
#pragma once
#include <string>
#include <utility>

#include "request/retry_state.hpp"

namespace dockbend {

/// Why a request was given up whose client has disconnected.
inline char constexpr kClientDisconnected[] = "client disconnected";

/// What becomes of the key that the request holds. not_run releases it, and needs a proof.
enum class ClaimDisposition : u8 { none, not_run, lost, returned };

/// What the sockets and timers are to do next.
struct RequestAction {
  enum class Step : u8 {
    wait,                ///< for the next event
    acquire_key,         ///< ask the agent for the key
    choose_server,       ///< and send
    resume_hedged,       ///< wait for the newest hedged attempt as the one that is left
    forward_response,    ///< the server's response goes to the client
    send_stored_answer,  ///< the stored answer of the key goes to the client
    send_local_reply,    ///< `reply` goes to the client
  };
  Step step = Step::wait;
  LocalReply reply;
  char const* reason = nullptr;  ///< for the log
  ClaimDisposition claim = ClaimDisposition::none;
  bool refunds_quota = false;  ///< the tenant's token goes back
};

/// What each promise to the client rests on. Tests put a fault in place of one of these.
struct RequestRules {
  static ResponseCheck check_response(UpstreamResponse const& response, std::string_view attempt_id) {
    return dockbend::check_response(response, attempt_id);
  }
  static bool proves_not_run(AttemptResult result) { return dockbend::proves_not_run(result); }
  static bool may_refuse(RetryState const& state) { return !state.may_have_run(); }
  static bool may_release_key(RetryState const& state) { return !state.may_have_run(); }
  static bool may_retry(RetryState const& state, Seconds now) { return state.may_retry(now); }
  /// May it end with its client? has_begun: it may have run, or a byte of it has left.
  static bool may_cancel(RetryState const& state, bool is_keyed, bool has_begun) {
    return !has_begun || (state.is_repeatable() && !is_keyed);
  }
};

/// Invariants: one of the three steps that answer the client comes once, and after it every event comes to nothing; a
/// refusal (429, 503) is sent, and a key released or a token refunded, only if nothing may have run; before the
/// deadline no answer of ours is sent while an attempt is at work, unless its client has disconnected and it may be
/// repeated; nothing is begun for a client that has disconnected; an event that does not fit the state changes nothing.
template <class Rules = RequestRules>
class BasicRequestMachine {
 public:
  enum class Phase : u8 { quota, key, server_choice, attempt, over };

  BasicRequestMachine() = default;
  /// is_keyed: the request needs its idempotency key before it may be sent.
  BasicRequestMachine(std::string attempt_id, bool is_keyed, RetryState state)
      : attempt_id_(std::move(attempt_id)), is_keyed_(is_keyed), retry_state_(state) {}

  std::string const& attempt_id() const { return attempt_id_; }
  RetryState const& retry_state() const { return retry_state_; }
  Phase phase() const { return phase_; }

  // ---- the tenant's quota ----
  RequestAction on_quota_granted() {
    if (phase_ != Phase::quota) return {};
    phase_ = is_keyed_ ? Phase::key : Phase::server_choice;
    return action(is_keyed_ ? RequestAction::Step::acquire_key : RequestAction::Step::choose_server);
  }
  RequestAction on_quota_refused(Seconds retry_after) {
    return phase_ == Phase::quota ? reply(make_local_reply(429, retry_after)) : RequestAction{};
  }

  // ---- its idempotency key ----
  RequestAction on_key_granted() {
    if (phase_ != Phase::key) return {};
    holds_key_ = true;
    phase_ = Phase::server_choice;
    return action(RequestAction::Step::choose_server);
  }
  RequestAction on_stored_answer() {
    if (phase_ != Phase::key) return {};
    RequestAction result = action(RequestAction::Step::send_stored_answer);
    phase_ = Phase::over;
    result.refunds_quota = true;  // what was answered before costs nothing
    return result;
  }
  /// Another holder is at work: 409; its answer is lost: 502; nobody can grant it now: 503.
  RequestAction on_key_refused(LocalReply refusal, char const* reason = nullptr) {
    return phase_ == Phase::key ? reply(refusal, reason) : RequestAction{};
  }
  /// No answer may come any more: whatever was granted meanwhile is released.
  RequestAction on_agent_lost(Seconds retry_after) {
    if (phase_ != Phase::key) return {};
    RequestAction result = reply(make_local_reply(503, retry_after));
    result.claim = ClaimDisposition::not_run;
    return result;
  }

  // ---- attempts ----
  /// No server can take it.
  RequestAction on_no_server(Seconds now, Seconds retry_after, char const* reason) {
    return phase_ == Phase::server_choice ? give_up(now, retry_after, reason) : RequestAction{};
  }
  void attempt_started(Seconds now, Seconds patience, Seconds connect_limit) {
    phase_ = Phase::attempt;
    is_counted_ = false;
    retry_state_.attempt_started(now, patience, connect_limit);
  }
  ResponseCheck check_response(UpstreamResponse const& response) const {
    return Rules::check_response(response, attempt_id_);
  }
  /// The attempt that is waited for, the newest, has ended. failed: only if a hedged one is at work, which is waited
  /// for then. spend_budget: takes a token of the retry budget, true if there was one; called at most once, if one is
  /// due.
  template <class SpendBudget>
  RequestAction on_attempt_ended(AttemptResult attempt, Seconds now, Seconds retry_after, SpendBudget spend_budget) {
    if (phase_ != Phase::attempt) return {};
    count_attempt(attempt);
    if (attempt == AttemptResult::complete) return forward();
    phase_ = Phase::server_choice;
    if (attempt == AttemptResult::failed || (is_client_disconnected_ && !is_keyed_) ||
        !Rules::may_retry(retry_state_, now))
      return give_up(now, retry_after, kAttemptsUsedUp);
    if (retry_state_.costs_budget()) {
      if (!spend_budget()) return give_up(now, retry_after, kAttemptsUsedUp);
      retry_state_.budget_paid();
    }
    return action(RequestAction::Step::choose_server);
  }
  /// Hedges the attempt at work by a retry, if the retry is certain. Asked in this order, each only if all before it
  /// agreed: the state itself; reserve_server: is a server chosen for it; spend_budget. True: the caller keeps the late
  /// attempt at work and sends to the server that reserve_server chose, without choosing again. False: nothing has
  /// changed, and the attempt is waited for. terminating: a SIGTERM has arrived, after which none is hedged.
  template <class ReserveServer, class SpendBudget>
  bool hedge_attempt(Seconds now, bool terminating, ReserveServer reserve_server, SpendBudget spend_budget) {
    if (phase_ != Phase::attempt || terminating || is_client_disconnected_ || !retry_state_.may_hedge(now))
      return false;
    if (!reserve_server() || !spend_budget()) return false;
    count_attempt(AttemptResult::silent);
    retry_state_.budget_paid();
    ++hedged_attempts_;
    phase_ = Phase::server_choice;
    return true;
  }
  /// A hedged attempt, not the one that is waited for, has ended. Without an answer nothing follows: a newer attempt is
  /// at work.
  RequestAction on_hedged_ended(AttemptResult attempt) {
    if (phase_ != Phase::attempt || hedged_attempts_ == 0) return {};
    --hedged_attempts_;
    return attempt == AttemptResult::complete ? forward() : RequestAction{};
  }
  /// The client has disconnected: the request is over, unless it has begun and may not be repeated, or repeats of its
  /// key get its answer: then the run goes on, and the action is to wait. What is keyed is also retried. is_sent: a
  /// byte of the attempt at work has left.
  RequestAction on_client_disconnected(bool is_sent) {
    if (phase_ == Phase::over) return {};
    bool const is_at_work = phase_ == Phase::attempt && is_sent;
    if (!Rules::may_cancel(retry_state_, is_keyed_, is_at_work || retry_state_.may_have_run())) {
      is_client_disconnected_ = true;
      return {};
    }
    if (is_at_work) count_attempt(AttemptResult::silent);
    bool const waits_for_key = phase_ == Phase::key;
    RequestAction result =
        reply(make_local_reply(Rules::may_refuse(retry_state_) ? 503 : 502, kNoRetryAfter, true), kClientDisconnected);
    if (waits_for_key) result.claim = ClaimDisposition::not_run;
    return result;
  }
  /// is_sent: a byte of the attempt at work has left.
  RequestAction on_deadline(bool is_sent) {
    if (phase_ == Phase::key) return on_agent_lost(kRetryAfterKeyTimeout);
    if (phase_ == Phase::over) return {};
    if (phase_ == Phase::attempt && is_sent) count_attempt(AttemptResult::silent);
    return reply(Rules::may_refuse(retry_state_) ? make_local_reply(503, kRetryAfterDeadline) : make_local_reply(504));
  }

 private:
  static char constexpr kAttemptsUsedUp[] = "attempts used up";
  static Seconds constexpr kRetryAfterKeyTimeout = 0.2, kRetryAfterDeadline = 0.1, kNoRetryAfter = -1;
  /// With less time left than this a request that is given up has timed out.
  static Seconds constexpr kTimedOutWithin = 0.01;

  static RequestAction action(RequestAction::Step step) {
    RequestAction result;
    result.step = step;
    return result;
  }
  /// Each attempt counts once: a hedged one was counted when it was hedged.
  void count_attempt(AttemptResult attempt) {
    if (!is_counted_) retry_state_.attempt_ended(attempt, Rules::proves_not_run(attempt));
    is_counted_ = true;
  }
  RequestAction forward() {
    RequestAction result = action(RequestAction::Step::forward_response);
    phase_ = Phase::over;
    if (holds_key_) result.claim = ClaimDisposition::returned;
    return result;
  }
  RequestAction give_up(Seconds now, Seconds retry_after, char const* reason) {
    if (hedged_attempts_ > 0) {
      --hedged_attempts_;
      phase_ = Phase::attempt;
      return action(RequestAction::Step::resume_hedged);
    }
    if (Rules::may_refuse(retry_state_)) return reply(make_local_reply(503, retry_after), reason);
    return reply(make_local_reply(retry_state_.deadline() - now < kTimedOutWithin ? 504 : 502), reason);
  }
  RequestAction reply(LocalReply local_reply, char const* reason = nullptr) {
    phase_ = Phase::over;
    RequestAction result = action(RequestAction::Step::send_local_reply);
    result.reply = local_reply;
    result.reason = reason;
    result.refunds_quota = !retry_state_.may_have_run();
    if (holds_key_)
      result.claim = Rules::may_release_key(retry_state_) ? ClaimDisposition::not_run : ClaimDisposition::lost;
    return result;
  }

  std::string attempt_id_;
  bool is_keyed_ = false, holds_key_ = false;
  bool is_client_disconnected_ = false;  // and the run goes on
  bool is_counted_ = false;              // the attempt that is waited for, in the retry state
  u32 hedged_attempts_ = 0;              // late ones at work besides it
  Phase phase_ = Phase::quota;
  RetryState retry_state_;
};
using RequestMachine = BasicRequestMachine<>;

}  // namespace dockbend
