// A day of the control API in one process: registers that race, lose messages, restart and
// are cut off; up to eight callers that lose answers and ask any node again; rollouts whose
// leaders die. What the callers saw is a history.
#pragma once
#include <algorithm>

#include "rollout/rollout.hpp"
#include "support/control_model.hpp"
#include "support/simulated_network.hpp"

namespace dockbend::test {

// How a node handles what it is sent. A test may plant a fault by another one.
struct Handling {
  template <class O>
  static CommandResult apply(ReplicatedState& s, O const& o) {
    return o.apply(s);
  }
  static constexpr bool reads_own = false;  // a read is answered from the node's own value
  static constexpr bool hasty = false;      // an order is confirmed before its round is won
  static constexpr bool any_round = false;  // a round that held no changes confirms them
  static constexpr bool forgets = false;    // nothing is kept of what was known when an order came in
};

struct DayPlan {
  int nodes = 5, callers = 8, orders = 160;
  double lose = 0.05;        // of messages between nodes
  double lose_answer = 0.3;  // of answers to callers
  bool staged = true;
  int calm = 0;           // steps between two troubles; 0: none
  bool members = false;   // they leave and come back
  bool long_cut = false;  // one node is cut off for half of the day, and is still called
};

template <class H = Handling>
class Day {
 public:
  using Op = Control::Op;
  using Call = linearizability::RecordedOperation<Op>;

  Day(unsigned seed, DayPlan p) : net(seed, p.nodes), p_(p), rnd(seed * 7919 + 1) {
    for (auto& [ip, n] : net.nodes)
      desks_[ip];
    for (int i = 0; i < p.callers; ++i)
      callers_.emplace_back();
    net.over = [this](Node& n) { round_over(n); };
  }

  std::vector<Call> run() {
    while (asked_ < p_.orders || busy()) {
      ++now;
      troubles();
      for (auto& [ip, d] : desks_)
        tend(ip, d);
      for (std::size_t i = 0; i < callers_.size(); ++i)
        ask(i);
      for (int k = 0; k < 3; ++k)
        net.step(p_.lose);
      cr_assert_lt(now, 400000u, "the day does not end");
    }
    // All is well again: what stands is read on a majority.
    net.cut.clear();
    p_.lose = p_.lose_answer = 0;
    p_.calm = 0;
    Caller& c = callers_[0];
    c = Caller{};
    begin(c, Op{});
    while (c.busy) {
      ++now;
      for (auto& [ip, d] : desks_) {
        if (!net.nodes.at(ip).up) net.reboot(ip);
        tend(ip, d);
      }
      ask(0);
      for (int k = 0; k < 3; ++k)
        net.step();
    }
    return history;
  }

  Net net;
  u64 now = 0;
  std::vector<Call> history;
  std::size_t acked = 0, refused = 0, unknown = 0, resent = 0, overtaken = 0, led = 0, deaths = 0, steps = 0;

 private:
  struct Waiting {
    std::function<bool(ReplicatedState&)> change;
    std::function<void(ReplicatedState const*)> done;
    u64 until = 0;
  };
  struct Led {
    Rollout ro;
    AmendConfiguration o;
    std::function<void(CommandResult const&)> done;
    std::vector<std::pair<u64, std::string>> words;  // sites that will say that they hold it
  };
  // A node's queue, as its archivist has it. Memory: lost with the process.
  struct Desk {
    std::deque<Waiting> calls;
    std::vector<Waiting> batch;
    std::vector<Led> led;
    u64 since = 0, next = 0, down_until = 0;
  };
  struct Caller {
    bool busy = false, sent = false;
    Op op;
    u64 from = 0, at = 0, attempt = 0, patience = 0;
    std::vector<std::size_t> attempts;  // of an evacuation, in the history
    std::optional<Op> again;            // acknowledged; may be sent once more
  };
  static constexpr u64 silence = 90, patience = 150;

  u64 draw(u64 n) { return rnd() % n; }
  bool chance(double x) { return std::uniform_real_distribution<>(0, 1)(rnd) < x; }
  bool busy() const {
    return std::any_of(callers_.begin(), callers_.end(), [](Caller const& c) { return c.busy; });
  }

  // ---- nodes ---------------------------------------------------------------------------
  void die(std::string const& ip, u64 down) {
    Node& n = net.nodes.at(ip);
    n.up = false;
    Desk& d = desks_.at(ip);
    deaths += d.led.size();
    d = Desk{};
    d.down_until = now + down;
  }
  void troubles() {
    if (p_.long_cut && now % 4000 == 500) isolate(Net::name(0));
    if (p_.long_cut && now % 4000 == 2500) net.cut.clear();
    if (p_.members && now % 120 == 0) {
      std::string const by = Net::name(static_cast<int>(draw(net.nodes.size()))),
                        who = Net::name(static_cast<int>(draw(net.nodes.size())));
      Incarnation const incarnation = net.nodes.at(who).acc->incarnation();
      if (net.nodes.at(by).up)
        submit(
            by,
            [this, who, incarnation](ReplicatedState& s) {
              for (Member& m : s.membership)
                m.whole = true;
              Member m = member(who, incarnation);
              m.whole = true;
              bool const in = s.member(who) != nullptr;
              bool const stepped = in ? s.dismiss(who, incarnation) : s.admit(m);
              steps += stepped ? 1 : 0;
              return stepped;
            },
            [](ReplicatedState const*) {});
    }
    if (p_.calm == 0 || now % static_cast<u64>(p_.calm) != 0) return;
    switch (draw(5)) {
      case 0:
      case 1: die(Net::name(static_cast<int>(draw(net.nodes.size()))), 20 + draw(300)); break;
      case 2:
        for (auto& [ip, n] : net.nodes)
          die(ip, 30 + draw(60));
        break;
      case 3: {
        std::string const a = Net::name(static_cast<int>(draw(net.nodes.size())));
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
    desks_.at(ip).calls.push_back({std::move(change), std::move(done), now + patience});
    pump(ip);
  }
  void pump(std::string const& ip) {
    Desk& d = desks_.at(ip);
    Node& n = net.nodes.at(ip);
    if (!n.up || !n.prop->idle() || now < d.next) return;
    while (!d.calls.empty() && d.calls.front().until < now) {
      auto const c = std::move(d.calls.front());
      d.calls.pop_front();
      c.done(nullptr);
    }
    if (d.calls.empty() || n.best() == nullptr) return;
    d.batch.assign(std::make_move_iterator(d.calls.begin()), std::make_move_iterator(d.calls.end()));
    d.calls.clear();
    d.since = now;
    net.propose(ip, [this, ip](ReplicatedState& s) {
      bool any = false;
      for (Waiting& w : desks_.at(ip).batch)
        any = w.change(s) || any;
      return any;
    });
  }
  void back(Desk& d) {
    for (auto it = d.batch.rbegin(); it != d.batch.rend(); ++it)
      d.calls.push_front(std::move(*it));
    d.batch.clear();
  }
  void round_over(Node& n) {
    Desk& d = desks_.at(n.ip);
    if (d.batch.empty()) return;
    if (!n.prop->won()) {
      d.next = now + draw(30);
      return back(d);
    }
    // It may only have brought another's step of the roster to its end.
    if (!n.prop->changed() && !H::any_round) return back(d);
    std::vector<Waiting> b;
    b.swap(d.batch);
    ReplicatedState const v = n.prop->value();
    for (Waiting& w : b)
      w.done(&v);
  }
  void tend(std::string const& ip, Desk& d) {
    Node& n = net.nodes.at(ip);
    if (!n.up) {
      if (now < d.down_until) return;
      net.reboot(ip);
    }
    if (!n.prop->idle() && now - d.since > 100) {
      n.prop->abandon();
      d.next = now + draw(20);
      back(d);
    }
    // What is in force is asked for now and then, and what was left open is ended.
    if (draw(60) == 0 && n.committed)
      net.bag.push_back(Msg{ip, Net::name(static_cast<int>(draw(net.nodes.size()))), 4, codec::pack(*n.committed)});
    if (draw(150) == 0 && n.acc->state() && n.prop->idle() && d.calls.empty() &&
        (!n.committed || n.acc->state()->ballot > n.committed->ballot))
      submit(
          ip, [](ReplicatedState&) { return false; }, [](ReplicatedState const*) {});
    pump(ip);
    lead(ip, d);
  }

  // Rollouts by the real stages: three sites hold it after a while, or say nothing.
  void lead(std::string const& ip, Desk& d) {
    Node& n = net.nodes.at(ip);
    std::map<std::string, std::string> const sites{{"s1", "a"}, {"s2", "b"}, {"s3", "c"}};
    for (Led& l : d.led) {
      if (is_over(l.ro.phase()) || l.ro.phase() == RolloutPhase::committing) continue;
      for (auto const& [at, s] : l.words)
        if (at <= now) l.ro.on_stage_response(s, true);
      if (n.committed && !brings_news(n.committed->items, l.o.asked())) l.ro.on_overtaken();
      auto const st = l.ro.advance(static_cast<Seconds>(now), sites);
      for (std::string const& s : st.stage_on)
        if (!chance(0.1)) l.words.emplace_back(now + draw(25), s);
      if (l.ro.phase() == RolloutPhase::fell_back) l.done(unsettled("fell back"));
      if (l.ro.phase() == RolloutPhase::overtaken) {
        ++overtaken;
        order(ip, l.o, l.done);
      }
      if (st.commit) {
        u64 const id = l.ro.id();
        order(ip, l.o, [this, ip, id, done = l.done](CommandResult const& o) {
          done(o);
          for (Led& x : desks_.at(ip).led)
            if (x.ro.id() == id) x.ro.on_commit_result(o.ruling == CommandStatus::taken);
        });
      }
    }
    std::erase_if(d.led, [](Led const& l) { return is_over(l.ro.phase()); });
  }

  template <class Make, class O>
  struct By {
    Make make;
    O o;
    CommandResult apply(ReplicatedState& s) const { return H::forgets ? H::apply(s, make(&s)) : H::apply(s, o); }
  };
  // make: the order, of a node that knows this value.
  template <class Make>
  void order(std::string const& ip, Make make, std::function<void(CommandResult const&)> done) {
    Node const& n = net.nodes.at(ip);
    auto o = make(n.committed ? &*n.committed : nullptr);
    order(ip, make, std::move(o), std::move(done));
  }
  template <class Make, class O>
  void order(std::string const& ip, Make make, O o, std::function<void(CommandResult const&)> done) {
    if (H::hasty) {
      done(CommandResult{CommandStatus::taken, true, "", 0});
      done = [](CommandResult const&) {};
    }
    carry([this, ip](auto c, auto f, Seconds) { submit(ip, std::move(c), std::move(f)); },
          By<Make, O>{std::move(make), std::move(o)}, 0, std::move(done));
  }
  void order(std::string const& ip, AmendConfiguration const& o, std::function<void(CommandResult const&)> done) {
    order(
        ip, [a = o.asked()](ReplicatedState const* known) { return AmendConfiguration(a, known); }, o, std::move(done));
  }

  void received(std::string const& ip, Op const& op,
                std::function<void(CommandResult const&, Control::State const&)> done) {
    Node& n = net.nodes.at(ip);
    ReplicatedState const* const known = n.committed ? &*n.committed : nullptr;
    auto const plain = [done](CommandResult const& o) { done(o, {}); };
    switch (op.what) {
      case Control::What::read:
        if (H::reads_own) {
          if (n.committed)
            done(CommandResult{CommandStatus::taken, false, "", 0}, Control::seen(*n.committed));
          else
            done(unsettled(""), {});
          return;
        }
        return submit(
            ip, [](ReplicatedState&) { return false; },
            [done](ReplicatedState const* s) {
              if (s == nullptr)
                done(unsettled(""), {});
              else
                done(CommandResult{CommandStatus::taken, false, "", 0}, Control::seen(*s));
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
        for (Control::QuotaDemand const& w : op.wants) {
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
        desks_.at(ip).led.push_back(
            Led{Rollout(rnd() | 1, rp, static_cast<Seconds>(now)), AmendConfiguration(a, known), plain, {}});
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
      // Uneven steps, at times two on one version, at times an older one.
      u64 const gen = 1 + static_cast<u64>(asked_) / 4 * 3 + draw(4) -
                      std::min<u64>(static_cast<u64>(asked_) / 4 * 3, draw(9) == 0 ? 9 : 0);
      Control::QuotaDemand w{key, {gen, body(gen)}, ""};
      if (!service && !w.item.body.empty() && draw(2) == 0) w.service = std::to_string(draw(2));
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
    std::string const ip = Net::name(static_cast<int>(draw(net.nodes.size())));
    c.sent = true;
    c.at = now;
    u64 const me = ++c.attempt;
    if (!net.nodes.at(ip).up) {  // refused at once
      c.sent = false;
      c.at = now + 5;
      return;
    }
    if (c.op.what == Control::What::evacuate) {  // each attempt is an order of its own until one is acknowledged
      c.attempts.push_back(history.size());
      history.push_back({c.op, now, linearizability::kNever, false});
    }
    bool const lost = chance(p_.lose_answer);
    received(ip, c.op, [this, i, me, lost](CommandResult const& o, Control::State const& seen) {
      Caller& x = callers_[i];
      if (lost || !x.busy || x.attempt != me || !x.sent) return;
      if (o.ruling == CommandStatus::unsettled) {
        x.sent = false;
        x.at = now + 5 + draw(20);
        return;
      }
      answered(x, o, seen);
    });
  }
  void answered(Caller& c, CommandResult const& o, Control::State const& seen) {
    c.busy = false;
    c.op.ok = o.ruling == CommandStatus::taken;
    c.op.seen = seen;
    if (c.op.what == Control::What::evacuate) {
      // Earlier ones of the same caller may have had their effect, but no more from now on.
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
  std::map<std::string, Desk> desks_;
  std::vector<Caller> callers_;
  int asked_ = 0;
};

}  // namespace dockbend::test
