#include "consensus/membership.hpp"

#include <algorithm>
#include <functional>

namespace dockbend {
namespace {
// How many whole disks the worst loss of k groups takes.
long worst(ReplicatedState const& s, u32 k, std::function<std::string(Member const&)> const& group) {
  std::map<std::string, long> n;
  for (Member const& m : s.membership)
    if (m.whole) ++n[group(m)];
  std::vector<long> v;
  for (auto const& [g, x] : n)
    v.push_back(x);
  std::sort(v.rbegin(), v.rend());
  long sum = 0;
  for (std::size_t i = 0; i < v.size() && i < k; ++i)
    sum += v[i];
  return sum;
}
}  // namespace

FailureMargin margin_of(ReplicatedState const& s, FailureTolerance const& t) {
  long whole = 0;
  for (Member const& m : s.membership)
    whole += m.whole ? 1 : 0;
  long const left = whole - static_cast<long>(s.majority());
  // A member that has not said where it is stands alone.
  auto const zone = [](Member const& m) { return m.zone.empty() ? m.ip : m.zone; };
  auto const region = [](Member const& m) { return m.region.empty() ? m.ip : m.region; };
  FailureMargin r;
  r.machines = left - worst(s, t.machines, [](Member const& m) { return m.ip; });
  r.zones = left - worst(s, t.zones, zone);
  r.regions = left - worst(s, t.regions, region);
  return r;
}

std::string why_not(ReplicatedState const& s, std::string const& ip, FailureTolerance const& t) {
  Member const* const m = s.member(ip);
  if (m == nullptr) return "no such member: " + ip;
  ReplicatedState after = s;
  if (!after.dismiss(ip, m->incarnation)) {
    if (s.membership.size() < 2) return "it is the last member";
    if (!s.may_shrink_to(s.membership.size() - 1))
      return "keys won while there were " +
             std::to_string(std::max<std::size_t>(s.largest_membership, s.membership.size())) +
             " members still bind; later it may go";
    return "too few of the others hold all keys yet";
  }
  FailureMargin const a = margin_of(s, t), b = margin_of(after, t);
  // What the roster does not bear today either, a removal may leave as it is, but not worsen.
  auto const harms = [](long before, long now) { return now < 0 && now < before; };
  auto const of = [](u32 n, char const* one) { return std::to_string(n) + " " + one + (n == 1 ? "" : "s"); };
  std::string const tail = " would leave no majority of the " + std::to_string(after.membership.size()) + " others";
  if (t.machines > 0 && harms(a.machines, b.machines))
    return "without it the loss of " + of(t.machines, "machine") + tail;
  if (t.zones > 0 && harms(a.zones, b.zones)) return "without it the loss of " + of(t.zones, "zone") + tail;
  if (t.regions > 0 && harms(a.regions, b.regions)) return "without it the loss of " + of(t.regions, "region") + tail;
  return "";
}

bool take_out(ReplicatedState& s, std::string const& ip, Incarnation incarnation, FailureTolerance const& t,
              std::string& why) {
  why.clear();
  Member const* const m = s.member(ip);
  if (m == nullptr || m->incarnation != incarnation) return false;  // gone already
  why = why_not(s, ip, t);
  return why.empty() && s.dismiss(ip, incarnation);
}

void MembershipMonitor::see(ReplicatedState const& s, Seconds now) {
  if (first_ || s.epoch != epoch_) epoch_at_ = now;
  epoch_ = s.epoch;
  std::map<std::string, Incarnation> next;
  for (Member const& m : s.membership) {
    next[m.ip] = m.incarnation;
    if (!first_ && known_.count(m.ip) == 0) {
      came_[m.ip] = now;
      used_.erase(m.ip);
    }
    heard_.emplace(m.ip, now);  // its silence begins no earlier than its membership
  }
  std::erase_if(came_, [&](auto const& x) { return next.count(x.first) == 0; });
  std::erase_if(heard_, [&](auto const& x) { return next.count(x.first) == 0; });
  std::erase_if(used_, [&](std::string const& x) { return next.count(x) == 0; });
  known_ = std::move(next);
  first_ = false;
}

void MembershipMonitor::heard(std::string const& ip, Seconds at) {
  if (auto const it = heard_.find(ip); it != heard_.end()) it->second = std::max(it->second, at);
}

void MembershipMonitor::forgive(Seconds now) {
  forgiven_ = now;
}

Seconds MembershipMonitor::silence(std::string const& ip, Seconds now) const {
  auto const it = heard_.find(ip);
  return it == heard_.end() ? 0 : now - std::max(it->second, forgiven_);
}

Member const* MembershipMonitor::newcomer(ReplicatedState const& s, std::string const& zone, std::string const& me,
                                          Seconds now) const {
  for (Member const& m : s.membership) {
    auto const it = came_.find(m.ip);
    if (m.ip == me || m.zone != zone || zone.empty() || it == came_.end() || used_.count(m.ip) > 0) continue;
    if (now - it->second <= p_.recent) return &m;
  }
  return nullptr;
}

std::optional<MembershipMonitor::Swap> MembershipMonitor::swap(ReplicatedState const& s, std::string const& me,
                                                               Seconds now) const {
  for (Member const& x : s.membership) {
    Seconds const q = silence(x.ip, now);
    if (x.ip == me || x.zone.empty() || q < p_.silent) continue;
    for (Member const& y : s.membership) {
      auto const it = came_.find(y.ip);
      if (y.ip == x.ip || y.zone != x.zone || !y.whole || it == came_.end() || used_.count(y.ip) > 0) continue;
      if (y.ip != me && silence(y.ip, now) >= p_.silent) continue;
      // Two that came in together replace nobody: the silent one must be older.
      if (came_.count(x.ip) > 0 && came_.at(x.ip) >= it->second) continue;
      if (it->second + p_.recent >= now - q) return Swap{x, y};
    }
  }
  return std::nullopt;
}

std::optional<Epoch> MembershipMonitor::settled(Seconds now) const {
  if (first_ || now - epoch_at_ < p_.horizon) return std::nullopt;
  return epoch_;
}

}  // namespace dockbend
