/// Tells a lasting difference of two registries from updates that are still on their way.
#pragma once
#include "base/types.hpp"

namespace dockbend {

/// One for each peer. A complete list is worth its cost only if both sides stood still and yet differ, or if they
/// have differed for long.
class DigestMismatchDetector {
 public:
  /// Takes note of both digests as of one report. Returns true if the complete list should be fetched now; counting
  /// then begins anew.
  bool observe(u64 own, u64 theirs);
  void reset() { *this = DigestMismatchDetector(); }

 private:
  int differing_reports_ = 0;  // in a row
  int unchanged_reports_ = 0;  // in a row, in which neither digest changed
  u64 last_own_ = 0, last_theirs_ = 0;
};

}  // namespace dockbend
