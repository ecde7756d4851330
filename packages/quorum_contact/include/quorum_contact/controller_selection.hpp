// Which nodes feed an agent. No I/O.
#pragma once
#include <string>
#include <vector>

#include "base/types.hpp"

namespace dockbend {

// What a node said of its own contact. A node that was out of contact is believed again at
// once if it feeds us, and else only once it has been in contact for `steady`: whoever comes
// and goes is not gone back to each time.
class ReportedContact {
 public:
  explicit ReportedContact(Seconds steady = 1.2) : steady_(steady) {}
  void hear(bool in_contact, Seconds now) {
    if (!in_contact)
      word_ = Word::out;
    else if (word_ != Word::in) {
      since_ = word_ == Word::unknown ? now - steady_ : now;
      word_ = Word::in;
    }
  }
  void reset() { *this = ReportedContact(steady_); }  // a new connection
  bool out() const { return word_ == Word::out; }
  // 0: in contact; 1: perhaps; 2: not.
  int rank(Seconds now, bool feeding) const {
    if (word_ == Word::unknown) return 1;
    if (word_ == Word::out) return 2;
    return feeding || now - since_ >= steady_ ? 0 : 1;
  }

 private:
  enum class Word { unknown, in, out };
  Seconds steady_, since_ = 0;
  Word word_ = Word::unknown;
};

// A node that is up. tier: 0 in our zone, 1 in our region, 2 farther, 3 not known; draw
// differs from agent to agent, so that not all choose the same among equals.
struct ControllerCandidate {
  std::string ip;
  int rank = 1;  // of its contact
  int tier = 3;
  u64 draw = 0;
};

// The n that feed us; the first is the primary. Those in contact come before all others,
// then the nearest: with none in contact, distance alone decides.
std::vector<std::string> choose_feeders(std::vector<ControllerCandidate> v, std::size_t n);

}  // namespace dockbend
