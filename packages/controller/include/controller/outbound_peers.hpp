/// The links that this controller dials to its peers, and the answers that come over them.
#pragma once
#include "controller/digest_gossip.hpp"
#include "transport/message_dispatch.hpp"

namespace dockbend {

/// Makes the entry and the link of each peer controller that is heard of, greets it whenever the link comes up, and
/// hands each answer to the service that asked. The entries themselves live in `ControllerContext::controllers`.
class OutboundPeers {
 public:
  OutboundPeers(ControllerServices const& services, ContactProber& prober, DigestGossip& gossip);

  /// The entry of the controller with that address, made if it is new. It has no link if it is this controller, or
  /// no address.
  PeerController& find_or_connect(std::string const& ip);
  /// Keeps the links going: pings, and dials of those that are down.
  void tick_links(Seconds now);

 private:
  struct Reply {
    std::string const& ip;
    PeerController& peer;
    Message const& message;
  };

  void on_link_up(std::string const& ip, PeerLink& link);
  void on_message(std::string const& ip, Message const& message);
  HandshakeRequest own_handshake() const;

  // One handler a type of message.
  void on_handshake_response(Reply const& reply);
  void on_prepare_response(Reply const& reply);
  void on_accept_response(Reply const& reply);
  void on_catch_up_response(Reply const& reply);
  void on_state_chunk(Reply const& reply);
  void on_key_copy_response(Reply const& reply);
  void on_contact_probe_response(Reply const& reply);
  void on_digest_response(Reply const& reply);
  void on_store_departures_response(Reply const& reply);
  void ignore(Reply const& reply);

  ControllerServices services_;
  ControllerContext& context_;
  ContactProber& prober_;
  DigestGossip& gossip_;
  MessageDispatch<OutboundPeers, Reply const&> const handlers_;
};

}  // namespace dockbend
