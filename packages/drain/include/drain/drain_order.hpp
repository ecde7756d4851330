/// An operator's order to drain proxies or servers, as it arrives at a controller, and the checks on it. No I/O.
#pragma once
#include <stdexcept>
#include <string>
#include <vector>

#include "consensus/replicated_state.hpp"

namespace dockbend {

/// One proxy or server that an order names. `name` is the front address of a proxy or the id of a server; `node`
/// is the proxy's node name or the server's service; `wave` counts from 0 and is used for proxies only.
struct DrainOrderUnit {
  DB_RECORD(DrainOrderUnit, (std::string, name), (std::string, node), (u32, wave));
};

/// A drain order. The fields are members of a JSON body.
/// - `id`: a decimal number above 0, chosen by the caller, so that a repeated call finds its run again
/// - `headroom`: share of a region's capacity that must stay unused, 0 to below 1
/// - `maxUnavailable`: how many servers of one service may be missing at once (servers only)
/// - `patienceS`: seconds after which a unit that is still busy is reported; it is never cut off
/// - `replaced`: drained servers are replaced by new ones, so the service keeps its size
/// - `had`: how many servers each service had when the order was made
struct DrainOrder {
  DB_RECORD(DrainOrder, (std::string, id), (bool, servers), (double, headroom), (u32, maxUnavailable),
            (double, patienceS), (bool, replaced), (std::vector<DrainOrderUnit>, units),
            (std::vector<InitialServerCount>, had));
};

/// An order or command that is refused. `code` is the HTTP status of the answer; the text is one line that names
/// the item at fault.
struct DrainOrderError : std::runtime_error {
  int code;
  DrainOrderError(int http_status, std::string const& what) : std::runtime_error(what), code(http_status) {}
};

/// Throws DrainOrderError (400) unless the order is complete, its numbers are in range and no unit is named twice.
void validate(DrainOrder const& order);

/// The run's number in the replicated state. Throws DrainOrderError (400) unless `order.id` is a number above 0.
u64 run_id_of(DrainOrder const& order);

/// A digest that is the same for the same order, whatever sequence its units are listed in; never 0.
u64 digest_of(DrainOrder order);

}  // namespace dockbend
