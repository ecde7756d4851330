/// \file
/// Whether a recorded history is linearizable: is there one order of its calls, each taking effect between its start
/// and its end, in which a sequential model gives every answer that was recorded? The search is Wing and Gong's, with
/// Lowe's cache of (calls placed, state reached). No I/O.
#pragma once
#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dockbend::linearizability {

/// A time point, in any unit that only rises.
using Moment = std::uint64_t;
inline constexpr Moment kNever = std::numeric_limits<Moment>::max();

/// One call. `known`: its caller got an answer, and the call took effect between `from` and `to`; otherwise it may have
/// taken effect at any moment between them, or not at all.
template <class Op>
struct RecordedOperation {
  Op op;
  Moment from = 0, to = kNever;
  bool known = false;
};

/// A sequential model. next() applies op if the model allows its recorded answer (only a known call has one), and
/// returns whether it does; key() is different for different states; lost() returns true if no later state could
/// explain op's answer (returning it late only costs time). asks(), which is optional, names the request of op
/// regardless of its answer: two calls with the same name have the same effect.
template <class M>
concept Model = requires(typename M::State s, typename M::State const& c, typename M::Op const& op) {
  { M::next(s, op, true) } -> std::same_as<bool>;
  { M::key(c) } -> std::convertible_to<std::string>;
  { M::lost(c, op) } -> std::same_as<bool>;
};

/// gave_up: the limit of search steps was reached.
enum class CheckVerdict { linearizable, broken, gave_up };

/// The outcome of a search.
struct CheckReport {
  CheckVerdict finding = CheckVerdict::linearizable;
  std::size_t placed = 0;          // the most known calls that an attempted order explains
  std::vector<std::size_t> stuck;  // after these: the calls of which none could come next
  std::size_t steps = 0;
};

namespace detail {
template <Model M>
struct Search {
  std::vector<RecordedOperation<typename M::Op>> const& h;
  std::size_t most, known = 0;
  std::vector<std::size_t> order;  // indices into h, by start
  std::vector<bool> placed;
  // Where the search failed: state and known calls placed -> the unknown calls placed. A search that has placed the
  // same ones and more has fewer left, and fails too.
  using Used = std::vector<bool>;
  std::unordered_map<std::string, std::vector<Used>> failed;
  CheckReport rep;
  // For a call with unknown outcome: the one before it with the same request and end. The earliest of them is placed
  // first; any other order of them explains no more.
  std::vector<std::size_t> twin;

  // The call placed last, if its outcome is unknown, and the state before it.
  struct Last {
    std::size_t x = none;
    typename M::State before{};
  };
  static constexpr std::size_t look = 32;  // how many of the next calls are checked by lost()
  static constexpr std::size_t none = std::numeric_limits<std::size_t>::max();

  // Whether the same answers are explained without `last`, or with it placed one later. That order is tried elsewhere,
  // so this one need not be.
  bool idle(Last const& last, std::size_t y, typename M::State const& both) const {
    if (last.x == none) return false;
    typename M::State s = last.before;
    if (!M::next(s, h[y].op, h[y].known)) return false;
    std::string const want = M::key(both);
    if (h[y].known && M::key(s) == want) return true;
    if (h[last.x].to < h[y].from || (!h[y].known && y > last.x)) return false;
    return M::next(s, h[last.x].op, false) && M::key(s) == want;
  }

  // Searches on from state st. The calls that may come next are those that began before any call that is not placed
  // yet had ended.
  bool go(typename M::State const& st, std::size_t n_known, std::size_t low, Moment latest, Last const& before) {
    if (n_known == known) return true;
    if (++rep.steps > most) return false;
    while (low < order.size() && placed[order[low]])
      ++low;
    std::string const here = M::key(st);
    // All calls before `low` are placed and those far behind it are not: only the window between differs.
    std::string k = here + '\0' + std::to_string(low) + ' ';
    Used used;
    for (std::size_t i = low; i < order.size(); ++i) {
      if (h[order[i]].known) {
        if (placed[order[i]]) k += std::to_string(i - low) + ' ';
      } else {
        used.push_back(placed[order[i]]);
      }
    }
    std::string const own = before.x == none ? k : k + '\0' + std::to_string(before.x) + ' ' + M::key(before.before);
    if (fails(k, used) || (before.x != none && fails(own, used))) return false;
    Moment end = kNever;
    for (std::size_t i = low; i < order.size(); ++i) {
      if (h[order[i]].from > end) break;
      if (!placed[order[i]] && h[order[i]].known) end = std::min(end, h[order[i]].to);
    }
    std::vector<std::size_t> may, attempted;
    std::size_t ahead = 0;
    for (std::size_t i = low; i < order.size() && ahead < look; ++i) {
      if (placed[order[i]] || !h[order[i]].known) continue;
      ++ahead;
      if (M::lost(st, h[order[i]].op)) return false;
    }
    for (std::size_t i = low; i < order.size() && h[order[i]].from <= end; ++i)
      may.push_back(order[i]);
    std::stable_sort(may.begin(), may.end(), [&](std::size_t a, std::size_t b) { return h[a].to < h[b].to; });
    for (bool const known_now : {true, false})
      for (std::size_t const x : may) {
        // An unknown call can no longer be placed once a call that began after its end is.
        if (placed[x] || h[x].known != known_now || h[x].to < latest) continue;
        if (!known_now && twin[x] != none && !placed[twin[x]]) continue;
        if (known_now) attempted.push_back(x);
        typename M::State next = st;
        if (!M::next(next, h[x].op, known_now)) continue;
        // An unknown call that changes nothing need not be placed.
        if (!known_now && M::key(next) == here) continue;
        if (idle(before, x, next)) continue;
        placed[x] = true;
        Last last;
        if (!known_now) last = Last{x, st};
        if (go(next, n_known + (known_now ? 1 : 0), low, std::max(latest, h[x].from), last)) return true;
        placed[x] = false;
        if (rep.steps > most) return false;
      }
    if (n_known >= rep.placed) {
      rep.placed = n_known;
      rep.stuck = attempted;
    }
    failed[own].push_back(std::move(used));
    return false;
  }
  bool fails(std::string const& k, Used const& used) const {
    auto const it = failed.find(k);
    return it != failed.end() && std::any_of(it->second.begin(), it->second.end(), [&](Used const& u) {
             for (std::size_t i = 0; i < u.size(); ++i)
               if (u[i] && !used[i]) return false;
             return true;
           });
  }
};
}  // namespace detail

/// Checks history h from the state `first`. At most `most` search steps are made; a history of a few hundred calls by
/// eight callers takes a few thousand.
template <Model M>
CheckReport check(std::vector<RecordedOperation<typename M::Op>> const& h, typename M::State first,
                  std::size_t most = 2'000'000) {
  detail::Search<M> s{h, most, 0, {}, std::vector<bool>(h.size()), {}, {}, {}};
  for (std::size_t i = 0; i < h.size(); ++i) {
    s.order.push_back(i);
    s.known += h[i].known ? 1 : 0;
  }
  std::stable_sort(s.order.begin(), s.order.end(), [&](std::size_t a, std::size_t b) { return h[a].from < h[b].from; });
  s.twin.assign(h.size(), detail::Search<M>::none);
  if constexpr (requires(typename M::Op const& o) {
                  { M::asks(o) } -> std::convertible_to<std::string>;
                }) {
    std::map<std::pair<std::string, Moment>, std::size_t> last;
    for (std::size_t const i : s.order) {
      if (h[i].known) continue;
      auto const [it, fresh] = last.try_emplace({M::asks(h[i].op), h[i].to}, i);
      if (!fresh) s.twin[i] = std::exchange(it->second, i);
    }
  }
  if (s.go(first, 0, 0, 0, {})) {
    s.rep.placed = s.known;
    s.rep.stuck.clear();
  } else {
    s.rep.finding = s.rep.steps > most ? CheckVerdict::gave_up : CheckVerdict::broken;
  }
  return s.rep;
}

}  // namespace dockbend::linearizability
