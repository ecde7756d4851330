// API keys that were taken away from their tenants are known for a while, and are in force nowhere.
#include "configuration/former_keys.hpp"

#include <criterion/criterion.h>

#include <random>

#include "support/configuration_items.hpp"

using namespace dockbend;
using namespace dockbend::test;

namespace {
using Items = std::map<std::string, ConfigItem>;

std::string tenant_change(unsigned generation, std::string const& name, std::vector<std::string> const& keys) {
  std::string list;
  for (std::string const& key : keys)
    list += (list.empty() ? "\"" : ",\"") + key + "\"";
  return R"({"upsert":{"customers":[{"name":")" + name + R"(","keys":[)" + list + R"(],"generation":")" +
         json::gen_str(Generation(generation)) + "\"}]}}";
}
std::string tenant_removal(unsigned generation, std::string const& name) {
  return R"({"remove":{"customers":[{"name":")" + name + R"(","generation":")" + json::gen_str(Generation(generation)) +
         "\"}]}}";
}
void take(Items& items, std::string const& change) {
  std::string fault;
  cr_assert(join(items, read_amend(change), fault) == MergeResult::changed, "%s", change.c_str());
}
std::vector<std::string> former_keys_of(Items const& items, std::string const& tenant) {
  auto const item = items.find(item_key::former_keys(tenant));
  return item == items.end() ? std::vector<std::string>() : read_former_keys(item->second).keys;
}
}  // namespace

Test(former_keys, a_tenant_that_loses_no_key_costs_no_item) {
  Items items;
  take(items, tenant_change(1, "ada", {"k1"}));
  take(items, tenant_change(2, "ada", {"k1", "k2"}));
  take(items, tenant_change(3, "bob", {}));
  take(items, tenant_removal(4, "bob"));
  cr_assert_eq(items.size(), 2u);
}

Test(former_keys, the_newest_are_kept_and_they_are_not_read_back) {
  Items items;
  std::string const first_key = "k0";
  unsigned generation = 1;
  for (std::size_t i = 0; i <= kMostFormerKeys + 1; ++i)
    take(items, tenant_change(++generation, "ada", {"k" + std::to_string(i)}));
  std::vector<std::string> const former = former_keys_of(items, "ada");
  cr_assert_eq(former.size(), kMostFormerKeys);
  cr_assert(former.front() == "k" + std::to_string(kMostFormerKeys));
  cr_assert(former.back() == "k1");
  cr_assert_eq(render_read(items).find("\"k1\""), std::string::npos);
  cr_assert_eq(render_read(items).find("\"k" + std::to_string(kMostFormerKeys) + "\""), std::string::npos);
}

Test(former_keys, no_tenants_name_is_taken_for_them) {
  Items items;
  take(items, tenant_change(1, "ada", {"k1"}));
  take(items, tenant_removal(2, "ada"));
  cr_assert(holds_former_keys(items.at(item_key::former_keys("ada"))));
  cr_assert_not(holds_former_keys(items.at(item_key::tenant("ada"))));
  cr_assert(read_former_keys(items.at(item_key::former_keys("ada"))).tenant == "ada");
  cr_assert_throw(read_amend(tenant_change(3, "\\u001fada", {})), json::Fault);
}

Test(former_keys, an_item_that_cannot_be_read_holds_none) {
  ConfigItem item{item_key::former_keys("ada"), Generation(1), true, R"({"keys":7})"};
  cr_assert(read_former_keys(item).keys.empty());
  item.body = "what a newer program writes";
  cr_assert(read_former_keys(item).keys.empty());
}

// Whatever is set and removed in whatever order: a key that a tenant has lost, and nobody holds, names that tenant, on
// a proxy that was there all the time and on one that has just started alike.
Test(former_keys, random_changes_keep_whose_keys_were) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 draw(seed);
    Items items;
    CompiledConfiguration followed;
    std::map<std::string, std::vector<std::string>> held, lost;  // by tenant
    for (unsigned generation = 1; generation <= 12; ++generation) {
      std::string const tenant = draw() % 2 == 0 ? "ada" : "bob";
      std::vector<std::string> keys;
      for (std::string const key : {"1", "2", "3"})
        if (draw() % 2 == 0) keys.push_back(tenant + key);
      bool const is_removal = draw() % 4 == 0;
      if (is_removal) keys.clear();
      take(items, is_removal ? tenant_removal(generation, tenant) : tenant_change(generation, tenant, keys));
      for (std::string const& key : held[tenant])
        lost[tenant].push_back(key);
      held[tenant] = keys;
      for (auto const& [key, item] : items)
        followed.put(item);
    }
    CompiledConfiguration started;
    for (auto const& [key, item] : items)
      started.put(item);
    for (CompiledConfiguration const* const configuration : {&followed, &started})
      for (auto const& [tenant, keys] : lost)
        for (std::string const& key : keys) {
          bool const is_held = std::find(held[tenant].begin(), held[tenant].end(), key) != held[tenant].end();
          std::string const* const former = configuration->former_tenant_of(key);
          cr_assert_eq(configuration->tenant_of(key) != nullptr, is_held, "seed %u", seed);
          cr_assert_eq(former != nullptr && *former == tenant, !is_held, "seed %u: %s", seed, key.c_str());
        }
  }
}
