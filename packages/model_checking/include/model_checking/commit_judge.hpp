/// What has happened in a run of the consensus model, and whether it broke an invariant.
#pragma once
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "consensus/replicated_state.hpp"

namespace dockbend::model_checking {

using StatePointer = std::shared_ptr<ReplicatedState const>;

/// Judges these invariants:
/// - a ballot has one value (note_value);
/// - a committed value is on a majority of the real disks of its membership, and of the membership committed before it
///   (note_committed): no removed and no new disk has counted;
/// - committed values form a chain in which items and epochs only rise, with one body for one version of an item
///   (note_committed): nothing acknowledged is lost or goes back.
class CommitJudge {
 public:
  explicit CommitJudge(StatePointer founding) : committed_{std::move(founding)} {}

  /// The first invariant that was broken; empty if none was.
  std::string const& breach() const { return breach_; }
  void fail(std::string const& breach);

  void note_value(ReplicatedState const& value);
  /// That disk took the value of the ballot.
  void note_on_disk(Ballot ballot, u32 node, Incarnation incarnation);
  void note_committed(ReplicatedState const& value);

  std::vector<StatePointer> const& committed() const { return committed_; }
  u64 digest(u64 seed) const;

 private:
  void check_on_majorities(ReplicatedState const& value, ReplicatedState const* committed_before);
  void check_order(ReplicatedState const& earlier, ReplicatedState const& later);

  std::vector<StatePointer> committed_;          // by ballot
  std::map<u64, u64> value_digests_;             // by ballot
  std::set<std::tuple<u64, u32, u64>> on_disk_;  // ballot, node, incarnation: was on that disk once
  std::string breach_;
};

}  // namespace dockbend::model_checking
