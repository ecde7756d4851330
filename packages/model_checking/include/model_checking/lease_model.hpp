/// A model of one singleton role on a few nodes: the real LeaseClient in front of a replicated state that applies a
/// change completely or not at all (consensus_model.hpp explores its rounds), on a clock of whole seconds.
#pragma once
#include <algorithm>
#include <memory>
#include <optional>

#include "leases/lease_client.hpp"
#include "model_checking/consensus_model.hpp"

namespace dockbend::model_checking {

/// Checked: no two nodes may act at once; and once the faults have ended one of them may act.
/// @tparam Faults which fault is planted (faults.hpp)
template <class Faults>
class LeaseModel {
 public:
  /// What may happen; `words` are their names in trace files.
  enum class Event : u8 {
    tick,       // a second passes
    propose,    // a node proposes what its LeaseClient wants
    apply,      // the replicated state applies a node's proposal, if it can
    result,     // a node gets the result of its proposal
    lose,       // a node gets no result, whether the proposal was applied or not
    observe,    // a node sees the newest replicated state
    hand_over,  // a node is ordered to hand over to another
    restart     // a node's process is replaced by a new one
  };
  static constexpr std::size_t kEventCount = 8;
  static constexpr std::array<char const*, kEventCount> words{"tick", "ask", "apply",     "answer",
                                                              "lose", "see", "hand_over", "restart"};

  explicit LeaseModel(Bounds const& bounds) : remaining_(bounds) {
    for (u32 i = 0; i < bounds.nodes; ++i) {
      nodes_.emplace_back(start_process(i));
      nodes_.back().seen = state_;
    }
  }
  std::string const& breach() const { return breach_; }
  /// How often a random walk takes an action, compared with the others.
  static u32 weight(Action const& action) {
    static constexpr std::array<u32, kEventCount> weights{12, 20, 20, 20, 2, 25, 5, 2};
    return weights[action.what];
  }

  void actions(std::vector<Action>& possible) const {
    auto const add = [&](Event event, u32 node = 0, u32 successor = 0) {
      possible.push_back(Action{static_cast<u8>(event), static_cast<u8>(node), static_cast<u8>(successor), 0, 0});
    };
    u32 const node_count = static_cast<u32>(nodes_.size());
    if (remaining_.ticks > 0) add(Event::tick);
    for (u32 i = 0; i < node_count; ++i) {
      Node const& node = nodes_[i];
      if (!node.proposal && node.client.next_action(now_, true) != LeaseClient::Action::none) add(Event::propose, i);
      if (node.proposal && !node.has_reached_state) add(Event::apply, i);
      if (node.proposal && node.has_reached_state) add(Event::result, i);
      if (node.proposal && remaining_.drops > 0) add(Event::lose, i);
      if (node.seen != state_) add(Event::observe, i);
      if (node.client.is_holder() && remaining_.swaps > 0)
        for (u32 successor = 0; successor < node_count; ++successor)
          if (successor != i) add(Event::hand_over, i, successor);
      if (remaining_.restarts > 0) add(Event::restart, i);
    }
  }

  bool step(Action const& action) {
    if (action.what >= kEventCount || action.a >= nodes_.size() || !breach_.empty()) return false;
    if (!carry_out(action)) return false;
    check();
    return true;
  }

  void settle() {
    int constexpr kSeconds = 40;
    if (!breach_.empty()) return;
    remaining_ = Bounds{};
    for (int i = 0; i < kSeconds && breach_.empty(); ++i) {
      remaining_.ticks = 1;
      step(Action{static_cast<u8>(Event::tick)});
      for (u32 node = 0; node < nodes_.size(); ++node)
        for (Event const event :
             {Event::observe, Event::apply, Event::result, Event::propose, Event::apply, Event::result, Event::observe})
          step(Action{static_cast<u8>(event), static_cast<u8>(node)});
    }
    if (acting_nodes() == 0 && breach_.empty()) breach_ = "nobody carries the duty out once the faults have ended";
  }

  u64 digest() const {
    Lease const* const lease = state_->term(kRole);
    u64 hash = lease == nullptr ? 0 : mixed(mixed(lease->fence << 8 | lease->counter, lease->holder), lease->next);
    for (Node const& node : nodes_)
      hash = digest_of(node, hash);
    for (BoundsField const& field : kBoundsFields)
      hash = mixed(hash, remaining_.*field.at);
    return hash;
  }

  std::string describe(Action const& action) const {
    std::string const node = letter(action.a);
    switch (static_cast<Event>(action.what)) {
      case Event::tick: return "a second passes";
      case Event::propose: return node + " asks the register";
      case Event::apply: return "the register applies what " + node + " asked";
      case Event::result: return node + " hears the answer";
      case Event::lose: return node + " hears no answer";
      case Event::observe: return node + " sees the term";
      case Event::hand_over: return node + " is told to hand over to " + letter(action.b);
      case Event::restart: return node + " restarts";
    }
    return "";
  }

 private:
  static constexpr char const* kRole = "usage";

  struct Node {
    explicit Node(LeaseClient started) : client(std::move(started)) {}
    LeaseClient client;
    std::optional<LeaseClient> before_hand_over;  // as it was when it was ordered to hand over
    std::shared_ptr<ReplicatedState const> seen;
    std::optional<LeaseClient::Proposal> proposal;  // in flight
    bool has_reached_state = false;
    bool is_applied = false;
  };

  static std::string node_name(u32 i) { return "core-" + std::to_string(i); }
  static std::string letter(u8 node) { return std::string(1, static_cast<char>('A' + node)); }
  LeaseClient start_process(u32 i) const { return LeaseClient(kRole, node_name(i), address(i), LeaseOptions{}, now_); }
  static bool spend(u32& remaining) { return remaining > 0 && remaining-- > 0; }

  bool carry_out(Action const& action) {
    Node& node = nodes_[action.a];
    switch (static_cast<Event>(action.what)) {
      case Event::tick:
        if (!spend(remaining_.ticks)) return false;
        now_ += 1;
        return true;
      case Event::propose: return propose(node);
      case Event::apply: return apply(node);
      case Event::result: return node.has_reached_state && give_result(node, false);
      case Event::lose: return node.proposal && spend(remaining_.drops) && give_result(node, true);
      case Event::observe:
        if (node.seen == state_) return false;
        node.seen = state_;
        node.client.observe(state_->term(kRole), now_);
        return true;
      case Event::hand_over: return hand_over(node, action.b);
      case Event::restart:
        if (!spend(remaining_.restarts)) return false;
        node = Node(start_process(action.a));
        return true;
    }
    return false;
  }

  bool propose(Node& node) {
    if (node.proposal) return false;
    LeaseClient::Action const wanted = node.client.next_action(now_, true);
    if (wanted == LeaseClient::Action::none) return false;
    node.proposal = node.client.propose(wanted, now_);
    node.has_reached_state = node.is_applied = false;
    return true;
  }

  bool apply(Node& node) {
    if (!node.proposal || node.has_reached_state) return false;
    node.has_reached_state = true;
    ReplicatedState changed = *state_;
    node.is_applied = node.client.apply(changed, *node.proposal);
    if (node.is_applied) state_ = std::make_shared<ReplicatedState const>(std::move(changed));
    return true;
  }

  bool give_result(Node& node, bool is_lost) {
    if (!node.proposal) return false;
    LeaseClient::Proposal proposal = *node.proposal;
    node.proposal.reset();
    if (Faults::leases_from_answer) proposal.proposed_at = now_;
    node.client.on_result(proposal, !is_lost && node.is_applied, now_);
    return true;
  }

  bool hand_over(Node& node, u32 successor) {
    if (successor >= nodes_.size() || remaining_.swaps == 0) return false;
    node.before_hand_over = node.client;
    if (!node.client.hand_over(node_name(successor))) return false;
    --remaining_.swaps;
    return true;
  }

  bool may_act(Node const& node) const {
    if (Faults::acts_while_handing && node.client.is_handing_over() && node.before_hand_over)
      return node.before_hand_over->may_act(now_, 0);
    return node.client.may_act(now_, 0);
  }
  std::size_t acting_nodes() const {
    return static_cast<std::size_t>(
        std::count_if(nodes_.begin(), nodes_.end(), [this](Node const& node) { return may_act(node); }));
  }
  void check() {
    if (acting_nodes() > 1) breach_ = "two nodes act in one duty at once";
  }

  u64 digest_of(Node const& node, u64 hash) const {
    int constexpr kSecondsAhead = 5;
    hash = mixed(hash, node.seen == state_);
    Lease const* const seen = node.seen ? node.seen->term(kRole) : nullptr;
    hash = mixed(hash, seen == nullptr ? 0 : seen->fence << 8 | seen->counter);
    hash = mixed(hash, node.proposal ? digest_of(*node.proposal) : 0);
    hash = mixed(hash, u64{node.has_reached_state} << 1 | node.is_applied);
    LeaseClient const& client = node.client;
    hash = mixed(hash, client.fence() << 2 | u64{client.is_holder()} << 1 | client.is_handing_over());
    // What it would do in the next seconds, if it heard nothing.
    for (Seconds at = now_; at < now_ + kSecondsAhead; at += 1) {
      hash = mixed(hash, static_cast<u64>(client.next_action(at, true)) << 2 | u64{client.may_act(at, 0)} << 1 |
                             u64{client.could_act_at_once(at)});
    }
    return hash;
  }
  u64 digest_of(LeaseClient::Proposal const& proposal) const {
    return (static_cast<u64>(proposal.action) << 8 | proposal.fence << 16 | proposal.counter << 24) +
           static_cast<u64>(now_ - proposal.proposed_at + 1);
  }

  Bounds remaining_;  // how much of everything may still happen
  Seconds now_ = 0;
  std::shared_ptr<ReplicatedState const> state_ = std::make_shared<ReplicatedState const>();
  std::vector<Node> nodes_;
  std::string breach_;
};

}  // namespace dockbend::model_checking
