#include "operator_commands/operator_commands.hpp"

#include <algorithm>

namespace dockbend {
namespace {
CommandResult taken(bool changed, u64 id = 0) {
  return CommandResult{CommandStatus::taken, changed, "", id};
}
CommandResult refused(CommandStatus v, std::string why) {
  return CommandResult{v, false, std::move(why), 0};
}
CommandStatus ruling_of(DrainOrderError const& e) {
  return e.code == 404 ? CommandStatus::unknown : e.code == 409 ? CommandStatus::clash : CommandStatus::invalid;
}
u32 bit(DrainCommand o) {
  return 1u << static_cast<u32>(o);
}
}  // namespace

int status_of(CommandStatus v) {
  switch (v) {
    case CommandStatus::taken: return 200;
    case CommandStatus::invalid: return 400;
    case CommandStatus::unknown: return 404;
    case CommandStatus::clash: return 409;
    case CommandStatus::unsettled: return 504;
  }
  return 504;
}

CommandResult unsettled(std::string why) {
  return refused(CommandStatus::unsettled, std::move(why));
}

AmendConfiguration::AmendConfiguration(ConfigChange a, ReplicatedState const* known) : a_(std::move(a)) {
  if (known == nullptr || known->items.empty()) return;
  for (ConfigItem const& i : a_.items)
    known_.emplace(i.key, Generation());
  for (ServiceReference const& n : a_.needs)
    known_.emplace("s/" + n.service, Generation());
  for (ConfigItem const& i : known->items)
    if (auto const it = known_.find(i.key); it != known_.end()) it->second = i.gen;
}

Generation AmendConfiguration::known(std::string const& key) const {
  auto const it = known_.find(key);
  return it == known_.end() ? Generation() : it->second;
}

// Could the call have been refused at some moment since it came in, though it is allowed now
// (`joined`: what stands with it)? One of its items then stood with another body, and has
// been overtaken; or a service that it names was not there, and has been set.
bool AmendConfiguration::may_be_refused(std::map<std::string, ConfigItem> const& joined) const {
  for (ConfigItem const& i : a_.items)
    if (joined.at(i.key).gen > i.gen && known(i.key) <= i.gen) return true;
  std::unordered_map<std::string_view, Generation> own;
  if (!a_.needs.empty())
    for (ConfigItem const& i : a_.items)
      own.emplace(i.key, i.gen);
  for (ServiceReference const& n : a_.needs) {
    std::string const k = "s/" + n.service;
    Generation const stands = joined.at(k).gen;
    auto const it = own.find(k);
    bool const brings_it = it != own.end() && it->second >= stands;
    if (!brings_it && stands != known(k)) return true;
  }
  return false;
}

CommandResult AmendConfiguration::apply(ReplicatedState& s) const {
  auto items = s.by_key();
  std::string field;
  switch (join(items, a_, field)) {
    case MergeResult::same: return taken(false);
    case MergeResult::clash:
      return refused(CommandStatus::clash, field + ": another body stands under this generation");
    case MergeResult::unknown_service: return refused(CommandStatus::invalid, field + ": unknown service");
    case MergeResult::changed: break;
  }
  if (may_be_refused(items)) return unsettled("other changes came between");
  s.items.clear();
  for (auto& [k, i] : items)
    s.items.push_back(std::move(i));
  return taken(true);
}

namespace {
template <class S>
auto evac_of(S& s, std::string const& zone) {
  return std::find_if(s.evacuations.begin(), s.evacuations.end(), [&](Evacuation const& e) { return e.zone == zone; });
}
u64 counter_of(ReplicatedState const& s, std::string const& zone) {
  auto const it = evac_of(s, zone);
  return it == s.evacuations.end() ? 0 : it->counter;
}
std::vector<std::pair<u64, bool>> passes_of(ReplicatedState const& s) {
  std::vector<std::pair<u64, bool>> v;
  for (DrainRun const& p : s.passes)
    v.emplace_back(p.id, is_over(p.state));
  return v;
}
}  // namespace

SetEvacuation::SetEvacuation(std::string zone, bool on, ReplicatedState const* known, bool here)
    : zone_(std::move(zone)), on_(on), here_(here), since_(known == nullptr ? 0 : counter_of(*known, zone_)) {}

CommandResult SetEvacuation::apply(ReplicatedState& s) const {
  auto const it = evac_of(s, zone_);
  if (it == s.evacuations.end() && !here_) return refused(CommandStatus::unknown, "no such zone");
  if ((it != s.evacuations.end() && it->on) == on_) return taken(false);
  if (counter_of(s, zone_) > since_) return unsettled("another order came between");
  if (it == s.evacuations.end()) {
    Evacuation e;
    e.zone = zone_;
    e.counter = 1;
    e.on = true;
    s.evacuations.push_back(std::move(e));
  } else {
    it->on = on_;
    ++it->counter;
  }
  return taken(true);
}

StartDrain::StartDrain(DrainOrder o, ReplicatedState const* known) : o_(std::move(o)) {
  if (known != nullptr) known_ = passes_of(*known);
}

CommandResult StartDrain::apply(ReplicatedState& s) const {
  StartedRun run;
  ReplicatedState t;
  t.passes = s.passes;
  t.units = s.units;
  try {
    run = start_run(t, o_);
    if (!run.is_new) return taken(false, run.id);
  } catch (DrainOrderError const& e) {
    return refused(ruling_of(e), e.what());
  }
  // What stood in its way may have ended meanwhile.
  if (passes_of(s) != known_) return unsettled("other passes came between");
  s.passes = std::move(t.passes);
  s.units = std::move(t.units);
  return taken(true, run.id);
}

ControlDrain::ControlDrain(u64 id, DrainCommand o, std::string unit, ReplicatedState const* known)
    : id_(id), o_(o), unit_(std::move(unit)) {
  if (DrainRun const* p = known == nullptr ? nullptr : known->pass(id); p != nullptr) since_ = p->turn;
}

CommandResult ControlDrain::apply(ReplicatedState& s) const {
  auto const p = std::find_if(s.passes.begin(), s.passes.end(), [&](DrainRun const& x) { return x.id == id_; });
  if (p == s.passes.end()) return refused(CommandStatus::unknown, "no such pass: " + std::to_string(id_));
  bool const over = is_over(p->state), turns = o_ == DrainCommand::pause || o_ == DrainCommand::resume;
  if (over && (p->heard & bit(o_)) != 0) return taken(false, id_);
  bool const so = p->state == (o_ == DrainCommand::pause ? DrainRunState::paused : DrainRunState::running);
  if (!over && (!since_ || (turns && !so && p->turn > *since_))) return unsettled("another order came between");
  try {
    bool const changed = control_run(s, id_, o_, unit_);
    bool const first = (p->heard & bit(o_)) == 0;
    p->heard |= bit(o_);
    if (changed && turns) ++p->turn;
    return taken(changed || first, id_);
  } catch (DrainOrderError const& e) {
    return refused(ruling_of(e), e.what());
  }
}

CommandResult HandOverLease::judge(ReplicatedState const& s) const {
  Lease const* t = s.term(duty);
  if (t == nullptr) return unsettled("nobody has the duty yet");
  if (t->next == node || (t->holder == node && t->next.empty())) return taken(false);
  return unsettled("not handed over yet");
}

}  // namespace dockbend
