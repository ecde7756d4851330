// Counts of errands by tenant and window, joined over all proxies. No I/O.
#pragma once
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/record.hpp"
#include "usage/median_clock.hpp"
#include "wire/codec.hpp"

namespace dockbend {

using Window = Strong<u64, struct WindowTag>;
Window window_of(Wall t, double period_s);

// Running totals of one proxy's life in one window.
struct TallyRow {
  DB_RECORD(TallyRow, (u64, life), (Window, window), (std::vector<std::string>, tenants), (std::vector<u64>, counts));
};
struct TallyNote {
  DB_RECORD(TallyNote, (std::vector<TallyRow>, rows));
};

// A proxy's side. Invariant: a count never falls, so that whoever joins by maximum
// has each errand once.
class Counter {
 public:
  explicit Counter(u64 life) : life_(life) {}
  void began(std::string const& tenant, Window w);
  // Rows that changed since they were last taken; all of them if `all`.
  TallyNote take(bool all);
  void forget(Window before);
  u64 count(std::string const& tenant, Window w) const;

 private:
  u64 life_;
  std::map<Window, std::map<std::string, u64>> m_;
  std::set<Window> dirty_;
};

// The joined totals. Invariants: for one (life, window, tenant) the maximum of all
// that was said holds, so rows may come late, twice and in any order; nothing is kept
// of windows before the floor.
class Totals {
 public:
  // True if the row brought news.
  bool join(TallyRow const& r);
  std::map<std::string, u64> sum(Window w) const;
  // Has every proxy that counted in w, or just before it, gone on to a later window?
  bool complete(Window w) const;
  Window first() const { return m_.empty() ? Window() : m_.begin()->first; }
  // Rows changed since the last call; all rows if `all`.
  TallyNote take(bool all);
  void forget(Window before);

 private:
  using Row = std::map<std::string, u64>;
  Window floor_;
  std::map<Window, std::unordered_map<u64, Row>> m_;
  std::set<std::pair<Window, u64>> dirty_;
  std::unordered_map<u64, Window> newest_;  // by life; kept for a while after the rows
};

// The body of a window's report. The same totals give the same bytes.
std::string usage_body(Window w, std::map<std::string, u64> const& sum);

}  // namespace dockbend
