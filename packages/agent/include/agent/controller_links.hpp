/// The agent's links to the controllers, and which of them feed it.
#pragma once
#include <sigc++/sigc++.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "agent/agent_context.hpp"
#include "agent/proxy_session.hpp"
#include "quorum_contact/catch_up_gate.hpp"
#include "quorum_contact/controller_selection.hpp"
#include "server_registry/digest_mismatch_detector.hpp"
#include "transport/peer_link.hpp"

namespace dockbend {

/// A controller as this agent knows it.
struct ControllerLink {
  std::string ip;
  std::unique_ptr<PeerLink> link;
  bool sends_updates = false;  ///< the agent is subscribed there
  ReportedContact contact;
  DigestMismatchDetector digest_mismatch;
  Seconds heartbeat_sent_at = 0, handshake_sent_at = 0;  ///< 0: none is open
  Seconds behind_since = 0;                              ///< its state is newer than ours; 0: it is not
  u32 heartbeats = 0;  ///< tag of the newest; a response to an earlier one measures no round trip
  CatchUpGate catch_up;
  Seconds round_trip = 0.1;
  std::map<std::string, u32> proxies_by_zone;
};

/// Goal: the two nearest controllers that are in contact with a majority send us updates, and the nearest one of them
/// is our primary. The proxy is registered with those that send us updates; its primary passes it on to the others.
class ControllerLinks {
 public:
  sigc::signal<void(ControllerLink&)> on_up;
  sigc::signal<void(ControllerLink&)> on_down;
  sigc::signal<void(ControllerLink&, Message const&)> on_message;
  /// Another primary knows none of our usage counts.
  sigc::signal<void()> on_primary_changed;

  ControllerLinks(AgentContext& context, ProxySession const& proxy) : context_(context), proxy_(proxy) {}
  ControllerLinks(ControllerLinks const&) = delete;

  /// Makes a link to this controller, if there is none yet.
  ControllerLink& open(std::string const& ip);
  /// Null: it is not known.
  ControllerLink* find(std::string const& ip);
  /// Dials, pings and ends as the time demands.
  void tick(Seconds now);

  /// Subscribes and unsubscribes as the goal demands.
  void update_subscriptions();
  void send_heartbeats();
  /// Asks controllers that were out of contact, and send us nothing, whether they are in contact again.
  void probe_contacts();
  /// Asks for what is newer than our state, unless such a question is under way or was asked less than interval ago.
  void request_catch_up(ControllerLink& controller, Seconds now, Seconds interval);

  /// Null: there is none.
  ControllerLink* primary() { return find(primary_); }
  bool is_primary(ControllerLink const& controller) const { return controller.ip == primary_; }
  /// The highest count of any controller: a proxy that counts more proxies takes a smaller share.
  std::map<std::string, u32> proxies_by_zone() const;
  /// Agents that can relay for us.
  void set_relays(std::vector<std::string> const& ips);
  /// The proxy's machine is to be named to no client any more.
  void begin_shutdown() { is_shutting_down_ = true; }

 private:
  void on_link_up(ControllerLink& controller);
  void on_link_down(ControllerLink& controller);
  void send_heartbeat(ControllerLink& controller);
  std::vector<std::string> nearest(bool by_contact) const;
  int distance_of(std::string const& ip) const;

  AgentContext& context_;
  ProxySession const& proxy_;
  std::map<std::string, ControllerLink> controllers_;  // by IP address
  std::string primary_;                                // empty: there is none
  std::vector<Address> relays_;
  bool is_shutting_down_ = false;
};

}  // namespace dockbend
