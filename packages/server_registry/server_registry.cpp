#include "server_registry/server_registry.hpp"

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace dockbend {
namespace {
// Warm-up times of two records of one server that differ by no more are equal: delays on the way explain it.
Seconds constexpr kWarmUpTolerance = 0.4;
}  // namespace

u64 ServerRegistry::hash_of(ServerRecord const& record) {
  return hash64(record.id + "|" + record.service + "|" + record.address + "|" + record.owner,
                static_cast<u64>(record.state));
}

ServerRecord ServerRegistry::record_at(Entry const& entry, Seconds now) {
  ServerRecord record = entry.record;
  record.cold_left = std::max(0.0, entry.warming_until - now);
  return record;
}

void ServerRegistry::replace(Entry& entry, ServerRecord const& record, Seconds now) {
  bool const is_new_entry = entry.record.id.empty();
  if (!is_new_entry && entry.record.state != ServerState::gone) digest_ -= hash_of(entry.record);
  entry.is_durable = entry.is_durable && record.state == entry.record.state;
  entry.record = record;
  entry.warming_until = now + record.cold_left;
  entry.changed_at = now;
  if (record.state != ServerState::gone) digest_ += hash_of(record);
}

ServerRecord const& ServerRegistry::mark_gone(Entry& entry, Seconds now) {
  ServerRecord record = entry.record;
  record.state = ServerState::gone;
  replace(entry, record, now);
  return entry.record;
}

void ServerRegistry::restore(ServerRecord const& record, Seconds now) {
  Entry& entry = entries_[record.id];
  replace(entry, record, now);
  entry.heartbeat_at = now;
}

bool ServerRegistry::merge_record(ServerRecord const& record, Seconds now) {
  auto const [it, is_new_id] = entries_.try_emplace(record.id);
  Entry& entry = it->second;
  if (is_new_id) {
    replace(entry, record, now);
    return true;
  }
  ServerRecord const& known = entry.record;
  if (record.seq < known.seq) return false;
  if (record.seq == known.seq && record.state <= known.state) return false;
  Seconds const warm_up_change = std::abs(now + record.cold_left - std::max(entry.warming_until, now));
  bool const is_news = record.state != known.state || record.owner != known.owner || record.address != known.address ||
                       warm_up_change > kWarmUpTolerance;
  replace(entry, record, now);
  return is_news;
}

bool ServerRegistry::record_heartbeat(ServerRecord record, std::string const& self, Seconds now) {
  record.owner = self;
  bool const is_news = merge_record(record, now);
  auto const it = entries_.find(record.id);
  if (it != entries_.end() && it->second.record.owner == self) it->second.heartbeat_at = now;
  return is_news;
}

std::vector<ServerRecord> ServerRegistry::mark_silent_gone(std::string const& self, Seconds timeout, Seconds now) {
  std::vector<ServerRecord> marked;
  for (auto& [id, entry] : entries_) {
    if (entry.record.owner != self || entry.record.state == ServerState::gone || now - entry.heartbeat_at < timeout)
      continue;
    marked.push_back(mark_gone(entry, now));
  }
  return marked;
}

std::vector<ServerRecord> ServerRegistry::mark_gone_of_owner(std::string const& owner, Seconds now) {
  std::vector<ServerRecord> marked;
  for (auto& [id, entry] : entries_)
    if (entry.record.owner == owner && entry.record.state != ServerState::gone) marked.push_back(mark_gone(entry, now));
  return marked;
}

std::vector<std::string> ServerRegistry::mark_absent_gone(std::vector<ServerRecord> const& complete, Seconds min_age,
                                                          Seconds now) {
  std::unordered_set<std::string> present;
  for (ServerRecord const& record : complete)
    present.insert(record.id);
  std::vector<std::string> marked;
  for (auto& [id, entry] : entries_) {
    if (present.count(id) > 0 || entry.record.state == ServerState::gone || now - entry.changed_at < min_age) continue;
    mark_gone(entry, now);
    marked.push_back(id);
  }
  return marked;
}

void ServerRegistry::restart_timeouts(Seconds now) {
  for (auto& [id, entry] : entries_)
    entry.heartbeat_at = now;
}

std::vector<std::string> ServerRegistry::forget_gone(Seconds age, Seconds now) {
  std::vector<std::string> forgotten;
  std::erase_if(entries_, [&](auto const& item) {
    Entry const& entry = item.second;
    bool const is_old = entry.record.state == ServerState::gone && now - entry.changed_at > age;
    if (is_old) forgotten.push_back(item.first);
    return is_old;
  });
  return forgotten;
}

void ServerRegistry::mark_durable(ServerRecord const& departure) {
  auto const known = entries_.find(departure.id);
  if (known != entries_.end() && known->second.record.state == departure.state) known->second.is_durable = true;
}

bool ServerRegistry::is_durable(std::string const& id) const {
  auto const known = entries_.find(id);
  return known != entries_.end() && known->second.is_durable;
}

std::vector<ServerRecord> ServerRegistry::records(Seconds now) const {
  std::vector<ServerRecord> records;
  records.reserve(entries_.size());
  for (auto const& [id, entry] : entries_)
    records.push_back(record_at(entry, now));
  return records;
}

std::vector<ServerRecord> ServerRegistry::changed_since(Seconds since, Seconds now) const {
  std::vector<ServerRecord> records;
  for (auto const& [id, entry] : entries_)
    if (entry.changed_at >= since) records.push_back(record_at(entry, now));
  return records;
}

std::optional<ServerRecord> ServerRegistry::find(std::string const& id, Seconds now) const {
  auto const it = entries_.find(id);
  if (it == entries_.end()) return std::nullopt;
  return record_at(it->second, now);
}

}  // namespace dockbend
