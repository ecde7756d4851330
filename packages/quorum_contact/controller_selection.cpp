#include "quorum_contact/controller_selection.hpp"

#include <algorithm>
#include <tuple>

namespace dockbend {

void ReportedContact::update(bool in_contact, Seconds now) {
  if (!in_contact) {
    report_ = Report::out;
  } else if (report_ != Report::in) {
    // The first report is believed at once.
    in_since_ = report_ == Report::none ? now - steady_after_ : now;
    report_ = Report::in;
  }
}

int ReportedContact::rank(Seconds now, bool serves_us) const {
  if (report_ == Report::none) return uncertain;
  if (report_ == Report::out) return out_of_contact;
  return serves_us || now - in_since_ >= steady_after_ ? in_contact : uncertain;
}

std::vector<std::string> select_controllers(std::vector<ControllerCandidate> candidates, std::size_t count) {
  auto const key = [](ControllerCandidate const& c) { return std::tie(c.contact_rank, c.distance, c.tie_break, c.ip); };
  std::sort(candidates.begin(), candidates.end(),
            [&](ControllerCandidate const& a, ControllerCandidate const& b) { return key(a) < key(b); });
  std::vector<std::string> selected;
  for (ControllerCandidate& candidate : candidates)
    if (selected.size() < count) selected.push_back(std::move(candidate.ip));
  return selected;
}

}  // namespace dockbend
