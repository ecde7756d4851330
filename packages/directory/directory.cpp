#include "directory/directory.hpp"

#include <algorithm>
#include <cmath>

namespace dockbend {

std::vector<ProxyEntry const*> NearestSelector::choose(std::vector<ProxyEntry const*> const& table,
                                                       ClientContext const& c) const {
  struct Rated {
    ProxyEntry const* s;
    int tier;
    double r;
  };
  std::vector<Rated> v;
  double sum = 0, n = 0;
  for (ProxyEntry const* s : table) {
    int tier = s->zone == c.zone ? 0 : s->region == c.region ? 1 : 2;
    if (tier == 0) {
      sum += s->load;
      n += 1;
    }
    if (s->load > busy) tier += 3;
    // Chance, by what is left of each: no herd runs to the lightest, and the busy get
    // fewer.
    double const left = std::max(0.05, 1.0 - s->load);
    v.push_back({s, tier, std::pow(random01(), 1.0 / (left * left))});
  }
  std::sort(v.begin(), v.end(),
            [](Rated const& a, Rated const& b) { return a.tier != b.tier ? a.tier < b.tier : a.r > b.r; });
  // Two of the nearest tier and one of the next: a list whose machines all stand
  // in one zone is worth nothing when that zone is lost. One and two when the zone is
  // busy. The last tier is for those who have nothing nearer.
  std::size_t const of_near = n > 0 && sum / n > pressed ? most - 2 : most - 1;
  std::vector<ProxyEntry const*> out;
  std::size_t near = 0;
  for (Rated const& r : v) {
    if (out.size() >= most) break;
    if (r.tier % 3 == 2 && !out.empty()) break;
    if (r.tier == v.front().tier && ++near > of_near) continue;
    out.push_back(r.s);
  }
  return out;
}

}  // namespace dockbend
