/// Random changes of a replicated value, as rounds make them.
#pragma once
#include <map>
#include <random>
#include <string>
#include <vector>

#include "support/simulated_network.hpp"

namespace dockbend::test {

using Rnd = std::mt19937;

/// One random change of a kind that rounds make.
inline void change(ReplicatedState& s, Rnd& r) {
  auto n = [&](unsigned k) { return r() % k; };
  switch (n(9)) {
    case 0:
    case 1:
      put_item("r/h/" + std::to_string(n(40)), 1 + r() % 1000, std::string(n(300), static_cast<char>('a' + n(26))))(s);
      break;
    case 2: {
      std::string const z = "z" + std::to_string(n(3));
      auto const it =
          std::find_if(s.evacuations.begin(), s.evacuations.end(), [&](Evacuation const& e) { return e.zone == z; });
      if (it == s.evacuations.end())
        s.evacuations.push_back(Evacuation{z, 1, true});
      else
        *it = Evacuation{z, it->counter + 1, !it->on};
      break;
    }
    case 3: join_member("10.0.0." + std::to_string(1 + n(5)), Incarnation(1 + n(3)))(s); break;
    case 4: {
      std::string const d = n(2) == 0 ? "usage" : "drain";
      auto const it = std::find_if(s.duties.begin(), s.duties.end(), [&](Lease const& t) { return t.duty == d; });
      if (it == s.duties.end())
        s.duties.push_back(Lease{d, "x", "10.0.0.1", 1, 1, ""});
      else if (n(4) == 0)
        ++it->fence;
      else
        ++it->counter;
      break;
    }
    case 5:
      s.to_fix = std::max<u64>(s.to_fix, 1) + 1;
      s.fixed.push_back(FrozenUsageReport{s.to_fix, "{}"});
      if (s.fixed.size() > 2) s.fixed.erase(s.fixed.begin());
      break;
    case 6: {
      DrainRun p;
      p.id = 100 - s.passes.size() + 1000 * n(9);  // not in their order
      if (s.pass(p.id) != nullptr) break;
      p.state = DrainRunState::running;
      p.had.push_back(InitialServerCount{"shop", 3});
      s.passes.push_back(p);
      for (unsigned i = 0; i < 4; ++i)
        s.units.push_back(DrainUnit{p.id, "u" + std::to_string(9 - i), "", i, DrainStage::waiting, 0});
      break;
    }
    case 7:
      if (!s.units.empty()) s.units[n(static_cast<unsigned>(s.units.size()))].stage = static_cast<DrainStage>(n(6));
      break;
    default:
      if (!s.passes.empty()) {
        u64 const id = s.passes[n(static_cast<unsigned>(s.passes.size()))].id;
        std::erase_if(s.units, [&](DrainUnit const& u) { return u.pass == id; });
        std::erase_if(s.passes, [&](DrainRun const& p) { return p.id == id; });
      }
  }
}
inline ReplicatedState founding() {
  ReplicatedState s;
  for (int i = 0; i < 3; ++i)
    s.membership.push_back(member(SimulatedNetwork::name(i), Incarnation(1)));
  return s;
}
inline AcceptRequest next_accept(Acceptor const& a, Rnd& r) {
  ReplicatedState to = *a.state();
  for (unsigned k = r() % 3; k > 0; --k)
    change(to, r);  // none: a renewal of nothing
  to.ballot = Ballot(a.promised().v + 1 + r() % 3);
  AcceptRequest q;
  q.ballot = to.ballot;
  q.incarnation = a.incarnation();
  if (r() % 12 == 0)
    q.state = codec::pack(to);
  else
    q.delta = codec::pack(delta_of(*a.state(), to));
  return q;
}
inline std::map<std::string, std::string> table(std::vector<StateRow> const& rows) {
  std::map<std::string, std::string> t;
  for (StateRow const& r : rows)
    t[r.key] = r.body;
  return t;
}

}  // namespace dockbend::test
