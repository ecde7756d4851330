// What a proxy and its agent say to each other about keys, over loopback.
#pragma once
#include "idempotency/key_table.hpp"
#include "server_registry/server_registry.hpp"

namespace dockbend {

enum class Leave : u8 { run = 1, repeat = 2, at_work = 3, lost = 4, unavailable = 5 };

struct Ask {
  DB_RECORD(Ask, (std::string, key), (u64, holder), (u32, work_ms), (std::vector<std::string>, homes));
};
// holder: whose ask this answers; a tag alone may be another's by now.
struct AskR {
  DB_RECORD(AskR, (Leave, leave), (std::string, ret), (u64, holder));
};
enum class Outcome : u8 { not_run = 1, returned = 2, lost = 3 };
struct Told {
  DB_RECORD(Told, (std::string, key), (u64, holder), (Outcome, outcome), (std::vector<std::string>, homes),
            (std::string, ret));
};
struct Load {
  DB_RECORD(Load, (bool, ready), (double, load), (bool, draining), (std::string, front), (DrainWord, drain));
};

}  // namespace dockbend
