#include "proxy/proxy_context.hpp"

namespace dockbend {
namespace {
Seconds constexpr kAgentPingInterval = 0.4;
Seconds constexpr kAgentSilenceLimit = 2.0;
}  // namespace

ProxyContext::ProxyContext(event_base* event_loop, Settings const& initial_settings)
    : loop(event_loop),
      settings(initial_settings),
      load_balancer(settings),
      connections(loop, load_balancer),
      agent(loop, Address{"127.0.0.1", settings.agent()}, kAgentPingInterval, kAgentSilenceLimit),
      incarnation(random64() | 1),
      drain(incarnation) {}

Address ProxyContext::bind_address(char const* name) const {
  auto const it = settings.bind.find(name);
  if (it == settings.bind.end()) throw SettingsError(std::string("bind.") + name, "missing");
  return it->second;
}

bool ProxyContext::is_ready() const {
  return has_configuration && configuration.routes() > 0 && load_balancer.ready_servers() > 0 &&
         !drain.is_shutting_down();
}

bool ProxyContext::is_remote(ServerIndex server) {
  return !(load_balancer.endpoint(server).region == load_balancer.region_index(settings.region));
}

}  // namespace dockbend
