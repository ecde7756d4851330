/// A simulation of the fleet's traffic: requests arrive at random at the rates measured, each proxy chooses servers by
/// its real load balancer, servers have slots and queues. No I/O.
#pragma once
#include <boost/heap/priority_queue.hpp>
#include <compare>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "load_balancing/load_balancer.hpp"
#include "planning/fleet_snapshot.hpp"
#include "planning/forecast_options.hpp"

namespace dockbend {

/// A key: the zone that attempts are sent to, and their route.
struct ZoneRoute {
  std::string zone, route;
  auto operator<=>(ZoneRoute const&) const = default;
};
/// A key: the servers of a service in a zone.
struct ZoneService {
  std::string zone, service;
  auto operator<=>(ZoneService const&) const = default;
};

/// What was counted after the warm-up.
struct SimulationResult {
  Seconds span = 0;                      // simulated time that counts
  std::map<ZoneRoute, double> attempts;  // sent to servers
  std::map<ZoneService, double> busy_slot_seconds;
  std::map<std::string, double> requests;          // that arrived, by route
  std::map<std::string, double> without_server;    // by route: no server may serve them
  std::map<std::string, double> without_capacity;  // by route: shed, or all servers are full
};

/// One run. Invariant: every request that arrived is in exactly one of: at a server, in a server's queue, done,
/// unserved. The snapshot, the sets and the options must outlive the simulation.
class TrafficSimulation {
 public:
  /// `gone_zones`: zones that are evacuated, on top of those that the snapshot has so; `gone_servers`: ids of servers
  /// that get nothing.
  TrafficSimulation(FleetSnapshot const& fleet, ForecastOptions const& options, std::set<std::string> const& gone_zones,
                    std::set<std::string> const& gone_servers);
  /// Runs it to its end. To be called once.
  SimulationResult run();

 private:
  struct Proxy {
    Settings settings;
    std::unique_ptr<LoadBalancer> balancer;  // refers to settings
    TrafficSurvey const* survey = nullptr;
  };
  /// A request arrives at a proxy, or is completed by a server.
  struct Event {
    Seconds at = 0;
    std::size_t proxy = 0, route = 0;  // positions in proxies_ and in the routes of its survey
    int server = -1;                   // position in the snapshot; < 0: the request arrives
    Seconds sent_at = 0, begun_at = 0;
    ServerIndex index;                                                  // of the server in the proxy's load balancer
    bool operator<(Event const& other) const { return at > other.at; }  // the earliest is first in the heap
  };
  struct Server {
    double latency = 0;
    double spread = 0.7;  // work takes latency * (1 ± spread)
    u32 busy_slots = 0;
    std::deque<Event> queue;
  };

  void set_duration();
  void set_latencies();
  Settings make_settings(TrafficSurvey const& survey) const;
  void add_proxy(TrafficSurvey const& survey);
  void fill_balancer(LoadBalancer& balancer) const;
  void schedule_arrival(std::size_t proxy, std::size_t route, Seconds now);
  void on_arrival(Event event);
  void begin_work(Server& server, Event event, Seconds now);
  void on_completion(Event const& event);
  double random_share();  // 0 to below 1

  FleetSnapshot const& fleet_;
  ForecastOptions const& options_;
  std::set<std::string> const& gone_zones_;
  std::set<std::string> const& gone_servers_;
  u64 random_state_;
  Seconds end_ = 0, warm_up_end_ = 0;
  std::map<std::string, std::size_t> server_positions_;  // by id
  std::vector<Server> servers_;                          // as in the snapshot
  std::vector<std::unique_ptr<Proxy>> proxies_;
  boost::heap::priority_queue<Event> events_;
  SimulationResult result_;
};

}  // namespace dockbend
