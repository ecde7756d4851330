// A network of registers in one process: messages wait in a bag and are taken
// out in an order drawn by a seed; any may be lost or held back.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include "consensus/acceptor.hpp"
#include "consensus/proposer.hpp"

namespace dockbend::test {

struct Node {
  std::string ip;
  std::unique_ptr<Acceptor> acc;
  std::unique_ptr<Proposer> prop;
  std::optional<ReplicatedState> committed;
  // What the disk holds; a power loss goes back to it.
  Ballot disk_promised;
  std::optional<ReplicatedState> disk_state;
  bool up = true, votes = true;
  Proposer::Change want;
  ReplicatedState const* best() const {
    ReplicatedState const* b = committed ? &*committed : nullptr;
    if (acc->state() && (b == nullptr || acc->state()->ballot > b->ballot)) b = &*acc->state();
    return b;
  }
};

struct Msg {
  std::string from, to;
  int what = 0;  // 0 prep 1 prepR 2 acc 3 accR 4 commit
  std::string body;
};

inline Member member(std::string const& ip, Incarnation l) {
  Member m;
  m.ip = ip;
  m.incarnation = l;
  return m;
}

class Net {
 public:
  explicit Net(unsigned seed, int founders) : rnd(seed) {
    for (int i = 0; i < founders; ++i)
      founding.membership.push_back(member(name(i), Incarnation(1)));
    for (int i = 0; i < founders; ++i)
      add(i, Incarnation(1), true);
  }
  static std::string name(int i) { return "10.0.0." + std::to_string(i + 1); }

  Node& add(int i, Incarnation l, bool knows) {
    Node& n = nodes[name(i)];
    n = Node{};
    n.ip = name(i);
    std::optional<ReplicatedState> s;
    if (knows) s = founding;
    n.acc = std::make_unique<Acceptor>(l, Ballot(), s);
    n.disk_state = s;
    n.prop = std::make_unique<Proposer>(n.ip);
    if (knows) n.committed = founding;
    return n;
  }

  void send(Node& n, std::vector<Proposer::Out> const& v) {
    for (auto const& o : v)
      bag.push_back(Msg{n.ip, o.ip, o.is_prep ? 0 : 2, o.is_prep ? codec::pack(o.prep) : codec::pack(o.acc)});
  }

  void propose(std::string const& ip, Proposer::Change c) {
    Node& n = nodes.at(ip);
    n.want = std::move(c);
    ReplicatedState const* b = n.best();
    if (b == nullptr) return;
    n.prop->saw(n.acc->promised());
    send(n, n.prop->begin(*b, n.want, 0, n.committed ? std::optional<Epoch>(n.committed->epoch) : std::nullopt));
  }

  // Takes one message out and delivers it; false if none is left.
  bool step(double lose = 0) {
    if (bag.empty()) return false;
    std::size_t const i = rnd() % bag.size();
    Msg const m = bag[i];
    bag.erase(bag.begin() + static_cast<long>(i));
    if (std::uniform_real_distribution<>(0, 1)(rnd) < lose) return true;
    auto const it = nodes.find(m.to);
    if (it == nodes.end() || !it->second.up) return true;
    if (cut.count({m.from, m.to}) > 0) return true;
    deliver(it->second, m);
    return true;
  }
  void run(double lose = 0) {
    while (step(lose)) {
    }
  }

  void deliver(Node& n, Msg const& m) {
    auto back = [&](int what, std::string body) { bag.push_back(Msg{n.ip, m.from, what, std::move(body)}); };
    auto save = [&] {
      n.disk_promised = n.acc->promised();
      n.disk_state = n.acc->state();
    };
    switch (m.what) {
      case 0: {
        if (!n.votes) return;
        PrepareResponse r;
        if (n.acc->prepare(codec::unpack<PrepareRequest>(m.body), r).write) save();
        back(1, codec::pack(r));
        break;
      }
      case 2: {
        if (!n.votes) return;
        AcceptResponse r;
        if (n.acc->accept(codec::unpack<AcceptRequest>(m.body), r).write) save();
        back(3, codec::pack(r));
        break;
      }
      case 1: {
        bool const was = n.prop->done();
        send(n, n.prop->on_prep(m.from, codec::unpack<PrepareResponse>(m.body)));
        if (!was && n.prop->done() && over) over(n);
        break;
      }
      case 3: {
        bool const was = n.prop->done();
        send(n, n.prop->on_acc(m.from, codec::unpack<AcceptResponse>(m.body)));
        if (!was && n.prop->done() && n.prop->won()) won(n);
        if (!was && n.prop->done() && over) over(n);
        break;
      }
      case 4: {
        ReplicatedState const s = codec::unpack<ReplicatedState>(m.body);
        if (!n.committed || s.ballot > n.committed->ballot) n.committed = s;
        n.acc->learn(s);
        break;
      }
      default: break;
    }
  }

  void won(Node& n) {
    ReplicatedState const s = n.prop->value();
    history.push_back(s);
    if (!n.committed || s.ballot > n.committed->ballot) n.committed = s;
    n.acc->learn(s);
    for (auto& [ip, o] : nodes)
      if (ip != n.ip) bag.push_back(Msg{n.ip, ip, 4, codec::pack(s)});
  }

  // Power goes and comes back: memory is lost, the disk stays.
  void reboot(std::string const& ip) {
    Node& n = nodes.at(ip);
    Incarnation const l = n.acc->incarnation();
    n.acc = std::make_unique<Acceptor>(l, n.disk_promised, n.disk_state);
    n.prop = std::make_unique<Proposer>(ip);
    n.prop->saw(n.disk_promised);
    n.committed.reset();
    n.up = true;
  }
  // The disk is lost: a new life that knows nothing.
  void wipe(std::string const& ip, Incarnation l) {
    Node& n = nodes.at(ip);
    n.acc = std::make_unique<Acceptor>(l, Ballot(), std::nullopt);
    n.prop = std::make_unique<Proposer>(ip);
    n.committed.reset();
    n.disk_promised = Ballot();
    n.disk_state.reset();
    n.up = true;
  }

  std::function<void(Node&)> over;  // a round ended, won or lost
  std::mt19937 rnd;
  ReplicatedState founding;
  std::map<std::string, Node> nodes;
  std::vector<Msg> bag;
  std::vector<ReplicatedState> history;  // as their proposers saw them won
  std::set<std::pair<std::string, std::string>> cut;
};

inline Proposer::Change put_item(std::string key, u64 gen, std::string body) {
  return [=](ReplicatedState& s) {
    auto m = s.by_key();
    ConfigChange a;
    a.items.push_back(ConfigItem{key, Generation(gen), false, body});
    std::string f;
    if (join(m, a, f) != MergeResult::changed) return false;
    s.items.clear();
    for (auto& [k, i] : m)
      s.items.push_back(i);
    return true;
  };
}
inline Proposer::Change join_member(std::string ip, Incarnation l) {
  return [=](ReplicatedState& s) {
    for (Member& x : s.membership)
      if (x.ip == ip) {
        if (x.incarnation == l) return false;
        x.incarnation = l;
        return true;
      }
    s.membership.push_back(member(ip, l));
    return true;
  };
}

}  // namespace dockbend::test
