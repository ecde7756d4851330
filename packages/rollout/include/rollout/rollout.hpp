/// The leader's side of a rollout: one configuration change is brought to the proxies in stages. They only check and
/// keep it (`StagedChanges`); it is committed once every stage is complete. No I/O.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "rollout/rollout_phase.hpp"
#include "settings/settings.hpp"

namespace dockbend {

/// Zone by proxy address: the proxies that serve requests and are heard from.
using ReachableProxies = std::map<std::string, std::string>;

/// One rollout, at the controller that leads it.
///
/// Invariants: the commit is asked for exactly once, and only after every stage was complete; nothing is withdrawn
/// after it was asked for; before that, the end of a rollout withdraws what is staged and changes nothing of how
/// requests are handled.
class Rollout {
 public:
  Rollout(u64 id, RolloutOptions const& options, Seconds now);

  /// What the caller has to do now.
  struct Actions {
    std::vector<std::string> stage_on;  // proxies to send the change to, the first time or again
    bool commit = false;                // propose the change to the consensus group
    bool withdraw = false;              // have every proxy in asked_proxies() drop the change
  };
  /// Goes on with the rollout. Only reachable proxies count, so none that is dead, frozen or behind a partition holds
  /// it up for long.
  Actions advance(Seconds now, ReachableProxies const& reachable);
  /// @param is_staged the proxy keeps the change; false: it refused it
  void on_stage_response(std::string const& proxy, bool is_staged);
  /// The proxy's process ended, and with it what it had staged.
  void on_proxy_lost(std::string const& proxy);

  /// An operator's order: true if it applies now, or did before and is repeated.
  bool apply_command(RolloutCommand command, Seconds now);
  /// Each returns false if the phase does not allow it.
  bool pause();
  bool resume(Seconds now);
  bool abort();
  /// Higher versions of all its items were committed by others.
  void on_overtaken();
  /// The consensus group's decision on the commit.
  void on_commit_result(bool is_committed);

  u64 id() const { return id_; }
  RolloutPhase phase() const { return phase_; }
  /// Index of the stage in progress.
  std::size_t stage() const { return stage_; }
  std::size_t stage_count() const { return options_.stages.size(); }
  /// How many proxies of the stage in progress must have the change staged, and how many have.
  std::size_t required_proxies() const { return required_proxies_; }
  std::size_t staged_proxies() const { return staged_proxies_; }
  /// Every proxy that the change was ever sent to.
  std::set<std::string> const& asked_proxies() const { return asked_; }
  /// When it falls back unless every stage is complete.
  Seconds falls_back_at() const { return falls_back_at_; }

 private:
  void stage_on_first(std::size_t proxies, std::vector<std::string> const& order, Seconds now, Actions& actions);
  bool complete_stage(Seconds now, Actions& actions);

  u64 id_;
  RolloutOptions options_;
  RolloutPhase phase_ = RolloutPhase::holding;
  std::size_t stage_ = 0, required_proxies_ = 0, staged_proxies_ = 0;
  Seconds stage_started_at_, falls_back_at_;
  bool is_withdrawal_due_ = false;
  std::set<RolloutCommand> applied_commands_;
  std::set<std::string> asked_, staged_, refused_;  // proxies
  std::map<std::string, Seconds> sent_at_;          // by proxy
};

/// An order of the proxies in which every prefix is spread over the zones.
std::vector<std::string> order_across_zones(ReachableProxies const& proxies);

}  // namespace dockbend
