// The manifest: named items, each with a generation of its own.
#pragma once
#include <map>
#include <memory>
#include <unordered_map>

#include "configuration/json.hpp"

namespace dockbend {

// One item as the register keeps it. Invariant: of two items with one key the
// higher gen holds; two bodies never stand under one (key, gen).
struct Item {
  DB_RECORD(Item, (std::string, key), (Gen, gen), (bool, gone), (std::string, body));
  friend bool operator==(Item const& a, Item const& b) {
    return a.key == b.key && a.gen == b.gen && a.gone == b.gone && a.body == b.body;
  }
};

struct Evac {  // (counter, on): the highest counter holds
  DB_RECORD(Evac, (std::string, zone), (u64, counter), (bool, on));
};

struct Need {
  std::string field, service, key;  // key: the item that names the service
};
// What one Config.Amend asks for: items by key, and the services its lanes name.
struct Amendment {
  std::vector<Item> items;
  std::vector<Need> needs;
};

// Is it one item, whatever way its body is spelled (order of members, blanks, 1.0 for 1)?
bool same_item(Item const& a, Item const& b);

// Throws json::Fault naming the field; nothing of an invalid call survives.
Amendment read_amend(std::string_view body);

// Outcome of joining an amendment into standing items.
enum class Joined { changed, same, clash, unknown_service };
// items is changed only if the outcome is `changed`. field names what was wrong. A call
// that was taken once gives `changed` or `same` for ever after, whatever came between.
Joined join(std::map<std::string, Item>& items, Amendment const& a, std::string& field);

// Would joining a change anything? Costs no copy.
bool brings_news(std::vector<Item> const& items, Amendment const& a);

std::string render_read(std::map<std::string, Item> const& items);

// A lane, compiled.
struct Lane {
  std::string name, host, prefix;
  schema::LaneKind kind{};
  std::vector<std::pair<std::string, double>> to;  // service, gain; sum of gains > 0
  Secs deadline = 0, setpoint = 0;
  u32 max_tries = 1, rank = 0;
  bool keyless = false;
  std::vector<std::string> homes;
  Gen gen;
};
using LaneP = std::shared_ptr<Lane const>;

// A partner that errands are run for.
struct Tenant {
  std::string name;
  std::vector<std::string> keys, homes;
  std::optional<u32> rank;  // comes before the lane's
  std::optional<schema::Allowance> allowance;
  Gen gen;
};
using TenantP = std::shared_ptr<Tenant const>;

struct PoolDef {
  std::string name;
  u32 conn_limit = 64;
  bool dedupes = false;
  Secs cold_s = 0;
  double cold_rate = 0;
};
struct LimitsDef {
  u64 header_bytes = 16384, body_bytes = 64u << 20;
  Secs header_deadline = 10, idle = 60;
};

// The manifest as a proxy uses it. A change costs its own size, not the whole's;
// errands keep the lane and tenant that they began under.
// Invariants: items_ has the newest generation of every key put; a lane stands in
// exact_ if its prefix ends with a slash, else in odd_; the first of a list holds.
class Compiled {
 public:
  static Compiled from(std::vector<Item> const& items);
  void put(Item const& it);
  // The lane with the longest prefix that begins the path, or null.
  LaneP find(std::string_view host, std::string_view path) const;
  TenantP tenant_of(std::string_view key) const;  // null: no such key
  TenantP tenant(std::string_view name) const;
  std::vector<TenantP> tenants() const;
  bool has_tenants() const { return !tenants_.empty(); }
  PoolDef const* pool(std::string const& n) const;
  LimitsDef const& limits() const { return limits_; }
  std::size_t lanes() const { return lanes_.size(); }
  std::size_t size() const { return lanes_.size() + tenants_.size() + pools_.size(); }  // items in force
  u32 lowest_rank() const;  // the largest number among the lanes
  std::map<std::string, LaneP> const& all_lanes() const { return lanes_; }

 private:
  struct Hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view s) const { return std::hash<std::string_view>{}(s); }
  };
  template <class T>
  using Index = std::unordered_map<std::string, std::vector<T>, Hash, std::equal_to<>>;
  void drop(std::string const& key);
  std::map<std::string, Gen> gens_;
  std::map<std::string, LaneP> lanes_;      // by item key
  std::map<std::string, TenantP> tenants_;  // by item key
  Index<LaneP> exact_;                      // host + prefix
  Index<LaneP> odd_;                        // host; longest prefix first
  Index<TenantP> by_key_;
  std::map<std::string, PoolDef> pools_;
  std::map<u32, std::size_t> ranks_;  // rank -> lanes of it
  LimitsDef limits_;
};

}  // namespace dockbend
