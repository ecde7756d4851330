#include "idempotency/key_table.hpp"

#include <algorithm>

namespace dockbend {

ClaimVote KeyTable::claim(ClaimRequest const& c, Epoch mine, Seconds now, ClaimResponse& r) {
  r.epoch = mine;
  r.holder = c.holder;
  if (!whole_) return r.say = ClaimVote::unready;
  if (c.epoch != mine) return r.say = ClaimVote::epoch;
  if (given_up_.count(c.holder) > 0) {  // its release overtook it
    ++late_;
    return r.say = ClaimVote::held;
  }
  auto const [it, fresh] = m_.try_emplace(c.key);
  Entry& e = it->second;
  if (fresh) {
    e.holder = c.holder;
    e.since = now;
    e.work_until = now + c.work_ms / 1000.0;
    return r.say = ClaimVote::granted;
  }
  if (e.holder == c.holder && !e.sealed) return r.say = ClaimVote::granted;
  r.at_work = now < e.work_until;
  return r.say = ClaimVote::held;
}

bool KeyTable::written(std::string const& key, u64 holder, bool ok) {
  auto const it = m_.find(key);
  if (it == m_.end() || it->second.holder != holder) return false;
  if (ok)
    it->second.durable = true;
  else if (!it->second.durable)
    m_.erase(it);
  return ok;
}

bool KeyTable::release(ReleaseRequest const& r) {
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

u64 KeyTable::seal(std::string const& key, u64 holder, Seconds now) {
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

void KeyTable::load(std::string const& key, u64 holder, bool sealed, Seconds now) {
  // How long the process was away can't be known, so the age starts anew.
  m_[key] = Entry{holder, sealed, true, now, now};
}

std::vector<std::string> KeyTable::forget(Seconds horizon, Seconds now, std::size_t most) {
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

std::vector<HeldKey> KeyTable::all() const {
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

ClaimQuorum::Result ClaimQuorum::hear(std::string const& from, ClaimResponse const& r) {
  auto add = [&](std::vector<std::string>& v) {
    if (std::find(v.begin(), v.end(), from) == v.end()) v.push_back(from);
  };
  std::size_t const maj = n_ / 2 + 1;
  switch (r.say) {
    case ClaimVote::granted:
      if (r.epoch == epoch_) add(yes_);
      break;
    case ClaimVote::held:
      if (r.epoch != epoch_) break;
      at_work_ = at_work_ || r.at_work;
      add(no_);
      break;
    case ClaimVote::epoch: stale_ = true; break;
    case ClaimVote::unready: break;
  }
  if (yes_.size() >= maj) return Result::granted;
  if (no_.size() > n_ - maj) return Result::held;
  return Result::open;
}

}  // namespace dockbend
