#include "quota/quota.hpp"

#include <algorithm>
#include <cmath>

namespace dockbend {
namespace {
double const own_share = 0.1;  // of a budget, set aside for proxies that can't borrow
Seconds const most_lease = 1.0;
Seconds const ask_every = 0.25;
}  // namespace

QuotaSplit split_quota(QuotaRule const& r, double proxies) {
  double const n = std::max(1.0, proxies * 1.25);  // those we have not heard of yet share too
  QuotaSplit c;
  double own = own_share;
  // Less than one token each is worth nothing to anyone; then all of it is lent.
  if (proxies <= 0 || r.burst * own / n < 1) own = 0;
  c.own_rate = r.rate * own / n;
  c.own_depth = r.burst * own / n;
  c.lent_rate = r.rate * (1 - own);
  double const burst = r.burst * (1 - own);
  c.lease = std::min(most_lease, 0.5 * burst / c.lent_rate);
  c.lent_depth = std::max(0.0, burst - c.lent_rate * c.lease);
  return c;
}

// ---- lender -------------------------------------------------------------------------

void QuotaAllocator::rule(std::string const& tenant, QuotaRule r, double proxies, Seconds now) {
  auto const [it, fresh] = m_.try_emplace(tenant);
  TenantQuota& p = it->second;
  if (!fresh && p.rule == r && p.proxies == proxies) return;
  fill(p, now);
  p.rule = r;
  p.proxies = proxies;
  p.cut = split_quota(r, proxies);
  if (fresh) {
    p.level = 0;
    p.at = now;
  }
  p.level = std::min(p.level, p.cut.lent_depth);
}

std::vector<std::string> QuotaAllocator::tenants() const {
  std::vector<std::string> v;
  for (auto const& [t, p] : m_)
    v.push_back(t);
  return v;
}

void QuotaAllocator::fill(TenantQuota& p, Seconds now) const {
  Seconds const from = std::max(p.at, opens_);
  if (now > from) p.level = std::min(std::max(p.cut.lent_depth, 1.0), p.level + (now - from) * p.cut.lent_rate);
  p.at = std::max(p.at, now);
}

QuotaLeaseResponse QuotaAllocator::ask(QuotaLeaseRequest const& a, Seconds now) {
  QuotaLeaseResponse r;
  r.incarnation = a.incarnation;
  r.seq = a.seq;
  r.lender = true;
  for (QuotaDemand const& w : a.wants) {
    QuotaLease l;
    l.tenant = w.tenant;
    auto const it = m_.find(w.tenant);
    if (it == m_.end()) continue;
    TenantQuota& p = it->second;
    fill(p, now);
    Gate& g = p.gates[a.incarnation];
    g.front = a.front;
    g.heard = now;
    g.spent = std::max(g.spent, w.spent);
    g.refused = std::max(g.refused, w.refused);
    while (!g.out.empty() && g.out.front().until <= now)
      g.out.pop_front();
    // What comes back unspent may be lent again, as long as its lease lasts here.
    for (double back = w.back; back > 1e-9 && !g.out.empty();) {
      double const x = std::min(back, g.out.back().n);
      g.out.back().n -= x;
      p.level = std::min(std::max(p.cut.lent_depth, 1.0), p.level + x);
      back -= x;
      if (g.out.back().n <= 1e-9)
        g.out.pop_back();
      else
        break;
    }
    std::size_t active = 0;
    for (auto git = p.gates.begin(); git != p.gates.end();) {
      if (now - git->second.heard > 60) {
        p.past_spent += git->second.spent;
        p.past_refused += git->second.refused;
        git = p.gates.erase(git);
      } else {
        active += now - git->second.heard < 2 * ask_every ? 1 : 0;
        ++git;
      }
    }
    if (now >= opens_) {
      // Nobody takes all while others ask too.
      double const fair = std::max(1.0, p.level / static_cast<double>(std::max<std::size_t>(1, active)) * 1.5);
      auto part = [&](double want, double keep) {
        double const x = std::floor(std::min({want, fair, p.level - keep}) + 1e-9);
        if (x < 1) return 0.0;
        p.level -= x;
        return x;
      };
      l.high = part(w.high, 0);
      l.low = part(w.low, p.rule.reserve * std::max(p.cut.lent_depth, 1.0));
    }
    double const got = l.high + l.low;
    if (got > 0) g.out.push_back(Out{got, now + p.cut.lease});
    l.proxies = p.proxies;
    l.for_ms = static_cast<u32>(p.cut.lease * 1000);
    double const short_of = w.high + w.low - got;
    if (short_of > 0) {
      double const ahead = std::max(1.0, 1.0 - p.level) * static_cast<double>(std::max<std::size_t>(1, active));
      l.wait = std::max(opens_ - now, 0.0) + std::max(0.05, ahead / p.cut.lent_rate);
    }
    r.loans.push_back(std::move(l));
  }
  return r;
}

QuotaAllocator::Seen QuotaAllocator::show(std::string const& tenant, Seconds now) const {
  Seen s;
  auto const it = m_.find(tenant);
  if (it == m_.end()) return s;
  TenantQuota p = it->second;
  fill(p, now);
  s.rule = p.rule;
  s.level = p.level;
  s.proxies = p.proxies;
  s.spent = p.past_spent;
  s.refused = p.past_refused;
  for (auto const& [incarnation, g] : p.gates) {
    s.spent += g.spent;
    s.refused += g.refused;
    double out = 0;
    for (Out const& o : g.out)
      out += o.until > now ? o.n : 0;
    if (out > 0) s.lent_by[g.front] += out;
    s.lent += out;
  }
  return s;
}

// ---- borrower -----------------------------------------------------------------------

double QuotaClient::sum(std::deque<Lot>& l, Seconds now) {
  while (!l.empty() && (l.front().until <= now || l.front().n < 1))
    l.pop_front();
  double n = 0;
  for (Lot const& x : l)
    n += x.n;
  return n;
}
Seconds QuotaClient::pop(std::deque<Lot>& l, Seconds now) {
  if (sum(l, now) < 1) return -1;
  l.front().n -= 1;
  return l.front().until;
}

void QuotaClient::rule(std::string const& tenant, QuotaRule r, double proxies, Seconds now) {
  auto const [it, fresh] = m_.try_emplace(tenant);
  TenantQuota& p = it->second;
  if (!fresh && p.rule == r && p.proxies == proxies) return;
  p.rule = r;
  p.proxies = proxies;
  p.cut = split_quota(r, p.said > 0 ? std::max(proxies, p.said) : 0);
  p.own = fresh ? 0 : std::min(p.own, p.cut.own_depth);
  p.own_at = now;
  if (fresh) p.rate_at = now;
}

std::vector<std::string> QuotaClient::tenants() const {
  std::vector<std::string> v;
  for (auto const& [t, p] : m_)
    v.push_back(t);
  return v;
}

QuotaClient::Token QuotaClient::take(std::string const& tenant, bool high, Seconds now) {
  auto const it = m_.find(tenant);
  if (it == m_.end()) return {Take::own, now};
  TenantQuota& p = it->second;
  p.used_at = now;
  (high ? p.want_high : p.want_low) += 1;
  p.own = std::min(p.cut.own_depth, p.own + (now - p.own_at) * p.cut.own_rate);
  p.own_at = now;
  // What is borrowed goes first, for it ends; what is set aside stays for a time alone.
  Token t;
  if (high)
    if (t.until = pop(p.high, now); t.until > 0) t.from = Take::lent_high;
  if (!t)
    if (t.until = pop(p.low, now); t.until > 0) t.from = Take::lent_low;
  if (!t && p.own >= 1) {
    p.own -= 1;
    t.from = Take::own;
  }
  if (t) {
    ++p.spent;
    p.told = false;
  }
  return t;
}

void QuotaClient::give_back(std::string const& tenant, Token const& t, Seconds now) {
  auto const it = m_.find(tenant);
  if (it == m_.end() || !t) return;
  TenantQuota& p = it->second;
  if (p.spent > 0) --p.spent;
  if (t.from == Take::own) {
    p.own = std::min(p.cut.own_depth, p.own + 1);
  } else if (t.until > now) {
    // It keeps the end of its own lease, whatever was borrowed since.
    auto& l = t.from == Take::lent_high ? p.high : p.low;
    auto const at = std::find_if(l.begin(), l.end(), [&](Lot const& x) { return x.until > t.until; });
    l.insert(at, Lot{1, t.until});
  }
}

u64 QuotaClient::waits(std::string const& tenant, Seconds now) {
  if (auto const it = m_.find(tenant); it != m_.end()) it->second.used_at = now;
  eager_ = true;
  return seq_ + 1;
}

void QuotaClient::refused(std::string const& tenant) {
  auto const it = m_.find(tenant);
  if (it == m_.end()) return;
  ++it->second.refused;
  it->second.told = false;
}

Seconds QuotaClient::wait_of(std::string const& tenant) const {
  auto const it = m_.find(tenant);
  return it == m_.end() ? 0.1 : std::clamp(it->second.wait, 0.05, 30.0);
}

bool QuotaClient::due(Seconds now) const {
  if (asking(now)) return false;
  if (eager_ && now - asked_ >= 0.02) return true;
  if (now - asked_ < ask_every) return false;
  for (auto const& [t, p] : m_)
    if (now - p.used_at < 1.0 || !p.told) return true;
  return false;
}

QuotaLeaseRequest QuotaClient::ask(Seconds now) {
  QuotaLeaseRequest a;
  a.incarnation = incarnation_;
  a.seq = ++seq_;
  a.front = front_;
  asked_ = now;
  asking_ = true;
  eager_ = false;
  for (auto& [t, p] : m_) {
    Seconds const dt = std::max(0.02, now - p.rate_at);
    double const k = std::min(1.0, dt / 0.5);
    p.rate_high += k * (p.want_high / dt - p.rate_high);
    p.rate_low += k * (p.want_low / dt - p.rate_low);
    p.rate_at = now;
    bool const active = p.want_high + p.want_low > 0 || now - p.used_at < 1.0;
    double const have_high = sum(p.high, now), have_low = sum(p.low, now);
    QuotaDemand w;
    w.tenant = t;
    // Enough for until the next answer; more would only end unused elsewhere than needed.
    double const ahead = ask_every + 0.1;
    double const need_high =
        active ? std::ceil(p.want_high > 0 ? std::max(1.0, p.rate_high * ahead) : p.rate_high * ahead) : 0;
    double const need_low =
        active ? std::ceil(p.want_low > 0 ? std::max(1.0, p.rate_low * ahead) : p.rate_low * ahead) : 0;
    w.high = std::max(0.0, need_high - have_high);
    w.low = std::max(0.0, need_low - have_low);
    // What is far more than needed goes back at once.
    auto back = [&](std::deque<Lot>& l, double have, double need) {
      double n = std::floor(have - std::max(2 * need, 1.0));
      double const all = n;
      while (n >= 1 && !l.empty()) {
        double const x = std::min(n, l.back().n);
        l.back().n -= x;
        n -= x;
        if (l.back().n < 1) l.pop_back();
      }
      return std::max(0.0, all - std::max(0.0, n));
    };
    w.back = back(p.high, have_high, need_high) + back(p.low, have_low, need_low);
    w.spent = p.spent;
    w.refused = p.refused;
    p.want_high = p.want_low = 0;
    if (w.high + w.low + w.back > 0 || !p.told) a.wants.push_back(std::move(w));
    p.told = true;
  }
  return a;
}

void QuotaClient::got(QuotaLeaseResponse const& r, Seconds now) {
  if (r.incarnation != incarnation_ || r.seq != seq_ || !asking_) return;
  asking_ = false;
  for (QuotaLease const& l : r.loans) {
    auto const it = m_.find(l.tenant);
    if (it == m_.end()) continue;
    TenantQuota& p = it->second;
    // Counted from before it was asked for; what has ended on the way is not taken.
    Seconds const until = asked_ + l.for_ms / 1000.0;
    if (until > now) {
      if (l.high >= 1) p.high.push_back(Lot{l.high, until});
      if (l.low >= 1) p.low.push_back(Lot{l.low, until});
    }
    p.wait = l.wait > 0 ? l.wait : 0.1;
    if (l.proxies > 0 && l.proxies != p.said) {
      p.said = l.proxies;
      p.cut = split_quota(p.rule, std::max(p.proxies, p.said));
      p.own = std::min(p.own, p.cut.own_depth);
      p.own_at = now;
    }
  }
}

}  // namespace dockbend
