// Who may leave the roster, and whom the others take out. No I/O.
#pragma once
#include <map>
#include <optional>
#include <set>

#include "consensus/replicated_state.hpp"

namespace dockbend {

// What may be lost at once: so many disks, or so many zones, or so many regions.
struct FailureTolerance {
  u32 machines = 0, zones = 0, regions = 0;
};

// Whole disks beyond a majority of the roster that are left after the worst loss of each
// sort; below 0: such a loss stops every change and every claim.
struct FailureMargin {
  long machines = 0, zones = 0, regions = 0;
};
FailureMargin margin_of(ReplicatedState const& s, FailureTolerance const& t);

// Why that member, alive, must not leave; "": it may.
std::string why_not(ReplicatedState const& s, std::string const& ip, FailureTolerance const& t);

// Takes a member out that is alive, if that does no harm; why says what held it back.
// Sent again it finds the member gone and is as good as done.
bool take_out(ReplicatedState& s, std::string const& ip, Incarnation incarnation, FailureTolerance const& t,
              std::string& why);

// How long one waits before a silent member counts as replaced.
struct MembershipMonitorOptions {
  Seconds silent = 2;    // half of convergeS: out before its successor counts as settled
  Seconds recent = 10;   // a successor came in at most so long before the silence began
  Seconds horizon = 80;  // for so long a key binds
};

// What one node saw of the roster. Invariants: a member counts as a newcomer only if this
// life saw it come in at an address that no member had; a newcomer stands for one silent
// member at most; times are of the steady clock, and start anew with the process.
class MembershipMonitor {
 public:
  explicit MembershipMonitor(MembershipMonitorOptions p, Seconds now) : p_(p), epoch_at_(now) {}
  // A newer value is in force.
  void see(ReplicatedState const& s, Seconds now);
  void heard(std::string const& ip, Seconds at);
  // We stood still, or lost touch with a majority: nobody's silence counts up to now.
  void forgive(Seconds now);

  // How long a member has said nothing.
  Seconds silence(std::string const& ip, Seconds now) const;
  struct Swap {
    Member gone, by;
  };
  // A member that is gone, and the whole one of its zone that came in its place.
  std::optional<Swap> swap(ReplicatedState const& s, std::string const& me, Seconds now) const;
  // Who came into this zone lately, other than me.
  Member const* newcomer(ReplicatedState const& s, std::string const& zone, std::string const& me, Seconds now) const;
  void used(std::string const& by) { used_.insert(by); }
  // The value's roster has stood for so long that keys won under an earlier one bind no more.
  // Only the round itself may use it: it must find this very epoch.
  std::optional<Epoch> settled(Seconds now) const;

 private:
  MembershipMonitorOptions p_;
  bool first_ = true;
  Epoch epoch_;
  Seconds epoch_at_, forgiven_ = 0;
  std::map<std::string, Incarnation> known_;
  std::map<std::string, Seconds> came_, heard_;
  std::set<std::string> used_;
};

}  // namespace dockbend
