#include "consensus/replicated_state.hpp"

#include "item_order.hpp"
#include "value_checks.hpp"

namespace dockbend {
namespace {
/// Renewals and hand-overs are of no interest to proxies and agents.
std::vector<Lease> without_renewals(std::vector<Lease> leases) {
  for (Lease& lease : leases) {
    lease.counter = 0;
    lease.next.clear();
  }
  return leases;
}

std::size_t count_complete_except(std::vector<Member> const& members, std::string const& ip) {
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), [&](Member const& m) { return m.whole && m.ip != ip; }));
}

/// The element of the list for which the predicate is true; nullptr if there is none.
template <class T, class Predicate>
T const* find_in(std::vector<T> const& list, Predicate predicate) {
  auto const it = std::find_if(list.begin(), list.end(), predicate);
  return it == list.end() ? nullptr : &*it;
}

/// A member says something else of itself; false if it is the same as before.
bool update_member(std::vector<Member>& members, Member const& before, Member const& now) {
  // What it says of its keys must be about this membership, not about an earlier one.
  bool const is_complete = now.since == before.since ? now.whole : before.whole;
  Member updated = now;
  updated.since = before.since;
  updated.whole = is_complete;
  if (updated == before) return false;
  for (Member& member : members)
    if (member.ip == now.ip) member = updated;
  return true;
}
}  // namespace

DrainRun const* ReplicatedState::pass(u64 id) const {
  return find_in(passes, [&](DrainRun const& run) { return run.id == id; });
}

Member const* ReplicatedState::member(std::string const& ip) const {
  return find_in(membership, [&](Member const& m) { return m.ip == ip; });
}

Lease const* ReplicatedState::term(std::string const& duty) const {
  return find_in(duties, [&](Lease const& lease) { return lease.duty == duty; });
}

std::map<std::string, ConfigItem> ReplicatedState::by_key() const {
  std::map<std::string, ConfigItem> result;
  for (ConfigItem const& item : items)
    result[item.key] = item;
  return result;
}

bool ReplicatedState::is_retired(std::string const& ip, Incarnation incarnation) const {
  return find_in(retired, [&](RetiredMember const& r) { return r.ip == ip && r.incarnation == incarnation; }) !=
         nullptr;
}

bool ReplicatedState::admit(Member const& candidate) {
  if (is_retired(candidate.ip, candidate.incarnation)) return false;
  Member const* const present = member(candidate.ip);
  if (present != nullptr && present->same_disk(candidate))
    return update_member(membership, Member(*present), candidate);
  // A disk that joins has missed what was committed without it, whatever it held before.
  std::size_t const size = membership.size() + (present == nullptr ? 1 : 0);
  if (count_complete_except(membership, candidate.ip) < size / 2 + 1) return false;
  std::erase_if(membership, [&](Member const& m) { return m.ip == candidate.ip; });
  membership.push_back(candidate);
  membership.back().whole = false;
  membership.back().since = kUnassignedEpoch;
  std::sort(membership.begin(), membership.end(), [](Member const& a, Member const& b) { return a.ip < b.ip; });
  largest_membership = std::max(largest_membership, static_cast<u32>(membership.size()));
  return true;
}

bool ReplicatedState::can_shrink_to(std::size_t size) const {
  std::size_t const largest = std::max<std::size_t>(largest_membership, membership.size());
  return size > 0 && (largest + 1) / 2 - 1 < size / 2 + 1;
}

bool ReplicatedState::remove_member(std::string const& ip, Incarnation incarnation) {
  Member const* const leaving = member(ip);
  if (leaving == nullptr || leaving->incarnation != incarnation) return false;
  std::size_t const size = membership.size() - 1;
  if (count_complete_except(membership, ip) < size / 2 + 1 || !can_shrink_to(size)) return false;
  largest_membership = std::max(largest_membership, static_cast<u32>(membership.size()));
  std::erase_if(membership, [&](Member const& m) { return m.ip == ip; });
  return true;
}

ReplicatedState view_of(ReplicatedState const& state) {
  ReplicatedState view;
  view.ballot = view.open = state.open;
  view.epoch = state.epoch;
  view.items = state.items;
  view.evacuations = state.evacuations;
  view.membership = state.membership;
  view.duties = without_renewals(state.duties);
  view.to_fix = state.to_fix;
  return view;
}

bool is_same_view(ReplicatedState const& a, ReplicatedState const& b) {
  return a.epoch == b.epoch && a.to_fix == b.to_fix && are_same(a.evacuations, b.evacuations) &&
         a.membership == b.membership && without_renewals(a.duties) == without_renewals(b.duties) && a.items == b.items;
}

void check_ballot(Ballot ballot) {
  if (ballot > kLastBallot) throw codec::MalformedMessage("a ballot that no round can have");
}

ReplicatedState read_state(std::string_view bytes) {
  ReplicatedState state = codec::unpack<ReplicatedState>(bytes);
  check_value(state);
  return state;
}

void check_value(ReplicatedState const& state) {
  check_fields(state, true);
}

}  // namespace dockbend
