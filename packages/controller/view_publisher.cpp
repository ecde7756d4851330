#include "controller/view_publisher.hpp"

namespace dockbend {

void ViewPublisher::publish(ReplicatedState const* previous, ReplicatedState const& state) {
  bool const is_same_view = state.open == context_.view.ballot && context_.view.ballot.v != 0;
  if (previous != nullptr && is_same_view) return;
  ReplicatedState const old_view = std::move(context_.view);
  context_.view = view_of(state);
  on_view.emit();
  StateUpdate update;
  if (previous == nullptr) {
    complete_since_ = context_.view.ballot;
    update.state = codec::pack(context_.view);
    for (ConfigItem const& item : context_.view.items)
      update_tenant(item);
  } else {
    StateDelta const delta = delta_of(old_view, context_.view);
    if (!delta.items.empty()) on_items_changed.emit(old_view.items, delta.items);
    for (ConfigItem const& item : delta.items) {
      item_changed_at_[item.key] = context_.view.ballot;
      update_tenant(item);
    }
    update.delta = codec::pack(delta);
  }
  EncodedMessage const message = encode_message(MessageType::state_update, codec::pack(update));
  for (auto& [id, session] : context_.sessions)
    if (session.feeding) session.ch->send(message);
}

EncodedMessage ViewPublisher::missing_since(Ballot have) {
  Ballot const ours = context_.view.ballot;
  CommitNotice notice;
  notice.ballot = ours;
  if (have.v != 0 && have >= complete_since_ && have < ours) {
    notice.delta = codec::pack(delta_since(have));
    return encode_message(MessageType::catch_up_response, codec::pack(notice));
  }
  // After a loss of power everybody lacks all of it, so it is encoded once.
  if (complete_view_ballot_ != ours || complete_view_.empty()) {
    notice.state = codec::pack(context_.view);
    complete_view_ = encode_message(MessageType::catch_up_response, codec::pack(notice));
    complete_view_ballot_ = ours;
  }
  return complete_view_;
}

StateDelta ViewPublisher::delta_since(Ballot have) const {
  ReplicatedState const& view = context_.view;
  StateDelta delta;
  delta.base = have;
  delta.ballot = delta.open = view.ballot;
  delta.epoch = view.epoch;
  for (ConfigItem const& item : view.items)
    if (auto const changed = item_changed_at_.find(item.key); changed != item_changed_at_.end())
      if (changed->second > have) delta.items.push_back(item);
  delta.evacuations_set = delta.membership_set = delta.duties_set = true;
  delta.evacuations = view.evacuations;
  delta.membership = view.membership;
  delta.duties = view.duties;
  delta.to_fix = view.to_fix;
  return delta;
}

void ViewPublisher::update_tenant(ConfigItem const& item) {
  constexpr char kTenantKeyPrefix = 'c';
  if (item.key[0] == kTenantKeyPrefix) context_.tenants.put(item);
}

}  // namespace dockbend
