#include "consensus/replicated_state.hpp"

#include <algorithm>
#include <set>
#include <string_view>
#include <unordered_map>

namespace dockbend {
namespace {
bool same(std::vector<Evac> const& a, std::vector<Evac> const& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](Evac const& x, Evac const& y) {
    return x.zone == y.zone && x.counter == y.counter && x.on == y.on;
  });
}
bool same(std::vector<Member> const& a, std::vector<Member> const& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](Member const& x, Member const& y) {
    return x.same_disk(y) && x.zone == y.zone && x.region == y.region && x.control == y.control && x.whole == y.whole &&
           x.since == y.since;
  });
}
bool same(std::vector<Retired> const& a, std::vector<Retired> const& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](Retired const& x, Retired const& y) { return x.ip == y.ip && x.life == y.life; });
}
bool same(std::vector<Term> const& a, std::vector<Term> const& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](Term const& x, Term const& y) {
    return x.duty == y.duty && x.holder == y.holder && x.ip == y.ip && x.fence == y.fence && x.counter == y.counter &&
           x.next == y.next;
  });
}
bool same(std::vector<FixedWindow> const& a, std::vector<FixedWindow> const& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](FixedWindow const& x, FixedWindow const& y) {
    return x.window == y.window && x.body == y.body;
  });
}
bool same(std::vector<Had> const& a, std::vector<Had> const& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](Had const& x, Had const& y) { return x.service == y.service && x.n == y.n; });
}
bool same(std::vector<Pass> const& a, std::vector<Pass> const& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](Pass const& x, Pass const& y) {
    return x.id == y.id && x.servers == y.servers && x.state == y.state && x.headroom == y.headroom &&
           x.max_out == y.max_out && x.patience == y.patience && x.replaced == y.replaced && x.why == y.why &&
           same(x.had, y.had) && x.total == y.total && x.back == y.back && x.digest == y.digest && x.heard == y.heard &&
           x.turn == y.turn;
  });
}
std::string unit_key(Unit const& u) {
  return std::to_string(u.pass) + "/" + u.name;
}
bool same(Unit const& x, Unit const& y) {
  return x.pass == y.pass && x.name == y.name && x.node == y.node && x.wave == y.wave && x.stage == y.stage &&
         x.life == y.life;
}
// Units of passes that the value no longer names, or that are over.
void drop_orphans(State& s) {
  std::erase_if(s.units, [&](Unit const& u) {
    Pass const* p = s.pass(u.pass);
    return p == nullptr || p->state == PassState::aborted || p->state == PassState::done;
  });
}
std::vector<Term> without_renewals(std::vector<Term> v) {
  for (Term& t : v) {
    t.counter = 0;
    t.next.clear();
  }
  return v;
}
// Items stand in the order of their keys wherever a round wrote them; where they do
// not, an index finds them.
std::unordered_map<std::string_view, Item const*> index_of(std::vector<Item> const& v) {
  std::unordered_map<std::string_view, Item const*> m;
  m.reserve(v.size());
  for (Item const& i : v)
    m.emplace(i.key, &i);
  return m;
}
bool same_items(std::vector<Item> const& a, std::vector<Item> const& b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](Item const& x, Item const& y) { return x == y; });
}
}  // namespace

namespace {
template <class T>
void check(T const& x, bool with_roster) {
  auto need = [](bool ok, char const* what) {
    if (!ok) throw codec::Malformed(what);
  };
  check_ballot(x.bal);
  need(x.epoch.v <= x.bal.v && x.open <= x.bal, "a value newer than its ballot");
  std::set<std::string_view> ips;
  for (Member const& m : x.roster)
    need(!m.ip.empty() && ips.insert(m.ip).second, "a roster with a wrong address");
  need(!with_roster || !ips.empty(), "a value without a roster");
  for (Item const& i : x.items)
    need(i.key.size() > 1 && i.key[1] == '/' && std::string_view("lrsc").find(i.key[0]) != std::string_view::npos,
         "an item of no kind");
}
}  // namespace

State read_state(std::string_view bytes) {
  State s = codec::unpack<State>(bytes);
  check(s, true);
  return s;
}

void check_value(State const& s) {
  check(s, true);
}

Delta read_delta(std::string_view bytes) {
  Delta d = codec::unpack<Delta>(bytes);
  check(d, d.roster_set);
  return d;
}

bool same_view(State const& a, State const& b) {
  return a.epoch == b.epoch && a.to_fix == b.to_fix && same(a.evacs, b.evacs) && same(a.roster, b.roster) &&
         same(without_renewals(a.duties), without_renewals(b.duties)) && same_items(a.items, b.items);
}

State view_of(State const& s) {
  State v;
  v.bal = v.open = s.open;
  v.epoch = s.epoch;
  v.items = s.items;
  v.evacs = s.evacs;
  v.roster = s.roster;
  v.duties = without_renewals(s.duties);
  v.to_fix = s.to_fix;
  return v;
}

bool State::admit(Member const& me) {
  std::size_t whole = 0, n = 1;
  for (Member const& m : roster) {
    if (m.ip == me.ip) continue;
    ++n;
    whole += m.whole ? 1 : 0;
  }
  if (is_retired(me.ip, me.life)) return false;
  Member const* const was = member(me.ip);
  if (was != nullptr && was->same_disk(me)) {
    // What it says of its keys must be said of this membership, not of an earlier one.
    bool const whole_now = me.since == was->since ? me.whole : was->whole;
    if (was->zone == me.zone && was->region == me.region && was->control == me.control && was->whole == whole_now)
      return false;
    for (Member& m : roster) {
      if (m.ip != me.ip) continue;
      Epoch const since = m.since;
      m = me;
      m.since = since;
      m.whole = whole_now;
    }
    return true;
  }
  // A disk that comes in has missed what was won without it, whatever it held before.
  if (whole < n / 2 + 1) return false;
  if (was != nullptr) std::erase_if(roster, [&](Member const& m) { return m.ip == me.ip; });
  roster.push_back(me);
  roster.back().whole = false;
  roster.back().since = unnamed;
  std::sort(roster.begin(), roster.end(), [](Member const& a, Member const& b) { return a.ip < b.ip; });
  widest = std::max(widest, static_cast<u32>(roster.size()));
  return true;
}

bool State::may_shrink_to(std::size_t n) const {
  std::size_t const w = std::max<std::size_t>(widest, roster.size());
  return n > 0 && (w + 1) / 2 - 1 < n / 2 + 1;
}

bool State::dismiss(std::string const& ip, Life life) {
  Member const* const m = member(ip);
  if (m == nullptr || m->life != life) return false;
  std::size_t const n = roster.size() - 1;
  std::size_t whole = 0;
  for (Member const& x : roster)
    whole += x.whole && x.ip != ip ? 1 : 0;
  if (whole < n / 2 + 1 || !may_shrink_to(n)) return false;
  widest = std::max(widest, static_cast<u32>(roster.size()));
  std::erase_if(roster, [&](Member const& x) { return x.ip == ip; });
  return true;
}

Delta delta_of(State const& from, State const& to) {
  Delta d;
  d.base = from.bal;
  d.bal = to.bal;
  d.epoch = to.epoch;
  d.open = to.open;
  if (!same_items(from.items, to.items)) {
    auto const old = index_of(from.items);
    for (Item const& i : to.items) {
      auto const it = old.find(i.key);
      if (it == old.end() || !(*it->second == i)) d.items.push_back(i);
    }
  }
  d.duties_set = !same(from.duties, to.duties);
  if (d.duties_set) d.duties = to.duties;
  d.fixed_set = !same(from.fixed, to.fixed);
  if (d.fixed_set) d.fixed = to.fixed;
  d.to_fix = to.to_fix;
  d.evacs_set = !same(from.evacs, to.evacs);
  if (d.evacs_set) d.evacs = to.evacs;
  d.widest = to.widest;
  d.roster_set = !same(from.roster, to.roster) || !same(from.retired, to.retired);
  if (d.roster_set) {  // what belongs to the roster goes with it
    d.roster = to.roster;
    d.retired = to.retired;
  }
  d.was_set = !same(from.was, to.was);
  if (d.was_set) d.was = to.was;
  d.passes_set = !same(from.passes, to.passes);
  if (d.passes_set) d.passes = to.passes;
  if (!to.units.empty()) {  // only those that moved: a pass over many nodes costs each step its own size
    std::unordered_map<std::string, Unit const*> old;
    for (Unit const& u : from.units)
      old.emplace(unit_key(u), &u);
    for (Unit const& u : to.units)
      if (auto const it = old.find(unit_key(u)); it == old.end() || !same(*it->second, u)) d.units.push_back(u);
  }
  return d;
}

Delta joined(Delta a, Delta const& b) {
  a.bal = b.bal;
  a.epoch = b.epoch;
  a.open = b.open;
  a.to_fix = b.to_fix;
  auto over = [](auto& x, auto const& y, auto key) {
    std::map<std::string, std::size_t> at;
    for (std::size_t i = 0; i < x.size(); ++i)
      at[key(x[i])] = i;
    for (auto const& e : y) {
      if (auto const it = at.find(key(e)); it != at.end())
        x[it->second] = e;
      else
        x.push_back(e);
    }
  };
  over(a.items, b.items, [](Item const& i) { return i.key; });
  over(a.units, b.units, [](Unit const& u) { return unit_key(u); });
  auto list = [](bool& on, auto& x, bool set, auto const& y) {
    if (!set) return;
    on = true;
    x = y;
  };
  list(a.evacs_set, a.evacs, b.evacs_set, b.evacs);
  a.widest = b.widest;
  if (b.roster_set) a.retired = b.retired;
  list(a.roster_set, a.roster, b.roster_set, b.roster);
  list(a.was_set, a.was, b.was_set, b.was);
  list(a.duties_set, a.duties, b.duties_set, b.duties);
  list(a.fixed_set, a.fixed, b.fixed_set, b.fixed);
  list(a.passes_set, a.passes, b.passes_set, b.passes);
  return a;
}

bool apply(State& st, Delta const& d) {
  if (st.bal != d.base) return false;
  if (!d.items.empty()) {
    auto const by_key = [](Item const& a, Item const& b) { return a.key < b.key; };
    if (!std::is_sorted(st.items.begin(), st.items.end(), by_key)) std::sort(st.items.begin(), st.items.end(), by_key);
    std::map<std::string, Item const*> fresh;
    for (Item const& i : d.items) {
      auto const it = std::lower_bound(st.items.begin(), st.items.end(), i, by_key);
      if (it != st.items.end() && it->key == i.key)
        *it = i;
      else
        fresh[i.key] = &i;
    }
    std::size_t const n = st.items.size();
    for (auto const& [k, i] : fresh)
      st.items.push_back(*i);
    std::inplace_merge(st.items.begin(), st.items.begin() + static_cast<std::ptrdiff_t>(n), st.items.end(), by_key);
  }
  if (d.duties_set) st.duties = d.duties;
  if (d.fixed_set) st.fixed = d.fixed;
  st.to_fix = d.to_fix;
  st.widest = d.widest;
  st.open = d.open;
  if (d.evacs_set) st.evacs = d.evacs;
  if (d.roster_set) {
    st.roster = d.roster;
    st.retired = d.retired;
  }
  if (d.was_set) st.was = d.was;
  if (d.passes_set) st.passes = d.passes;
  if (!d.units.empty()) {
    std::unordered_map<std::string, std::size_t> at;
    for (std::size_t i = 0; i < st.units.size(); ++i)
      at.emplace(unit_key(st.units[i]), i);
    for (Unit const& u : d.units) {
      if (auto const it = at.find(unit_key(u)); it != at.end())
        st.units[it->second] = u;
      else
        st.units.push_back(u);
    }
  }
  drop_orphans(st);
  st.bal = d.bal;
  st.epoch = d.epoch;
  return true;
}
}  // namespace dockbend
