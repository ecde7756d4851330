#include "planning/fleet_snapshot.hpp"

#include <algorithm>

namespace dockbend {

RouteSnapshot const* FleetSnapshot::find_route(std::string const& name) const {
  auto const it = std::find_if(routes.begin(), routes.end(), [&](RouteSnapshot const& r) { return r.name == name; });
  return it == routes.end() ? nullptr : &*it;
}

}  // namespace dockbend
