// API keys that were taken away from their tenants are known for a while, and are in force nowhere.
#include "configuration/former_keys.hpp"

#include <criterion/criterion.h>

#include "support/tenant_changes.hpp"

using namespace dockbend;
using namespace dockbend::test;

namespace {
std::vector<std::string> former_keys_of(ItemMap const& items, std::string const& tenant) {
  std::vector<std::string> keys;
  auto const item = items.find(item_key::former_keys(tenant));
  if (item == items.end()) return keys;
  for (FormerKey const& former : read_former_keys(item->second).keys)
    keys.push_back(former.key);
  return keys;
}

std::vector<ConfigItem> list_of(ItemMap const& items) {
  std::vector<ConfigItem> list;
  for (auto const& [key, item] : items)
    list.push_back(item);
  return list;
}

/// As 0ff9f62 wrote it.
ConfigItem undated_item(std::string const& tenant, unsigned version, std::string const& keys) {
  return ConfigItem{item_key::former_keys(tenant), Generation(version), true, R"({"keys":[)" + keys + "]}"};
}

std::string former_tenant_of(ItemMap const& items, std::string const& key) {
  CompiledConfiguration const configuration = CompiledConfiguration::from(list_of(items));
  std::string const* const tenant = configuration.former_tenant_of(key);
  return tenant == nullptr ? "" : *tenant;
}
}  // namespace

Test(former_keys, a_tenant_that_loses_no_key_costs_no_item) {
  ItemMap items;
  take(items, tenant_change(1, "ada", {"k1"}));
  take(items, tenant_change(2, "ada", {"k1", "k2"}));
  take(items, tenant_change(3, "bob", {}));
  take(items, tenant_removal(4, "bob"));
  cr_assert_eq(items.size(), 2u);
}

// Failure: from the seventeenth key on, those taken away by one change were forgotten at once.
Test(former_keys, all_that_one_change_takes_away_are_kept) {
  ItemMap items;
  std::vector<std::string> keys;
  for (int i = 0; i < 1000; ++i)
    keys.push_back("k" + std::to_string(i));
  take(items, tenant_change(1, "ada", keys));
  take(items, tenant_change(2, "ada", {"another"}));
  cr_assert(former_keys_of(items, "ada") == keys);
}

// Failure: sixteen changes later a key was forgotten, however soon they came.
Test(former_keys, all_that_changes_in_series_take_away_are_kept_and_not_read_back) {
  ItemMap items;
  unsigned generation = 1;
  for (int i = 0; i <= 40; ++i)
    take(items, tenant_change(++generation, "ada", {"k" + std::to_string(i)}));
  std::vector<std::string> const former = former_keys_of(items, "ada");
  cr_assert_eq(former.size(), 40u);
  cr_assert(former.front() == "k39" && former.back() == "k0");
  cr_assert_eq(render_read(items).find("\"k39\""), std::string::npos);
  cr_assert_eq(render_read(items).find("\"k0\""), std::string::npos);
}

Test(former_keys, no_tenants_name_is_taken_for_them) {
  ItemMap items;
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

Test(former_keys, of_two_tenants_the_one_that_lost_the_key_last_has_its_operations) {
  ItemMap items;
  take(items, tenant_change(9, "ada", {"k"}));
  take(items, tenant_change(10, "ada", {}));
  take(items, tenant_change(1, "bob", {"k"}));
  cr_assert(former_tenant_of(items, "k") == "ada");
  take(items, tenant_change(2, "bob", {}));
  cr_assert(former_tenant_of(items, "k") == "bob");
}

Test(former_keys, two_tenants_may_swap_their_keys) {
  ItemMap items;
  take(items, tenant_change(1, "ada", {"k1"}));
  take(items, tenant_change(1, "bob", {"k2"}));
  take(items, tenants_change({{2, "ada", {"k2"}}, {2, "bob", {"k1"}}}));
  CompiledConfiguration const configuration = CompiledConfiguration::from(list_of(items));
  cr_assert(configuration.tenant_of("k1")->name == "bob");
  cr_assert(configuration.tenant_of("k2")->name == "ada");
  take(items, tenants_change({{3, "ada", {}}, {3, "bob", {}}}));
  cr_assert(former_tenant_of(items, "k1") == "bob");
  cr_assert(former_tenant_of(items, "k2") == "ada");
}

// Failure: of two tenants with one key and one version, the one that a proxy had heard of first had its requests.
Test(former_keys, of_two_tenants_with_one_key_all_machines_choose_the_same) {
  ItemMap items;
  take(items, tenant_change(1, "ada", {"k"}));
  take(items, tenant_change(1, "bob", {"k"}));
  for (bool const is_bob_first : {true, false}) {
    CompiledConfiguration configuration;
    configuration.put(items.at(item_key::tenant(is_bob_first ? "bob" : "ada")));
    configuration.put(items.at(item_key::tenant(is_bob_first ? "ada" : "bob")));
    cr_assert(configuration.tenant_of("k")->name == "ada");
  }
}

Test(former_keys, a_change_for_which_there_is_no_room_is_refused_and_nothing_is_forgotten) {
  ItemMap items;
  std::vector<std::string> keys;
  std::size_t constexpr kKeyBytes = 100'000;
  for (std::size_t i = 0; i < kMostFormerKeyBytes / kKeyBytes + 1; ++i)
    keys.push_back(std::to_string(i) + std::string(kKeyBytes, 'x'));
  take(items, tenant_change(1, "ada", keys));
  take(items, tenant_change(1, "bob", {"k"}));
  ItemMap const before = items;
  std::string field;
  cr_assert(join(items, read_amend(tenant_removal(2, "ada")), field) == MergeResult::no_room);
  cr_assert(field == "customers: too many keys were taken away lately");
  cr_assert(items == before);
  std::vector<std::string> const half(keys.begin(), keys.begin() + static_cast<std::ptrdiff_t>(keys.size() / 2));
  take(items, tenant_change(2, "ada", half));
  cr_assert(join(items, read_amend(tenant_removal(3, "ada")), field) == MergeResult::no_room);
  take(items, tenant_change(4, "bob", {}));
  cr_assert_eq(former_keys_of(items, "ada").size(), keys.size() - half.size());
}

Test(former_keys, only_keys_that_have_expired_are_let_go) {
  ItemMap items;
  take(items, tenant_change(1, "ada", {"k1", "k2"}));
  take(items, tenant_change(2, "ada", {"k2"}));
  Generation const first_loss = items.at(item_key::former_keys("ada")).gen;
  take(items, tenant_change(3, "ada", {}));
  Generation const second_loss = items.at(item_key::former_keys("ada")).gen;
  std::vector<ConfigItem> list = list_of(items);
  cr_assert(forget_former_keys(list, {{item_key::former_keys("ada"), first_loss}}));
  cr_assert_not(forget_former_keys(list, {{item_key::former_keys("ada"), first_loss}}));
  ConfigItem const& item = list.front();
  cr_assert(holds_former_keys(item) && item.gen > second_loss);
  cr_assert(read_former_keys(item).keys == std::vector<FormerKey>({{"k2", second_loss}}));
}

// What 0ff9f62 stored: every key has the item's version, and is let go only by who saw just that version.
Test(former_keys, an_item_of_the_release_before_is_read_and_let_go) {
  ItemMap items;
  ConfigItem const undated = undated_item("ada", 7, R"("k1","k2")");
  items[undated.key] = undated;
  cr_assert(former_keys_of(items, "ada") == std::vector<std::string>({"k1", "k2"}));
  std::vector<ConfigItem> list = list_of(items);
  cr_assert_not(forget_former_keys(list, {{undated.key, Generation(8)}}));
  cr_assert(forget_former_keys(list, {{undated.key, Generation(7)}}));
  cr_assert(read_former_keys(list.front()).keys.empty());
  take(items, tenant_change(8, "ada", {"k3"}));
  take(items, tenant_change(9, "ada", {}));
  cr_assert(former_keys_of(items, "ada") == std::vector<std::string>({"k3", "k1", "k2"}));
}

// Failure: a controller of b1b2423 that made the change during an upgrade kept nothing of the key.
Test(former_keys, keys_that_a_release_without_them_took_away_are_recorded) {
  ItemMap items;
  take(items, tenant_change(1, "ada", {"k1", "k2"}));
  std::vector<ConfigItem> const old = list_of(items);
  ItemMap after;
  take(after, tenant_change(2, "ada", {"k2"}));
  std::vector<UnrecordedKeys> const unrecorded = find_unrecorded_keys(old, list_of(after));
  cr_assert_eq(unrecorded.size(), 1u);
  cr_assert(record_former_keys(after, unrecorded));
  cr_assert(former_keys_of(after, "ada") == std::vector<std::string>({"k1"}));
  cr_assert_not(record_former_keys(after, unrecorded));
}

// Failure: one of 0ff9f62 kept only sixteen, under a version that proxies had seen overtaken.
Test(former_keys, keys_that_the_release_before_cut_off_are_recorded) {
  ItemMap items;
  take(items, tenant_change(1, "ada", {"k1", "k2"}));
  take(items, tenant_change(2, "ada", {"k3"}));
  std::vector<ConfigItem> const old = list_of(items);
  Generation const version = items.at(item_key::former_keys("ada")).gen;
  ItemMap after = items;
  take(after, tenant_change(3, "ada", {}));
  ConfigItem const cut = undated_item("ada", 3, R"("k3","k1")");
  after[cut.key] = cut;
  std::vector<UnrecordedKeys> const unrecorded = find_unrecorded_keys(old, {cut, after.at(item_key::tenant("ada"))});
  cr_assert(record_former_keys(after, unrecorded));
  cr_assert(former_keys_of(after, "ada") == std::vector<std::string>({"k3", "k1", "k2"}));
  cr_assert(after.at(cut.key).gen > version);
  for (FormerKey const& key : read_former_keys(after.at(cut.key)).keys)
    cr_assert(key.since > version);
}

Test(former_keys, nothing_is_recorded_for_changes_of_this_release) {
  ItemMap items;
  take(items, tenant_change(1, "ada", {"k1", "k2"}));
  std::vector<ConfigItem> old = list_of(items);
  take(items, tenant_change(2, "ada", {"k2"}));
  cr_assert(find_unrecorded_keys(old, list_of(items)).empty());
  old = list_of(items);
  std::vector<ConfigItem> list = old;
  cr_assert(forget_former_keys(list, {{item_key::former_keys("ada"), items.at(item_key::former_keys("ada")).gen}}));
  cr_assert(find_unrecorded_keys(old, {list.front()}).empty());
}
