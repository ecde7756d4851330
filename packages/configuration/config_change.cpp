#include "configuration/config_change.hpp"

#include <optional>
#include <unordered_map>

#include "configuration/json.hpp"
#include "validation.hpp"

namespace dockbend {
namespace {
using json::Fault;
using json::Value;

std::string indexed(std::string const& list, u32 index) {
  return list + "[" + std::to_string(index) + "]";
}

/// Collects the items of one call. Each key stands once, at the place where it came first.
class ItemCollector {
 public:
  /// @throws json::Fault if the call has two different bodies for one key and version
  void add(ConfigItem item, std::string const& at) {
    auto const [position, is_new] = positions_.try_emplace(item.key, items_.size());
    if (is_new) {
      items_.push_back(std::move(item));
      return;
    }
    // The highest version of a name holds, within one call too.
    ConfigItem& earlier = items_[position->second];
    if (item.gen > earlier.gen)
      earlier = std::move(item);
    else if (item.gen == earlier.gen && !same_item(item, earlier))
      throw Fault(at, "two bodies under one generation");
  }
  std::vector<ConfigItem> take() { return std::move(items_); }

 private:
  std::vector<ConfigItem> items_;
  std::unordered_map<std::string, std::size_t> positions_;  // by key, in items_
};

/// Turns the records of a call into items. An item's body is the JSON as it was sent, so members that this program does
/// not know survive. `call` must outlive the reader, and its JSON must have been read into the records without a fault.
class ChangeReader {
 public:
  explicit ChangeReader(Value const& call) : call_(call) {}

  ConfigChange read(schema::AmendRequest const& request) {
    if (request.upsert) read_upsert(*request.upsert, call_["upsert"]);
    if (request.remove) read_remove(*request.remove);
    change_.items = items_.take();
    return std::move(change_);
  }

 private:
  void read_upsert(schema::Upsert const& upsert, Value const& json) {
    if (upsert.limits) {
      validation::check_limits(*upsert.limits);
      items_.add(ConfigItem{item_key::limits(), upsert.limits->generation, false, json::dump(json["limits"])},
                 "upsert.limits");
    }
    if (upsert.sockets) read_sockets(*upsert.sockets, json["sockets"]);
    if (upsert.pools) read_pools(*upsert.pools, json["pools"]);
    if (upsert.customers) read_customers(*upsert.customers, json["customers"]);
  }

  void read_sockets(std::vector<schema::Socket> const& sockets, Value const& json) {
    for (u32 i = 0; i < sockets.size(); ++i) {
      std::string const at = indexed("upsert.sockets", i);
      validation::check_name(sockets[i].host, at + ".host");
      std::string const host = json::dump(json[i]["host"]);
      for (u32 j = 0; j < sockets[i].policy.size(); ++j)
        read_policy(sockets[i].policy[j], host, json[i]["policy"][j], indexed(at + ".policy", j));
    }
  }

  void read_policy(schema::Policy const& policy, std::string const& host_json, Value const& json,
                   std::string const& at) {
    validation::check_policy(policy, at);
    std::string const key = item_key::route(policy.name);
    schema::Actuation const& actuation = policy.actuation;
    if (actuation.service) change_.needs.push_back({at + ".actuation.service", *actuation.service, key});
    if (actuation.split)
      for (schema::Share const& share : *actuation.split)
        change_.needs.push_back({at + ".actuation.split", share.service, key});
    std::string const body = "{\"host\":" + host_json + ",\"policy\":" + json::dump(json) + "}";
    items_.add(ConfigItem{key, policy.generation, false, body}, at + ".name");
  }

  void read_pools(std::vector<schema::Pool> const& pools, Value const& json) {
    for (u32 i = 0; i < pools.size(); ++i) {
      std::string const at = indexed("upsert.pools", i);
      validation::check_pool(pools[i], at);
      items_.add(ConfigItem{item_key::service(pools[i].name), pools[i].generation, false, json::dump(json[i])},
                 at + ".name");
    }
  }

  void read_customers(std::vector<schema::Customer> const& customers, Value const& json) {
    for (u32 i = 0; i < customers.size(); ++i) {
      schema::Customer const& customer = customers[i];
      std::string const at = indexed("upsert.customers", i);
      validation::check_customer(customer, at);
      items_.add(ConfigItem{item_key::tenant(customer.name), customer.generation, false, json::dump(json[i])},
                 at + ".name");
    }
  }

  void read_remove(schema::Remove const& remove) {
    read_removals(remove.routes, item_key::route, "remove.routes");
    read_removals(remove.pools, item_key::service, "remove.pools");
    read_removals(remove.services, item_key::service, "remove.services");
    read_removals(remove.customers, item_key::tenant, "remove.customers");
  }

  void read_removals(std::optional<std::vector<schema::ItemRemoval>> const& removals,
                     std::string (*key_of)(std::string const&), std::string const& at) {
    if (!removals) return;
    for (schema::ItemRemoval const& removal : *removals)
      items_.add(ConfigItem{key_of(removal.name), removal.generation, true, ""}, at);
  }

  Value const& call_;
  ConfigChange change_;
  ItemCollector items_;
};

// The name that a tenant's item has in the call, if it can be read; the call may be malformed elsewhere.
std::optional<std::string> customer_name(Value const& call, std::size_t index) {
  Value const* const upsert = json::find_member(call, "upsert");
  Value const* const customers = upsert == nullptr ? nullptr : json::find_member(*upsert, "customers");
  if (customers == nullptr || !customers->IsArray() || index >= customers->Size()) return std::nullopt;
  Value const* const name = json::find_member((*customers)[static_cast<rapidjson::SizeType>(index)], "name");
  if (name == nullptr || !name->IsString()) return std::nullopt;
  return name->GetString();
}

// A fault in a tenant's item names the tenant too.
Fault with_customer_name(Fault const& fault, Value const& call) {
  std::string const prefix = "upsert.customers[";
  if (fault.field.compare(0, prefix.size(), prefix) != 0) return fault;
  auto const name = customer_name(call, std::strtoul(fault.field.c_str() + prefix.size(), nullptr, 10));
  if (!name) return fault;
  return Fault("customer '" + *name + "': " + fault.field, fault.problem);
}
}  // namespace

ConfigChange read_amend(std::string_view body) {
  rapidjson::Document const call = json::parse(body);
  try {
    schema::AmendRequest request;
    json::read(static_cast<Value const&>(call), "", request);
    return ChangeReader(call).read(request);
  } catch (Fault const& fault) {
    throw with_customer_name(fault, call);
  }
}

}  // namespace dockbend
