#include "agent/controller_messages.hpp"

#include <algorithm>

#include "planning/traffic_survey.hpp"
#include "quorum_contact/quorum_contact.hpp"
#include "rollout/rollout_messages.hpp"
#include "transport/counters.hpp"

namespace dockbend {
namespace {
Seconds constexpr kMostFirstRoundTrip = 1.0;
double constexpr kRoundTripSmoothing = 0.3;
/// Updates are pushed; an agent that stays behind for so long asks for what it lacks, at most so often.
Seconds constexpr kBehindBeforeCatchUp = 0.5, kCatchUpInterval = 1.0;
/// How long a proxy's answer to a survey is waited for.
Seconds constexpr kSurveyMemory = 10;
double constexpr kMillisecondsPerSecond = 1000.0;
}  // namespace

ControllerMessages::ControllerMessages(AgentContext& context, ControllerLinks& controllers, ProxySession& proxy,
                                       ClaimSender& claims)
    : context_(context),
      controllers_(controllers),
      proxy_(proxy),
      claims_(claims),
      states_(context, controllers, proxy, claims),
      handlers_{
          {MessageType::handshake_response, &ControllerMessages::on_handshake_response},
          {MessageType::proxy_heartbeat_response, &ControllerMessages::on_heartbeat_response},
          {MessageType::contact_probe_response, &ControllerMessages::on_contact_probe_response},
          {MessageType::state_update, &ControllerMessages::on_state_update},
          {MessageType::catch_up_response, &ControllerMessages::on_catch_up_response},
          {MessageType::quota_lease_response, &ControllerMessages::on_quota_lease_response},
          {MessageType::survey_request, &ControllerMessages::on_survey_request},
          {MessageType::stage_request, &ControllerMessages::on_stage_request},
          {MessageType::claim_response, &ControllerMessages::on_claim_response},
          {MessageType::fetch_answer_response, &ControllerMessages::on_fetch_answer_response},
      } {}

void ControllerMessages::on_message(ControllerLink& from, Message const& message) {
  auto const handler = handlers_.find(message.kind);
  if (handler == nullptr) {
    ++rejected_input().letters;
    return;
  }
  (this->*handler)(Incoming{from, message, steady_now()});
}

void ControllerMessages::on_handshake_response(Incoming const& incoming) {
  HandshakeResponse const response = incoming.message.as<HandshakeResponse>();
  ControllerLink& from = incoming.from;
  if (from.handshake_sent_at > 0) {
    from.round_trip = std::min(kMostFirstRoundTrip, incoming.now - from.handshake_sent_at);
    context_.claims.set_round_trip(from.ip, from.round_trip);
    if (response.wall > 0) context_.clock.on_peer_reading(from.ip, incoming.now - 0.5 * from.round_trip, response.wall);
    from.handshake_sent_at = 0;
  }
  for (std::string const& ip : response.controllers)
    if (is_ip(ip)) controllers_.open(ip);
}

void ControllerMessages::on_heartbeat_response(Incoming const& incoming) {
  ProxyHeartbeatResponse const response = incoming.message.as<ProxyHeartbeatResponse>();
  ControllerLink& from = incoming.from;
  if (incoming.message.tag == from.heartbeats) measure_round_trip(incoming, response.wall);
  from.contact.update(response.in_contact, incoming.now);
  take_proxy_counts(from, response);
  if (!response.relays.empty() && !from.link->relayed()) controllers_.set_relays(response.relays);
  take_drain_instruction(from, response);
  catch_up(incoming, response);
  if (from.sends_updates && response.in_contact &&
      from.digest_mismatch.observe(context_.servers.digest(), response.digest))
    from.link->send(MessageType::subscribe, 0, SubscribeRequest{true, context_.ballot()});
}

void ControllerMessages::measure_round_trip(Incoming const& incoming, WallSeconds wall) {
  ControllerLink& from = incoming.from;
  Seconds const round_trip = incoming.now - from.heartbeat_sent_at;
  from.round_trip = from.round_trip * (1 - kRoundTripSmoothing) + kRoundTripSmoothing * round_trip;
  context_.claims.set_round_trip(from.ip, from.round_trip);
  if (wall > 0) context_.clock.on_peer_reading(from.ip, incoming.now - 0.5 * round_trip, wall);
}

// They are sent only if they have changed.
void ControllerMessages::take_proxy_counts(ControllerLink& from, ProxyHeartbeatResponse const& response) {
  if (response.sites.empty()) return;
  from.proxies_by_zone.clear();
  for (ZoneProxyCount const& entry : response.sites)
    from.proxies_by_zone[entry.zone] = entry.n;
  proxy_.send_proxy_counts(controllers_.proxies_by_zone());
}

// An instruction from a controller out of contact may be old.
void ControllerMessages::take_drain_instruction(ControllerLink const& from, ProxyHeartbeatResponse const& response) {
  if (!controllers_.is_primary(from) || !response.in_contact) return;
  DrainInstruction const& known = proxy_.drain_instruction();
  if (response.drain.stage != known.stage || response.drain.incarnation != known.incarnation)
    proxy_.set_drain_instruction(response.drain);
}

// An agent without a state asks a controller out of contact only after applyBoundS, for that state may be old.
void ControllerMessages::catch_up(Incoming const& incoming, ProxyHeartbeatResponse const& response) {
  ControllerLink& from = incoming.from;
  Seconds const now = incoming.now;
  bool const may_ask_anybody = now - context_.started_at > context_.settings.bounds.applyBoundS;
  bool const is_behind =
      context_.state ? response.ballot > context_.state->ballot : response.in_contact || may_ask_anybody;
  if (!is_behind) {
    from.behind_since = 0;
  } else if (from.behind_since == 0) {
    from.behind_since = now;
  }
  from.catch_up.on_heartbeat_response(incoming.message.tag);
  if (is_behind && (!context_.state || now - from.behind_since > kBehindBeforeCatchUp))
    controllers_.request_catch_up(from, now, kCatchUpInterval);
}

void ControllerMessages::on_contact_probe_response(Incoming const& incoming) {
  bool const is_in_contact = incoming.message.as<ContactProbeResponse>().time_left > 0;
  incoming.from.contact.update(is_in_contact, incoming.now);
}

void ControllerMessages::on_state_update(Incoming const& incoming) {
  states_.on_update(incoming.from, incoming.message.as<StateUpdate>(), incoming.now);
}

void ControllerMessages::on_catch_up_response(Incoming const& incoming) {
  states_.on_catch_up_response(incoming.from, incoming.message.as<CommitNotice>());
}

void ControllerMessages::on_quota_lease_response(Incoming const& incoming) {
  proxy_.forward(MessageType::quota_lease_response, 0, incoming.message.body);
}

void ControllerMessages::on_survey_request(Incoming const& incoming) {
  u64 const survey = incoming.message.as<SurveyRequest>().id;
  context_.survey_replies.add(survey, incoming.from.ip, incoming.now + kSurveyMemory);
  proxy_.forward(MessageType::survey_request, incoming.message.tag, incoming.message.body);
}

// The proxy responds whether it has staged the change; without a proxy there is no response.
void ControllerMessages::on_stage_request(Incoming const& incoming) {
  StageRequest const request = incoming.message.as<StageRequest>();
  proxy_.forward(MessageType::stage_request, 0, incoming.message.body);
  if (request.drop)
    context_.stage_replies.remove(request.id);
  else
    context_.stage_replies.add(request.id, incoming.from.ip, incoming.now + request.for_ms / kMillisecondsPerSecond);
}

void ControllerMessages::on_claim_response(Incoming const& incoming) {
  context_.claims.on_claim_response(incoming.from.ip, incoming.from.link->connection(), incoming.message.tag,
                                    incoming.message.as<ClaimResponse>(), incoming.now);
  claims_.send_all();
}

void ControllerMessages::on_fetch_answer_response(Incoming const& incoming) {
  context_.claims.on_fetch_response(incoming.from.ip, incoming.from.link->connection(), incoming.message.tag,
                                    incoming.message.as<FetchAnswerResponse>());
  claims_.send_all();
}

}  // namespace dockbend
