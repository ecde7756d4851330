/// What controllers, agents and proxies send each other about rollouts.
#pragma once
#include <string>
#include <vector>

#include "base/record.hpp"
#include "configuration/configuration.hpp"
#include "rollout/rollout_phase.hpp"

namespace dockbend {

/// To a proxy: check the items and keep them staged for `for_ms` milliseconds; with `drop`, drop them instead.
struct StageRequest {
  DB_RECORD(StageRequest, (u64, id), (bool, drop), (u32, for_ms), (std::vector<ConfigItem>, items));
};
/// To the controller that the named proxies registered with: it passes the encoded StageRequest `hold` on to them.
struct StageForwardRequest {
  DB_RECORD(StageForwardRequest, (std::vector<std::string>, sites), (std::string, hold));
};
/// From the proxy with the address `front`: does it keep the change staged?
struct StageResponse {
  DB_RECORD(StageResponse, (u64, id), (bool, holds), (std::string, front));
};
/// From the leader `at` to its peers, for the operators' status: stages count from 1, `wanted` proxies of this stage
/// are enough, `holding` have the change staged; `age` in seconds since the start.
struct RolloutStatusNotice {
  DB_RECORD(RolloutStatusNotice, (u64, id), (std::string, at), (RolloutPhase, phase), (u32, stage), (u32, stages),
            (u32, wanted), (u32, holding), (std::vector<std::string>, items), (double, age));
};

}  // namespace dockbend
