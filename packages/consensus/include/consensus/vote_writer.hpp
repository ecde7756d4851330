/// Brings votes to the disk in order, each as what it changed. No I/O: the disk is a policy, since tests and the model
/// checker put disks that fail in its place.
#pragma once
#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "consensus/state_rows.hpp"

namespace dockbend {

/// One vote on its way to the disk. It may be written only on top of the vote `base`.
struct VoteWrite {
  std::vector<StateRow> rows;
  VoteHeader head;  ///< head.seq is this vote's own number
  u64 base = 0;     ///< the number of the vote that the disk must hold
};

/// Takes votes in the order they come; writes each completely or not at all, and not at all unless the last one written
/// is its base; reports the outcome of each, in that order, later or at once.
template <class Disk>
concept VoteDisk = requires(Disk& disk, VoteWrite vote, std::function<void(bool)> done) {
  disk.write_vote(std::move(vote), std::move(done));
};

/// Invariants:
/// - written_ is the last vote known to be on disk;
/// - every row by which the newest value handed in differs from the disk's is in a write in flight or in
///   unwritten_rows_;
/// - each write in flight has the one before it as its base, the first has written_. Once one fails, none after it can
///   be written; the next one has written_ as its base and carries all their rows.
template <VoteDisk Disk>
class VoteWriter {
 public:
  using Done = std::function<void(bool)>;

  /// disk: must outlive this. seq: the number of the vote that it holds (0: none).
  VoteWriter(Disk& disk, u64 seq) : disk_(disk), written_(seq), last_(seq) {}

  /// done(true): this vote, and all before it, are on disk.
  void write(VoteHeader header, std::vector<StateRow> rows, Done done) {
    remember(std::move(rows));
    VoteWrite vote;
    for (auto& [key, row] : unwritten_rows_)
      vote.rows.push_back(std::move(row));
    unwritten_rows_.clear();
    vote.base = in_flight_.empty() ? written_ : in_flight_.back().head.seq;
    vote.head = std::move(header);
    vote.head.seq = ++last_;
    in_flight_.push_back(vote);
    disk_.write_vote(std::move(vote), [this, seq = last_, done = std::move(done)](bool is_written) {
      is_written ? on_written(seq) : on_failed(seq);
      done(is_written);
    });
  }
  bool is_idle() const { return in_flight_.empty(); }

 private:
  /// Newer rows replace older ones of the same key.
  void remember(std::vector<StateRow> rows) {
    for (StateRow& row : rows) {
      std::string const key = row.key;
      unwritten_rows_[key] = std::move(row);
    }
  }
  void on_written(u64 seq) {
    written_ = seq;
    while (!in_flight_.empty() && in_flight_.front().head.seq <= seq)
      in_flight_.pop_front();
  }
  void on_failed(u64 seq) {
    // A vote on top of a failed one was given up with it; votes handed in since then are not affected.
    if (std::none_of(in_flight_.begin(), in_flight_.end(), [&](VoteWrite const& w) { return w.head.seq == seq; }))
      return;
    for (VoteWrite& vote : in_flight_)
      remember(std::move(vote.rows));
    in_flight_.clear();
  }

  Disk& disk_;
  u64 written_, last_;
  std::deque<VoteWrite> in_flight_;
  std::map<std::string, StateRow> unwritten_rows_;  // by key
};

}  // namespace dockbend
