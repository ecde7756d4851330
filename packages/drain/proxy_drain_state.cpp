#include "drain/proxy_drain_state.hpp"

namespace dockbend {
namespace {
Seconds constexpr kAnswerStoreTime = 1.5;  // by then an answer is taken to be on disk

bool is_stage(DrainInstruction const& instruction, DrainStage stage) {
  return instruction.stage == static_cast<u32>(stage);
}
}  // namespace

bool ProxyDrainState::on_instruction(DrainInstruction const& instruction, Seconds now) {
  bool const was_draining = is_draining();
  if (!is_concerned()) concerned_since_ = now;
  instruction_ = instruction;
  return is_draining() != was_draining;
}

bool ProxyDrainState::is_draining() const {
  return instruction_.stage >= static_cast<u32>(DrainStage::draining) && instruction_.incarnation == incarnation_;
}

void ProxyDrainState::on_keyed_answer(Seconds now) {
  if (is_draining()) answered_at_.push_back(now);
}

ProxyDrainStatus ProxyDrainState::status(u32 keyed, u32 uploads, Seconds now) {
  ProxyDrainStatus report;
  report.incarnation = incarnation_;
  if (!is_concerned()) return report;
  while (!answered_at_.empty() && now - answered_at_.front() > kAnswerStoreTime)
    answered_at_.pop_front();
  bool const follows_instruction = is_draining() || is_stage(instruction_, DrainStage::cordoned);
  report.stage = follows_instruction ? instruction_.stage : 0;
  report.keyed = keyed + static_cast<u32>(answered_at_.size());
  report.uploads = uploads;
  report.since = now - concerned_since_;
  return report;
}

}  // namespace dockbend
