// Explores what a model may do: breadth first with a set of visited states, or by
// random walks; and makes the trace of a breach shorter. No I/O.
#pragma once
#include <array>
#include <concepts>
#include <deque>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "base/types.hpp"

namespace dockbend::model_checking {

// One thing that happens. what is the model's own; m names a message by its content.
struct Action {
  u8 what = 0, a = 0, b = 0, c = 0;
  u64 m = 0;
  friend bool operator==(Action const&, Action const&) = default;
};
using Trace = std::vector<Action>;

// How much of everything may happen in one run. Those that a model lacks it ignores.
struct Bounds {
  u32 nodes = 3;      // founders
  u32 spares = 0;     // empty disks that may join
  u32 proposers = 2;  // nodes that bring changes of their own, or holders that claim
  u32 proposals = 2;
  u32 items = 1;  // generations of one item; each proposer has a body of its own for each
  u32 joins = 0, leaves = 0, swaps = 0;
  u32 restarts = 0, wipes = 0;
  u32 repeats = 0;  // messages that come twice
  u32 holds = 0;    // answers that wait on their way
  u32 lates = 0;    // writes that wait, and answers with them
  u32 cuts = 0;     // pairs cut, one way each
  u32 drops = 0;
  u32 tells = 0;  // what is on disk told to a mate
  u32 ticks = 0;  // seconds of a model's clock
};
struct BoundsField {
  char const* name;
  u32 Bounds::*at;
};
inline constexpr std::array<BoundsField, 17> kBoundsFields{{{"nodes", &Bounds::nodes},
                                                            {"spares", &Bounds::spares},
                                                            {"proposers", &Bounds::proposers},
                                                            {"proposals", &Bounds::proposals},
                                                            {"items", &Bounds::items},
                                                            {"joins", &Bounds::joins},
                                                            {"leaves", &Bounds::leaves},
                                                            {"swaps", &Bounds::swaps},
                                                            {"restarts", &Bounds::restarts},
                                                            {"wipes", &Bounds::wipes},
                                                            {"repeats", &Bounds::repeats},
                                                            {"holds", &Bounds::holds},
                                                            {"lates", &Bounds::lates},
                                                            {"cuts", &Bounds::cuts},
                                                            {"drops", &Bounds::drops},
                                                            {"tells", &Bounds::tells},
                                                            {"ticks", &Bounds::ticks}}};

// A model: its whole state is a value.
// - actions() lists what may happen next; step() does it, false if it can't be done now;
// - breach() names the invariant that no longer holds, "" if all do;
// - settle() ends the faults, lets everything go through and judges the end.
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
  std::string breach;  // "": none found
  Trace trace;
  bool settled = false;  // the breach shows once all faults end
  u64 seed = 0;          // of the walk that found it
  u64 states = 0, steps = 0, walks = 0;
  u32 depth = 0;
  bool complete = false;  // everything within the bounds was seen
};

struct SearchLimits {
  u64 most_states = 100000;
  u32 depth = 100;
};
template <Model M>
SearchResult search(M const& first, SearchLimits const& how) {
  struct Way {
    u32 from = 0;
    Action by;
  };
  SearchResult out;
  std::vector<Way> ways{{}};
  std::unordered_set<u64> seen{first.digest()};
  std::deque<std::pair<u32, M>> edge{{0, first}};
  std::vector<Action> next;
  std::size_t level = 1;  // left at this depth
  bool cut_short = false;
  while (!edge.empty()) {
    auto const [at, m] = std::move(edge.front());
    edge.pop_front();
    next.clear();
    m.actions(next);
    if (out.depth >= how.depth) {
      cut_short = cut_short || !next.empty();
      next.clear();
    }
    for (Action const& a : next) {
      M n = m;
      if (!n.step(a)) continue;
      ++out.steps;
      if (!seen.insert(n.digest()).second) continue;
      ways.push_back({at, a});
      auto const id = static_cast<u32>(ways.size() - 1);
      if (!n.breach().empty()) {
        out.breach = n.breach();
        for (u32 i = id; i != 0; i = ways[i].from)
          out.trace.insert(out.trace.begin(), ways[i].by);
        out.states = seen.size();
        ++out.depth;
        return out;
      }
      edge.emplace_back(id, std::move(n));
    }
    if (seen.size() >= how.most_states) {
      out.states = seen.size();
      return out;
    }
    if (--level == 0) {
      level = edge.size();
      if (level > 0) ++out.depth;
    }
  }
  out.states = seen.size();
  out.complete = !cut_short;
  return out;
}

// Plays a trace; what can't be done at its turn is left out. Says what broke, if
// anything did, and whether only the end showed it.
template <Model M>
std::pair<std::string, bool> play(M m, Trace const& t) {
  for (Action const& a : t)
    if (m.step(a) && !m.breach().empty()) return {m.breach(), false};
  m.settle();
  return {m.breach(), true};
}

// Leaves out whatever the breach does not need, ever smaller pieces first to last.
template <Model M>
Trace shrink(M const& first, Trace t) {
  for (std::size_t piece = std::max<std::size_t>(t.size() / 2, 1);; piece = std::max<std::size_t>(piece / 2, 1)) {
    bool less = false;
    for (std::size_t i = 0; i < t.size();) {
      Trace u(t.begin(), t.begin() + static_cast<long>(i));
      u.insert(u.end(), t.begin() + static_cast<long>(std::min(i + piece, t.size())), t.end());
      if (play(first, u).first.empty()) {
        i += piece;
      } else {
        t = std::move(u);
        less = true;
      }
    }
    if (piece == 1 && !less) return t;
  }
}

struct WalkLimits {
  u64 seed = 1, count = 100;
  u32 length = 200;
};
template <Model M>
SearchResult walk(M const& first, WalkLimits const& how) {
  SearchResult out;
  std::unordered_set<u64> seen;
  std::vector<Action> next;
  for (u64 w = 0; w < how.count; ++w) {
    std::mt19937_64 rnd(how.seed + w);
    M m = first;
    Trace t;
    // Each walk has a taste of its own (swarm testing): what is rare in one is common in another.
    std::array<u32, 32> taste{};
    for (u32& x : taste)
      x = 1U << 2 * std::uniform_int_distribution<u32>(0, 2)(rnd);
    u32 i = 0;
    for (; i < how.length && m.breach().empty(); ++i) {
      next.clear();
      m.actions(next);
      if (next.empty()) break;
      // First the kind of action by its weight, then one of that kind.
      std::array<u32, 32> kinds{};
      for (Action const& a : next)
        kinds[a.what] = M::weight(a) * taste[a.what];
      std::discrete_distribution<u32> pick(kinds.begin(), kinds.end());
      u32 const kind = pick(rnd);
      std::erase_if(next, [&](Action const& a) { return a.what != kind; });
      Action const a = next[std::uniform_int_distribution<std::size_t>(0, next.size() - 1)(rnd)];
      if (!m.step(a)) continue;
      t.push_back(a);
      ++out.steps;
      seen.insert(m.digest());
    }
    ++out.walks;
    out.depth = std::max(out.depth, static_cast<u32>(t.size()));
    if (m.breach().empty()) m.settle();
    if (m.breach().empty()) continue;
    out.seed = how.seed + w;
    out.trace = shrink(first, std::move(t));
    auto const [what, end] = play(first, out.trace);
    out.breach = what;
    out.settled = end;
    break;
  }
  out.states = seen.size();
  return out;
}

}  // namespace dockbend::model_checking
