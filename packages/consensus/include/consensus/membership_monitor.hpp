/// What one node has seen of the membership: who is silent, who came in, who replaced whom. No I/O.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>

#include "consensus/replicated_state.hpp"

namespace dockbend {

/// When a silent member counts as replaced.
struct MembershipMonitorOptions {
  Seconds silent = 2;    ///< half of convergeS: it is out before its successor counts as settled
  Seconds recent = 10;   ///< a successor came in at most so long before the silence began
  Seconds horizon = 80;  ///< how long a claimed key is binding
};

/// Invariants:
/// - a member counts as a newcomer only if this process saw it come in at an address that no member had;
/// - a newcomer replaces one silent member at most;
/// - times are of the steady clock, and start anew with the process.
class MembershipMonitor {
 public:
  explicit MembershipMonitor(MembershipMonitorOptions options, Seconds now) : options_(options), epoch_since_(now) {}
  /// In force from now on.
  void set_options(MembershipMonitorOptions const& options) { options_ = options; }
  /// A newer value is in force.
  void see(ReplicatedState const& state, Seconds now);
  /// A message of that member arrived.
  void heard(std::string const& ip, Seconds at);
  /// This process was suspended, or lost contact with a majority: nobody's silence before `now` counts.
  void forgive(Seconds now);

  /// For how long the member has sent nothing.
  Seconds silence(std::string const& ip, Seconds now) const;
  struct Swap {
    Member gone, by;
  };
  /// A member that is gone, and the complete one of its zone that came in its place.
  std::optional<Swap> swap(ReplicatedState const& state, std::string const& own_ip, Seconds now) const;
  /// Who came into this zone lately, other than this node.
  Member const* newcomer(ReplicatedState const& state, std::string const& zone, std::string const& own_ip,
                         Seconds now) const;
  /// That newcomer has replaced a member.
  void used(std::string const& ip) { used_.insert(ip); }
  /// The epoch, if it has lasted for so long that keys claimed under an earlier one are no longer binding. Only a
  /// round that finds this very epoch may use it.
  std::optional<Epoch> settled(Seconds now) const;

 private:
  /// When it came in, if it is a newcomer that has replaced nobody.
  std::optional<Seconds> unused_newcomer_since(std::string const& ip) const;
  bool replaces(Member const& candidate, Member const& silent, std::string const& own_ip, Seconds now) const;

  MembershipMonitorOptions options_;
  bool is_first_value_ = true;
  Epoch epoch_;
  Seconds epoch_since_, forgiven_at_ = 0;
  std::set<std::string> known_;                  // addresses of the last value's members
  std::map<std::string, Seconds> came_, heard_;  // by ip
  std::set<std::string> used_;
};

}  // namespace dockbend
