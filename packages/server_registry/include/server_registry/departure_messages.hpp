/// By which messages a controller has the departures of servers stored by its peers before it acknowledges them.
#pragma once
#include <vector>

#include "base/record.hpp"
#include "server_registry/server_record.hpp"
#include "wire/codec.hpp"

namespace dockbend {

/// Servers that drain or have left. The receiver merges the records, writes them to its disk, and responds only then.
struct StoreDeparturesRequest {
  DB_RECORD(StoreDeparturesRequest, (std::vector<ServerRecord>, records));
};

/// The records of the request with the same tag are on the disk of that incarnation.
struct StoreDeparturesResponse {
  DB_RECORD(StoreDeparturesResponse, (Incarnation, incarnation));
};

}  // namespace dockbend
