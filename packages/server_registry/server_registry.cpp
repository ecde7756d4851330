#include "server_registry/server_registry.hpp"

#include <algorithm>
#include <unordered_set>

namespace dockbend {

u64 ServerRegistry::mark(ServerRecord const& r) {
  return hash64(r.id + "|" + r.service + "|" + r.address + "|" + r.owner, static_cast<u64>(r.state));
}

void ServerRegistry::put(Entry& e, ServerRecord const& r, Seconds now) {
  if (!e.row.id.empty() && e.row.state != ServerState::gone) digest_ -= mark(e.row);
  e.row = r;
  e.cold_until = now + r.cold_left;
  e.changed = now;
  if (r.state != ServerState::gone) digest_ += mark(r);
}

void ServerRegistry::load(ServerRecord const& r, Seconds now) {
  Entry& e = m_[r.id];
  put(e, r, now);
  e.beat = now;
}

bool ServerRegistry::join(ServerRecord const& r, Seconds now) {
  auto const it = m_.find(r.id);
  if (it == m_.end()) {
    put(m_[r.id], r, now);
    return true;
  }
  Entry& e = it->second;
  if (r.seq < e.row.seq) return false;
  if (r.seq == e.row.seq && r.state <= e.row.state) return false;
  bool const news = r.state != e.row.state || r.owner != e.row.owner || r.address != e.row.address ||
                    std::abs(now + r.cold_left - std::max(e.cold_until, now)) > 0.4;
  put(e, r, now);
  return news;
}

bool ServerRegistry::beat(ServerRecord r, std::string const& me, Seconds now) {
  r.owner = me;
  bool const news = join(r, now);
  auto const it = m_.find(r.id);
  if (it != m_.end() && it->second.row.owner == me) it->second.beat = now;
  return news;
}

std::vector<ServerRecord> ServerRegistry::expire(std::string const& me, Seconds silent, Seconds now) {
  std::vector<ServerRecord> out;
  for (auto& [id, e] : m_) {
    if (e.row.owner != me || e.row.state == ServerState::gone || now - e.beat < silent) continue;
    ServerRecord r = e.row;
    r.state = ServerState::gone;
    put(e, r, now);
    out.push_back(r);
  }
  return out;
}

std::vector<ServerRecord> ServerRegistry::expire_of(std::string const& owner, Seconds now) {
  std::vector<ServerRecord> out;
  for (auto& [id, e] : m_) {
    if (e.row.owner != owner || e.row.state == ServerState::gone) continue;
    ServerRecord r = e.row;
    r.state = ServerState::gone;
    put(e, r, now);
    out.push_back(r);
  }
  return out;
}

void ServerRegistry::forgive(Seconds now) {
  for (auto& [id, e] : m_)
    e.beat = now;
}

void ServerRegistry::purge(Seconds older, Seconds now) {
  for (auto it = m_.begin(); it != m_.end();)
    it = it->second.row.state == ServerState::gone && now - it->second.changed > older ? m_.erase(it) : std::next(it);
}

std::vector<ServerRecord> ServerRegistry::all(Seconds now) const {
  std::vector<ServerRecord> out;
  out.reserve(m_.size());
  for (auto const& [id, e] : m_) {
    out.push_back(e.row);
    out.back().cold_left = std::max(0.0, e.cold_until - now);
  }
  return out;
}

std::vector<ServerRecord> ServerRegistry::changed_since(Seconds at, Seconds now) const {
  std::vector<ServerRecord> out;
  for (auto const& [id, e] : m_) {
    if (e.changed < at) continue;
    out.push_back(e.row);
    out.back().cold_left = std::max(0.0, e.cold_until - now);
  }
  return out;
}

std::optional<ServerRecord> ServerRegistry::get(std::string const& id, Seconds now) const {
  auto const it = m_.find(id);
  if (it == m_.end()) return std::nullopt;
  ServerRecord r = it->second.row;
  r.cold_left = std::max(0.0, it->second.cold_until - now);
  return r;
}

std::vector<std::string> ServerRegistry::drop_absent(std::vector<ServerRecord> const& full, Seconds older,
                                                     Seconds now) {
  std::unordered_set<std::string> have;
  for (ServerRecord const& r : full)
    have.insert(r.id);
  std::vector<std::string> out;
  for (auto& [id, e] : m_) {
    if (have.count(id) > 0 || e.row.state == ServerState::gone || now - e.changed < older) continue;
    ServerRecord r = e.row;
    r.state = ServerState::gone;
    put(e, r, now);
    out.push_back(id);
  }
  return out;
}

}  // namespace dockbend
