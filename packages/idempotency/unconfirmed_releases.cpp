#include "idempotency/unconfirmed_releases.hpp"

#include <iterator>

namespace dockbend {

bool UnconfirmedReleases::add(std::string const& ip, ReleaseRequest const& release, Seconds now) {
  std::deque<Release>& releases = by_disk_[ip];
  releases.push_back({release, now});
  if (releases.size() <= kMaxPerDisk) return true;
  releases.pop_front();
  return false;
}

std::vector<ReleaseRequest> UnconfirmedReleases::resend(std::string const& ip, Seconds now) {
  std::vector<ReleaseRequest> requests;
  auto const found = by_disk_.find(ip);
  if (found == by_disk_.end()) return requests;
  for (Release& release : found->second) {
    release.at = now;
    requests.push_back(release.request);
  }
  return requests;
}

void UnconfirmedReleases::drop_received(Seconds now, std::function<bool(std::string const& ip)> const& is_connected) {
  for (auto disk = by_disk_.begin(); disk != by_disk_.end();) {
    auto& [ip, releases] = *disk;
    if (is_connected(ip))
      while (!releases.empty() && now - releases.front().at > kReceivedAfter)
        releases.pop_front();
    disk = releases.empty() ? by_disk_.erase(disk) : std::next(disk);
  }
}

void UnconfirmedReleases::keep_members(ReplicatedState const& state) {
  std::erase_if(by_disk_, [&](auto const& entry) { return state.member(entry.first) == nullptr; });
}

}  // namespace dockbend
