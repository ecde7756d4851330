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

u64 hash_of(ValueRow const& r) {
  return hash64(r.body, hash64(r.key));
}
std::string digits(u64 n) {
  char b[24];
  std::snprintf(b, sizeof b, "%020llu", static_cast<unsigned long long>(n));
  return b;
}
template <class T>
ValueRow placed(std::string key, T const& x, std::size_t at) {
  Placed p;
  p.at = static_cast<u32>(at);
  p.body = codec::pack(x);
  return ValueRow{std::move(key), codec::pack(p), false};
}

// How each kind of row is made. Keys begin with the kind.
struct ItemRows {
  static std::string key(Item const& i) { return "i/" + i.key; }
  static ValueRow row(Item const& i, std::size_t) {
    Item x = i;
    x.key.clear();
    return {key(i), codec::pack(x), false};
  }
};
struct EvacRows {
  static std::string key(Evac const& e) { return "e/" + e.zone; }
  static ValueRow row(Evac const& e, std::size_t at) { return placed(key(e), e, at); }
};
struct MemberRows {
  static std::string key(Member const& m) { return "m/" + m.ip; }
  static ValueRow row(Member const& m, std::size_t at) { return placed(key(m), m, at); }
};
struct WasRows {  // the roster that a step left, while it counts
  static std::string key(Member const& m) { return "w/" + m.ip; }
  static ValueRow row(Member const& m, std::size_t at) { return placed(key(m), m, at); }
};
struct RetiredRows {
  static std::string key(Retired const& r) { return "r/" + r.ip + "/" + digits(r.life.v); }
  static ValueRow row(Retired const& r, std::size_t at) { return placed(key(r), r, at); }
};
struct TermRows {
  static std::string key(Term const& t) { return "t/" + t.duty; }
  static ValueRow row(Term const& t, std::size_t at) {
    Term x = t;
    x.counter = 0;
    return placed(key(t), x, at);
  }
};
struct CounterRows {  // what a renewal moves
  static std::string key(Term const& t) { return "n/" + t.duty; }
  static ValueRow row(Term const& t, std::size_t) { return {key(t), codec::pack(Count{t.counter}), false}; }
};
struct FixedRows {
  static std::string key(FixedWindow const& f) { return "f/" + digits(f.window); }
  static ValueRow row(FixedWindow const& f, std::size_t) { return {key(f), codec::pack(f), false}; }
};
struct PassRows {
  static std::string key(Pass const& p) { return "p/" + digits(p.id); }
  static ValueRow row(Pass const& p, std::size_t at) {
    Pass x = p;
    x.had.clear();
    return placed(key(p), x, at);
  }
};
struct HadRows {  // as long as the services are many, and never moved
  static std::string key(Pass const& p) { return "h/" + digits(p.id); }
  static ValueRow row(Pass const& p, std::size_t) {
    Pass x;
    x.had = p.had;
    return {key(p), codec::pack(x), false};
  }
};
struct UnitRows {
  static std::string key(Unit const& u) { return unit_row(u); }
  static ValueRow row(Unit const& u, std::size_t at) { return placed(key(u), u, at); }
};

void put(RowDiff& d, ValueRow r, ValueRow const* was) {
  if (was != nullptr) d.sum.drop(*was);
  d.sum.add(r);
  d.rows.push_back(std::move(r));
}
void drop(RowDiff& d, ValueRow const& was) {
  d.sum.drop(was);
  d.rows.push_back(ValueRow{was.key, "", true});
}

template <class R, class T>
void between(std::vector<T> const& a, std::vector<T> const& b, RowDiff& d) {
  bool const aligned = a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](T const& x, T const& y) {
                         return R::key(x) == R::key(y);
                       });
  if (aligned) {
    for (std::size_t i = 0; i < a.size(); ++i) {
      ValueRow const was = R::row(a[i], i);
      ValueRow now = R::row(b[i], i);
      if (was.body != now.body) put(d, std::move(now), &was);
    }
    return;
  }
  std::map<std::string, ValueRow> old;
  for (std::size_t i = 0; i < a.size(); ++i)
    old[R::key(a[i])] = R::row(a[i], i);
  for (std::size_t i = 0; i < b.size(); ++i) {
    ValueRow now = R::row(b[i], i);
    auto const it = old.find(now.key);
    bool const same = it != old.end() && it->second.body == now.body;
    if (!same) put(d, std::move(now), it == old.end() ? nullptr : &it->second);
    if (it != old.end()) old.erase(it);
  }
  for (auto const& [k, r] : old)
    drop(d, r);
}

bool by_key(Item const& a, Item const& b) {
  return a.key < b.key;
}

void items_between(std::vector<Item> const& a, std::vector<Item> const& b, RowDiff& d) {
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
        ValueRow const was = ItemRows::row(*x, 0);
        put(d, ItemRows::row(*y, 0), &was);
      }
      ++x;
      ++y;
    }
  }
}

// All but items.
void rest_between(State const& a, State const& b, RowDiff& d) {
  between<EvacRows>(a.evacs, b.evacs, d);
  between<MemberRows>(a.roster, b.roster, d);
  between<WasRows>(a.was, b.was, d);
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
void read_placed(ValueRow const& r, std::vector<Slot<T>>& v) {
  Placed const p = codec::unpack<Placed>(r.body);
  v.push_back({p.at, codec::unpack<T>(p.body)});
}
template <class T>
std::vector<T> in_place(std::vector<Slot<T>> v) {
  std::sort(v.begin(), v.end(), [](auto const& a, auto const& b) { return a.at < b.at; });
  std::vector<T> out;
  out.reserve(v.size());
  for (std::size_t i = 0; i < v.size(); ++i) {
    if (v[i].at != i) throw codec::Malformed("rows are missing");
    out.push_back(std::move(v[i].x));
  }
  return out;
}
}  // namespace

std::string unit_row_pass(u64 pass) {
  return digits(pass);
}
std::string unit_row(Unit const& u) {
  return "u/" + digits(u.pass) + "/" + u.name;
}

void RowSum::add(ValueRow const& r) {
  sum += hash_of(r);
  ++count;
}
void RowSum::drop(ValueRow const& r) {
  sum -= hash_of(r);
  --count;
}

std::vector<ValueRow> rows_of(State const& s) {
  return rows_between(nullptr, s).rows;
}

RowDiff rows_between(State const* from, State const& to) {
  RowDiff d;
  State const none;
  State const& a = from != nullptr ? *from : none;
  items_between(a.items, to.items, d);
  rest_between(a, to, d);
  return d;
}

std::optional<RowDiff> apply_rows(State& st, Delta const& d) {
  if (st.bal != d.base) return std::nullopt;
  RowDiff out;
  // What the delta may move, as it was; the lists that it leaves alone are not looked at.
  State was, now;
  bool const units = d.passes_set || !d.units.empty();
  if (d.evacs_set) was.evacs = st.evacs;
  if (d.roster_set) was.roster = st.roster;
  if (d.roster_set) was.retired = st.retired;
  if (d.was_set) was.was = st.was;
  if (d.duties_set) was.duties = st.duties;
  if (d.fixed_set) was.fixed = st.fixed;
  if (d.passes_set) was.passes = st.passes;
  if (units) was.units = st.units;
  auto at = [&](std::string const& key) -> Item const* {
    auto const it = std::lower_bound(st.items.begin(), st.items.end(), key,
                                     [](Item const& i, std::string const& k) { return i.key < k; });
    return it != st.items.end() && it->key == key ? &*it : nullptr;
  };
  if (!d.items.empty() && !std::is_sorted(st.items.begin(), st.items.end(), by_key))
    std::sort(st.items.begin(), st.items.end(), by_key);
  std::map<std::string, std::optional<ValueRow>> items;
  for (Item const& i : d.items) {
    Item const* o = at(i.key);
    items[i.key] = o != nullptr ? std::optional<ValueRow>(ItemRows::row(*o, 0)) : std::nullopt;
  }
  apply(st, d);
  for (auto const& [k, r] : items) {
    ValueRow n = ItemRows::row(*at(k), 0);
    if (!r || r->body != n.body) put(out, std::move(n), r ? &*r : nullptr);
  }
  // Borrowed for the comparison, given back below.
  auto lend = [&](bool on, auto State::*m) {
    if (on) std::swap(now.*m, st.*m);
  };
  auto all = [&] {
    lend(d.evacs_set, &State::evacs);
    lend(d.roster_set, &State::roster);
    lend(d.roster_set, &State::retired);
    lend(d.was_set, &State::was);
    lend(d.duties_set, &State::duties);
    lend(d.fixed_set, &State::fixed);
    lend(d.passes_set, &State::passes);
    lend(units, &State::units);
  };
  all();
  rest_between(was, now, out);
  all();
  return out;
}

State value_of(Head const& h, std::vector<ValueRow> rows) {
  RowSum sum;
  State s;
  std::vector<Slot<Evac>> evacs;
  std::vector<Slot<Member>> roster, left;
  std::vector<Slot<Retired>> retired;
  std::vector<Slot<Term>> duties;
  std::vector<Slot<Pass>> passes;
  std::vector<Slot<Unit>> units;
  std::map<std::string, u64> counters;
  std::map<std::string, std::vector<Had>> had;
  for (ValueRow const& r : rows)
    sum.add(r);
  if (!(sum == RowSum{h.sum, h.count})) throw codec::Malformed("rows don't add up");
  for (ValueRow const& r : rows) {
    if (r.key.size() < 2 || r.key[1] != '/') throw codec::Malformed("a row of no kind");
    std::string const name = r.key.substr(2);
    switch (r.key[0]) {
      case 'i': {
        Item i = codec::unpack<Item>(r.body);
        i.key = name;
        s.items.push_back(std::move(i));
        break;
      }
      case 'e': read_placed(r, evacs); break;
      case 'm': read_placed(r, roster); break;
      case 'w': read_placed(r, left); break;
      case 'r': read_placed(r, retired); break;
      case 't': read_placed(r, duties); break;
      case 'n': counters[name] = codec::unpack<Count>(r.body).n; break;
      case 'f': s.fixed.push_back(codec::unpack<FixedWindow>(r.body)); break;
      case 'p': read_placed(r, passes); break;
      case 'h': had[name] = codec::unpack<Pass>(r.body).had; break;
      case 'u': read_placed(r, units); break;
      default: throw codec::Malformed("a row of no kind");
    }
  }
  std::sort(s.items.begin(), s.items.end(), by_key);
  std::sort(s.fixed.begin(), s.fixed.end(),
            [](FixedWindow const& a, FixedWindow const& b) { return a.window < b.window; });
  s.evacs = in_place(std::move(evacs));
  s.roster = in_place(std::move(roster));
  s.was = in_place(std::move(left));
  s.retired = in_place(std::move(retired));
  s.duties = in_place(std::move(duties));
  s.passes = in_place(std::move(passes));
  s.units = in_place(std::move(units));
  for (Term& t : s.duties)
    t.counter = counters[t.duty];
  for (Pass& p : s.passes)
    p.had = std::move(had[digits(p.id)]);
  s.bal = h.bal;
  s.epoch = h.epoch;
  s.open = h.open;
  s.to_fix = h.to_fix;
  s.widest = h.widest;
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
