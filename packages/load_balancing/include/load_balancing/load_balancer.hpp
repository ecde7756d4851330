// Which server gets an errand. No I/O. Names are dense indices here.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "load_balancing/retry_budget.hpp"
#include "settings/settings.hpp"

namespace dockbend {

struct ServiceLimits {
  double conn_limit = 64, cold_rate = 0;
  Seconds cold_s = 0;
};

// One server as this proxy sees it. Invariants: out <= chans; nothing is assigned
// to a server that is not ready, is misdirected, or stands in an evacuated zone.
struct Endpoint {
  std::string id, address;
  ServiceIndex pool;
  LocationIndex zone, region;
  double capacity = 1;
  bool ready = false, misdirected = false;
  Seconds cold_until = 0;
  SlowStartLimiter cold;
  u32 out = 0, chans = 0, idle = 0;
  double liking = 0;   // 0..1, by rendezvous: each proxy has its own few
  double warming = 0;  // 0..1, by another draw: who warms it while it is cold
  double bad = 0;      // smoothed share of errands here that came to nothing
  Seconds bad_at = 0;
  Seconds idle_safe = 60;  // channels idle for longer were found reset
  Seconds idle_seen = 0;
  double lat = 0;  // smoothed time of an answer, 0: none seen
  double dev = 0;  // smoothed distance of answers from it
  Seconds lat_at = 0;
  u32 fails = 0;
  Seconds shun_until = 0;  // passive health
  u64 uses = 0;
};

// How near a server is: what ranks a choice before its load does.
enum class Proximity : u8 { zone = 0, region = 1, far = 2 };

struct EndpointQuery {
  ServiceIndex pool;
  std::vector<LocationIndex> const* homes = nullptr;  // regions; null or empty: any
  std::vector<ServerIndex> const* attempted = nullptr;
  bool bulky = false;  // its body is dear to carry far
  Seconds latency_target = 0.5;
};

// Under load, what would come late anyway makes way early, the lowest ranks first:
// rank 0 never, rank 1 at three times its aim, rank 2 at twice, and so on down to
// once its aim.
inline bool should_shed(u32 rank, Seconds expected, Seconds latency_target) {
  return rank > 0 && expected > latency_target * (1.0 + 2.0 / rank);
}

class LoadBalancer {
 public:
  enum class No { none, full };
  struct Choice {
    std::optional<ServerIndex> ix;
    No no = No::none;
    Seconds est = 0;  // when an answer is likely, if ix
  };

  LoadBalancer(Settings const& st);

  ServiceIndex pool(std::string const& name);
  LocationIndex zone(std::string const& name);
  LocationIndex region(std::string const& name);
  void rule(ServiceIndex p, ServiceLimits r);

  struct Seen {
    std::string id, service, address, zone;
    double capacity = 1;
    bool ready = false;
    Seconds cold_left = 0;
  };
  // The whole table, as told. Servers not in it are forgotten once idle.
  void table(std::vector<Seen> const& rows, Seconds now);
  // Only what changed; a row that is not ready takes nothing more.
  void change(std::vector<Seen> const& rows, Seconds now);
  void evacuated(std::set<std::string> const& zones, Seconds now);
  void sites(std::map<std::string, u32> const& by_zone);

  Choice choose(EndpointQuery const& w, Seconds now);
  void took(ServerIndex s, Seconds now);                          // an errand goes there
  void gave(ServerIndex s, Seconds lat, bool good, Seconds now);  // it came back
  void dropped(ServerIndex s);                                    // it ended with nothing learned
  void shun(ServerIndex s, Seconds base, Seconds now);            // passive health
  void full(ServerIndex s, Seconds now);
  void failed(ServerIndex s, Seconds now);  // it answered that it could not
  // A channel idle for so long was reset unanswered: others so old are not trusted.
  void idle_lost(ServerIndex s, Seconds idle, Seconds now);
  Seconds idle_safe(ServerIndex s, bool repeatable, Seconds now) const;
  void misdirected(ServerIndex s);
  void cold(ServerIndex s, Seconds left, Seconds now);

  Endpoint& at(ServerIndex s) { return t_[s.v]; }
  Endpoint const& at(ServerIndex s) const { return t_[s.v]; }
  u32 chan_share(ServerIndex s) const;
  double part() const;  // of bounds shared by all proxies
  RetryBudget& budget(ServiceIndex p) { return budgets_.at(p.v); }
  std::size_t live() const;
  double lat_of(ServiceIndex p) const { return pool_lat_[p.v]; }
  std::vector<ServerIndex> gone_idle() const;

  // What others saw of a pool's speed, for one who has seen nothing yet.
  void know_pool(ServiceIndex p, Seconds lat) { pool_lat_[p.v] = pool_lat_[p.v] * 0.9 + lat * 0.1; }
  std::vector<Endpoint> const& targets() const { return t_; }
  std::string const& pool_name(ServiceIndex p) const { return pool_names_[p.v]; }
  std::string const& zone_name(LocationIndex z) const { return zone_names_[z.v]; }
  double sites_of_all() const { return all_sites_; }

 private:
  bool put(Seen const& r, Seconds now);
  void settle();
  void mark(Endpoint& t, double x, Seconds now);
  Proximity near(Endpoint const& t) const;
  double sharers(Endpoint const& t, Proximity n) const;
  // How many proxies warm a cold server: few, so that each one's part is worth something
  // and their first errands together stay far below what it bears. 0: not we.
  double warmers(Endpoint const& t, Proximity n) const;
  Settings const& st_;
  std::vector<Endpoint> t_;
  std::vector<u32> free_;
  std::unordered_map<std::string, u32> by_id_, pools_, zones_, regions_;
  std::vector<std::vector<u32>> members_;  // by pool
  std::vector<ServiceLimits> rules_;
  std::vector<RetryBudget> budgets_;
  std::vector<double> pool_lat_;
  std::vector<std::string> pool_names_, zone_names_;
  struct IdleRisk {
    Seconds safe = 60, seen = 0;
  };
  std::vector<IdleRisk> idle_risk_;  // by pool, for what may not repeat
  std::set<u32> evac_;
  std::map<u32, Seconds> thaw_;  // zones just taken back: their servers may be cold
  std::map<u32, double> zone_sites_, region_sites_;
  std::map<u32, u32> zone_region_;
  double all_sites_ = 0;
  LocationIndex my_zone_, my_region_;
};

}  // namespace dockbend
