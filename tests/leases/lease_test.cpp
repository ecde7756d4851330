#include <criterion/criterion.h>

#include <random>

#include "leases/lease_client.hpp"
#include "leases/usage_reporter.hpp"

using namespace dockbend;

namespace {

// Nodes with a register and a platform between them, on one simulated clock. The
// register applies a change at once or not at all; asks, answers and news travel, and
// any of them may be lost. A node may be killed, frozen, cut off from either side.
struct Sim {
  struct Act {
    Seconds at = 0;
    int node = 0;
    u64 fence = 0, window = 0;
    std::string body;
    bool excused = false;  // its sender was frozen or cut a moment ago
  };
  struct Node {
    std::unique_ptr<LeaseClient> duty;
    std::unique_ptr<UsageReporter> rep;
    ReplicatedState known;
    UsageTotals totals;
    Seconds down_until = -1, frozen_until = -1, cut_until = -1, deaf_until = -1, thawed = -1e9;
    u64 incarnation = 0;
    bool handing = false;
  };
  struct Later {
    Seconds at = 0;
    std::function<void()> f;
    int node = -1;  // handled by this node: waits while it is frozen, lost if it died
    u64 incarnation = 0;
  };

  explicit Sim(unsigned seed, int n) : rnd(seed) {
    for (int i = 0; i < n; ++i) {
      nodes.emplace_back();
      born(i);
    }
  }
  double u(double a, double b) { return std::uniform_real_distribution<>(a, b)(rnd); }
  static std::string name(int i) { return "core-" + std::to_string(i); }

  void born(int i) {
    Node& x = nodes[static_cast<std::size_t>(i)];
    x.duty =
        std::make_unique<LeaseClient>("usage", name(i), "10.0.0." + std::to_string(i), LeaseOptions{3, 0.4, 1.0}, now);
    x.rep = std::make_unique<UsageReporter>(UsageReportOptions{5, 3, 3, 1.0, 0.05, 0.4, 3.0});
    x.known = ReplicatedState();
    x.totals = UsageTotals();
    ++x.incarnation;
    // What a node counts differs from node to node: a body that was not fixed first
    // would show.
    for (u64 w = 100; w < 130; ++w) {
      UsageRow r;
      r.incarnation = static_cast<u64>(i) + 10;
      r.window = UsageWindow(w);
      r.tenants = {"t"};
      r.counts = {w + static_cast<u64>(i)};
      x.totals.join(r);
    }
    tell(i);
  }

  void later(Seconds d, int node, std::function<void()> f) {
    q.push_back(Later{now + d, std::move(f), node, node < 0 ? 0 : nodes[static_cast<std::size_t>(node)].incarnation});
  }

  void tell(int i) {
    ReplicatedState const s = reg;
    later(u(0.01, 0.2), i, [this, i, s] {
      Node& x = nodes[static_cast<std::size_t>(i)];
      if (now < x.cut_until) return;
      x.known = s;
      x.duty->seen(s.term("usage"), now);
    });
  }

  // A change asked of the register by node i.
  void submit(int i, std::function<bool(ReplicatedState&)> change, std::function<void(bool)> done) {
    bool const lost = now < nodes[static_cast<std::size_t>(i)].cut_until || now < reg_down_until;
    auto const ok = std::make_shared<bool>(false);
    if (!lost)
      later(u(0.02, slow ? 2.5 : 0.3), -1, [this, change, ok] {
        ReplicatedState s = reg;
        if (change(s)) {
          reg = s;
          *ok = true;
          for (int k = 0; k < static_cast<int>(nodes.size()); ++k)
            tell(k);
        }
      });
    bool const mute = lost || u(0, 1) < 0.1;  // the answer is lost: nobody knows
    later(mute ? 1.0 : u(0.35, 0.8), i, [done, ok, mute] { done(!mute && *ok); });
  }

  void step(Seconds dt) {
    now += dt;
    for (std::size_t k = 0; k < q.size();) {
      Later& l = q[k];
      Node* x = l.node < 0 ? nullptr : &nodes[static_cast<std::size_t>(l.node)];
      bool const dead = x != nullptr && l.incarnation != x->incarnation;
      bool const waits = x != nullptr && !dead && (now < x->frozen_until);
      if (l.at > now || waits) {
        ++k;
        continue;
      }
      auto const f = std::move(l.f);
      q.erase(q.begin() + static_cast<long>(k));
      if (!dead) f();
    }
    for (int i = 0; i < static_cast<int>(nodes.size()); ++i)
      node_step(i);
  }

  void node_step(int i) {
    Node& x = nodes[static_cast<std::size_t>(i)];
    if (x.down_until > 0) {
      if (now < x.down_until) return;
      x.down_until = -1;
      born(i);
    }
    if (now < x.frozen_until) return;
    if (x.frozen_until > 0) {
      x.thawed = now;
      x.frozen_until = -1;
    }
    LeaseClient& d = *x.duty;
    if (LeaseClient::Action const m = d.step(now, true);
        m != LeaseClient::Action::none && !(m == LeaseClient::Action::hand && x.rep->calling())) {
      LeaseClient::Proposal const a = d.ask(m, now);
      LeaseClient const as_it_was = d;
      auto const acked = x.rep->acked();
      submit(
          i,
          [as_it_was, a, acked](ReplicatedState& s) {
            bool const ok = as_it_was.apply(s, a);
            if (ok && acked) UsageReporter::tick_off(s, *acked);
            return ok;
          },
          [this, i, a](bool ok) { nodes[static_cast<std::size_t>(i)].duty->answered(a, ok, now); });
    }
    if (!d.holds()) {
      if (x.rep->calling()) x.rep->forget();
      return;
    }
    if (auto const f = x.rep->to_fix(x.known, x.totals, 500 + now, now, now - d.since()))
      submit(
          i, [f](ReplicatedState& s) { return UsageReporter::fix(s, *f); }, [](bool) {});
    auto const s = x.rep->to_send(x.known, now);
    if (!s || !d.may_act(now, x.rep->call_s())) return;
    x.rep->sent(now);
    // The connection is reset at the call's deadline: what has not arrived never will.
    Seconds const way = u(0.001, platform_slow ? 3.0 : 0.3);
    bool const gone = now < x.deaf_until || way > x.rep->call_s();
    u64 const fence = d.fence();
    if (!gone)
      later(way, -1, [this, i, s, fence] {
        Node const& y = nodes[static_cast<std::size_t>(i)];
        Act a{now, i, fence, s->window, s->body, now < y.frozen_until || now - y.thawed < 0.3};
        acts.push_back(a);
      });
    bool const unheard = gone || u(0, 1) < 0.15;
    later(unheard ? x.rep->call_s() : way + 0.05, i, [this, i, w = s->window, unheard] {
      Node& y = nodes[static_cast<std::size_t>(i)];
      if (y.rep->calling()) y.rep->answered(w, unheard ? 0 : 200, -1, now);
    });
  }

  void judge(unsigned seed) const {
    std::map<u64, std::string> bodies;
    std::map<u64, int> by_fence;
    u64 top = 0;
    for (std::size_t k = 0; k < acts.size(); ++k) {
      Act const& a = acts[k];
      auto const [b, fresh] = bodies.try_emplace(a.window, a.body);
      cr_assert(fresh || b->second == a.body, "seed %u: two bodies for window %llu", seed,
                static_cast<unsigned long long>(a.window));
      auto const [h, first] = by_fence.try_emplace(a.fence, a.node);
      cr_assert(first || h->second == a.node, "seed %u: fence %llu from two nodes", seed,
                static_cast<unsigned long long>(a.fence));
      cr_assert(a.fence >= top || a.excused, "seed %u: a fence fell at %f", seed, a.at);
      top = std::max(top, a.fence);
      for (std::size_t j = 0; j < k; ++j) {
        if (acts[j].node != a.node || a.at - acts[j].at > 3.0) continue;
        for (std::size_t m = j; m < k; ++m)
          cr_assert(acts[m].node == a.node || a.excused || acts[m].excused, "seed %u: A, B, A at %f", seed, a.at);
      }
    }
  }

  std::mt19937 rnd;
  Seconds now = 0, reg_down_until = -1;
  bool slow = false, platform_slow = false;
  ReplicatedState reg;
  std::vector<Node> nodes;
  std::vector<Later> q;
  std::vector<Act> acts;
};

}  // namespace

// Whatever happens, the platform never sees two bodies of one window, one fence from
// two nodes, a falling fence, or A, B, A inside a term.
Test(duty, random_days_of_kills_freezes_and_cuts) {
  std::size_t reported = 0, changes = 0;
  for (unsigned seed = 1; seed <= 150; ++seed) {
    Sim s(seed, 4);
    Seconds next = 3;
    while (s.now < 45) {
      s.step(0.05);
      if (s.now < next) continue;
      next = s.now + s.u(0.5, 4);
      // Most blows fall on whoever holds the duty.
      int i = static_cast<int>(s.rnd() % 4);
      for (int k = 0; k < 4; ++k)
        if (s.nodes[static_cast<std::size_t>(k)].duty->holds() && s.u(0, 1) < 0.7) i = k;
      Sim::Node& x = s.nodes[static_cast<std::size_t>(i)];
      switch (s.rnd() % 8) {
        case 0:
          x.down_until = s.now + s.u(0.3, 3);
          ++x.incarnation;
          x.duty = std::make_unique<LeaseClient>("usage", Sim::name(i), "", LeaseOptions{3, 0.4, 1.0}, s.now);
          break;
        case 1: x.frozen_until = s.now + s.u(0.5, 6); break;
        case 2: x.cut_until = s.now + s.u(0.5, 6); break;
        case 3: x.deaf_until = s.now + s.u(0.5, 6); break;
        case 4: s.reg_down_until = s.now + s.u(0.2, 2); break;
        case 5: s.slow = !s.slow; break;
        case 6: s.platform_slow = !s.platform_slow; break;
        default: x.duty->hand_over(Sim::name(static_cast<int>(s.rnd() % 4))); break;
      }
    }
    s.judge(seed);
    std::set<u64> w;
    for (auto const& a : s.acts)
      w.insert(a.window);
    reported += w.size();
    changes += s.reg.term("usage") != nullptr ? s.reg.term("usage")->fence : 0;
  }
  cr_assert_gt(reported, 150u * 3, "windows are reported all the same: %zu", reported);
  cr_assert_gt(changes, 150u * 2, "and the duty does change hands: %zu", changes);
}

Test(duty, a_quiet_day_has_one_holder_and_one_call_a_window) {
  Sim s(5, 3);
  while (s.now < 60)
    s.step(0.05);
  cr_assert_eq(s.reg.term("usage")->fence, 1);
  std::set<u64> w;
  for (auto const& a : s.acts)
    w.insert(a.window);
  // 500 + t: windows 100 .. end 3 s after they closed.
  cr_assert_geq(w.size(), 10u);
  cr_assert_leq(s.acts.size(), w.size() * 2, "an answer lost now and then costs one repeat");
  cr_assert_leq(s.reg.fixed.size(), 2u, "what was acknowledged is ticked off");
}

// What the holder may still do is counted from before it asked.
Test(duty, a_slow_commit_leaves_less_time_to_act) {
  LeaseClient d("usage", "a", "", LeaseOptions{3, 0.4, 1}, 0);
  ReplicatedState s;
  auto const a = d.ask(LeaseClient::Action::take, 1.0);
  cr_assert(d.apply(s, a));
  d.answered(a, true, 3.0);  // two seconds on its way
  cr_assert(d.may_act(3.0, 0.5));
  cr_assert_not(d.may_act(3.0, 0.7), "1.0 + 3 - 0.4 is the end");
  cr_assert_not(d.may_act(3.7, 0));
}

Test(duty, who_just_held_it_or_just_began_waits_out_a_term) {
  ReplicatedState s;
  LeaseClient a("usage", "a", "", LeaseOptions{3, 0.4, 1}, 0), b("usage", "b", "", LeaseOptions{3, 0.4, 1}, 0);
  auto x = a.ask(LeaseClient::Action::take, 1);
  cr_assert(a.apply(s, x));
  a.answered(x, true, 1.1);
  a.seen(s.term("usage"), 1.1);
  b.seen(s.term("usage"), 1.1);
  cr_assert(b.step(4.4, true) == LeaseClient::Action::none, "not before lease and margin");
  // Named by the holder, b takes it at once; a, named right back, must wait.
  cr_assert(a.hand_over("b"));
  cr_assert_not(a.may_act(4.4, 0));
  cr_assert(a.step(4.4, true) == LeaseClient::Action::hand);
  x = a.ask(LeaseClient::Action::hand, 4.4);
  cr_assert(a.apply(s, x));
  a.answered(x, true, 4.5);
  b.seen(s.term("usage"), 4.5);
  cr_assert(b.step(4.5, true) == LeaseClient::Action::take);
  x = b.ask(LeaseClient::Action::take, 4.5);
  cr_assert(b.apply(s, x));
  b.answered(x, true, 4.6);
  cr_assert(b.may_act(4.6, 1));
  cr_assert_eq(b.fence(), 2);
  b.seen(s.term("usage"), 4.6);
  b.hand_over("a");
  x = b.ask(LeaseClient::Action::hand, 5.0);
  cr_assert(b.apply(s, x));
  a.seen(s.term("usage"), 5.1);
  cr_assert(a.step(5.1, true) == LeaseClient::Action::none, "a held it a moment ago");
  // A new life of a node does not know what the old one did.
  LeaseClient c("usage", "a", "", LeaseOptions{3, 0.4, 1}, 5.1);
  c.seen(s.term("usage"), 5.2);
  cr_assert(c.step(6, true) == LeaseClient::Action::none);
}

Test(duty, two_candidates_one_term) {
  ReplicatedState s;
  LeaseClient a("usage", "a", "", LeaseOptions{}, 0), b("usage", "b", "", LeaseOptions{}, 0);
  auto const x = a.ask(LeaseClient::Action::take, 1), y = b.ask(LeaseClient::Action::take, 1);
  cr_assert(a.apply(s, x));
  cr_assert_not(b.apply(s, y));
  b.answered(y, false, 1.2);
  cr_assert_not(b.may_act(1.2, 0));
}

// One body a window for ever; refusals, silence and 429 are heeded.
Test(reporter, fixes_once_sends_in_order_and_repeats_byte_for_byte) {
  UsageReporter r(UsageReportOptions{5, 1.5, 6, 1, 0.05, 0.4, 3});
  ReplicatedState s;
  UsageTotals t;
  UsageRow row;
  row.incarnation = 1;
  row.window = UsageWindow(10);
  row.tenants = {"a"};
  row.counts = {7};
  t.join(row);
  cr_assert_not(r.to_fix(s, t, 60.9, 100, 50).has_value(), "a proxy that has not gone on may be cut off");
  cr_assert_not(r.to_fix(s, t, 61.1, 100, 0.5).has_value(), "a new holder waits for others' counts");
  row.window = UsageWindow(11);
  t.join(row);
  cr_assert_not(r.to_fix(s, t, 56.4, 100, 50).has_value(), "counts settle first");
  auto const f = r.to_fix(s, t, 56.6, 100, 50);
  cr_assert(f && UsageReporter::fix(s, *f));
  FrozenUsageReport other = *f;
  other.body = "{}";
  cr_assert_not(UsageReporter::fix(s, other), "a window is fixed once");
  auto c = r.to_send(s, 101);
  cr_assert(c && c->body == "{\"windowIndex\":10,\"tallies\":{\"a\":7}}");
  r.sent(101);
  cr_assert_not(r.to_send(s, 101.5).has_value(), "one call at a time");
  r.answered(10, 429, 2.0, 101.2);
  cr_assert_not(r.to_send(s, 103.1).has_value(), "429's Retry-After");
  c = r.to_send(s, 103.3);
  cr_assert(c && c->body == f->body);
  r.sent(103.3);
  r.answered(10, 0, -1, 104.3);
  cr_assert_not(r.to_send(s, 104.5).has_value(), "backs off");
  c = r.to_send(s, 106);
  r.sent(106);
  r.answered(10, 200, -1, 106.1);
  cr_assert_not(r.to_send(s, 107).has_value(), "200 ends it");
  cr_assert(UsageReporter::tick_off(s, *r.acked()));
  cr_assert(s.fixed.empty() && s.to_fix == 11);
}
