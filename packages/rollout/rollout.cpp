#include "rollout/rollout.hpp"

#include <algorithm>
#include <cmath>

namespace dockbend {

char const* phase_str(RolloutPhase p) {
  switch (p) {
    case RolloutPhase::holding: return "holding";
    case RolloutPhase::paused: return "paused";
    case RolloutPhase::stopped: return "stopped";
    case RolloutPhase::committing: return "committing";
    case RolloutPhase::done: return "done";
    case RolloutPhase::fell_back: return "fell back";
    case RolloutPhase::aborted: return "aborted";
    case RolloutPhase::overtaken: return "overtaken";
  }
  return "unknown";
}

bool is_over(RolloutPhase p) {
  return p >= RolloutPhase::done;
}

Rollout::Rollout(u64 id, RolloutOptions const& plan, Seconds now)
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

Rollout::Actions Rollout::step(Seconds now, std::map<std::string, std::string> const& in_touch) {
  Actions st;
  if (drop_due_) {
    drop_due_ = false;
    st.drop = true;
  }
  if (is_over(phase_) || phase_ == RolloutPhase::committing) return st;
  if (now >= until_) {
    phase_ = RolloutPhase::fell_back;
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
    if (phase_ == RolloutPhase::stopped) return st;
    if (holding_ < wanted_) {
      phase_ = now - since_ > plan_.stageS ? RolloutPhase::paused : RolloutPhase::holding;
      return st;
    }
    if (stage_ + 1 == plan_.stages.size()) {
      phase_ = RolloutPhase::committing;
      st.commit = true;
      return st;
    }
    ++stage_;
    since_ = now;
    phase_ = RolloutPhase::holding;
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
  if (phase_ != RolloutPhase::holding && phase_ != RolloutPhase::paused) return false;
  phase_ = RolloutPhase::stopped;
  return true;
}

bool Rollout::resume(Seconds now) {
  if (phase_ != RolloutPhase::stopped) return false;
  phase_ = RolloutPhase::holding;
  since_ = now;
  return true;
}

bool Rollout::abort() {
  if (is_over(phase_) || phase_ == RolloutPhase::committing) return false;
  phase_ = RolloutPhase::aborted;
  drop_due_ = true;
  return true;
}

bool Rollout::heed(RolloutCommand o, Seconds now) {
  bool const ok = o == RolloutCommand::pause ? pause() : o == RolloutCommand::resume ? resume(now) : abort();
  if (ok) heeded_.insert(o);
  return ok || heeded_.count(o) > 0;
}

void Rollout::overtaken() {
  if (is_over(phase_) || phase_ == RolloutPhase::committing) return;
  phase_ = RolloutPhase::overtaken;
  drop_due_ = true;
}

void Rollout::committed(bool stands) {
  if (phase_ != RolloutPhase::committing) return;
  phase_ = stands ? RolloutPhase::done : RolloutPhase::fell_back;
  drop_due_ = !stands;
}

}  // namespace dockbend
