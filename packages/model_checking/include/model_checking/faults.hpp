#pragma once

/// \file
/// Faults that the models can plant, each the sound behaviour with one thing done wrong. A model asks its fault
/// type where it drives the real classes; production code has no such switch.

namespace dockbend::model_checking {

/// The sound behaviour.
struct NoFault {
  /// \name Consensus
  /// \{
  static constexpr bool replies_before_write = false;  ///< an acceptor's answer leaves before its write
  static constexpr bool accepts_below_promise = false;
  static constexpr bool votes_for_other_life = false;    ///< an acceptor takes what was meant for another disk
  static constexpr bool counts_new_roster_only = false;  ///< a membership change takes a majority of the new members
  static constexpr bool counts_old_roster_only = false;  ///< ... of the old ones
  static constexpr bool wins_by_one_too_few = false;
  static constexpr bool adopts_nothing = false;       ///< a proposer goes by its own value only
  static constexpr bool steps_on_unwon_step = false;  ///< any membership change found counts as committed
  static constexpr bool learns_by_new_roster_only = false;
  static constexpr bool applies_on_any_base = false;  ///< a delta is applied to whatever value is there
  static constexpr bool forgets_on_restart = false;   ///< the promise is not read back
  /// \}

  /// \name Idempotency keys
  /// \{
  static constexpr bool votes_before_complete = false;  ///< a new disk grants before it has copied
  static constexpr bool ignores_epoch = false;          ///< a disk grants under any epoch
  static constexpr bool copies_from_too_few = false;
  static constexpr bool copies_under_old_epoch = false;  ///< from disks that still grant under the old epoch
  static constexpr bool copies_unwritten_state = false;  ///< from disks that have not written their new epoch yet
  static constexpr bool removes_members_freely = false;  ///< without regard to claims won before
  static constexpr bool returns_as_complete = false;     ///< a removed disk comes back with its old keys
  /// \}

  /// \name Leases
  /// \{
  static constexpr bool leases_from_answer = false;  ///< a lease is counted from its answer, not from its request
  static constexpr bool acts_while_handing = false;  ///< a holder acts on after it was told to hand over
  /// \}
};

struct RepliesBeforeWrite : NoFault {
  static constexpr bool replies_before_write = true;
};
struct AcceptsBelowPromise : NoFault {
  static constexpr bool accepts_below_promise = true;
};
struct VotesForOtherLife : NoFault {
  static constexpr bool votes_for_other_life = true;
};
struct CountsNewRosterOnly : NoFault {
  static constexpr bool counts_new_roster_only = true;
};
struct CountsOldRosterOnly : NoFault {
  static constexpr bool counts_old_roster_only = true;
};
struct WinsByOneTooFew : NoFault {
  static constexpr bool wins_by_one_too_few = true;
};
struct AdoptsNothing : NoFault {
  static constexpr bool adopts_nothing = true;
};
struct StepsOnUnwonStep : NoFault {
  static constexpr bool steps_on_unwon_step = true;
};
struct LearnsByNewRosterOnly : NoFault {
  static constexpr bool learns_by_new_roster_only = true;
};
struct AppliesOnAnyBase : NoFault {
  static constexpr bool applies_on_any_base = true;
};
struct ForgetsOnRestart : NoFault {
  static constexpr bool forgets_on_restart = true;
};
struct VotesBeforeComplete : NoFault {
  static constexpr bool votes_before_complete = true;
};
struct IgnoresEpoch : NoFault {
  static constexpr bool ignores_epoch = true;
};
struct CopiesFromTooFew : NoFault {
  static constexpr bool copies_from_too_few = true;
};
struct CopiesUnderOldEpoch : NoFault {
  static constexpr bool copies_under_old_epoch = true;
};
struct CopiesUnwrittenState : NoFault {
  static constexpr bool copies_unwritten_state = true;
};
struct RemovesMembersFreely : NoFault {
  static constexpr bool removes_members_freely = true;
};
struct ReturnsAsComplete : NoFault {
  static constexpr bool returns_as_complete = true;
};
struct LeasesFromAnswer : NoFault {
  static constexpr bool leases_from_answer = true;
};
struct ActsWhileHanding : NoFault {
  static constexpr bool acts_while_handing = true;
};

}  // namespace dockbend::model_checking
