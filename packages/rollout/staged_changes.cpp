#include "rollout/staged_changes.hpp"

namespace dockbend {

void StagedChanges::stage(u64 rollout, Seconds expires_at) {
  expires_at_[rollout] = expires_at;
}

void StagedChanges::withdraw(u64 rollout) {
  expires_at_.erase(rollout);
}

bool StagedChanges::is_staged(u64 rollout) const {
  return expires_at_.count(rollout) > 0;
}

void StagedChanges::expire(Seconds now) {
  std::erase_if(expires_at_, [now](auto const& entry) { return entry.second < now; });
}

}  // namespace dockbend
