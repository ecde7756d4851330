#include "controller/former_key_service.hpp"

#include "idempotency/key_table.hpp"

namespace dockbend {
namespace {
/// Keys are let go together, so that a round is run for many of them.
constexpr Seconds kForgetIntervalSeconds = 10;
/// By chance between half of it and all of it, so that mostly one controller does what all would do.
constexpr Seconds kRecordDelaySeconds = 0.2;
constexpr Seconds kRoundPatienceSeconds = 1.5;

bool replace_items(ReplicatedState& state, ItemMap items) {
  state.items.clear();
  for (auto& [key, item] : items)
    state.items.push_back(std::move(item));
  return true;
}
}  // namespace

FormerKeyService::FormerKeyService(ControllerContext& context)
    : context_(context), forget_at_(steady_now() + kForgetIntervalSeconds * random01()) {}

void FormerKeyService::load(ReplicatedState const& stored) {
  for (ConfigItem const& item : stored.items)
    if (item.key[0] == item_key::kTenant) stored_items_.push_back(item);
}

void FormerKeyService::on_view() {
  retention_.observe(context_.view.items, steady_now());
  if (stored_items_.empty()) return;
  std::vector<ConfigItem> const stored = std::exchange(stored_items_, {});
  std::vector<ConfigItem> changed;
  for (ConfigItem const& item : context_.view.items) {
    auto const before = std::lower_bound(stored.begin(), stored.end(), item,
                                         [](ConfigItem const& a, ConfigItem const& b) { return a.key < b.key; });
    if (before != stored.end() && before->key == item.key && !(*before == item)) changed.push_back(item);
  }
  on_items_changed(stored, changed);
}

void FormerKeyService::on_items_changed(std::vector<ConfigItem> const& old_items,
                                        std::vector<ConfigItem> const& changed) {
  std::vector<UnrecordedKeys> found = find_unrecorded_keys(old_items, changed);
  if (found.empty()) return;
  LOG4CPLUS_INFO(logger_, "Former keys of " << found.size() << " tenants are not recorded; they will be.");
  unrecorded_.insert(unrecorded_.end(), found.begin(), found.end());
  record_at_ = steady_now() + kRecordDelaySeconds * (0.5 + 0.5 * random01());
}

void FormerKeyService::tick(Seconds now) {
  if (is_round_pending_ || !context_.in_contact()) return;
  record_missing(now);
  forget_expired(now);
}

/// Longer than an operation binds that was begun with the key by a proxy that had not yet heard that it is taken away.
Seconds FormerKeyService::retention() const {
  return key_binding_time(context_.settings.bounds.keyHorizonS) + context_.settings.bounds.applyBoundS;
}

void FormerKeyService::record_missing(Seconds now) {
  if (unrecorded_.empty() || now < record_at_) return;
  record_at_ = now + kRecordDelaySeconds;
  is_round_pending_ = true;
  auto const record = [unrecorded = unrecorded_](ReplicatedState& state) {
    ItemMap items = state.by_key();
    return record_former_keys(items, unrecorded) && replace_items(state, std::move(items));
  };
  context_.submit(
      record,
      [this, count = unrecorded_.size()](ReplicatedState const* committed) {
        is_round_pending_ = false;
        if (committed != nullptr)
          unrecorded_.erase(unrecorded_.begin(), unrecorded_.begin() + static_cast<std::ptrdiff_t>(count));
      },
      kRoundPatienceSeconds);
}

void FormerKeyService::forget_expired(Seconds now) {
  if (is_round_pending_ || now < forget_at_) return;
  forget_at_ = now + kForgetIntervalSeconds;
  std::vector<ExpiredFormerKeys> const expired = retention_.expired(retention(), now);
  if (expired.empty()) return;
  is_round_pending_ = true;
  context_.submit([expired](ReplicatedState& state) { return forget_former_keys(state.items, expired); },
                  [this, count = expired.size()](ReplicatedState const* committed) {
                    is_round_pending_ = false;
                    if (committed != nullptr)
                      LOG4CPLUS_INFO(logger_, "Former keys are let go, of " << count << " tenants.");
                  },
                  kRoundPatienceSeconds);
}

}  // namespace dockbend
