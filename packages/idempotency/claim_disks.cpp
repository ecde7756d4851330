#include "idempotency/claim_disks.hpp"

#include <algorithm>
#include <tuple>

namespace dockbend {

void ClaimDisks::connect(std::string const& ip, u64 connection, bool is_relayed) {
  links_[ip].connection = connection;
  links_[ip].is_relayed = is_relayed;
  sort_by_distance();
}

void ClaimDisks::disconnect(std::string const& ip) {
  links_[ip].connection = 0;
  sort_by_distance();
}

void ClaimDisks::set_members(std::vector<Member> members) {
  members_ = std::move(members);
  sort_by_distance();
}

Member const* ClaimDisks::member(std::string const& ip) const {
  auto const found =
      std::find_if(members_.begin(), members_.end(), [&](Member const& other) { return other.ip == ip; });
  return found == members_.end() ? nullptr : &*found;
}

bool ClaimDisks::may_store_body(std::string const& ip, std::vector<std::string> const& homes) const {
  if (!may_send_body(ip, homes)) return false;
  return homes.empty() || std::find(homes.begin(), homes.end(), member(ip)->region) != homes.end();
}

bool ClaimDisks::may_send_body(std::string const& ip, std::vector<std::string> const& homes) const {
  if (member(ip) == nullptr) return false;
  return homes.empty() || !link(ip).is_relayed;
}

std::string ClaimDisks::nearest_that_may_store(std::vector<std::string> const& homes) const {
  auto const disk = std::find_if(nearest_first_.begin(), nearest_first_.end(),
                                 [&](std::string const& ip) { return may_store_body(ip, homes); });
  return disk == nearest_first_.end() ? "" : *disk;
}

ClaimDisks::Link ClaimDisks::link(std::string const& ip) const {
  auto const found = links_.find(ip);
  return found == links_.end() ? Link() : found->second;
}

int ClaimDisks::distance(Member const& member) const {
  int constexpr kSameZone = 0, kSameRegion = 1, kOtherRegion = 2, kUnknown = 3;
  if (member.zone.empty()) return kUnknown;
  if (member.zone == zone_) return kSameZone;
  return member.region == region_ ? kSameRegion : kOtherRegion;
}

void ClaimDisks::sort_by_distance() {
  std::vector<std::tuple<int, u64, std::string>> connected;
  for (Member const& member : members_)
    if (is_connected(member.ip)) connected.emplace_back(distance(member), hash64(member.ip + node_), member.ip);
  std::sort(connected.begin(), connected.end());
  nearest_first_.clear();
  for (auto& [distance, draw, ip] : connected)
    nearest_first_.push_back(std::move(ip));
}

}  // namespace dockbend
