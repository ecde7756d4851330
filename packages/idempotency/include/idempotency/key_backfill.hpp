// How a new disk comes to hold every key that a majority held, and for how long that
// counts. No I/O.
#pragma once
#include <optional>
#include <set>

#include "idempotency/key_table.hpp"

namespace dockbend {

// Invariants: a disk is heard once a roster, and only about a value at least as new as
// that; what it said is sealed here before it counts; the ledger is called whole only
// after a majority's worth was heard and all that they said is on disk, and only in the
// membership in which that was.
class KeyBackfill {
 public:
  // filled: what the disk says, see filled().
  explicit KeyBackfill(u64 filled = 0) : filled_(filled) {}

  // What a disk says to one that fills itself. epoch: of its value; none if it has none.
  static KeyCopyResponse answer(KeyTable const& l, Incarnation mine, std::optional<Epoch> epoch,
                                KeyCopyRequest const& q);

  bool wants(std::string const& ip) const { return heard_.count(ip) == 0; }
  struct Progress {
    std::vector<HeldKey> put;  // sealed: to be on disk
    bool enough = false;       // once they are, the keys are whole: done(), fit()
  };
  // named: the life that the roster gives that address; epoch, majority: of that roster.
  Progress hear(std::string const& ip, KeyCopyResponse const& r, std::optional<Incarnation> named, Epoch epoch,
                std::size_t majority, KeyTable& l, Seconds now);
  void reset() { heard_.clear(); }

  // A membership is told by the epoch that began it, plus one; 0: none.
  static u64 membership(std::optional<Epoch> since) { return since ? since->v + 1 : 0; }
  // The membership in which the keys became whole; 0: none.
  u64 filled() const { return filled_; }
  void done(u64 in) { filled_ = in; }
  // Whole is what was filled in this very membership.
  void fit(u64 in, KeyTable& l) const { l.set_whole(in != 0 && in == filled_); }

 private:
  u64 filled_;
  std::set<std::string> heard_;
};

}  // namespace dockbend
