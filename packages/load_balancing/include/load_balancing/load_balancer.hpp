/// Chooses the server of each request. No I/O. Names of services, zones and regions are dense indices here.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "load_balancing/endpoint.hpp"
#include "load_balancing/retry_budget.hpp"
#include "load_balancing/route_latencies.hpp"
#include "settings/settings.hpp"

namespace dockbend {

/// All that one proxy knows of servers, and its choice among them. Time points are those of the steady clock.
class LoadBalancer {
 public:
  /// settings must outlive the load balancer. draw: numbers from 0 to below 1; a simulation gives its own, so that it
  /// repeats.
  explicit LoadBalancer(Settings const& settings, std::function<double()> draw = random01);

  // ---- names ----
  /// The index of a name; a new one is given an index.
  ServiceIndex service_index(std::string const& name);
  LocationIndex zone_index(std::string const& name);
  LocationIndex region_index(std::string const& name);
  std::string const& service_name(ServiceIndex service) const { return service_names_[service.v]; }
  std::string const& zone_name(LocationIndex zone) const { return zone_names_[zone.v]; }

  // ---- what is configured and known of servers and proxies ----
  void set_limits(ServiceIndex service, ServiceLimits limits);
  struct ServerUpdate {
    std::string id, service, address, zone;
    double capacity = 1;
    bool ready = false;
    Seconds warm_up_left = 0;
  };
  /// All servers. Those not named are forgotten once nothing of them is left.
  void replace_servers(std::vector<ServerUpdate> const& servers, Seconds now);
  /// Only what changed; a server that is not ready gets nothing more.
  void update_servers(std::vector<ServerUpdate> const& servers, Seconds now);
  void set_evacuated_zones(std::set<std::string> const& zones, Seconds now);
  void set_proxy_counts(std::map<std::string, u32> const& count_by_zone);
  /// The settings that the constructor was given have other bounds now.
  void on_settings_changed();

  // ---- the choice ----
  enum class Refusal {
    no_candidate,  ///< no server may take the request
    at_capacity,   ///< those that may have no capacity left for this proxy
  };
  struct Choice {
    std::optional<ServerIndex> server;
    Refusal refusal = Refusal::no_candidate;  ///< if there is no server
    Seconds expected_latency = 0;             ///< if there is one
    Seconds usual_latency = 0;                ///< if there is one: there, while it is not busy; 0: not known
  };
  Choice choose(EndpointQuery const& query, Seconds now);

  // ---- what became of attempts ----
  void attempt_started(ServerIndex server, Seconds now);
  /// route: of the request; null: not known.
  void attempt_succeeded(ServerIndex server, Seconds latency, Seconds now, std::string const* route = nullptr);
  /// It is broken off at work, after so long, for its client has disconnected: no failure, but a response would have
  /// taken longer. attempt_abandoned() is to follow.
  void attempt_cancelled(ServerIndex server, Seconds elapsed, Seconds now, std::string const* route = nullptr);
  /// It ended and nothing is to be learned from it.
  void attempt_abandoned(ServerIndex server);
  /// Passive health check: the server gets nothing for a while, which doubles from `base` with each ejection in a row.
  void eject(ServerIndex server, Seconds base, Seconds now);
  /// The server rejected a request for lack of capacity.
  void report_at_capacity(ServerIndex server, Seconds now);
  /// The server answered that it could not handle a request.
  void report_failure(ServerIndex server, Seconds now);
  /// A connection that was idle for so long was reset unanswered: others as old are not trusted for a while.
  void report_idle_reset(ServerIndex server, Seconds idle_time, Seconds now);
  /// Another server answered at this one's address.
  void report_misdirected(ServerIndex server);
  void start_warm_up(ServerIndex server, Seconds left, Seconds now);

  // ---- what is asked of it ----
  /// For how long a connection may have been idle and still be used.
  Seconds safe_idle_time(ServerIndex server, bool is_repeatable, Seconds now) const;
  Endpoint& endpoint(ServerIndex server) { return endpoints_[server.v]; }
  Endpoint const& endpoint(ServerIndex server) const { return endpoints_[server.v]; }
  /// All slots, also those that no server uses.
  std::vector<Endpoint> const& endpoints() const { return endpoints_; }
  /// Servers that get nothing more and are not yet forgotten.
  std::vector<ServerIndex> retired_servers() const;
  std::size_t ready_servers() const;
  /// How many connections to the server this proxy may have.
  u32 connection_share(ServerIndex server) const;
  /// This proxy's part of bounds that hold for all proxies together.
  double proxy_share() const;
  double proxy_count() const { return proxy_count_; }
  RetryBudget& retry_budget(ServiceIndex service) { return services_[service.v].retry_budget; }
  Seconds mean_latency(ServiceIndex service) const { return services_[service.v].mean_latency; }
  /// What responses of the route take there; of the service, if none was seen.
  Seconds mean_latency(ServiceIndex service, std::string const& route, Seconds now) const;
  /// What others saw of a service's latency, for one who has seen nothing yet.
  void learn_latency(ServiceIndex service, Seconds latency);

 private:
  struct Service {
    explicit Service(RetryBudget budget) : retry_budget(std::move(budget)) {}
    std::vector<u32> servers;  // indices into endpoints_
    ServiceLimits limits;
    RetryBudget retry_budget;
    double mean_latency = 0.05;
    RouteLatencies route_latencies;
    // Of connections to any server of the service, for requests that are not repeatable.
    Seconds safe_idle_time = 60, idle_reset_at = 0;
  };
  RetryBounds retry_bounds() const;
  u32 insert(ServerUpdate const& update, ServiceIndex service);
  void put(ServerUpdate const& update, Seconds now);
  void forget_retired();
  void learn_endpoint_latency(Endpoint& endpoint, Seconds latency, Seconds now);
  /// How many times as long a response of the route takes as an average one of the service.
  double route_factor(Service const& service, std::string const* route, Seconds latency_target, Seconds now) const;
  void update_failure_share(Endpoint& endpoint, double failed, Seconds now);

  bool is_candidate(Endpoint const& endpoint, EndpointQuery const& query, Seconds now) const;
  bool has_near_candidate(EndpointQuery const& query, Seconds now) const;
  bool has_capacity(ServerIndex server, Proximity proximity, double proxies) const;
  bool may_warm(Endpoint const& endpoint, Proximity proximity, Seconds now) const;
  double cost(Endpoint const& endpoint, EndpointQuery const& query, Proximity proximity, double proxies, double factor,
              Seconds now) const;

  Proximity proximity_of(Endpoint const& endpoint) const;
  /// How many proxies share the server with this one, as near to it as this one.
  double proxies_sharing(Endpoint const& endpoint, Proximity proximity) const;
  /// How many proxies warm the server up: few, so that each one's part is worth something and their first requests
  /// together stay far below what it bears. 0: this one does not.
  double proxies_warming(Endpoint const& endpoint, Proximity proximity) const;
  double slow_start_rate(Endpoint const& endpoint, double proxies) const;

  Settings const& settings_;
  std::function<double()> draw_;
  std::vector<Endpoint> endpoints_;
  std::vector<u32> free_slots_;  // of endpoints_
  std::unordered_map<std::string, u32> slot_by_id_, service_indices_, zone_indices_, region_indices_;
  std::vector<Service> services_;
  std::vector<std::string> service_names_, zone_names_;
  std::set<u32> evacuated_zones_;
  std::map<u32, Seconds> returned_zones_;  // zones just taken back, until when their servers count as warming up
  std::map<u32, double> proxies_by_zone_, proxies_by_region_;
  std::map<u32, u32> region_of_zone_;
  double proxy_count_ = 0;
  LocationIndex own_zone_, own_region_;
};

}  // namespace dockbend
