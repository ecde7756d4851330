#include "rollout/rollout.hpp"

#include <algorithm>
#include <cmath>

namespace dockbend {

char const* phase_str(RollPhase p) {
  switch (p) {
    case RollPhase::holding: return "holding";
    case RollPhase::paused: return "paused";
    case RollPhase::stopped: return "stopped";
    case RollPhase::committing: return "committing";
    case RollPhase::done: return "done";
    case RollPhase::fell_back: return "fell back";
    case RollPhase::aborted: return "aborted";
    case RollPhase::overtaken: return "overtaken";
  }
  return "unknown";
}

bool is_over(RollPhase p) {
  return p >= RollPhase::done;
}

Rollout::Rollout(u64 id, RolloutPlan const& plan, Secs now)
    : id_(id), plan_(plan), since_(now), until_(now + plan.giveUpS) {}

std::vector<std::string> spread_order(std::map<std::string, std::string> const& site_zone) {
  std::map<std::string, std::vector<std::string>> by_zone;
  for (auto const& [s, z] : site_zone)
    by_zone[z].push_back(s);
  std::vector<std::string> out;
  for (std::size_t i = 0; out.size() < site_zone.size(); ++i)
    for (auto const& [z, v] : by_zone)
      if (i < v.size()) out.push_back(v[i]);
  return out;
}

Rollout::Step Rollout::step(Secs now, std::map<std::string, std::string> const& in_touch) {
  Step st;
  if (drop_due_) {
    drop_due_ = false;
    st.drop = true;
  }
  if (is_over(phase_) || phase_ == RollPhase::committing) return st;
  if (now >= until_) {
    phase_ = RollPhase::fell_back;
    st.drop = true;
    return st;
  }
  std::vector<std::string> const order = spread_order(in_touch);
  for (;;) {
    std::size_t const n =
        static_cast<std::size_t>(std::ceil(plan_.stages[stage_] * static_cast<double>(order.size()) - 1e-9));
    holding_ = 0;
    for (std::size_t i = 0; i < n; ++i) {
      if (held_.count(order[i]) > 0) {
        ++holding_;
        continue;
      }
      auto const it = sent_.find(order[i]);
      if (refused_.count(order[i]) > 0 || (it != sent_.end() && now - it->second < plan_.resendS)) continue;
      sent_[order[i]] = now;
      asked_.insert(order[i]);
      st.send.push_back(order[i]);
    }
    wanted_ = static_cast<std::size_t>(std::ceil(plan_.enough * static_cast<double>(n) - 1e-9));
    if (phase_ == RollPhase::stopped) return st;
    if (holding_ < wanted_) {
      phase_ = now - since_ > plan_.stageS ? RollPhase::paused : RollPhase::holding;
      return st;
    }
    if (stage_ + 1 == plan_.stages.size()) {
      phase_ = RollPhase::committing;
      st.commit = true;
      return st;
    }
    ++stage_;
    since_ = now;
    phase_ = RollPhase::holding;
  }
}

void Rollout::heard(std::string const& site, bool holds) {
  if (asked_.count(site) == 0) return;
  (holds ? held_ : refused_).insert(site);
}

void Rollout::lost(std::string const& site) {
  held_.erase(site);
  refused_.erase(site);
  sent_.erase(site);
}

bool Rollout::pause() {
  if (phase_ != RollPhase::holding && phase_ != RollPhase::paused) return false;
  phase_ = RollPhase::stopped;
  return true;
}

bool Rollout::resume(Secs now) {
  if (phase_ != RollPhase::stopped) return false;
  phase_ = RollPhase::holding;
  since_ = now;
  return true;
}

bool Rollout::abort() {
  if (is_over(phase_) || phase_ == RollPhase::committing) return false;
  phase_ = RollPhase::aborted;
  drop_due_ = true;
  return true;
}

bool Rollout::heed(RollOrder o, Secs now) {
  bool const ok = o == RollOrder::pause ? pause() : o == RollOrder::resume ? resume(now) : abort();
  if (ok) heeded_.insert(o);
  return ok || heeded_.count(o) > 0;
}

void Rollout::overtaken() {
  if (is_over(phase_) || phase_ == RollPhase::committing) return;
  phase_ = RollPhase::overtaken;
  drop_due_ = true;
}

void Rollout::committed(bool stands) {
  if (phase_ != RollPhase::committing) return;
  phase_ = stands ? RollPhase::done : RollPhase::fell_back;
  drop_due_ = !stands;
}

}  // namespace dockbend
