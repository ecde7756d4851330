#include "operator_commands/set_evacuation.hpp"

#include <algorithm>

namespace dockbend {
namespace {
template <class State>
auto find_evacuation(State& state, std::string const& zone) {
  return std::find_if(state.evacuations.begin(), state.evacuations.end(),
                      [&](Evacuation const& evacuation) { return evacuation.zone == zone; });
}
u64 counter_of(ReplicatedState const& state, std::string const& zone) {
  auto const evacuation = find_evacuation(state, zone);
  return evacuation == state.evacuations.end() ? 0 : evacuation->counter;
}
}  // namespace

SetEvacuation::SetEvacuation(std::string zone, bool is_on, ReplicatedState const* known, bool is_configured)
    : zone_(std::move(zone)),
      is_on_(is_on),
      is_configured_(is_configured),
      known_counter_(known == nullptr ? 0 : counter_of(*known, zone_)) {}

CommandResult SetEvacuation::apply(ReplicatedState& state) const {
  auto const found = find_evacuation(state, zone_);
  bool const exists = found != state.evacuations.end();
  if (!exists && !is_configured_) return CommandResult::refused(CommandStatus::not_found, "no such zone");
  if ((exists && found->on) == is_on_) return CommandResult::accepted(false);
  if (counter_of(state, zone_) > known_counter_) return CommandResult::undecided("another order came between");
  if (exists) {
    found->on = is_on_;
    ++found->counter;
  } else {
    Evacuation evacuation;
    evacuation.zone = zone_;
    evacuation.counter = 1;
    evacuation.on = true;
    state.evacuations.push_back(std::move(evacuation));
  }
  return CommandResult::accepted(true);
}

}  // namespace dockbend
