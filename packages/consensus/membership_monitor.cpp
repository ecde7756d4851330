#include "consensus/membership_monitor.hpp"

namespace dockbend {

void MembershipMonitor::see(ReplicatedState const& state, Seconds now) {
  if (is_first_value_ || state.epoch != epoch_) epoch_since_ = now;
  epoch_ = state.epoch;
  std::set<std::string> members;
  for (Member const& member : state.membership) {
    members.insert(member.ip);
    if (!is_first_value_ && !known_.contains(member.ip)) {
      came_[member.ip] = now;
      used_.erase(member.ip);
    }
    heard_.emplace(member.ip, now);  // its silence begins no earlier than its membership
  }
  std::erase_if(came_, [&](auto const& entry) { return !members.contains(entry.first); });
  std::erase_if(heard_, [&](auto const& entry) { return !members.contains(entry.first); });
  std::erase_if(used_, [&](std::string const& ip) { return !members.contains(ip); });
  known_ = std::move(members);
  is_first_value_ = false;
}

void MembershipMonitor::heard(std::string const& ip, Seconds at) {
  if (auto const it = heard_.find(ip); it != heard_.end()) it->second = std::max(it->second, at);
}

void MembershipMonitor::forgive(Seconds now) {
  forgiven_at_ = now;
}

Seconds MembershipMonitor::silence(std::string const& ip, Seconds now) const {
  auto const it = heard_.find(ip);
  return it == heard_.end() ? 0 : now - std::max(it->second, forgiven_at_);
}

std::optional<Seconds> MembershipMonitor::unused_newcomer_since(std::string const& ip) const {
  auto const it = came_.find(ip);
  if (it == came_.end() || used_.contains(ip)) return std::nullopt;
  return it->second;
}

Member const* MembershipMonitor::newcomer(ReplicatedState const& state, std::string const& zone,
                                          std::string const& own_ip, Seconds now) const {
  if (zone.empty()) return nullptr;
  for (Member const& member : state.membership) {
    if (member.ip == own_ip || member.zone != zone) continue;
    auto const came_at = unused_newcomer_since(member.ip);
    if (came_at && now - *came_at <= options_.recent) return &member;
  }
  return nullptr;
}

bool MembershipMonitor::replaces(Member const& candidate, Member const& silent, std::string const& own_ip,
                                 Seconds now) const {
  if (candidate.ip == silent.ip || candidate.zone != silent.zone || !candidate.whole) return false;
  auto const came_at = unused_newcomer_since(candidate.ip);
  if (!came_at) return false;
  if (candidate.ip != own_ip && silence(candidate.ip, now) >= options_.silent) return false;
  // Two that came in together replace nobody: the silent one must be older.
  if (auto const it = came_.find(silent.ip); it != came_.end() && it->second >= *came_at) return false;
  return *came_at + options_.recent >= now - silence(silent.ip, now);
}

std::optional<MembershipMonitor::Swap> MembershipMonitor::swap(ReplicatedState const& state, std::string const& own_ip,
                                                               Seconds now) const {
  for (Member const& silent : state.membership) {
    if (silent.ip == own_ip || silent.zone.empty() || silence(silent.ip, now) < options_.silent) continue;
    for (Member const& candidate : state.membership)
      if (replaces(candidate, silent, own_ip, now)) return Swap{silent, candidate};
  }
  return std::nullopt;
}

std::optional<Epoch> MembershipMonitor::settled(Seconds now) const {
  if (is_first_value_ || now - epoch_since_ < options_.horizon) return std::nullopt;
  return epoch_;
}

}  // namespace dockbend
