#pragma once
#include <map>
#include <string>
#include <vector>

#include "idempotency/claim_messages.hpp"

/// \file
/// The claimant's count of the votes for one claim. No I/O.

namespace dockbend {

/// Counts the votes of one membership's disks until a majority has granted the key, or so many refuse it
/// that no majority can. Votes given under another epoch do not count.
class ClaimQuorum {
 public:
  enum class Result {
    open,     ///< not decided yet
    granted,  ///< a majority of the disks has granted the key
    held      ///< a majority can't be had: the others hold the key for another
  };

  ClaimQuorum(std::size_t member_count, Epoch epoch) : member_count_(member_count), epoch_(epoch) {}

  /// Whether a holder's operation is the one that binds the key now: it has the key on a majority of the disks. One
  /// whose key has lapsed may still have it on a few, which have forgotten it later than others.
  enum class Standing {
    open,     ///< further votes are needed
    binding,  ///< it is the only one that can have a majority
    lapsed    ///< it can't have a majority
  };

  /// Takes a vote in; `voter` names the disk that gave it, whose further votes of the same sense are ignored.
  Result count(std::string const& voter, ClaimResponse const& response);

  Epoch epoch() const { return epoch_; }
  /// A disk that has not voted, or does not state its holder, may have any.
  Standing standing_of(u64 holder) const;
  /// Those whom disks have named, on the most disks first.
  std::vector<u64> holders() const;

  std::size_t grants() const { return granted_by_.size(); }
  std::size_t refusals() const { return refused_by_.size(); }
  /// True if a disk said that the holder's work may still be in progress.
  bool is_in_progress() const { return is_in_progress_; }

 private:
  std::size_t majority() const { return member_count_ / 2 + 1; }
  std::size_t disks_that_name(u64 holder) const;
  /// On how many disks may this holder have the key?
  std::size_t most_disks_of(u64 holder) const;

  std::size_t member_count_;
  Epoch epoch_;
  bool is_in_progress_ = false;
  std::vector<std::string> granted_by_, refused_by_;
  std::map<std::string, u64> holder_by_voter_;  ///< of those in refused_by_ that state it
};

}  // namespace dockbend
