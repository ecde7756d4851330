#include "drain/proxy_drain_state.hpp"

namespace dockbend {
namespace {
Seconds constexpr kAnswerStoreTime = 1.5;  // by then an answer is taken to be on disk

bool is_stage(DrainInstruction const& instruction, DrainStage stage) {
  return instruction.stage == static_cast<u32>(stage);
}
}  // namespace

bool ProxyDrainState::told(DrainInstruction const& instruction, Seconds now) {
  bool const was_draining = drains();
  if (!concerned()) concerned_since_ = now;
  instruction_ = instruction;
  return drains() != was_draining;
}

bool ProxyDrainState::drains() const {
  return instruction_.stage >= static_cast<u32>(DrainStage::draining) && instruction_.incarnation == incarnation_;
}

void ProxyDrainState::answered(Seconds now) {
  if (drains()) answered_at_.push_back(now);
}

ProxyDrainStatus ProxyDrainState::word(u32 keyed, u32 uploads, Seconds now) {
  ProxyDrainStatus status;
  status.incarnation = incarnation_;
  if (!concerned()) return status;
  while (!answered_at_.empty() && now - answered_at_.front() > kAnswerStoreTime)
    answered_at_.pop_front();
  bool const follows_instruction = drains() || is_stage(instruction_, DrainStage::cordoned);
  status.stage = follows_instruction ? instruction_.stage : 0;
  status.keyed = keyed + static_cast<u32>(answered_at_.size());
  status.uploads = uploads;
  status.since = now - concerned_since_;
  return status;
}

}  // namespace dockbend
