/// What controllers pass on to each other of proxies and servers, and the digests that reveal differences.
#pragma once
#include <string>
#include <vector>

#include "base/record.hpp"
#include "base/types.hpp"
#include "server_registry/heartbeat_messages.hpp"
#include "wire/codec.hpp"

namespace dockbend {

/// A proxy as its primary directory passes it on. `age`: seconds since the proxy was last heard, so that the entry
/// times out everywhere when it does at the primary; `gone`: the entry is to be removed; `current`: the proxy has the
/// configuration in force.
struct ProxyRecord {
  DB_RECORD(ProxyRecord, (std::string, front), (std::string, zone), (std::string, region), (bool, ready),
            (double, load), (double, age), (bool, gone), (ProxyDrainStatus, drain), (bool, current));
};

/// Proxy entries of the directory `origin`. Other regions get only those that changed: `alive` then says that the rest
/// is as it was, and `marks` is the sum of the hashes of all front addresses that origin is the primary of. `relay`:
/// the receiver passes the message on within its region.
struct ProxyGossip {
  DB_RECORD(ProxyGossip, (std::vector<ProxyRecord>, rows), (std::string, origin), (bool, relay), (bool, alive),
            (u64, marks));
};

/// A controller's regular report to its peers. `digest`: of its server registry; `ballot`: of its configuration;
/// `controllers`: whose addresses it knows; `accepted`: the newest value it has accepted; `wall`: its wall-clock time
/// in seconds; `fit`: it can hold leases; `contact_left`: for how many seconds its contact with a majority holds.
struct GossipDigest {
  DB_RECORD(GossipDigest, (u64, digest), (Ballot, ballot), (std::vector<std::string>, controllers),
            (Incarnation, incarnation), (Ballot, accepted), (double, wall), (bool, fit), (std::string, node),
            (double, contact_left));
};

}  // namespace dockbend
