/// What the parts of the proxy share.
#pragma once
#include <event2/event.h>

#include <map>
#include <string>

#include "configuration/configuration.hpp"
#include "load_balancing/load_balancer.hpp"
#include "planning/traffic_observer.hpp"
#include "proxy/drain_status.hpp"
#include "proxy/proxied_request.hpp"
#include "proxy/response_flush_tracker.hpp"
#include "proxy/shutdown_schedule.hpp"
#include "settings/settings.hpp"
#include "transport/peer_link.hpp"
#include "upstream/connection_pool.hpp"

namespace dockbend {

/// Approximate bytes over the network, as doubles because they are only divided and logged.
struct TrafficCounters {
  double bytes_in = 0, bytes_out = 0;  ///< since the load was last computed
  /// To and from servers of other regions, since it was last logged.
  double remote_bytes_in = 0, remote_bytes_out = 0;
  u64 remote_attempts = 0;
};

/// One proxy process's state. Everything runs on the event loop's thread. Members are destroyed in reverse order:
/// requests go before the connections that they use.
struct ProxyContext {
  ProxyContext(event_base* event_loop, Settings const& initial_settings);
  ProxyContext(ProxyContext const&) = delete;

  event_base* loop;  ///< owned by run_daemon
  Settings settings;
  LoadBalancer load_balancer;
  ConnectionPool connections;
  CompiledConfiguration configuration;
  bool has_configuration = false;  ///< a state from the agent has arrived
  PeerLink agent;
  u64 incarnation;  ///< of this process; never 0
  DrainStatus drain;
  ResponseFlushTracker response_flushes;
  RequestsInFlight requests;
  TrafficObserver traffic_observer;
  TrafficCounters traffic;
  std::map<std::string, u64> given_up;  ///< requests that were given up, by reason, since it was last logged
  /// Attempts that had been sent and brought no answer, by what ended them, since it was last logged.
  std::map<std::string, u64> failed_attempts;
  u64 runs_without_client = 0;  ///< went on after their client had disconnected, since it was last logged
  u64 hedged_attempts = 0;      ///< late attempts that got a second one beside them, since it was last logged

  /// The address that bind.`name` sets; throws SettingsError if it is missing.
  Address bind_address(char const* name) const;
  /// Of the shutdown under way.
  ShutdownSchedule shutdown_schedule() const { return {drain.shutdown_started_at(), settings.bounds.gracePeriodS}; }
  /// Is there something to route by, a server to send to, and no shutdown?
  bool is_ready() const;
  /// Is the server in another region than this proxy?
  bool is_remote(ServerIndex server);
};

}  // namespace dockbend
