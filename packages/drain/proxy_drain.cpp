#include "drain/proxy_drain.hpp"

#include <algorithm>
#include <cstdio>
#include <limits>
#include <set>

namespace dockbend {
namespace {
u32 constexpr kNoWave = std::numeric_limits<u32>::max();

std::string format(char const* pattern, std::string const& name, double first, double second) {
  char text[200];
  std::snprintf(text, sizeof text, pattern, name.c_str(), first, second);
  return text;
}

bool is_out_of_service(DrainStage stage) {
  return stage == DrainStage::cordoned || stage == DrainStage::draining || stage == DrainStage::empty ||
         stage == DrainStage::released;
}

/// What is known of all proxies in one step, whatever run they are in.
struct ProxyView {
  std::vector<ProxyObservation> const& proxies;
  std::map<std::string, ProxyObservation const*> by_front;
  std::set<std::string> out_of_service;  // for any run
  std::map<std::string, RegionCapacity> capacities;

  ProxyView(ReplicatedState const& state, std::vector<ProxyObservation> const& observed) : proxies(observed) {
    for (ProxyObservation const& proxy : proxies)
      by_front[proxy.front] = &proxy;
    for (DrainUnit const& unit : state.units)
      if (is_out_of_service(unit.stage)) out_of_service.insert(unit.name);
    capacities = region_capacities(
        proxies, [this](ProxyObservation const& proxy) { return out_of_service.count(proxy.front) > 0; });
  }

  /// Null if the proxy is unknown or its keepalives don't arrive.
  ProxyObservation const* find_reachable(std::string const& front) const {
    auto const it = by_front.find(front);
    return it == by_front.end() || !it->second->is_reachable ? nullptr : it->second;
  }
};

/// Plans one step of one run.
class RunStep {
 public:
  RunStep(ReplicatedState const& state, DrainRun const& run, ProxyView const& view, ProxyDrainOptions const& options,
          UnitClock& clock, ShortageMonitor& shortages, Seconds now, DrainActions& actions)
      : state_(state),
        run_(run),
        view_(view),
        options_(options),
        clock_(clock),
        shortages_(shortages),
        now_(now),
        actions_(actions),
        short_regions_(shortages.update(view.capacities, run.headroom, now)) {}

  void plan() {
    u32 const wave = current_wave();
    for (DrainUnit const& unit : state_.units)
      if (unit.pass == run_.id && unit.wave == wave && unit.stage != DrainStage::back) plan_unit(unit);
    actions_.messages.push_back(DrainRunMessage{run_.id, shortage_message_.empty() ? message_ : shortage_message_});
  }

 private:
  /// The first wave with a proxy that is not back. A proxy that could not be reached before its turn serves nobody,
  /// so it does not hold up the others; it counts only if there is nobody else.
  u32 current_wave() const {
    u32 first_reachable = kNoWave, first = kNoWave;
    for (DrainUnit const& unit : state_.units) {
      if (unit.pass != run_.id || unit.stage == DrainStage::back) continue;
      first = std::min(first, unit.wave);
      bool const can_be_passed_over = unit.stage == DrainStage::waiting && view_.find_reachable(unit.name) == nullptr;
      if (!can_be_passed_over) first_reachable = std::min(first_reachable, unit.wave);
    }
    return first_reachable == kNoWave ? first : first_reachable;
  }

  void plan_unit(DrainUnit const& unit) {
    UnitTimes& times = clock_.observe(unit, now_);
    ProxyObservation const* proxy = view_.find_reachable(unit.name);
    if (proxy == nullptr) {  // nothing is known of its open requests, so nothing is decided
      times.idle_since.reset();
      set_message(label(unit) + ": out of reach");
      return;
    }
    bool const still_serves = unit.stage == DrainStage::cordoned || unit.stage == DrainStage::draining;
    if (still_serves && short_regions_.count(proxy->region) > 0) return take_back(unit, *proxy);
    switch (unit.stage) {
      case DrainStage::waiting: return plan_waiting(unit, *proxy);
      case DrainStage::cordoned: return plan_cordoned(unit, *proxy);
      case DrainStage::draining: return plan_draining(unit, *proxy, times);
      case DrainStage::empty:
      case DrainStage::released: return plan_empty(unit, *proxy);
      case DrainStage::back: return;
    }
  }

  /// Its region lacks capacity and it can still serve.
  void take_back(DrainUnit const& unit, ProxyObservation const& proxy) {
    transition(unit, DrainStage::waiting, 0);
    shortage_message_ = format("region %s: load is %.2f, at most %.2f is wanted; who can still serve is taken back",
                               proxy.region, view_.capacities.at(proxy.region).load, 1 - run_.headroom);
  }

  /// It may leave if its region keeps the headroom without it.
  void plan_waiting(DrainUnit const& unit, ProxyObservation const& proxy) {
    if (run_.state != DrainRunState::running) return;
    auto const capacities = region_capacities(view_.proxies, [&](ProxyObservation const& other) {
      return view_.out_of_service.count(other.front) > 0 || leaving_.count(other.front) > 0 || other.front == unit.name;
    });
    RegionCapacity const& capacity = capacities.at(proxy.region);
    if (is_short(capacity, run_.headroom) || shortages_.was_short_lately(proxy.region, now_)) {
      if (shortage_message_.empty())
        shortage_message_ = capacity.nodes == 0 ? "region " + proxy.region + ": nobody would be left"
                                                : format("region %s: load would be %.2f, at most %.2f is wanted",
                                                         proxy.region, capacity.load, 1 - run_.headroom);
      return;
    }
    leaving_.insert(unit.name);
    transition(unit, DrainStage::cordoned, proxy.incarnation);
  }

  /// It drains once no client can have it on its list any more.
  void plan_cordoned(DrainUnit const& unit, ProxyObservation const& proxy) {
    if (proxy.cordoned_for >= options_.max_list_age && proxy.incarnation != 0 &&
        proxy.reported_stage >= DrainStage::cordoned)
      transition(unit, DrainStage::draining, proxy.incarnation);
  }

  void plan_draining(DrainUnit const& unit, ProxyObservation const& proxy, UnitTimes& times) {
    if (proxy.incarnation != 0 && proxy.incarnation != unit.incarnation) {
      transition(unit, DrainStage::draining, proxy.incarnation);  // it restarted under way: drain the new process
      return;
    }
    bool const is_idle =
        proxy.reported_stage == DrainStage::draining && proxy.open_keyed == 0 && proxy.open_uploads == 0;
    std::optional<Seconds> const idle_for = times.observe_idle(is_idle, now_);
    if (idle_for && *idle_for >= options_.idle_confirmation) transition(unit, DrainStage::empty, unit.incarnation);
    if (!is_idle && now_ - times.stage_since > run_.patience)
      set_message(format("%s: not empty, %.0f keyed and %.0f uploads are open", label(unit), proxy.open_keyed,
                         proxy.open_uploads));
  }

  /// It is back once another process serves in its place with the configuration in force.
  void plan_empty(DrainUnit const& unit, ProxyObservation const& proxy) {
    bool const was_restarted = proxy.incarnation != 0 && proxy.incarnation != unit.incarnation;
    if (was_restarted && proxy.is_ready && proxy.has_current_configuration)
      return transition(unit, DrainStage::back, proxy.incarnation);
    bool const same_process = proxy.incarnation == unit.incarnation;
    set_message(label(unit) + (same_process ? ": empty, waits to be restarted" : ": restarted, not ready yet"));
  }

  void transition(DrainUnit const& unit, DrainStage to, u64 incarnation) {
    actions_.transitions.push_back(StageTransition{run_.id, unit.name, unit.stage, to, incarnation});
  }

  /// The first message of a step stands.
  void set_message(std::string const& text) {
    if (message_.empty()) message_ = text;
  }

  static std::string const& label(DrainUnit const& unit) { return unit.node.empty() ? unit.name : unit.node; }

  ReplicatedState const& state_;
  DrainRun const& run_;
  ProxyView const& view_;
  ProxyDrainOptions const& options_;
  UnitClock& clock_;
  ShortageMonitor const& shortages_;
  Seconds now_;
  DrainActions& actions_;
  std::set<std::string> short_regions_;  // with a shortage that lasts
  std::set<std::string> leaving_;        // cordoned in this very step
  std::string message_;
  std::string shortage_message_;  // takes precedence over message_
};
}  // namespace

DrainActions ProxyDrainPlanner::step(ReplicatedState const& state, std::vector<ProxyObservation> const& proxies,
                                     Seconds now) {
  ProxyView const view(state, proxies);
  DrainActions actions;
  clock_.begin_step();
  for (DrainRun const& run : state.passes)
    if (!run.servers && !is_over(run.state))
      RunStep(state, run, view, options_, clock_, shortages_, now, actions).plan();
  clock_.end_step();
  drop_known_messages(state, actions);
  return actions;
}

void ProxyDrainPlanner::forget() {
  clock_.clear();
  shortages_.clear();
}

}  // namespace dockbend
