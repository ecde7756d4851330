/// Keeps the proxies and agents that this controller feeds up to date with the committed state.
#pragma once
#include <map>
#include <string>

#include "controller/controller_context.hpp"

namespace dockbend {

/// Derives the view, the part of the committed state that proxies and agents go by, and sends its changes to all
/// feeding sessions. Invariant: `item_changed_at_` has every item that changed after the view `complete_since_`, so
/// who has that view or a newer one can be sent just the items that it lacks.
class ViewPublisher {
 public:
  explicit ViewPublisher(ControllerContext& context) : context_(context) {}

  /// The view changed; emitted before the sessions hear of it.
  sigc::signal<void()> on_view;
  /// Items of the view that changed, as they are now, beside all items before; not for the first view.
  sigc::signal<void(std::vector<ConfigItem> const& old_items, std::vector<ConfigItem> const& changed)> on_items_changed;

  /// A state was committed. `previous` is the one committed before it; null: there was none.
  void publish(ReplicatedState const* previous, ReplicatedState const& state);
  /// A catch-up response with what a session that has the view `have` lacks of ours.
  EncodedMessage missing_since(Ballot have);

 private:
  StateDelta delta_since(Ballot have) const;
  void update_tenant(ConfigItem const& item);

  ControllerContext& context_;
  Ballot complete_since_;
  std::map<std::string, Ballot> item_changed_at_;  // item key -> the view that last changed it
  EncodedMessage complete_view_;                   // ready to send; empty: not encoded yet
  Ballot complete_view_ballot_;
};

}  // namespace dockbend
