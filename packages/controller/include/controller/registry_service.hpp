/// \file
/// Servers at a controller: their heartbeats, and the registry that is passed on to peers and agents.
///
/// The "roll" in a name is the ServerRegistry, a "row" is a ServerRecord.
#pragma once

#include "controller/controller_context.hpp"
#include "controller/departure_replicator.hpp"

namespace dockbend {

/// Invariant: a record that changes nothing in the registry is neither stored nor passed on; only full copies repeat
/// it.
class RegistryService {
 public:
  explicit RegistryService(ControllerContext& h);

  /// Sends changed records to the agents that we feed and to some peers, which forward what is new to them.
  /// from: the peer they came from; "": a server reported here.
  void spread(std::vector<ServerRecord> const& v, std::string const& from);

  /// A peer sent records; what is new is taken over and passed on.
  void rows(std::vector<ServerRecord> const& v, std::string const& from);

  using Respond = std::function<void(ApiResponse const&)>;

  /// A server's heartbeat; 400 if it is invalid. Out of contact it is recorded, so that the server stays listed where
  /// no controller is in contact, but answered with a redirect: acknowledging a drain would bind controllers that we
  /// can't notify. A drain is acknowledged once it is durable; 503 if that takes too long.
  void heartbeat(std::string const& id, schema::Heartbeat const& b, std::string const& uri, Respond const& respond);

  /// A server leaves for good; answered as a drain is.
  void leave(std::string const& id, std::string const& uri, Respond const& respond);

  /// Departures that a peer wants on our disk too; `stored` is called once they are.
  void store_departures(std::vector<ServerRecord> const& departures, std::string const& from,
                        std::function<void()> stored);

  /// Sends the complete registry to an agent that subscribes. After a power loss all of them ask at once, so it is
  /// encoded at most once a second, and the changes since then are sent after it.
  void feed(Connection& ch, Seconds now);

  /// Drain runs have changed. An operator's command prevails over what the server reports. Every controller applies it
  /// to its own records as soon as it learns of it, so that nobody waits for the owners of the records.
  void orders_changed();

  /// Sends all records to a peer whose registry differs from ours or that may have restarted.
  void spread_all(PeerLink& l);
  /// The link to a peer is up, which may have started anew: it gets all servers known here, or, if it has nearer peers
  /// to get them from, those that drain or have left. A difference that lasts is repaired by digests.
  void on_link_up(std::string const& ip, PeerLink& link);
  /// Marks servers as gone that missed their heartbeats, or whose owner has been silent.
  void tick(Seconds now);
  /// Forgets servers that have been gone for long, on disk too.
  void forget_gone(Seconds now);
  DepartureReplicator& departures() { return departures_; }
  DepartureReplicator const& departures() const { return departures_; }
  ServerRegistry& roll();
  ServerRegistry const& roll() const;
  u64 told_digest() const;  ///< of the registry as it was last sent to others

 private:
  void drained(ServerRecord& r) const;
  void spread_to(PeerLink& l, std::vector<ServerRecord> const& v);

  void flush_rows();
  void acknowledge_departure(std::string const& id, ApiResponse const& acknowledgement, Respond const& respond);

  std::string beat_target(std::string const& zone) const;

  ControllerContext& context_;
  ServerRegistry roll_;
  DepartureReplicator departures_;
  std::map<std::string, std::string> pending_;  // records to pass on: id -> the peer that sent it
  EncodedMessage whole_;                        // the complete registry as it was at whole_at_
  Seconds whole_at_ = -1e9;
  bool whole_in_contact_ = false;  // when whole_ was encoded
  bool flushing_ = false;
  u64 told_digest_ = 0;
};

}  // namespace dockbend
