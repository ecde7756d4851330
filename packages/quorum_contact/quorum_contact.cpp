#include "quorum_contact/quorum_contact.hpp"

#include <algorithm>
#include <functional>
#include <tuple>

#include "quorum_contact/controller_selection.hpp"

namespace dockbend {

Seconds MajorityQuorum::since(std::vector<Seconds> asked) {
  if (asked.empty()) return kNever;
  auto const nth = asked.begin() + static_cast<long>(enough(asked.size()) - 1);
  std::nth_element(asked.begin(), nth, asked.end(), std::greater<>());
  return *nth;
}

std::vector<std::string> choose_feeders(std::vector<ControllerCandidate> v, std::size_t n) {
  std::sort(v.begin(), v.end(), [](ControllerCandidate const& a, ControllerCandidate const& b) {
    return std::tie(a.rank, a.tier, a.draw, a.ip) < std::tie(b.rank, b.tier, b.draw, b.ip);
  });
  std::vector<std::string> out;
  for (ControllerCandidate& c : v)
    if (out.size() < n) out.push_back(std::move(c.ip));
  return out;
}

}  // namespace dockbend
