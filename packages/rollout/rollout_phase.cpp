#include "rollout/rollout_phase.hpp"

namespace dockbend {

char const* phase_name(RolloutPhase phase) {
  switch (phase) {
    case RolloutPhase::holding: return "holding";
    case RolloutPhase::paused: return "paused";
    case RolloutPhase::stopped: return "stopped";
    case RolloutPhase::committing: return "committing";
    case RolloutPhase::done: return "done";
    case RolloutPhase::fell_back: return "fell back";
    case RolloutPhase::aborted: return "aborted";
    case RolloutPhase::overtaken: return "overtaken";
  }
  return "unknown";
}

bool is_over(RolloutPhase phase) {
  return phase >= RolloutPhase::done;
}

}  // namespace dockbend
