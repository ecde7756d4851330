// What was dropped because it did not belong to the question that waited, by cause. No I/O.
#pragma once
#include <array>
#include <string>

#include "base/types.hpp"

namespace dockbend {

enum class ResponseRejection : u8 {
  other_id,      // an answer that bears another request's id
  no_id,         // one that bears none: it may be anybody's
  two_ids,       // one that bears two
  bare_promise,  // 429, 503 or 408 without X-Not-Run
  broken_frame,  // a length that is missing, doubled or not kept
  no_seal,       // a success without its seal
  surplus,       // bytes behind a whole answer
  late_answer,   // for a request that is over, or for an attempt that was given up
  late_claim,    // the agent's word for a request that is over
  other_key,     // a first answer of another key
  count,
};
char const* drop_name(ResponseRejection d);

// Invariant: totals only grow.
class ResponseFilter {
 public:
  void drop(ResponseRejection d) { ++n_[static_cast<std::size_t>(d)]; }
  u64 dropped(ResponseRejection d) const { return n_[static_cast<std::size_t>(d)]; }
  // What came since it was last asked, as `cause n, cause n`; empty: nothing.
  std::string since();

 private:
  std::array<u64, static_cast<std::size_t>(ResponseRejection::count)> n_{}, said_{};
};

}  // namespace dockbend
