/// The directory of proxies that clients ask where to connect to. It follows section 4 of the paper on Sinfonia: a
/// table of proxies that is fed by pushed registrations and keepalives, an entry dropped after missed keepalives, and
/// a replaceable selector that returns at most three proxies, all of them good enough. No I/O.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "directory/nearest_selector.hpp"
#include "directory/proxy_selector.hpp"
#include "directory/proxy_table.hpp"

namespace dockbend {

/// The table with a selector. A template because the selector is the part that the paper has replaceable.
template <ProxySelector S>
class Directory : public ProxyTable {
 public:
  /// `timeout`, `settle_time`: see ProxyTable.
  explicit Directory(Seconds timeout, Seconds settle_time = 0, S selector = S())
      : ProxyTable(timeout, settle_time), selector_(selector) {}

  /// The proxies that a client is to use, the preferred first; they are valid until the table changes. `cordoned`, a
  /// set or map by front address, has proxies that get no new clients as long as another one is ready.
  template <class Fronts = std::set<std::string>>
  std::vector<ProxyEntry const*> resolve(ClientContext const& client, Fronts const& cordoned = {}) const {
    std::vector<ProxyEntry const*> ready, usable;
    for (auto const& [front, entry] : entries()) {
      if (!entry.ready) continue;
      ready.push_back(&entry);
      if (cordoned.count(front) == 0) usable.push_back(&entry);
    }
    return selector_.choose(usable.empty() ? ready : usable, client);
  }

 private:
  S selector_;
};

}  // namespace dockbend
