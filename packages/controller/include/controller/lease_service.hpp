// The desk of the duties: who has them, the usage reports, and the lending of budgets.
#pragma once
#include <cmath>

#include "controller/directory_service.hpp"
#include "leases/lease_client.hpp"
#include "leases/platform_client.hpp"
#include "leases/usage_reporter.hpp"
#include "quota/quota.hpp"

namespace dockbend {

class DutyDesk {
 public:
  DutyDesk(House& h, SiteDesk& s) : h_(h), sites_(s) {
    Settings const& st = h.st;
    Secs const now = now_s();
    DutyPlan dp;
    dp.lease = st.bounds.leaseTermS;
    for (char const* d : {"usage", "allowance", "drain"})
      duties_.emplace(d, Duty(d, st.nodeName, st.ip, dp, now));
    ReportPlan rp;
    rp.period = st.bounds.reportPeriodS;
    rp.settle = 0.15 * st.bounds.usageDelayS;
    rp.late = 0.6 * st.bounds.usageDelayS;
    rp.call = std::min(1.0, 0.35 * st.bounds.leaseTermS);
    if (st.dutyPerS > 0) rp.gap = std::max(rp.gap, 2.0 / st.dutyPerS);
    reporter_ = Reporter(rp);
    if (st.cloud) envoy_ = std::make_unique<Envoy>(h.eb, *st.cloud);
  }

  void duties_see(Secs now) {
    if (!h_.committed) return;
    for (auto& [n, d] : duties_) {
      bool const had = d.holds();
      d.seen(h_.committed->term(n), now);
      if (had && !d.holds()) lost_duty(n);
    }
    if (Term const* t = h_.committed->term("usage"); t != nullptr && t->fence != tally_fence_) {
      tally_fence_ = t->fence;
      tally_all_ = true;  // the new holder needs all that is not reported yet
    }
  }

  void duties(Secs now) {
    for (auto& [n, d] : duties_) {
      Duty::Move const m = d.step(now, fit() && wanted(n));
      // The one call on its way ends before the duty is handed over.
      if (m == Duty::Move::none || (m == Duty::Move::hand && n == "usage" && envoy_ && envoy_->busy())) continue;
      Duty::Ask const a = d.ask(m, now);
      auto const ok = std::make_shared<bool>(false);
      h_.submit(
          [this, n = n, a, ok](State& s) {
            *ok = duties_.at(n).apply(s, a);
            if (*ok && n == "usage" && reporter_.acked()) Reporter::tick_off(s, *reporter_.acked());
            return *ok;
          },
          [this, n = n, a, ok](State const* s) {
            Secs const t = now_s();
            Duty& x = duties_.at(n);
            bool const had = x.holds();
            x.answered(a, s != nullptr && *ok, t);
            if (!had && x.holds()) {
              LOG4CPLUS_INFO(lg_, "Duty " << n << " is ours, fence " << x.fence() << ".");
              // Leases of the lender before may still run.
              if (n == "allowance") lender_.open(t + 1.0 + h_.st.bounds.leaseTermS * 0.1);
            }
            if (had && !x.holds()) lost_duty(n);
          },
          1.0);
    }
    report(now);
    lend_rules(now);
  }

  // Counts go on to whoever reports.
  void pass_tally(Secs now) {
    if (now - tallied_ < 0.5 || !h_.committed) return;
    tallied_ = now;
    Term const* t = h_.committed->term("usage");
    if (t == nullptr) return;
    if (t->ip == h_.st.ip) {
      totals_.take(false);
      return;
    }
    auto const it = h_.mates.find(t->ip);
    if (it == h_.mates.end() || !it->second.link || !it->second.link->up()) {
      tally_all_ = true;
      return;
    }
    TallyNote const n = totals_.take(tally_all_);
    tally_all_ = false;
    if (!n.rows.empty()) it->second.link->send(Kind::tally, 0, n);
  }

  template <class W>
  void write_duties(W& w) const {
    w.Key("duties");
    w.StartArray();
    if (h_.committed)
      for (Term const& t : h_.committed->duties) {
        w.StartObject();
        w.Key("duty");
        w.String(t.duty.c_str());
        w.Key("holder");
        w.String(t.holder.c_str());
        w.Key("fence");
        w.Uint64(t.fence);
        if (!t.next.empty()) {
          w.Key("handedTo");
          w.String(t.next.c_str());
        }
        if (t.duty == "usage") {
          u64 const first = h_.committed->fixed.empty() ? h_.committed->to_fix : h_.committed->fixed.front().window;
          w.Key("lastWindow");  // the newest that the platform acknowledged
          w.Uint64(first == 0 ? 0 : first - 1);
          w.Key("outstanding");
          w.Uint64(h_.committed->fixed.size());
        }
        w.EndObject();
      }
    w.EndArray();
  }

  std::string duty_status() const {
    rapidjson::StringBuffer sb;
    rapidjson::Writer<rapidjson::StringBuffer> w(sb);
    w.StartObject();
    write_duties(w);
    w.EndObject();
    return std::string(sb.GetString(), sb.GetSize());
  }

  void hand_over_call(evhttp_request* r, std::string const& rest) {
    auto const cut = rest.find('/');
    std::string const duty = rest.substr(0, cut), node = cut == std::string::npos ? "" : rest.substr(cut + 1);
    auto const it = duties_.find(duty);
    if (it == duties_.end()) return h_.write(r, fault(404, "no such duty: " + duty));
    HandOver const o{duty, node};
    carry(h_.submit, o, h_.patience(), [this, r, o, until = now_s() + h_.patience()](Outcome const& x) {
      if (x.ruling == Ruling::taken) return h_.write(r, answer_of(x));
      if (std::string const why = hand_over(o); !why.empty()) return h_.write(r, fault(503, why));
      orders_.push_back(Ordered{o, r, until});
    });
  }

  // The lender knows; another node says where it is.
  void allowance_call(evhttp_request* r, std::string const& tenant, std::string const& uri) {
    Secs const now = now_s();
    Duty const& d = duties_.at("allowance");
    if (!tenant.empty()) {
      TenantP const p = h_.partners.tenant(tenant);
      if (!p || !p->allowance) return refuse(r, tenant, uri);
    }
    if (!d.holds()) {
      Term const* t = h_.committed ? h_.committed->term("allowance") : nullptr;
      Member const* m = t == nullptr ? nullptr : h_.committed->member(t->ip);
      if (m == nullptr || m->ip == h_.st.ip)
        return h_.write(r, lends() ? fault(503, "nobody lends yet") : CallRet{200, "{\"allowances\":[]}"});
      return h_.write(r, CallRet{307, "{}", "http://" + Addr{m->ip, m->control}.str() + uri});
    }
    rapidjson::StringBuffer sb;
    rapidjson::Writer<rapidjson::StringBuffer> w(sb);
    auto one = [&](std::string const& t, bool gates) {
      Lender::Seen const s = lender_.show(t, now);
      w.StartObject();
      w.Key("tenant");
      w.String(t.c_str());
      w.Key("rate");
      w.Double(s.rule.rate);
      w.Key("burst");
      w.Double(s.rule.burst);
      w.Key("reserve");
      w.Double(s.rule.reserve);
      w.Key("left");
      w.Double(std::floor(s.level));
      w.Key("lent");
      w.Double(s.lent);
      w.Key("spent");
      w.Uint64(s.spent);
      w.Key("refused");
      w.Uint64(s.refused);
      if (gates) {
        w.Key("gateways");
        w.StartArray();
        for (auto const& [f, n] : s.lent_by) {
          w.StartObject();
          w.Key("address");
          w.String(f.c_str());
          w.Key("lent");
          w.Double(n);
          w.EndObject();
        }
        w.EndArray();
      }
      w.EndObject();
    };
    if (tenant.empty()) {
      w.StartObject();
      w.Key("allowances");
      w.StartArray();
      for (std::string const& t : lender_.tenants())
        one(t, false);
      w.EndArray();
      w.EndObject();
    } else {
      one(tenant, true);
    }
    h_.write(r, CallRet{200, std::string(sb.GetString(), sb.GetSize())});
  }

  // May this node act under that duty in a call that ends within `need`?
  bool may(std::string const& duty, Secs now, Secs need) const { return duties_.at(duty).may_act(now, need); }
  u64 fence(std::string const& duty) const { return duties_.at(duty).fence(); }
  void tick(Secs now) {
    clock_.own(now, wall_s());
    duties(now);
    answer_orders(now);
    pass_tally(now);
  }
  void leave() {
    for (auto& [n, d] : duties_)
      d.hand_over(successor());
  }
  bool handing() const {
    bool x = false;
    for (auto const& [n, d] : duties_)
      x = x || d.handing();
    return x;
  }
  void told(DutyCmd const& c) {
    auto const it = duties_.find(c.duty);
    if (it == duties_.end()) return;
    // Meant for a term that is over: whoever has the duty now was not spoken of.
    if (c.fence != it->second.fence()) return h_.strays.drop(Stray::term);
    it->second.hand_over(c.node);
  }
  void mate_clock(std::string const& ip, Secs steady, Wall said) { clock_.mate(ip, steady, said); }
  void join(TallyNote const& n) {
    for (TallyRow const& r : n.rows)
      totals_.join(r);
  }
  void reported_to(u64 window) { totals_.forget(Window(window)); }
  // May this node be handed a duty and act at once?
  bool fit_at_once() const { return fit() && duties_.at("usage").free(now_s()); }
  void lend_to(Channel& ch, u32 tag, LoanAsk const& a, Secs now) {
    LoanRet r;
    r.life = a.life;
    r.seq = a.seq;
    if (duties_.at("allowance").may_act(now, 0)) r = lender_.ask(a, now);
    ch.send(Kind::loanR, tag, r);
  }

 private:
  // Passes an order on to whoever holds the duty; what stood in its way, if anything.
  std::string hand_over(HandOver const& o) {
    bool in_touch = o.node == h_.st.nodeName;
    for (auto const& [ip, m] : h_.mates)
      in_touch = in_touch || (!o.node.empty() && m.node == o.node && h_.up(ip));
    if (!in_touch) return "no such node in touch: " + o.node;
    Term const* t = h_.committed ? h_.committed->term(o.duty) : nullptr;
    if (t == nullptr) return "nobody has the duty yet";
    if (Duty& d = duties_.at(o.duty); d.hand_over(o.node) || d.handing()) return "";
    if (t->ip == h_.st.ip || !h_.up(t->ip)) return "its holder is not in touch";
    DutyCmd c;
    c.duty = o.duty;
    c.node = o.node;
    c.fence = t->fence;
    h_.mates[t->ip].link->send(Kind::dutyCmd, 0, c);
    return "";
  }
  // An order is answered once the register says that the duty goes where it was ordered to.
  void answer_orders(Secs now) {
    std::erase_if(orders_, [&](Ordered const& x) {
      Outcome const o = h_.committed ? x.o.judge(*h_.committed) : unsettled("no value yet");
      if (o.ruling != Ruling::taken && now < x.until) return false;
      h_.write(x.r, answer_of(o));
      return true;
    });
  }

  // Only a value read on a majority refuses.
  void refuse(evhttp_request* r, std::string const& tenant, std::string const& uri) {
    h_.submit([](State&) { return false; },
              [this, r, tenant, uri](State const* s) {
                if (s == nullptr) return h_.write(r, fault(503, "no majority in time"));
                TenantP const p = h_.partners.tenant(tenant);
                if (p && p->allowance) return allowance_call(r, tenant, uri);
                h_.write(r, fault(404, (p ? "tenant without an allowance: " : "no such tenant: ") + tenant));
              },
              h_.patience());
  }
  bool wanted(std::string const& duty) const {
    return duty == "usage" ? reports() : duty == "drain" ? drains() : lends();
  }
  bool drains() const {
    return std::any_of(h_.committed->passes.begin(), h_.committed->passes.end(),
                       [](Pass const& p) { return p.state == PassState::running || p.state == PassState::paused; });
  }
  bool fit() const { return h_.born && h_.leaving == 0 && h_.in_contact(); }

  bool reports() const {
    return h_.st.cloud && envoy_ &&
           std::find(h_.st.cloudTasks.begin(), h_.st.cloudTasks.end(), "usage_report") != h_.st.cloudTasks.end() &&
           h_.partners.has_tenants();
  }

  bool lends() const {
    for (TenantP const& t : h_.partners.tenants())
      if (t->allowance) return true;
    return false;
  }

  // Whom a leaving holder names: a mate that would be let act at once, a near one first.
  std::string successor() const {
    std::string best;
    int best_tier = 9;
    if (!h_.committed) return "-";
    for (Member const& m : h_.committed->roster) {
      auto const it = h_.mates.find(m.ip);
      if (m.ip == h_.st.ip || it == h_.mates.end() || !h_.up(m.ip) || !it->second.fit || it->second.node.empty())
        continue;
      int const t = m.zone == h_.st.zone ? 0 : m.region == h_.st.region ? 1 : 2;
      if (t < best_tier) {
        best = it->second.node;
        best_tier = t;
      }
    }
    return best.empty() ? "-" : best;  // nobody: whoever sees the term stand still
  }

  void lost_duty(std::string const& n) {
    LOG4CPLUS_INFO(lg_, "Duty " << n << " is no longer ours.");
    if (n == "usage") {
      if (envoy_) envoy_->reset();
      reporter_.forget();
    } else if (n == "allowance") {
      lender_.open(1e18);
    }
  }

  void report(Secs now) {
    Duty& d = duties_.at("usage");
    if (!d.holds() || !h_.committed || !envoy_) return;
    if (auto const f = reporter_.to_fix(*h_.committed, totals_, clock_.at(now), now, now - d.since())) {
      h_.submit(
          [this, f = *f, fence = d.fence()](State& s) {
            // Only the holder of the day fixes a body: it has everybody's counts.
            Term const* t = s.term("usage");
            if (t == nullptr || t->fence != fence || t->holder != h_.st.nodeName) return false;
            bool const ticked = reporter_.acked() && Reporter::tick_off(s, *reporter_.acked());
            return Reporter::fix(s, f) || ticked;
          },
          [](State const*) {}, 1.0);
    }
    auto const s = reporter_.to_send(*h_.committed, now);
    if (!s || !d.may_act(now, reporter_.call_s())) return;
    reporter_.sent(now);
    envoy_->post("/usage", {{"X-Duty-Holder", h_.st.nodeName}, {"X-Fence-Number", std::to_string(d.fence())}}, s->body,
                 reporter_.call_s(), [this, w = s->window](int code, Secs wait) {
                   reporter_.answered(w, code, wait, now_s());
                   if (code != 200) LOG4CPLUS_INFO(lg_, "Window " << w << " got " << code << ".");
                 });
  }

  // Wanted: a purse for every partner with an allowance.
  void lend_rules(Secs now) {
    if (!duties_.at("allowance").holds()) return;
    double const n = sites_.proxies();
    for (std::string const& t : lender_.tenants()) {
      TenantP const p = h_.partners.tenant(t);
      if (!p || !p->allowance) lender_.drop(t);
    }
    for (TenantP const& t : h_.partners.tenants())
      if (t->allowance)
        lender_.rule(t->name, BudgetRule{t->allowance->rate, t->allowance->burst, t->allowance->reserve.value_or(0)}, n,
                     now);
  }

  struct Ordered {
    HandOver o;
    evhttp_request* r = nullptr;
    Secs until = 0;
  };
  House& h_;
  SiteDesk& sites_;
  std::vector<Ordered> orders_;  // to hand a duty over, on their way
  std::map<std::string, Duty> duties_;
  Reporter reporter_{ReportPlan{}};
  std::unique_ptr<Envoy> envoy_;
  Lender lender_;
  Totals totals_;
  TrueClock clock_;
  u64 tally_fence_ = 0;
  bool tally_all_ = false;  // the holder of the usage duty may lack what we have
  Secs tallied_ = 0;
  log4cplus::Logger lg_ = log4cplus::Logger::getInstance("archivist");
};

}  // namespace dockbend
