#include "quorum_contact/quorum_contact.hpp"

#include <algorithm>
#include <functional>
#include <tuple>

#include "quorum_contact/controller_selection.hpp"

namespace dockbend {

Secs Majority::since(std::vector<Secs> asked) {
  if (asked.empty()) return never;
  auto const nth = asked.begin() + static_cast<long>(enough(asked.size()) - 1);
  std::nth_element(asked.begin(), nth, asked.end(), std::greater<>());
  return *nth;
}

std::vector<std::string> choose_feeders(std::vector<Candidate> v, std::size_t n) {
  std::sort(v.begin(), v.end(), [](Candidate const& a, Candidate const& b) {
    return std::tie(a.rank, a.tier, a.draw, a.ip) < std::tie(b.rank, b.tier, b.draw, b.ip);
  });
  std::vector<std::string> out;
  for (Candidate& c : v)
    if (out.size() < n) out.push_back(std::move(c.ip));
  return out;
}

}  // namespace dockbend
