/// Who belongs to the consensus group: its members' disks, and disks that were taken out.
#pragma once
#include <string>

#include "configuration/configuration.hpp"

namespace dockbend {

/// One voting disk.
///
/// Invariants:
/// - a membership has at most one member per ip; (ip, incarnation) names one disk for ever;
/// - `since` is the ballot that admitted this disk (0: a founder); a disk that left and came back has another;
/// - `whole` is set only once the disk holds every key that a majority held, in the membership that `since` names.
///   The members with `whole` are therefore always a majority of the membership.
struct Member {
  DB_RECORD(Member, (std::string, ip), (Incarnation, incarnation), (std::string, zone), (std::string, region),
            (u32, control), (bool, whole), (Epoch, since));
  bool same_disk(Member const& other) const { return ip == other.ip && incarnation == other.incarnation; }
  friend bool operator==(Member const&, Member const&) = default;
};

/// Stands for Member::since while a round is prepared; the round's ballot replaces it.
inline constexpr Epoch kUnassignedEpoch{~0ULL};

/// A disk that an operator removed. Invariant: it is not in the membership, and is not admitted again in this
/// incarnation before an operator allows it.
struct RetiredMember {
  DB_RECORD(RetiredMember, (std::string, ip), (Incarnation, incarnation));
  friend bool operator==(RetiredMember const&, RetiredMember const&) = default;
};

}  // namespace dockbend
