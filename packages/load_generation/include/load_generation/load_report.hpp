/// \file
/// What a generated load is made of and what came of it. No I/O.
#pragma once
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/types.hpp"

namespace dockbend {

/// One kind of request, written NAME:METHOD:PATH:RATE[:BODYBYTES[:keyed[:TOKEN]]]. An empty optional field has its
/// default.
struct LoadKind {
  std::string name, method, path;
  double rate = 0;       // requests a second
  std::size_t body = 0;  // bytes
  bool keyed = false;    // each request has an operation key
  std::string token;     // the tenant's key, if the route wants one
};

/// A load's option has a value that can't be used; the text names the option, what it wants and what it got.
struct LoadOptionError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Reads a kind of request as the command line gives it.
/// @throws LoadOptionError
LoadKind parse_kind(std::string const& text);

/// The times at which requests of one kind are due, whether or not earlier ones were answered: an open loop.
/// Invariant: the times rise, and their mean distance is 1 / rate.
class Arrivals {
 public:
  /// @param rate requests a second
  /// @param seed the same seed gives the same times
  Arrivals(double rate, u64 seed) : rate_(rate), random_state_(seed) {}
  /// The next time, from the load's start.
  Seconds next();

 private:
  double rate_;
  u64 random_state_;
  Seconds last_ = 0;
};

/// Latencies in buckets that grow by about 2%, so that memory stays small. Each is counted from when the request was
/// due, not from when it could be sent: waiting for a slow answer does not hide the requests that were due meanwhile
/// (coordinated omission).
class LatencyHistogram {
 public:
  void add(Seconds due_at, Seconds done_at);
  /// The latency that the share `share` (0 to 1) of the requests did not exceed; 0 if there are none.
  Seconds quantile(double share) const;
  u64 count() const { return count_; }
  Seconds most() const { return most_; }

 private:
  std::vector<u64> buckets_;
  u64 count_ = 0;
  Seconds most_ = 0;
};

/// What a tenant was granted against its budget. Invariant: worst() is the most, over every span so far, by which the
/// number of granted requests exceeded rate x span; a budget with a burst of at least that much would have held.
class BudgetUsage {
 public:
  /// @param rate requests a second
  explicit BudgetUsage(double rate) : rate_(rate) {}
  void add(Seconds granted_at);
  double worst() const { return worst_; }

 private:
  double rate_;
  double level_ = 0;  // requests beyond the rate, in the worst span that ends now
  double worst_ = 0;
  Seconds last_at_ = -1;  // negative: none yet
};

/// The results of one kind of request.
struct KindResults {
  LatencyHistogram times;    // of the successes
  u64 due = 0;               // finished requests, whatever came of them
  u64 late = 0;              // sent over 10 ms after they were due
  std::map<int, u64> codes;  // finished requests by HTTP status; 0: no answer
  void add(Seconds due_at, Seconds sent_at, Seconds done_at, int code);
};

}  // namespace dockbend
