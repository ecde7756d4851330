/// What the parts of the agent share.
#pragma once
#include <event2/event.h>

#include <optional>

#include "agent/reply_routes.hpp"
#include "consensus/replicated_state.hpp"
#include "idempotency/claim_coordinator.hpp"
#include "server_registry/server_registry.hpp"
#include "settings/settings.hpp"
#include "usage/median_clock.hpp"
#include "usage/usage_totals.hpp"

namespace dockbend {

/// One agent process's state. Everything runs on the event loop's thread.
struct AgentContext {
  AgentContext(event_base* event_loop, Settings const& initial_settings)
      : loop(event_loop),
        settings(initial_settings),
        claims(settings.zone, settings.region, settings.nodeName),
        started_at(steady_now()) {}
  AgentContext(AgentContext const&) = delete;

  event_base* loop;  ///< owned by run_daemon
  Settings settings;
  std::optional<ReplicatedState> state;  ///< the newest committed one that is known; its ballot never falls
  ServerRegistry servers;
  UsageTotals usage;  ///< what our proxy counted and is not in a frozen report yet
  MedianClock clock;
  ClaimCoordinator<> claims;
  ReplyRoutes stage_replies, survey_replies;  ///< by rollout, by survey
  Seconds started_at;

  /// Of the state; the lowest one without a state.
  Ballot ballot() const { return state ? state->ballot : Ballot(); }
};

}  // namespace dockbend
