/// The registry of servers: soft state that controllers and agents pass on by gossip and repair by digests. It is
/// rebuilt from the servers' own heartbeats. No I/O.
#pragma once
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "server_registry/departure_messages.hpp"
#include "server_registry/digest_mismatch_detector.hpp"
#include "server_registry/gossip_messages.hpp"
#include "server_registry/handshake_messages.hpp"
#include "server_registry/heartbeat_messages.hpp"
#include "server_registry/server_record.hpp"
#include "server_registry/update_messages.hpp"

namespace dockbend {

/// All servers known to one process. Whatever order records arrive in, and however often, registries that got the
/// same records hold the same servers and have the same digest. Times are of the caller's steady clock.
class ServerRegistry {
 public:
  /// What is kept of one server.
  struct Entry {
    ServerRecord record;
    Seconds warming_until = 0;  // it is warming up until then
    Seconds changed_at = 0;     // when this process last learned something new about it
    Seconds heartbeat_at = 0;   // when this process last received its heartbeat; used by its owner only
    bool is_durable = false;    // it drains or has left, and a majority of disks is known to hold that
  };

  /// Takes a record from this process' own disk after a start; the server's time-out begins now.
  void restore(ServerRecord const& record, Seconds now);
  /// Takes a record that another process passed on. Returns true if it says something that others should hear of.
  bool merge_record(ServerRecord const& record, Seconds now);
  /// Takes a heartbeat that `self`, this process, received from the server and so becomes its owner. Returns true
  /// if it says something that others should hear of.
  bool record_heartbeat(ServerRecord record, std::string const& self, Seconds now);

  /// Marks those servers of owner `self` as gone that have sent no heartbeat for `timeout` seconds; returns them.
  std::vector<ServerRecord> mark_silent_gone(std::string const& self, Seconds timeout, Seconds now);
  /// Marks all servers of an owner that is lost as gone; returns them.
  std::vector<ServerRecord> mark_gone_of_owner(std::string const& owner, Seconds now);
  /// Marks as gone what a complete list of servers lacks and this process has known unchanged for `min_age` seconds;
  /// returns the ids.
  std::vector<std::string> mark_absent_gone(std::vector<ServerRecord> const& complete, Seconds min_age, Seconds now);
  /// Starts all time-outs anew: after this process itself was stalled, no server is late.
  void restart_timeouts(Seconds now);
  /// Forgets servers that have been gone for longer than `age` seconds; returns their ids.
  std::vector<std::string> forget_gone(Seconds age, Seconds now);
  /// A majority of disks holds this departure. Without effect if another state of the server is known meanwhile.
  void mark_durable(ServerRecord const& departure);
  /// Is the server's departure known to be on a majority of disks?
  bool is_durable(std::string const& id) const;

  /// All records, those of servers that are gone included, with the warm-up times that are left at `now`.
  std::vector<ServerRecord> records(Seconds now) const;
  /// Those that changed at `since` or later.
  std::vector<ServerRecord> changed_since(Seconds since, Seconds now) const;
  /// The record of one server; nothing if the id is unknown.
  std::optional<ServerRecord> find(std::string const& id, Seconds now) const;
  /// A number that differs if two registries hold different servers, apart from those that are gone.
  u64 digest() const { return digest_; }
  std::unordered_map<std::string, Entry> const& entries() const { return entries_; }

 private:
  static u64 hash_of(ServerRecord const& record);
  static ServerRecord record_at(Entry const& entry, Seconds now);
  void replace(Entry& entry, ServerRecord const& record, Seconds now);
  ServerRecord const& mark_gone(Entry& entry, Seconds now);

  std::unordered_map<std::string, Entry> entries_;  // by id
  u64 digest_ = 0;                                  // sum of the hashes of all records that are not gone
};

}  // namespace dockbend
