// Faults to plant: each is the sound policy with one thing done wrong. The models ask
// their policy where the real classes are driven; production code has no such switch.
#pragma once

namespace dockbend::model_checking {

struct NoFault {
  // Register.
  static constexpr bool replies_before_write = false;  // an acceptor's answer leaves before its write
  static constexpr bool accepts_below_promise = false;
  static constexpr bool votes_for_other_life = false;  // an acceptor takes what was meant for another disk
  static constexpr bool counts_new_roster_only = false;
  static constexpr bool counts_old_roster_only = false;
  static constexpr bool wins_by_one_too_few = false;
  static constexpr bool adopts_nothing = false;       // a proposer goes by its own value only
  static constexpr bool steps_on_unwon_step = false;  // any step found counts as won
  static constexpr bool learns_by_new_roster_only = false;
  static constexpr bool applies_on_any_base = false;  // a delta goes on whatever value is there
  static constexpr bool forgets_on_restart = false;   // the promise is not read back
  // Keys.
  static constexpr bool votes_before_whole = false;  // a new disk claims before it copied
  static constexpr bool ignores_epoch = false;       // a disk grants under any epoch
  static constexpr bool copies_from_too_few = false;
  static constexpr bool copies_unmoved = false;    // from disks that still grant under the old epoch
  static constexpr bool copies_unsynced = false;   // from disks whose move is not on disk yet
  static constexpr bool shrinks_freely = false;    // removals without regard to claims won before
  static constexpr bool returns_as_whole = false;  // a removed disk comes back with its old ledger
  // Duties.
  static constexpr bool leases_from_answer = false;  // the lease is counted from the answer
  static constexpr bool acts_while_handing = false;
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
struct VotesBeforeWhole : NoFault {
  static constexpr bool votes_before_whole = true;
};
struct IgnoresEpoch : NoFault {
  static constexpr bool ignores_epoch = true;
};
struct CopiesFromTooFew : NoFault {
  static constexpr bool copies_from_too_few = true;
};
struct CopiesUnmoved : NoFault {
  static constexpr bool copies_unmoved = true;
};
struct CopiesUnsynced : NoFault {
  static constexpr bool copies_unsynced = true;
};
struct ShrinksFreely : NoFault {
  static constexpr bool shrinks_freely = true;
};
struct ReturnsAsWhole : NoFault {
  static constexpr bool returns_as_whole = true;
};
struct LeasesFromAnswer : NoFault {
  static constexpr bool leases_from_answer = true;
};
struct ActsWhileHanding : NoFault {
  static constexpr bool acts_while_handing = true;
};

}  // namespace dockbend::model_checking
