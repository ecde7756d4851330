// The course of one request through the proxy: budget, claim on its key, choice of a
// server, attempts, answer. Events go in, a Step comes out that says what the sockets and
// timers round it are to do next. No I/O.
#pragma once
#include <string>
#include <utility>

#include "request/retry_state.hpp"

namespace dockbend {

// What becomes of the claim on a key. not_run gives it back, and needs a proof.
enum class ClaimDisposition : u8 { none, not_run, lost, returned };

struct RequestAction {
  enum class Do : u8 {
    wait,    // for the next event
    claim,   // ask the agent for the key
    choose,  // a server, and send
    pass,    // the server's answer goes to the client
    repeat,  // the first answer of the key goes to the client
    say,     // the verdict goes to the client
  };
  Do what = Do::wait;
  LocalReply verdict;
  char const* why = nullptr;  // for the log
  ClaimDisposition claim = ClaimDisposition::none;
  bool refund = false;  // the partner's token goes back
};

// What each promise rests on. Tests put a fault in place of one of these.
struct RequestRules {
  static ResponseCheck examine(UpstreamResponse const& r, std::string_view id) { return dockbend::examine(r, id); }
  static bool proves_not_run(AttemptResult e) { return surely_not_run(e); }
  static bool may_refuse(RetryState const& c) { return !c.maybe_run(); }
  static bool may_give_back(RetryState const& c) { return !c.maybe_run(); }
  static bool may_go_on(RetryState const& c, Seconds now) { return c.may_try_again(now); }
};

// Invariants: pass, repeat or say comes once, and after it every event comes to nothing;
// a refusal (429, 503) is said, and a claim or token given back, only if nothing may have
// run; an event that does not fit the phase changes nothing.
template <class P = RequestRules>
class BasicRequestMachine {
 public:
  enum class Phase : u8 { budget, claim, choice, attempt, over };

  BasicRequestMachine() = default;
  BasicRequestMachine(std::string id, bool keyed, RetryState c) : id_(std::move(id)), keyed_(keyed), course_(c) {}

  std::string const& id() const { return id_; }
  RetryState const& course() const { return course_; }
  Phase phase() const { return phase_; }
  bool granted() const { return granted_; }

  // ---- the partner's budget ----
  RequestAction admitted() {
    if (phase_ != Phase::budget) return {};
    phase_ = keyed_ ? Phase::claim : Phase::choice;
    return go(keyed_ ? RequestAction::Do::claim : RequestAction::Do::choose);
  }
  RequestAction overdrawn(Seconds wait) {
    return phase_ == Phase::budget ? say(verdict_of(429, wait)) : RequestAction{};
  }

  // ---- the claim on its key ----
  RequestAction claim_granted() {
    if (phase_ != Phase::claim) return {};
    granted_ = true;
    phase_ = Phase::choice;
    return go(RequestAction::Do::choose);
  }
  RequestAction claim_repeated() {
    if (phase_ != Phase::claim) return {};
    RequestAction s = go(RequestAction::Do::repeat);
    phase_ = Phase::over;
    s.refund = true;  // what was answered before costs nothing
    return s;
  }
  // at work: 409; lost: 502; unavailable: 503.
  RequestAction claim_refused(LocalReply v, char const* why = nullptr) {
    return phase_ == Phase::claim ? say(v, why) : RequestAction{};
  }
  // No word may come any more: whatever was granted meanwhile is given back.
  RequestAction claim_unknown(Seconds wait) {
    if (phase_ != Phase::claim) return {};
    RequestAction s = say(verdict_of(503, wait));
    s.claim = ClaimDisposition::not_run;
    return s;
  }

  // ---- attempts ----
  // Nobody takes it.
  RequestAction none(Seconds now, Seconds wait, char const* why) {
    return phase_ == Phase::choice ? give_up(now, wait, why) : RequestAction{};
  }
  void began(Seconds now, Seconds patience, Seconds connect) {
    phase_ = Phase::attempt;
    course_.began(now, patience, connect);
  }
  ResponseCheck judge(UpstreamResponse const& r) const { return P::examine(r, id_); }
  // spend: asks the budget of further attempts; called at most once, if one is due.
  template <class F>
  RequestAction ended(AttemptResult e, Seconds now, Seconds wait, F spend) {
    if (phase_ != Phase::attempt) return {};
    course_.ended(e, P::proves_not_run(e));
    if (e == AttemptResult::whole) {
      RequestAction s = go(RequestAction::Do::pass);
      phase_ = Phase::over;
      if (granted_) s.claim = ClaimDisposition::returned;
      return s;
    }
    phase_ = Phase::choice;
    if (!P::may_go_on(course_, now)) return give_up(now, wait, "tries used up");
    if (course_.costs_budget()) {
      if (!spend()) return give_up(now, wait, "tries used up");
      course_.paid();
    }
    return go(RequestAction::Do::choose);
  }
  // Replaces the attempt that is at work by a retry, if the retry is certain. Asked in this
  // order, each only if all before it said yes: the course itself; reserve: is a server chosen
  // for it; spend: the budget. True: the caller breaks the attempt off and sends to the server
  // that reserve chose, without choosing again. False: nothing has changed, and the attempt
  // is waited for. terminating: a SIGTERM has arrived, after which none is broken off.
  template <class R, class F>
  bool replace_attempt(Seconds now, bool terminating, R reserve, F spend) {
    if (phase_ != Phase::attempt || terminating || !course_.may_replace(now)) return false;
    if (!reserve() || !spend()) return false;
    course_.ended(AttemptResult::silent, P::proves_not_run(AttemptResult::silent));
    course_.paid();
    phase_ = Phase::choice;
    return true;
  }
  // Its time is over.
  RequestAction expired(bool sent) {
    if (phase_ == Phase::claim) return claim_unknown(0.2);
    if (phase_ == Phase::over) return {};
    if (phase_ == Phase::attempt && sent)
      course_.ended(AttemptResult::silent, P::proves_not_run(AttemptResult::silent));
    return say(P::may_refuse(course_) ? verdict_of(503, 0.1) : verdict_of(504));
  }

 private:
  static RequestAction go(RequestAction::Do d) {
    RequestAction s;
    s.what = d;
    return s;
  }
  RequestAction give_up(Seconds now, Seconds wait, char const* why) {
    if (P::may_refuse(course_)) return say(verdict_of(503, wait), why);
    return say(verdict_of(course_.deadline() - now < 0.01 ? 504 : 502), why);
  }
  RequestAction say(LocalReply v, char const* why = nullptr) {
    phase_ = Phase::over;
    RequestAction s = go(RequestAction::Do::say);
    s.verdict = v;
    s.why = why;
    s.refund = !course_.maybe_run();
    if (granted_) s.claim = P::may_give_back(course_) ? ClaimDisposition::not_run : ClaimDisposition::lost;
    return s;
  }

  std::string id_;
  bool keyed_ = false, granted_ = false;
  Phase phase_ = Phase::budget;
  RetryState course_;
};
using RequestMachine = BasicRequestMachine<>;

}  // namespace dockbend
