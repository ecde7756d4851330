/// How far a rollout is, and what an operator may order.
#pragma once
#include "base/types.hpp"

namespace dockbend {

/// The numbers are sent between controllers.
enum class RolloutPhase : u8 {
  holding = 1,     // a stage is being distributed
  paused = 2,      // too few proxies of the stage have answered so far; goes on by itself
  stopped = 3,     // an operator ordered a pause
  committing = 4,  // every stage is complete: the consensus group decides
  done = 5,
  fell_back = 6,  // its time was up before every stage was complete, or the commit failed
  aborted = 7,    // an operator ordered the end
  overtaken = 8,  // higher item versions are committed: nothing is left to bring out
};
/// As shown to operators and in logs.
char const* phase_name(RolloutPhase phase);
/// True if the phase never changes again.
bool is_over(RolloutPhase phase);

/// What an operator may order during a rollout.
enum class RolloutCommand : u8 { pause = 1, resume = 2, abort = 3 };

}  // namespace dockbend
