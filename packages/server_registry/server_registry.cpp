#include "server_registry/server_registry.hpp"

#include <algorithm>
#include <unordered_set>

namespace dockbend {

u64 Roll::mark(Row const& r) {
  return hash64(r.id + "|" + r.service + "|" + r.address + "|" + r.owner, static_cast<u64>(r.state));
}

void Roll::put(Entry& e, Row const& r, Secs now) {
  if (!e.row.id.empty() && e.row.state != Standing::gone) digest_ -= mark(e.row);
  e.row = r;
  e.cold_until = now + r.cold_left;
  e.changed = now;
  if (r.state != Standing::gone) digest_ += mark(r);
}

void Roll::load(Row const& r, Secs now) {
  Entry& e = m_[r.id];
  put(e, r, now);
  e.beat = now;
}

bool Roll::join(Row const& r, Secs now) {
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

bool Roll::beat(Row r, std::string const& me, Secs now) {
  r.owner = me;
  bool const news = join(r, now);
  auto const it = m_.find(r.id);
  if (it != m_.end() && it->second.row.owner == me) it->second.beat = now;
  return news;
}

std::vector<Row> Roll::expire(std::string const& me, Secs silent, Secs now) {
  std::vector<Row> out;
  for (auto& [id, e] : m_) {
    if (e.row.owner != me || e.row.state == Standing::gone || now - e.beat < silent) continue;
    Row r = e.row;
    r.state = Standing::gone;
    put(e, r, now);
    out.push_back(r);
  }
  return out;
}

std::vector<Row> Roll::expire_of(std::string const& owner, Secs now) {
  std::vector<Row> out;
  for (auto& [id, e] : m_) {
    if (e.row.owner != owner || e.row.state == Standing::gone) continue;
    Row r = e.row;
    r.state = Standing::gone;
    put(e, r, now);
    out.push_back(r);
  }
  return out;
}

void Roll::forgive(Secs now) {
  for (auto& [id, e] : m_)
    e.beat = now;
}

void Roll::purge(Secs older, Secs now) {
  for (auto it = m_.begin(); it != m_.end();)
    it = it->second.row.state == Standing::gone && now - it->second.changed > older ? m_.erase(it) : std::next(it);
}

std::vector<Row> Roll::all(Secs now) const {
  std::vector<Row> out;
  out.reserve(m_.size());
  for (auto const& [id, e] : m_) {
    out.push_back(e.row);
    out.back().cold_left = std::max(0.0, e.cold_until - now);
  }
  return out;
}

std::vector<Row> Roll::changed_since(Secs at, Secs now) const {
  std::vector<Row> out;
  for (auto const& [id, e] : m_) {
    if (e.changed < at) continue;
    out.push_back(e.row);
    out.back().cold_left = std::max(0.0, e.cold_until - now);
  }
  return out;
}

std::optional<Row> Roll::get(std::string const& id, Secs now) const {
  auto const it = m_.find(id);
  if (it == m_.end()) return std::nullopt;
  Row r = it->second.row;
  r.cold_left = std::max(0.0, it->second.cold_until - now);
  return r;
}

std::vector<std::string> Roll::drop_absent(std::vector<Row> const& full, Secs older, Secs now) {
  std::unordered_set<std::string> have;
  for (Row const& r : full)
    have.insert(r.id);
  std::vector<std::string> out;
  for (auto& [id, e] : m_) {
    if (have.count(id) > 0 || e.row.state == Standing::gone || now - e.changed < older) continue;
    Row r = e.row;
    r.state = Standing::gone;
    put(e, r, now);
    out.push_back(id);
  }
  return out;
}

}  // namespace dockbend
