/// The connections that others open to this controller, and the requests that come over them.
#pragma once
#include "controller/digest_gossip.hpp"
#include "transport/message_dispatch.hpp"

namespace dockbend {

/// Accepts connections of proxies, agents and peer controllers and hands each message to its service. The sessions
/// live in `ControllerContext::sessions`, from the connection's first byte to its end.
class InboundSessions {
 public:
  InboundSessions(ControllerServices const& services, ContactProber const& prober, DigestGossip& gossip);

  /// A new connection of the listener.
  void accept(ConnectionPtr connection);
  /// Tells the proxies that are fed by us whether we are in contact: out of contact they choose another controller.
  void notify_contact();
  /// Ends connections over which nothing came for long: half a frame that never ends, or a machine without power, is
  /// not kept for ever.
  void end_silent(Seconds now);

 private:
  struct Request {
    InboundSession& session;
    Message const& message;
    Seconds now;
  };

  void on_message(InboundSession& session, Message const& message);
  ProxyHeartbeatResponse heartbeat_response(InboundSession const& session) const;

  // One handler a type of message.
  void on_handshake_request(Request const& request);
  void on_prepare_request(Request const& request);
  void on_accept_request(Request const& request);
  void on_commit_notice(Request const& request);
  void on_catch_up_request(Request const& request);
  void on_server_records(Request const& request);
  void on_digest(Request const& request);
  void on_store_departures_request(Request const& request);
  void on_proxy_heartbeat(Request const& request);
  void on_subscribe(Request const& request);
  void on_contact_probe(Request const& request);
  void on_proxy_records(Request const& request);
  void on_join_request(Request const& request);
  void on_proxy_records_request(Request const& request);
  void on_usage_update(Request const& request);
  void on_quota_lease_request(Request const& request);
  void on_stage_forward_request(Request const& request);
  void on_survey_request(Request const& request);
  void on_survey_response(Request const& request);
  void on_hand_over_command(Request const& request);
  void on_claim_request(Request const& request);
  void on_release_request(Request const& request);
  void on_store_answer(Request const& request);
  void on_fetch_answer_request(Request const& request);
  void on_stage_response(Request const& request);
  void on_rollout_status(Request const& request);
  void on_key_copy_request(Request const& request);

  ControllerServices services_;
  ControllerContext& context_;
  ContactProber const& prober_;
  DigestGossip& gossip_;
  MessageDispatch<InboundSessions, Request const&> const handlers_;
};

}  // namespace dockbend
