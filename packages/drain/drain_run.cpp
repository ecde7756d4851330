#include "drain/drain_run.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace dockbend {

char const* stage_str(DrainStage s) {
  switch (s) {
    case DrainStage::waiting: return "waiting";
    case DrainStage::cordoned: return "cordoned";
    case DrainStage::draining: return "draining";
    case DrainStage::empty: return "empty";
    case DrainStage::released: return "released";
    case DrainStage::back: return "back";
  }
  return "unknown";
}
char const* pass_state_str(DrainRunState s) {
  switch (s) {
    case DrainRunState::running: return "running";
    case DrainRunState::paused: return "paused";
    case DrainRunState::aborted: return "aborted";
    case DrainRunState::done: return "done";
  }
  return "unknown";
}

namespace {
std::size_t const kept_passes = 8;  // of those that are over

u64 number(std::string const& id) {
  char* end = nullptr;
  u64 const n = std::strtoull(id.c_str(), &end, 10);
  if (id.empty() || *end != '\0' || n == 0) throw DrainOrderError(400, "id: wants a number above 0");
  return n;
}
std::set<std::string> names_of(ReplicatedState const& s, u64 pass) {
  std::set<std::string> v;
  for (DrainUnit const& u : s.units)
    if (u.pass == pass) v.insert(u.name);
  return v;
}
// The same for the same order, whatever order its units come in.
u64 digest_of(DrainOrder o) {
  std::sort(o.units.begin(), o.units.end(),
            [](DrainOrderUnit const& a, DrainOrderUnit const& b) { return a.name < b.name; });
  return hash64(codec::pack(o)) | 1;
}
DrainRun* pass_in(ReplicatedState& s, u64 id) {
  for (DrainRun& p : s.passes)
    if (p.id == id) return &p;
  return nullptr;
}
void drop_units(ReplicatedState& s, u64 pass) {
  std::erase_if(s.units, [&](DrainUnit const& u) { return u.pass == pass; });
}
}  // namespace

void check(DrainOrder const& o) {
  number(o.id);
  if (!(o.headroom >= 0 && o.headroom < 1)) throw DrainOrderError(400, "headroom: wants a share from 0 to below 1");
  if (o.units.empty()) throw DrainOrderError(400, "units: empty");
  if (o.servers && o.maxUnavailable == 0) throw DrainOrderError(400, "maxUnavailable: wants a number above 0");
  if (!(o.patienceS > 0)) throw DrainOrderError(400, "patienceS: wants a time above 0");
  std::set<std::string> seen;
  for (DrainOrderUnit const& u : o.units) {
    if (u.name.empty()) throw DrainOrderError(400, "units: a name is empty");
    if (!seen.insert(u.name).second) throw DrainOrderError(400, u.name + ": named twice");
  }
}

DrainUnit const* unit_of(ReplicatedState const& s, std::string const& name) {
  for (DrainUnit const& u : s.units)
    if (u.name == name) return &u;
  return nullptr;
}

bool start(ReplicatedState& s, DrainOrder const& o, u64& id) {
  check(o);
  id = number(o.id);
  u64 const digest = digest_of(o);
  if (DrainRun const* p = s.pass(id); p != nullptr) {
    if (p->digest != 0 && p->digest != digest) throw DrainOrderError(409, "id: another order has this number");
    return false;
  }
  std::set<std::string> want;
  for (DrainOrderUnit const& u : o.units)
    want.insert(u.name);
  for (DrainRun const& p : s.passes)
    if (!is_over(p.state) && p.servers == o.servers && names_of(s, p.id) == want) {
      id = p.id;
      return false;
    }
  for (DrainUnit const& u : s.units)
    if (want.count(u.name) > 0) throw DrainOrderError(409, u.name + ": already in pass " + std::to_string(u.pass));
  std::size_t over = 0;
  for (DrainRun const& p : s.passes)
    over += is_over(p.state) ? 1 : 0;
  for (auto it = s.passes.begin(); over >= kept_passes && it != s.passes.end();) {
    if (!is_over(it->state)) {
      ++it;
      continue;
    }
    it = s.passes.erase(it);
    --over;
  }
  DrainRun p;
  p.id = id;
  p.servers = o.servers;
  p.state = DrainRunState::running;
  p.headroom = o.headroom;
  p.max_out = o.maxUnavailable;
  p.patience = o.patienceS;
  p.replaced = o.replaced;
  p.had = o.had;
  p.total = static_cast<u32>(o.units.size());
  p.digest = digest;
  s.passes.push_back(std::move(p));
  for (DrainOrderUnit const& u : o.units) {
    DrainUnit x;
    x.pass = id;
    x.name = u.name;
    x.node = u.node;
    x.wave = u.wave;
    s.units.push_back(std::move(x));
  }
  return true;
}

bool apply(ReplicatedState& s, DrainActions const& m) {
  bool any = false;
  for (StageTransition const& x : m.moves) {
    DrainRun const* p = s.pass(x.pass);
    if (p == nullptr || is_over(p->state)) continue;
    for (DrainUnit& u : s.units) {
      if (u.pass != x.pass || u.name != x.name || u.stage != x.from) continue;
      if (p->state == DrainRunState::paused && u.stage == DrainStage::waiting) continue;  // nothing more is begun
      if (u.stage == x.to && u.incarnation == x.incarnation) continue;
      u.stage = x.to;
      u.incarnation = x.incarnation;
      any = true;
    }
  }
  for (DrainRunMessage const& w : m.words)
    if (DrainRun* p = pass_in(s, w.pass); p != nullptr && !is_over(p->state) && p->why != w.why) {
      p->why = w.why;
      any = true;
    }
  std::map<u64, u32> back;
  for (DrainUnit const& u : s.units)
    back[u.pass] += u.stage == DrainStage::back ? 1 : 0;
  for (DrainRun& p : s.passes) {
    if (is_over(p.state) || p.back == back[p.id]) continue;
    p.back = back[p.id];
    any = true;
    if (p.back < p.total) continue;
    p.state = DrainRunState::done;
    p.why.clear();
    drop_units(s, p.id);
  }
  return any;
}

bool command(ReplicatedState& s, u64 id, DrainCommand o, std::string const& unit) {
  DrainRun* p = pass_in(s, id);
  if (p == nullptr) throw DrainOrderError(404, "no such pass: " + std::to_string(id));
  if (o == DrainCommand::abort && p->state == DrainRunState::aborted) return false;
  if (is_over(p->state)) throw DrainOrderError(409, std::string("pass is ") + pass_state_str(p->state));
  switch (o) {
    case DrainCommand::pause:
      if (p->state == DrainRunState::paused) return false;
      p->state = DrainRunState::paused;
      return true;
    case DrainCommand::resume:
      if (p->state == DrainRunState::running) return false;
      p->state = DrainRunState::running;
      return true;
    case DrainCommand::abort:
      p->state = DrainRunState::aborted;
      p->why = "aborted by the operator";
      drop_units(s, id);
      return true;
    case DrainCommand::take_back: {
      auto const it = std::find_if(s.units.begin(), s.units.end(),
                                   [&](DrainUnit const& u) { return u.pass == id && u.name == unit; });
      if (it == s.units.end()) throw DrainOrderError(404, "not in this pass: " + unit);
      if (it->stage == DrainStage::back) return false;
      it->stage = DrainStage::back;
      apply(s, DrainActions{});  // it may have been the last
      return true;
    }
  }
  return false;
}

}  // namespace dockbend
