#include "drain/server_drain.hpp"

#include <algorithm>
#include <cstdio>
#include <set>
#include <tuple>

namespace dockbend {

bool leaves_before(ServerObservation const& a, ServerObservation const& b) {
  auto rank = [](ServerObservation const& s) {
    return std::make_tuple(!s.told, s.held.uploads > 0, s.held.bytes, s.held.age, s.held.keyed, s.held.sessions, s.id);
  };
  return rank(a) < rank(b);
}

Seconds ServerDrainPlanner::since(u64 pass, std::string const& name) const {
  auto const it = at_.find({pass, name});
  return it == at_.end() ? -1 : it->second.since;
}

std::vector<std::string> ServerDrainPlanner::interest(ReplicatedState const& s) {
  std::vector<std::string> v, wait;
  for (DrainUnit const& u : s.units)
    if (DrainRun const* p = s.pass(u.pass); p != nullptr && p->servers && u.stage != DrainStage::back)
      (u.stage == DrainStage::waiting ? wait : v).push_back(u.name);
  for (std::size_t i = 0; i < std::min(p_.window, wait.size()); ++i)
    v.push_back(wait[(cursor_ + i) % wait.size()]);
  if (!wait.empty()) cursor_ = (cursor_ + p_.window / 4) % wait.size();
  return v;
}

DrainActions ServerDrainPlanner::step(ReplicatedState const& s, std::vector<ServerObservation> const& servers,
                                      Seconds now) {
  DrainActions mv;
  std::map<std::string, ServerObservation const*> by_id;
  for (ServerObservation const& x : servers)
    by_id[x.id] = &x;
  std::set<std::string> gone;
  for (DrainUnit const& u : s.units)
    if (u.stage == DrainStage::draining || u.stage == DrainStage::empty) gone.insert(u.name);
  using Place = std::pair<std::string, std::string>;  // service, region
  std::map<Place, double> slots, used;
  std::map<std::string, u32> serving;
  for (ServerObservation const& x : servers) {
    if (!x.present) continue;
    used[{x.service, x.region}] += x.held.sessions;
    if (!x.ready || gone.count(x.id) > 0) continue;
    slots[{x.service, x.region}] += x.slots;
    ++serving[x.service];
  }
  std::set<std::pair<u64, std::string>> live;
  for (DrainRun const& p : s.passes) {
    if (!p.servers || is_over(p.state)) continue;
    std::string why;
    std::map<std::string, u32> left;  // units of a service that are out for good
    std::vector<ServerObservation const*> next;
    std::map<std::string, DrainUnit const*> unit;
    for (DrainUnit const& u : s.units) {
      if (u.pass != p.id) continue;
      if (u.stage == DrainStage::back) {
        ++left[u.node];  // the service's name
        continue;
      }
      auto const key = std::make_pair(p.id, u.name);
      live.insert(key);
      Mark& m = at_[key];
      if (m.since == 0 || m.stage != u.stage) m = Mark{u.stage, now, -1};
      auto const it = by_id.find(u.name);
      auto go = [&](DrainStage to) { mv.moves.push_back(StageTransition{p.id, u.name, u.stage, to, 0}); };
      if (it == by_id.end() || !it->second->present) {  // it left, or was lost
        go(DrainStage::back);
        continue;
      }
      ServerObservation const& x = *it->second;
      switch (u.stage) {
        case DrainStage::waiting:
          next.push_back(&x);
          unit[x.id] = &u;
          break;
        case DrainStage::draining: {
          bool const quiet = x.told && x.held.uploads == 0 && x.held.keyed == 0 && x.held.sessions == 0;
          if (!quiet) {
            m.quiet_since = -1;
            if (now - m.since > p.patience && why.empty()) {
              char b[160];
              std::snprintf(b, sizeof b, "%s: not empty, %u uploads, %u keyed, %u sessions", u.name.c_str(),
                            x.held.uploads, x.held.keyed, x.held.sessions);
              why = x.told ? b : u.name + ": not every proxy has said what it holds";
            }
          } else if (m.quiet_since < 0) {
            m.quiet_since = now;
          } else if (now - m.quiet_since >= p_.settle && now - m.since >= p_.spread) {
            go(DrainStage::empty);
          }
          break;
        }
        case DrainStage::empty:
          if (why.empty()) why = u.name + ": empty, may be ended";
          break;
        default: break;
      }
    }
    if (p.state == DrainRunState::running) {
      std::sort(next.begin(), next.end(),
                [](ServerObservation const* a, ServerObservation const* b) { return leaves_before(*a, *b); });
      std::map<std::string, u32> had;
      for (InitialServerCount const& h : p.had)
        had[h.service] = h.n;
      for (ServerObservation const* x : next) {
        u32 const of = had[x->service] - std::min(had[x->service], p.replaced ? 0 : left[x->service]);
        u32 const missing = of - std::min(of, serving[x->service]);
        if (missing >= p.max_out) {
          if (why.empty())
            why = x->service + ": " + std::to_string(missing) + " of its servers are out, no more may be";
          continue;
        }
        Place const at{x->service, x->region};
        double const keeps = slots[at] - (x->ready ? x->slots : 0);
        if (x->ready && (keeps <= 0 || used[at] > (1 - p.headroom) * keeps)) {
          if (why.empty()) {
            char b[200];
            std::snprintf(b, sizeof b, "%s in %s: %.0f of %.0f slots would be in use, headroom %.2f is wanted",
                          x->service.c_str(), x->region.c_str(), used[at], keeps, p.headroom);
            why = b;
          }
          continue;
        }
        mv.moves.push_back(StageTransition{p.id, x->id, DrainStage::waiting, DrainStage::draining, 0});
        if (x->ready) {
          slots[at] = keeps;
          --serving[x->service];
        }
      }
    }
    mv.words.push_back(DrainRunMessage{p.id, why});
  }
  std::erase_if(at_, [&](auto const& x) { return live.count(x.first) == 0; });
  std::erase_if(mv.words,
                [&](DrainRunMessage const& w) { return s.pass(w.pass) != nullptr && s.pass(w.pass)->why == w.why; });
  return mv;
}

}  // namespace dockbend
