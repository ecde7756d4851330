#pragma once
#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/operation_id.hpp"

/// \file
/// The index of one disk's stored answers. No I/O.

namespace dockbend {

/// What a stored answer is called: the operation, and the holder whose request it answers. A key that is used again
/// after it has lapsed has another holder, so that the answers of both have names of their own.
struct AnswerId {
  OperationId operation;
  u64 holder = 0;  ///< 0: not stated, as on the disks of releases before 2026-12-08

  /// In one text, for a table of the disk store. It begins with the operation's text, and a line break follows, unless
  /// neither a holder nor how the text is to be split is stated.
  std::string storage_key() const;
  static AnswerId of_storage_key(std::string const& storage_key);

  friend auto operator<=>(AnswerId const&, AnswerId const&) = default;
};

/// Invariants: an answer is counted once, however often it came; it leaves the index by its age since the first time,
/// or as the oldest one, when all of them take too much.
class StoredAnswers {
 public:
  /// An answer's place in the order of arrival; 0: before all of them.
  using Number = u64;

  /// An answer was given to the disk.
  void add(AnswerId const& id, std::size_t bytes, Seconds now);
  /// Takes out those that are older than `max_age` seconds, and the oldest ones beyond max_bytes, `limit` at most. The
  /// caller deletes them on the disk.
  std::vector<AnswerId> remove_old(Seconds max_age, std::size_t max_bytes, Seconds now, std::size_t limit);
  /// The newest one that came before that number; null: there is none.
  std::optional<std::pair<Number, AnswerId>> newest_before(Number number) const;
  /// Behind all that have come.
  Number end() const { return last_ + 1; }
  std::size_t size() const { return answers_.size(); }
  std::size_t bytes() const { return bytes_; }

 private:
  struct Entry {
    Seconds at = 0;
    std::size_t bytes = 0;
  };

  std::map<AnswerId, Entry> answers_;
  std::map<Number, AnswerId const*> in_order_;  ///< the names in answers_, oldest first
  std::size_t bytes_ = 0;                       ///< of all in answers_
  Number last_ = 0;
};

}  // namespace dockbend
