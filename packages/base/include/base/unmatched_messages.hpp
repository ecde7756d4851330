// What a part dropped because no open question fits it, by reason. A count that rises
// harms nobody: what was dropped answered nothing and changed nothing.
#pragma once
#include <array>
#include <string>

#include "base/types.hpp"

namespace dockbend {

enum class UnmatchedReason : u8 {
  no_question,  // nothing that is open waits for it: its time ran out, or it was answered
  connection,   // it answers what was asked over an earlier connection
  disk_life,    // it speaks for another disk than the roster names
  epoch,        // it speaks of another roster than it was asked about
  twice,        // this one has answered before
  other_key,    // the answer to another question
  late_claim,   // a claim that its own holder has given up meanwhile
  term,         // an order to whoever had a duty before
  owed,         // a release that could not be kept for a disk that is out of touch
};
constexpr std::size_t kUnmatchedReasonCount = 9;
constexpr char const* name_of(UnmatchedReason f) {
  constexpr char const* n[kUnmatchedReasonCount] = {"noQuestion", "earlierConnection", "otherDisk", "otherRoster",
                                                    "twice",      "otherKey",          "lateClaim", "earlierTerm",
                                                    "releaseLost"};
  return n[static_cast<std::size_t>(f)];
}

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
  template <class F>
  void each(F f) const {
    for (std::size_t i = 0; i < kUnmatchedReasonCount; ++i)
      if (n_[i] > 0) f(static_cast<UnmatchedReason>(i), n_[i]);
  }
  // For the log: what came since the last call; empty: nothing.
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
