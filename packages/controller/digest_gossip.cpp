#include "controller/digest_gossip.hpp"

namespace dockbend {

namespace {

constexpr std::size_t kNearReceivers = 3;  // of one round, if there are many peers
constexpr std::size_t kFarReceivers = 1;

/// Leaves `count` of the addresses, by chance.
void sample(std::vector<std::string>& addresses, std::size_t count) {
  for (std::size_t i = 0; i < count && i < addresses.size(); ++i)
    std::swap(addresses[i], addresses[i + random64() % (addresses.size() - i)]);
  if (addresses.size() > count) addresses.resize(count);
}

}  // namespace

void DigestGossip::send_round(Seconds now) {
  GossipDigest const digest = own_digest(true);
  GossipDigest without_addresses = digest;
  without_addresses.controllers.clear();
  for (std::string const& ip : choose_receivers()) {
    PeerController& peer = context_.controllers[ip];
    peer.digest_sent_at = now;
    // The connected controllers are named again only after they changed.
    bool const knows_addresses = peer.sent_addresses == digest.controllers;
    peer.digest_tag = context_.contact.next_question(ip, now);
    peer.link->send(MessageType::digest, peer.digest_tag, knows_addresses ? without_addresses : digest);
    peer.sent_addresses = digest.controllers;
  }
}

std::vector<std::string> DigestGossip::choose_receivers() const {
  bool const are_many = context_.peers.exceeds_full_mesh();
  std::vector<std::string> receivers, far;
  for (auto const& [ip, peer] : context_.controllers)
    if (peer.link && peer.link->up()) (!are_many || context_.peers.is_near(ip) ? receivers : far).push_back(ip);
  if (are_many) {
    sample(receivers, kNearReceivers);
    sample(far, kFarReceivers);
  }
  receivers.insert(receivers.end(), far.begin(), far.end());
  return receivers;
}

GossipDigest DigestGossip::own_digest(bool with_addresses) const {
  GossipDigest digest;
  digest.digest = services_.registry.told_digest();
  digest.ballot = services_.consensus.ballot();
  digest.incarnation = context_.acceptor->incarnation();
  digest.accepted = services_.consensus.durable();
  digest.wall = wall_clock_now();
  digest.node = context_.settings.nodeName;
  digest.fit = services_.leases.can_take_over_now();
  digest.contact_left = prober_.remaining(steady_now());
  if (with_addresses) digest.controllers = context_.peers.connected_addresses();
  return digest;
}

void DigestGossip::on_digest(std::string const& ip, GossipDigest const& digest) {
  PeerController& peer = context_.controllers[ip];
  if (!peer.link) return;
  for (std::string const& address : digest.controllers)
    if (is_ip(address)) context_.controller(address);
  if (digest.incarnation.v != 0) services_.consensus.on_peer_state(ip, digest.incarnation, digest.accepted);
  peer.fit = digest.fit;
  peer.node = digest.node;
  services_.consensus.on_peer_ballot(peer, digest.ballot, steady_now());
  if (peer.mismatch.observe(services_.registry.told_digest(), digest.digest)) services_.registry.spread_all(*peer.link);
}

void DigestGossip::on_response(std::string const& ip, u32 tag, GossipDigest const& digest) {
  ContactProbeResponse response;
  response.incarnation = digest.incarnation;
  response.ballot = digest.ballot;
  response.time_left = digest.contact_left;
  context_.contact.on_response(ip, tag, response);
  PeerController const& peer = context_.controllers[ip];
  if (tag != peer.digest_tag)
    context_.unmatched.drop(UnmatchedReason::no_question);
  else if (digest.wall > 0)  // their clock's reading belongs to the middle of the round trip
    services_.usage.on_peer_clock(ip, 0.5 * (peer.digest_sent_at + steady_now()), digest.wall);
  on_digest(ip, digest);
}

}  // namespace dockbend
