#include "agent/controller_links.hpp"

#include <algorithm>
#include <set>

#include "server_registry/handshake_messages.hpp"
#include "server_registry/heartbeat_messages.hpp"

namespace dockbend {
namespace {
/// Our heartbeats are answered, so pings are rare.
Seconds constexpr kPingInterval = 1.0, kSilenceBound = 1.5;
std::size_t constexpr kFeedingControllers = 2;
/// See ControllerCandidate::distance.
int constexpr kSameZone = 0, kSameRegion = 1, kElsewhere = 2, kUnknown = 3;
}  // namespace

ControllerLink& ControllerLinks::open(std::string const& ip) {
  auto const [place, is_new] = controllers_.try_emplace(ip);
  ControllerLink& controller = place->second;
  if (!is_new) return controller;
  controller.ip = ip;
  controller.link = std::make_unique<PeerLink>(context_.loop, Address{ip, context_.settings.innerFirst}, kPingInterval,
                                               kSilenceBound);
  controller.link->relays([this] { return relays_; });
  controller.link->on_up.connect([this, &controller](PeerLink&) { on_link_up(controller); });
  controller.link->on_down.connect([this, &controller](PeerLink&) { on_link_down(controller); });
  controller.link->on_message.connect(
      [this, &controller](PeerLink&, Message const& message) { on_message.emit(controller, message); });
  return controller;
}

ControllerLink* ControllerLinks::find(std::string const& ip) {
  auto const found = controllers_.find(ip);
  return found == controllers_.end() ? nullptr : &found->second;
}

void ControllerLinks::tick(Seconds now) {
  for (auto& [ip, controller] : controllers_)
    controller.link->tick(now);
}

void ControllerLinks::on_link_up(ControllerLink& controller) {
  HandshakeRequest handshake;
  handshake.role = kAgentRole;
  handshake.ip = context_.settings.ip;
  handshake.zone = context_.settings.zone;
  handshake.region = context_.settings.region;
  handshake.node = context_.settings.nodeName;
  handshake.front = proxy_.report().front;
  controller.link->send(MessageType::handshake_request, 0, handshake);
  controller.handshake_sent_at = steady_now();
  controller.contact.reset();
  controller.link->ch()->send(MessageType::contact_probe, 0, std::string_view());
  update_subscriptions();
  if (controller.sends_updates) send_heartbeat(controller);
  on_up.emit(controller);
}

void ControllerLinks::on_link_down(ControllerLink& controller) {
  controller.sends_updates = false;
  controller.catch_up.reset();
  controller.digest_mismatch.reset();
  controller.proxies_by_zone.clear();
  on_down.emit(controller);
  if (!is_primary(controller)) return;
  primary_.clear();
  on_primary_changed.emit();  // the usage counts that it was sent may be lost with it
  update_subscriptions();
  send_heartbeats();
}

void ControllerLinks::send_heartbeat(ControllerLink& controller) {
  ProxyLoadReport const& report = proxy_.report();
  Seconds const now = steady_now();
  ProxyHeartbeat heartbeat;
  heartbeat.front = report.front;
  heartbeat.zone = context_.settings.zone;
  heartbeat.region = context_.settings.region;
  heartbeat.ready = proxy_.is_ready(now) && !is_shutting_down_;
  heartbeat.load = report.load;
  heartbeat.ballot = context_.ballot();
  heartbeat.primary = is_primary(controller);
  if (proxy_.drain_instruction().stage > 0) heartbeat.drain = report.drain;
  heartbeat.unmatched = context_.claims.unmatched().all();
  controller.heartbeat_sent_at = now;
  controller.link->send(MessageType::proxy_heartbeat, ++controller.heartbeats, heartbeat);
}

void ControllerLinks::send_heartbeats() {
  for (auto& [ip, controller] : controllers_)
    if (controller.sends_updates && controller.link->up()) send_heartbeat(controller);
}

// Controllers that send us updates report their contact in each heartbeat response. Of the others the nearest get a
// heartbeat for it: clients that reach them may ask them for proxies.
void ControllerLinks::probe_contacts() {
  std::vector<std::string> const nearest_ones = nearest(false);
  for (auto& [ip, controller] : controllers_) {
    if (!controller.link->up() || controller.sends_updates || !controller.contact.is_out()) continue;
    if (std::find(nearest_ones.begin(), nearest_ones.end(), ip) != nearest_ones.end())
      send_heartbeat(controller);
    else
      controller.link->ch()->send(MessageType::contact_probe, 0, std::string_view());
  }
}

// The heartbeat behind it shows when it has been handled: a controller handles what one connection brings in order.
void ControllerLinks::request_catch_up(ControllerLink& controller, Seconds now, Seconds interval) {
  if (!controller.link->up() || !controller.catch_up.may_ask(now, interval, !context_.state)) return;
  controller.link->send(MessageType::catch_up_request, 0, CatchUpRequest{context_.ballot()});
  controller.catch_up.on_asked(now, controller.heartbeats);
}

std::vector<std::string> ControllerLinks::nearest(bool by_contact) const {
  Seconds const now = steady_now();
  std::vector<ControllerCandidate> candidates;
  for (auto const& [ip, controller] : controllers_)
    if (controller.link->up())
      candidates.push_back({ip, by_contact ? controller.contact.rank(now, controller.sends_updates) : 0,
                            distance_of(ip), hash64(ip + context_.settings.nodeName)});
  return select_controllers(std::move(candidates), kFeedingControllers);
}

int ControllerLinks::distance_of(std::string const& ip) const {
  Member const* const member = context_.state ? context_.state->member(ip) : nullptr;
  if (member == nullptr || member->zone.empty()) return kUnknown;
  if (member->zone == context_.settings.zone) return kSameZone;
  return member->region == context_.settings.region ? kSameRegion : kElsewhere;
}

void ControllerLinks::update_subscriptions() {
  std::vector<std::string> const chosen = nearest(true);
  std::string const first = chosen.empty() ? std::string() : chosen.front();
  if (first != primary_) {
    primary_ = first;
    on_primary_changed.emit();
  }
  std::set<std::string> const wanted(chosen.begin(), chosen.end());
  for (auto& [ip, controller] : controllers_) {
    bool const is_wanted = wanted.count(ip) > 0;
    if (is_wanted == controller.sends_updates || !controller.link->up()) continue;
    controller.sends_updates = is_wanted;
    controller.digest_mismatch.reset();
    controller.link->send(MessageType::subscribe, 0, SubscribeRequest{is_wanted, context_.ballot()});
    if (is_wanted) send_heartbeat(controller);
  }
}

std::map<std::string, u32> ControllerLinks::proxies_by_zone() const {
  std::map<std::string, u32> highest;
  for (auto const& [ip, controller] : controllers_) {
    if (!controller.link->up()) continue;
    for (auto const& [zone, count] : controller.proxies_by_zone)
      highest[zone] = std::max(highest[zone], count);
  }
  return highest;
}

void ControllerLinks::set_relays(std::vector<std::string> const& ips) {
  relays_.clear();
  for (std::string const& ip : ips)
    if (is_ip(ip)) relays_.push_back(Address{ip, context_.settings.relay()});
}

}  // namespace dockbend
