/// When an agent may ask a controller for newer state once more. No I/O.
#pragma once
#include <optional>

#include "base/types.hpp"

namespace dockbend {

/// The answer may be a whole state that takes longer to arrive than any fixed interval. So a question counts as under
/// way until the controller has answered a heartbeat that was sent after it, for messages of one connection are handled
/// and answered in order; or, should no heartbeat follow, for a time that depends on how long the answer may be.
///
/// Invariant: at most one question is under way at a time.
class CatchUpGate {
 public:
  /// For a whole state, and for the difference to a state that the agent has.
  static Seconds constexpr kGiveUpWholeAfter = 5.0, kGiveUpDifferenceAfter = 1.0;

  /// interval: at least so many seconds lie between two questions. wants_whole: the agent has no state yet.
  bool may_ask(Seconds now, Seconds interval, bool wants_whole) const {
    if (!asked_at_) return true;
    Seconds const waited = now - *asked_at_;
    if (waited <= interval) return false;
    return !under_way_ || waited > (wants_whole ? kGiveUpWholeAfter : kGiveUpDifferenceAfter);
  }
  /// newest_heartbeat: the tag of the last heartbeat sent before the question.
  void on_asked(Seconds now, u32 newest_heartbeat) {
    asked_at_ = now;
    under_way_ = true;
    heartbeat_before_ = newest_heartbeat;
  }
  /// The controller answered the heartbeat with this tag.
  void on_heartbeat_response(u32 tag) {
    if (tag != 0 && tag - heartbeat_before_ - 1 < kHalfOfTags) under_way_ = false;  // sent after the question
  }
  /// The connection ended: no answer comes any more.
  void reset() {
    under_way_ = false;
    asked_at_.reset();
  }

 private:
  static u32 constexpr kHalfOfTags = 1U << 31;  // tags may wrap round
  std::optional<Seconds> asked_at_;
  bool under_way_ = false;
  u32 heartbeat_before_ = 0;
};

}  // namespace dockbend
