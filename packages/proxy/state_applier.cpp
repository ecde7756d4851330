#include "proxy/state_applier.hpp"

#include <map>

namespace dockbend {

void StateApplier::apply(StateUpdate const& update, Seconds now) {
  if (!update.state.empty())
    apply_state(update.state, now);
  else if (!update.delta.empty())
    apply_delta(update.delta, now);
  usage_.forget_before(UsageWindow(first_open_window_));
  if (update.rows_full || !update.rows.empty()) apply_servers(update, now);
  if (!update.sites.empty()) apply_proxy_counts(update.sites, now);
  context_.load_balancer.set_evacuated_zones(evacuated_zones_, now);
}

void StateApplier::apply_state(std::string const& bytes, Seconds now) {
  ReplicatedState const state = read_state(bytes);
  if (context_.has_configuration && state.ballot <= ballot_) return;
  context_.has_configuration = true;
  ballot_ = state.ballot;
  for (ConfigItem const& item : state.items)
    context_.configuration.put(item);
  first_open_window_ = state.to_fix;
  set_evacuations(state.evacuations, now);
  configuration_changed(now);
}

void StateApplier::apply_delta(std::string const& bytes, Seconds now) {
  StateDelta const delta = read_delta(bytes);
  if (!context_.has_configuration || delta.ballot <= ballot_) return;
  ballot_ = delta.ballot;
  for (ConfigItem const& item : delta.items)
    context_.configuration.put(item);
  first_open_window_ = delta.to_fix;
  if (delta.evacuations_set) set_evacuations(delta.evacuations, now);
  if (!delta.items.empty()) configuration_changed(now);
}

void StateApplier::apply_servers(StateUpdate const& update, Seconds now) {
  std::vector<LoadBalancer::ServerUpdate> servers;
  for (ServerRecord const& record : update.rows) {
    LoadBalancer::ServerUpdate server;
    server.id = record.id;
    server.service = record.service;
    server.address = record.address;
    server.zone = record.zone;
    server.capacity = record.capacity;
    server.ready = record.state == ServerState::ready;
    server.warm_up_left = record.cold_left;
    servers.push_back(std::move(server));
  }
  if (update.rows_full)
    context_.load_balancer.replace_servers(servers, now);
  else
    context_.load_balancer.update_servers(servers, now);
  context_.connections.retire_idle_of(context_.load_balancer.retired_servers());
}

void StateApplier::apply_proxy_counts(std::vector<ZoneProxyCount> const& counts, Seconds now) {
  std::map<std::string, u32> count_by_zone;
  for (ZoneProxyCount const& entry : counts)
    count_by_zone[entry.zone] = entry.n;
  context_.load_balancer.set_proxy_counts(count_by_zone);
  quota_.update_rules(now);
}

void StateApplier::set_evacuations(std::vector<Evacuation> const& evacuations, Seconds now) {
  evacuated_zones_.clear();
  for (Evacuation const& evacuation : evacuations)
    if (evacuation.on) evacuated_zones_.insert(evacuation.zone);
  context_.load_balancer.set_evacuated_zones(evacuated_zones_, now);
}

void StateApplier::configuration_changed(Seconds now) {
  front_.set_limits(context_.configuration.limits());
  routing_.update_limits();
  quota_.update_rules(now);
}

}  // namespace dockbend
