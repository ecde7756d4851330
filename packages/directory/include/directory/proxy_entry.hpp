/// One row of the directory.
#pragma once
#include <string>

#include "server_registry/heartbeat_messages.hpp"

namespace dockbend {

/// A proxy as this directory knows it. Static columns come with its registration, dynamic ones with each keepalive.
/// Invariant: an entry that was not heard of for the directory's time-out is not in the table.
struct ProxyEntry {
  std::string front, zone, region;  // static; front: the address that clients connect to
  bool ready = false;               // dynamic
  double load = 0;                  // dynamic: share in use of its processor or link, 0..1
  Seconds heard = 0;                // when it was last heard of, by the steady clock
  u64 channel = 0;                  // number of its connection, if registered here; 0: another directory passed it on
  std::string via;                  // the directory that is its primary; empty: this one
  ProxyDrainStatus drain;           // what it reports of itself while it is being drained
  u64 unmatched = 0;                // messages that its agent ignored because they answer no open request
  bool current = false;             // it has the configuration in force, as far as is known
};

}  // namespace dockbend
