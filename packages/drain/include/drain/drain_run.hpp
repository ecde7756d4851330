// A pass over nodes or servers that an operator ordered out: what the register keeps of
// it, and the changes that move it. No I/O.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "consensus/replicated_state.hpp"

namespace dockbend {

char const* stage_str(Stage s);
char const* pass_state_str(PassState s);

struct OrderUnit {
  DB_RECORD(OrderUnit, (std::string, name), (std::string, node), (u32, wave));
};
// An order as it comes in. Names are front addresses of proxies, or ids of servers.
struct Order {
  DB_RECORD(Order, (std::string, id), (bool, servers), (double, headroom), (u32, maxUnavailable), (double, patienceS),
            (bool, replaced), (std::vector<OrderUnit>, units), (std::vector<Had>, had));
};
// Throws OrderFault with one line that names the thing.
struct OrderFault : std::runtime_error {
  int code;
  OrderFault(int c, std::string const& what) : std::runtime_error(what), code(c) {}
};
void check(Order const& o);

// Puts the order into the value. The same order again is the same pass; another under its
// number, or one that overlaps another that is not over, is refused. Returns whether the value changed; id is the pass.
bool start(State& s, Order const& o, u64& id);

// One unit's step, resting on the stage that was seen.
struct Move {
  u64 pass = 0;
  std::string name;
  Stage from = Stage::waiting, to = Stage::waiting;
  u64 life = 0;
};
// What is said of a pass.
struct Word {
  u64 pass = 0;
  std::string why;
};
struct Moves {
  std::vector<Move> moves;
  std::vector<Word> words;
  bool empty() const { return moves.empty() && words.empty(); }
};
// Applies what still rests on what the value says; a repeat changes nothing. Ends passes
// whose last unit is back.
bool apply(State& s, Moves const& m);

enum class PassOrder : u8 { pause = 1, resume = 2, abort = 3, take_back = 4 };
// False if there is nothing to change; throws OrderFault if the pass is unknown or over.
bool command(State& s, u64 id, PassOrder o, std::string const& unit = "");

inline bool is_over(PassState s) {
  return s == PassState::aborted || s == PassState::done;
}
Unit const* unit_of(State const& s, std::string const& name);  // of a pass that is not over

}  // namespace dockbend
