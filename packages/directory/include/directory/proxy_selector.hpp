/// The replaceable part of the directory: which proxies a client gets.
#pragma once
#include <concepts>
#include <string>
#include <vector>

#include "directory/proxy_entry.hpp"

namespace dockbend {

/// Where a client is.
struct ClientContext {
  std::string zone, region;
};

/// Chooses proxies for a client among the entries of `table`, which are all ready: at most three, and all of them
/// good enough, so that the client may use any (Sinfonia, section 4). The entries belong to the caller.
template <class S>
concept ProxySelector = requires(S selector, std::vector<ProxyEntry const*> const& table, ClientContext const& client) {
  { selector.choose(table, client) } -> std::same_as<std::vector<ProxyEntry const*>>;
};

}  // namespace dockbend
