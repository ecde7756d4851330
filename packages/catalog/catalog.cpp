#include "catalog/catalog.hpp"

#include <algorithm>

namespace dockbend {

std::vector<Site const*> NearSelector::choose(std::vector<Site const*> const& table, Consumer const& c) const {
  struct Rated {
    Site const* s;
    int tier;
    double r;
  };
  std::vector<Rated> v;
  for (Site const* s : table) {
    int tier = s->zone == c.zone ? 0 : s->region == c.region ? 1 : 2;
    if (s->load > busy) tier += 3;
    v.push_back({s, tier, random01()});
  }
  std::sort(v.begin(), v.end(), [](Rated const& a, Rated const& b) { return a.tier != b.tier ? a.tier < b.tier : a.r < b.r; });
  std::vector<Site const*> out;
  for (Rated const& r : v) {
    // The list stays inside the nearest tier that has anyone: a further site
    // costs the client a longer way and the operator dearer bytes.
    if (out.size() >= most || (!out.empty() && r.tier != v.front().tier)) break;
    out.push_back(r.s);
  }
  return out;
}

}  // namespace dockbend
