#include "configuration/configuration.hpp"

#include <algorithm>

namespace dockbend {
namespace json {

Generation parse_gen(std::string const& s, std::string const& at) {
  if (s.size() != 8) throw Fault(at, "wants eight hexadecimal digits");
  u64 v = 0;
  for (char const c : s) {
    int d = -1;
    if (c >= '0' && c <= '9') d = c - '0';
    if (c >= 'a' && c <= 'f') d = c - 'a' + 10;
    if (c >= 'A' && c <= 'F') d = c - 'A' + 10;
    if (d < 0) throw Fault(at, "wants eight hexadecimal digits");
    v = v * 16 + static_cast<u64>(d);
  }
  return Generation(v);
}

std::string gen_str(Generation g) {
  char b[20];
  std::snprintf(b, sizeof b, "%08llx", static_cast<unsigned long long>(g.v));
  return b;
}

schema::RouteKind parse_kind(std::string const& s, std::string const& at) {
  using K = schema::RouteKind;
  if (s == "idempotent") return K::idempotent;
  if (s == "effectful") return K::effectful;
  if (s == "keyed") return K::keyed;
  if (s == "inflow") return K::inflow;
  throw Fault(at, "no such kind: '" + s + "'");
}

std::string kind_str(schema::RouteKind k) {
  using K = schema::RouteKind;
  switch (k) {
    case K::idempotent: return "idempotent";
    case K::effectful: return "effectful";
    case K::keyed: return "keyed";
    case K::inflow: return "inflow";
  }
  return "";
}

std::string dump(Value const& v) {
  rapidjson::StringBuffer sb;
  rapidjson::Writer<rapidjson::StringBuffer> w(sb);
  v.Accept(w);
  return std::string(sb.GetString(), sb.GetSize());
}

namespace {
// The parser takes a zero byte for the end, and stack for each level; so both are looked for first.
void check_text(std::string_view text) {
  u32 depth = 0;
  bool quoted = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    char const c = text[i];
    if (c == '\0') throw Fault("", "can't be read whole");
    if (quoted) {
      if (c == '\\')
        ++i;
      else
        quoted = c != '"';
    } else if (c == '"') {
      quoted = true;
    } else if (c == '{' || c == '[') {
      if (++depth > deepest) throw Fault("", "nested too deep");
    } else if ((c == '}' || c == ']') && depth > 0) {
      --depth;
    }
  }
}
}  // namespace

rapidjson::Document parse(std::string_view text) {
  check_text(text);
  rapidjson::Document d;
  d.Parse<rapidjson::kParseValidateEncodingFlag>(text.data(), text.size());
  if (d.HasParseError()) throw Fault("", "can't be read whole");
  if (!d.IsObject()) throw Fault("", "wants an object");
  return d;
}

}  // namespace json

using json::Fault;
using json::Value;

namespace {
Value const* member(Value const& v, char const* n) {
  if (!v.IsObject()) return nullptr;
  auto const it = v.FindMember(n);
  return it == v.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

// Names stand in headers, lines and keys.
void check_name(std::string const& s, std::string const& at) {
  if (s.empty()) throw Fault(at, "empty");
  if (has_control(s)) throw Fault(at, "holds a control character");
}
double const longest_s = 1e9;  // more than that fits no timer
void check_most(std::optional<double> const& x, std::string const& at, double lo = 0) {
  if (x && (*x < lo || *x > longest_s)) throw Fault(at, *x < lo ? "negative" : "out of range");
}

Value const& need(Value const& v, char const* n) {
  Value const* const m = member(v, n);
  if (m == nullptr) throw Fault(n, "missing");
  return *m;
}

void check_policy(schema::Policy const& p, std::string const& at) {
  check_name(p.name, at + ".name");
  if (p.selector.pathPrefix.empty() || p.selector.pathPrefix[0] != '/')
    throw Fault(at + ".selector.pathPrefix", "wants a slash at its start");
  auto const& a = p.actuation;
  if (!(a.deadlineS > 0)) throw Fault(at + ".actuation.deadlineS", "wants more than 0");
  check_most(a.deadlineS, at + ".actuation.deadlineS");
  check_most(p.setpointS, at + ".setpointS");
  bool const has_split = a.split && !a.split->empty();
  if (!a.service && !has_split) throw Fault(at + ".actuation.service", "missing");
  if (has_split) {
    double sum = 0;
    for (auto const& s : *a.split) {
      if (s.gain < 0) throw Fault(at + ".actuation.split.gain", "negative");
      sum += s.gain;
    }
    if (!(sum > 0)) throw Fault(at + ".actuation.split.gain", "all are 0");
    if (!std::isfinite(sum)) throw Fault(at + ".actuation.split.gain", "out of range");
  }
}

// The items of one call; each name stands once, in the order in which they came.
class ChangeBuilder {
 public:
  void add(ConfigItem it, std::string const& at) {
    auto const [i, fresh] = at_.try_emplace(it.key, items_.size());
    if (fresh) {
      items_.push_back(std::move(it));
      return;
    }
    // The highest version of a name holds, within one call too.
    ConfigItem& o = items_[i->second];
    if (it.gen > o.gen)
      o = std::move(it);
    else if (it.gen == o.gen && !same_item(it, o))
      throw Fault(at, "two bodies under one generation");
  }
  std::vector<ConfigItem> take() { return std::move(items_); }

 private:
  std::vector<ConfigItem> items_;
  std::unordered_map<std::string, std::size_t> at_;
};

void check_limits(schema::Limits const& l) {
  for (auto const& [x, at] : {std::pair{&l.headerDeadlineS, "upsert.limits.headerDeadlineS"},
                              {&l.idleTimeoutS, "upsert.limits.idleTimeoutS"}}) {
    check_most(*x, at);
    if (*x && !(**x > 0)) throw Fault(at, "wants more than 0");
  }
}
}  // namespace

namespace {
// A fault in a customer's item names the customer too.
Fault naming(Fault const& f, Value const& d) {
  std::string const pre = "upsert.customers[";
  if (f.field.compare(0, pre.size(), pre) != 0) return f;
  Value const* up = member(d, "upsert");
  Value const* l = up == nullptr ? nullptr : member(*up, "customers");
  auto const i = std::strtoul(f.field.c_str() + pre.size(), nullptr, 10);
  if (l == nullptr || !l->IsArray() || i >= l->Size()) return f;
  Value const* n = member((*l)[static_cast<rapidjson::SizeType>(i)], "name");
  if (n == nullptr || !n->IsString()) return f;
  std::string const what = f.what();
  return Fault("customer '" + std::string(n->GetString()) + "': " + f.field,
               what.substr(std::min(what.size(), f.field.size() + 2)));
}

void check_customer(schema::Customer const& c, std::string const& at) {
  check_name(c.name, at + ".name");
  if (c.keys)
    for (auto const& k : *c.keys) {
      if (k.empty()) throw Fault(at + ".keys", "an empty key");
      check_name(k, at + ".keys");
    }
  if (!c.allowance) return;
  if (!(c.allowance->rate > 0)) throw Fault(at + ".allowance.rate", "wants more than 0");
  if (c.allowance->rate < 1e-6 || c.allowance->rate > 1e12) throw Fault(at + ".allowance.rate", "out of range");
  if (c.allowance->burst > 1e12) throw Fault(at + ".allowance.burst", "out of range");
  if (!(c.allowance->burst >= 1)) throw Fault(at + ".allowance.burst", "wants 1 or more");
  double const r = c.allowance->reserve.value_or(0);
  if (r < 0 || r >= 1) throw Fault(at + ".allowance.reserve", "wants a share from 0 to below 1");
}

ConfigChange read_checked(rapidjson::Document const& d) {
  schema::AmendRequest am;
  json::read(static_cast<Value const&>(d), "", am);
  ConfigChange out;
  ChangeBuilder got;
  if (am.upsert) {
    Value const& up = *member(d, "upsert");
    if (am.upsert->limits) check_limits(*am.upsert->limits);
    if (am.upsert->limits)
      got.add(ConfigItem{"l/", am.upsert->limits->generation, false, json::dump(*member(up, "limits"))},
              "upsert.limits");
    if (am.upsert->sockets) {
      Value const& socks = *member(up, "sockets");
      for (u32 i = 0; i < am.upsert->sockets->size(); ++i) {
        auto const& s = (*am.upsert->sockets)[i];
        std::string const sat = "upsert.sockets[" + std::to_string(i) + "]";
        check_name(s.host, sat + ".host");
        Value const& pols = *member(socks[i], "policy");
        for (u32 j = 0; j < s.policy.size(); ++j) {
          auto const& p = s.policy[j];
          std::string const at = sat + ".policy[" + std::to_string(j) + "]";
          check_policy(p, at);
          if (p.actuation.service)
            out.needs.push_back({at + ".actuation.service", *p.actuation.service, "r/" + p.name});
          if (p.actuation.split)
            for (auto const& sh : *p.actuation.split)
              out.needs.push_back({at + ".actuation.split", sh.service, "r/" + p.name});
          // The body keeps the policy as it was sent, beside its host.
          std::string const b =
              "{\"host\":" + json::dump(*member(socks[i], "host")) + ",\"policy\":" + json::dump(pols[j]) + "}";
          got.add(ConfigItem{"r/" + p.name, p.generation, false, b}, at + ".name");
        }
      }
    }
    if (am.upsert->pools) {
      Value const& pools = *member(up, "pools");
      for (u32 i = 0; i < am.upsert->pools->size(); ++i) {
        auto const& p = (*am.upsert->pools)[i];
        std::string const at = "upsert.pools[" + std::to_string(i) + "]";
        check_name(p.name, at + ".name");
        check_most(p.coldS, at + ".coldS");
        check_most(p.coldRateS, at + ".coldRateS");
        got.add(ConfigItem{"s/" + p.name, p.generation, false, json::dump(pools[i])}, at + ".name");
      }
    }
  }
  if (am.upsert && am.upsert->customers) {
    Value const& cs = *member(*member(d, "upsert"), "customers");
    std::map<std::string, std::string> holder;
    for (u32 i = 0; i < am.upsert->customers->size(); ++i) {
      auto const& c = (*am.upsert->customers)[i];
      std::string const at = "upsert.customers[" + std::to_string(i) + "]";
      check_customer(c, at);
      if (c.keys)
        for (auto const& k : *c.keys)
          if (auto const [h, fresh] = holder.try_emplace(k, c.name); !fresh && h->second != c.name)
            throw Fault(at + ".keys", "a key that '" + h->second + "' holds too");
      got.add(ConfigItem{"c/" + c.name, c.generation, false, json::dump(cs[i])}, at + ".name");
    }
  }
  if (am.remove) {
    auto drop = [&](std::optional<std::vector<schema::ItemRemoval>> const& l, std::string const& pre,
                    std::string const& at) {
      if (!l) return;
      for (auto const& x : *l)
        got.add(ConfigItem{pre + x.name, x.generation, true, ""}, at);
    };
    drop(am.remove->routes, "r/", "remove.routes");
    drop(am.remove->pools, "s/", "remove.pools");
    drop(am.remove->services, "s/", "remove.services");
    drop(am.remove->customers, "c/", "remove.customers");
  }
  out.items = got.take();
  return out;
}
}  // namespace

ConfigChange read_amend(std::string_view body) {
  rapidjson::Document const d = json::parse(body);
  try {
    return read_checked(d);
  } catch (Fault const& f) {
    throw naming(f, d);
  }
}

namespace {
// The body without its generation: hexadecimal digits may be large or small.
rapidjson::Document bare(std::string const& body) {
  rapidjson::Document d;
  d.Parse(body.data(), body.size());
  Value* v = &d;
  if (d.IsObject() && d.HasMember("policy")) v = &d["policy"];
  if (v->IsObject()) v->EraseMember("generation");
  return d;
}
}  // namespace

bool same_item(ConfigItem const& a, ConfigItem const& b) {
  if (a.key != b.key || a.gen != b.gen || a.gone != b.gone) return false;
  if (a.body == b.body) return true;
  rapidjson::Document const x = bare(a.body), y = bare(b.body);
  return !x.HasParseError() && !y.HasParseError() && x == y;
}

MergeResult join(std::map<std::string, ConfigItem>& items, ConfigChange const& a, std::string& field) {
  std::map<std::string_view, ConfigItem const*> put;
  for (auto const& it : a.items) {
    auto const cur = items.find(it.key);
    if (cur == items.end() || it.gen > cur->second.gen) {
      put.emplace(it.key, &it);
    } else if (it.gen == cur->second.gen && !same_item(it, cur->second)) {
      field = it.key;
      return MergeResult::clash;
    }
  }
  for (ServiceReference const& n : a.needs) {
    std::string const k = "s/" + n.service;
    auto const cur = items.find(k);
    auto const own = put.find(k);
    bool known = own != put.end() ? !own->second->gone : cur != items.end() && !cur->second.gone;
    // What changes nothing may have been taken while the service stood, though it was
    // dropped since. A service that nobody ever set is unknown in any case.
    if (!known && put.count(n.key) == 0) known = cur != items.end();
    if (!known) {
      field = n.field;
      return MergeResult::unknown_service;
    }
  }
  if (put.empty()) return MergeResult::same;
  for (auto const& [k, p] : put)
    items[p->key] = *p;
  return MergeResult::changed;
}

bool brings_news(std::vector<ConfigItem> const& items, ConfigChange const& a) {
  std::unordered_map<std::string_view, Generation> put;
  for (ConfigItem const& i : a.items)
    put.emplace(i.key, i.gen);
  std::size_t old = 0;
  for (ConfigItem const& i : items)
    if (auto const it = put.find(i.key); it != put.end() && it->second <= i.gen) ++old;
  return old < put.size();
}

std::string render_read(std::map<std::string, ConfigItem> const& items) {
  std::string lim, pools, customers;
  std::map<std::string, std::string> hosts;
  for (auto const& [k, it] : items) {
    if (it.gone) continue;
    if (k[0] == 'l') {
      lim = it.body;
    } else if (k[0] == 's') {
      if (!pools.empty()) pools += ",";
      pools += it.body;
    } else if (k[0] == 'c') {
      if (!customers.empty()) customers += ",";
      customers += it.body;
    } else {
      rapidjson::Document const d = json::parse(it.body);
      std::string& h = hosts[json::dump(need(d, "host"))];
      if (!h.empty()) h += ",";
      h += json::dump(need(d, "policy"));
    }
  }
  std::string socks;
  for (auto const& [h, p] : hosts) {
    if (!socks.empty()) socks += ",";
    socks += "{\"host\":" + h + ",\"policy\":[" + p + "]}";
  }
  std::string out = "{";
  if (!lim.empty()) out += "\"limits\":" + lim + ",";
  if (!customers.empty()) out += "\"customers\":[" + customers + "],";
  return out + "\"sockets\":[" + socks + "],\"pools\":[" + pools + "]}";
}

CompiledConfiguration CompiledConfiguration::from(std::vector<ConfigItem> const& items) {
  CompiledConfiguration c;
  for (ConfigItem const& it : items)
    c.put(it);
  return c;
}

namespace {
RoutePtr lane_of(Value const& v) {
  schema::Policy p;
  json::read(need(v, "policy"), "", p);
  if (p.selector.pathPrefix.empty()) throw Fault("selector.pathPrefix", "empty");
  auto l = std::make_shared<Route>();
  l->name = p.name;
  json::read(need(v, "host"), "host", l->host);
  l->prefix = p.selector.pathPrefix;
  l->kind = p.kind;
  if (p.actuation.split && !p.actuation.split->empty()) {
    for (auto const& s : *p.actuation.split)
      l->to.emplace_back(s.service, s.gain);
  } else {
    l->to.emplace_back(p.actuation.service.value_or(""), 1.0);
  }
  l->deadline = p.actuation.deadlineS;
  l->latency_target = p.setpointS.value_or(l->deadline / 4);
  l->max_attempts = std::max<u32>(1, p.actuation.maxTries.value_or(1));
  l->rank = p.rank.value_or(0);
  l->keyless = p.keyless.value_or(false);
  if (p.actuation.homeRegions) l->homes = *p.actuation.homeRegions;
  l->gen = p.generation;
  return l;
}

TenantPtr tenant_from(Value const& v) {
  schema::Customer c;
  json::read(v, "", c);
  auto t = std::make_shared<Tenant>();
  t->name = c.name;
  if (c.keys) t->keys = *c.keys;
  if (c.homeRegions) t->homes = *c.homeRegions;
  t->rank = c.rank;
  t->allowance = c.allowance;
  t->gen = c.generation;
  return t;
}

ServiceConfig pool_from(Value const& v) {
  schema::Pool p;
  json::read(v, "", p);
  ServiceConfig q;
  q.name = p.name;
  if (p.connLimit) q.conn_limit = *p.connLimit;
  if (p.selfDedupes) q.dedupes = *p.selfDedupes;
  if (p.coldS) q.cold_s = *p.coldS;
  if (p.coldRateS) q.cold_rate = *p.coldRateS;
  return q;
}

// The newest generation first; it holds while two stand in one place.
template <class T>
void place(std::vector<T>& l, T x) {
  auto const at = std::find_if(l.begin(), l.end(), [&](T const& o) { return o->gen < x->gen; });
  l.insert(at, std::move(x));
}
template <class I, class T>
void unplace(I& index, std::string const& k, T const& x) {
  auto const it = index.find(k);
  if (it == index.end()) return;
  std::erase(it->second, x);
  if (it->second.empty()) index.erase(it);
}
}  // namespace

void CompiledConfiguration::drop(std::string const& key) {
  if (auto const it = routes_.find(key); it != routes_.end()) {
    RoutePtr const l = it->second;
    if (l->prefix.back() == '/')
      unplace(exact_, l->host + l->prefix, l);
    else
      unplace(odd_, l->host, l);
    if (--ranks_[l->rank] == 0) ranks_.erase(l->rank);
    routes_.erase(it);
  }
  if (auto const it = tenants_.find(key); it != tenants_.end()) {
    TenantPtr const t = it->second;
    for (std::string const& k : t->keys)
      unplace(by_key_, k, t);
    tenants_.erase(it);
  }
  if (key[0] == 's') pools_.erase(key.substr(2));
}

void CompiledConfiguration::put(ConfigItem const& it) {
  auto const [g, fresh] = gens_.try_emplace(it.key, it.gen);
  if (!fresh && it.gen <= g->second) return;  // one body a generation: nothing new
  g->second = it.gen;
  drop(it.key);
  if (it.gone) return;
  try {
    rapidjson::Document const d = json::parse(it.body);
    Value const& v = d;
    switch (it.key[0]) {
      case 'l': {
        schema::Limits l;
        json::read(v, "", l);
        if (l.headerBytes) limits_.header_bytes = *l.headerBytes;
        if (l.bodyBytes) limits_.body_bytes = *l.bodyBytes;
        if (l.headerDeadlineS) limits_.header_deadline = *l.headerDeadlineS;
        if (l.idleTimeoutS) limits_.idle = *l.idleTimeoutS;
        break;
      }
      case 's': {
        ServiceConfig q = pool_from(v);
        pools_[it.key.substr(2)] = std::move(q);  // by the key, by which it is dropped
        break;
      }
      case 'c': {
        TenantPtr const t = tenant_from(v);
        for (std::string const& k : t->keys)
          place(by_key_[k], t);
        tenants_[it.key] = t;
        break;
      }
      default: {
        RoutePtr const l = lane_of(v);
        if (l->prefix.back() == '/') {
          place(exact_[l->host + l->prefix], l);
        } else {
          auto& o = odd_[l->host];
          place(o, l);
          std::stable_sort(o.begin(), o.end(),
                           [](RoutePtr const& a, RoutePtr const& b) { return a->prefix.size() > b->prefix.size(); });
        }
        ++ranks_[l->rank];
        routes_[it.key] = l;
      }
    }
  } catch (json::Fault const&) {
    // An item was checked before it was taken; one that a newer program wrote
    // and we can't read is left out rather than guessed at.
  }
}

RoutePtr CompiledConfiguration::find(std::string_view host, std::string_view path) const {
  RoutePtr best;
  if (auto const it = odd_.find(host); it != odd_.end())
    for (RoutePtr const& l : it->second)
      if (path.substr(0, l->prefix.size()) == l->prefix) {
        best = l;
        break;
      }
  std::string k(host);
  k.append(path);
  for (std::size_t end = k.size(); end > host.size(); --end) {
    if (k[end - 1] != '/') continue;
    if (best && best->prefix.size() > end - host.size()) break;
    auto const it = exact_.find(std::string_view(k).substr(0, end));
    if (it != exact_.end()) return it->second.front();
  }
  return best;
}

u32 CompiledConfiguration::lowest_rank() const {
  return ranks_.empty() ? 0 : ranks_.rbegin()->first;
}

TenantPtr CompiledConfiguration::tenant_of(std::string_view key) const {
  auto const it = by_key_.find(key);
  return it == by_key_.end() ? nullptr : it->second.front();
}
TenantPtr CompiledConfiguration::tenant(std::string_view name) const {
  auto const it = tenants_.find("c/" + std::string(name));
  return it == tenants_.end() ? nullptr : it->second;
}
std::vector<TenantPtr> CompiledConfiguration::tenants() const {
  std::vector<TenantPtr> v;
  for (auto const& [k, t] : tenants_)
    v.push_back(t);
  return v;
}

ServiceConfig const* CompiledConfiguration::pool(std::string const& n) const {
  auto const it = pools_.find(n);
  return it == pools_.end() ? nullptr : &it->second;
}

}  // namespace dockbend
