#include "model_checking/model_catalog.hpp"

#include <algorithm>

#include "model_checking/consensus_model.hpp"
#include "model_checking/idempotency_model.hpp"
#include "model_checking/lease_model.hpp"

namespace dockbend::model_checking {
namespace {

template <class M>
Replay replay(Bounds const& bounds, Trace const& trace) {
  Replay replay;
  M model(bounds);
  for (Action const& action : trace) {
    std::string const line = model.describe(action);
    replay.lines.push_back(model.step(action) ? line : "(can't be done now) " + line);
    if (!model.breach().empty()) break;
  }
  if (model.breach().empty()) {
    replay.settled = true;
    model.settle();
  }
  replay.breach = model.breach();
  return replay;
}

template <class M>
Case case_of(char const* model, char const* fault, char const* description, Bounds const& bounds,
             WalkLimits const& walks) {
  static_assert(Model<M>);
  Case made;
  made.model = model;
  made.fault = fault;
  made.description = description;
  made.bounds = bounds;
  made.walks = walks;
  made.search = [](Bounds const& b, SearchLimits const& limits) { return search(M(b), limits); };
  made.walk = [](Bounds const& b, WalkLimits const& limits) { return walk(M(b), limits); };
  made.play = replay<M>;
  made.words.assign(M::words.begin(), M::words.end());
  return made;
}

Bounds consensus_bounds(u32 nodes) {
  Bounds bounds;
  bounds.nodes = nodes;
  bounds.spares = 2;
  bounds.proposers = 3;
  bounds.proposals = 14;
  bounds.items = 3;
  bounds.joins = 4;
  bounds.leaves = 3;
  bounds.swaps = 2;
  bounds.restarts = 4;
  bounds.wipes = 2;
  bounds.repeats = 6;
  bounds.holds = 20;
  bounds.lates = 6;
  bounds.cuts = 4;
  bounds.drops = 20;
  bounds.tells = 30;
  return bounds;
}

Bounds restart_bounds() {
  Bounds bounds = consensus_bounds(3);
  bounds.spares = bounds.joins = bounds.leaves = bounds.swaps = bounds.wipes = bounds.lates = bounds.cuts =
      bounds.drops = 0;
  bounds.restarts = bounds.proposals = 10;
  return bounds;
}

Bounds claim_bounds(u32 nodes) {
  Bounds bounds;
  bounds.nodes = nodes;
  bounds.spares = 2;
  bounds.proposers = 2;
  bounds.joins = 8;
  bounds.leaves = 4;
  bounds.restarts = 3;
  bounds.wipes = 2;
  bounds.repeats = 1;
  bounds.holds = 6;
  bounds.lates = 4;
  bounds.drops = 2;
  return bounds;
}

/// One disk of three is lost and replaced by an empty one; nothing else happens.
Bounds replacement_bounds() {
  Bounds bounds;
  bounds.nodes = 3;
  bounds.proposers = 2;
  bounds.joins = 1;
  bounds.wipes = 1;
  return bounds;
}

Bounds removal_and_return_bounds() {
  Bounds bounds;
  bounds.nodes = 4;
  bounds.proposers = 2;
  bounds.joins = 2;
  bounds.leaves = 2;
  return bounds;
}

Bounds lease_bounds() {
  Bounds bounds;
  bounds.nodes = 3;
  bounds.ticks = 60;
  bounds.swaps = 6;
  bounds.restarts = 5;
  bounds.drops = 12;
  return bounds;
}

void add_consensus_cases(std::vector<Case>& all) {
  char const* const name = "registers";
  Bounds const bounds = consensus_bounds(3);
  WalkLimits const walks{1, 1000, 200};
  all.push_back(case_of<ConsensusModel<NoFault>>(name, kNoFault, "the register as it is", bounds, walks));
  all.push_back(case_of<ConsensusModel<RepliesBeforeWrite>>(
      name, "replies-before-write", "an acceptor's answer leaves before its write", bounds, walks));
  all.push_back(case_of<ConsensusModel<AcceptsBelowPromise>>(
      name, "accepts-below-promise", "an acceptor takes a ballot below its promise", bounds, walks));
  all.push_back(case_of<ConsensusModel<VotesForOtherLife>>(
      name, "votes-for-other-life", "an acceptor takes what was meant for another disk", bounds, walks));
  all.push_back(case_of<ConsensusModel<CountsNewRosterOnly>>(
      name, "counts-new-roster-only", "a step is won by a majority of the new roster", bounds, walks));
  all.push_back(case_of<ConsensusModel<CountsOldRosterOnly>>(
      name, "counts-old-roster-only", "a step is won by a majority of the old roster", bounds, walks));
  all.push_back(case_of<ConsensusModel<WinsByOneTooFew>>(name, "wins-by-one-too-few", "one less than a majority wins",
                                                         bounds, walks));
  all.push_back(case_of<ConsensusModel<AdoptsNothing>>(
      name, "adopts-nothing", "a proposer goes by its own value, not by the newest found", bounds, walks));
  all.push_back(case_of<ConsensusModel<StepsOnUnwonStep>>(
      name, "steps-on-unwon-step", "any step found counts as won (the code before)", bounds, walks));
  all.push_back(case_of<ConsensusModel<LearnsByNewRosterOnly>>(
      name, "learns-by-new-roster-only", "learning without a round asks the new roster only", bounds, walks));
  all.push_back(case_of<ConsensusModel<AppliesOnAnyBase>>(name, "applies-on-any-base",
                                                          "a delta goes on whatever value is there", bounds, walks));
  all.push_back(case_of<ConsensusModel<ForgetsOnRestart>>(
      name, "forgets-on-restart", "a promise is not read back from disk", restart_bounds(), WalkLimits{1, 2000, 150}));
}

void add_idempotency_cases(std::vector<Case>& all) {
  char const* const name = "ledgers";
  WalkLimits const too_rare_for_walks{1, 0, 0};
  Bounds five = replacement_bounds();
  five.nodes = 5;
  Bounds five_with_restart = five;
  five_with_restart.lates = five_with_restart.restarts = 1;
  all.push_back(case_of<IdempotencyModel<NoFault>>(name, kNoFault, "claims as they are", claim_bounds(5),
                                                   WalkLimits{1, 1000, 120}));
  all.push_back(case_of<IdempotencyModel<VotesBeforeComplete>>(
      name, "votes-before-whole", "a new disk grants before it copied", replacement_bounds(), WalkLimits{1, 2000, 60}));
  all.push_back(case_of<IdempotencyModel<IgnoresEpoch>>(name, "ignores-epoch", "a disk grants whatever epoch is named",
                                                        replacement_bounds(), WalkLimits{1, 3000, 60}));
  all.push_back(case_of<IdempotencyModel<CopiesFromTooFew>>(name, "copies-from-too-few",
                                                            "a new disk copies from one less than a majority",
                                                            replacement_bounds(), WalkLimits{1, 2000, 60}));
  all.push_back(case_of<IdempotencyModel<CopiesUnderOldEpoch>>(
      name, "copies-unmoved", "a new disk copies from disks that still grant under the old epoch", five,
      too_rare_for_walks));
  all.push_back(case_of<IdempotencyModel<CopiesUnwrittenState>>(name, "copies-unsynced",
                                                                "it copies from disks whose move is not on disk yet",
                                                                five_with_restart, too_rare_for_walks));
  all.push_back(case_of<IdempotencyModel<RemovesMembersFreely>>(name, "shrinks-freely",
                                                                "removals without regard to claims won before",
                                                                claim_bounds(5), WalkLimits{1, 2000, 120}));
  all.push_back(case_of<IdempotencyModel<ReturnsAsComplete>>(name, "returns-as-whole",
                                                             "a removed disk comes back with its old ledger",
                                                             removal_and_return_bounds(), WalkLimits{1, 2000, 80}));
}

void add_lease_cases(std::vector<Case>& all) {
  char const* const name = "duties";
  Bounds const bounds = lease_bounds();
  WalkLimits const walks{1, 300, 300};
  all.push_back(case_of<LeaseModel<NoFault>>(name, kNoFault, "duties as they are", bounds, walks));
  all.push_back(case_of<LeaseModel<LeasesFromAnswer>>(name, "leases-from-answer", "a lease is counted from the answer",
                                                      bounds, walks));
  all.push_back(case_of<LeaseModel<ActsWhileHanding>>(
      name, "acts-while-handing", "a holder acts on after it was told to hand over", bounds, walks));
}
}  // namespace

std::vector<Case> const& cases() {
  static std::vector<Case> const all = [] {
    std::vector<Case> made;
    add_consensus_cases(made);
    add_idempotency_cases(made);
    add_lease_cases(made);
    return made;
  }();
  return all;
}

Case const* find(std::string const& model, std::string const& fault) {
  auto const& all = cases();
  auto const found =
      std::find_if(all.begin(), all.end(), [&](Case const& c) { return c.model == model && c.fault == fault; });
  return found == all.end() ? nullptr : &*found;
}

}  // namespace dockbend::model_checking
