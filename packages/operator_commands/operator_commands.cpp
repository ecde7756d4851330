#include "operator_commands/operator_commands.hpp"

#include <algorithm>

namespace dockbend {
namespace {
Outcome taken(bool changed, u64 id = 0) {
  return Outcome{Ruling::taken, changed, "", id};
}
Outcome refused(Ruling v, std::string why) {
  return Outcome{v, false, std::move(why), 0};
}
Ruling ruling_of(OrderFault const& e) {
  return e.code == 404 ? Ruling::unknown : e.code == 409 ? Ruling::clash : Ruling::invalid;
}
u32 bit(PassOrder o) {
  return 1u << static_cast<u32>(o);
}
}  // namespace

int status_of(Ruling v) {
  switch (v) {
    case Ruling::taken: return 200;
    case Ruling::invalid: return 400;
    case Ruling::unknown: return 404;
    case Ruling::clash: return 409;
    case Ruling::unsettled: return 504;
  }
  return 504;
}

Outcome unsettled(std::string why) {
  return refused(Ruling::unsettled, std::move(why));
}

Amend::Amend(Amendment a, State const* known) : a_(std::move(a)) {
  if (known == nullptr || known->items.empty()) return;
  for (Item const& i : a_.items)
    known_.emplace(i.key, Gen());
  for (Need const& n : a_.needs)
    known_.emplace("s/" + n.service, Gen());
  for (Item const& i : known->items)
    if (auto const it = known_.find(i.key); it != known_.end()) it->second = i.gen;
}

Gen Amend::known(std::string const& key) const {
  auto const it = known_.find(key);
  return it == known_.end() ? Gen() : it->second;
}

// Could the call have been refused at some moment since it came in, though it is allowed now
// (`joined`: what stands with it)? One of its items then stood with another body, and has
// been overtaken; or a service that it names was not there, and has been set.
bool Amend::may_be_refused(std::map<std::string, Item> const& joined) const {
  for (Item const& i : a_.items)
    if (joined.at(i.key).gen > i.gen && known(i.key) <= i.gen) return true;
  std::unordered_map<std::string_view, Gen> own;
  if (!a_.needs.empty())
    for (Item const& i : a_.items)
      own.emplace(i.key, i.gen);
  for (Need const& n : a_.needs) {
    std::string const k = "s/" + n.service;
    Gen const stands = joined.at(k).gen;
    auto const it = own.find(k);
    bool const brings_it = it != own.end() && it->second >= stands;
    if (!brings_it && stands != known(k)) return true;
  }
  return false;
}

Outcome Amend::apply(State& s) const {
  auto items = s.by_key();
  std::string field;
  switch (join(items, a_, field)) {
    case Joined::same: return taken(false);
    case Joined::clash: return refused(Ruling::clash, field + ": another body stands under this generation");
    case Joined::unknown_service: return refused(Ruling::invalid, field + ": unknown service");
    case Joined::changed: break;
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
  return std::find_if(s.evacs.begin(), s.evacs.end(), [&](Evac const& e) { return e.zone == zone; });
}
u64 counter_of(State const& s, std::string const& zone) {
  auto const it = evac_of(s, zone);
  return it == s.evacs.end() ? 0 : it->counter;
}
std::vector<std::pair<u64, bool>> passes_of(State const& s) {
  std::vector<std::pair<u64, bool>> v;
  for (Pass const& p : s.passes)
    v.emplace_back(p.id, is_over(p.state));
  return v;
}
}  // namespace

Evacuate::Evacuate(std::string zone, bool on, State const* known, bool here)
    : zone_(std::move(zone)), on_(on), here_(here), since_(known == nullptr ? 0 : counter_of(*known, zone_)) {}

Outcome Evacuate::apply(State& s) const {
  auto const it = evac_of(s, zone_);
  if (it == s.evacs.end() && !here_) return refused(Ruling::unknown, "no such zone");
  if ((it != s.evacs.end() && it->on) == on_) return taken(false);
  if (counter_of(s, zone_) > since_) return unsettled("another order came between");
  if (it == s.evacs.end()) {
    Evac e;
    e.zone = zone_;
    e.counter = 1;
    e.on = true;
    s.evacs.push_back(std::move(e));
  } else {
    it->on = on_;
    ++it->counter;
  }
  return taken(true);
}

StartPass::StartPass(Order o, State const* known) : o_(std::move(o)) {
  if (known != nullptr) known_ = passes_of(*known);
}

Outcome StartPass::apply(State& s) const {
  u64 id = 0;
  State t;
  t.passes = s.passes;
  t.units = s.units;
  try {
    if (!start(t, o_, id)) return taken(false, id);
  } catch (OrderFault const& e) {
    return refused(ruling_of(e), e.what());
  }
  // What stood in its way may have ended meanwhile.
  if (passes_of(s) != known_) return unsettled("other passes came between");
  s.passes = std::move(t.passes);
  s.units = std::move(t.units);
  return taken(true, id);
}

CommandPass::CommandPass(u64 id, PassOrder o, std::string unit, State const* known)
    : id_(id), o_(o), unit_(std::move(unit)) {
  if (Pass const* p = known == nullptr ? nullptr : known->pass(id); p != nullptr) since_ = p->turn;
}

Outcome CommandPass::apply(State& s) const {
  auto const p = std::find_if(s.passes.begin(), s.passes.end(), [&](Pass const& x) { return x.id == id_; });
  if (p == s.passes.end()) return refused(Ruling::unknown, "no such pass: " + std::to_string(id_));
  bool const over = is_over(p->state), turns = o_ == PassOrder::pause || o_ == PassOrder::resume;
  if (over && (p->heard & bit(o_)) != 0) return taken(false, id_);
  bool const so = p->state == (o_ == PassOrder::pause ? PassState::paused : PassState::running);
  if (!over && (!since_ || (turns && !so && p->turn > *since_))) return unsettled("another order came between");
  try {
    bool const changed = command(s, id_, o_, unit_);
    bool const first = (p->heard & bit(o_)) == 0;
    p->heard |= bit(o_);
    if (changed && turns) ++p->turn;
    return taken(changed || first, id_);
  } catch (OrderFault const& e) {
    return refused(ruling_of(e), e.what());
  }
}

Outcome HandOver::judge(State const& s) const {
  Term const* t = s.term(duty);
  if (t == nullptr) return unsettled("nobody has the duty yet");
  if (t->next == node || (t->holder == node && t->next.empty())) return taken(false);
  return unsettled("not handed over yet");
}

}  // namespace dockbend
