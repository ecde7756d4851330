#include "drain/unit_clock.hpp"

namespace dockbend {

std::optional<Seconds> UnitTimes::observe_idle(bool is_idle, Seconds now) {
  if (!is_idle) {
    idle_since.reset();
    return std::nullopt;
  }
  if (!idle_since) {
    idle_since = now;
    return std::nullopt;
  }
  return now - *idle_since;
}

UnitTimes& UnitClock::observe(DrainUnit const& unit, Seconds now) {
  Key const key{unit.pass, unit.name};
  observed_.insert(key);
  auto const [it, is_new] = times_.try_emplace(key);
  if (is_new || it->second.stage != unit.stage) it->second = UnitTimes{unit.stage, now, std::nullopt};
  return it->second;
}

void UnitClock::end_step() {
  std::erase_if(times_, [&](auto const& entry) { return observed_.count(entry.first) == 0; });
}

std::optional<Seconds> UnitClock::stage_since(u64 run_id, std::string const& name) const {
  auto const it = times_.find({run_id, name});
  if (it == times_.end()) return std::nullopt;
  return it->second.stage_since;
}

}  // namespace dockbend
