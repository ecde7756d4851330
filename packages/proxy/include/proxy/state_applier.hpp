/// Applies what the agent sends of the replicated state, the servers and the other proxies.
#pragma once
#include <set>
#include <string>

#include "consensus/replicated_state.hpp"
#include "proxy/front_listener.hpp"
#include "proxy/proxy_context.hpp"
#include "proxy/quota_gate.hpp"
#include "proxy/service_routing.hpp"
#include "proxy/usage_metering.hpp"
#include "server_registry/server_registry.hpp"

namespace dockbend {

/// Invariant: the ballot of the state in force never falls while the process lives.
class StateApplier {
 public:
  StateApplier(ProxyContext& context, FrontListener& front, ServiceRouting& routing, QuotaGate& quota,
               UsageMetering& usage)
      : context_(context), front_(front), routing_(routing), quota_(quota), usage_(usage) {}
  /// Throws codec::MalformedMessage if a part of the update can't be read.
  void apply(StateUpdate const& update, Seconds now);

 private:
  void apply_state(std::string const& bytes, Seconds now);
  void apply_delta(std::string const& bytes, Seconds now);
  void apply_servers(StateUpdate const& update, Seconds now);
  void apply_proxy_counts(std::vector<ZoneProxyCount> const& counts, Seconds now);
  void set_evacuations(std::vector<Evacuation> const& evacuations, Seconds now);
  void configuration_changed(Seconds now);

  ProxyContext& context_;
  FrontListener& front_;
  ServiceRouting& routing_;
  QuotaGate& quota_;
  UsageMetering& usage_;
  Ballot ballot_;              // of the state in force
  u64 first_open_window_ = 0;  // earlier usage windows are reported
  std::set<std::string> evacuated_zones_;
};

}  // namespace dockbend
