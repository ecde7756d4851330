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
  // Two of the nearest tier and one of the next: a list whose machines all stand
  // in one zone is worth nothing when that zone is lost. The last tier is for
  // those who have nothing nearer.
  std::vector<Site const*> out;
  std::size_t near = 0;
  for (Rated const& r : v) {
    if (out.size() >= most) break;
    if (r.tier % 3 == 2 && !out.empty()) break;
    if (r.tier == v.front().tier && ++near > most - 1) continue;
    out.push_back(r.s);
  }
  return out;
}

}  // namespace dockbend
