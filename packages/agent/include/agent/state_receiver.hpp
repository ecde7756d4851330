/// Takes over what controllers say of the committed state and of servers, and has the proxy told.
#pragma once
#include <string>

#include "agent/agent_context.hpp"
#include "agent/claim_sender.hpp"
#include "agent/controller_links.hpp"
#include "agent/proxy_session.hpp"
#include "consensus/messages.hpp"

namespace dockbend {

/// Invariant: the state is replaced only by one of a higher ballot.
class StateReceiver {
 public:
  StateReceiver(AgentContext& context, ControllerLinks& controllers, ProxySession& proxy, ClaimSender& claims)
      : context_(context), controllers_(controllers), proxy_(proxy), claims_(claims) {}

  /// Throws codec::MalformedMessage if a part can't be read.
  void on_update(ControllerLink& from, StateUpdate const& update, Seconds now);
  /// The same.
  void on_catch_up_response(ControllerLink& from, CommitNotice const& notice);

 private:
  /// Each is encoded, and may be empty; the difference counts only without a state.
  void take_state(ControllerLink& from, std::string const& state, std::string const& difference);
  void take(ReplicatedState state, StateDelta const* difference);
  void take_difference(ControllerLink& from, StateDelta const& difference);
  void take_servers(StateUpdate const& update, Seconds now);
  AgentContext& context_;
  ControllerLinks& controllers_;
  ProxySession& proxy_;
  ClaimSender& claims_;
};

}  // namespace dockbend
