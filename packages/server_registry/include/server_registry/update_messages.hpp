/// How agents and proxies get the configuration and the servers, first complete and then as changes.
#pragma once
#include <string>
#include <vector>

#include "base/record.hpp"
#include "base/types.hpp"
#include "server_registry/heartbeat_messages.hpp"
#include "server_registry/server_record.hpp"
#include "wire/codec.hpp"

namespace dockbend {

/// Begins (`on`) or ends updates on this connection. `have`: the ballot of the configuration that the sender has.
struct SubscribeRequest {
  DB_RECORD(SubscribeRequest, (bool, on), (Ballot, have));
};

/// One update. `state`: an encoded complete state, or `delta`: its changes, or neither; `rows`: servers, all of them
/// if `rows_full` and otherwise those that changed; `sites`: proxies of all zones.
struct StateUpdate {
  DB_RECORD(StateUpdate, (std::string, state), (std::string, delta), (bool, rows_full),
            (std::vector<ServerRecord>, rows), (std::vector<ZoneProxyCount>, sites));
};

}  // namespace dockbend
