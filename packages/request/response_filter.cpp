#include "request/response_filter.hpp"

namespace dockbend {

char const* drop_name(ResponseRejection d) {
  switch (d) {
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

std::string ResponseFilter::since() {
  std::string s;
  for (std::size_t i = 0; i < n_.size(); ++i) {
    if (n_[i] == said_[i]) continue;
    s += (s.empty() ? "" : ", ") + std::string(drop_name(static_cast<ResponseRejection>(i))) + " " +
         std::to_string(n_[i] - said_[i]);
    said_[i] = n_[i];
  }
  return s;
}

}  // namespace dockbend
