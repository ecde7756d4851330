#include "load_balancing/load_balancer.hpp"

#include <cmath>

namespace dockbend {
namespace {
u32 index_of(std::unordered_map<std::string, u32>& m, std::string const& k) {
  return m.try_emplace(k, static_cast<u32>(m.size())).first->second;
}
double const start_lat = 0.05;
}  // namespace

LoadBalancer::LoadBalancer(Settings const& st) : st_(st) {
  my_zone_ = zone(st.zone);
  my_region_ = region(st.region);
  for (auto const& [z, r] : st.zones)
    zone_region_[zone(z).v] = region(r).v;
}

ServiceIndex LoadBalancer::pool(std::string const& name) {
  u32 const i = index_of(pools_, name);
  while (members_.size() <= i) {
    members_.emplace_back();
    rules_.emplace_back();
    pool_lat_.push_back(start_lat);
    pool_names_.push_back(name);
    idle_risk_.emplace_back();
    // A tenth is kept back: views and clocks of the proxies differ a little.
    budgets_.emplace_back(st_.bounds.retryWindowS, st_.bounds.retryRatio * 0.8, st_.bounds.retrySlack * 0.7);
  }
  return ServiceIndex(i);
}
LocationIndex LoadBalancer::zone(std::string const& name) {
  u32 const i = index_of(zones_, name);
  if (zone_names_.size() <= i) zone_names_.resize(i + 1, name);
  return LocationIndex(i);
}
LocationIndex LoadBalancer::region(std::string const& name) {
  return LocationIndex(index_of(regions_, name));
}
void LoadBalancer::rule(ServiceIndex p, ServiceLimits r) {
  rules_[p.v] = r;
}

bool LoadBalancer::put(Seen const& r, Seconds now) {
  ServiceIndex const p = pool(r.service);
  auto const it = by_id_.find(r.id);
  u32 i = 0;
  if (it == by_id_.end()) {
    if (!r.ready) return false;
    if (!free_.empty()) {
      i = free_.back();
      free_.pop_back();
    } else {
      i = static_cast<u32>(t_.size());
      t_.emplace_back();
    }
    u64 const uses = t_[i].uses;
    t_[i] = Endpoint{};
    t_[i].uses = uses + 1;
    t_[i].id = r.id;
    t_[i].pool = p;
    t_[i].zone = zone(r.zone);
    t_[i].region = region(st_.region_of(r.zone));
    t_[i].liking = static_cast<double>(hash64(r.id + "|" + st_.nodeName) >> 11) / 9007199254740992.0;
    t_[i].warming = static_cast<double>(hash64("warm|" + r.id + "|" + st_.nodeName) >> 11) / 9007199254740992.0;
    by_id_[r.id] = i;
    members_[p.v].push_back(i);
  } else {
    i = it->second;
  }
  Endpoint& t = t_[i];
  t.address = r.address;
  t.capacity = std::max(1.0, r.capacity);
  t.ready = r.ready;
  if (r.cold_left > 0) cold(ServerIndex(i), r.cold_left, now);
  return true;
}

void LoadBalancer::settle() {
  for (auto it = by_id_.begin(); it != by_id_.end();) {
    Endpoint& t = t_[it->second];
    if (!t.ready && t.out == 0 && t.chans == 0) {
      auto& m = members_[t.pool.v];
      m.erase(std::remove(m.begin(), m.end(), it->second), m.end());
      free_.push_back(it->second);
      it = by_id_.erase(it);
    } else {
      ++it;
    }
  }
}

void LoadBalancer::table(std::vector<Seen> const& rows, Seconds now) {
  std::set<std::string_view> seen;
  for (Seen const& r : rows) {
    put(r, now);
    seen.insert(r.id);
  }
  for (auto& [id, i] : by_id_)
    if (seen.count(id) == 0) t_[i].ready = false;
  settle();
}

void LoadBalancer::change(std::vector<Seen> const& rows, Seconds now) {
  for (Seen const& r : rows)
    put(r, now);
  settle();
}

std::vector<ServerIndex> LoadBalancer::gone_idle() const {
  std::vector<ServerIndex> out;
  for (auto const& [id, i] : by_id_)
    if (!t_[i].ready) out.push_back(ServerIndex(i));
  return out;
}

void LoadBalancer::evacuated(std::set<std::string> const& zones, Seconds now) {
  std::set<u32> next;
  for (auto const& z : zones)
    next.insert(zone(z).v);
  for (u32 const z : evac_)
    // Servers of a zone taken back may have turned cold a moment ago: until
    // their beats have had time to say so, they count as cold.
    if (next.count(z) == 0) thaw_[z] = now + 2 * st_.beatPeriodS + 0.5;
  evac_ = std::move(next);
  for (u32 i = 0; i < t_.size(); ++i) {
    auto const it = thaw_.find(t_[i].zone.v);
    if (it != thaw_.end() && t_[i].ready && it->second > now && evac_.count(t_[i].zone.v) == 0)
      cold(ServerIndex(i), it->second - now, now);
  }
  for (auto it = thaw_.begin(); it != thaw_.end();)
    it = it->second <= now ? thaw_.erase(it) : std::next(it);
}

void LoadBalancer::sites(std::map<std::string, u32> const& by_zone) {
  zone_sites_.clear();
  region_sites_.clear();
  all_sites_ = 0;
  for (auto const& [z, n] : by_zone) {
    u32 const zi = zone(z).v;
    zone_sites_[zi] += n;
    region_sites_[zone_region_[zi]] += n;
    all_sites_ += n;
  }
}

double LoadBalancer::part() const {
  return 1.0 / std::max(all_sites_ * 1.25, 4.0);
}

Proximity LoadBalancer::near(Endpoint const& t) const {
  if (t.zone == my_zone_) return Proximity::zone;
  return t.region == my_region_ ? Proximity::region : Proximity::far;
}

double LoadBalancer::sharers(Endpoint const& t, Proximity n) const {
  auto get = [](std::map<u32, double> const& m, u32 k) {
    auto const it = m.find(k);
    return it == m.end() ? 0.0 : it->second;
  };
  if (n == Proximity::zone) return std::max(1.0, get(zone_sites_, t.zone.v));
  if (n == Proximity::region) return std::max(1.0, get(region_sites_, t.region.v));
  return std::max(1.0, all_sites_);
}

u32 LoadBalancer::chan_share(ServerIndex s) const {
  Endpoint const& t = t_[s.v];
  double const n = std::max(all_sites_ * 1.1, 4.0);
  return std::max<u32>(1, static_cast<u32>(rules_[t.pool.v].conn_limit * 0.9 / n));
}

// The rate of a cold server is kept by the proxies of its own zone; where there
// are none, by those of its region; of many, by the few that a draw names. Part of it
// is given out: a proxy that holds an older view of the others then still keeps the sum
// below the bound.
namespace {
double const cold_part = 0.6;
double const liking_weight = 0.08, fresh_weight = 0.05;
double const most_warmers = 3;
}  // namespace

double LoadBalancer::warmers(Endpoint const& t, Proximity n) const {
  double const ns = sharers(t, n);
  if (ns <= most_warmers) return ns;
  return t.warming < most_warmers / ns ? most_warmers : 0;
}

namespace {
bool at_home(EndpointQuery const& w, Endpoint const& t) {
  return w.homes == nullptr || w.homes->empty() ||
         std::find(w.homes->begin(), w.homes->end(), t.region) != w.homes->end();
}
}  // namespace

LoadBalancer::Choice LoadBalancer::choose(EndpointQuery const& w, Seconds now) {
  Choice out;
  double best = 0;
  ServiceLimits const& rule = rules_[w.pool.v];
  double const pool_lat = std::max(pool_lat_[w.pool.v], 0.002);
  bool any = false, any_region = false;
  for (u32 const i : members_[w.pool.v]) {
    Endpoint const& t = t_[i];
    if (t.ready && !t.misdirected && near(t) != Proximity::far && evac_.count(t.zone.v) == 0 && t.shun_until <= now &&
        at_home(w, t))
      any_region = true;
  }
  for (u32 const i : members_[w.pool.v]) {
    Endpoint& t = t_[i];
    if (!t.ready || t.misdirected || evac_.count(t.zone.v) > 0) continue;
    if (!at_home(w, t)) continue;
    if (w.attempted != nullptr &&
        std::find(w.attempted->begin(), w.attempted->end(), ServerIndex(i)) != w.attempted->end())
      continue;
    if (t.shun_until > now) continue;
    any = true;
    Proximity const n = near(t);
    if (n == Proximity::far && w.bulky && any_region) continue;
    double const ns = sharers(t, n);
    double const reach = n == Proximity::zone ? 2.0 : n == Proximity::region ? 1.0 : 0.6;
    double const hard = std::max(n == Proximity::zone ? 2.0 : 1.0, std::ceil(t.capacity * reach / ns));
    if (t.out >= hard || t.out >= chan_share(ServerIndex(i))) continue;
    if (t.cold_until > now) {
      auto const zs = zone_sites_.find(t.zone.v);
      bool const zone_has = zs != zone_sites_.end() && zs->second > 0;
      if (n == Proximity::far || (n == Proximity::region && zone_has)) continue;
      double const wn = warmers(t, n);
      if (rule.cold_rate > 0 && (wn == 0 || !t.cold.has(now, rule.cold_rate * cold_part / wn, 1.0))) continue;
    }
    // The time an answer is likely to take: what was seen, stretched by our own
    // share of its slots in use. What was seen long ago fades to the pool's mean.
    double lat = t.lat > 0 ? t.lat : pool_lat;
    double const fade = std::exp(-(now - t.lat_at) / 10.0);
    lat = pool_lat + (lat - pool_lat) * (t.lat > 0 ? fade : 0.0);
    double const own = t.capacity / ns;
    double est = lat * std::max(1.0, (t.out + 1.0) / std::max(own, 0.5)) + lat * 0.15 * t.out;
    // What came to nothing there lately weighs more than what its health says.
    if (t.bad > 0.01) est *= 1.0 + 4.0 * t.bad * std::exp(-(now - t.bad_at) / 8.0);
    // Among equals each proxy keeps to its own few servers, and to those it has a
    // channel to: channels then grow with the traffic, not with proxies x servers.
    est *= 1.0 + liking_weight * t.liking + (t.idle == 0 ? fresh_weight : 0.0);
    if (n == Proximity::region) est = est * 1.25 + 0.05 * w.latency_target;
    if (n == Proximity::far) est = est * 1.25 + 0.4 * w.latency_target;
    est *= 0.97 + 0.06 * random01();
    if (!out.ix || est < best) {
      best = est;
      out.ix = ServerIndex(i);
      out.est = est;
    }
  }
  if (!out.ix) out.no = any ? No::full : No::none;
  return out;
}

void LoadBalancer::took(ServerIndex s, Seconds now) {
  Endpoint& t = t_[s.v];
  ++t.out;
  if (t.cold_until > now) {
    double const wn = warmers(t, near(t));
    double const r = rules_[t.pool.v].cold_rate;
    if (r > 0 && wn > 0) t.cold.take(now, r * cold_part / wn, 1.0);
  }
}

void LoadBalancer::gave(ServerIndex s, Seconds lat, bool good, Seconds now) {
  Endpoint& t = t_[s.v];
  if (t.out > 0) --t.out;
  if (!good) return;
  t.fails = 0;
  mark(t, 0, now);
  if (t.lat > 0) t.dev = t.dev * 0.88 + std::abs(lat - t.lat) * 0.12;
  t.lat = t.lat > 0 ? t.lat * 0.88 + lat * 0.12 : 0.5 * pool_lat_[t.pool.v] + 0.5 * lat;
  t.lat_at = now;
  double& p = pool_lat_[t.pool.v];
  p = p * 0.99 + lat * 0.01;
}

void LoadBalancer::dropped(ServerIndex s) {
  Endpoint& t = t_[s.v];
  if (t.out > 0) --t.out;
}

void LoadBalancer::shun(ServerIndex s, Seconds base, Seconds now) {
  Endpoint& t = t_[s.v];
  mark(t, 1, now);
  if (t.shun_until > now) return;
  t.fails = std::min<u32>(t.fails + 1, 5);
  t.shun_until = now + base * std::pow(2.0, t.fails - 1) * (0.8 + 0.4 * random01());
}

void LoadBalancer::mark(Endpoint& t, double x, Seconds now) {
  double const old = t.bad * std::exp(-(now - t.bad_at) / 8.0);
  t.bad = old + 0.2 * (x - old);
  t.bad_at = now;
}
void LoadBalancer::failed(ServerIndex s, Seconds now) {
  mark(t_[s.v], 1, now);
}

void LoadBalancer::idle_lost(ServerIndex s, Seconds idle, Seconds now) {
  Endpoint& t = t_[s.v];
  Seconds const was = idle_safe(s, true, now);
  t.idle_safe = std::max(0.02, std::min(was, 0.7 * idle));
  t.idle_seen = now;
  IdleRisk& r = idle_risk_[t.pool.v];
  r.safe = std::max(0.02, std::min(now - r.seen < 15 ? r.safe : 60.0, 0.7 * idle));
  r.seen = now;
}
// What was learned is forgotten after a while, or it would never be tried again.
Seconds LoadBalancer::idle_safe(ServerIndex s, bool repeatable, Seconds now) const {
  Endpoint const& t = t_[s.v];
  Seconds const own = now - t.idle_seen < 15 ? t.idle_safe : 60.0;
  if (repeatable) return own;
  IdleRisk const& r = idle_risk_[t.pool.v];
  return std::min(own, now - r.seen < 15 ? r.safe : 60.0);
}

void LoadBalancer::full(ServerIndex s, Seconds now) {
  mark(t_[s.v], 1, now);
  t_[s.v].shun_until = std::max(t_[s.v].shun_until, now + 0.05 + 0.1 * random01());
}
void LoadBalancer::misdirected(ServerIndex s) {
  t_[s.v].misdirected = true;
}

void LoadBalancer::cold(ServerIndex s, Seconds left, Seconds now) {
  Endpoint& t = t_[s.v];
  if (t.cold_until <= now) t.cold.start(now);
  t.cold_until = std::max(t.cold_until, now + left);
}

std::size_t LoadBalancer::live() const {
  std::size_t n = 0;
  for (auto const& [id, i] : by_id_)
    n += t_[i].ready ? 1 : 0;
  return n;
}

}  // namespace dockbend
