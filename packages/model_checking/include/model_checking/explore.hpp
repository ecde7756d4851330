#pragma once
#include <algorithm>
#include <array>
#include <concepts>
#include <deque>
#include <random>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/types.hpp"
#include "model_checking/bounds.hpp"

/// \file
/// Explores what a model may do: breadth first with a set of visited states, or by random walks; and makes the
/// trace of a breach shorter. No I/O.

namespace dockbend::model_checking {

/// One event. `what` is its kind and a, b, c its subjects, in the model's own numbering; `m` names a message by its
/// content.
struct Action {
  u8 what = 0, a = 0, b = 0, c = 0;
  u64 m = 0;
  friend bool operator==(Action const&, Action const&) = default;
};
using Trace = std::vector<Action>;

/// A model; its whole state is a value.
/// - actions() lists what may happen next; step() does one of it, and returns false if it can't be done now;
/// - breach() names the invariant that no longer holds; "" if all do;
/// - digest() is a number that differs, but for chance, between states that differ;
/// - weight() is how often walks choose this kind of action;
/// - settle() ends all faults, lets everything go through and judges the outcome.
template <class M>
concept Model = std::copyable<M> && requires(M m, M const c, Bounds const& p, Action x, std::vector<Action>& v) {
  M(p);
  c.actions(v);
  { m.step(x) } -> std::same_as<bool>;
  { c.breach() } -> std::convertible_to<std::string const&>;
  { c.digest() } -> std::same_as<u64>;
  { c.describe(x) } -> std::convertible_to<std::string>;
  { M::weight(x) } -> std::same_as<u32>;
  m.settle();
};

struct SearchResult {
  std::string breach;    ///< "": none was found
  Trace trace;           ///< that leads to it
  bool settled = false;  ///< the breach shows only once all faults end
  u64 seed = 0;          ///< of the walk that found it
  u64 states = 0, steps = 0, walks = 0;
  u32 depth = 0;
  bool complete = false;  ///< everything within the bounds was seen
};

// ---- breadth first -------------------------------------------------------------------

struct SearchLimits {
  u64 most_states = 100000;
  u32 depth = 100;
};

/// Visits every state that can be reached from `first`, nearest first, until one is in breach or a limit is
/// reached. The trace of a breach is as short as can be.
template <Model M>
SearchResult search(M const& first, SearchLimits const& limits) {
  struct Visit {
    u32 from = 0;  // index of the state before
    Action action;
  };
  SearchResult result;
  std::vector<Visit> visits{{}};
  std::unordered_set<u64> seen{first.digest()};
  std::deque<std::pair<u32, M>> frontier{{0, first}};
  std::vector<Action> possible;
  std::size_t left_at_depth = 1;
  bool is_cut_short = false;
  while (!frontier.empty()) {
    auto const [from, state] = std::move(frontier.front());
    frontier.pop_front();
    possible.clear();
    state.actions(possible);
    if (result.depth >= limits.depth) {
      is_cut_short = is_cut_short || !possible.empty();
      possible.clear();
    }
    for (Action const& action : possible) {
      M next = state;
      if (!next.step(action)) continue;
      ++result.steps;
      if (!seen.insert(next.digest()).second) continue;
      visits.push_back({from, action});
      auto const index = static_cast<u32>(visits.size() - 1);
      if (!next.breach().empty()) {
        result.breach = next.breach();
        for (u32 i = index; i != 0; i = visits[i].from)
          result.trace.insert(result.trace.begin(), visits[i].action);
        result.states = seen.size();
        ++result.depth;
        return result;
      }
      frontier.emplace_back(index, std::move(next));
    }
    if (seen.size() >= limits.most_states) {
      result.states = seen.size();
      return result;
    }
    if (--left_at_depth == 0) {
      left_at_depth = frontier.size();
      if (left_at_depth > 0) ++result.depth;
    }
  }
  result.states = seen.size();
  result.complete = !is_cut_short;
  return result;
}

// ---- traces --------------------------------------------------------------------------

struct PlayResult {
  std::string breach;    ///< "": none
  bool settled = false;  ///< it showed only at the end
};

/// Plays a trace; what can't be done at its turn is left out.
template <Model M>
PlayResult play(M model, Trace const& trace) {
  for (Action const& action : trace)
    if (model.step(action) && !model.breach().empty()) return {model.breach(), false};
  model.settle();
  return {model.breach(), true};
}

/// Leaves out whatever the breach does not need: pieces of the trace from first to last, ever smaller ones.
template <Model M>
Trace shrink(M const& first, Trace trace) {
  std::size_t piece = std::max<std::size_t>(trace.size() / 2, 1);
  for (;; piece = std::max<std::size_t>(piece / 2, 1)) {
    bool is_shorter = false;
    for (std::size_t begin = 0; begin < trace.size();) {
      std::size_t const end = std::min(begin + piece, trace.size());
      Trace shorter(trace.begin(), trace.begin() + static_cast<long>(begin));
      shorter.insert(shorter.end(), trace.begin() + static_cast<long>(end), trace.end());
      if (play(first, shorter).breach.empty()) {
        begin += piece;
      } else {
        trace = std::move(shorter);
        is_shorter = true;
      }
    }
    if (piece == 1 && !is_shorter) return trace;
  }
}

// ---- random walks --------------------------------------------------------------------

struct WalkLimits {
  u64 seed = 1, count = 100;
  u32 length = 200;
};

/// One random walk from a model's first state.
template <Model M>
class RandomWalk {
 public:
  /// Each walk prefers other kinds of actions (swarm testing): what is rare in one is common in another.
  RandomWalk(M const& first, u64 seed) : random_(seed), model_(first) {
    for (u32& preference : preferences_)
      preference = 1U << 2 * std::uniform_int_distribution<u32>(0, 2)(random_);
  }
  /// At most `length` attempts, until a breach or until nothing can happen. Adds to the steps and states seen.
  void run(u32 length, u64& steps, std::unordered_set<u64>& seen) {
    std::vector<Action> possible;
    for (u32 i = 0; i < length && model_.breach().empty(); ++i) {
      possible.clear();
      model_.actions(possible);
      if (possible.empty()) break;
      Action const action = choose(possible);
      if (!model_.step(action)) continue;
      trace_.push_back(action);
      ++steps;
      seen.insert(model_.digest());
    }
  }
  bool ends_in_breach() {
    if (model_.breach().empty()) model_.settle();
    return !model_.breach().empty();
  }
  Trace const& trace() const { return trace_; }

 private:
  static std::size_t constexpr kMaxKinds = 32;

  // First the kind of action by its weight, then one of that kind.
  Action choose(std::vector<Action>& possible) {
    std::array<u32, kMaxKinds> weights{};
    for (Action const& action : possible)
      weights[action.what] = M::weight(action) * preferences_[action.what];
    std::discrete_distribution<u32> kinds(weights.begin(), weights.end());
    u32 const kind = kinds(random_);
    std::erase_if(possible, [&](Action const& action) { return action.what != kind; });
    return possible[std::uniform_int_distribution<std::size_t>(0, possible.size() - 1)(random_)];
  }

  std::mt19937_64 random_;
  M model_;
  std::array<u32, kMaxKinds> preferences_{};
  Trace trace_;
};

/// Walks until one ends in a breach, whose trace is made shorter, or all are done.
template <Model M>
SearchResult walk(M const& first, WalkLimits const& limits) {
  SearchResult result;
  std::unordered_set<u64> seen;
  for (u64 index = 0; index < limits.count; ++index) {
    RandomWalk<M> walk(first, limits.seed + index);
    walk.run(limits.length, result.steps, seen);
    ++result.walks;
    result.depth = std::max(result.depth, static_cast<u32>(walk.trace().size()));
    if (!walk.ends_in_breach()) continue;
    result.seed = limits.seed + index;
    result.trace = shrink(first, walk.trace());
    PlayResult const played = play(first, result.trace);
    result.breach = played.breach;
    result.settled = played.settled;
    break;
  }
  result.states = seen.size();
  return result;
}

}  // namespace dockbend::model_checking
