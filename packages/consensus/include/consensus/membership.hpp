// Who may leave the roster, and whom the others take out. No I/O.
#pragma once
#include <map>
#include <optional>
#include <set>

#include "consensus/replicated_state.hpp"

namespace dockbend {

// What may be lost at once: so many disks, or so many zones, or so many regions.
struct Tolerance {
  u32 machines = 0, zones = 0, regions = 0;
};

// Whole disks beyond a majority of the roster that are left after the worst loss of each
// sort; below 0: such a loss stops every change and every claim.
struct Margin {
  long machines = 0, zones = 0, regions = 0;
};
Margin margin_of(State const& s, Tolerance const& t);

// Why that member, alive, must not leave; "": it may.
std::string why_not(State const& s, std::string const& ip, Tolerance const& t);

// Takes a member out that is alive, if that does no harm; why says what held it back.
// Sent again it finds the member gone and is as good as done.
bool take_out(State& s, std::string const& ip, Life life, Tolerance const& t, std::string& why);

// How long one waits before a silent member counts as replaced.
struct WatchPlan {
  Secs silent = 2;    // half of convergeS: out before its successor counts as settled
  Secs recent = 10;   // a successor came in at most so long before the silence began
  Secs horizon = 80;  // for so long a key binds
};

// What one node saw of the roster. Invariants: a member counts as a newcomer only if this
// life saw it come in at an address that no member had; a newcomer stands for one silent
// member at most; times are of the steady clock, and start anew with the process.
class RosterWatch {
 public:
  explicit RosterWatch(WatchPlan p, Secs now) : p_(p), epoch_at_(now) {}
  // A newer value is in force.
  void see(State const& s, Secs now);
  void heard(std::string const& ip, Secs at);
  // We stood still, or lost touch with a majority: nobody's silence counts up to now.
  void forgive(Secs now);

  // How long a member has said nothing.
  Secs silence(std::string const& ip, Secs now) const;
  struct Swap {
    Member gone, by;
  };
  // A member that is gone, and the whole one of its zone that came in its place.
  std::optional<Swap> swap(State const& s, std::string const& me, Secs now) const;
  // Who came into this zone lately, other than me.
  Member const* newcomer(State const& s, std::string const& zone, std::string const& me, Secs now) const;
  void used(std::string const& by) { used_.insert(by); }
  // The value's roster has stood for so long that keys won under an earlier one bind no more.
  // Only the round itself may use it: it must find this very epoch.
  std::optional<Epoch> settled(Secs now) const;

 private:
  WatchPlan p_;
  bool first_ = true;
  Epoch epoch_;
  Secs epoch_at_, forgiven_ = 0;
  std::map<std::string, Life> known_;
  std::map<std::string, Secs> came_, heard_;
  std::set<std::string> used_;
};

}  // namespace dockbend
