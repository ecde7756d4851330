/// A proxy's own part in its drain: what the controllers instruct it to do, and what it reports. No I/O.
#pragma once
#include <deque>

#include "consensus/replicated_state.hpp"
#include "server_registry/server_registry.hpp"

namespace dockbend {

/// Kept by each proxy process. Invariants: only the incarnation that the instruction names drains, the one after it
/// serves; while no drain concerns the proxy it reports nothing but its incarnation; `ProxyDrainStatus::since` counts
/// from the first instruction, by this proxy's clock.
class ProxyDrainState {
 public:
  explicit ProxyDrainState(u64 incarnation) : incarnation_(incarnation) {}

  /// Takes the instruction that came with a heartbeat's response. Returns true if the proxy begins or ceases to drain.
  bool on_instruction(DrainInstruction const& instruction, Seconds now);
  /// True if new keyed requests and uploads are to be refused.
  bool is_draining() const;
  /// True if the directories leave this proxy out, or it drains.
  bool is_concerned() const { return instruction_.stage > 0; }
  /// A keyed request was answered: until its answer is on disk it still counts as open.
  void on_keyed_answer(Seconds now);
  /// The report for the next heartbeat. `keyed`, `uploads`: requests open now.
  ProxyDrainStatus status(u32 keyed, u32 uploads, Seconds now);

 private:
  u64 incarnation_;
  DrainInstruction instruction_;
  Seconds concerned_since_ = 0;
  std::deque<Seconds> answered_at_;  // of keyed requests, the latest last
};

}  // namespace dockbend
