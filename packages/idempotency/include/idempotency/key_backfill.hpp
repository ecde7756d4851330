#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "idempotency/key_table.hpp"

/// \file
/// How a new disk comes to hold every key that a majority of the disks held, and for how long that counts.
/// No I/O.

namespace dockbend {

/// Copies the keys of a majority of the other disks into a table that is incomplete, page by page.
///
/// A page at a time, so that neither side is busy with a copy for long: claims, contact probes and rounds of consensus
/// come between. A disk is asked again only once it has answered or was silent for kAnswerTimeout, and no more disks
/// are copied at a time than are still missing to a majority.
///
/// Why pages may be taken at different times: the copy is there for the keys that were granted in earlier epochs, for
/// what is granted in the present one is held by disks that hold it themselves. A disk grants nothing under an earlier
/// epoch once it has answered under the present one, so none of the keys that matter can appear behind the cursor, and
/// they are read in an order that lasts.
///
/// Invariants:
/// - a disk counts once in a membership, after its last page, and only if the epoch of each page is at least as new as
///   the membership's: an older one may lack what was granted since;
/// - a page is taken only if it follows the one taken last of that disk;
/// - keys are sealed in the table before their disk counts;
/// - the table is complete only once a majority has been copied and all its keys are on disk, and only in the
///   membership in which that was.
class KeyBackfill {
 public:
  /// What the keys of one page come to at most, in bytes.
  static std::size_t constexpr kPageBytes = 60 << 10;
  /// Pages that are asked for at once: a far disk would else take a round trip for each.
  static u32 constexpr kPagesPerRequest = 4;
  /// A disk that was silent for so long is asked again after all others.
  static Seconds constexpr kAnswerTimeout = 3.0;
  /// Until a disk that had nothing to copy is asked again.
  static Seconds constexpr kRetryInterval = 0.7;

  /// completed_in: the membership id that the disk has on record, see membership_id(); 0: none.
  explicit KeyBackfill(u64 completed_in = 0) : completed_in_(completed_in) {}

  /// The answer of a disk that is copied: the page behind request.after, or all keys if the request names no pages.
  /// epoch: of its accepted value; none if it has no value.
  static KeyCopyResponse answer_request(KeyTable const& table, Incarnation incarnation, std::optional<Epoch> epoch,
                                        KeyCopyRequest const& request);

  /// False once this disk's answer has counted.
  bool needs_copy_from(std::string const& ip) const;

  struct Question {
    std::string ip;
    KeyCopyRequest request;
  };
  /// Whom to ask now, and what; each counts as asked.
  /// @param candidates the other members that can be reached, in the order of preference
  /// @param majority of the membership
  std::vector<Question> questions_due(std::vector<std::string> const& candidates, Epoch epoch, std::size_t majority,
                                      Seconds now);

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
  /// Takes a page of the disk at `ip` in.
  Progress on_response(std::string const& ip, KeyCopyResponse const& response, Source const& source, KeyTable& table,
                       Seconds now);
  /// Begins anew: the membership has changed.
  void restart();
  /// Begins anew, and hands out all keys to be stored again.
  void on_write_failed();
  /// Changes with each new beginning: what was written for an earlier one completes nothing.
  u64 generation() const { return generation_; }

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
  /// How far a disk has been copied in the present membership.
  struct Copy {
    std::string after;      ///< the text of the last key that was taken
    u32 pages_awaited = 0;  ///< of those asked for at asked_at
    Seconds asked_at = 0;
    Seconds not_before = 0;  ///< when it may be asked again
    u32 failures = 0;        ///< how often it was silent, or had nothing to copy
    bool is_complete = false;
  };
  std::size_t copied_disks() const;
  static bool is_awaited(Copy const& copy, Seconds now);

  u64 completed_in_;
  u64 generation_ = 0;
  bool stores_all_ = false;             ///< also what the table has already, for a write of it may have failed
  std::map<std::string, Copy> copies_;  ///< by address
};

}  // namespace dockbend
