/// What proxies report to the directories at each heartbeat, and what they get in return.
#pragma once
#include <string>
#include <vector>

#include "base/record.hpp"
#include "base/types.hpp"
#include "wire/codec.hpp"

namespace dockbend {

/// What a proxy that is being drained reports of itself; all fields are zero otherwise, and so not sent. `stage`: the
/// DrainStage it acts by. Invariants: `keyed` and `uploads` count requests that are open, `keyed` also those answered
/// so lately that their answer may not be stored yet; `since` is how many seconds ago, by its own clock, it was first
/// instructed, which is when the directories ceased to name it.
struct ProxyDrainStatus {
  DB_RECORD(ProxyDrainStatus, (u32, stage), (u64, incarnation), (u32, keyed), (u32, uploads), (double, since));
};

/// What a proxy is to do: act by `stage` (a DrainStage) if it is the incarnation named.
struct DrainInstruction {
  DB_RECORD(DrainInstruction, (u32, stage), (u64, incarnation));
};

/// A proxy's registration and keepalive. `load`: share of its processor or link in use, 0..1; `ballot`: of the
/// configuration it has; `primary`: this directory passes the proxy's entry on to the others; `unmatched`: messages
/// that its agent ignored because they answer no open request.
struct ProxyHeartbeat {
  DB_RECORD(ProxyHeartbeat, (std::string, front), (std::string, zone), (std::string, region), (bool, ready),
            (double, load), (Ballot, ballot), (bool, primary), (ProxyDrainStatus, drain), (u64, unmatched));
};

/// How many proxies serve in a zone: by these numbers each proxy works out its part of what all share.
struct ZoneProxyCount {
  DB_RECORD(ZoneProxyCount, (std::string, zone), (u32, n));
};

/// A directory's answer to a heartbeat. `sites`: proxies of all zones; `ballot`: of the configuration in force;
/// `digest`: of the server registry; `in_contact`: the controller reaches a majority; `wall`: its wall-clock time in
/// seconds; `relays`: controllers to go through when a direct connection fails.
struct ProxyHeartbeatResponse {
  DB_RECORD(ProxyHeartbeatResponse, (std::vector<ZoneProxyCount>, sites), (Ballot, ballot), (u64, digest),
            (bool, in_contact), (double, wall), (std::vector<std::string>, relays), (DrainInstruction, drain));
};

/// The median clock's wall time in seconds as an agent knows it, for its proxy.
struct ClockReading {
  DB_RECORD(ClockReading, (double, wall));
};

}  // namespace dockbend
