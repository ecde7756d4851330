// What a proxy and its agent say to each other about keys, over loopback.
#pragma once
#include "idempotency/key_table.hpp"
#include "server_registry/server_registry.hpp"

namespace dockbend {

enum class AcquireResult : u8 { run = 1, repeat = 2, at_work = 3, lost = 4, unavailable = 5 };

struct AcquireKeyRequest {
  DB_RECORD(AcquireKeyRequest, (std::string, key), (u64, holder), (u32, work_ms), (std::vector<std::string>, homes));
};
// holder: whose ask this answers; a tag alone may be another's by now.
struct AcquireKeyResponse {
  DB_RECORD(AcquireKeyResponse, (AcquireResult, leave), (std::string, ret), (u64, holder));
};
enum class KeyOutcome : u8 { not_run = 1, returned = 2, lost = 3 };
struct KeyOutcomeNotice {
  DB_RECORD(KeyOutcomeNotice, (std::string, key), (u64, holder), (KeyOutcome, outcome),
            (std::vector<std::string>, homes), (std::string, ret));
};
struct ProxyLoadReport {
  DB_RECORD(ProxyLoadReport, (bool, ready), (double, load), (bool, draining), (std::string, front),
            (ProxyDrainStatus, drain));
};

}  // namespace dockbend
