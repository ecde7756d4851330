#include <criterion/criterion.h>

#include <deque>
#include <map>
#include <memory>
#include <random>

#include "quota/quota.hpp"

using namespace dockbend;

namespace {

// Gateways, a lender and letters between them on one simulated clock.
struct Town {
  struct Gate {
    std::unique_ptr<QuotaClient> b;
    bool up = true, cut = false;
    double rate = 0, low = 0;  // errands a second of partner "a"
    double other = 0;          // and of partner "b"
    u64 incarnation = 0;
    struct Parked {
      std::string tenant;
      bool high = true;
      u64 ask = 0;
    };
    std::vector<Parked> parked;  // wait for the lender's next answer
  };
  struct Message {
    Seconds at = 0;
    bool ask = true;
    std::size_t gate = 0;
    u64 incarnation = 0;
    QuotaLeaseRequest a;
    QuotaLeaseResponse r;
  };
  Town(unsigned seed, std::size_t n, QuotaRule rule) : rnd(seed), rule(rule) {
    gates.resize(n);
    for (std::size_t i = 0; i < n; ++i)
      start(i);
    lender.open(0);
    rules(0);
  }
  void rules(Seconds at) {
    for (char const* t : {"a", "b"})
      lender.rule(t, rule, static_cast<double>(gates.size()), at);
  }
  double u() { return std::uniform_real_distribution<>(0, 1)(rnd); }
  void start(std::size_t i) {
    Gate& g = gates[i];
    g.incarnation = ++lives;
    g.b = std::make_unique<QuotaClient>(g.incarnation, "gate-" + std::to_string(i));
    for (char const* t : {"a", "b"})
      g.b->rule(t, rule, static_cast<double>(gates.size()), now);
    g.parked.clear();
    g.up = true;
  }
  void step(Seconds dt) {
    now += dt;
    rules(now);
    for (std::size_t k = 0; k < letters.size();) {
      if (letters[k].at > now) {
        ++k;
        continue;
      }
      Message const l = letters[k];
      letters.erase(letters.begin() + static_cast<long>(k));
      Gate& g = gates[l.gate];
      if (g.cut) continue;
      if (l.ask) {
        ++asks;
        if (!lender_up) continue;
        Message back{now + 0.005 + 0.06 * u(), false, l.gate, l.incarnation, {}, lender.ask(l.a, now)};
        letters.push_back(back);
        if (u() < 0.02) letters.push_back(back);  // said twice
      } else if (g.up) {
        g.b->got(l.r, now);  // a letter for a former life is not ours
        auto const p = std::move(g.parked);
        g.parked.clear();
        for (auto const& x : p) {
          if (x.ask > l.r.seq)
            g.parked.push_back(x);
          else
            go(g, x.tenant, x.high, true);
        }
      }
    }
    for (std::size_t i = 0; i < gates.size(); ++i) {
      Gate& g = gates[i];
      if (!g.up) continue;
      auto attempts = [&](std::string const& t, double rate, bool high) {
        double n = rate * dt;
        while (n > 0 && (n >= 1 || u() < n)) {
          n -= 1;
          ++asked[t];
          go(g, t, high, false);
        }
      };
      attempts("a", g.rate, true);
      attempts("a", g.low, false);
      attempts("b", g.other, true);
      if (g.b->due(now)) {
        QuotaLeaseRequest const a = g.b->ask(now);
        if (a.wants.empty())
          g.b->lost();
        else
          letters.push_back(Message{now + 0.005 + 0.06 * u(), true, i, g.incarnation, a, {}});
      }
    }
  }
  // As a proxy does: one wait for the lender, then it goes or is refused.
  void go(Gate& g, std::string const& t, bool high, bool waited) {
    auto const tok = g.b->take(t, high, now);
    if (!tok) {
      if (!waited) {
        g.parked.push_back({t, high, g.b->waits(t, now)});
      } else {
        g.b->refused(t);
      }
      return;
    }
    if (u() < 0.05) {  // it never ran
      g.b->give_back(t, tok, now);
      --asked[t];
      return;
    }
    all_spent[t].push_back(now);
    if (t == "a") (high ? spent_high : spent_low) += 1;
  }
  // The most that was spent over any span, against what the budget allows.
  double worst(std::string const& t = "a") {
    std::deque<Seconds> const& spent = all_spent[t];
    double w = 0;
    for (std::size_t i = 0; i < spent.size(); i += 7)
      for (std::size_t j = i; j < spent.size(); j += 7) {
        double const most = rule.rate * (spent[j] - spent[i]) + rule.burst;
        w = std::max(w, static_cast<double>(j - i + 1) / most);
      }
    return w;
  }
  std::mt19937 rnd;
  QuotaRule rule;
  Seconds now = 0;
  u64 lives = 0;
  bool lender_up = true;
  QuotaAllocator lender;
  std::vector<Gate> gates;
  std::vector<Message> letters;
  std::map<std::string, std::deque<Seconds>> all_spent;
  std::size_t asks = 0;
  std::map<std::string, std::size_t> asked;
  double spent_high = 0, spent_low = 0;
};

}  // namespace

// A surge through all gateways, one of them lost midway, one cut off, the lender
// replaced: over every span the partner gets its budget and no more.
Test(allowance, a_surge_is_held_over_every_span_whatever_is_lost) {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    Town t(seed, 8, QuotaRule{50, 40, 0});
    for (auto& g : t.gates) {
      g.rate = 30;  // 240 a second want in
      g.other = 4;  // another partner, well within its own budget
    }
    while (t.now < 20) {
      t.step(0.01);
      if (t.now > 6 && t.now < 6.02) t.gates[2].up = false;
      if (t.now > 8 && t.now < 8.02) t.gates[3].cut = true;
      if (t.now > 9 && t.now < 9.02 && !t.gates[2].up) t.start(2);
      if (t.now > 11 && t.now < 11.02) {  // the lender is lost; its successor waits
        t.lender_up = false;
        t.lender = QuotaAllocator();
        t.lender.open(t.now + 1.4);
      }
      if (t.now > 11.5) t.lender_up = true;
      if (t.now > 14 && t.now < 14.02) t.gates[3].cut = false;
    }
    for (char const* p : {"a", "b"})
      cr_assert_leq(t.worst(p), 1.0, "seed %u: %s got %.3f of the budget", seed, p, t.worst(p));
    // The other's served share: what it lost, it lost at the gateway that was cut off and
    // while nobody lent.
    double const share = static_cast<double>(t.all_spent["b"].size()) / static_cast<double>(t.asked["b"]);
    cr_assert_gt(share, 0.8, "seed %u: %.3f", seed, share);
    std::size_t calm = 0;
    for (Seconds const s : t.all_spent["a"])
      calm += s > 2 && s < 6 ? 1 : 0;
    cr_assert_gt(static_cast<double>(calm), 0.75 * 50 * 4, "seed %u: the budget is of use, %zu", seed, calm);
  }
}

// While nothing fails, a surge of one partner takes nothing from another.
Test(allowance, a_surge_takes_nothing_from_other_partners) {
  Town t(9, 8, QuotaRule{50, 40, 0});
  for (auto& g : t.gates) {
    g.rate = 60;
    g.other = 4;
  }
  while (t.now < 15)
    t.step(0.01);
  double const share = static_cast<double>(t.all_spent["b"].size()) / static_cast<double>(t.asked["b"]);
  cr_assert_gt(share, 0.95, "%.3f", share);
  cr_assert_leq(t.worst("a"), 1.0);
}

Test(allowance, one_hot_gateway_uses_nearly_all) {
  Town t(3, 20, QuotaRule{100, 50, 0});
  t.gates[5].rate = 300;
  while (t.now < 12)
    t.step(0.01);
  std::size_t n = 0;
  for (Seconds const s : t.all_spent["a"])
    n += s > 2 ? 1 : 0;
  cr_assert_gt(static_cast<double>(n), 0.8 * 100 * 10, "%zu", n);
  cr_assert_leq(t.worst(), 1.0);
}

Test(allowance, a_reserve_keeps_reads_from_starving_confirmations) {
  for (double const reserve : {0.0, 0.5}) {
    Town t(4, 4, QuotaRule{40, 40, reserve});
    for (auto& g : t.gates) {
      g.low = 100;
      g.rate = 4;
    }
    while (t.now < 15)
      t.step(0.01);
    double const share = t.spent_high / (16 * 15);
    if (reserve > 0) cr_assert_gt(share, 0.75, "%.2f", share);
    cr_assert_leq(t.worst(), 1.0);
  }
}

// Letters follow the gateways that are in use, not gateways x partners.
Test(allowance, idle_gateways_ask_nothing) {
  Town t(5, 50, QuotaRule{50, 50, 0});
  for (int k = 0; k < 100; ++k)
    for (auto& g : t.gates)
      g.b->rule("idle-" + std::to_string(k), QuotaRule{10, 10, 0}, 50, 0);
  t.gates[0].rate = 10;
  while (t.now < 10)
    t.step(0.01);
  cr_assert_lt(t.asks, 10u * 25, "%zu", t.asks);
}
