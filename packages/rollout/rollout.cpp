#include "rollout/rollout.hpp"

#include <algorithm>
#include <cmath>

namespace dockbend {
namespace {

/// That share of so many, rounded up; an error of the multiplication does not add one.
std::size_t share_of(double share, std::size_t count) {
  double constexpr kRoundingError = 1e-9;
  return static_cast<std::size_t>(std::ceil(share * static_cast<double>(count) - kRoundingError));
}

}  // namespace

std::vector<std::string> order_across_zones(ReachableProxies const& proxies) {
  std::map<std::string, std::vector<std::string>> by_zone;
  for (auto const& [proxy, zone] : proxies)
    by_zone[zone].push_back(proxy);
  std::vector<std::string> order;
  for (std::size_t i = 0; order.size() < proxies.size(); ++i)
    for (auto const& [zone, in_zone] : by_zone)
      if (i < in_zone.size()) order.push_back(in_zone[i]);
  return order;
}

Rollout::Rollout(u64 id, RolloutOptions const& options, Seconds now)
    : id_(id), options_(options), stage_started_at_(now), falls_back_at_(now + options.giveUpS) {}

Rollout::Actions Rollout::advance(Seconds now, ReachableProxies const& reachable) {
  Actions actions;
  actions.withdraw = is_withdrawal_due_;
  is_withdrawal_due_ = false;
  if (is_over(phase_) || phase_ == RolloutPhase::committing) return actions;
  if (now >= falls_back_at_) {
    phase_ = RolloutPhase::fell_back;
    actions.withdraw = true;
    return actions;
  }
  std::vector<std::string> const order = order_across_zones(reachable);
  bool is_stage_complete = true;
  while (is_stage_complete) {
    std::size_t const in_stage = share_of(options_.stages[stage_], order.size());
    required_proxies_ = share_of(options_.enough, in_stage);
    stage_on_first(in_stage, order, now, actions);
    is_stage_complete = complete_stage(now, actions);
  }
  return actions;
}

/// Sends the change to those of the first `proxies` that neither have it staged nor refused it nor were asked lately.
void Rollout::stage_on_first(std::size_t proxies, std::vector<std::string> const& order, Seconds now,
                             Actions& actions) {
  staged_proxies_ = 0;
  for (std::size_t i = 0; i < proxies; ++i) {
    std::string const& proxy = order[i];
    if (staged_.count(proxy) > 0) {
      ++staged_proxies_;
      continue;
    }
    auto const sent_at = sent_at_.find(proxy);
    bool const was_sent_lately = sent_at != sent_at_.end() && now - sent_at->second < options_.resendS;
    if (refused_.count(proxy) > 0 || was_sent_lately) continue;
    sent_at_[proxy] = now;
    asked_.insert(proxy);
    actions.stage_on.push_back(proxy);
  }
}

/// Judges the stage in progress. True if the next one has begun.
bool Rollout::complete_stage(Seconds now, Actions& actions) {
  if (phase_ == RolloutPhase::stopped) return false;
  if (staged_proxies_ < required_proxies_) {
    phase_ = now - stage_started_at_ > options_.stageS ? RolloutPhase::paused : RolloutPhase::holding;
    return false;
  }
  if (stage_ + 1 == options_.stages.size()) {
    phase_ = RolloutPhase::committing;
    actions.commit = true;
    return false;
  }
  ++stage_;
  stage_started_at_ = now;
  phase_ = RolloutPhase::holding;
  return true;
}

void Rollout::on_stage_response(std::string const& proxy, bool is_staged) {
  if (asked_.count(proxy) == 0) return;
  (is_staged ? staged_ : refused_).insert(proxy);
}

void Rollout::on_proxy_lost(std::string const& proxy) {
  staged_.erase(proxy);
  refused_.erase(proxy);
  sent_at_.erase(proxy);
}

bool Rollout::pause() {
  if (phase_ != RolloutPhase::holding && phase_ != RolloutPhase::paused) return false;
  phase_ = RolloutPhase::stopped;
  return true;
}

bool Rollout::resume(Seconds now) {
  if (phase_ != RolloutPhase::stopped) return false;
  phase_ = RolloutPhase::holding;
  stage_started_at_ = now;
  return true;
}

bool Rollout::abort() {
  if (is_over(phase_) || phase_ == RolloutPhase::committing) return false;
  phase_ = RolloutPhase::aborted;
  is_withdrawal_due_ = true;
  return true;
}

bool Rollout::apply_command(RolloutCommand command, Seconds now) {
  bool const is_applied = command == RolloutCommand::pause    ? pause()
                          : command == RolloutCommand::resume ? resume(now)
                                                              : abort();
  if (is_applied) applied_commands_.insert(command);
  return applied_commands_.count(command) > 0;
}

void Rollout::on_overtaken() {
  if (is_over(phase_) || phase_ == RolloutPhase::committing) return;
  phase_ = RolloutPhase::overtaken;
  is_withdrawal_due_ = true;
}

void Rollout::on_commit_result(bool is_committed) {
  if (phase_ != RolloutPhase::committing) return;
  phase_ = is_committed ? RolloutPhase::done : RolloutPhase::fell_back;
  is_withdrawal_due_ = !is_committed;
}

}  // namespace dockbend
