/// Changes of tenants' API keys, as an operator sends them.
#pragma once
#include <criterion/criterion.h>

#include <map>
#include <string>
#include <vector>

#include "configuration/configuration.hpp"

namespace dockbend::test {

struct TenantKeys {
  unsigned generation;
  std::string name;
  std::vector<std::string> keys;
};

inline std::string tenants_change(std::vector<TenantKeys> const& tenants) {
  std::string customers;
  for (TenantKeys const& tenant : tenants) {
    std::string keys;
    for (std::string const& key : tenant.keys)
      keys += (keys.empty() ? "\"" : ",\"") + key + "\"";
    customers += (customers.empty() ? "" : ",") + (R"({"name":")" + tenant.name) + R"(","keys":[)" + keys +
                 R"(],"generation":")" + json::gen_str(Generation(tenant.generation)) + "\"}";
  }
  return R"({"upsert":{"customers":[)" + customers + "]}}";
}

inline std::string tenant_change(unsigned generation, std::string const& name, std::vector<std::string> const& keys) {
  return tenants_change({{generation, name, keys}});
}

inline std::string tenant_removal(unsigned generation, std::string const& name) {
  return R"({"remove":{"customers":[{"name":")" + name + R"(","generation":")" + json::gen_str(Generation(generation)) +
         "\"}]}}";
}

/// The change must set something.
inline void take(std::map<std::string, ConfigItem>& items, std::string const& change) {
  std::string fault;
  cr_assert(join(items, read_amend(change), fault) == MergeResult::changed, "%s: %s", change.substr(0, 200).c_str(),
            fault.c_str());
}

}  // namespace dockbend::test
