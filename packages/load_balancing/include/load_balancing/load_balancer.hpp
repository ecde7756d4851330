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

struct PoolRule {
  double conn_limit = 64, cold_rate = 0;
  Secs cold_s = 0;
};

// One server as this proxy sees it. Invariants: out <= chans; nothing is assigned
// to a server that is not ready, is misdirected, or stands in an evacuated zone.
struct Target {
  std::string id, address;
  PoolIx pool;
  PlaceIx zone, region;
  double capacity = 1;
  bool ready = false, misdirected = false;
  Secs cold_until = 0;
  ColdBucket cold;
  u32 out = 0, chans = 0, idle = 0;
  double liking = 0;   // 0..1, by rendezvous: each proxy has its own few
  double warming = 0;  // 0..1, by another draw: who warms it while it is cold
  double bad = 0;      // smoothed share of errands here that came to nothing
  Secs bad_at = 0;
  Secs idle_safe = 60;  // channels idle for longer were found reset
  Secs idle_seen = 0;
  double lat = 0;  // smoothed time of an answer, 0: none seen
  double dev = 0;  // smoothed distance of answers from it
  Secs lat_at = 0;
  u32 fails = 0;
  Secs shun_until = 0;  // passive health
  u64 uses = 0;
};

// How near a server is: what ranks a choice before its load does.
enum class Near : u8 { zone = 0, region = 1, far = 2 };

struct Wish {
  PoolIx pool;
  std::vector<PlaceIx> const* homes = nullptr;  // regions; null or empty: any
  std::vector<ServerIx> const* tried = nullptr;
  bool bulky = false;  // its body is dear to carry far
  Secs setpoint = 0.5;
};

// Under load, what would come late anyway makes way early, the lowest ranks first:
// rank 0 never, rank 1 at three times its aim, rank 2 at twice, and so on down to
// once its aim.
inline bool make_way(u32 rank, Secs expected, Secs setpoint) {
  return rank > 0 && expected > setpoint * (1.0 + 2.0 / rank);
}

class Assign {
 public:
  enum class No { none, full };
  struct Choice {
    std::optional<ServerIx> ix;
    No no = No::none;
    Secs est = 0;  // when an answer is likely, if ix
  };

  Assign(Settings const& st);

  PoolIx pool(std::string const& name);
  PlaceIx zone(std::string const& name);
  PlaceIx region(std::string const& name);
  void rule(PoolIx p, PoolRule r);

  struct Seen {
    std::string id, service, address, zone;
    double capacity = 1;
    bool ready = false;
    Secs cold_left = 0;
  };
  // The whole table, as told. Servers not in it are forgotten once idle.
  void table(std::vector<Seen> const& rows, Secs now);
  // Only what changed; a row that is not ready takes nothing more.
  void change(std::vector<Seen> const& rows, Secs now);
  void evacuated(std::set<std::string> const& zones, Secs now);
  void sites(std::map<std::string, u32> const& by_zone);

  Choice choose(Wish const& w, Secs now);
  void took(ServerIx s, Secs now);                       // an errand goes there
  void gave(ServerIx s, Secs lat, bool good, Secs now);  // it came back
  void dropped(ServerIx s);                              // it ended with nothing learned
  void shun(ServerIx s, Secs base, Secs now);            // passive health
  void full(ServerIx s, Secs now);
  void failed(ServerIx s, Secs now);  // it answered that it could not
  // A channel idle for so long was reset unanswered: others so old are not trusted.
  void idle_lost(ServerIx s, Secs idle, Secs now);
  Secs idle_safe(ServerIx s, bool repeatable, Secs now) const;
  void misdirected(ServerIx s);
  void cold(ServerIx s, Secs left, Secs now);

  Target& at(ServerIx s) { return t_[s.v]; }
  Target const& at(ServerIx s) const { return t_[s.v]; }
  u32 chan_share(ServerIx s) const;
  double part() const;  // of bounds shared by all proxies
  RetryBudget& budget(PoolIx p) { return budgets_.at(p.v); }
  std::size_t live() const;
  double lat_of(PoolIx p) const { return pool_lat_[p.v]; }
  std::vector<ServerIx> gone_idle() const;

  // What others saw of a pool's speed, for one who has seen nothing yet.
  void know_pool(PoolIx p, Secs lat) { pool_lat_[p.v] = pool_lat_[p.v] * 0.9 + lat * 0.1; }
  std::vector<Target> const& targets() const { return t_; }
  std::string const& pool_name(PoolIx p) const { return pool_names_[p.v]; }
  std::string const& zone_name(PlaceIx z) const { return zone_names_[z.v]; }
  double sites_of_all() const { return all_sites_; }

 private:
  bool put(Seen const& r, Secs now);
  void settle();
  void mark(Target& t, double x, Secs now);
  Near near(Target const& t) const;
  double sharers(Target const& t, Near n) const;
  // How many proxies warm a cold server: few, so that each one's part is worth something
  // and their first errands together stay far below what it bears. 0: not we.
  double warmers(Target const& t, Near n) const;
  Settings const& st_;
  std::vector<Target> t_;
  std::vector<u32> free_;
  std::unordered_map<std::string, u32> by_id_, pools_, zones_, regions_;
  std::vector<std::vector<u32>> members_;  // by pool
  std::vector<PoolRule> rules_;
  std::vector<RetryBudget> budgets_;
  std::vector<double> pool_lat_;
  std::vector<std::string> pool_names_, zone_names_;
  struct IdleRisk {
    Secs safe = 60, seen = 0;
  };
  std::vector<IdleRisk> idle_risk_;  // by pool, for what may not repeat
  std::set<u32> evac_;
  std::map<u32, Secs> thaw_;  // zones just taken back: their servers may be cold
  std::map<u32, double> zone_sites_, region_sites_;
  std::map<u32, u32> zone_region_;
  double all_sites_ = 0;
  PlaceIx my_zone_, my_region_;
};

}  // namespace dockbend
