/// Proxies' QuotaClients and a QuotaAllocator on one simulated clock, with messages that are late, lost or repeated.
#include <criterion/criterion.h>

#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>

#include "quota/quota_allocator.hpp"
#include "quota/quota_client.hpp"

using namespace dockbend;

namespace {

struct Simulation {
  struct Proxy {
    std::unique_ptr<QuotaClient> client;
    bool is_up = true, is_cut_off = false;
    double rate = 0, low_rate = 0;  // requests a second of tenant "a", of high and of low rank
    double other_rate = 0;          // and of tenant "b"
    u64 incarnation = 0;
    struct WaitingRequest {
      std::string tenant;
      bool is_high_rank = true;
      u64 awaited_seq = 0;
    };
    std::vector<WaitingRequest> waiting;  // for the allocator's next response
  };
  struct Message {
    Seconds at = 0;
    bool is_request = true;
    std::size_t proxy = 0;
    u64 incarnation = 0;
    QuotaLeaseRequest request;
    QuotaLeaseResponse response;
  };

  Simulation(unsigned seed, std::size_t proxy_count, QuotaRule quota_rule) : random(seed), rule(quota_rule) {
    proxies.resize(proxy_count);
    for (std::size_t i = 0; i < proxy_count; ++i)
      start(i);
    allocator.open(0);
    set_rules();
  }

  double proxy_count() const { return static_cast<double>(proxies.size()); }
  void set_rules() {
    for (char const* tenant : {"a", "b"})
      allocator.set_rule(tenant, rule, proxy_count(), now);
  }
  double uniform() { return std::uniform_real_distribution<>(0, 1)(random); }
  Seconds message_delay() { return 0.005 + 0.06 * uniform(); }

  void start(std::size_t i) {
    Proxy& proxy = proxies[i];
    proxy.incarnation = ++incarnations;
    proxy.client = std::make_unique<QuotaClient>(proxy.incarnation, "gate-" + std::to_string(i));
    for (char const* tenant : {"a", "b"})
      proxy.client->set_rule(tenant, rule, proxy_count(), now);
    proxy.waiting.clear();
    proxy.is_up = true;
  }

  void step(Seconds duration) {
    now += duration;
    set_rules();
    for (std::size_t k = 0; k < messages.size();) {
      if (messages[k].at > now) {
        ++k;
        continue;
      }
      Message const message = messages[k];
      messages.erase(messages.begin() + static_cast<long>(k));
      deliver(message);
    }
    for (std::size_t i = 0; i < proxies.size(); ++i)
      if (proxies[i].is_up) step_proxy(i, duration);
  }

  void deliver(Message const& message) {
    Proxy& proxy = proxies[message.proxy];
    if (proxy.is_cut_off) return;
    if (message.is_request) {
      ++quota_requests;
      if (!is_allocator_up) return;
      Message const response{now + message_delay(), false, message.proxy,
                             message.incarnation,   {},    allocator.grant(message.request, now)};
      messages.push_back(response);
      if (uniform() < 0.02) messages.push_back(response);  // arrives twice
    } else if (proxy.is_up) {
      proxy.client->on_response(message.response, now);  // one for an earlier process is ignored
      retry_waiting(proxy, message.response.seq);
    }
  }

  void retry_waiting(Proxy& proxy, u64 seq) {
    auto const waiting = std::move(proxy.waiting);
    proxy.waiting.clear();
    for (auto const& request : waiting) {
      if (request.awaited_seq > seq)
        proxy.waiting.push_back(request);
      else
        handle_request(proxy, request.tenant, request.is_high_rank, true);
    }
  }

  void step_proxy(std::size_t i, Seconds duration) {
    Proxy& proxy = proxies[i];
    auto const add_requests = [&](std::string const& tenant, double rate, bool is_high_rank) {
      double expected = rate * duration;
      while (expected > 0 && (expected >= 1 || uniform() < expected)) {
        expected -= 1;
        ++requested[tenant];
        handle_request(proxy, tenant, is_high_rank, false);
      }
    };
    add_requests("a", proxy.rate, true);
    add_requests("a", proxy.low_rate, false);
    add_requests("b", proxy.other_rate, true);
    if (!proxy.client->is_request_due(now)) return;
    QuotaLeaseRequest const request = proxy.client->make_request(now);
    if (request.wants.empty())
      proxy.client->on_request_lost();
    else
      messages.push_back(Message{now + message_delay(), true, i, proxy.incarnation, request, {}});
  }

  /// As a proxy does: a request waits for the allocator once, then it runs or is refused.
  void handle_request(Proxy& proxy, std::string const& tenant, bool is_high_rank, bool has_waited) {
    auto const token = proxy.client->take(tenant, is_high_rank, now);
    if (!token && !has_waited) {
      proxy.waiting.push_back({tenant, is_high_rank, proxy.client->await_tokens(tenant, now)});
    } else if (!token) {
      proxy.client->count_refusal(tenant);
    } else if (uniform() < 0.05) {  // it never ran
      proxy.client->give_back(tenant, token, now);
      --requested[tenant];
    } else {
      spent_at[tenant].push_back(now);
      if (tenant == "a") (is_high_rank ? spent_high : spent_low) += 1;
    }
  }

  /// The most that was spent over any span, as a share of what the limit allows.
  double worst_use(std::string const& tenant = "a") {
    std::deque<Seconds> const& spent = spent_at[tenant];
    double worst = 0;
    for (std::size_t i = 0; i < spent.size(); i += 7)
      for (std::size_t j = i; j < spent.size(); j += 7) {
        double const allowed = rule.rate * (spent[j] - spent[i]) + rule.burst;
        worst = std::max(worst, static_cast<double>(j - i + 1) / allowed);
      }
    return worst;
  }
  /// How many requests of tenant "a" ran between two times.
  double spent_between(Seconds from, Seconds until) {
    std::size_t count = 0;
    for (Seconds const at : spent_at["a"])
      count += at > from && at < until ? 1 : 0;
    return static_cast<double>(count);
  }
  double served_share(std::string const& tenant) {
    return static_cast<double>(spent_at[tenant].size()) / static_cast<double>(requested[tenant]);
  }
  /// True in the one step that begins at that time.
  bool is_at(Seconds time) const { return now > time && now < time + 0.02; }

  std::mt19937 random;
  QuotaRule rule;
  Seconds now = 0;
  u64 incarnations = 0;
  bool is_allocator_up = true;
  QuotaAllocator allocator;
  std::vector<Proxy> proxies;
  std::vector<Message> messages;
  std::map<std::string, std::deque<Seconds>> spent_at;  // by tenant
  std::size_t quota_requests = 0;
  std::map<std::string, std::size_t> requested;  // by tenant
  double spent_high = 0, spent_low = 0;          // of tenant "a"
};

}  // namespace

// A surge through all proxies, one of them lost midway, one cut off, the allocator replaced: over every span the tenant
// gets its limit and no more.
Test(quota, a_surge_stays_within_the_limit_over_every_span_whatever_is_lost) {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    Simulation simulation(seed, 8, QuotaRule{50, 40, 0});
    for (auto& proxy : simulation.proxies) {
      proxy.rate = 30;       // 240 requests a second in all
      proxy.other_rate = 4;  // another tenant, well within its own limit
    }
    while (simulation.now < 20) {
      simulation.step(0.01);
      if (simulation.is_at(6)) simulation.proxies[2].is_up = false;
      if (simulation.is_at(8)) simulation.proxies[3].is_cut_off = true;
      if (simulation.is_at(9) && !simulation.proxies[2].is_up) simulation.start(2);
      if (simulation.is_at(11)) {  // the allocator is lost; its successor waits
        simulation.is_allocator_up = false;
        simulation.allocator = QuotaAllocator();
        simulation.allocator.open(simulation.now + 1.4);
      }
      if (simulation.now > 11.5) simulation.is_allocator_up = true;
      if (simulation.is_at(14)) simulation.proxies[3].is_cut_off = false;
    }
    for (char const* tenant : {"a", "b"})
      cr_assert_leq(simulation.worst_use(tenant), 1.0, "seed %u: %s got %.3f of the limit", seed, tenant,
                    simulation.worst_use(tenant));
    // What the other tenant lost, it lost at the proxy that was cut off and while nobody granted.
    double const share = simulation.served_share("b");
    cr_assert_gt(share, 0.8, "seed %u: %.3f", seed, share);
    double const before_faults = simulation.spent_between(2, 6);
    cr_assert_gt(before_faults, 0.75 * 50 * 4, "seed %u: the limit is used, %.0f", seed, before_faults);
  }
}

// While nothing fails, a surge of one tenant takes nothing from another.
Test(quota, a_surge_takes_nothing_from_other_tenants) {
  Simulation simulation(9, 8, QuotaRule{50, 40, 0});
  for (auto& proxy : simulation.proxies) {
    proxy.rate = 60;
    proxy.other_rate = 4;
  }
  while (simulation.now < 15)
    simulation.step(0.01);
  double const share = simulation.served_share("b");
  cr_assert_gt(share, 0.95, "%.3f", share);
  cr_assert_leq(simulation.worst_use("a"), 1.0);
}

Test(quota, one_busy_proxy_can_use_nearly_the_whole_limit) {
  Simulation simulation(3, 20, QuotaRule{100, 50, 0});
  simulation.proxies[5].rate = 300;
  while (simulation.now < 12)
    simulation.step(0.01);
  double const spent = simulation.spent_between(2, HUGE_VAL);
  cr_assert_gt(spent, 0.8 * 100 * 10, "%.0f", spent);
  cr_assert_leq(simulation.worst_use(), 1.0);
}

Test(quota, a_reserve_keeps_low_rank_from_starving_high_rank) {
  for (double const reserve : {0.0, 0.5}) {
    Simulation simulation(4, 4, QuotaRule{40, 40, reserve});
    for (auto& proxy : simulation.proxies) {
      proxy.low_rate = 100;
      proxy.rate = 4;
    }
    while (simulation.now < 15)
      simulation.step(0.01);
    double const share = simulation.spent_high / (16 * 15);
    if (reserve > 0) cr_assert_gt(share, 0.75, "%.2f", share);
    cr_assert_leq(simulation.worst_use(), 1.0);
  }
}

// Messages follow the proxies in use, not proxies times tenants.
Test(quota, idle_proxies_send_no_requests) {
  Simulation simulation(5, 50, QuotaRule{50, 50, 0});
  for (int k = 0; k < 100; ++k)
    for (auto& proxy : simulation.proxies)
      proxy.client->set_rule("idle-" + std::to_string(k), QuotaRule{10, 10, 0}, 50, 0);
  simulation.proxies[0].rate = 10;
  while (simulation.now < 10)
    simulation.step(0.01);
  cr_assert_lt(simulation.quota_requests, 10u * 25, "%zu", simulation.quota_requests);
}
