#include "controller/inbound_sessions.hpp"
#include "transport/counters.hpp"

namespace dockbend {

namespace {
constexpr Seconds kSilentSessionSeconds = 30;  // whoever dials us says something every few seconds
constexpr u64 kHeartbeatsPerRelayList = 8;     // every so many heartbeats a proxy is told relays anew
constexpr u32 kRelayTag = 1;                   // of a stored answer that its first keeper copies to another disk
}  // namespace

InboundSessions::InboundSessions(ControllerServices const& services, ContactProber const& prober, DigestGossip& gossip)
    : services_(services),
      context_(services.context),
      prober_(prober),
      gossip_(gossip),
      handlers_{
          {MessageType::handshake_request, &InboundSessions::on_handshake_request},
          {MessageType::prepare_request, &InboundSessions::on_prepare_request},
          {MessageType::accept_request, &InboundSessions::on_accept_request},
          {MessageType::commit_notice, &InboundSessions::on_commit_notice},
          {MessageType::catch_up_request, &InboundSessions::on_catch_up_request},
          {MessageType::server_records, &InboundSessions::on_server_records},
          {MessageType::store_departures_request, &InboundSessions::on_store_departures_request},
          {MessageType::digest, &InboundSessions::on_digest},
          {MessageType::proxy_heartbeat, &InboundSessions::on_proxy_heartbeat},
          {MessageType::subscribe, &InboundSessions::on_subscribe},
          {MessageType::contact_probe, &InboundSessions::on_contact_probe},
          {MessageType::proxy_records, &InboundSessions::on_proxy_records},
          {MessageType::join_request, &InboundSessions::on_join_request},
          {MessageType::proxy_records_request, &InboundSessions::on_proxy_records_request},
          {MessageType::usage_update, &InboundSessions::on_usage_update},
          {MessageType::quota_lease_request, &InboundSessions::on_quota_lease_request},
          {MessageType::stage_forward_request, &InboundSessions::on_stage_forward_request},
          {MessageType::survey_request, &InboundSessions::on_survey_request},
          {MessageType::survey_response, &InboundSessions::on_survey_response},
          {MessageType::hand_over_command, &InboundSessions::on_hand_over_command},
          {MessageType::claim_request, &InboundSessions::on_claim_request},
          {MessageType::release_request, &InboundSessions::on_release_request},
          {MessageType::store_answer, &InboundSessions::on_store_answer},
          {MessageType::fetch_answer_request, &InboundSessions::on_fetch_answer_request},
          {MessageType::stage_response, &InboundSessions::on_stage_response},
          {MessageType::rollout_status, &InboundSessions::on_rollout_status},
          {MessageType::key_copy_request, &InboundSessions::on_key_copy_request},
      } {}

void InboundSessions::accept(ConnectionPtr connection) {
  u64 const id = connection->id();
  context_.sessions[id].ch = connection;
  connection->on_message.connect([this, id](Connection&, Message const& message) {
    auto const session = context_.sessions.find(id);
    if (session != context_.sessions.end()) on_message(session->second, message);
  });
  // Erased from the loop: the signal still runs in a function of the connection that the session owns.
  connection->on_down.connect([this, id](Connection&) {
    after(context_.loop, 0, [this, id] {
      services_.rollouts.on_session_ended(id);
      context_.sessions.erase(id);
    });
  });
}

void InboundSessions::notify_contact() {
  for (auto& [id, session] : context_.sessions)
    if (session.feeding && !session.front.empty())
      session.ch->send(MessageType::proxy_heartbeat_response, 0, heartbeat_response(session));
}

void InboundSessions::end_silent(Seconds now) {
  for (auto& [id, session] : context_.sessions)
    if (session.ch->open() && now - session.ch->heard() > kSilentSessionSeconds) session.ch->end();
}

void InboundSessions::on_message(InboundSession& session, Message const& message) {
  auto const handler = handlers_.find(message.kind);
  if (handler == nullptr) {
    ++rejected_input().letters;
    return;
  }
  (this->*handler)(Request{session, message, steady_now()});
}

ProxyHeartbeatResponse InboundSessions::heartbeat_response(InboundSession const& session) const {
  ProxyHeartbeatResponse response;
  response.ballot = context_.view.ballot;
  response.digest = services_.registry.told_digest();
  response.in_contact = context_.in_contact();
  response.wall = wall_clock_now();
  response.drain = services_.directory.told(session.front);
  return response;
}

void InboundSessions::on_handshake_request(Request const& request) {
  HandshakeRequest& hello = request.session.hello;
  hello = request.message.as<HandshakeRequest>();
  if (!is_ip(hello.ip)) throw codec::MalformedMessage("a hello without an address");
  if (hello.role == kControllerRole) services_.consensus.on_peer_state(hello.ip, hello.incarnation, hello.accepted);
  HandshakeResponse response;
  response.ballot = services_.consensus.ballot();
  response.incarnation = context_.acceptor->incarnation();
  response.accepted = services_.consensus.durable();
  response.controllers = context_.peers.connected_addresses();
  response.wall = wall_clock_now();
  request.session.ch->send(MessageType::handshake_response, 0, response);
}

void InboundSessions::on_prepare_request(Request const& request) {
  services_.consensus.on_prepare_request(request.session, request.message.tag, request.message.as<PrepareRequest>(),
                                         request.now);
}

void InboundSessions::on_accept_request(Request const& request) {
  services_.consensus.on_accept_request(request.session, request.message.tag, request.message.as<AcceptRequest>());
}

void InboundSessions::on_commit_notice(Request const& request) {
  services_.consensus.on_commit(request.message.as<CommitNotice>(), request.session.hello.ip);
}

void InboundSessions::on_catch_up_request(Request const& request) {
  services_.consensus.on_catch_up_request(request.session, request.message.as<CatchUpRequest>());
}

void InboundSessions::on_server_records(Request const& request) {
  services_.registry.rows(request.message.as<StateUpdate>().rows, request.session.hello.ip);
}

void InboundSessions::on_store_departures_request(Request const& request) {
  std::weak_ptr<Connection> const connection = request.session.ch;
  auto const confirm = [this, connection, tag = request.message.tag] {
    auto const open = connection.lock();
    if (open)
      open->send(MessageType::store_departures_response, tag,
                 StoreDeparturesResponse{context_.acceptor->incarnation()});
  };
  services_.registry.store_departures(request.message.as<StoreDeparturesRequest>().records, request.session.hello.ip,
                                      confirm);
}

void InboundSessions::on_digest(Request const& request) {
  GossipDigest const digest = request.message.as<GossipDigest>();
  std::string const& ip = request.session.hello.ip;
  request.session.ch->send(MessageType::digest_response, request.message.tag, gossip_.own_digest(false));
  if (context_.controllers.count(ip) > 0 && context_.controllers[ip].link) gossip_.on_digest(ip, digest);
}

void InboundSessions::on_proxy_heartbeat(Request const& request) {
  ProxyHeartbeat const heartbeat = request.message.as<ProxyHeartbeat>();
  InboundSession& session = request.session;
  services_.directory.beat(heartbeat, session, request.now);
  session.front = heartbeat.front;
  ProxyHeartbeatResponse response = heartbeat_response(session);
  if (session.heartbeats++ % kHeartbeatsPerRelayList == 0 && !heartbeat.front.empty())
    response.relays = services_.directory.relays_for(heartbeat);
  if (session.proxy_counts_version != services_.directory.turn()) {
    session.proxy_counts_version = services_.directory.turn();
    response.sites = services_.directory.counted();
  }
  session.ch->send(MessageType::proxy_heartbeat_response, request.message.tag, response);
}

void InboundSessions::on_subscribe(Request const& request) {
  SubscribeRequest const subscription = request.message.as<SubscribeRequest>();
  request.session.feeding = subscription.on;
  if (!subscription.on) return;
  // A proxy that has nothing yet does not start with what may be old while another controller may be in contact.
  bool const may_start = subscription.have.v != 0 || context_.in_contact();
  Ballot const ours = context_.view.ballot;
  if (context_.committed && may_start && (ours > subscription.have || ours.v == 0))
    request.session.ch->send(services_.consensus.view_missing_since(subscription.have));
  services_.registry.feed(*request.session.ch, request.now);
}

void InboundSessions::on_contact_probe(Request const& request) {
  ContactProbeResponse response;
  response.incarnation = context_.acceptor->incarnation();
  response.ballot = services_.consensus.ballot();
  response.time_left = prober_.remaining(request.now);
  request.session.ch->send(MessageType::contact_probe_response, request.message.tag, response);
}

void InboundSessions::on_proxy_records(Request const& request) {
  services_.directory.controller_sites(request.session.hello.ip, request.message.as<ProxyGossip>(), request.now);
}

void InboundSessions::on_join_request(Request const& request) {
  if (context_.committed && context_.is_incarnation_durable && context_.leaving_since == 0)
    services_.membership.admit(request.message.as<Member>());
}

void InboundSessions::on_proxy_records_request(Request const& request) {
  services_.directory.whole_for(*request.session.ch, request.now);
}

void InboundSessions::on_usage_update(Request const& request) {
  services_.usage.on_usage_update(request.message.as<UsageUpdate>());
}

void InboundSessions::on_quota_lease_request(Request const& request) {
  services_.quotas.on_quota_lease_request(*request.session.ch, request.message.tag,
                                          request.message.as<QuotaLeaseRequest>(), request.now);
}

void InboundSessions::on_stage_forward_request(Request const& request) {
  services_.rollouts.on_stage_forward_request(request.session.hello.ip, request.message.as<StageForwardRequest>());
}

void InboundSessions::on_survey_request(Request const& request) {
  services_.surveys.on_survey_request(request.message.as<SurveyRequest>(), request.session.hello.ip);
}

void InboundSessions::on_survey_response(Request const& request) {
  services_.surveys.on_survey_response(request.message.as<TrafficSurvey>(), request.message.body);
}

void InboundSessions::on_hand_over_command(Request const& request) {
  services_.leases.on_hand_over_command(request.message.as<HandOverCommand>());
}

void InboundSessions::on_claim_request(Request const& request) {
  services_.idempotency.claim(request.session.ch, request.message.tag, request.message.as<ClaimRequest>());
}

void InboundSessions::on_release_request(Request const& request) {
  services_.idempotency.release(request.message.as<ReleaseRequest>());
}

void InboundSessions::on_store_answer(Request const& request) {
  services_.idempotency.store(request.message.body, request.message.tag == kRelayTag);
}

void InboundSessions::on_fetch_answer_request(Request const& request) {
  services_.idempotency.fetch(request.session.ch, request.message.tag, request.message.as<FetchAnswerRequest>());
}

void InboundSessions::on_stage_response(Request const& request) {
  services_.rollouts.on_stage_response(request.message.as<StageResponse>(), request.now);
}

void InboundSessions::on_rollout_status(Request const& request) {
  services_.rollouts.on_status_notice(request.message.as<RolloutStatusNotice>());
}

void InboundSessions::on_key_copy_request(Request const& request) {
  // Only of a membership that is on disk: else this disk might yet grant a key under the one before it.
  if (services_.consensus.durable() >= services_.consensus.accepted())
    services_.idempotency.answer_copy_request(*request.session.ch, request.message.tag,
                                              request.message.as<KeyCopyRequest>());
}

}  // namespace dockbend
