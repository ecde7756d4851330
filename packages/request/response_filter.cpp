#include "request/response_filter.hpp"

namespace dockbend {

char const* rejection_name(ResponseRejection cause) {
  switch (cause) {
    case ResponseRejection::other_id: return "other id";
    case ResponseRejection::no_id: return "no id";
    case ResponseRejection::two_ids: return "two ids";
    case ResponseRejection::bare_promise: return "bare promise";
    case ResponseRejection::broken_frame: return "broken frame";
    case ResponseRejection::no_seal: return "no seal";
    case ResponseRejection::surplus: return "surplus";
    case ResponseRejection::late_answer: return "late answer";
    case ResponseRejection::late_claim: return "late claim";
    case ResponseRejection::other_key: return "other key";
    case ResponseRejection::count: break;
  }
  return "?";
}

std::string ResponseFilter::summary_since_last() {
  std::string summary;
  for (std::size_t i = 0; i < totals_.size(); ++i) {
    if (totals_[i] == summarized_[i]) continue;
    summary += (summary.empty() ? "" : ", ") + std::string(rejection_name(static_cast<ResponseRejection>(i))) + " " +
               std::to_string(totals_[i] - summarized_[i]);
    summarized_[i] = totals_[i];
  }
  return summary;
}

}  // namespace dockbend
