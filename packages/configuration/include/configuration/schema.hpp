// The operator's configuration as structs. Member names are the wire's names;
// reading and checking walk the structs by Hana, so a field is declared once.
#pragma once
#include <optional>
#include <string>
#include <vector>
#include "base/record.hpp"

#include "base/types.hpp"

namespace dockbend::schema {

enum class RouteKind : u8 { idempotent = 1, effectful = 2, keyed = 3, inflow = 4 };

struct Selector {
  DB_RECORD(Selector, (std::string, pathPrefix));
};
struct Share {
  DB_RECORD(Share, (std::string, service), (double, gain));
};
// Invariant after check: exactly one of service and split; deadlineS > 0.
struct Actuation {
  DB_RECORD(Actuation, (std::optional<std::string>, service), (std::optional<std::vector<Share>>, split),
            (double, deadlineS), (std::optional<u32>, maxTries),
            (std::optional<std::vector<std::string>>, homeRegions));
};
struct Policy {
  DB_RECORD(Policy, (std::string, name), (RouteKind, kind), (std::optional<double>, setpointS),
            (std::optional<u32>, rank), (std::optional<bool>, keyless), (Generation, generation), (Selector, selector),
            (Actuation, actuation));
};
struct Socket {
  DB_RECORD(Socket, (std::string, host), (std::vector<Policy>, policy));
};
struct Pool {
  DB_RECORD(Pool, (std::string, name), (std::optional<std::string>, healthPath), (std::optional<u32>, connLimit),
            (std::optional<bool>, selfDedupes), (std::optional<double>, coldS), (std::optional<double>, coldRateS),
            (Generation, generation));
};
// A partner's budget of errands, drawn from by all proxies together. Invariant
// after check: rate > 0, burst >= 1, 0 <= reserve < 1.
struct Allowance {
  DB_RECORD(Allowance, (double, rate), (double, burst), (std::optional<double>, reserve));
};
// Invariant after check: no two customers of one call hold one key.
struct Customer {
  DB_RECORD(Customer, (std::string, name), (std::optional<std::vector<std::string>>, keys), (std::optional<u32>, rank),
            (std::optional<std::vector<std::string>>, homeRegions), (std::optional<Allowance>, allowance),
            (Generation, generation));
};
struct Limits {
  DB_RECORD(Limits, (std::optional<u64>, headerBytes), (std::optional<u64>, bodyBytes),
            (std::optional<double>, headerDeadlineS), (std::optional<double>, idleTimeoutS), (Generation, generation));
};
struct Upsert {
  DB_RECORD(Upsert, (std::optional<Limits>, limits), (std::optional<std::vector<Socket>>, sockets),
            (std::optional<std::vector<Pool>>, pools), (std::optional<std::vector<Customer>>, customers));
};
struct ItemRemoval {
  DB_RECORD(ItemRemoval, (std::string, name), (Generation, generation));
};
struct Remove {
  DB_RECORD(Remove, (std::optional<std::vector<ItemRemoval>>, routes), (std::optional<std::vector<ItemRemoval>>, pools),
            (std::optional<std::vector<ItemRemoval>>, services), (std::optional<std::vector<ItemRemoval>>, customers));
};
struct AmendRequest {
  DB_RECORD(AmendRequest, (std::optional<Upsert>, upsert), (std::optional<Remove>, remove));
};

// Servers' calls.
struct Heartbeat {
  DB_RECORD(Heartbeat, (std::string, service), (std::string, address), (std::string, zone),
            (std::optional<std::string>, generation), (double, capacity), (std::string, state),
            (std::optional<double>, coldLeftS), (u64, callSeq));
};
struct HeartbeatResponse {
  DB_RECORD(HeartbeatResponse, (std::optional<std::string>, beatTarget));
};
struct ResolveResponse {
  DB_RECORD(ResolveResponse, (std::vector<std::string>, addresses), (double, ttlS));
};
struct ErrorResponse {
  DB_RECORD(ErrorResponse, (std::string, error_response, fault));
};

}  // namespace dockbend::schema
