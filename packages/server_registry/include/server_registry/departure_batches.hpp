/// Departures of servers that wait until a majority of disks holds them. No I/O.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "server_registry/server_record.hpp"

namespace dockbend {

/// A departure (a server that drains or has left) is acknowledged once a majority of disks holds it: whatever may be
/// lost at once then leaves a controller that knows of it. Departures that arrive close together travel in one batch,
/// which the peers confirm by its tag. Times are of the caller's steady clock.
///
/// Invariants: each departure that was added is handed back exactly once, as durable or as expired; a disk counts for a
/// batch only in the incarnation that confirmed it.
class DepartureBatches {
 public:
  using Done = std::function<void(bool is_durable)>;

  /// One departure, and whom to tell what became of it.
  struct Departure {
    ServerRecord record;
    Seconds until = 0;
    Done done;
  };
  /// The disks that hold a batch, by their controllers' addresses.
  using Disks = std::map<std::string, Incarnation>;
  using IsMajority = std::function<bool(Disks const&)>;

  /// Takes a departure into the batch that is being collected. True: that one has just begun, and is to be closed soon.
  bool add(Departure departure);
  /// Ends the collecting: the batch is to be sent now. Returns its tag; nothing if it is empty.
  std::optional<u32> close_batch();

  /// The tags of the batches that were closed and still have departures that wait.
  std::vector<u32> open_tags() const;
  /// The records of a batch; empty if it is over.
  std::vector<ServerRecord> records(u32 tag) const;
  bool is_empty() const { return collected_.empty() && batches_.empty(); }

  /// A disk holds the batch. A batch that is over, or was never sent, is ignored; false says so.
  bool on_stored(u32 tag, std::string const& ip, Incarnation incarnation);
  /// Removes and returns the departures of all batches that a majority holds.
  std::vector<Departure> take_durable(IsMajority const& is_majority);
  /// Removes and returns the departures that have waited until their time.
  std::vector<Departure> take_expired(Seconds now);

 private:
  struct Batch {
    std::vector<Departure> departures;  // not empty
    Disks disks;
  };
  void remove_finished_batches();

  std::vector<Departure> collected_;
  std::map<u32, Batch> batches_;  // by tag; closed ones
  u32 last_tag_ = 0;
};

}  // namespace dockbend
