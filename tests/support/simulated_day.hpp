#pragma once
#include <algorithm>

#include "rollout/rollout.hpp"
#include "support/control_model.hpp"
#include "support/simulated_network.hpp"

/// \file
/// A day of the control API in one process: proposers that race, lose messages, restart and are cut off; up to eight
/// callers that lose answers and ask any controller again; rollouts whose leaders crash. What the callers saw is a
/// history, to be checked for linearizability.

namespace dockbend::test {

/// How a controller handles what it is sent. A test plants a fault by replacing it.
struct Handling {
  template <class O>
  static CommandResult apply(ReplicatedState& s, O const& o) {
    return o.apply(s);
  }
  static constexpr bool reads_own = false;  // a read is answered from the controller's own value
  static constexpr bool hasty = false;      // a command is acknowledged before its proposal has won
  static constexpr bool any_round = false;  // a proposal that did not hold the changes acknowledges them
  static constexpr bool forgets = false;    // a command remembers nothing of what was known when it came in
};

struct DayPlan {
  int nodes = 5, callers = 8, orders = 160;
  double lose = 0.05;        // share of messages between controllers
  double lose_answer = 0.3;  // share of answers to callers
  bool staged = true;
  int calm = 0;           // steps between two faults; 0: none
  bool members = false;   // they leave and come back
  bool long_cut = false;  // one controller is cut off for half of the day, and still called
};

template <class H = Handling>
class Day {
 public:
  using Op = Control::Op;
  using Call = linearizability::RecordedOperation<Op>;

  Day(unsigned seed, DayPlan p) : net(seed, p.nodes), p_(p), rnd(seed * 7919 + 1) {
    for (auto& [ip, n] : net.nodes)
      queues_[ip];
    for (int i = 0; i < p.callers; ++i)
      callers_.emplace_back();
    net.on_round_over = [this](SimulatedNode& n) { on_round_end(n); };
  }

  std::vector<Call> run() {
    while (asked_ < p_.orders || busy()) {
      ++now;
      inject_faults();
      for (auto& [ip, d] : queues_)
        run_controller(ip, d);
      for (std::size_t i = 0; i < callers_.size(); ++i)
        ask(i);
      for (int k = 0; k < 3; ++k)
        net.step(p_.lose);
      cr_assert_lt(now, 400000u, "the day does not end");
    }
    // The faults end: what is committed is read on a majority.
    net.cut.clear();
    p_.lose = p_.lose_answer = 0;
    p_.calm = 0;
    Caller& c = callers_[0];
    c = Caller{};
    begin(c, Op{});
    while (c.busy) {
      ++now;
      for (auto& [ip, d] : queues_) {
        if (!net.nodes.at(ip).is_up) net.reboot(ip);
        run_controller(ip, d);
      }
      ask(0);
      for (int k = 0; k < 3; ++k)
        net.step();
    }
    return history;
  }

  SimulatedNetwork net;
  u64 now = 0;
  std::vector<Call> history;
  std::size_t acked = 0, refused = 0, unknown = 0, resent = 0, overtaken = 0, led = 0, deaths = 0, steps = 0;

 private:
  struct Waiting {
    std::function<bool(ReplicatedState&)> change;
    std::function<void(ReplicatedState const*)> done;
    u64 until = 0;
  };
  struct LedRollout {
    Rollout rollout;
    AmendConfiguration command;
    std::function<void(CommandResult const&)> done;
    std::vector<std::pair<u64, std::string>> reports;  // proxies that will report that they have staged it, and when
  };
  // A controller's queue of calls and its rollouts: memory, lost with the process.
  struct CallQueue {
    std::deque<Waiting> calls;
    std::vector<Waiting> batch;
    std::vector<LedRollout> led;
    u64 since = 0, next = 0, down_until = 0;
  };
  struct Caller {
    bool busy = false, sent = false;
    Op op;
    u64 from = 0, at = 0, attempt = 0, patience = 0;
    std::vector<std::size_t> attempts;  // of an evacuation: their places in the history
    std::optional<Op> again;            // acknowledged; may be sent once more
  };
  static constexpr u64 silence = 90, patience = 150;

  u64 draw(u64 n) { return rnd() % n; }
  bool chance(double x) { return std::uniform_real_distribution<>(0, 1)(rnd) < x; }
  bool busy() const {
    return std::any_of(callers_.begin(), callers_.end(), [](Caller const& c) { return c.busy; });
  }

  // ---- controllers ---------------------------------------------------------------------------
  void crash(std::string const& ip, u64 down) {
    SimulatedNode& n = net.nodes.at(ip);
    n.is_up = false;
    CallQueue& d = queues_.at(ip);
    deaths += d.led.size();
    d = CallQueue{};
    d.down_until = now + down;
  }
  void inject_faults() {
    if (p_.long_cut && now % 4000 == 500) isolate(SimulatedNetwork::name(0));
    if (p_.long_cut && now % 4000 == 2500) net.cut.clear();
    if (p_.members && now % 120 == 0) {
      std::string const by = SimulatedNetwork::name(static_cast<int>(draw(net.nodes.size()))),
                        who = SimulatedNetwork::name(static_cast<int>(draw(net.nodes.size())));
      Incarnation const incarnation = net.nodes.at(who).acceptor->incarnation();
      if (net.nodes.at(by).is_up)
        submit(
            by,
            [this, who, incarnation](ReplicatedState& s) {
              for (Member& m : s.membership)
                m.whole = true;
              Member m = member(who, incarnation);
              m.whole = true;
              bool const in = s.member(who) != nullptr;
              bool const stepped = in ? s.remove_member(who, incarnation) : s.admit(m);
              steps += stepped ? 1 : 0;
              return stepped;
            },
            [](ReplicatedState const*) {});
    }
    if (p_.calm == 0 || now % static_cast<u64>(p_.calm) != 0) return;
    switch (draw(5)) {
      case 0:
      case 1: crash(SimulatedNetwork::name(static_cast<int>(draw(net.nodes.size()))), 20 + draw(300)); break;
      case 2:
        for (auto& [ip, n] : net.nodes)
          crash(ip, 30 + draw(60));
        break;
      case 3: {
        std::string const a = SimulatedNetwork::name(static_cast<int>(draw(net.nodes.size())));
        bool const one_way = draw(2) == 0;
        for (auto& [ip, n] : net.nodes) {
          net.cut.insert({a, ip});
          if (!one_way) net.cut.insert({ip, a});
        }
        break;
      }
      default: net.cut.clear();
    }
  }
  void isolate(std::string const& a) {
    for (auto& [ip, n] : net.nodes)
      if (ip != a) {
        net.cut.insert({a, ip});
        net.cut.insert({ip, a});
      }
  }

  void submit(std::string const& ip, std::function<bool(ReplicatedState&)> change,
              std::function<void(ReplicatedState const*)> done) {
    queues_.at(ip).calls.push_back({std::move(change), std::move(done), now + patience});
    propose_calls(ip);
  }
  void propose_calls(std::string const& ip) {
    CallQueue& d = queues_.at(ip);
    SimulatedNode& n = net.nodes.at(ip);
    if (!n.is_up || !n.proposer->is_idle() || now < d.next) return;
    while (!d.calls.empty() && d.calls.front().until < now) {
      auto const c = std::move(d.calls.front());
      d.calls.pop_front();
      c.done(nullptr);
    }
    if (d.calls.empty() || n.newest() == nullptr) return;
    d.batch.assign(std::make_move_iterator(d.calls.begin()), std::make_move_iterator(d.calls.end()));
    d.calls.clear();
    d.since = now;
    net.propose(ip, [this, ip](ReplicatedState& s) {
      bool any = false;
      for (Waiting& w : queues_.at(ip).batch)
        any = w.change(s) || any;
      return any;
    });
  }
  void requeue(CallQueue& d) {
    for (auto it = d.batch.rbegin(); it != d.batch.rend(); ++it)
      d.calls.push_front(std::move(*it));
    d.batch.clear();
  }
  void on_round_end(SimulatedNode& n) {
    CallQueue& d = queues_.at(n.ip);
    if (d.batch.empty()) return;
    if (!n.proposer->is_committed()) {
      d.next = now + draw(30);
      return requeue(d);
    }
    // It may only have completed another's membership change.
    if (!n.proposer->has_applied_change() && !H::any_round) return requeue(d);
    std::vector<Waiting> b;
    b.swap(d.batch);
    ReplicatedState const v = n.proposer->value();
    for (Waiting& w : b)
      w.done(&v);
  }
  void run_controller(std::string const& ip, CallQueue& d) {
    SimulatedNode& n = net.nodes.at(ip);
    if (!n.is_up) {
      if (now < d.down_until) return;
      net.reboot(ip);
    }
    if (!n.proposer->is_idle() && now - d.since > 100) {
      n.proposer->abandon();
      d.next = now + draw(20);
      requeue(d);
    }
    // Now and then it asks for the committed value, and completes a round that was left open.
    if (draw(60) == 0 && n.committed)
      net.bag.push_back(SimulatedMessage{ip, SimulatedNetwork::name(static_cast<int>(draw(net.nodes.size()))),
                                         SimulatedMessage::Kind::commit, codec::pack(*n.committed)});
    if (draw(150) == 0 && n.acceptor->state() && n.proposer->is_idle() && d.calls.empty() &&
        (!n.committed || n.acceptor->state()->ballot > n.committed->ballot))
      submit(
          ip, [](ReplicatedState&) { return false; }, [](ReplicatedState const*) {});
    propose_calls(ip);
    lead(ip, d);
  }

  // Rollouts by the real stages: three proxies report that they have staged it after a while, or nothing.
  void lead(std::string const& ip, CallQueue& d) {
    SimulatedNode& n = net.nodes.at(ip);
    std::map<std::string, std::string> const sites{{"s1", "a"}, {"s2", "b"}, {"s3", "c"}};
    for (LedRollout& led : d.led) {
      if (is_over(led.rollout.phase()) || led.rollout.phase() == RolloutPhase::committing) continue;
      for (auto const& [at, s] : led.reports)
        if (at <= now) led.rollout.on_stage_response(s, true);
      if (n.committed && !brings_news(n.committed->items, led.command.change())) led.rollout.on_overtaken();
      auto const st = led.rollout.advance(static_cast<Seconds>(now), sites);
      for (std::string const& s : st.stage_on)
        if (!chance(0.1)) led.reports.emplace_back(now + draw(25), s);
      if (led.rollout.phase() == RolloutPhase::fell_back) led.done(CommandResult::undecided("fell back"));
      if (led.rollout.phase() == RolloutPhase::overtaken) {
        ++overtaken;
        order(ip, led.command, led.done);
      }
      if (st.commit) {
        u64 const id = led.rollout.id();
        order(ip, led.command, [this, ip, id, done = led.done](CommandResult const& o) {
          done(o);
          for (LedRollout& other : queues_.at(ip).led)
            if (other.rollout.id() == id) other.rollout.on_commit_result(o.status == CommandStatus::accepted);
        });
      }
    }
    std::erase_if(d.led, [](LedRollout const& led) { return is_over(led.rollout.phase()); });
  }

  template <class Make, class O>
  struct By {
    Make make;
    O o;
    CommandResult apply(ReplicatedState& s) const { return H::forgets ? H::apply(s, make(&s)) : H::apply(s, o); }
  };
  // make: the command, of a controller that knows this value.
  template <class Make>
  void order(std::string const& ip, Make make, std::function<void(CommandResult const&)> done) {
    SimulatedNode const& n = net.nodes.at(ip);
    auto o = make(n.committed ? &*n.committed : nullptr);
    order(ip, make, std::move(o), std::move(done));
  }
  template <class Make, class O>
  void order(std::string const& ip, Make make, O o, std::function<void(CommandResult const&)> done) {
    if (H::hasty) {
      done(CommandResult{CommandStatus::accepted, true, "", 0});
      done = [](CommandResult const&) {};
    }
    execute_command([this, ip](auto c, auto f, Seconds) { submit(ip, std::move(c), std::move(f)); },
                    By<Make, O>{std::move(make), std::move(o)}, 0, std::move(done));
  }
  void order(std::string const& ip, AmendConfiguration const& o, std::function<void(CommandResult const&)> done) {
    order(
        ip, [a = o.change()](ReplicatedState const* known) { return AmendConfiguration(a, known); }, o,
        std::move(done));
  }

  void received(std::string const& ip, Op const& op,
                std::function<void(CommandResult const&, Control::State const&)> done) {
    SimulatedNode& n = net.nodes.at(ip);
    ReplicatedState const* const known = n.committed ? &*n.committed : nullptr;
    auto const plain = [done](CommandResult const& o) { done(o, {}); };
    switch (op.what) {
      case Control::What::read:
        if (H::reads_own) {
          if (n.committed)
            done(CommandResult{CommandStatus::accepted, false, "", 0}, Control::seen(*n.committed));
          else
            done(CommandResult::undecided(""), {});
          return;
        }
        return submit(
            ip, [](ReplicatedState&) { return false; },
            [done](ReplicatedState const* s) {
              if (s == nullptr)
                done(CommandResult::undecided(""), {});
              else
                done(CommandResult{CommandStatus::accepted, false, "", 0}, Control::seen(*s));
            });
      case Control::What::evacuate:
        return order(
            ip, [op](ReplicatedState const* k) { return SetEvacuation(op.zone, op.on, k); }, plain);
      case Control::What::start: {
        DrainOrder o;
        o.id = std::to_string(op.pass);
        o.patienceS = 1;
        DrainOrderUnit u;
        u.name = o.id + op.body;
        o.units.push_back(u);
        return order(
            ip, [o](ReplicatedState const* k) { return StartDrain(o, k); }, plain);
      }
      case Control::What::amend: {
        ConfigChange a;
        for (Control::ItemChange const& w : op.wants) {
          ConfigItem i;
          i.key = w.key;
          i.gen = Generation(w.item.gen);
          i.gone = w.item.body.empty();
          i.body = w.item.body;
          a.items.push_back(i);
          if (!w.service.empty()) a.needs.push_back({w.key, w.service, w.key});
        }
        std::map<std::string, ConfigItem> const items =
            n.committed ? n.committed->by_key() : std::map<std::string, ConfigItem>{};
        auto copy = items;
        std::string f;
        if (!p_.staged || join(copy, a, f) != MergeResult::changed)
          return order(ip, AmendConfiguration(a, known), plain);
        ++led;
        RolloutOptions rp;
        rp.stageS = 30;
        rp.resendS = 25;
        rp.giveUpS = 120;
        queues_.at(ip).led.push_back(
            LedRollout{Rollout(rnd() | 1, rp, static_cast<Seconds>(now)), AmendConfiguration(a, known), plain, {}});
      }
    }
  }

  // ---- callers -------------------------------------------------------------------------
  Op draw_op() {
    Op o;
    switch (draw(10)) {
      case 0:
      case 1: return o;  // a read
      case 2:
      case 3:
        o.what = Control::What::evacuate;
        o.zone = draw(2) == 0 ? "za" : "zb";
        o.on = draw(2) == 0;
        return o;
      case 4:
        o.what = Control::What::start;
        o.pass = 1 + draw(12);
        o.body = draw(2) == 0 ? "x" : "y";
        return o;
      default: break;
    }
    o.what = Control::What::amend;
    auto const body = [&](u64 gen) {
      return draw(12) == 0 ? std::string() : "\"" + std::to_string(gen) + (draw(3) == 0 ? "x" : "y") + "\"";
    };
    std::size_t const n = 1 + draw(3);
    std::set<std::string> keys;
    for (std::size_t i = 0; i < n; ++i) {
      bool const service = draw(4) == 0;
      std::string const key = service ? "s/" + std::to_string(draw(2)) : "r/" + std::to_string(draw(3));
      if (!keys.insert(key).second) continue;
      // Versions rise unevenly; at times two bodies have one version, at times an older one comes late.
      u64 const gen = 1 + static_cast<u64>(asked_) / 4 * 3 + draw(4) -
                      std::min<u64>(static_cast<u64>(asked_) / 4 * 3, draw(9) == 0 ? 9 : 0);
      Control::ItemChange w{key, {gen, body(gen)}, ""};
      if (!service && !w.item.body.empty() && draw(2) == 0) {
        w.service = std::to_string(draw(2));
        w.item.body = Control::naming(w.service, w.item.body);
      }
      o.wants.push_back(w);
    }
    return o;
  }
  void begin(Caller& c, Op op) {
    c.busy = true;
    c.sent = false;
    c.op = std::move(op);
    c.from = now;
    c.at = now;
    c.patience = now + 2500;
    c.attempts.clear();
  }
  void ask(std::size_t i) {
    Caller& c = callers_[i];
    if (!c.busy) {
      if (asked_ >= p_.orders || draw(25) != 0) return;
      ++asked_;
      if (c.again && draw(3) == 0) {
        Op const o = *c.again;
        c.again.reset();
        return begin(c, o);
      }
      return begin(c, draw_op());
    }
    if (now > c.patience && c.op.what != Control::What::read) return give_up(c);
    if (c.sent && now < c.at + silence) return;
    if (c.sent) ++resent;
    if (now < c.at) return;
    std::string const ip = SimulatedNetwork::name(static_cast<int>(draw(net.nodes.size())));
    c.sent = true;
    c.at = now;
    u64 const me = ++c.attempt;
    if (!net.nodes.at(ip).is_up) {  // the connection is refused at once
      c.sent = false;
      c.at = now + 5;
      return;
    }
    if (c.op.what == Control::What::evacuate) {  // each attempt is a command of its own until one is acknowledged
      c.attempts.push_back(history.size());
      history.push_back({c.op, now, linearizability::kNever, false});
    }
    bool const lost = chance(p_.lose_answer);
    received(ip, c.op, [this, i, me, lost](CommandResult const& o, Control::State const& seen) {
      Caller& x = callers_[i];
      if (lost || !x.busy || x.attempt != me || !x.sent) return;
      if (o.status == CommandStatus::undecided) {
        x.sent = false;
        x.at = now + 5 + draw(20);
        return;
      }
      answered(x, o, seen);
    });
  }
  void answered(Caller& c, CommandResult const& o, Control::State const& seen) {
    c.busy = false;
    c.op.ok = o.status == CommandStatus::accepted;
    c.op.seen = seen;
    if (c.op.what == Control::What::evacuate) {
      // Earlier attempts of the caller may have had their effect, but won't have it from now on.
      for (std::size_t const a : c.attempts)
        history[a].to = now;
      history[c.attempts.back()].known = true;
      history[c.attempts.back()].op = c.op;
    } else {
      history.push_back({c.op, c.from, now, true});
    }
    if (c.op.what != Control::What::read) ++(c.op.ok ? acked : refused);
    if (c.op.ok && c.op.what != Control::What::read && c.op.what != Control::What::evacuate) c.again = c.op;
  }
  void give_up(Caller& c) {
    c.busy = false;
    ++unknown;
    if (c.op.what != Control::What::evacuate) history.push_back({c.op, c.from, linearizability::kNever, false});
  }

  DayPlan p_;
  std::mt19937 rnd;
  std::map<std::string, CallQueue> queues_;
  std::vector<Caller> callers_;
  int asked_ = 0;
};

}  // namespace dockbend::test
