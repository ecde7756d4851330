#include "request/response_filter.hpp"

namespace dockbend {

char const* drop_name(Drop d) {
  switch (d) {
    case Drop::other_id: return "other id";
    case Drop::no_id: return "no id";
    case Drop::two_ids: return "two ids";
    case Drop::bare_promise: return "bare promise";
    case Drop::broken_frame: return "broken frame";
    case Drop::no_seal: return "no seal";
    case Drop::surplus: return "surplus";
    case Drop::late_answer: return "late answer";
    case Drop::late_claim: return "late claim";
    case Drop::other_key: return "other key";
    case Drop::count: break;
  }
  return "?";
}

std::string Fence::since() {
  std::string s;
  for (std::size_t i = 0; i < n_.size(); ++i) {
    if (n_[i] == said_[i]) continue;
    s +=
        (s.empty() ? "" : ", ") + std::string(drop_name(static_cast<Drop>(i))) + " " + std::to_string(n_[i] - said_[i]);
    said_[i] = n_[i];
  }
  return s;
}

}  // namespace dockbend
