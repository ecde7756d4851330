/// The one value that the consensus group agrees on: configuration items, evacuations, membership, leases, usage
/// reports and drain runs. Rounds replace it as a whole (CASPaxos); inside it, configuration items merge by their own
/// versions.
#pragma once
#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/configuration.hpp"
#include "consensus/drain_records.hpp"
#include "consensus/frozen_usage_report.hpp"
#include "consensus/lease.hpp"
#include "consensus/member.hpp"

namespace dockbend {

/// The replicated value.
///
/// Invariants:
/// - `ballot` is the ballot that wrote this value (0: the founding value);
/// - `epoch` is the ballot that last changed the membership, so epoch <= ballot;
/// - `open` is the ballot that last changed what proxies and agents use, so open <= ballot;
/// - `to_fix` is the first usage window whose report is not frozen (0: none yet); it never falls;
/// - `previous_membership` is the membership before this epoch. It stays until a proposer knows that the membership
///   change was committed; as long as it is here, a majority of it is needed too;
/// - `largest_membership` is at least the size of every membership under which a key may have been claimed that is
///   still binding.
struct ReplicatedState {
  DB_RECORD(ReplicatedState, (Ballot, ballot), (Epoch, epoch), (std::vector<ConfigItem>, items),
            (std::vector<Evacuation>, evacuations), (std::vector<Member>, membership), (std::vector<Lease>, duties),
            (u64, to_fix), (std::vector<FrozenUsageReport>, fixed), (Ballot, open), (std::vector<DrainRun>, passes),
            (std::vector<DrainUnit>, units), (std::vector<Member>, previous_membership), (u32, largest_membership),
            (std::vector<RetiredMember>, retired));

  /// The drain run, member or lease of that name; nullptr if there is none.
  DrainRun const* pass(u64 id) const;
  Member const* member(std::string const& ip) const;
  Lease const* term(std::string const& duty) const;
  std::map<std::string, ConfigItem> by_key() const;
  bool is_retired(std::string const& ip, Incarnation incarnation) const;

  std::size_t majority() const { return membership.size() / 2 + 1; }
  /// Is this value committed, if exactly the disks for which on_disk(member) is true hold it? While a membership
  /// change is not known to be committed, that takes a majority of both memberships.
  template <class OnDisk>
  bool is_held_by_quorum(OnDisk on_disk) const {
    auto const on_majority = [&](std::vector<Member> const& members) {
      return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), on_disk)) > members.size() / 2;
    };
    return on_majority(membership) && (previous_membership.empty() || on_majority(previous_membership));
  }

  /// Admits a member, a new disk at a member's address, or changed facts about a member. False if nothing changed or
  /// if it must wait: a disk that can't vote on keys yet is admitted only while those that can are a majority with it
  /// counted in; otherwise no disk could ever complete its keys.
  bool admit(Member const& candidate);
  /// Removes that disk. False if it is no member in that incarnation, or if too few disks that vote on keys would be
  /// left. The caller has already checked that the failure tolerance allows it.
  bool remove_member(std::string const& ip, Incarnation incarnation);
  /// May the next membership have `size` disks? A key claimed under the largest membership is on all complete disks
  /// except at most ceil(largest/2)-1; no majority of the next membership may consist of those exceptions alone.
  bool can_shrink_to(std::size_t size) const;
};

/// The part that proxies and agents use, under the ballot that last changed it: without lease renewals and reports.
ReplicatedState view_of(ReplicatedState const& state);
/// Would proxies and agents see the same in both?
bool is_same_view(ReplicatedState const& a, ReplicatedState const& b);

/// No round has a ballot above this one. A garbled message that named a larger one would leave no number for the next
/// round, and the group could never commit again.
inline constexpr Ballot kLastBallot{~0ULL >> 1};
/// Throws codec::MalformedMessage for a ballot above kLastBallot.
void check_ballot(Ballot ballot);
/// Decodes a value from outside. Throws codec::MalformedMessage unless it keeps what every value keeps: a membership
/// of distinct addresses, epoch and open not above ballot, items of known kinds.
ReplicatedState read_state(std::string_view bytes);
/// The same check for a value that came in chunks.
void check_value(ReplicatedState const& state);

}  // namespace dockbend

#include "consensus/messages.hpp"
#include "consensus/state_delta.hpp"
