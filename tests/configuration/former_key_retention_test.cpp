// For how long a former key is known: long enough for every operation begun with it, and not for ever.
#include "configuration/former_key_retention.hpp"

#include <criterion/criterion.h>

#include <optional>
#include <random>
#include <set>

#include "idempotency/key_table.hpp"
#include "support/tenant_changes.hpp"

using namespace dockbend;
using namespace dockbend::test;

namespace {
constexpr Seconds kKeyHorizon = 60;
constexpr Seconds kRetention = key_binding_time(kKeyHorizon);
constexpr Seconds kForgetInterval = 10;
constexpr int kControllers = 3;
std::vector<std::string> const kTenants = {"ada", "bob", "eve"};
std::vector<std::string> const kKeys = {"k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8"};

/// What became of a key: who has it, and who lost it last.
struct KeyModel {
  std::optional<std::string> loser;
  Seconds lost_at = 0;
  bool is_held = false;
};

/// The items as consensus holds them, the controllers that let keys go, and a proxy that follows all changes.
class System {
 public:
  explicit System(unsigned seed) : draw_(seed), retentions_(kControllers) {}

  void play_step() {
    now_ += std::uniform_real_distribution<>(0, 8)(draw_);
    unsigned const what = draw_() % 10;
    if (what < 6) change_tenants();
    if (what == 6) retentions_[draw_() % kControllers] = FormerKeyRetention();  // that controller starts again
    if (what > 6) let_keys_go(draw_() % kControllers);
    publish();
  }

  void rest_for(Seconds time) {
    for (Seconds const end = now_ + time; now_ < end; now_ += kForgetInterval) {
      for (int controller = 0; controller < kControllers; ++controller)
        let_keys_go(static_cast<unsigned>(controller));
      publish();
    }
  }

  /// The tenant that a former key names; empty: none. Both proxies must say the same.
  std::string former_tenant_of(std::string const& key) const {
    CompiledConfiguration started;
    for (auto const& [item_key, item] : items_)
      started.put(item);
    std::string const by_started = name_of(started, key);
    std::string const by_followed = name_of(followed_, key);
    cr_assert(by_followed == by_started, "'%s', not '%s'", by_followed.c_str(), by_started.c_str());
    return by_started;
  }

  std::map<std::string, KeyModel> const& model() const { return model_; }
  ItemMap const& items() const { return items_; }
  Seconds now() const { return now_; }

 private:
  static std::string name_of(CompiledConfiguration const& configuration, std::string const& key) {
    std::string const* const name = configuration.former_tenant_of(key);
    return name == nullptr ? "" : *name;
  }

  std::vector<std::string> random_keys() {
    std::vector<std::string> keys;
    for (std::string const& key : kKeys)
      if (draw_() % 3 == 0) keys.push_back(key);
    return keys;
  }

  void change_tenants() {
    std::vector<TenantKeys> changed;
    std::set<std::string> taken;  // no two tenants of one call have one key
    for (std::string const& tenant : kTenants) {
      if (draw_() % 2 == 0) continue;
      TenantKeys tenant_keys{++generation_, tenant, {}};
      for (std::string const& key : random_keys())
        if (taken.insert(key).second) tenant_keys.keys.push_back(key);
      changed.push_back(tenant_keys);
    }
    if (changed.empty()) return;
    take(items_, tenants_change(changed));
    for (TenantKeys const& tenant : changed)
      update_model(tenant);
  }

  void update_model(TenantKeys const& tenant) {
    std::set<std::string> const granted(tenant.keys.begin(), tenant.keys.end());
    for (std::string const& key : held_[tenant.name])
      if (granted.count(key) == 0) {
        model_[key].loser = tenant.name;
        model_[key].lost_at = now_;
      }
    held_[tenant.name] = granted;
    for (std::string const& key : kKeys) {
      bool is_held = false;
      for (auto const& [name, keys] : held_)
        is_held = is_held || keys.count(key) > 0;
      model_[key].is_held = is_held;
    }
  }

  void let_keys_go(unsigned controller) {
    std::vector<ConfigItem> list;
    for (auto const& [key, item] : items_)
      list.push_back(item);
    FormerKeyRetention& retention = retentions_[controller];
    retention.observe(list, now_);
    forget_former_keys(list, retention.expired(kRetention, now_));
    for (ConfigItem const& item : list)
      items_[item.key] = item;
  }

  void publish() {
    std::vector<ConfigItem> list;
    for (auto const& [key, item] : items_) {
      followed_.put(item);
      list.push_back(item);
    }
    for (FormerKeyRetention& retention : retentions_)
      if (draw_() % 4 != 0) retention.observe(list, now_);  // else it misses this version
  }

  std::mt19937 draw_;
  Seconds now_ = 0;
  unsigned generation_ = 0;
  ItemMap items_;
  CompiledConfiguration followed_;
  std::vector<FormerKeyRetention> retentions_;
  std::map<std::string, std::set<std::string>> held_;  // by tenant
  std::map<std::string, KeyModel> model_;              // by key
};
}  // namespace

// Failure: keys were known until sixteen others had been taken away, not for as long as operations bind.
Test(former_key_retention, random_changes_and_times_keep_whose_keys_were) {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    System system(seed);
    for (int step = 0; step < 120; ++step) {
      system.play_step();
      for (auto const& [key, expected] : system.model()) {
        if (expected.is_held || !expected.loser) continue;
        std::string const former = system.former_tenant_of(key);
        bool const must_be_known = system.now() - expected.lost_at < kRetention;
        cr_assert(former == *expected.loser || (former.empty() && !must_be_known),
                  "seed %u, step %d, %s: '%s', not '%s'", seed, step, key.c_str(), former.c_str(),
                  expected.loser->c_str());
      }
    }
  }
}

Test(former_key_retention, nothing_grows_with_the_life_of_the_deployment) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    System system(seed);
    for (int step = 0; step < 200; ++step)
      system.play_step();
    system.rest_for(kRetention + 2 * kForgetInterval);
    std::size_t former_items = 0;
    for (auto const& [key, item] : system.items()) {
      if (!holds_former_keys(item)) continue;
      ++former_items;
      cr_assert(read_former_keys(item).keys.empty(), "seed %u: %s", seed, item.body.c_str());
    }
    cr_assert_leq(former_items, kTenants.size());
    for (std::string const& key : kKeys)
      cr_assert(system.former_tenant_of(key).empty());
  }
}

Test(former_key_retention, a_controller_that_starts_counts_anew) {
  ItemMap items;
  take(items, tenant_change(1, "ada", {"k"}));
  take(items, tenant_change(2, "ada", {}));
  std::vector<ConfigItem> const list = {items.at(item_key::former_keys("ada"))};
  FormerKeyRetention first;
  first.observe(list, 100);
  cr_assert(first.expired(kRetention, 100 + kRetention - 0.1).empty());
  cr_assert_eq(first.expired(kRetention, 100 + kRetention).size(), 1u);
  FormerKeyRetention started;
  started.observe(list, 100 + kRetention);
  cr_assert(started.expired(kRetention, 100 + kRetention).empty());
}

// An item of a release before that takes the place of one of ours under a lower version is as young as its sighting.
Test(former_key_retention, a_lower_version_begins_anew) {
  ItemMap items;
  take(items, tenant_change(1, "ada", {"k1", "k2"}));
  take(items, tenant_change(2, "ada", {"k2"}));
  FormerKeyRetention retention;
  retention.observe({items.at(item_key::former_keys("ada"))}, 0);
  ConfigItem const undated{item_key::former_keys("ada"), Generation(3), true, R"({"keys":["k2","k1"]})"};
  retention.observe({undated}, kRetention);
  cr_assert(retention.expired(kRetention, kRetention + 1).empty());
  cr_assert_eq(retention.expired(kRetention, 2 * kRetention).front().up_to.v, 3u);
}
