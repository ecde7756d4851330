// What a load is made of and what came of it. No I/O.
#pragma once
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/types.hpp"

namespace dockbend {

// One kind of errand: NAME:METHOD:PATH:RATE[:BODYBYTES[:keyed[:TOKEN]]]. An empty
// field is its default.
struct LoadKind {
  std::string name, method, path;
  double rate = 0;  // a second
  std::size_t body = 0;
  bool keyed = false;
  std::string token;  // the partner's key, if the lane wants one
};
struct BadLoad : std::runtime_error {
  using std::runtime_error::runtime_error;
};
LoadKind parse_kind(std::string const& s);

// Arrivals come when they come, whether or not earlier ones were answered: an open
// loop. Invariant: times climb, and their mean gap is 1 / rate.
class Arrivals {
 public:
  Arrivals(double rate, u64 seed) : rate_(rate), s_(seed) {}
  Seconds next();

 private:
  double rate_;
  u64 s_;
  Seconds at_ = 0;
};

// Times in buckets that grow by about 2%, so that memory stays small. Each time is
// counted from when the errand was due, not from when it could be sent: waiting for
// a slow answer does not hide the errands that were due meanwhile (coordinated
// omission).
class Times {
 public:
  void add(Seconds due, Seconds done);
  Seconds quantile(double q) const;  // 0 if there are none
  u64 count() const { return n_; }
  Seconds most() const { return most_; }

 private:
  std::vector<u64> b_;
  u64 n_ = 0;
  Seconds most_ = 0;
};

// What a partner got against its budget. Invariant: worst() is the most, over every
// span so far, by which what was granted exceeded rate x span; a budget with a burst
// of at least that much would have held.
class Granted {
 public:
  explicit Granted(double rate) : rate_(rate) {}
  void add(Seconds at);
  double worst() const { return worst_; }

 private:
  double rate_, level_ = 0, worst_ = 0;
  Seconds at_ = -1;
};

struct Tally {
  Times times;               // of the successes
  u64 due = 0, late = 0;     // late: sent over 10 ms after it was due
  std::map<int, u64> codes;  // 0: no answer
  void add(Seconds due_at, Seconds sent_at, Seconds done_at, int code);
};

}  // namespace dockbend
