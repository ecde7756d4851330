#include "consensus/state_rows.hpp"

#include <algorithm>
#include <cstdio>
#include <cstring>

namespace dockbend {
namespace {
// A row whose place in its list is kept beside it.
struct Placed {
  DB_RECORD(Placed, (u32, at), (std::string, body));
};
struct Count {
  DB_RECORD(Count, (u64, n));
};

u64 hash_of(StateRow const& r) {
  return hash64(r.body, hash64(r.key));
}
std::string digits(u64 n) {
  char b[24];
  std::snprintf(b, sizeof b, "%020llu", static_cast<unsigned long long>(n));
  return b;
}
template <class T>
StateRow placed(std::string key, T const& x, std::size_t at) {
  Placed p;
  p.at = static_cast<u32>(at);
  p.body = codec::pack(x);
  return StateRow{std::move(key), codec::pack(p), false};
}

// How each kind of row is made. Keys begin with the kind.
struct ItemRows {
  static std::string key(ConfigItem const& i) { return "i/" + i.key; }
  static StateRow row(ConfigItem const& i, std::size_t) {
    ConfigItem x = i;
    x.key.clear();
    return {key(i), codec::pack(x), false};
  }
};
struct EvacRows {
  static std::string key(Evacuation const& e) { return "e/" + e.zone; }
  static StateRow row(Evacuation const& e, std::size_t at) { return placed(key(e), e, at); }
};
struct MemberRows {
  static std::string key(Member const& m) { return "m/" + m.ip; }
  static StateRow row(Member const& m, std::size_t at) { return placed(key(m), m, at); }
};
struct WasRows {  // the roster that a step left, while it counts
  static std::string key(Member const& m) { return "w/" + m.ip; }
  static StateRow row(Member const& m, std::size_t at) { return placed(key(m), m, at); }
};
struct RetiredRows {
  static std::string key(RetiredMember const& r) { return "r/" + r.ip + "/" + digits(r.incarnation.v); }
  static StateRow row(RetiredMember const& r, std::size_t at) { return placed(key(r), r, at); }
};
struct TermRows {
  static std::string key(Lease const& t) { return "t/" + t.duty; }
  static StateRow row(Lease const& t, std::size_t at) {
    Lease x = t;
    x.counter = 0;
    return placed(key(t), x, at);
  }
};
struct CounterRows {  // what a renewal moves
  static std::string key(Lease const& t) { return "n/" + t.duty; }
  static StateRow row(Lease const& t, std::size_t) { return {key(t), codec::pack(Count{t.counter}), false}; }
};
struct FixedRows {
  static std::string key(FrozenUsageReport const& f) { return "f/" + digits(f.window); }
  static StateRow row(FrozenUsageReport const& f, std::size_t) { return {key(f), codec::pack(f), false}; }
};
struct PassRows {
  static std::string key(DrainRun const& p) { return "p/" + digits(p.id); }
  static StateRow row(DrainRun const& p, std::size_t at) {
    DrainRun x = p;
    x.had.clear();
    return placed(key(p), x, at);
  }
};
struct HadRows {  // as long as the services are many, and never moved
  static std::string key(DrainRun const& p) { return "h/" + digits(p.id); }
  static StateRow row(DrainRun const& p, std::size_t) {
    DrainRun x;
    x.had = p.had;
    return {key(p), codec::pack(x), false};
  }
};
struct UnitRows {
  static std::string key(DrainUnit const& u) { return unit_row(u); }
  static StateRow row(DrainUnit const& u, std::size_t at) { return placed(key(u), u, at); }
};

void put(RowDiff& d, StateRow r, StateRow const* previous_membership) {
  if (previous_membership != nullptr) d.sum.drop(*previous_membership);
  d.sum.add(r);
  d.rows.push_back(std::move(r));
}
void drop(RowDiff& d, StateRow const& previous_membership) {
  d.sum.drop(previous_membership);
  d.rows.push_back(StateRow{previous_membership.key, "", true});
}

template <class R, class T>
void between(std::vector<T> const& a, std::vector<T> const& b, RowDiff& d) {
  bool const aligned = a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](T const& x, T const& y) {
                         return R::key(x) == R::key(y);
                       });
  if (aligned) {
    for (std::size_t i = 0; i < a.size(); ++i) {
      StateRow const previous_membership = R::row(a[i], i);
      StateRow now = R::row(b[i], i);
      if (previous_membership.body != now.body) put(d, std::move(now), &previous_membership);
    }
    return;
  }
  std::map<std::string, StateRow> old;
  for (std::size_t i = 0; i < a.size(); ++i)
    old[R::key(a[i])] = R::row(a[i], i);
  for (std::size_t i = 0; i < b.size(); ++i) {
    StateRow now = R::row(b[i], i);
    auto const it = old.find(now.key);
    bool const same = it != old.end() && it->second.body == now.body;
    if (!same) put(d, std::move(now), it == old.end() ? nullptr : &it->second);
    if (it != old.end()) old.erase(it);
  }
  for (auto const& [k, r] : old)
    drop(d, r);
}

bool by_key(ConfigItem const& a, ConfigItem const& b) {
  return a.key < b.key;
}

void items_between(std::vector<ConfigItem> const& a, std::vector<ConfigItem> const& b, RowDiff& d) {
  if (!std::is_sorted(a.begin(), a.end(), by_key) || !std::is_sorted(b.begin(), b.end(), by_key))
    return between<ItemRows>(a, b, d);
  auto x = a.begin();
  for (auto y = b.begin(); x != a.end() || y != b.end();) {
    if (y == b.end() || (x != a.end() && x->key < y->key)) {
      drop(d, ItemRows::row(*x++, 0));
    } else if (x == a.end() || y->key < x->key) {
      put(d, ItemRows::row(*y++, 0), nullptr);
    } else {
      if (!(*x == *y)) {
        StateRow const previous_membership = ItemRows::row(*x, 0);
        put(d, ItemRows::row(*y, 0), &previous_membership);
      }
      ++x;
      ++y;
    }
  }
}

// All but items.
void rest_between(ReplicatedState const& a, ReplicatedState const& b, RowDiff& d) {
  between<EvacRows>(a.evacuations, b.evacuations, d);
  between<MemberRows>(a.membership, b.membership, d);
  between<WasRows>(a.previous_membership, b.previous_membership, d);
  between<RetiredRows>(a.retired, b.retired, d);
  between<TermRows>(a.duties, b.duties, d);
  between<CounterRows>(a.duties, b.duties, d);
  between<FixedRows>(a.fixed, b.fixed, d);
  between<PassRows>(a.passes, b.passes, d);
  between<HadRows>(a.passes, b.passes, d);
  between<UnitRows>(a.units, b.units, d);
}

template <class T>
struct Slot {
  u32 at = 0;
  T x{};
};
template <class T>
void read_placed(StateRow const& r, std::vector<Slot<T>>& v) {
  Placed const p = codec::unpack<Placed>(r.body);
  v.push_back({p.at, codec::unpack<T>(p.body)});
}
template <class T>
std::vector<T> in_place(std::vector<Slot<T>> v) {
  std::sort(v.begin(), v.end(), [](auto const& a, auto const& b) { return a.at < b.at; });
  std::vector<T> out;
  out.reserve(v.size());
  for (std::size_t i = 0; i < v.size(); ++i) {
    if (v[i].at != i) throw codec::MalformedMessage("rows are missing");
    out.push_back(std::move(v[i].x));
  }
  return out;
}
}  // namespace

std::string unit_row_pass(u64 pass) {
  return digits(pass);
}
std::string unit_row(DrainUnit const& u) {
  return "u/" + digits(u.pass) + "/" + u.name;
}

void RowChecksum::add(StateRow const& r) {
  sum += hash_of(r);
  ++count;
}
void RowChecksum::drop(StateRow const& r) {
  sum -= hash_of(r);
  --count;
}

std::vector<StateRow> rows_of(ReplicatedState const& s) {
  return rows_between(nullptr, s).rows;
}

RowDiff rows_between(ReplicatedState const* from, ReplicatedState const& to) {
  RowDiff d;
  ReplicatedState const none;
  ReplicatedState const& a = from != nullptr ? *from : none;
  items_between(a.items, to.items, d);
  rest_between(a, to, d);
  return d;
}

std::optional<RowDiff> apply_rows(ReplicatedState& st, StateDelta const& d) {
  if (st.ballot != d.base) return std::nullopt;
  RowDiff out;
  // What the delta may move, as it was; the lists that it leaves alone are not looked at.
  ReplicatedState previous_membership, now;
  bool const units = d.passes_set || !d.units.empty();
  if (d.evacuations_set) previous_membership.evacuations = st.evacuations;
  if (d.membership_set) previous_membership.membership = st.membership;
  if (d.membership_set) previous_membership.retired = st.retired;
  if (d.previous_membership_set) previous_membership.previous_membership = st.previous_membership;
  if (d.duties_set) previous_membership.duties = st.duties;
  if (d.fixed_set) previous_membership.fixed = st.fixed;
  if (d.passes_set) previous_membership.passes = st.passes;
  if (units) previous_membership.units = st.units;
  auto at = [&](std::string const& key) -> ConfigItem const* {
    auto const it = std::lower_bound(st.items.begin(), st.items.end(), key,
                                     [](ConfigItem const& i, std::string const& k) { return i.key < k; });
    return it != st.items.end() && it->key == key ? &*it : nullptr;
  };
  if (!d.items.empty() && !std::is_sorted(st.items.begin(), st.items.end(), by_key))
    std::sort(st.items.begin(), st.items.end(), by_key);
  std::map<std::string, std::optional<StateRow>> items;
  for (ConfigItem const& i : d.items) {
    ConfigItem const* o = at(i.key);
    items[i.key] = o != nullptr ? std::optional<StateRow>(ItemRows::row(*o, 0)) : std::nullopt;
  }
  apply(st, d);
  for (auto const& [k, r] : items) {
    StateRow n = ItemRows::row(*at(k), 0);
    if (!r || r->body != n.body) put(out, std::move(n), r ? &*r : nullptr);
  }
  // Borrowed for the comparison, given back below.
  auto lend = [&](bool on, auto ReplicatedState::*m) {
    if (on) std::swap(now.*m, st.*m);
  };
  auto all = [&] {
    lend(d.evacuations_set, &ReplicatedState::evacuations);
    lend(d.membership_set, &ReplicatedState::membership);
    lend(d.membership_set, &ReplicatedState::retired);
    lend(d.previous_membership_set, &ReplicatedState::previous_membership);
    lend(d.duties_set, &ReplicatedState::duties);
    lend(d.fixed_set, &ReplicatedState::fixed);
    lend(d.passes_set, &ReplicatedState::passes);
    lend(units, &ReplicatedState::units);
  };
  all();
  rest_between(previous_membership, now, out);
  all();
  return out;
}

ReplicatedState value_of(VoteHeader const& h, std::vector<StateRow> rows) {
  RowChecksum sum;
  ReplicatedState s;
  std::vector<Slot<Evacuation>> evacuations;
  std::vector<Slot<Member>> membership, left;
  std::vector<Slot<RetiredMember>> retired;
  std::vector<Slot<Lease>> duties;
  std::vector<Slot<DrainRun>> passes;
  std::vector<Slot<DrainUnit>> units;
  std::map<std::string, u64> counters;
  std::map<std::string, std::vector<InitialServerCount>> had;
  for (StateRow const& r : rows)
    sum.add(r);
  if (!(sum == RowChecksum{h.sum, h.count})) throw codec::MalformedMessage("rows don't add up");
  for (StateRow const& r : rows) {
    if (r.key.size() < 2 || r.key[1] != '/') throw codec::MalformedMessage("a row of no kind");
    std::string const name = r.key.substr(2);
    switch (r.key[0]) {
      case 'i': {
        ConfigItem i = codec::unpack<ConfigItem>(r.body);
        i.key = name;
        s.items.push_back(std::move(i));
        break;
      }
      case 'e': read_placed(r, evacuations); break;
      case 'm': read_placed(r, membership); break;
      case 'w': read_placed(r, left); break;
      case 'r': read_placed(r, retired); break;
      case 't': read_placed(r, duties); break;
      case 'n': counters[name] = codec::unpack<Count>(r.body).n; break;
      case 'f': s.fixed.push_back(codec::unpack<FrozenUsageReport>(r.body)); break;
      case 'p': read_placed(r, passes); break;
      case 'h': had[name] = codec::unpack<DrainRun>(r.body).had; break;
      case 'u': read_placed(r, units); break;
      default: throw codec::MalformedMessage("a row of no kind");
    }
  }
  std::sort(s.items.begin(), s.items.end(), by_key);
  std::sort(s.fixed.begin(), s.fixed.end(),
            [](FrozenUsageReport const& a, FrozenUsageReport const& b) { return a.window < b.window; });
  s.evacuations = in_place(std::move(evacuations));
  s.membership = in_place(std::move(membership));
  s.previous_membership = in_place(std::move(left));
  s.retired = in_place(std::move(retired));
  s.duties = in_place(std::move(duties));
  s.passes = in_place(std::move(passes));
  s.units = in_place(std::move(units));
  for (Lease& t : s.duties)
    t.counter = counters[t.duty];
  for (DrainRun& p : s.passes)
    p.had = std::move(had[digits(p.id)]);
  s.ballot = h.ballot;
  s.epoch = h.epoch;
  s.open = h.open;
  s.to_fix = h.to_fix;
  s.largest_membership = h.largest_membership;
  return s;
}

std::string sealed(std::string const& body) {
  u64 const h = hash64(body, 1);
  std::string s(sizeof h, '\0');
  std::memcpy(s.data(), &h, sizeof h);
  return s + body;
}
std::optional<std::string> unsealed(std::string const& s) {
  u64 h = 0;
  if (s.size() < sizeof h) return std::nullopt;
  std::memcpy(&h, s.data(), sizeof h);
  std::string body = s.substr(sizeof h);
  if (hash64(body, 1) != h) return std::nullopt;
  return body;
}

}  // namespace dockbend
