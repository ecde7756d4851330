/// The configuration in the form in which a proxy uses it: routes, tenants, services and limits, found by what a
/// request brings.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "configuration/config_item.hpp"
#include "configuration/former_keys.hpp"
#include "configuration/schema.hpp"

namespace dockbend {

/// Which requests go to which services, and how.
struct Route {
  std::string name, host;
  std::string prefix;  // of the path; begins with a slash
  schema::RouteKind kind{};
  std::vector<std::pair<std::string, double>> to;  // services and their weights; the sum of the weights is above 0
  Seconds deadline = 0;                            // by when a request is answered or given up
  Seconds latency_target = 0;                      // by when an answer earns its full value
  u32 max_attempts = 1;
  u32 rank = 0;                    // priority; the largest number is shed first
  bool keyless = false;            // needs no tenant's key
  std::vector<std::string> homes;  // regions where requests may be served; empty: all
  Generation gen;                  // the item's version
};
using RoutePtr = std::shared_ptr<Route const>;

/// Whom requests are run for.
struct Tenant {
  std::string name;
  std::vector<std::string> keys;               // API keys
  std::vector<std::string> homes;              // regions where its requests may be served; empty: all
  std::optional<u32> rank;                     // comes before the route's
  std::optional<schema::Allowance> allowance;  // rate limit; none: no limit
  Generation gen;                              // the item's version
};
using TenantPtr = std::shared_ptr<Tenant const>;

/// Servers that do the same work.
struct ServiceConfig {
  std::string name;
  u32 conn_limit = 64;   // connections to one server
  bool dedupes = false;  // recognises repeated requests itself
  Seconds cold_s = 0;    // how long a new server warms up
  double cold_rate = 0;  // requests a second that a warming server gets; 0: not limited
};

/// Bounds on what a proxy reads from clients.
struct LimitsConfig {
  u64 header_bytes = 16384;
  u64 body_bytes = 64u << 20;
  Seconds header_deadline = 10;  // for a request's header to be complete
  Seconds idle = 60;             // between requests of one connection
};

/// The compiled configuration. Setting an item costs in proportion to that item, not to the whole. Requests keep the
/// Route and Tenant that they began under, so a change never affects one that runs. Used by the event loop's thread.
class CompiledConfiguration {
 public:
  static CompiledConfiguration from(std::vector<ConfigItem> const& items);

  /// Sets or removes an item. Without effect if its version is not newer than the one known. An item whose body can't
  /// be read (a newer program wrote it) is left out, and what it replaces is removed.
  void put(ConfigItem const& item);

  /// The route of that host with the longest prefix that begins the path; null if there is none.
  RoutePtr find(std::string_view host, std::string_view path) const;

  /// The tenant that has this API key; null if there is none. Of two that have it the newer item holds.
  TenantPtr tenant_of(std::string_view key) const;
  /// Null if there is none of that name.
  TenantPtr tenant(std::string_view name) const;
  std::vector<TenantPtr> tenants() const;
  /// Was a tenant ever set? Requests need a key from then on, though the last tenant may have been removed since.
  bool has_tenants() const { return has_had_tenants_; }
  /// The name of the tenant that this API key was taken away from; null if there is none. Of several the one holds that
  /// lost it last.
  std::string const* former_tenant_of(std::string_view key) const;

  /// The service of that name, valid until the next put(); null if there is none.
  ServiceConfig const* pool(std::string const& name) const;
  LimitsConfig const& limits() const { return limits_; }

  std::size_t routes() const { return routes_.size(); }
  /// Routes, tenants and services in force.
  std::size_t size() const { return routes_.size() + tenants_.size() + pools_.size(); }
  /// The largest rank number among the routes, 0 if there are none: what is shed first.
  u32 lowest_rank() const;
  /// By item key.
  std::map<std::string, RoutePtr> const& all_lanes() const { return routes_; }

 private:
  struct StringHash {  // lets a string_view look up a string
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
  };
  template <class T>
  using Index = std::unordered_map<std::string, std::vector<T>, StringHash, std::equal_to<>>;

  /// An API key, and the tenant that it was taken away from.
  struct FormerHolding {
    std::string api_key;
    std::string name;  // the tenant's
    Generation gen;    // see FormerKey::since
  };
  using FormerHoldingPtr = std::shared_ptr<FormerHolding const>;

  void set(ConfigItem const& item);
  void set_limits(schema::Limits const& limits);
  void add_route(std::string const& key, RoutePtr const& route);
  void add_tenant(std::string const& key, TenantPtr const& tenant);
  void add_former_keys(ConfigItem const& item);
  void remove(std::string const& key);
  void remove_route(std::string const& key);
  void remove_tenant(std::string const& key);
  void remove_former_keys(std::string const& key);
  RoutePtr find_inexact(std::string_view host, std::string_view path) const;

  std::map<std::string, Generation> versions_;  // newest of every key put, also of removed items
  std::map<std::string, RoutePtr> routes_;      // by item key
  std::map<std::string, TenantPtr> tenants_;    // by item key
  // Each route is in exactly one of these two; within a list the first that fits holds.
  Index<RoutePtr> exact_;                // by host + prefix; prefixes that end with a slash; newest first
  Index<RoutePtr> inexact_;              // by host; the other prefixes; longest first, then newest
  Index<TenantPtr> tenants_by_api_key_;  // newest first
  std::map<std::string, std::vector<FormerHoldingPtr>> former_holdings_;  // by item key
  Index<FormerHoldingPtr> former_holdings_by_api_key_;                    // newest first
  bool has_had_tenants_ = false;
  std::map<std::string, ServiceConfig> pools_;  // by the name in the item key
  std::map<u32, std::size_t> routes_by_rank_;   // how many routes have each rank; no zeros
  LimitsConfig limits_;
};

}  // namespace dockbend
