#pragma once
#include <deque>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

#include "idempotency/claim_messages.hpp"
#include "idempotency/claim_names.hpp"

/// \file
/// One disk's table of idempotency keys: who holds which key. No I/O.

namespace dockbend {

/// For how long a disk keeps a key, in seconds of its steady clock: longer than the horizon that is promised, for
/// clocks may differ and the first attempt was sent before its claim.
constexpr Seconds key_binding_time(Seconds key_horizon) {
  return 1.25 * key_horizon + 5;
}

/// Grants each key to the first holder that claims it. An operation that an older program names may be any that shares
/// its text, so each of these excludes it, and it each of these.
///
/// Fencing: claim() refuses a claim of another epoch than the disk's, and one whose holder has released. That the claim
/// names this disk's incarnation is checked before, by the controller's IdempotencyService::claim. The claimant checks
/// the votes by the same two numbers (ClaimCoordinator, ClaimQuorum).
///
/// Invariants:
/// - a key has one holder until that holder releases it or it is forgotten for its age;
/// - a sealed entry, one that was copied from another disk, is never granted again, not even to its holder;
/// - an entry that was copied with two different holders belongs to kNobody: no release frees it, for the
///   other holder may have run its request;
/// - nothing is granted while the table is incomplete;
/// - an operation that is granted for a client is entered with its marks (ClaimNames), by one write.
class KeyTable {
 public:
  /// No holder has this number.
  static u64 constexpr kNobody = 0;

  /// is_complete: whether the table has every key that a majority of the disks held.
  explicit KeyTable(bool is_complete) : is_complete_(is_complete) {}

  /// Judges a claim and fills `response` but for its incarnation. If the vote is `granted`, the caller writes
  /// the entry to disk, calls confirm_durable() and sends the response only then.
  /// epoch: of this disk's accepted value; now: seconds of the steady clock.
  ClaimVote claim(ClaimRequest const& request, Epoch epoch, Seconds now, ClaimResponse& response);
  /// What is to be written for a granted claim, and to be deleted for a release: the operation and its marks, as far as
  /// this holder has them.
  std::vector<OperationId> names_of(OperationId const& operation, std::string const& client, u64 holder) const;
  /// The write of one of this holder's entries has ended. True if the grant stands and may be sent: the key may have
  /// been released, and granted to another holder, while it was written.
  bool confirm_durable(OperationId const& operation, u64 holder, bool was_written);
  /// The holder's request has ended; it goes on having the key.
  void end_work(OperationId const& operation, u64 holder);
  /// Frees the key if this holder has it; true if so. The holder is granted nothing from then on, so that a
  /// claim which arrives after its release takes no effect.
  bool release(ReleaseRequest const& request, Seconds now);
  /// A sealed entry, and whether that differs from what the table had: then it has to be written to disk.
  struct SealedEntry {
    u64 holder = kNobody;
    bool is_changed = false;
  };
  /// Enters a key copied from another disk.
  SealedEntry seal(OperationId const& operation, u64 holder, Seconds now);
  /// Enters a key read from our own disk at the start.
  void load(OperationId const& operation, u64 holder, bool is_sealed, Seconds now);
  /// Drops at most `limit` durable keys that are older than `age` seconds; returns them.
  std::vector<OperationId> forget_older_than(Seconds age, Seconds now, std::size_t limit);

  /// Keys with their holders, in the order of the keys, for a disk that copies them.
  struct Page {
    std::vector<HeldKey> keys;
    bool has_more = false;  ///< others follow
  };
  /// The keys behind those of the text `after` ("": from the first on), until they come to max_bytes; at least one, if
  /// there is one, and all that share the last one's text.
  Page keys_after(std::string const& after, std::size_t max_bytes) const;
  std::vector<HeldKey> all_keys() const;
  /// Who has the key; kNobody: nobody, or it isn't known.
  u64 holder_of(OperationId const& operation);
  std::size_t size() const { return entries_.size(); }
  bool is_complete() const { return is_complete_; }
  void set_complete(bool is_complete = true) { is_complete_ = is_complete; }
  /// How many claims arrived after the release of their holder.
  u64 claims_after_release() const { return claims_after_release_; }

 private:
  struct Entry {
    u64 holder = kNobody;
    bool is_sealed = false;
    bool is_durable = false;
    Seconds granted_at = 0;
    Seconds work_until = 0;  ///< by when the holder's request has ended
  };
  struct ReleasedHolder {
    u64 holder = kNobody;
    Seconds at = 0;
  };
  /// Longer than a claim waits for its answer, and longer than a connection stays up without a sign of life.
  static Seconds constexpr kReleasedKeptSeconds = 10;

  void remember_released(u64 holder, Seconds now);
  /// The entry that keeps others from the operation's key: its own, or one that may be the same operation's.
  Entry* find_holding(OperationId const& operation);
  /// The entry of another holder that this one would share a client's operation with; null: there is none.
  Entry const* find_excluding(ClaimNames const& names, u64 holder) const;
  void enter(OperationId const& operation, u64 holder, Seconds now, Seconds work_until);
  void enter_mark(OperationId const& mark, u64 holder, Seconds now);

  bool is_complete_;
  std::map<OperationId, Entry> entries_;       ///< in an order that lasts, so that it can be copied page by page
  std::unordered_set<u64> released_holders_;   ///< those of released_order_
  std::deque<ReleasedHolder> released_order_;  ///< all that released in the last kReleasedKeptSeconds, oldest first
  u64 claims_after_release_ = 0;
};

}  // namespace dockbend
