#include "drain/drain_run.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace dockbend {

char const* stage_str(Stage s) {
  switch (s) {
    case Stage::waiting: return "waiting";
    case Stage::cordoned: return "cordoned";
    case Stage::draining: return "draining";
    case Stage::empty: return "empty";
    case Stage::released: return "released";
    case Stage::back: return "back";
  }
  return "unknown";
}
char const* pass_state_str(PassState s) {
  switch (s) {
    case PassState::running: return "running";
    case PassState::paused: return "paused";
    case PassState::aborted: return "aborted";
    case PassState::done: return "done";
  }
  return "unknown";
}

namespace {
std::size_t const kept_passes = 8;  // of those that are over

u64 number(std::string const& id) {
  char* end = nullptr;
  u64 const n = std::strtoull(id.c_str(), &end, 10);
  if (id.empty() || *end != '\0' || n == 0) throw OrderFault(400, "id: wants a number above 0");
  return n;
}
std::set<std::string> names_of(State const& s, u64 pass) {
  std::set<std::string> v;
  for (Unit const& u : s.units)
    if (u.pass == pass) v.insert(u.name);
  return v;
}
// The same for the same order, whatever order its units come in.
u64 digest_of(Order o) {
  std::sort(o.units.begin(), o.units.end(), [](OrderUnit const& a, OrderUnit const& b) { return a.name < b.name; });
  return hash64(codec::pack(o)) | 1;
}
Pass* pass_in(State& s, u64 id) {
  for (Pass& p : s.passes)
    if (p.id == id) return &p;
  return nullptr;
}
void drop_units(State& s, u64 pass) {
  std::erase_if(s.units, [&](Unit const& u) { return u.pass == pass; });
}
}  // namespace

void check(Order const& o) {
  number(o.id);
  if (!(o.headroom >= 0 && o.headroom < 1)) throw OrderFault(400, "headroom: wants a share from 0 to below 1");
  if (o.units.empty()) throw OrderFault(400, "units: empty");
  if (o.servers && o.maxUnavailable == 0) throw OrderFault(400, "maxUnavailable: wants a number above 0");
  if (!(o.patienceS > 0)) throw OrderFault(400, "patienceS: wants a time above 0");
  std::set<std::string> seen;
  for (OrderUnit const& u : o.units) {
    if (u.name.empty()) throw OrderFault(400, "units: a name is empty");
    if (!seen.insert(u.name).second) throw OrderFault(400, u.name + ": named twice");
  }
}

Unit const* unit_of(State const& s, std::string const& name) {
  for (Unit const& u : s.units)
    if (u.name == name) return &u;
  return nullptr;
}

bool start(State& s, Order const& o, u64& id) {
  check(o);
  id = number(o.id);
  u64 const digest = digest_of(o);
  if (Pass const* p = s.pass(id); p != nullptr) {
    if (p->digest != 0 && p->digest != digest) throw OrderFault(409, "id: another order has this number");
    return false;
  }
  std::set<std::string> want;
  for (OrderUnit const& u : o.units)
    want.insert(u.name);
  for (Pass const& p : s.passes)
    if (!is_over(p.state) && p.servers == o.servers && names_of(s, p.id) == want) {
      id = p.id;
      return false;
    }
  for (Unit const& u : s.units)
    if (want.count(u.name) > 0) throw OrderFault(409, u.name + ": already in pass " + std::to_string(u.pass));
  std::size_t over = 0;
  for (Pass const& p : s.passes)
    over += is_over(p.state) ? 1 : 0;
  for (auto it = s.passes.begin(); over >= kept_passes && it != s.passes.end();) {
    if (!is_over(it->state)) {
      ++it;
      continue;
    }
    it = s.passes.erase(it);
    --over;
  }
  Pass p;
  p.id = id;
  p.servers = o.servers;
  p.state = PassState::running;
  p.headroom = o.headroom;
  p.max_out = o.maxUnavailable;
  p.patience = o.patienceS;
  p.replaced = o.replaced;
  p.had = o.had;
  p.total = static_cast<u32>(o.units.size());
  p.digest = digest;
  s.passes.push_back(std::move(p));
  for (OrderUnit const& u : o.units) {
    Unit x;
    x.pass = id;
    x.name = u.name;
    x.node = u.node;
    x.wave = u.wave;
    s.units.push_back(std::move(x));
  }
  return true;
}

bool apply(State& s, Moves const& m) {
  bool any = false;
  for (Move const& x : m.moves) {
    Pass const* p = s.pass(x.pass);
    if (p == nullptr || is_over(p->state)) continue;
    for (Unit& u : s.units) {
      if (u.pass != x.pass || u.name != x.name || u.stage != x.from) continue;
      if (p->state == PassState::paused && u.stage == Stage::waiting) continue;  // nothing more is begun
      if (u.stage == x.to && u.life == x.life) continue;
      u.stage = x.to;
      u.life = x.life;
      any = true;
    }
  }
  for (Word const& w : m.words)
    if (Pass* p = pass_in(s, w.pass); p != nullptr && !is_over(p->state) && p->why != w.why) {
      p->why = w.why;
      any = true;
    }
  std::map<u64, u32> back;
  for (Unit const& u : s.units)
    back[u.pass] += u.stage == Stage::back ? 1 : 0;
  for (Pass& p : s.passes) {
    if (is_over(p.state) || p.back == back[p.id]) continue;
    p.back = back[p.id];
    any = true;
    if (p.back < p.total) continue;
    p.state = PassState::done;
    p.why.clear();
    drop_units(s, p.id);
  }
  return any;
}

bool command(State& s, u64 id, PassOrder o, std::string const& unit) {
  Pass* p = pass_in(s, id);
  if (p == nullptr) throw OrderFault(404, "no such pass: " + std::to_string(id));
  if (o == PassOrder::abort && p->state == PassState::aborted) return false;
  if (is_over(p->state)) throw OrderFault(409, std::string("pass is ") + pass_state_str(p->state));
  switch (o) {
    case PassOrder::pause:
      if (p->state == PassState::paused) return false;
      p->state = PassState::paused;
      return true;
    case PassOrder::resume:
      if (p->state == PassState::running) return false;
      p->state = PassState::running;
      return true;
    case PassOrder::abort:
      p->state = PassState::aborted;
      p->why = "aborted by the operator";
      drop_units(s, id);
      return true;
    case PassOrder::take_back: {
      auto const it =
          std::find_if(s.units.begin(), s.units.end(), [&](Unit const& u) { return u.pass == id && u.name == unit; });
      if (it == s.units.end()) throw OrderFault(404, "not in this pass: " + unit);
      if (it->stage == Stage::back) return false;
      it->stage = Stage::back;
      apply(s, Moves{});  // it may have been the last
      return true;
    }
  }
  return false;
}

}  // namespace dockbend
