// Brings votes to the disk in order, each as what it changed. No I/O: the disk is a policy.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "consensus/state_rows.hpp"

namespace dockbend {

// One vote on its way to the disk: it may be written only on top of the vote `base`.
struct VoteWrite {
  std::vector<StateRow> rows;
  VoteHeader head;  // head.seq is this vote's own number
  u64 base = 0;     // the vote that the disk must hold
};

// Takes votes in the order they come; writes one whole or not at all, and not at all unless
// the last one written is its base; tells the outcome of each, in that order, later.
template <class D>
concept VoteDisk = requires(D& d, VoteWrite w, std::function<void(bool)> done) {
  d.write_vote(std::move(w), std::move(done));
};

// Invariants: sure_ is the last vote known to be on disk. Every row by which the newest
// value handed in differs from the disk's is in a write under way or in dirty_. Each write
// under way rests on the one before it, the first on sure_; so once one fails, none that
// came after it can be written, and the next rests on sure_ and has all their rows.
template <VoteDisk D>
class VoteWriter {
 public:
  using Done = std::function<void(bool)>;

  VoteWriter(D& d, u64 seq) : d_(d), sure_(seq), last_(seq) {}

  // done: whether this vote, and with it all before it, is on disk.
  void write(VoteHeader head, std::vector<StateRow> rows, Done done) {
    VoteWrite w;
    for (StateRow& r : rows) {
      std::string const k = r.key;
      dirty_[k] = std::move(r);
    }
    for (auto& [k, r] : dirty_)
      w.rows.push_back(std::move(r));
    dirty_.clear();
    w.base = under_way_.empty() ? sure_ : under_way_.back().head.seq;
    w.head = std::move(head);
    w.head.seq = ++last_;
    under_way_.push_back(w);
    d_.write_vote(std::move(w), [this, seq = last_, done = std::move(done)](bool ok) {
      ok ? wrote(seq) : failed(seq);
      done(ok);
    });
  }
  bool idle() const { return under_way_.empty(); }

 private:
  void wrote(u64 seq) {
    sure_ = seq;
    while (!under_way_.empty() && under_way_.front().head.seq <= seq)
      under_way_.pop_front();
  }
  void failed(u64 seq) {
    // One that rests on a failed one was given up with it; what came after stands.
    if (std::none_of(under_way_.begin(), under_way_.end(), [&](VoteWrite const& w) { return w.head.seq == seq; }))
      return;
    // Newer rows come later and hold.
    for (VoteWrite& w : under_way_)
      for (StateRow& r : w.rows) {
        std::string const k = r.key;
        dirty_[k] = std::move(r);
      }
    under_way_.clear();
  }

  D& d_;
  u64 sure_, last_;
  std::deque<VoteWrite> under_way_;
  std::map<std::string, StateRow> dirty_;
};

}  // namespace dockbend
