// The manifest: named items, each with a generation of its own.
#pragma once
#include <map>
#include <memory>
#include <unordered_map>

#include "configuration/json.hpp"

namespace dockbend {

// One item as the register keeps it. Invariant: of two items with one key the
// higher gen holds; two bodies never stand under one (key, gen).
struct ConfigItem {
  DB_RECORD(ConfigItem, (std::string, key), (Generation, gen), (bool, gone), (std::string, body));
  friend bool operator==(ConfigItem const& a, ConfigItem const& b) {
    return a.key == b.key && a.gen == b.gen && a.gone == b.gone && a.body == b.body;
  }
};

struct Evacuation {  // (counter, on): the highest counter holds
  DB_RECORD(Evacuation, (std::string, zone), (u64, counter), (bool, on));
};

struct ServiceReference {
  std::string field, service, key;  // key: the item that names the service
};
// What one Config.Amend asks for: items by key, and the services its lanes name.
struct ConfigChange {
  std::vector<ConfigItem> items;
  std::vector<ServiceReference> needs;
};

// Is it one item, whatever way its body is spelled (order of members, blanks, 1.0 for 1)?
bool same_item(ConfigItem const& a, ConfigItem const& b);

// Throws json::Fault naming the field; nothing of an invalid call survives.
ConfigChange read_amend(std::string_view body);

// Outcome of joining an amendment into standing items.
enum class MergeResult { changed, same, clash, unknown_service };
// items is changed only if the outcome is `changed`. field names what was wrong. A call
// that was taken once gives `changed` or `same` for ever after, whatever came between.
MergeResult join(std::map<std::string, ConfigItem>& items, ConfigChange const& a, std::string& field);

// Would joining a change anything? Costs no copy.
bool brings_news(std::vector<ConfigItem> const& items, ConfigChange const& a);

std::string render_read(std::map<std::string, ConfigItem> const& items);

// A lane, compiled.
struct Route {
  std::string name, host, prefix;
  schema::RouteKind kind{};
  std::vector<std::pair<std::string, double>> to;  // service, gain; sum of gains > 0
  Seconds deadline = 0, latency_target = 0;
  u32 max_attempts = 1, rank = 0;
  bool keyless = false;
  std::vector<std::string> homes;
  Generation gen;
};
using RoutePtr = std::shared_ptr<Route const>;

// A partner that errands are run for.
struct Tenant {
  std::string name;
  std::vector<std::string> keys, homes;
  std::optional<u32> rank;  // comes before the lane's
  std::optional<schema::Allowance> allowance;
  Generation gen;
};
using TenantPtr = std::shared_ptr<Tenant const>;

struct ServiceConfig {
  std::string name;
  u32 conn_limit = 64;
  bool dedupes = false;
  Seconds cold_s = 0;
  double cold_rate = 0;
};
struct LimitsConfig {
  u64 header_bytes = 16384, body_bytes = 64u << 20;
  Seconds header_deadline = 10, idle = 60;
};

// The manifest as a proxy uses it. A change costs its own size, not the whole's;
// errands keep the lane and tenant that they began under.
// Invariants: items_ has the newest generation of every key put; a lane stands in
// exact_ if its prefix ends with a slash, else in odd_; the first of a list holds.
class CompiledConfiguration {
 public:
  static CompiledConfiguration from(std::vector<ConfigItem> const& items);
  void put(ConfigItem const& it);
  // The lane with the longest prefix that begins the path, or null.
  RoutePtr find(std::string_view host, std::string_view path) const;
  TenantPtr tenant_of(std::string_view key) const;  // null: no such key
  TenantPtr tenant(std::string_view name) const;
  std::vector<TenantPtr> tenants() const;
  bool has_tenants() const { return !tenants_.empty(); }
  ServiceConfig const* pool(std::string const& n) const;
  LimitsConfig const& limits() const { return limits_; }
  std::size_t routes() const { return routes_.size(); }
  std::size_t size() const { return routes_.size() + tenants_.size() + pools_.size(); }  // items in force
  u32 lowest_rank() const;  // the largest number among the lanes
  std::map<std::string, RoutePtr> const& all_lanes() const { return routes_; }

 private:
  struct Hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view s) const { return std::hash<std::string_view>{}(s); }
  };
  template <class T>
  using Index = std::unordered_map<std::string, std::vector<T>, Hash, std::equal_to<>>;
  void drop(std::string const& key);
  std::map<std::string, Generation> gens_;
  std::map<std::string, RoutePtr> routes_;    // by item key
  std::map<std::string, TenantPtr> tenants_;  // by item key
  Index<RoutePtr> exact_;                     // host + prefix
  Index<RoutePtr> odd_;                       // host; longest prefix first
  Index<TenantPtr> by_key_;
  std::map<std::string, ServiceConfig> pools_;
  std::map<u32, std::size_t> ranks_;  // rank -> lanes of it
  LimitsConfig limits_;
};

}  // namespace dockbend
