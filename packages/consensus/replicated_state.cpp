#include "consensus/replicated_state.hpp"

#include <algorithm>
#include <set>
#include <string_view>
#include <unordered_map>

namespace dockbend {
namespace {
bool same(std::vector<Evacuation> const& a, std::vector<Evacuation> const& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](Evacuation const& x, Evacuation const& y) {
    return x.zone == y.zone && x.counter == y.counter && x.on == y.on;
  });
}
bool same(std::vector<Member> const& a, std::vector<Member> const& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](Member const& x, Member const& y) {
    return x.same_disk(y) && x.zone == y.zone && x.region == y.region && x.control == y.control && x.whole == y.whole &&
           x.since == y.since;
  });
}
bool same(std::vector<RetiredMember> const& a, std::vector<RetiredMember> const& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](RetiredMember const& x, RetiredMember const& y) {
    return x.ip == y.ip && x.incarnation == y.incarnation;
  });
}
bool same(std::vector<Lease> const& a, std::vector<Lease> const& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](Lease const& x, Lease const& y) {
    return x.duty == y.duty && x.holder == y.holder && x.ip == y.ip && x.fence == y.fence && x.counter == y.counter &&
           x.next == y.next;
  });
}
bool same(std::vector<FrozenUsageReport> const& a, std::vector<FrozenUsageReport> const& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](FrozenUsageReport const& x, FrozenUsageReport const& y) {
    return x.window == y.window && x.body == y.body;
  });
}
bool same(std::vector<InitialServerCount> const& a, std::vector<InitialServerCount> const& b) {
  return std::equal(
      a.begin(), a.end(), b.begin(), b.end(),
      [](InitialServerCount const& x, InitialServerCount const& y) { return x.service == y.service && x.n == y.n; });
}
bool same(std::vector<DrainRun> const& a, std::vector<DrainRun> const& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](DrainRun const& x, DrainRun const& y) {
    return x.id == y.id && x.servers == y.servers && x.state == y.state && x.headroom == y.headroom &&
           x.max_out == y.max_out && x.patience == y.patience && x.replaced == y.replaced && x.why == y.why &&
           same(x.had, y.had) && x.total == y.total && x.back == y.back && x.digest == y.digest && x.heard == y.heard &&
           x.turn == y.turn;
  });
}
std::string unit_key(DrainUnit const& u) {
  return std::to_string(u.pass) + "/" + u.name;
}
bool same(DrainUnit const& x, DrainUnit const& y) {
  return x.pass == y.pass && x.name == y.name && x.node == y.node && x.wave == y.wave && x.stage == y.stage &&
         x.incarnation == y.incarnation;
}
// Units of passes that the value no longer names, or that are over.
void drop_orphans(ReplicatedState& s) {
  std::erase_if(s.units, [&](DrainUnit const& u) {
    DrainRun const* p = s.pass(u.pass);
    return p == nullptr || p->state == DrainRunState::aborted || p->state == DrainRunState::done;
  });
}
std::vector<Lease> without_renewals(std::vector<Lease> v) {
  for (Lease& t : v) {
    t.counter = 0;
    t.next.clear();
  }
  return v;
}
// Items stand in the order of their keys wherever a round wrote them; where they do
// not, an index finds them.
std::unordered_map<std::string_view, ConfigItem const*> index_of(std::vector<ConfigItem> const& v) {
  std::unordered_map<std::string_view, ConfigItem const*> m;
  m.reserve(v.size());
  for (ConfigItem const& i : v)
    m.emplace(i.key, &i);
  return m;
}
bool same_items(std::vector<ConfigItem> const& a, std::vector<ConfigItem> const& b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](ConfigItem const& x, ConfigItem const& y) { return x == y; });
}
}  // namespace

namespace {
template <class T>
void check(T const& x, bool with_roster) {
  auto need = [](bool ok, char const* what) {
    if (!ok) throw codec::MalformedMessage(what);
  };
  check_ballot(x.ballot);
  need(x.epoch.v <= x.ballot.v && x.open <= x.ballot, "a value newer than its ballot");
  std::set<std::string_view> ips;
  for (Member const& m : x.membership)
    need(!m.ip.empty() && ips.insert(m.ip).second, "a roster with a wrong address");
  need(!with_roster || !ips.empty(), "a value without a roster");
  for (ConfigItem const& i : x.items)
    need(i.key.size() > 1 && i.key[1] == '/' && std::string_view("lrsc").find(i.key[0]) != std::string_view::npos,
         "an item of no kind");
}
}  // namespace

ReplicatedState read_state(std::string_view bytes) {
  ReplicatedState s = codec::unpack<ReplicatedState>(bytes);
  check(s, true);
  return s;
}

void check_value(ReplicatedState const& s) {
  check(s, true);
}

StateDelta read_delta(std::string_view bytes) {
  StateDelta d = codec::unpack<StateDelta>(bytes);
  check(d, d.membership_set);
  return d;
}

bool same_view(ReplicatedState const& a, ReplicatedState const& b) {
  return a.epoch == b.epoch && a.to_fix == b.to_fix && same(a.evacuations, b.evacuations) &&
         same(a.membership, b.membership) && same(without_renewals(a.duties), without_renewals(b.duties)) &&
         same_items(a.items, b.items);
}

ReplicatedState view_of(ReplicatedState const& s) {
  ReplicatedState v;
  v.ballot = v.open = s.open;
  v.epoch = s.epoch;
  v.items = s.items;
  v.evacuations = s.evacuations;
  v.membership = s.membership;
  v.duties = without_renewals(s.duties);
  v.to_fix = s.to_fix;
  return v;
}

bool ReplicatedState::admit(Member const& me) {
  std::size_t whole = 0, n = 1;
  for (Member const& m : membership) {
    if (m.ip == me.ip) continue;
    ++n;
    whole += m.whole ? 1 : 0;
  }
  if (is_retired(me.ip, me.incarnation)) return false;
  Member const* const previous_membership = member(me.ip);
  if (previous_membership != nullptr && previous_membership->same_disk(me)) {
    // What it says of its keys must be said of this membership, not of an earlier one.
    bool const whole_now = me.since == previous_membership->since ? me.whole : previous_membership->whole;
    if (previous_membership->zone == me.zone && previous_membership->region == me.region &&
        previous_membership->control == me.control && previous_membership->whole == whole_now)
      return false;
    for (Member& m : membership) {
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
  if (previous_membership != nullptr) std::erase_if(membership, [&](Member const& m) { return m.ip == me.ip; });
  membership.push_back(me);
  membership.back().whole = false;
  membership.back().since = kUnassignedEpoch;
  std::sort(membership.begin(), membership.end(), [](Member const& a, Member const& b) { return a.ip < b.ip; });
  largest_membership = std::max(largest_membership, static_cast<u32>(membership.size()));
  return true;
}

bool ReplicatedState::may_shrink_to(std::size_t n) const {
  std::size_t const w = std::max<std::size_t>(largest_membership, membership.size());
  return n > 0 && (w + 1) / 2 - 1 < n / 2 + 1;
}

bool ReplicatedState::dismiss(std::string const& ip, Incarnation incarnation) {
  Member const* const m = member(ip);
  if (m == nullptr || m->incarnation != incarnation) return false;
  std::size_t const n = membership.size() - 1;
  std::size_t whole = 0;
  for (Member const& x : membership)
    whole += x.whole && x.ip != ip ? 1 : 0;
  if (whole < n / 2 + 1 || !may_shrink_to(n)) return false;
  largest_membership = std::max(largest_membership, static_cast<u32>(membership.size()));
  std::erase_if(membership, [&](Member const& x) { return x.ip == ip; });
  return true;
}

StateDelta delta_of(ReplicatedState const& from, ReplicatedState const& to) {
  StateDelta d;
  d.base = from.ballot;
  d.ballot = to.ballot;
  d.epoch = to.epoch;
  d.open = to.open;
  if (!same_items(from.items, to.items)) {
    auto const old = index_of(from.items);
    for (ConfigItem const& i : to.items) {
      auto const it = old.find(i.key);
      if (it == old.end() || !(*it->second == i)) d.items.push_back(i);
    }
  }
  d.duties_set = !same(from.duties, to.duties);
  if (d.duties_set) d.duties = to.duties;
  d.fixed_set = !same(from.fixed, to.fixed);
  if (d.fixed_set) d.fixed = to.fixed;
  d.to_fix = to.to_fix;
  d.evacuations_set = !same(from.evacuations, to.evacuations);
  if (d.evacuations_set) d.evacuations = to.evacuations;
  d.largest_membership = to.largest_membership;
  d.membership_set = !same(from.membership, to.membership) || !same(from.retired, to.retired);
  if (d.membership_set) {  // what belongs to the roster goes with it
    d.membership = to.membership;
    d.retired = to.retired;
  }
  d.previous_membership_set = !same(from.previous_membership, to.previous_membership);
  if (d.previous_membership_set) d.previous_membership = to.previous_membership;
  d.passes_set = !same(from.passes, to.passes);
  if (d.passes_set) d.passes = to.passes;
  if (!to.units.empty()) {  // only those that moved: a pass over many nodes costs each step its own size
    std::unordered_map<std::string, DrainUnit const*> old;
    for (DrainUnit const& u : from.units)
      old.emplace(unit_key(u), &u);
    for (DrainUnit const& u : to.units)
      if (auto const it = old.find(unit_key(u)); it == old.end() || !same(*it->second, u)) d.units.push_back(u);
  }
  return d;
}

StateDelta joined(StateDelta a, StateDelta const& b) {
  a.ballot = b.ballot;
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
  over(a.items, b.items, [](ConfigItem const& i) { return i.key; });
  over(a.units, b.units, [](DrainUnit const& u) { return unit_key(u); });
  auto list = [](bool& on, auto& x, bool set, auto const& y) {
    if (!set) return;
    on = true;
    x = y;
  };
  list(a.evacuations_set, a.evacuations, b.evacuations_set, b.evacuations);
  a.largest_membership = b.largest_membership;
  if (b.membership_set) a.retired = b.retired;
  list(a.membership_set, a.membership, b.membership_set, b.membership);
  list(a.previous_membership_set, a.previous_membership, b.previous_membership_set, b.previous_membership);
  list(a.duties_set, a.duties, b.duties_set, b.duties);
  list(a.fixed_set, a.fixed, b.fixed_set, b.fixed);
  list(a.passes_set, a.passes, b.passes_set, b.passes);
  return a;
}

bool apply(ReplicatedState& st, StateDelta const& d) {
  if (st.ballot != d.base) return false;
  if (!d.items.empty()) {
    auto const by_key = [](ConfigItem const& a, ConfigItem const& b) { return a.key < b.key; };
    if (!std::is_sorted(st.items.begin(), st.items.end(), by_key)) std::sort(st.items.begin(), st.items.end(), by_key);
    std::map<std::string, ConfigItem const*> fresh;
    for (ConfigItem const& i : d.items) {
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
  st.largest_membership = d.largest_membership;
  st.open = d.open;
  if (d.evacuations_set) st.evacuations = d.evacuations;
  if (d.membership_set) {
    st.membership = d.membership;
    st.retired = d.retired;
  }
  if (d.previous_membership_set) st.previous_membership = d.previous_membership;
  if (d.passes_set) st.passes = d.passes;
  if (!d.units.empty()) {
    std::unordered_map<std::string, std::size_t> at;
    for (std::size_t i = 0; i < st.units.size(); ++i)
      at.emplace(unit_key(st.units[i]), i);
    for (DrainUnit const& u : d.units) {
      if (auto const it = at.find(unit_key(u)); it != at.end())
        st.units[it->second] = u;
      else
        st.units.push_back(u);
    }
  }
  drop_orphans(st);
  st.ballot = d.ballot;
  st.epoch = d.epoch;
  return true;
}
}  // namespace dockbend
