/// The selector in use: nearest proxies first, spread by chance.
#pragma once
#include <vector>

#include "directory/proxy_selector.hpp"

namespace dockbend {

/// Prefers proxies of the client's zone, then of its region, then any. Among proxies equally near, chance decides,
/// weighted by the capacity that each has left, so that clients don't all move to the one with the least load.
struct NearestSelector {
  std::size_t max_entries = 3;
  double pressed_zone_load = 0.5;  // a zone with a higher mean load sends more of its clients to the region
  double busy_load = 0.8;          // a proxy with a higher load is good enough only if there is no other

  /// At most `max_entries` of `table`, the preferred first.
  std::vector<ProxyEntry const*> choose(std::vector<ProxyEntry const*> const& table, ClientContext const& client) const;
};

}  // namespace dockbend
