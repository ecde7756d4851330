#pragma once
#include <set>
#include <string>
#include <vector>

#include "idempotency/claim_actions.hpp"
#include "idempotency/claim_disks.hpp"
#include "idempotency/undelivered_answers.hpp"

/// \file
/// The agent's part in storing answers. No I/O.

namespace dockbend {

/// Sends each answer to a disk that may store it, and holds it where none can be reached.
class AnswerDelivery {
 public:
  /// disks must outlive this.
  explicit AnswerDelivery(ClaimDisks const& disks) : disks_(disks) {}

  /// The request has ended. may_hold: the disks that may hold its key. The answer, or that it is lost, goes to the
  /// nearest disk that may store it, which makes the second copy. If there is none, those that hold the key are told
  /// that the request has ended, which needs no body. False if an older answer had to be dropped for this one.
  bool store(KeyOutcomeNotice const& notice, std::set<std::string> const& may_hold, Seconds now,
             std::vector<ClaimAction>& actions);
  /// Sends what is held and may be stored now. To be called when a disk is connected, or the members are others.
  void send_held(std::vector<ClaimAction>& actions);
  /// The held answer of that operation; null: there is none.
  UndeliveredAnswers::Answer const* find_held(OperationId const& operation) const { return held_.find(operation); }
  void drop_old(Seconds now) { held_.drop_older_than(kHeldFor, now); }

 private:
  static Seconds constexpr kHeldFor = 600;  ///< longer than a key binds

  bool hold(KeyOutcomeNotice const& notice, Seconds now);

  ClaimDisks const& disks_;
  UndeliveredAnswers held_;
};

}  // namespace dockbend
