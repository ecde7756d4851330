#pragma once
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "idempotency/key_table.hpp"

/// \file
/// How a new disk comes to hold every key that a majority of the disks held, and for how long that counts.
/// No I/O.

namespace dockbend {

/// Copies the keys of a majority of the other disks into a table that is incomplete.
///
/// Invariants:
/// - an answer of one disk counts once in a membership, and only if its epoch is at least as new as the
///   membership's: an older one may lack what was granted since;
/// - keys are sealed in the table before their answer counts;
/// - the table is complete only once a majority has answered and all its keys are on disk, and only in the
///   membership in which that was.
class KeyBackfill {
 public:
  /// completed_in: the membership id that the disk has on record, see membership_id(); 0: none.
  explicit KeyBackfill(u64 completed_in = 0) : completed_in_(completed_in) {}

  /// The answer of a disk that is copied. epoch: of its accepted value; none if it has no value.
  static KeyCopyResponse answer_request(KeyTable const& table, Incarnation incarnation, std::optional<Epoch> epoch,
                                        KeyCopyRequest const& request);

  /// False once this disk's answer has counted.
  bool needs_copy_from(std::string const& ip) const { return copied_from_.count(ip) == 0; }

  /// What the membership in force says of the disk that answers, and of all.
  struct Source {
    std::optional<Incarnation> incarnation;  ///< of the member at that address; none: no member
    Epoch epoch;
    std::size_t majority = 0;
  };
  struct Progress {
    std::vector<HeldKey> keys_to_store;  ///< sealed; to be written to disk
    bool has_majority = false;           ///< once they are written, the table is complete: set_completed()
  };
  /// Takes the answer of the disk at `ip` in.
  Progress on_response(std::string const& ip, KeyCopyResponse const& response, Source const& source, KeyTable& table,
                       Seconds now);
  /// Begins anew: the membership has changed, or a write has failed.
  void restart() { copied_from_.clear(); }

  /// The number of a membership: the epoch since which the disk is a member, plus one; 0: it is none.
  static u64 membership_id(std::optional<Epoch> member_since) { return member_since ? member_since->v + 1 : 0; }
  /// The membership in which the keys became complete; 0: none.
  u64 completed_in() const { return completed_in_; }
  void set_completed(u64 membership_id) { completed_in_ = membership_id; }
  /// The table is complete if and only if it became so in this very membership.
  void update_completeness(u64 membership_id, KeyTable& table) const {
    table.set_complete(membership_id != 0 && membership_id == completed_in_);
  }

 private:
  u64 completed_in_;
  std::set<std::string> copied_from_;  ///< addresses, in the present membership
};

}  // namespace dockbend
