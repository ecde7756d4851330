/// Brings departures of servers to a majority of disks before they are acknowledged.
#pragma once
#include "controller/controller_context.hpp"
#include "server_registry/departure_batches.hpp"
#include "server_registry/departure_messages.hpp"

namespace dockbend {

/// An acknowledged departure binds all controllers, so it has to outlive the one that acknowledges it. It is written to
/// our own disk and sent to all peers, members or not; once the disks of a majority hold it, it is durable. No round of
/// consensus is needed: records merge to the same in any order, and nothing about them is decided.
class DepartureReplicator {
 public:
  using Done = DepartureBatches::Done;

  DepartureReplicator(ControllerContext& context, ServerRegistry& registry) : context_(context), registry_(registry) {}

  /// Calls `done` once a majority holds what the registry knows of this server, which drains or has left, or when that
  /// took too long; at once if a majority is known to hold it, or if this controller has been shutting down for a
  /// while: its end waits for all departures that it has taken.
  void replicate(std::string const& id, Done done);
  /// The peer holds the batch of that tag.
  void on_response(std::string const& ip, u32 tag, StoreDeparturesResponse const& response);
  /// The link to a peer has come up: what it may have missed is sent again.
  void on_link_up(PeerLink& link);
  void tick(Seconds now);
  bool is_idle() const { return batches_.is_empty(); }

  /// Writes departures that a peer sent, and that the registry has merged; `stored` is called once they are on disk,
  /// never if the disk refuses.
  void store(std::vector<ServerRecord> const& departures, std::function<void()> stored);

 private:
  bool is_ending(Seconds now) const;
  void send_batch();
  void finish_durable();
  bool is_majority(DepartureBatches::Disks const& disks) const;

  ControllerContext& context_;
  ServerRegistry& registry_;
  DepartureBatches batches_;
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("controller");
};

}  // namespace dockbend
