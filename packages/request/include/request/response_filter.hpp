/// Counts what was discarded because it did not belong to the request that waited, by cause. No I/O.
#pragma once
#include <array>
#include <string>

#include "base/types.hpp"

namespace dockbend {

enum class ResponseRejection : u8 {
  other_id,      ///< a response with another request's attempt id
  no_id,         ///< one without an attempt id: it may be anybody's
  two_ids,       ///< one with two attempt ids
  bare_promise,  ///< 429, 503, 408 or 421 without X-Not-Run
  broken_frame,  ///< a body length that is doubled or not kept, or a coding that hides its end
  no_seal,       ///< a success without its seal
  surplus,       ///< bytes behind a complete response
  late_answer,   ///< for a request that is over, or for an attempt that was given up
  late_claim,    ///< the agent's response for a request that is over
  other_key,     ///< a stored answer of another key
  count,         ///< the number of causes
};
/// The cause's name in log lines and surveys.
char const* rejection_name(ResponseRejection cause);

/// Invariant: the totals only grow.
class ResponseFilter {
 public:
  void count_discard(ResponseRejection cause) { ++totals_[static_cast<std::size_t>(cause)]; }
  /// Since the process started.
  u64 discarded(ResponseRejection cause) const { return totals_[static_cast<std::size_t>(cause)]; }
  /// What was discarded since the last call, as `cause n, cause n`; empty: nothing.
  std::string summary_since_last();

 private:
  std::array<u64, static_cast<std::size_t>(ResponseRejection::count)> totals_{}, summarized_{};
};

}  // namespace dockbend
