#pragma once
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "idempotency/claim_messages.hpp"

/// \file
/// Answers that can't be stored yet, for no disk of their home regions can be reached. No I/O.

namespace dockbend {

/// Holds answers in memory, on the machine that the client had connected to, until a disk may take them.
class UndeliveredAnswers {
 public:
  struct Answer {
    OperationId operation;
    u64 holder = 0;
    std::vector<std::string> homes;
    std::string encoded;  ///< a StoredAnswer
    Seconds since = 0;
  };

  /// False if others had to be dropped for it.
  bool add(Answer answer);
  /// The newest one of this operation; null: there is none.
  Answer const* find(OperationId const& operation) const;
  /// Takes out those that have somewhere to go, the oldest first.
  std::vector<Answer> take_if(std::function<bool(Answer const&)> const& has_somewhere_to_go);
  /// Drops those that are older than that: no key binds for so long.
  void drop_older_than(Seconds age, Seconds now);
  std::size_t size() const { return answers_.size(); }

 private:
  static std::size_t constexpr kMostBytes = 8u << 20;

  std::deque<Answer> answers_;  ///< oldest first
  std::size_t bytes_ = 0;       ///< of all encoded
};

}  // namespace dockbend
