/// What controllers say to the agent.
#pragma once
#include "agent/agent_context.hpp"
#include "agent/claim_sender.hpp"
#include "agent/controller_links.hpp"
#include "agent/proxy_session.hpp"
#include "agent/state_receiver.hpp"
#include "transport/message_dispatch.hpp"

namespace dockbend {

/// One handler for each type of message; messages of other types are counted as rejected input. Handlers throw
/// codec::MalformedMessage, which ends the link's connection.
class ControllerMessages {
 public:
  ControllerMessages(AgentContext& context, ControllerLinks& controllers, ProxySession& proxy, ClaimSender& claims);
  void on_message(ControllerLink& from, Message const& message);

 private:
  struct Incoming {
    ControllerLink& from;
    Message const& message;
    Seconds now;
  };

  void on_handshake_response(Incoming const& incoming);
  void on_heartbeat_response(Incoming const& incoming);
  void on_contact_probe_response(Incoming const& incoming);
  void on_state_update(Incoming const& incoming);
  void on_catch_up_response(Incoming const& incoming);
  void on_quota_lease_response(Incoming const& incoming);
  void on_survey_request(Incoming const& incoming);
  void on_stage_request(Incoming const& incoming);
  void on_claim_response(Incoming const& incoming);
  void on_fetch_answer_response(Incoming const& incoming);
  /// Parts of a heartbeat's response.
  void measure_round_trip(Incoming const& incoming, WallSeconds wall);
  void take_proxy_counts(ControllerLink& from, ProxyHeartbeatResponse const& response);
  void take_drain_instruction(ControllerLink const& from, ProxyHeartbeatResponse const& response);
  void catch_up(Incoming const& incoming, ProxyHeartbeatResponse const& response);

  AgentContext& context_;
  ControllerLinks& controllers_;
  ProxySession& proxy_;
  ClaimSender& claims_;
  StateReceiver states_;
  MessageDispatch<ControllerMessages, Incoming const&> const handlers_;
};

}  // namespace dockbend
