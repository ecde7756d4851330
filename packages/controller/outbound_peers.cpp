#include "controller/outbound_peers.hpp"
#include "transport/counters.hpp"

namespace dockbend {

namespace {

/// How often a link is pinged, and after how long a silence it is dialled again; in seconds.
struct LinkPace {
  Seconds ping;
  Seconds silence;
};
constexpr LinkPace kNearPace{0.6, 1.5};
// Of many peers the far ones are pinged less: what asks a majority learns from the sockets themselves that a peer is
// gone.
constexpr LinkPace kFarPace{1.8, 4.5};

}  // namespace

OutboundPeers::OutboundPeers(ControllerServices const& services, ContactProber& prober, DigestGossip& gossip)
    : services_(services),
      context_(services.context),
      prober_(prober),
      gossip_(gossip),
      handlers_{
          {MessageType::handshake_response, &OutboundPeers::on_handshake_response},
          {MessageType::prepare_response, &OutboundPeers::on_prepare_response},
          {MessageType::accept_response, &OutboundPeers::on_accept_response},
          {MessageType::catch_up_response, &OutboundPeers::on_catch_up_response},
          {MessageType::state_chunk, &OutboundPeers::on_state_chunk},
          {MessageType::key_copy_response, &OutboundPeers::on_key_copy_response},
          {MessageType::contact_probe_response, &OutboundPeers::on_contact_probe_response},
          {MessageType::digest_response, &OutboundPeers::on_digest_response},
          {MessageType::store_departures_response, &OutboundPeers::on_store_departures_response},
          // These answers come over the peer's own link, as requests of an inbound session.
          {MessageType::stage_response, &OutboundPeers::ignore},
          {MessageType::survey_response, &OutboundPeers::ignore},
      } {}

PeerController& OutboundPeers::find_or_connect(std::string const& ip) {
  auto const known = context_.controllers.find(ip);
  if (known != context_.controllers.end()) return known->second;
  PeerController& peer = context_.controllers[ip];
  if (ip == context_.settings.ip || !is_ip(ip)) return peer;
  peer.link = std::make_unique<PeerLink>(context_.loop, Address{ip, context_.settings.innerFirst}, kNearPace.ping,
                                         kNearPace.silence);
  peer.link->on_up.connect([this, ip](PeerLink& link) { on_link_up(ip, link); });
  peer.link->on_message.connect([this, ip](PeerLink&, Message const& message) { on_message(ip, message); });
  return peer;
}

void OutboundPeers::tick_links(Seconds now) {
  bool const are_many = context_.peers.exceeds_full_mesh();
  for (auto& [ip, peer] : context_.controllers) {
    if (!peer.link) continue;
    LinkPace const& pace = !are_many || context_.peers.is_near(ip) ? kNearPace : kFarPace;
    peer.link->pace(pace.ping, pace.silence);
    peer.link->tick(now);
    if (peer.link->up()) peer.heard = std::max(peer.heard, peer.link->heard());
  }
}

void OutboundPeers::on_link_up(std::string const& ip, PeerLink& link) {
  link.send(MessageType::handshake_request, 0, own_handshake());
  PeerController& peer = context_.controllers[ip];
  peer.heard = steady_now();
  peer.sent_addresses.clear();
  services_.consensus.on_link_up(ip, link);
  context_.contact.on_connected(ip);
  prober_.probe(ip, link, steady_now());
  services_.registry.on_link_up(ip, link);
}

HandshakeRequest OutboundPeers::own_handshake() const {
  Settings const& settings = context_.settings;
  HandshakeRequest request;
  request.role = kControllerRole;
  request.ip = settings.ip;
  request.zone = settings.zone;
  request.region = settings.region;
  request.control = settings.control_port();
  request.incarnation = context_.acceptor->incarnation();
  request.node = settings.nodeName;
  request.accepted = services_.consensus.durable();
  return request;
}

void OutboundPeers::on_message(std::string const& ip, Message const& message) {
  PeerController& peer = context_.controllers[ip];
  peer.heard = steady_now();
  auto const handler = handlers_.find(message.kind);
  if (handler == nullptr) {
    ++rejected_input().letters;
    return;
  }
  (this->*handler)(Reply{ip, peer, message});
}

void OutboundPeers::on_handshake_response(Reply const& reply) {
  HandshakeResponse const response = reply.message.as<HandshakeResponse>();
  for (std::string const& address : response.controllers)
    if (is_ip(address)) find_or_connect(address);
  services_.consensus.on_peer_state(reply.ip, response.incarnation, response.accepted);
}

void OutboundPeers::on_prepare_response(Reply const& reply) {
  services_.consensus.on_prepare_response(reply.ip, reply.message.as<PrepareResponse>());
}

void OutboundPeers::on_accept_response(Reply const& reply) {
  services_.consensus.on_accept_response(reply.ip, reply.message.as<AcceptResponse>());
}

void OutboundPeers::on_catch_up_response(Reply const& reply) {
  services_.consensus.on_commit(reply.message.as<CommitNotice>(), reply.ip);
}

void OutboundPeers::on_state_chunk(Reply const& reply) {
  services_.consensus.on_state_chunk(reply.ip, reply.message.as<StateChunk>(), steady_now());
}

void OutboundPeers::on_key_copy_response(Reply const& reply) {
  services_.idempotency.rebuilt(reply.ip, reply.message.as<KeyCopyResponse>());
}

void OutboundPeers::on_contact_probe_response(Reply const& reply) {
  ContactProbeResponse const response = reply.message.as<ContactProbeResponse>();
  context_.contact.on_response(reply.ip, reply.message.tag, response);
  services_.consensus.on_peer_ballot(reply.peer, response.ballot, steady_now());
}

void OutboundPeers::on_digest_response(Reply const& reply) {
  gossip_.on_response(reply.ip, reply.message.tag, reply.message.as<GossipDigest>());
}

void OutboundPeers::on_store_departures_response(Reply const& reply) {
  services_.registry.departures().on_response(reply.ip, reply.message.tag, reply.message.as<StoreDeparturesResponse>());
}

void OutboundPeers::ignore(Reply const&) {}

}  // namespace dockbend
