#include "server_registry/digest_mismatch_detector.hpp"

namespace dockbend {
namespace {
int constexpr kUnchangedReports = 1;  // both sides stood still over this many reports
int constexpr kDifferingReports = 8;  // or they differed in this many
}  // namespace

bool DigestMismatchDetector::observe(u64 own, u64 theirs) {
  if (own == theirs) {
    differing_reports_ = unchanged_reports_ = 0;
    return false;
  }
  ++differing_reports_;
  bool const is_unchanged = own == last_own_ && theirs == last_theirs_;
  unchanged_reports_ = is_unchanged ? unchanged_reports_ + 1 : 0;
  last_own_ = own;
  last_theirs_ = theirs;
  if (unchanged_reports_ < kUnchangedReports && differing_reports_ < kDifferingReports) return false;
  differing_reports_ = unchanged_reports_ = 0;
  return true;
}

}  // namespace dockbend
