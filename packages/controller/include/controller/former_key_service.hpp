/// Former API keys at a controller: records those that a release before left out, and lets go the old ones.
#pragma once
#include <vector>

#include "configuration/former_key_retention.hpp"
#include "controller/controller_context.hpp"

namespace dockbend {

/// Every controller counts by itself for how long it has seen a former key, and lets it go by a round of consensus once
/// no operation can bind any more that was begun with it; whoever comes first does it for all. Runs on the event loop.
class FormerKeyService {
 public:
  explicit FormerKeyService(ControllerContext& context);

  /// What the disk held at the start: keys that were taken away since are recorded, whoever made the change.
  void load(ReplicatedState const& stored);
  /// The view changed.
  void on_view();
  /// Items of the view changed, see ViewPublisher::on_items_changed.
  void on_items_changed(std::vector<ConfigItem> const& old_items, std::vector<ConfigItem> const& changed);
  void tick(Seconds now);

 private:
  Seconds retention() const;
  void record_missing(Seconds now);
  void forget_expired(Seconds now);

  ControllerContext& context_;
  FormerKeyRetention retention_;
  std::vector<ConfigItem> stored_items_;    ///< see load(); empty from the first view on
  std::vector<UnrecordedKeys> unrecorded_;  ///< to be recorded
  Seconds record_at_ = 0;                   ///< when that is next tried
  Seconds forget_at_ = 0;                   ///< when old keys are next looked for
  bool is_round_pending_ = false;
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("controller");
};

}  // namespace dockbend
