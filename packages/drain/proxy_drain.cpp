#include "drain/proxy_drain.hpp"

#include <algorithm>
#include <cstdio>
#include <set>

namespace dockbend {
namespace {
std::string text(char const* f, std::string const& what, double x, double y) {
  char b[200];
  std::snprintf(b, sizeof b, f, what.c_str(), x, y);
  return b;
}
bool out(DrainStage s) {
  return s == DrainStage::cordoned || s == DrainStage::draining || s == DrainStage::empty || s == DrainStage::released;
}
}  // namespace

std::map<std::string, RegionCapacity> room(std::vector<ProxyObservation> const& nodes,
                                           std::function<bool(ProxyObservation const&)> const& without) {
  std::map<std::string, RegionCapacity> m;
  for (ProxyObservation const& n : nodes) {
    RegionCapacity& r = m[n.region];
    r.region = n.region;
    if (!n.fresh) continue;
    r.load += n.load;
    r.nodes += n.ready && !without(n) ? 1 : 0;
  }
  for (auto& [k, r] : m)
    r.load = r.nodes > 0 ? r.load / r.nodes : r.load;
  return m;
}

DrainActions ProxyDrainPlanner::step(ReplicatedState const& s, std::vector<ProxyObservation> const& nodes,
                                     Seconds now) {
  DrainActions mv;
  std::map<std::string, ProxyObservation const*> by_front;
  for (ProxyObservation const& n : nodes)
    by_front[n.front] = &n;
  std::set<std::string> gone;  // out of service for any pass
  for (DrainUnit const& u : s.units)
    if (out(u.stage)) gone.insert(u.name);
  auto const serving = room(nodes, [&](ProxyObservation const& n) { return gone.count(n.front) > 0; });

  std::set<std::pair<u64, std::string>> live;
  for (DrainRun const& p : s.passes) {
    if (p.servers || is_over(p.state)) continue;
    // A node that is dark before its turn serves nobody and holds nobody up: the others go on.
    auto dark = [&](DrainUnit const& u) {
      auto const it = by_front.find(u.name);
      return u.stage == DrainStage::waiting && (it == by_front.end() || !it->second->fresh);
    };
    u32 wave = ~0u, of_all = ~0u;
    for (DrainUnit const& u : s.units) {
      if (u.pass != p.id || u.stage == DrainStage::back) continue;
      of_all = std::min(of_all, u.wave);
      if (!dark(u)) wave = std::min(wave, u.wave);
    }
    if (wave == ~0u) wave = of_all;
    std::string why, want;  // want: of room; it comes before all else
    // What runs short now, and for how long.
    std::set<std::string> real;
    for (auto const& [g, r] : serving) {
      Shortage& x = short_[g];
      if (is_short(r, p.headroom)) {
        x.last = now;
        if (x.since < 0) x.since = now;
        if (now - x.since >= p_.steady) real.insert(g);
      } else {
        x.since = -1;
      }
    }
    std::set<std::string> taking;  // begun in this very step
    for (DrainUnit const& u : s.units) {
      if (u.pass != p.id || u.wave != wave || u.stage == DrainStage::back) continue;
      auto const key = std::make_pair(p.id, u.name);
      live.insert(key);
      Mark& m = at_[key];
      if (m.since == 0 || m.stage != u.stage) m = Mark{u.stage, now, -1};
      auto const it = by_front.find(u.name);
      ProxyObservation const* n = it == by_front.end() || !it->second->fresh ? nullptr : it->second;
      std::string const& label = u.node.empty() ? u.name : u.node;
      auto go = [&](DrainStage to, u64 incarnation) {
        mv.moves.push_back(StageTransition{p.id, u.name, u.stage, to, incarnation});
      };
      // Out of sight: nothing is known of what it holds, so nothing is decided.
      if (n == nullptr) {
        m.quiet_since = -1;
        if (why.empty()) why = label + ": out of reach";
        continue;
      }
      // A real shortage takes back who can still serve.
      if (real.count(n->region) > 0 && (u.stage == DrainStage::cordoned || u.stage == DrainStage::draining)) {
        go(DrainStage::waiting, 0);
        want = text("region %s: load is %.2f, at most %.2f is wanted; who can still serve is taken back", n->region,
                    serving.at(n->region).load, 1 - p.headroom);
        continue;
      }
      switch (u.stage) {
        case DrainStage::waiting: {
          if (p.state != DrainRunState::running) break;
          auto const after = room(nodes, [&](ProxyObservation const& x) {
            return gone.count(x.front) > 0 || taking.count(x.front) > 0 || x.front == u.name;
          });
          RegionCapacity const& r = after.at(n->region);
          bool const lately = now - short_[n->region].last < p_.steady;
          if (is_short(r, p.headroom) || lately) {
            if (want.empty())
              want = r.nodes == 0 ? "region " + n->region + ": nobody would be left"
                                  : text("region %s: load would be %.2f, at most %.2f is wanted", n->region, r.load,
                                         1 - p.headroom);
            break;
          }
          taking.insert(u.name);
          go(DrainStage::cordoned, n->incarnation);
          break;
        }
        case DrainStage::cordoned:
          if (n->cordoned_for >= p_.old_lists && n->incarnation != 0 && n->told >= DrainStage::cordoned)
            go(DrainStage::draining, n->incarnation);
          break;
        case DrainStage::draining: {
          if (n->incarnation != 0 &&
              n->incarnation != u.incarnation) {  // it began anew under way: what is drained is the new life
            go(DrainStage::draining, n->incarnation);
            break;
          }
          bool const quiet = n->told == DrainStage::draining && n->keyed == 0 && n->uploads == 0;
          if (!quiet) {
            m.quiet_since = -1;
            if (now - m.since > p.patience && why.empty())
              why = text("%s: not empty, %.0f keyed and %.0f uploads are open", label, n->keyed, n->uploads);
          } else if (m.quiet_since < 0) {
            m.quiet_since = now;
          } else if (now - m.quiet_since >= p_.settle) {
            go(DrainStage::empty, u.incarnation);
          }
          break;
        }
        case DrainStage::empty:
        case DrainStage::released:
          if (n->incarnation != 0 && n->incarnation != u.incarnation && n->ready && n->current)
            go(DrainStage::back, n->incarnation);
          else if (why.empty())
            why = label +
                  (n->incarnation == u.incarnation ? ": empty, waits to be restarted" : ": restarted, not ready yet");
          break;
        case DrainStage::back: break;
      }
    }
    mv.words.push_back(DrainRunMessage{p.id, want.empty() ? why : want});
  }
  std::erase_if(at_, [&](auto const& x) { return live.count(x.first) == 0; });
  std::erase_if(mv.words,
                [&](DrainRunMessage const& w) { return s.pass(w.pass) != nullptr && s.pass(w.pass)->why == w.why; });
  return mv;
}

}  // namespace dockbend
