/// LeaseClient alone, and several of them with their UsageReporters in a simulation with faults.
#include <criterion/criterion.h>

#include <random>

#include "leases/lease_client.hpp"
#include "leases/usage_reporter.hpp"

using namespace dockbend;

namespace {

LeaseOptions const kOptions{3, 0.4, 1.0};

/// Nodes with a replicated state and a platform between them, on one simulated clock. The replicated state applies a
/// change at once or not at all; proposals, results and updates take time, and any of them may be lost. A node may be
/// killed, frozen, or cut off from either side.
struct Simulation {
  /// One call that reached the platform.
  struct Call {
    Seconds at = 0;
    int node = 0;
    u64 fence = 0, window = 0;
    std::string body;
    bool is_excused = false;  // its sender was frozen a moment ago
  };
  struct Node {
    std::unique_ptr<LeaseClient> client;
    std::unique_ptr<UsageReporter> reporter;
    ReplicatedState known;
    UsageTotals totals;
    Seconds down_until = -1, frozen_until = -1, cut_until = -1, platform_cut_until = -1;
    Seconds thawed_at = -1e9;
    u64 incarnation = 0;
  };
  struct Delivery {
    Seconds at = 0;
    std::function<void()> deliver;
    int node = -1;  // handled by this node: waits while it is frozen, lost if it died
    u64 incarnation = 0;
  };

  explicit Simulation(unsigned seed, int node_count) : random(seed) {
    for (int i = 0; i < node_count; ++i) {
      nodes.emplace_back();
      start(i);
    }
  }

  double uniform(double low, double high) { return std::uniform_real_distribution<>(low, high)(random); }
  static std::string name(int i) { return "core-" + std::to_string(i); }
  Node& node(int i) { return nodes[static_cast<std::size_t>(i)]; }
  int node_count() const { return static_cast<int>(nodes.size()); }

  void start(int i) {
    Node& started = node(i);
    started.client = std::make_unique<LeaseClient>("usage", name(i), "10.0.0." + std::to_string(i), kOptions, now);
    started.reporter = std::make_unique<UsageReporter>(UsageReportOptions{5, 3, 3, 1.0, 0.05, 0.4, 3.0});
    started.known = ReplicatedState();
    started.totals = UsageTotals();
    ++started.incarnation;
    // What a node counted differs from node to node: a body that was not frozen first would show.
    for (u64 window = 100; window < 130; ++window) {
      UsageRow row;
      row.incarnation = static_cast<u64>(i) + 10;
      row.window = UsageWindow(window);
      row.tenants = {"t"};
      row.counts = {window + static_cast<u64>(i)};
      started.totals.merge(row);
    }
    send_state(i);
  }

  void deliver_after(Seconds delay, int to, std::function<void()> deliver) {
    deliveries.push_back(Delivery{now + delay, std::move(deliver), to, to < 0 ? 0 : node(to).incarnation});
  }

  void send_state(int i) {
    deliver_after(uniform(0.01, 0.2), i, [this, i, sent = state] {
      Node& receiver = node(i);
      if (now < receiver.cut_until) return;
      receiver.known = sent;
      receiver.client->observe(sent.term("usage"), now);
    });
  }

  /// A change that node i proposes.
  void submit(int i, std::function<bool(ReplicatedState&)> change, std::function<void(bool)> on_result) {
    bool const is_lost = now < node(i).cut_until || now < consensus_down_until;
    auto const is_applied = std::make_shared<bool>(false);
    if (!is_lost)
      deliver_after(uniform(0.02, is_consensus_slow ? 2.5 : 0.3), -1, [this, change, is_applied] {
        ReplicatedState changed = state;
        if (!change(changed)) return;
        state = changed;
        *is_applied = true;
        for (int k = 0; k < node_count(); ++k)
          send_state(k);
      });
    bool const is_result_lost = is_lost || uniform(0, 1) < 0.1;  // then nobody knows whether it was committed
    deliver_after(is_result_lost ? 1.0 : uniform(0.35, 0.8), i,
                  [on_result, is_applied, is_result_lost] { on_result(!is_result_lost && *is_applied); });
  }

  void step(Seconds duration) {
    now += duration;
    for (std::size_t k = 0; k < deliveries.size();) {
      Delivery& delivery = deliveries[k];
      Node const* const receiver = delivery.node < 0 ? nullptr : &node(delivery.node);
      bool const is_dead = receiver != nullptr && delivery.incarnation != receiver->incarnation;
      bool const is_frozen = receiver != nullptr && !is_dead && now < receiver->frozen_until;
      if (delivery.at > now || is_frozen) {
        ++k;
        continue;
      }
      auto const deliver = std::move(delivery.deliver);
      deliveries.erase(deliveries.begin() + static_cast<long>(k));
      if (!is_dead) deliver();
    }
    for (int i = 0; i < node_count(); ++i)
      step_node(i);
  }

  /// False while the node is down or frozen.
  bool is_running(int i) {
    Node& checked = node(i);
    if (checked.down_until > 0) {
      if (now < checked.down_until) return false;
      checked.down_until = -1;
      start(i);
    }
    if (now < checked.frozen_until) return false;
    if (checked.frozen_until > 0) {
      checked.thawed_at = now;
      checked.frozen_until = -1;
    }
    return true;
  }

  void step_node(int i) {
    if (!is_running(i)) return;
    Node& running = node(i);
    LeaseClient& client = *running.client;
    UsageReporter& reporter = *running.reporter;
    propose(i);
    if (!client.is_holder()) {
      if (reporter.is_calling()) reporter.on_role_lost();
      return;
    }
    if (auto const report =
            reporter.report_to_freeze(running.known, running.totals, 500 + now, now, now - client.holder_since()))
      submit(
          i, [report](ReplicatedState& changed) { return UsageReporter::freeze(changed, *report); }, [](bool) {});
    auto const report = reporter.report_to_send(running.known, now);
    if (report && client.may_act(now, reporter.call_timeout())) call_platform(i, *report);
  }

  void propose(int i) {
    LeaseClient& client = *node(i).client;
    UsageReporter const& reporter = *node(i).reporter;
    LeaseClient::Action const action = client.next_action(now, true);
    if (action == LeaseClient::Action::none) return;
    if (action == LeaseClient::Action::hand_over && reporter.is_calling()) return;
    LeaseClient::Proposal const proposal = client.propose(action, now);
    submit(
        i,
        [proposer = client, proposal, acknowledged = reporter.acknowledged_window()](ReplicatedState& changed) {
          bool const is_applied = proposer.apply(changed, proposal);
          if (is_applied && acknowledged) UsageReporter::tick_off(changed, *acknowledged);
          return is_applied;
        },
        [this, i, proposal](bool is_committed) { node(i).client->on_result(proposal, is_committed, now); });
  }

  void call_platform(int i, FrozenUsageReport const& report) {
    Node& caller = node(i);
    Seconds const timeout = caller.reporter->call_timeout();
    caller.reporter->on_sent(now);
    // The connection is reset at the call's deadline: what has not arrived by then never will.
    Seconds const delay = uniform(0.001, is_platform_slow ? 3.0 : 0.3);
    bool const is_lost = now < caller.platform_cut_until || delay > timeout;
    if (!is_lost)
      deliver_after(delay, -1, [this, i, report, fence = caller.client->fence()] {
        Node const& sender = node(i);
        bool const is_excused = now < sender.frozen_until || now - sender.thawed_at < 0.3;
        calls.push_back(Call{now, i, fence, report.window, report.body, is_excused});
      });
    bool const is_unanswered = is_lost || uniform(0, 1) < 0.15;
    deliver_after(is_unanswered ? timeout : delay + 0.05, i, [this, i, window = report.window, is_unanswered] {
      UsageReporter& reporter = *node(i).reporter;
      if (reporter.is_calling())
        reporter.on_response(window, PlatformResponse{is_unanswered ? 0 : 200, std::nullopt}, now);
    });
  }

  /// Kills, freezes or cuts off a node, most often the holder; or disturbs what all of them need.
  void inject_fault() {
    int target = static_cast<int>(random() % 4);
    for (int k = 0; k < 4; ++k)
      if (node(k).client->is_holder() && uniform(0, 1) < 0.7) target = k;
    Node& hit = node(target);
    switch (random() % 8) {
      case 0:
        hit.down_until = now + uniform(0.3, 3);
        ++hit.incarnation;
        hit.client = std::make_unique<LeaseClient>("usage", name(target), "", kOptions, now);
        break;
      case 1: hit.frozen_until = now + uniform(0.5, 6); break;
      case 2: hit.cut_until = now + uniform(0.5, 6); break;
      case 3: hit.platform_cut_until = now + uniform(0.5, 6); break;
      case 4: consensus_down_until = now + uniform(0.2, 2); break;
      case 5: is_consensus_slow = !is_consensus_slow; break;
      case 6: is_platform_slow = !is_platform_slow; break;
      default: hit.client->hand_over(name(static_cast<int>(random() % 4))); break;
    }
  }

  void check_calls(unsigned seed) const {
    std::map<u64, std::string> body_by_window;
    std::map<u64, int> node_by_fence;
    u64 highest_fence = 0;
    for (std::size_t k = 0; k < calls.size(); ++k) {
      Call const& call = calls[k];
      auto const [body, is_first_body] = body_by_window.try_emplace(call.window, call.body);
      cr_assert(is_first_body || body->second == call.body, "seed %u: two bodies for window %llu", seed,
                static_cast<unsigned long long>(call.window));
      auto const [sender, is_first_call] = node_by_fence.try_emplace(call.fence, call.node);
      cr_assert(is_first_call || sender->second == call.node, "seed %u: fence %llu from two nodes", seed,
                static_cast<unsigned long long>(call.fence));
      cr_assert(call.fence >= highest_fence || call.is_excused, "seed %u: a fence fell at %f", seed, call.at);
      highest_fence = std::max(highest_fence, call.fence);
      check_no_return(seed, k);
    }
  }

  /// No other node called between two calls of one node within one lease.
  void check_no_return(unsigned seed, std::size_t k) const {
    Call const& call = calls[k];
    for (std::size_t j = 0; j < k; ++j) {
      if (calls[j].node != call.node || call.at - calls[j].at > 3.0) continue;
      for (std::size_t m = j; m < k; ++m)
        cr_assert(calls[m].node == call.node || call.is_excused || calls[m].is_excused, "seed %u: A, B, A at %f", seed,
                  call.at);
    }
  }

  std::set<u64> reported_windows() const {
    std::set<u64> windows;
    for (Call const& call : calls)
      windows.insert(call.window);
    return windows;
  }

  std::mt19937 random;
  Seconds now = 0, consensus_down_until = -1;
  bool is_consensus_slow = false, is_platform_slow = false;
  ReplicatedState state;
  std::vector<Node> nodes;
  std::vector<Delivery> deliveries;
  std::vector<Call> calls;
};

}  // namespace

// Whatever happens, the platform never sees two bodies of one window, one fence from two nodes, a falling fence, or
// A, B, A within one lease.
Test(lease_client, random_kills_freezes_and_partitions_break_no_invariant) {
  std::size_t reported = 0, changes = 0;
  for (unsigned seed = 1; seed <= 150; ++seed) {
    Simulation simulation(seed, 4);
    Seconds next_fault_at = 3;
    while (simulation.now < 45) {
      simulation.step(0.05);
      if (simulation.now < next_fault_at) continue;
      next_fault_at = simulation.now + simulation.uniform(0.5, 4);
      simulation.inject_fault();
    }
    simulation.check_calls(seed);
    reported += simulation.reported_windows().size();
    Lease const* const lease = simulation.state.term("usage");
    changes += lease != nullptr ? lease->fence : 0;
  }
  cr_assert_gt(reported, 150u * 3, "windows are reported all the same: %zu", reported);
  cr_assert_gt(changes, 150u * 2, "and the role does change hands: %zu", changes);
}

Test(lease_client, without_faults_there_is_one_holder_and_one_call_a_window) {
  Simulation simulation(5, 3);
  while (simulation.now < 60)
    simulation.step(0.05);
  cr_assert_eq(simulation.state.term("usage")->fence, 1);
  // The wall clock is 500 + now: windows from 100 on, 3 s after each ended.
  std::size_t const windows = simulation.reported_windows().size();
  cr_assert_geq(windows, 10u);
  cr_assert_leq(simulation.calls.size(), windows * 2, "a lost answer now and then costs one repeated call");
  cr_assert_leq(simulation.state.fixed.size(), 2u, "what was acknowledged is removed");
}

Test(lease_client, the_time_to_act_is_counted_from_the_proposal_not_from_its_result) {
  LeaseClient client("usage", "a", "", kOptions, 0);
  ReplicatedState state;
  auto const proposal = client.propose(LeaseClient::Action::acquire, 1.0);
  cr_assert(client.apply(state, proposal));
  client.on_result(proposal, true, 3.0);  // two seconds on its way
  cr_assert(client.may_act(3.0, 0.5));
  cr_assert_not(client.may_act(3.0, 0.7), "1.0 + 3 - 0.4 is the end");
  cr_assert_not(client.may_act(3.7, 0));
}

Test(lease_client, a_node_that_just_held_the_lease_or_just_started_waits_for_a_whole_lease) {
  ReplicatedState state;
  LeaseClient a("usage", "a", "", kOptions, 0), b("usage", "b", "", kOptions, 0);
  auto proposal = a.propose(LeaseClient::Action::acquire, 1);
  cr_assert(a.apply(state, proposal));
  a.on_result(proposal, true, 1.1);
  a.observe(state.term("usage"), 1.1);
  b.observe(state.term("usage"), 1.1);
  cr_assert(b.next_action(4.4, true) == LeaseClient::Action::none, "not before duration and margin");
  // Named by the holder, b acquires it at once; a, named right back, must wait.
  cr_assert(a.hand_over("b"));
  cr_assert_not(a.may_act(4.4, 0));
  cr_assert(a.next_action(4.4, true) == LeaseClient::Action::hand_over);
  proposal = a.propose(LeaseClient::Action::hand_over, 4.4);
  cr_assert(a.apply(state, proposal));
  a.on_result(proposal, true, 4.5);
  b.observe(state.term("usage"), 4.5);
  cr_assert(b.next_action(4.5, true) == LeaseClient::Action::acquire);
  proposal = b.propose(LeaseClient::Action::acquire, 4.5);
  cr_assert(b.apply(state, proposal));
  b.on_result(proposal, true, 4.6);
  cr_assert(b.may_act(4.6, 1));
  cr_assert_eq(b.fence(), 2);
  b.observe(state.term("usage"), 4.6);
  b.hand_over("a");
  proposal = b.propose(LeaseClient::Action::hand_over, 5.0);
  cr_assert(b.apply(state, proposal));
  a.observe(state.term("usage"), 5.1);
  cr_assert(a.next_action(5.1, true) == LeaseClient::Action::none, "a held it a moment ago");
  // A new process of a node does not know what the old one did.
  LeaseClient restarted("usage", "a", "", kOptions, 5.1);
  restarted.observe(state.term("usage"), 5.2);
  cr_assert(restarted.next_action(6, true) == LeaseClient::Action::none);
}

Test(lease_client, of_two_candidates_one_gets_the_lease) {
  ReplicatedState state;
  LeaseClient a("usage", "a", "", LeaseOptions{}, 0), b("usage", "b", "", LeaseOptions{}, 0);
  auto const from_a = a.propose(LeaseClient::Action::acquire, 1), from_b = b.propose(LeaseClient::Action::acquire, 1);
  cr_assert(a.apply(state, from_a));
  cr_assert_not(b.apply(state, from_b));
  b.on_result(from_b, false, 1.2);
  cr_assert_not(b.may_act(1.2, 0));
}
