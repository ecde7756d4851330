#include "idempotency/key_table.hpp"

#include <algorithm>

namespace dockbend {

Say Ledger::claim(Claim const& c, Epoch mine, Secs now, ClaimR& r) {
  r.epoch = mine;
  r.holder = c.holder;
  if (!whole_) return r.say = Say::unready;
  if (c.epoch != mine) return r.say = Say::epoch;
  if (given_up_.count(c.holder) > 0) {  // its release overtook it
    ++late_;
    return r.say = Say::held;
  }
  auto const [it, fresh] = m_.try_emplace(c.key);
  Entry& e = it->second;
  if (fresh) {
    e.holder = c.holder;
    e.since = now;
    e.work_until = now + c.work_ms / 1000.0;
    return r.say = Say::granted;
  }
  if (e.holder == c.holder && !e.sealed) return r.say = Say::granted;
  r.at_work = now < e.work_until;
  return r.say = Say::held;
}

bool Ledger::written(std::string const& key, u64 holder, bool ok) {
  auto const it = m_.find(key);
  if (it == m_.end() || it->second.holder != holder) return false;
  if (ok)
    it->second.durable = true;
  else if (!it->second.durable)
    m_.erase(it);
  return ok;
}

bool Ledger::release(Release const& r) {
  if (r.holder == nobody) return false;
  if (given_up_.insert(r.holder).second) {
    given_up_order_.push_back(r.holder);
    if (given_up_order_.size() > most_given_up) {
      given_up_.erase(given_up_order_.front());
      given_up_order_.pop_front();
    }
  }
  auto const it = m_.find(r.key);
  if (it == m_.end() || it->second.holder != r.holder) return false;
  m_.erase(it);
  return true;
}

u64 Ledger::seal(std::string const& key, u64 holder, Secs now) {
  auto const [it, fresh] = m_.try_emplace(key);
  Entry& e = it->second;
  if (fresh) {
    e.holder = holder;
    e.since = now;
  } else if (e.holder != holder) {
    e.holder = nobody;
  }
  e.sealed = true;
  e.durable = true;
  return e.holder;
}

void Ledger::load(std::string const& key, u64 holder, bool sealed, Secs now) {
  // How long the process was away can't be known, so the age starts anew.
  m_[key] = Entry{holder, sealed, true, now, now};
}

std::vector<std::string> Ledger::forget(Secs horizon, Secs now, std::size_t most) {
  std::vector<std::string> out;
  for (auto it = m_.begin(); it != m_.end() && out.size() < most;) {
    if (it->second.durable && now - it->second.since > horizon) {
      out.push_back(it->first);
      it = m_.erase(it);
    } else {
      ++it;
    }
  }
  return out;
}

std::vector<HeldKey> Ledger::all() const {
  std::vector<HeldKey> out;
  out.reserve(m_.size());
  for (auto const& [k, e] : m_) {
    HeldKey h;
    h.key = k;
    h.holder = e.holder;
    out.push_back(std::move(h));
  }
  return out;
}

Quest::End Quest::hear(std::string const& from, ClaimR const& r) {
  auto add = [&](std::vector<std::string>& v) {
    if (std::find(v.begin(), v.end(), from) == v.end()) v.push_back(from);
  };
  std::size_t const maj = n_ / 2 + 1;
  switch (r.say) {
    case Say::granted:
      if (r.epoch == epoch_) add(yes_);
      break;
    case Say::held:
      if (r.epoch != epoch_) break;
      at_work_ = at_work_ || r.at_work;
      add(no_);
      break;
    case Say::epoch: stale_ = true; break;
    case Say::unready: break;
  }
  if (yes_.size() >= maj) return End::granted;
  if (no_.size() > n_ - maj) return End::held;
  return End::open;
}

}  // namespace dockbend
