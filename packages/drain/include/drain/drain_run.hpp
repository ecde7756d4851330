// A pass over nodes or servers that an operator ordered out: what the register keeps of
// it, and the changes that move it. No I/O.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "consensus/replicated_state.hpp"

namespace dockbend {

char const* stage_str(DrainStage s);
char const* pass_state_str(DrainRunState s);

struct DrainOrderUnit {
  DB_RECORD(DrainOrderUnit, (std::string, name), (std::string, node), (u32, wave));
};
// An order as it comes in. Names are front addresses of proxies, or ids of servers.
struct DrainOrder {
  DB_RECORD(DrainOrder, (std::string, id), (bool, servers), (double, headroom), (u32, maxUnavailable),
            (double, patienceS), (bool, replaced), (std::vector<DrainOrderUnit>, units),
            (std::vector<InitialServerCount>, had));
};
// Throws DrainOrderError with one line that names the thing.
struct DrainOrderError : std::runtime_error {
  int code;
  DrainOrderError(int c, std::string const& what) : std::runtime_error(what), code(c) {}
};
void check(DrainOrder const& o);

// Puts the order into the value. The same order again is the same pass; another under its
// number, or one that overlaps another that is not over, is refused. Returns whether the value changed; id is the pass.
bool start(ReplicatedState& s, DrainOrder const& o, u64& id);

// One unit's step, resting on the stage that was seen.
struct StageTransition {
  u64 pass = 0;
  std::string name;
  DrainStage from = DrainStage::waiting, to = DrainStage::waiting;
  u64 incarnation = 0;
};
// What is said of a pass.
struct DrainRunMessage {
  u64 pass = 0;
  std::string why;
};
struct DrainActions {
  std::vector<StageTransition> moves;
  std::vector<DrainRunMessage> words;
  bool empty() const { return moves.empty() && words.empty(); }
};
// Applies what still rests on what the value says; a repeat changes nothing. Ends passes
// whose last unit is back.
bool apply(ReplicatedState& s, DrainActions const& m);

enum class DrainCommand : u8 { pause = 1, resume = 2, abort = 3, take_back = 4 };
// False if there is nothing to change; throws DrainOrderError if the pass is unknown or over.
bool command(ReplicatedState& s, u64 id, DrainCommand o, std::string const& unit = "");

inline bool is_over(DrainRunState s) {
  return s == DrainRunState::aborted || s == DrainRunState::done;
}
DrainUnit const* unit_of(ReplicatedState const& s, std::string const& name);  // of a pass that is not over

}  // namespace dockbend
