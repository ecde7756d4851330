#include "consensus/failure_margin.hpp"

#include <functional>
#include <numeric>

namespace dockbend {
namespace {
using GroupName = std::function<std::string(Member const&)>;

/// How many complete disks the worst loss of `lost_groups` groups takes.
long worst_loss(ReplicatedState const& state, u32 lost_groups, GroupName const& group_of) {
  std::map<std::string, long> disks_by_group;
  for (Member const& member : state.membership)
    if (member.whole) ++disks_by_group[group_of(member)];
  std::vector<long> disks;
  for (auto const& [group, count] : disks_by_group)
    disks.push_back(count);
  std::sort(disks.rbegin(), disks.rend());
  auto const lost = static_cast<std::ptrdiff_t>(std::min<std::size_t>(lost_groups, disks.size()));
  return std::accumulate(disks.begin(), disks.begin() + lost, 0L);
}

std::string counted(u32 number, char const* noun) {
  return std::to_string(number) + " " + noun + (number == 1 ? "" : "s");
}

/// Why the rules of the membership itself forbid the removal.
std::string why_not_dismissed(ReplicatedState const& state) {
  if (state.membership.size() < 2) return "it is the last member";
  if (!state.can_shrink_to(state.membership.size() - 1))
    return "keys won while there were " +
           std::to_string(std::max<std::size_t>(state.largest_membership, state.membership.size())) +
           " members still bind; later it may go";
  return "too few of the others hold all keys yet";
}

/// What the membership does not bear today either, a removal may leave as it is, but not worsen.
bool does_harm(long before, long after) {
  return after < 0 && after < before;
}
}  // namespace

FailureMargin failure_margin(ReplicatedState const& state, FailureTolerance const& tolerance) {
  auto const complete = std::count_if(state.membership.begin(), state.membership.end(),
                                      [](Member const& member) { return member.whole; });
  long const spare = static_cast<long>(complete) - static_cast<long>(state.majority());
  // A member that has not said where it is counts as a group of its own.
  auto const machine = [](Member const& m) { return m.ip; };
  auto const zone = [](Member const& m) { return m.zone.empty() ? m.ip : m.zone; };
  auto const region = [](Member const& m) { return m.region.empty() ? m.ip : m.region; };
  FailureMargin margin;
  margin.machines = spare - worst_loss(state, tolerance.machines, machine);
  margin.zones = spare - worst_loss(state, tolerance.zones, zone);
  margin.regions = spare - worst_loss(state, tolerance.regions, region);
  return margin;
}

std::string why_not_removable(ReplicatedState const& state, std::string const& ip, FailureTolerance const& tolerance) {
  Member const* const member = state.member(ip);
  if (member == nullptr) return "no such member: " + ip;
  ReplicatedState after = state;
  if (!after.remove_member(ip, member->incarnation)) return why_not_dismissed(state);
  FailureMargin const now = failure_margin(state, tolerance), then = failure_margin(after, tolerance);
  auto const reason = [&](u32 lost, char const* noun) {
    return "without it the loss of " + counted(lost, noun) + " would leave no majority of the " +
           std::to_string(after.membership.size()) + " others";
  };
  if (tolerance.machines > 0 && does_harm(now.machines, then.machines)) return reason(tolerance.machines, "machine");
  if (tolerance.zones > 0 && does_harm(now.zones, then.zones)) return reason(tolerance.zones, "zone");
  if (tolerance.regions > 0 && does_harm(now.regions, then.regions)) return reason(tolerance.regions, "region");
  return "";
}

bool remove_if_harmless(ReplicatedState& state, std::string const& ip, Incarnation incarnation,
                        FailureTolerance const& tolerance, std::string& why) {
  why.clear();
  Member const* const member = state.member(ip);
  if (member == nullptr || member->incarnation != incarnation) return false;
  why = why_not_removable(state, ip, tolerance);
  return why.empty() && state.remove_member(ip, incarnation);
}

}  // namespace dockbend
