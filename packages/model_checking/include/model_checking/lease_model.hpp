// A model of one duty on a few nodes: the real Duty before a register that applies a
// change whole or not at all (registers.hpp has its rounds), on a clock of seconds.
#pragma once
#include <memory>

#include "leases/lease_client.hpp"
#include "model_checking/explore.hpp"
#include "model_checking/faults.hpp"
#include "model_checking/model_values.hpp"

namespace dockbend::model_checking {

// Judged: no two nodes may act at once; and once the faults end one of them may.
template <class F>
class LeaseModel {
 public:
  enum class Do : u8 { tick, ask, apply, answer, lose, see, hand_over, restart };
  static constexpr std::array<char const*, 8> words{"tick", "ask", "apply",     "answer",
                                                    "lose", "see", "hand_over", "restart"};

  explicit LeaseModel(Bounds const& p) : left_(p) {
    for (u32 i = 0; i < p.nodes; ++i) {
      nodes_.emplace_back(born(i));
      nodes_.back().seen = reg_;
    }
  }
  std::string const& breach() const { return breach_; }
  static u32 weight(Action const& a) {
    static constexpr std::array<u32, 8> w{12, 20, 20, 20, 2, 25, 5, 2};
    return w[a.what];
  }

  void actions(std::vector<Action>& v) const {
    auto add = [&](Do d, u32 a = 0, u32 b = 0) {
      v.push_back(Action{static_cast<u8>(d), static_cast<u8>(a), static_cast<u8>(b), 0, 0});
    };
    u32 const all = static_cast<u32>(nodes_.size());
    if (left_.ticks > 0) add(Do::tick);
    for (u32 i = 0; i < all; ++i) {
      Node const& n = nodes_[i];
      LeaseClient d = n.duty;
      if (!n.asked && d.step(now_, true) != LeaseClient::Action::none) add(Do::ask, i);
      if (n.asked && !n.reached) add(Do::apply, i);
      if (n.asked && n.reached) add(Do::answer, i);
      if (n.asked && left_.drops > 0) add(Do::lose, i);
      if (n.seen != reg_) add(Do::see, i);
      if (n.duty.holds() && left_.swaps > 0)
        for (u32 k = 0; k < all; ++k)
          if (k != i) add(Do::hand_over, i, k);
      if (left_.restarts > 0) add(Do::restart, i);
    }
  }

  bool step(Action const& a) {
    u32 const all = static_cast<u32>(nodes_.size());
    if (a.what >= words.size() || a.a >= all || !breach_.empty()) return false;
    Node& n = nodes_[a.a];
    auto spend = [](u32& x) { return x > 0 && x-- > 0; };
    switch (static_cast<Do>(a.what)) {
      case Do::tick:
        if (!spend(left_.ticks)) return false;
        now_ += 1;
        break;
      case Do::ask: {
        if (n.asked) return false;
        LeaseClient::Action const m = n.duty.step(now_, true);
        if (m == LeaseClient::Action::none) return false;
        n.asked = n.duty.ask(m, now_);
        n.reached = n.stood = false;
        break;
      }
      case Do::apply: {
        if (!n.asked || n.reached) return false;
        n.reached = true;
        ReplicatedState s = *reg_;
        n.stood = n.duty.apply(s, *n.asked);
        if (n.stood) reg_ = std::make_shared<ReplicatedState const>(std::move(s));
        break;
      }
      case Do::answer:
      case Do::lose: {
        bool const lost = static_cast<Do>(a.what) == Do::lose;
        if (!n.asked || (lost ? !spend(left_.drops) : !n.reached)) return false;
        LeaseClient::Proposal x = *n.asked;
        n.asked.reset();
        if (F::leases_from_answer) x.at = now_;
        n.duty.answered(x, !lost && n.stood, now_);
        break;
      }
      case Do::see:
        if (n.seen == reg_) return false;
        n.seen = reg_;
        n.duty.seen(reg_->term("usage"), now_);
        break;
      case Do::hand_over:
        if (a.b >= all || left_.swaps == 0) return false;
        n.before = n.duty;
        if (!n.duty.hand_over(name(a.b))) return false;
        --left_.swaps;
        break;
      case Do::restart:
        if (!spend(left_.restarts)) return false;
        n = Node(born(a.a));
        break;
    }
    judge();
    return true;
  }

  void settle() {
    if (!breach_.empty()) return;
    left_ = Bounds{};
    for (int i = 0; i < 40 && breach_.empty(); ++i) {
      left_.ticks = 1;
      step(Action{static_cast<u8>(Do::tick)});
      for (u32 k = 0; k < nodes_.size(); ++k)
        for (Do const d : {Do::see, Do::apply, Do::answer, Do::ask, Do::apply, Do::answer, Do::see})
          step(Action{static_cast<u8>(d), static_cast<u8>(k)});
    }
    bool any = false;
    for (Node const& n : nodes_)
      any = any || acts(n);
    if (!any && breach_.empty()) breach_ = "nobody carries the duty out once the faults have ended";
  }

  u64 digest() const {
    Lease const* t = reg_->term("usage");
    u64 h = t == nullptr ? 0 : mixed(mixed(t->fence << 8 | t->counter, t->holder), t->next);
    for (Node const& n : nodes_) {
      h = mixed(h, n.seen == reg_);
      Lease const* s = n.seen ? n.seen->term("usage") : nullptr;
      h = mixed(h, s == nullptr ? 0 : s->fence << 8 | s->counter);
      h = mixed(h, n.asked ? (static_cast<u64>(n.asked->move) << 8 | n.asked->fence << 16 | n.asked->counter << 24) +
                                 static_cast<u64>(now_ - n.asked->at + 1)
                           : 0);
      h = mixed(h, u64{n.reached} << 1 | n.stood);
      h = mixed(h, n.duty.fence() << 2 | u64{n.duty.holds()} << 1 | n.duty.handing());
      // What it would do in the next seconds, if it heard nothing.
      for (int k = 0; k < 5; ++k) {
        LeaseClient d = n.duty;
        h = mixed(h, static_cast<u64>(d.step(now_ + k, true)) << 2 | u64{d.may_act(now_ + k, 0)} << 1 |
                         u64{d.free(now_ + k)});
      }
    }
    for (BoundsField const& f : kBoundsFields)
      h = mixed(h, left_.*f.at);
    return h;
  }

  std::string describe(Action const& a) const {
    std::string const n(1, static_cast<char>('A' + a.a));
    switch (static_cast<Do>(a.what)) {
      case Do::tick: return "a second passes";
      case Do::ask: return n + " asks the register";
      case Do::apply: return "the register applies what " + n + " asked";
      case Do::answer: return n + " hears the answer";
      case Do::lose: return n + " hears no answer";
      case Do::see: return n + " sees the term";
      case Do::hand_over: return n + " is told to hand over to " + std::string(1, static_cast<char>('A' + a.b));
      case Do::restart: return n + " restarts";
    }
    return "";
  }

 private:
  struct Node {
    explicit Node(LeaseClient d) : duty(std::move(d)) {}
    LeaseClient duty;
    std::optional<LeaseClient> before;  // as it was when told to hand over
    std::shared_ptr<ReplicatedState const> seen;
    std::optional<LeaseClient::Proposal> asked;
    bool reached = false, stood = false;
  };
  static std::string name(u32 i) { return "core-" + std::to_string(i); }
  LeaseClient born(u32 i) const { return LeaseClient("usage", name(i), address(i), LeaseOptions{}, now_); }
  bool acts(Node const& n) const {
    if (F::acts_while_handing && n.duty.handing() && n.before) return n.before->may_act(now_, 0);
    return n.duty.may_act(now_, 0);
  }
  void judge() {
    int k = 0;
    for (Node const& n : nodes_)
      k += acts(n) ? 1 : 0;
    if (k > 1) breach_ = "two nodes act in one duty at once";
  }

  Bounds left_;
  Seconds now_ = 0;
  std::shared_ptr<ReplicatedState const> reg_ = std::make_shared<ReplicatedState const>();
  std::vector<Node> nodes_;
  std::string breach_;
};

}  // namespace dockbend::model_checking
