#include "controller/lease_service.hpp"

namespace dockbend {

LeaseService::LeaseService(ControllerContext& h, DirectoryService& s) : context_(h), directory_service_(s) {
  Settings const& st = h.settings;
  Seconds const now = steady_now();
  LeaseOptions dp;
  dp.lease = st.bounds.leaseTermS;
  for (char const* d : {"usage", "allowance", "drain"})
    leases_.emplace(d, LeaseClient(d, st.nodeName, st.ip, dp, now));
  UsageReportOptions rp;
  rp.period = st.bounds.reportPeriodS;
  rp.settle = 0.15 * st.bounds.usageDelayS;
  rp.late = 0.6 * st.bounds.usageDelayS;
  rp.call = std::min(1.0, 0.35 * st.bounds.leaseTermS);
  if (st.dutyPerS > 0) rp.gap = std::max(rp.gap, 2.0 / st.dutyPerS);
  reporter_ = UsageReporter(rp);
  if (st.cloud) envoy_ = std::make_unique<PlatformClient>(h.loop, *st.cloud);
}

void LeaseService::duties_see(Seconds now) {
  if (!context_.committed) return;
  for (auto& [n, d] : leases_) {
    bool const had = d.holds();
    d.seen(context_.committed->term(n), now);
    if (had && !d.holds()) lost_duty(n);
  }
  if (Lease const* t = context_.committed->term("usage"); t != nullptr && t->fence != tally_fence_) {
    tally_fence_ = t->fence;
    tally_all_ = true;  // the new holder needs all that is not reported yet
  }
}

void LeaseService::duties(Seconds now) {
  for (auto& [n, d] : leases_) {
    LeaseClient::Action const m = d.step(now, fit() && wanted(n));
    // The one call on its way ends before the duty is handed over.
    if (m == LeaseClient::Action::none || (m == LeaseClient::Action::hand && n == "usage" && envoy_ && envoy_->busy()))
      continue;
    LeaseClient::Proposal const a = d.ask(m, now);
    auto const ok = std::make_shared<bool>(false);
    context_.submit(
        [this, n = n, a, ok](ReplicatedState& s) {
          *ok = leases_.at(n).apply(s, a);
          if (*ok && n == "usage" && reporter_.acked()) UsageReporter::tick_off(s, *reporter_.acked());
          return *ok;
        },
        [this, n = n, a, ok](ReplicatedState const* s) {
          Seconds const t = steady_now();
          LeaseClient& x = leases_.at(n);
          bool const had = x.holds();
          x.answered(a, s != nullptr && *ok, t);
          if (!had && x.holds()) {
            LOG4CPLUS_INFO(logger_, "Duty " << n << " is ours, fence " << x.fence() << ".");
            // Leases of the lender before may still run.
            if (n == "allowance") lender_.open(t + 1.0 + context_.settings.bounds.leaseTermS * 0.1);
          }
          if (had && !x.holds()) lost_duty(n);
        },
        1.0);
  }
  report(now);
  lend_rules(now);
}

void LeaseService::pass_tally(Seconds now) {
  if (now - tallied_ < 0.5 || !context_.committed) return;
  tallied_ = now;
  Lease const* t = context_.committed->term("usage");
  if (t == nullptr) return;
  if (t->ip == context_.settings.ip) {
    totals_.take(false);
    return;
  }
  auto const it = context_.controllers.find(t->ip);
  if (it == context_.controllers.end() || !it->second.link || !it->second.link->up()) {
    tally_all_ = true;
    return;
  }
  UsageUpdate const n = totals_.take(tally_all_);
  tally_all_ = false;
  if (!n.rows.empty()) it->second.link->send(MessageType::usage_update, 0, n);
}

std::string LeaseService::duty_status() const {
  rapidjson::StringBuffer sb;
  rapidjson::Writer<rapidjson::StringBuffer> w(sb);
  w.StartObject();
  write_duties(w);
  w.EndObject();
  return std::string(sb.GetString(), sb.GetSize());
}

void LeaseService::hand_over_call(evhttp_request* r, std::string const& rest) {
  auto const cut = rest.find('/');
  std::string const duty = rest.substr(0, cut), node = cut == std::string::npos ? "" : rest.substr(cut + 1);
  auto const it = leases_.find(duty);
  if (it == leases_.end()) return context_.write(r, error_response(404, "no such duty: " + duty));
  HandOverLease const o{duty, node};
  carry(context_.submit, o, context_.patience(),
        [this, r, o, until = steady_now() + context_.patience()](CommandResult const& x) {
          if (x.ruling == CommandStatus::taken) return context_.write(r, answer_of(x));
          if (std::string const why = hand_over(o); !why.empty()) return context_.write(r, error_response(503, why));
          orders_.push_back(Ordered{o, r, until});
        });
}

void LeaseService::allowance_call(evhttp_request* r, std::string const& tenant, std::string const& uri) {
  Seconds const now = steady_now();
  LeaseClient const& d = leases_.at("allowance");
  if (!tenant.empty()) {
    TenantPtr const p = context_.tenants.tenant(tenant);
    if (!p || !p->allowance) return refuse(r, tenant, uri);
  }
  if (!d.holds()) {
    Lease const* t = context_.committed ? context_.committed->term("allowance") : nullptr;
    Member const* m = t == nullptr ? nullptr : context_.committed->member(t->ip);
    if (m == nullptr || m->ip == context_.settings.ip)
      return context_.write(
          r, lends() ? error_response(503, "nobody lends yet") : ApiResponse{200, "{\"allowances\":[]}"});
    return context_.write(r, ApiResponse{307, "{}", "http://" + Address{m->ip, m->control}.str() + uri});
  }
  rapidjson::StringBuffer sb;
  rapidjson::Writer<rapidjson::StringBuffer> w(sb);
  auto one = [&](std::string const& t, bool gates) {
    QuotaAllocator::Seen const s = lender_.show(t, now);
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
  context_.write(r, ApiResponse{200, std::string(sb.GetString(), sb.GetSize())});
}

bool LeaseService::may(std::string const& duty, Seconds now, Seconds need) const {
  return leases_.at(duty).may_act(now, need);
}

u64 LeaseService::fence(std::string const& duty) const {
  return leases_.at(duty).fence();
}

void LeaseService::tick(Seconds now) {
  clock_.own(now, wall_clock_now());
  duties(now);
  answer_orders(now);
  pass_tally(now);
}

void LeaseService::leave() {
  for (auto& [n, d] : leases_)
    d.hand_over(successor());
}

bool LeaseService::handing() const {
  bool x = false;
  for (auto const& [n, d] : leases_)
    x = x || d.handing();
  return x;
}

void LeaseService::told(HandOverCommand const& c) {
  auto const it = leases_.find(c.duty);
  if (it == leases_.end()) return;
  // Meant for a term that is over: whoever has the duty now was not spoken of.
  if (c.fence != it->second.fence()) return context_.unmatched.drop(UnmatchedReason::term);
  it->second.hand_over(c.node);
}

void LeaseService::controller_clock(std::string const& ip, Seconds steady, WallSeconds said) {
  clock_.peer_reading(ip, steady, said);
}

void LeaseService::join(UsageUpdate const& n) {
  for (UsageRow const& r : n.rows)
    totals_.join(r);
}

void LeaseService::reported_to(u64 window) {
  totals_.forget(UsageWindow(window));
}

bool LeaseService::fit_at_once() const {
  return fit() && leases_.at("usage").free(steady_now());
}

void LeaseService::lend_to(Connection& ch, u32 tag, QuotaLeaseRequest const& a, Seconds now) {
  QuotaLeaseResponse r;
  r.incarnation = a.incarnation;
  r.seq = a.seq;
  if (leases_.at("allowance").may_act(now, 0)) r = lender_.ask(a, now);
  ch.send(MessageType::quota_lease_response, tag, r);
}

std::string LeaseService::hand_over(HandOverLease const& o) {
  bool in_touch = o.node == context_.settings.nodeName;
  for (auto const& [ip, m] : context_.controllers)
    in_touch = in_touch || (!o.node.empty() && m.node == o.node && context_.up(ip));
  if (!in_touch) return "no such node in touch: " + o.node;
  Lease const* t = context_.committed ? context_.committed->term(o.duty) : nullptr;
  if (t == nullptr) return "nobody has the duty yet";
  if (LeaseClient& d = leases_.at(o.duty); d.hand_over(o.node) || d.handing()) return "";
  if (t->ip == context_.settings.ip || !context_.up(t->ip)) return "its holder is not in touch";
  HandOverCommand c;
  c.duty = o.duty;
  c.node = o.node;
  c.fence = t->fence;
  context_.controllers[t->ip].link->send(MessageType::hand_over_command, 0, c);
  return "";
}

void LeaseService::answer_orders(Seconds now) {
  std::erase_if(orders_, [&](Ordered const& x) {
    CommandResult const o = context_.committed ? x.o.judge(*context_.committed) : unsettled("no value yet");
    if (o.ruling != CommandStatus::taken && now < x.until) return false;
    context_.write(x.r, answer_of(o));
    return true;
  });
}

void LeaseService::refuse(evhttp_request* r, std::string const& tenant, std::string const& uri) {
  context_.submit([](ReplicatedState&) { return false; },
                  [this, r, tenant, uri](ReplicatedState const* s) {
                    if (s == nullptr) return context_.write(r, error_response(503, "no majority in time"));
                    TenantPtr const p = context_.tenants.tenant(tenant);
                    if (p && p->allowance) return allowance_call(r, tenant, uri);
                    context_.write(
                        r, error_response(404, (p ? "tenant without an allowance: " : "no such tenant: ") + tenant));
                  },
                  context_.patience());
}

bool LeaseService::wanted(std::string const& duty) const {
  return duty == "usage" ? reports() : duty == "drain" ? drains() : lends();
}

bool LeaseService::drains() const {
  return std::any_of(context_.committed->passes.begin(), context_.committed->passes.end(), [](DrainRun const& p) {
    return p.state == DrainRunState::running || p.state == DrainRunState::paused;
  });
}

bool LeaseService::fit() const {
  return context_.born && context_.leaving_since == 0 && context_.in_contact();
}

bool LeaseService::reports() const {
  return context_.settings.cloud && envoy_ &&
         std::find(context_.settings.cloudTasks.begin(), context_.settings.cloudTasks.end(), "usage_report") !=
             context_.settings.cloudTasks.end() &&
         context_.tenants.has_tenants();
}

bool LeaseService::lends() const {
  for (TenantPtr const& t : context_.tenants.tenants())
    if (t->allowance) return true;
  return false;
}

std::string LeaseService::successor() const {
  std::string best;
  int best_tier = 9;
  if (!context_.committed) return "-";
  for (Member const& m : context_.committed->membership) {
    auto const it = context_.controllers.find(m.ip);
    if (m.ip == context_.settings.ip || it == context_.controllers.end() || !context_.up(m.ip) || !it->second.fit ||
        it->second.node.empty())
      continue;
    int const t = m.zone == context_.settings.zone ? 0 : m.region == context_.settings.region ? 1 : 2;
    if (t < best_tier) {
      best = it->second.node;
      best_tier = t;
    }
  }
  return best.empty() ? "-" : best;  // nobody: whoever sees the term stand still
}

void LeaseService::lost_duty(std::string const& n) {
  LOG4CPLUS_INFO(logger_, "Duty " << n << " is no longer ours.");
  if (n == "usage") {
    if (envoy_) envoy_->reset();
    reporter_.forget();
  } else if (n == "allowance") {
    lender_.open(1e18);
  }
}

void LeaseService::report(Seconds now) {
  LeaseClient& d = leases_.at("usage");
  if (!d.holds() || !context_.committed || !envoy_) return;
  if (auto const f = reporter_.to_fix(*context_.committed, totals_, clock_.at(now), now, now - d.since())) {
    context_.submit(
        [this, f = *f, fence = d.fence()](ReplicatedState& s) {
          // Only the holder of the day fixes a body: it has everybody's counts.
          Lease const* t = s.term("usage");
          if (t == nullptr || t->fence != fence || t->holder != context_.settings.nodeName) return false;
          bool const ticked = reporter_.acked() && UsageReporter::tick_off(s, *reporter_.acked());
          return UsageReporter::fix(s, f) || ticked;
        },
        [](ReplicatedState const*) {}, 1.0);
  }
  auto const s = reporter_.to_send(*context_.committed, now);
  if (!s || !d.may_act(now, reporter_.call_s())) return;
  reporter_.sent(now);
  envoy_->post("/usage", {{"X-Duty-Holder", context_.settings.nodeName}, {"X-Fence-Number", std::to_string(d.fence())}},
               s->body, reporter_.call_s(), [this, w = s->window](int code, Seconds wait) {
                 reporter_.answered(w, code, wait, steady_now());
                 if (code != 200) LOG4CPLUS_INFO(logger_, "Window " << w << " got " << code << ".");
               });
}

void LeaseService::lend_rules(Seconds now) {
  if (!leases_.at("allowance").holds()) return;
  double const n = directory_service_.proxies();
  for (std::string const& t : lender_.tenants()) {
    TenantPtr const p = context_.tenants.tenant(t);
    if (!p || !p->allowance) lender_.drop(t);
  }
  for (TenantPtr const& t : context_.tenants.tenants())
    if (t->allowance)
      lender_.rule(t->name, QuotaRule{t->allowance->rate, t->allowance->burst, t->allowance->reserve.value_or(0)}, n,
                   now);
}

}  // namespace dockbend
