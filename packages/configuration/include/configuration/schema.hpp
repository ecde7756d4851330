/// The JSON of the control API and of the servers' calls, as records. Each field's name is the JSON member's name,
/// fixed by the users' pages. The suffix S means seconds; `generation` is the item's version.
#pragma once
#include <optional>
#include <string>
#include <vector>
#include "base/record.hpp"

#include "base/types.hpp"

namespace dockbend::schema {

/// What a route's requests do: idempotent ones may be repeated, effectful ones may not, keyed ones run once for each
/// idempotency key, inflow ones are uploads. The numbers are kept on the wire and on disk.
enum class RouteKind : u8 { idempotent = 1, effectful = 2, keyed = 3, inflow = 4 };

/// Which requests a route takes: those whose path begins with pathPrefix.
struct Selector {
  DB_RECORD(Selector, (std::string, pathPrefix));
};
/// One service of a weighted split; gain is its weight, 0 or more.
struct Share {
  DB_RECORD(Share, (std::string, service), (double, gain));
};
/// What is done with a route's requests: sent to one service or split over several, within deadlineS seconds and in at
/// most maxTries attempts, in homeRegions only if there are any. Invariant after check: service or a split is there; a
/// split holds if both are; deadlineS > 0.
struct Actuation {
  DB_RECORD(Actuation, (std::optional<std::string>, service), (std::optional<std::vector<Share>>, split),
            (double, deadlineS), (std::optional<u32>, maxTries),
            (std::optional<std::vector<std::string>>, homeRegions));
};
/// A route: setpointS is the latency target, rank the priority (larger is shed first), keyless that no tenant's key is
/// needed.
struct Policy {
  DB_RECORD(Policy, (std::string, name), (RouteKind, kind), (std::optional<double>, setpointS),
            (std::optional<u32>, rank), (std::optional<bool>, keyless), (Generation, generation), (Selector, selector),
            (Actuation, actuation));
};
/// A host and its routes.
struct Socket {
  DB_RECORD(Socket, (std::string, host), (std::vector<Policy>, policy));
};
/// A service: connLimit bounds the connections to one server, selfDedupes says that its servers recognise repeated
/// requests themselves, coldS is how long a new server warms up and coldRateS how many requests a second it gets then.
struct Pool {
  DB_RECORD(Pool, (std::string, name), (std::optional<std::string>, healthPath), (std::optional<u32>, connLimit),
            (std::optional<bool>, selfDedupes), (std::optional<double>, coldS), (std::optional<double>, coldRateS),
            (Generation, generation));
};
/// A tenant's rate limit, shared by all proxies: `rate` requests a second, `burst` at once, and `reserve`, the share of
/// the burst that is kept for requests of high rank. Invariant after check: rate > 0, burst >= 1, 0 <= reserve < 1.
struct Allowance {
  DB_RECORD(Allowance, (double, rate), (double, burst), (std::optional<double>, reserve));
};
/// A tenant. Of two that have the same API key the one with the newer item holds it.
struct Customer {
  DB_RECORD(Customer, (std::string, name), (std::optional<std::vector<std::string>>, keys), (std::optional<u32>, rank),
            (std::optional<std::vector<std::string>>, homeRegions), (std::optional<Allowance>, allowance),
            (Generation, generation));
};
/// Bounds on clients' requests, in bytes and seconds. Invariant after check: the times are above 0.
struct Limits {
  DB_RECORD(Limits, (std::optional<u64>, headerBytes), (std::optional<u64>, bodyBytes),
            (std::optional<double>, headerDeadlineS), (std::optional<double>, idleTimeoutS), (Generation, generation));
};
/// Items to set.
struct Upsert {
  DB_RECORD(Upsert, (std::optional<Limits>, limits), (std::optional<std::vector<Socket>>, sockets),
            (std::optional<std::vector<Pool>>, pools), (std::optional<std::vector<Customer>>, customers));
};
/// An item to remove, by name, at a version.
struct ItemRemoval {
  DB_RECORD(ItemRemoval, (std::string, name), (Generation, generation));
};
/// Items to remove; `services` is another name for `pools`.
struct Remove {
  DB_RECORD(Remove, (std::optional<std::vector<ItemRemoval>>, routes), (std::optional<std::vector<ItemRemoval>>, pools),
            (std::optional<std::vector<ItemRemoval>>, services), (std::optional<std::vector<ItemRemoval>>, customers));
};
/// A configuration change, as `manifest amend` sends it.
struct AmendRequest {
  DB_RECORD(AmendRequest, (std::optional<Upsert>, upsert), (std::optional<Remove>, remove));
};

/// A server's regular report: coldLeftS is how many seconds it still warms up, callSeq rises with each report.
struct Heartbeat {
  DB_RECORD(Heartbeat, (std::string, service), (std::string, address), (std::string, zone),
            (std::optional<std::string>, generation), (double, capacity), (std::string, state),
            (std::optional<double>, coldLeftS), (u64, callSeq));
};
/// Where the server sends its next heartbeats, if elsewhere.
struct HeartbeatResponse {
  DB_RECORD(HeartbeatResponse, (std::optional<std::string>, beatTarget));
};
/// Proxies for a client, best first, and for how many seconds the answer may be kept.
struct ResolveResponse {
  DB_RECORD(ResolveResponse, (std::vector<std::string>, addresses), (double, ttlS));
};
/// The answer of every refused call; the member's wire name is `fault`.
struct ErrorResponse {
  DB_RECORD(ErrorResponse, (std::string, error_response, fault));
};

}  // namespace dockbend::schema
