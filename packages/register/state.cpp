#include "register/state.hpp"

#include <algorithm>

namespace dockbend {
namespace {
bool same(std::vector<Evac> const& a, std::vector<Evac> const& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](Evac const& x, Evac const& y) { return x.zone == y.zone && x.counter == y.counter && x.on == y.on; });
}
bool same(std::vector<Member> const& a, std::vector<Member> const& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](Member const& x, Member const& y) {
    return x.same_disk(y) && x.zone == y.zone && x.region == y.region && x.control == y.control && x.whole == y.whole;
  });
}
}  // namespace

bool State::admit(Member const& me) {
  std::size_t whole = 0, n = 1;
  for (Member const& m : roster) {
    if (m.ip == me.ip) continue;
    ++n;
    whole += m.whole ? 1 : 0;
  }
  bool const must_wait = !me.whole && whole < n / 2 + 1;
  for (Member& m : roster) {
    if (m.ip != me.ip) continue;
    if (!m.same_disk(me) && must_wait) return false;
    if (m.same_disk(me) && m.zone == me.zone && m.region == me.region && m.control == me.control && m.whole == me.whole) return false;
    m = me;
    return true;
  }
  if (must_wait) return false;
  roster.push_back(me);
  std::sort(roster.begin(), roster.end(), [](Member const& a, Member const& b) { return a.ip < b.ip; });
  return true;
}

Delta delta_of(State const& from, State const& to) {
  Delta d;
  d.base = from.bal;
  d.bal = to.bal;
  d.epoch = to.epoch;
  auto const old = from.by_key();
  for (Item const& i : to.items) {
    auto const it = old.find(i.key);
    if (it == old.end() || !(it->second == i)) d.items.push_back(i);
  }
  d.evacs_set = !same(from.evacs, to.evacs);
  if (d.evacs_set) d.evacs = to.evacs;
  d.roster_set = !same(from.roster, to.roster);
  if (d.roster_set) d.roster = to.roster;
  return d;
}

bool apply(State& st, Delta const& d) {
  if (st.bal != d.base) return false;
  for (Item const& i : d.items) {
    auto const it = std::find_if(st.items.begin(), st.items.end(), [&](Item const& x) { return x.key == i.key; });
    if (it == st.items.end())
      st.items.push_back(i);
    else
      *it = i;
  }
  if (d.evacs_set) st.evacs = d.evacs;
  if (d.roster_set) st.roster = d.roster;
  st.bal = d.bal;
  st.epoch = d.epoch;
  return true;
}
}  // namespace dockbend
