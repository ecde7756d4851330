#include "drain/drain_order.hpp"

#include <algorithm>
#include <cstdlib>
#include <set>

namespace dockbend {

u64 run_id_of(DrainOrder const& order) {
  char* end = nullptr;
  u64 const id = std::strtoull(order.id.c_str(), &end, 10);
  if (order.id.empty() || *end != '\0' || id == 0) throw DrainOrderError(400, "id: wants a number above 0");
  return id;
}

u64 digest_of(DrainOrder order) {
  std::sort(order.units.begin(), order.units.end(),
            [](DrainOrderUnit const& a, DrainOrderUnit const& b) { return a.name < b.name; });
  return hash64(codec::pack(order)) | 1;  // 0 means "digest not known" in a run
}

void validate(DrainOrder const& order) {
  run_id_of(order);
  if (!(order.headroom >= 0 && order.headroom < 1))
    throw DrainOrderError(400, "headroom: wants a share from 0 to below 1");
  if (order.units.empty()) throw DrainOrderError(400, "units: empty");
  if (order.servers && order.maxUnavailable == 0) throw DrainOrderError(400, "maxUnavailable: wants a number above 0");
  if (!(order.patienceS > 0)) throw DrainOrderError(400, "patienceS: wants a time above 0");
  std::set<std::string> names;
  for (DrainOrderUnit const& unit : order.units) {
    if (unit.name.empty()) throw DrainOrderError(400, "units: a name is empty");
    if (!names.insert(unit.name).second) throw DrainOrderError(400, unit.name + ": named twice");
  }
}

}  // namespace dockbend
