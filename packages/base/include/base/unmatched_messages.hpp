/// \file
/// Counts of messages that were ignored because they answer no open request, by reason. An ignored message
/// changed no state, so a rising count is no fault by itself.
#pragma once
#include <array>
#include <string>

#include "base/types.hpp"

namespace dockbend {

/// Why a message was ignored.
enum class UnmatchedReason : u8 {
  no_question,   ///< no open request waits for it: the request timed out or was answered
  connection,    ///< it answers a request that was sent over an earlier connection
  disk_life,     ///< its incarnation is not the one that the membership names
  epoch,         ///< its membership epoch is not the one of the request
  twice,         ///< this member has answered before
  other_key,     ///< it answers another request
  late_claim,    ///< a claim whose holder has released the key meanwhile
  term,          ///< a command to an earlier holder of a lease
  owed,          ///< a release that could not be kept for an unreachable disk
  other_holder,  ///< a stored answer of another holder than the one that has the key
  undelivered    ///< an answer that could not be kept until a disk of its home regions can be reached
};
constexpr std::size_t kUnmatchedReasonCount = 11;
constexpr char const* name_of(UnmatchedReason f) {
  constexpr char const* n[kUnmatchedReasonCount] = {"noQuestion",  "earlierConnection", "otherDisk", "otherRoster",
                                                    "twice",       "otherKey",          "lateClaim", "earlierTerm",
                                                    "releaseLost", "otherHolder",       "answerLost"};
  return n[static_cast<std::size_t>(f)];
}

/// The counts. Invariant: they never fall.
class UnmatchedMessages {
 public:
  void drop(UnmatchedReason f, u64 n = 1) { n_[static_cast<std::size_t>(f)] += n; }
  u64 of(UnmatchedReason f) const { return n_[static_cast<std::size_t>(f)]; }
  u64 all() const {
    u64 s = 0;
    for (u64 const x : n_)
      s += x;
    return s;
  }
  /// Calls f(reason, count) for each reason whose count is not 0.
  template <class F>
  void each(F f) const {
    for (std::size_t i = 0; i < kUnmatchedReasonCount; ++i)
      if (n_[i] > 0) f(static_cast<UnmatchedReason>(i), n_[i]);
  }
  /// For the log: the reasons and counts since the last call; empty if there were none.
  std::string news() {
    std::string s;
    for (std::size_t i = 0; i < kUnmatchedReasonCount; ++i)
      if (n_[i] > said_[i])
        s += (s.empty() ? "" : ", ") + std::string(name_of(static_cast<UnmatchedReason>(i))) + " " +
             std::to_string(n_[i] - said_[i]);
    said_ = n_;
    return s;
  }

 private:
  std::array<u64, kUnmatchedReasonCount> n_{}, said_{};
};

}  // namespace dockbend
