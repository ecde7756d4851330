/// What the proxy says to its agent.
#pragma once
#include "agent/agent_context.hpp"
#include "agent/claim_sender.hpp"
#include "agent/controller_links.hpp"
#include "agent/proxy_session.hpp"
#include "transport/message_dispatch.hpp"

namespace dockbend {

/// One handler for each type of message; messages of other types are counted as rejected input. Handlers throw
/// codec::MalformedMessage, which ends the connection.
class ProxyRequests {
 public:
  ProxyRequests(AgentContext& context, ControllerLinks& controllers, ProxySession& proxy, ClaimSender& claims);
  void on_message(Connection& connection, Message const& message);

 private:
  void on_load_report(Connection& connection, Message const& message);
  void on_acquire_key_request(Connection& connection, Message const& message);
  void on_key_outcome(Connection& connection, Message const& message);
  void on_usage_update(Connection& connection, Message const& message);
  void on_quota_lease_request(Connection& connection, Message const& message);
  void on_survey_response(Connection& connection, Message const& message);
  void on_stage_response(Connection& connection, Message const& message);
  /// Without effect if ip is null or that controller is not connected.
  void forward(std::string const* ip, MessageType type, u32 tag, Message const& message);

  AgentContext& context_;
  ControllerLinks& controllers_;
  ProxySession& proxy_;
  ClaimSender& claims_;
  MessageDispatch<ProxyRequests, Connection&, Message const&> const handlers_;
};

}  // namespace dockbend
