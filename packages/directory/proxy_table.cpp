#include "directory/proxy_table.hpp"

#include <algorithm>

namespace dockbend {

bool ProxyTable::is_settled(Seconds now) const {
  return first_heard_ >= 0 && now - first_heard_ >= settle_time_;
}

void ProxyTable::record_keepalive(ProxyEntry entry) {
  if (first_heard_ < 0) first_heard_ = entry.heard;
  auto const [it, is_new] = entries_.try_emplace(entry.front);
  if (is_new || entry.heard >= it->second.heard) it->second = std::move(entry);
}

u64 ProxyTable::renew_entries_of(std::string const& via, Seconds now) {
  u64 hash_sum = 0;
  for (auto& [front, entry] : entries_) {
    bool const is_registered_here = entry.channel != 0;
    if (is_registered_here || entry.via != via) continue;
    entry.heard = std::max(entry.heard, now);
    hash_sum += hash64(front);
  }
  return hash_sum;
}

void ProxyTable::drop_expired(Seconds now) {
  std::erase_if(entries_, [&](auto const& item) { return now - item.second.heard > timeout_; });
}

void ProxyTable::restart_timeouts(Seconds now) {
  for (auto& [front, entry] : entries_)
    entry.heard = now;
}

}  // namespace dockbend
