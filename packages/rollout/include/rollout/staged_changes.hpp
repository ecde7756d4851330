/// A proxy's side of a rollout: which changes it keeps staged. No I/O.
#pragma once
#include <map>

#include "base/types.hpp"

namespace dockbend {

/// Invariant: without a message from the leader nothing stays staged past its time, so a dead leader leaves nothing
/// behind.
class StagedChanges {
 public:
  void stage(u64 rollout, Seconds expires_at);
  void withdraw(u64 rollout);
  bool is_staged(u64 rollout) const;
  /// Drops every change whose time has passed.
  void expire(Seconds now);

 private:
  std::map<u64, Seconds> expires_at_;  // by rollout
};

}  // namespace dockbend
