/// The state that the services of one controller share.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/unmatched_messages.hpp"
#include "consensus/acceptor.hpp"
#include "controller/api_responder.hpp"
#include "controller/peer_topology.hpp"
#include "logging/log.hpp"
#include "operator_commands/operator_commands.hpp"
#include "process/program.hpp"
#include "quorum_contact/quorum_contact.hpp"
#include "request/headers.hpp"
#include "server_registry/server_registry.hpp"
#include "storage/async_store.hpp"
#include "transport/connection.hpp"
#include "transport/peer_link.hpp"

namespace dockbend {

/// Another controller, or this one. Made by `OutboundPeers`; the comments name who else writes a field.
struct PeerController {
  std::unique_ptr<PeerLink> link;           // null: this controller
  Seconds heard = 0;                        // when the peer last sent anything
  DigestMismatchDetector mismatch;          // DigestGossip
  Seconds digest_sent_at = 0;               // DigestGossip
  u32 digest_tag = 0;                       // DigestGossip; of the newest: an answer to an earlier one tells no time
  std::vector<std::string> sent_addresses;  // DigestGossip; the controllers that we named to it last
  bool fit = false;                         // DigestGossip; it may take a lease over at once
  std::string node;                         // DigestGossip; its name
  Seconds catch_up_requested_at = 0;        // ConsensusService
  Incarnation incarnation;                  // ConsensusService; of its disk
  Ballot accepted;                          // ConsensusService; the newest state that it says it has on disk
};

/// A connection that a proxy, an agent or another controller opened. Made by `InboundSessions`.
struct InboundSession {
  ConnectionPtr ch;
  HandshakeRequest hello;
  bool feeding = false;          // gets all updates of the view and the server registry
  bool primary = false;          // DirectoryService; the proxy's heartbeats come to this controller first
  u64 proxy_counts_version = 0;  // of the proxy counts that it was sent last
  u64 heartbeats = 0;
  std::string front;  // address of the proxy that registered over it; empty: none did
};

/// Shared state, each part with one owner that writes it; the other services only read it.
/// Invariants: `committed` is the newest state known to be accepted by a majority; `view` is the part of it that
/// proxies and agents go by; `tenants` has the tenants of that view.
struct ControllerContext {
  ControllerContext(event_base* event_loop, Settings const& initial_settings)
      : loop(event_loop),
        settings(initial_settings),
        contact(ContactOptions::from_bounds(settings.bounds), settings.ip, static_cast<u32>(random64())) {}
  ControllerContext(ControllerContext const&) = delete;
  ControllerContext& operator=(ControllerContext const&) = delete;

  // Controller
  event_base* loop;
  Settings settings;
  Seconds leaving_since = 0;  // when SIGTERM came; 0: this controller stays

  // ConsensusService and its ViewPublisher
  std::unique_ptr<AsyncStore> disk;
  std::unique_ptr<Acceptor> acceptor;
  std::optional<ReplicatedState> committed;
  bool is_incarnation_durable = false;  // our disk's incarnation is on disk: we may vote
  ReplicatedState view;
  CompiledConfiguration tenants;

  // ContactProber, OutboundPeers and DigestGossip ask; the answers go in here
  QuorumContact contact;

  std::map<std::string, PeerController> controllers;  // OutboundPeers; by address
  std::map<u64, InboundSession> sessions;             // InboundSessions; by the connection's id
  std::map<std::string, DrainUnit> drained_units;     // DrainService; cordoned or further and not back, by name
  UnmatchedMessages unmatched;                        // all: messages that answer no open request

  PeerTopology peers{*this};
  ApiResponder api;

  /// Brings a change into the replicated state; done gets the committed state, or null if it is not known to be
  /// committed after that many seconds. Set by Controller.
  std::function<void(std::function<bool(ReplicatedState&)>, std::function<void(ReplicatedState const*)>, Seconds)>
      submit;
  /// The entry of a controller, made and connected to if it is new. Set by Controller.
  std::function<PeerController&(std::string const&)> controller;

  /// The committed state; null: none yet.
  ReplicatedState const* known() const { return committed ? &*committed : nullptr; }
  /// In contact with a majority of the membership, ourselves counted: by fresh answers, not by connections that are
  /// up, for these stay up for a while in a silent partition.
  bool in_contact() const { return committed && contact.in_contact(steady_now()); }
  /// How long a call waits for consensus, in seconds.
  Seconds patience() const { return std::max(0.5, settings.bounds.ackBoundS * 0.8); }
};

}  // namespace dockbend
