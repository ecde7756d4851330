#include "planning/drain_waves.hpp"

#include <algorithm>
#include <cmath>

#include "directory/directory.hpp"

namespace dockbend {
namespace {
int const draws = 300;  // lists drawn for a zone: a share is then known to a few hundredths

std::string kind_of(FleetSnapshot const& c, std::string const& route) {
  for (RouteSnapshot const& l : c.routes)
    if (l.name == route) return l.kind;
  return "unknown";
}

struct Before {
  std::map<std::string, ProxySnapshot const*> sites;           // by front
  std::map<std::string, std::map<std::string, double>> kinds;  // front -> kind -> rate
  explicit Before(FleetSnapshot const& c) {
    for (ProxySnapshot const& s : c.sites)
      sites[s.front] = &s;
    for (TrafficSurvey const& v : c.surveys)
      for (RouteRate const& l : v.routes)
        kinds[v.front][kind_of(c, l.route)] += l.rate;
  }
};

// Shares of a zone's clients over the sites left, as the selector would send them; loads
// are as the directory would see them.
std::map<std::string, double> shares(std::vector<ProxyEntry> const& left, ProxySnapshot const& from) {
  std::map<std::string, double> m;
  std::vector<ProxyEntry const*> table;
  for (ProxyEntry const& s : left)
    if (s.ready) table.push_back(&s);
  NearestSelector const sel;
  ClientContext who;
  who.zone = from.zone;
  who.region = from.region;
  for (int i = 0; i < draws; ++i) {
    auto const l = sel.choose(table, who);
    for (ProxyEntry const* s : l)
      m[s->front] += 1.0 / static_cast<double>(l.size()) / draws;
  }
  return m;
}
}  // namespace

DrainWave moved(FleetSnapshot const& c, std::set<std::string> const& out) {
  Before const b(c);
  std::map<std::string, double> load;
  std::map<std::string, std::map<std::string, double>> kinds = b.kinds;
  std::map<std::string, std::vector<ProxySnapshot const*>> leaving;  // by zone
  std::vector<ProxyEntry> left;
  for (ProxySnapshot const& s : c.sites) {
    if (out.count(s.front) > 0) {
      leaving[s.zone].push_back(&s);
      kinds.erase(s.front);
      continue;
    }
    ProxyEntry x;
    x.front = s.front;
    x.zone = s.zone;
    x.region = s.region;
    x.ready = s.ready;
    x.load = s.load;
    left.push_back(std::move(x));
    load[s.front] = s.load;
  }
  // Clients follow in steps: the directory sees loads rise and sends the rest elsewhere.
  int const steps = 3;
  for (int k = 0; k < steps; ++k)
    for (auto const& [zone, l] : leaving) {
      auto const to = shares(left, *l.front());
      for (ProxySnapshot const* s : l)
        for (auto const& [front, part] : to) {
          load[front] += s->load * part / steps;
          if (auto const it = b.kinds.find(s->front); it != b.kinds.end())
            for (auto const& [kind, r] : it->second)
              kinds[front][kind] += r * part / steps;
        }
      for (ProxyEntry& x : left)
        x.load = load[x.front];
    }
  DrainWave w;
  w.fronts.assign(out.begin(), out.end());
  for (std::string const& f : out) {
    auto const it = b.sites.find(f);
    w.nodes.push_back(it == b.sites.end() || it->second->node.empty() ? f : it->second->node);
  }
  std::map<std::string, RegionForecast> regions;
  std::map<std::string, u32> before;
  std::map<std::pair<std::string, std::string>, KindRate> rates;
  for (ProxySnapshot const& s : c.sites) {
    RegionForecast& r = regions[s.region];
    r.region = s.region;
    r.now += s.load;
    before[s.region] += s.ready ? 1 : 0;
    if (auto const it = b.kinds.find(s.front); it != b.kinds.end())
      for (auto const& [kind, x] : it->second)
        rates[{s.region, kind}].now += x;
    if (out.count(s.front) > 0) continue;
    r.nodes += s.ready ? 1 : 0;
    r.load += load[s.front];
    if (s.ready) r.peak = std::max(r.peak, load[s.front]);
    for (auto const& [kind, x] : kinds[s.front])
      rates[{s.region, kind}].after += x;
  }
  for (auto& [g, r] : regions) {
    r.now /= std::max(1u, before[g]);
    r.load /= std::max(1u, r.nodes);
    w.regions.push_back(r);
  }
  for (auto& [k, r] : rates) {
    r.region = k.first;
    r.kind = k.second;
    w.kinds.push_back(r);
  }
  return w;
}

namespace {
bool fits(DrainWave const& w, double headroom, std::set<std::string> const& touched) {
  return std::all_of(w.regions.begin(), w.regions.end(), [&](RegionForecast const& r) {
    if (touched.count(r.region) == 0 && r.load <= r.now + 0.02) return true;  // not this wave's doing
    return r.nodes > 0 && r.load <= 1 - headroom && r.peak <= std::max(1.0, 1 - headroom / 2);
  });
}

// Which kinds find no place once the more important ones have theirs.
void lacks_of(FleetSnapshot const& c, DrainWave const& w, double headroom, std::set<std::string> const& touched,
              std::vector<CapacityShortfall>& out) {
  std::map<std::string, u32> rank;
  for (RouteSnapshot const& l : c.routes) {
    auto const [it, fresh] = rank.try_emplace(l.kind, l.rank);
    if (!fresh) it->second = std::min(it->second, l.rank);
  }
  for (RegionForecast const& r : w.regions) {
    if (touched.count(r.region) == 0 || (r.nodes > 0 && r.load <= 1 - headroom)) continue;
    std::vector<KindRate const*> kinds;
    double sum = 0;
    for (KindRate const& k : w.kinds)
      if (k.region == r.region) {
        kinds.push_back(&k);
        sum += std::max(k.now, k.after);
      }
    std::sort(kinds.begin(), kinds.end(),
              [&](KindRate const* a, KindRate const* b) { return rank[a->kind] < rank[b->kind]; });
    double const bears = r.nodes == 0 || r.load <= 0 ? 0 : sum * (1 - headroom) / r.load;
    double taken = 0;
    bool any = false;
    for (KindRate const* k : kinds) {
      double const x = std::max(k->now, k->after);
      double const over = std::min(x, taken + x - bears);
      taken += x;
      if (over <= 1e-9) continue;
      CapacityShortfall l;
      l.region = r.region;
      l.kind = k->kind;
      l.rate = over;
      l.load = r.load;
      l.wanted = 1 - headroom;
      out.push_back(std::move(l));
      any = true;
    }
    if (any) continue;
    CapacityShortfall l;
    l.region = r.region;
    l.kind = "all";
    l.load = r.load;
    l.wanted = 1 - headroom;
    out.push_back(std::move(l));
  }
}
}  // namespace

DrainWavePlan plan_waves(FleetSnapshot const& c, std::vector<std::string> const& fronts, double headroom) {
  DrainWavePlan p;
  p.takenAt = c.takenAt;
  p.headroom = headroom;
  p.silent = c.silent;
  p.partial = !c.silent.empty() || !c.settled;
  p.fits = true;
  Before const b(c);
  std::map<std::string, std::vector<ProxySnapshot const*>> todo;  // by region, the least busy first
  std::set<std::string> dark;
  for (std::string const& f : fronts) {
    auto const it = b.sites.find(f);
    if (it == b.sites.end() || !it->second->ready)
      dark.insert(f);
    else
      todo[it->second->region].push_back(it->second);
  }
  for (auto& [g, v] : todo)
    std::sort(v.begin(), v.end(), [](ProxySnapshot const* x, ProxySnapshot const* y) { return x->load < y->load; });
  bool first = true;
  while (first || std::any_of(todo.begin(), todo.end(), [](auto const& x) { return !x.second.empty(); })) {
    std::map<std::string, std::size_t> take;
    for (auto const& [g, v] : todo) {
      // A first guess from the region's sum; the play below has the last word.
      double sum = 0;
      std::size_t n = 0;
      for (ProxySnapshot const& s : c.sites)
        if (s.region == g && s.ready) {
          sum += s.load;
          ++n;
        }
      auto const needed = static_cast<std::size_t>(std::ceil(sum / std::max(0.01, 1 - headroom)));
      // Half of a region stays whatever the load: it has to bear a loss in the pass, too.
      take[g] = std::min({v.size(), n - std::min(n, std::max<std::size_t>(1, needed)), n / 2});
      if (take[g] == 0 && !v.empty()) take[g] = 1;
    }
    std::set<std::string> out, touched;
    DrainWave w;
    while (true) {
      out = first ? dark : std::set<std::string>();
      touched.clear();
      bool least = true;
      for (auto const& [g, v] : todo) {
        for (std::size_t i = 0; i < take[g]; ++i)
          out.insert(v[i]->front);
        if (take[g] > 0) touched.insert(g);
        least = least && take[g] <= 1;
      }
      w = moved(c, out);
      if (fits(w, headroom, touched)) break;
      if (least) {
        lacks_of(c, w, headroom, touched, p.lacks);
        p.fits = false;
        break;
      }
      for (auto& [g, n] : take)
        if (n > 1) n = std::min(n - 1, static_cast<std::size_t>(static_cast<double>(n) * 0.8));
    }
    if (!p.fits) break;
    if (!out.empty()) p.waves.push_back(std::move(w));
    for (auto& [g, v] : todo)
      v.erase(v.begin(), v.begin() + static_cast<long>(take[g]));
    first = false;
  }
  return p;
}

}  // namespace dockbend
