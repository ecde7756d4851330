/// \file
/// Servers at a controller: their heartbeats, and the registry that is passed on to peers and agents.
///
/// The "roll" in a name is the ServerRegistry, a "row" is a ServerRecord.
#pragma once

#include "controller/controller_context.hpp"

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

  /// A server's heartbeat; 400 if it is invalid. Out of contact it is recorded, so that the server stays listed where
  /// no controller is in contact, but answered with a redirect: acknowledging a drain would bind controllers that we
  /// can't notify.
  ApiResponse heartbeat(std::string const& id, schema::Heartbeat const& b, std::string const& uri);

  /// A server leaves for good.
  ApiResponse leave(std::string const& id, std::string const& uri);

  /// Sends the complete registry to an agent that subscribes. After a power loss all of them ask at once, so it is
  /// encoded at most once a second, and the changes since then are sent after it.
  void feed(Connection& ch, Seconds now);

  /// Drain runs have changed. An operator's command prevails over what the server reports. Every controller applies it
  /// to its own records as soon as it learns of it, so that nobody waits for the owners of the records.
  void orders_changed();

  /// Sends all records to a peer whose registry differs from ours or that may have restarted.
  void spread_all(PeerLink& l);
  /// Marks servers as gone that missed their heartbeats, or whose owner has been silent.
  void tick(Seconds now);
  ServerRegistry& roll();
  ServerRegistry const& roll() const;
  u64 told_digest() const;  ///< of the registry as it was last sent to others

 private:
  void drained(ServerRecord& r) const;
  void spread_to(PeerLink& l, std::vector<ServerRecord> const& v);

  void flush_rows();

  std::string beat_target(std::string const& zone) const;

  ControllerContext& context_;
  ServerRegistry roll_;
  std::map<std::string, std::string> pending_;  // records to pass on: id -> the peer that sent it
  EncodedMessage whole_;                        // the complete registry as it was at whole_at_
  Seconds whole_at_ = -1e9;
  bool whole_in_contact_ = false;  // when whole_ was encoded
  bool flushing_ = false;
  u64 told_digest_ = 0;
};

}  // namespace dockbend
