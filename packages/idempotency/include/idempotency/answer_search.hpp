#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "idempotency/claim_disks.hpp"
#include "idempotency/claim_quorum.hpp"

/// \file
/// The search for the stored answer of a key that is held. No I/O.

namespace dockbend {

/// A stored answer, and whose it is.
struct FoundAnswer {
  u64 holder = 0;
  bool is_lost = false;  ///< the request has ended, and its answer is not known here
  std::string encoded;
};

/// Which disks were asked for the answer, and what they said.
class AnswerSearch {
 public:
  /// An answer is stored on so many disks, if that many can be reached.
  static std::size_t constexpr kStoredCopies = 2;

  void ask(std::string const& disk, u64 connection) { asked_[disk] = connection; }
  /// The disks that have not said yet, and over which connection each was asked.
  std::map<std::string, u64> const& asked() const { return asked_; }
  void on_found(std::string const& disk, FoundAnswer answer);
  void on_none(std::string const& disk);
  /// An answer that needs no disk.
  void add(FoundAnswer answer) { answers_.push_back(std::move(answer)); }
  /// The connection to the disk is gone; true if it was asked over it.
  bool on_disconnected(std::string const& disk) { return asked_.erase(disk) > 0; }

  /// Drops the answers whose key has lapsed by these votes; how many there were.
  std::size_t drop_lapsed(ClaimQuorum const& votes);
  /// The answer of the operation that binds the key, if possible one that is known. Null: none was found.
  FoundAnswer const* binding(ClaimQuorum const& votes) const;
  bool has_answers() const { return !answers_.empty(); }
  bool is_over() const { return asked_.empty() && answers_.empty(); }
  /// Whether disks that have not said may hold the only copies: so many have not as there are copies, or all of the
  /// home regions, or all there are.
  bool may_be_missed(std::vector<Member> const& members, std::vector<std::string> const& homes) const;

 private:
  std::map<std::string, u64> asked_;
  std::set<std::string> heard_;       ///< disks that have said what they have
  std::vector<FoundAnswer> answers_;  ///< those not known to be lapsed
};

}  // namespace dockbend
