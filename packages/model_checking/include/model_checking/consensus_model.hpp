// A model of the register: the real Acceptor, Proposer, State and Delta on a few nodes,
// with the network, the disks and what an archivist does between them as plain data.
#pragma once
#include <boost/container_hash/hash.hpp>
#include <cstdio>
#include <map>
#include <memory>
#include <set>
#include <variant>

#include "consensus/acceptor.hpp"
#include "consensus/proposer.hpp"
#include "model_checking/explore.hpp"
#include "model_checking/faults.hpp"

namespace dockbend::model_checking {

inline std::string address(u32 i) {
  return "10.0.0." + std::to_string(i + 1);
}
inline u32 node_at(std::string const& ip) {
  return static_cast<u32>(std::stoul(ip.substr(7))) - 1;
}
inline u64 mixed(u64 seed, u64 x) {
  std::size_t s = seed;
  boost::hash_combine(s, x);
  return s;
}
inline u64 mixed(u64 seed, std::string const& x) {
  return mixed(seed, std::hash<std::string>{}(x));
}

// Invariants judged, each in one place below:
// - one value a ballot (on_disk);
// - a value that is won is on a majority of the real disks of its roster, and of the
//   roster won before it (note_won): so no removed or new disk has counted;
// - won values form a chain: items and epochs only rise, one body a generation
//   (note_won): so nothing acknowledged is lost or goes back, one outcome a number;
// - a delta gives the value that it was made from (learn_from);
// - once the faults end, all members hold the newest value won (settle).
template <class F>
class ConsensusModel {
 public:
  enum class Do : u8 { propose, deliver, learn, tell, restart, wipe, cut, heal, drop, sync };
  static constexpr std::array<char const*, 10> words{"propose", "deliver", "learn", "tell", "restart",
                                                     "wipe",    "cut",     "heal",  "drop", "sync"};
  // propose: a the node, b what, c whom or which generation.
  enum class Wish : u8 { finish, item, join, leave, join_all, swap };
  // deliver: c how.
  enum class How : u8 { at_once, answer_waits, write_waits, twice };

  explicit ConsensusModel(Bounds const& p) : left_(p) {
    ReplicatedState f;
    for (u32 i = 0; i < p.nodes; ++i)
      f.membership.push_back(member(i, Incarnation(1)));
    for (u32 i = 0; i < p.nodes + p.spares; ++i) {
      bool const founder = i < p.nodes;
      Incarnation const l = founder ? Incarnation(1) : Incarnation(10 + i);
      nodes_.emplace_back(Acceptor(l, Ballot(), founder ? std::optional<ReplicatedState>(f) : std::nullopt),
                          Proposer(address(i)));
      Node& n = nodes_.back();
      n.disk = Disk{l, Ballot(), n.acc.state()};
      if (founder) n.committed = std::make_shared<ReplicatedState const>(f);
    }
    won_.push_back(nodes_[0].committed);
  }

  std::string const& breach() const { return breach_; }
  static u32 weight(Action const& a) {
    static constexpr std::array<u32, 10> w{10, 60, 6, 5, 2, 2, 2, 3, 5, 5};
    return w[a.what];
  }

  void actions(std::vector<Action>& v) const {
    auto add = [&](Do d, u32 a = 0, u32 b = 0, u32 c = 0, u64 m = 0) {
      v.push_back(Action{static_cast<u8>(d), static_cast<u8>(a), static_cast<u8>(b), static_cast<u8>(c), m});
    };
    auto wish = [&](u32 i, Wish w, u32 c = 0) { add(Do::propose, i, static_cast<u32>(w), c); };
    u32 const all = static_cast<u32>(nodes_.size());
    for (MsgP const& m : bag_) {
      add(Do::deliver, m->from, m->to, static_cast<u32>(How::at_once), m->id);
      bool const asks = m->kind() == Kind::prep || m->kind() == Kind::acc;
      if (asks && left_.holds > 0) add(Do::deliver, m->from, m->to, static_cast<u32>(How::answer_waits), m->id);
      if (asks && left_.lates > 0) add(Do::deliver, m->from, m->to, static_cast<u32>(How::write_waits), m->id);
      if (left_.repeats > 0) add(Do::deliver, m->from, m->to, static_cast<u32>(How::twice), m->id);
      if (left_.drops > 0) add(Do::drop, m->from, m->to, 0, m->id);
    }
    for (u32 i = 0; i < all; ++i) {
      Node const& n = nodes_[i];
      ReplicatedState const* b = best(n);
      if (b != nullptr && i < left_.proposers && left_.proposals > 0) {
        if (!n.committed || b->ballot > n.committed->ballot) wish(i, Wish::finish);
        for (u32 g = 1; g <= left_.items; ++g)
          wish(i, Wish::item, g);
        u32 fresh = 0;
        for (u32 x = 0; x < all; ++x) {
          Member const* m = b->member(address(x));
          bool const named = m != nullptr && m->incarnation == nodes_[x].acc.incarnation();
          if (!named) {
            ++fresh;
            if (left_.joins > 0) wish(i, Wish::join, x);
            if (left_.swaps > 0)
              for (u32 y = 0; y < all; ++y)
                if (y != x && b->member(address(y)) != nullptr && may_leave(*b, y)) wish(i, Wish::swap, x << 4 | y);
          }
          if (m != nullptr && left_.leaves > 0 && b->membership.size() > 2 && may_leave(*b, x)) wish(i, Wish::leave, x);
        }
        if (fresh > 1 && left_.joins > 1) wish(i, Wish::join_all);
      }
      if (n.waits()) add(Do::sync, i);
      if (left_.restarts > 0) add(Do::restart, i);
      if (left_.wipes > 0 && may_wipe(i)) add(Do::wipe, i);
      for (u32 k = 0; k < all; ++k) {
        if (k == i) continue;
        bool const is_cut = cut_.count({i, k}) > 0;
        if (is_cut)
          add(Do::heal, i, k);
        else if (left_.cuts > 0)
          add(Do::cut, i, k);
        if (is_cut) continue;
        // i to k.
        if (n.committed && (!nodes_[k].committed || n.committed->ballot > nodes_[k].committed->ballot))
          add(Do::learn, i, k);
        if (left_.tells > 0 && n.disk.st && nodes_[k].acc.state() &&
            (!nodes_[k].committed || nodes_[k].acc.state()->ballot > nodes_[k].committed->ballot) &&
            nodes_[k].heard[i] != std::pair(n.disk.incarnation, n.disk.st->ballot))
          add(Do::tell, i, k);
      }
    }
  }

  bool step(Action const& a) {
    if (a.what >= words.size() || !breach_.empty()) return false;
    u32 const all = static_cast<u32>(nodes_.size());
    if (a.a >= all || a.b >= 16) return false;
    switch (static_cast<Do>(a.what)) {
      case Do::propose: return propose(a.a, static_cast<Wish>(a.b), a.c);
      case Do::deliver: return deliver(a.m, static_cast<How>(a.c));
      case Do::learn: return a.b < all && learn_from(a.a, a.b);
      case Do::tell: return a.b < all && tell(a.a, a.b);
      case Do::restart:
        if (left_.restarts == 0) return false;
        --left_.restarts;
        start(a.a);
        return true;
      case Do::wipe:
        if (left_.wipes == 0 || !may_wipe(a.a)) return false;
        --left_.wipes;
        nodes_[a.a].disk = Disk{Incarnation(100 + next_life_++), Ballot(), std::nullopt};
        start(a.a);
        return true;
      case Do::cut:
        if (left_.cuts == 0 || a.b >= all || !cut_.insert({a.a, a.b}).second) return false;
        --left_.cuts;
        std::erase_if(bag_, [&](MsgP const& m) { return m->from == a.a && m->to == a.b; });
        return true;
      case Do::heal: return cut_.erase({a.a, a.b}) > 0;
      case Do::drop: {
        if (left_.drops == 0) return false;
        --left_.drops;
        return std::erase_if(bag_, [&](MsgP const& m) { return m->id == a.m; }) > 0;
      }
      case Do::sync:
        if (!nodes_[a.a].waits()) return false;
        flush(a.a);
        return true;
    }
    return false;
  }

  // Faults end: what was on its way is lost, all are up and hear each other.
  void settle() {
    if (!breach_.empty()) return;
    cut_.clear();
    left_ = Bounds{};
    left_.tells = ~0U;
    Ballot const before = won_.back()->ballot;
    u32 const all = static_cast<u32>(nodes_.size());
    auto spread = [&] {
      for (u32 i = 0; i < all; ++i)
        for (u32 k = 0; k < all; ++k)
          if (i != k) {
            tell(i, k);
            learn_from(i, k);
          }
    };
    for (u32 i = 0; i < all; ++i)
      flush(i);
    bag_.clear();
    for (int turn = 0; turn < 3 && breach_.empty(); ++turn)
      for (u32 i = 0; i < all && breach_.empty(); ++i) {
        spread();
        if (best(nodes_[i]) == nullptr) continue;
        left_.proposals = 1;
        propose(i, Wish::finish, 0);
        while (!bag_.empty() && breach_.empty())
          deliver(bag_.front()->id, How::at_once);
      }
    if (!breach_.empty()) return;
    spread();
    ReplicatedState const& last = *won_.back();
    // A step that was begun before a loss may leave a roster that can't bear it; it is
    // the operator's to see to it that this does not happen, and no one's to mend.
    if (!may_wipe(all)) return;
    if (last.ballot <= before) return fail("no round is won once the faults have ended");
    for (Member const& m : last.membership) {
      Node const& n = nodes_[node_at(m.ip)];
      if (n.acc.incarnation() != m.incarnation) continue;
      if (!n.committed || n.committed->ballot != last.ballot)
        fail("a member does not catch up once the faults have ended");
    }
  }

  u64 digest() const {
    u64 h = 0;
    for (Node const& n : nodes_) {
      h = mixed(h, n.acc.incarnation().v);
      h = mixed(h, n.acc.promised().v);
      h = mixed(h, n.acc.state() ? n.acc.state()->ballot.v + 1 : 0);
      h = mixed(h, n.disk.promised.v);
      h = mixed(h, n.disk.st ? n.disk.st->ballot.v + 1 : 0);
      h = mixed(h, n.committed ? n.committed->ballot.v + 1 : 0);
      h = mixed(h, static_cast<u64>(n.prop.phase()));
      h = mixed(h, n.prop.counter());
      if (!n.prop.idle()) {
        h = mixed(h, n.prop.ballot().v);
        h = mixed(h, n.prop.base().ballot.v);
        h = mixed(h, static_cast<u64>(n.wish) << 8 | n.arg);
        for (std::string const& s : n.prop.promised())
          h = mixed(h, s);
        h = mixed(h, 1);
        for (std::string const& s : n.prop.accepted())
          h = mixed(h, s);
      }
      for (MsgP const& m : n.late)
        h = mixed(h, m->id);
      for (auto const& [l, b] : n.heard)
        h = mixed(mixed(h, l.v), b.v);
    }
    for (MsgP const& m : bag_)
      h = mixed(h, m->id);
    for (auto const& [a, b] : cut_)
      h = mixed(h, a << 8 | b);
    for (BoundsField const& f : kBoundsFields)
      h = mixed(h, left_.*f.at);
    for (StateP const& s : won_)
      h = mixed(h, s->ballot.v);
    for (auto const& [b, d] : values_)
      h = mixed(h, d);
    return h;
  }

  std::string describe(Action const& a) const {
    static constexpr std::array<char const*, 6> wishes{"finish", "item", "join", "leave", "join all", "swap"};
    static constexpr std::array<char const*, 4> hows{"", ", answer waits", ", write waits", ", comes again"};
    static constexpr std::array<char const*, 4> kinds{"prepare", "promise", "accept", "accepted"};
    auto name = [](u32 i) { return std::string(1, static_cast<char>('A' + i)); };
    std::string s;
    switch (static_cast<Do>(a.what)) {
      case Do::propose:
        s = name(a.a) + " begins a round: " + wishes[std::min<std::size_t>(a.b, 5)];
        if (static_cast<Wish>(a.b) == Wish::item)
          s += " generation " + std::to_string(a.c);
        else if (static_cast<Wish>(a.b) == Wish::swap)
          s += " " + name(a.c >> 4) + " for " + name(a.c & 15);
        else if (static_cast<Wish>(a.b) == Wish::join || static_cast<Wish>(a.b) == Wish::leave)
          s += " " + name(a.c);
        return s;
      case Do::deliver:
      case Do::drop:
        for (MsgP const& m : bag_)
          if (m->id == a.m)
            return std::string(kinds[m->what.index()]) + " " + std::to_string(m->ballot().v >> 32) + "." +
                   name((m->ballot().v & 255) - 1) + " from " + name(m->from) + " to " + name(m->to) +
                   (static_cast<Do>(a.what) == Do::drop ? " is lost" : hows[std::min<std::size_t>(a.c, 3)]);
        return "nothing there";
      case Do::learn: return name(a.b) + " is told " + name(a.a) + "'s newest value";
      case Do::tell: return name(a.b) + " hears what is on " + name(a.a) + "'s disk";
      case Do::restart: return name(a.a) + " restarts";
      case Do::wipe: return name(a.a) + " loses its disk";
      case Do::cut: return name(a.a) + " to " + name(a.b) + " is cut";
      case Do::heal: return name(a.a) + " to " + name(a.b) + " is whole again";
      case Do::sync: return name(a.a) + "'s disk takes what waits";
    }
    return s;
  }

  std::vector<std::shared_ptr<ReplicatedState const>> const& won() const { return won_; }

 private:
  using StateP = std::shared_ptr<ReplicatedState const>;
  enum class Kind : u8 { prep, prepR, acc, accR };
  struct Msg {
    u32 from = 0, to = 0;
    std::variant<PrepareRequest, PrepareResponse, AcceptRequest, AcceptResponse> what;
    u64 id = 0;
    Kind kind() const { return static_cast<Kind>(what.index()); }
    Ballot ballot() const {
      return std::visit([](auto const& x) { return x.ballot; }, what);
    }
  };
  using MsgP = std::shared_ptr<Msg const>;
  struct Disk {
    Incarnation incarnation;
    Ballot promised;
    std::optional<ReplicatedState> st;
  };
  struct Node {
    Node(Acceptor a, Proposer p) : acc(std::move(a)), prop(std::move(p)) {}
    Acceptor acc;
    Proposer prop;
    StateP committed;
    Disk disk;
    std::vector<MsgP> late;     // answers that wait for the disk
    std::vector<MsgP> unheard;  // the same, but who asked is gone
    std::array<std::pair<Incarnation, Ballot>, 8> heard{};
    Wish wish = Wish::finish;
    u8 arg = 0;
    bool open = false;  // its round is not over
    bool waits() const {
      return !late.empty() || disk.promised != acc.promised() ||
             (acc.state() && (!disk.st || disk.st->ballot != acc.state()->ballot));
    }
  };

  static Member member(u32 i, Incarnation l) {
    Member m;
    m.ip = address(i);
    m.incarnation = l;
    m.whole = true;  // keys are another model
    return m;
  }
  void fail(std::string const& s) {
    if (breach_.empty()) breach_ = s;
  }
  static ReplicatedState const* best(Node const& n) {
    ReplicatedState const* b = n.committed.get();
    if (n.acc.state() && (b == nullptr || n.acc.state()->ballot > b->ballot)) b = &*n.acc.state();
    return b;
  }

  // ---- disks -----------------------------------------------------------------------
  void note_value(ReplicatedState const& s) {
    u64 const d = mixed(s.ballot.v, codec::pack(s));
    auto const [it, fresh] = values_.try_emplace(s.ballot.v, d);
    if (!fresh && it->second != d) fail("two values under one ballot");
  }
  // All that waits is on disk now, in order.
  void flush(u32 x) {
    Node& n = nodes_[x];
    n.disk.promised = n.acc.promised();
    if (n.acc.state() && (!n.disk.st || n.disk.st->ballot != n.acc.state()->ballot)) {
      n.disk.st = n.acc.state();
      note_value(*n.disk.st);
      taken_.insert({n.disk.st->ballot.v, x, n.disk.incarnation.v});
    }
    for (MsgP const& m : n.unheard)
      taken_.insert({m->ballot().v, x, n.disk.incarnation.v});
    n.unheard.clear();
    std::vector<MsgP> late;
    late.swap(n.late);
    for (MsgP const& m : late) {  // one that another value has followed was taken all the same
      if (m->kind() == Kind::accR && std::get<AcceptResponse>(m->what).ok)
        taken_.insert({m->ballot().v, x, n.disk.incarnation.v});
      put(m);
    }
  }
  void start(u32 x) {
    Node& n = nodes_[x];
    Ballot const promised = F::forgets_on_restart && n.disk.st ? n.disk.st->ballot : n.disk.promised;
    n.acc = Acceptor(n.disk.incarnation, promised, n.disk.st);
    n.prop = Proposer(address(x));
    n.prop.saw(promised);
    n.committed.reset();
    if (n.disk.st && n.disk.st->ballot == Ballot(0)) n.committed = std::make_shared<ReplicatedState const>(*n.disk.st);
    n.late.clear();
    n.unheard.clear();
    n.heard = {};
    n.open = false;
    // Answers come over the connection that asked, and that is gone. Safety rests on it: a
    // proposer that is no member has no promise of its own, and may use a ballot again.
    auto const lost = [&](MsgP const& m) {
      return m->to == x && (m->kind() == Kind::prepR || m->kind() == Kind::accR);
    };
    std::erase_if(bag_, lost);
    for (Node& o : nodes_) {
      auto const keep = std::stable_partition(o.late.begin(), o.late.end(), [&](MsgP const& m) { return !lost(m); });
      for (auto it = keep; it != o.late.end(); ++it) {
        // The write goes on, though nobody hears of it.
        if ((*it)->kind() == Kind::accR && std::get<AcceptResponse>((*it)->what).ok) o.unheard.push_back(*it);
      }
      o.late.erase(keep, o.late.end());
    }
  }
  // Does that roster keep a majority, if x is lost as well? (x past the end: as it is)
  bool bears(std::vector<Member> const& l, u32 x) const {
    return l.empty() || static_cast<std::size_t>(std::count_if(l.begin(), l.end(), [&](Member const& m) {
                          u32 const i = node_at(m.ip);
                          return i != x && nodes_[i].disk.incarnation == m.incarnation;
                        })) > l.size() / 2;
  }
  // Only as many disks are lost as any roster on a disk can bear.
  bool may_wipe(u32 x) const {
    for (Node const& n : nodes_)
      for (ReplicatedState const* s : {n.disk.st ? &*n.disk.st : nullptr, best(n)})
        if (s != nullptr && !(bears(s->membership, x) && bears(s->previous_membership, x))) return false;
    return bears(won_.back()->membership, x);
  }
  // Who takes a member out sees to it that the others are up.
  bool may_leave(ReplicatedState const& s, u32 x) const {
    ReplicatedState t = s;
    std::erase_if(t.membership, [&](Member const& m) { return m.ip == address(x); });
    return bears(t.membership, x);
  }

  // ---- network ---------------------------------------------------------------------
  void put(MsgP m) {
    if (cut_.count({m->from, m->to}) > 0) return;
    auto const at = std::lower_bound(bag_.begin(), bag_.end(), m->id, [](MsgP const& x, u64 id) { return x->id < id; });
    if (at == bag_.end() || (*at)->id != m->id) bag_.insert(at, std::move(m));
  }
  template <class T>
  static MsgP made(u32 from, u32 to, T const& x) {
    auto m = std::make_shared<Msg>();
    m->from = from;
    m->to = to;
    m->what = x;
    m->id = mixed(mixed(from << 8 | to, m->what.index()), codec::pack(x));
    return m;
  }
  bool deliver(u64 id, How how) {
    auto const it = std::find_if(bag_.begin(), bag_.end(), [&](MsgP const& m) { return m->id == id; });
    if (it == bag_.end()) return false;
    MsgP const m = *it;
    bool const asks = m->kind() == Kind::prep || m->kind() == Kind::acc;
    if (how == How::twice) {
      if (left_.repeats == 0) return false;
      --left_.repeats;
    } else {
      bag_.erase(it);
    }
    if (how == How::answer_waits || how == How::write_waits) {
      u32& n = how == How::answer_waits ? left_.holds : left_.lates;
      if (n == 0 || !asks) return false;
      --n;
    }
    if (asks)
      ask(*m, how);
    else
      answer(*m);
    return true;
  }

  // ---- the acceptor's side -----------------------------------------------------------
  void ask(Msg const& m, How how) {
    Node& n = nodes_[m.to];
    Acceptor::PendingWrite s;
    MsgP back;
    if (m.kind() == Kind::prep) {
      PrepareRequest p = std::get<PrepareRequest>(m.what);
      Incarnation const meant = p.incarnation;
      if (F::votes_for_other_life) p.incarnation = n.acc.incarnation();
      PrepareResponse r;
      s = n.acc.prepare(p, r);
      if (F::votes_for_other_life) r.incarnation = meant;
      back = made(m.to, m.from, r);
    } else {
      AcceptRequest a = std::get<AcceptRequest>(m.what);
      Incarnation const meant = a.incarnation;
      if (F::votes_for_other_life) a.incarnation = n.acc.incarnation();
      if (F::accepts_below_promise)
        n.acc = Acceptor(n.acc.incarnation(), std::min(n.acc.promised(), a.ballot), n.acc.state());
      if (F::applies_on_any_base && !a.delta.empty() && n.acc.state()) {
        StateDelta d = codec::unpack<StateDelta>(a.delta);
        d.base = n.acc.state()->ballot;
        a.delta = codec::pack(d);
      }
      AcceptResponse r;
      s = n.acc.accept(a, r);
      if (F::votes_for_other_life) r.incarnation = meant;
      back = made(m.to, m.from, r);
    }
    if (s.write && how == How::write_waits) {
      n.late.push_back(back);
      return;
    }
    if (s.write && !F::replies_before_write) flush(m.to);
    if (!breach_.empty() || cut_.count({back->from, back->to}) > 0) return;
    if (how == How::answer_waits)
      put(back);
    else
      answer(*back);
  }

  // ---- the proposer's side -----------------------------------------------------------
  void outs(u32 x, std::vector<Proposer::Out> const& v) {
    for (Proposer::Out const& o : v) {
      u32 const to = node_at(o.ip);
      MsgP const m = o.is_prep ? made(x, to, o.prep) : made(x, to, o.acc);
      if (to == x)
        ask(*m, How::at_once);
      else
        put(m);
    }
  }
  void answer(Msg const& m) {
    Node& n = nodes_[m.to];
    std::string const from = address(m.from);
    if (m.kind() == Kind::prepR) {
      PrepareResponse r = std::get<PrepareResponse>(m.what);
      if (F::adopts_nothing) {
        r.full = false;
        r.state.clear();
      }
      outs(m.to, n.prop.on_prep(from, r));
    } else {
      outs(m.to, n.prop.on_acc(from, std::get<AcceptResponse>(m.what)));
      pretend(n);
    }
    if (!n.open || !n.prop.done()) return;
    n.open = false;
    if (!n.prop.won()) return;
    ReplicatedState const v = n.prop.value();
    note_won(v);
    learn(m.to, v);
  }
  // Planted: the proposer is told of votes that nobody gave.
  void pretend(Node& n) {
    if constexpr (F::counts_new_roster_only || F::counts_old_roster_only || F::wins_by_one_too_few) {
      if (n.prop.phase() != Proposer::Phase::accepting) return;
      ReplicatedState const from = n.prop.base(), to = n.prop.value();
      auto lacks = [&](ReplicatedState const& s) {
        std::size_t k = 0;
        for (Member const& m : s.membership)
          k += n.prop.accepted().count(m.ip + "/" + std::to_string(m.incarnation.v));
        return k >= s.majority() ? 0 : s.majority() - k;
      };
      bool const enough = F::counts_new_roster_only   ? lacks(to) == 0
                          : F::counts_old_roster_only ? lacks(from) == 0
                                                      : lacks(to) <= 1 && lacks(from) <= 1;
      if (!enough) return;
      for (auto const* l : {&from.membership, &to.membership, &to.previous_membership})
        for (Member const& m : *l) {
          AcceptResponse r;
          r.ok = true;
          r.ballot = n.prop.ballot();
          r.incarnation = m.incarnation;
          n.prop.on_acc(m.ip, r);
        }
    }
  }

  bool propose(u32 x, Wish w, u8 arg) {
    Node& n = nodes_[x];
    ReplicatedState const* b = best(n);
    if (b == nullptr || left_.proposals == 0) return false;
    u32 const all = static_cast<u32>(nodes_.size());
    auto joining = [&](u32 i) {
      Member const m = member(i, nodes_[i].acc.incarnation());
      return Proposer::Change([m](ReplicatedState& s) { return s.admit(m); });
    };
    auto leaving = [](u32 i, Incarnation l) {
      return Proposer::Change([ip = address(i), l](ReplicatedState& s) {
        return s.membership.size() > 2 &&
               std::erase_if(s.membership, [&](Member const& m) { return m.ip == ip && m.incarnation == l; }) > 0;
      });
    };
    Proposer::Change change = [](ReplicatedState&) { return false; };
    switch (w) {
      case Wish::finish: break;
      case Wish::item:
        if (arg == 0 || arg > left_.items) return false;
        change = [x, arg](ReplicatedState& s) {
          auto m = s.by_key();
          ConfigChange a;
          a.items.push_back(ConfigItem{"r/k", Generation(arg), false, address(x)});
          std::string f;
          if (dockbend::join(m, a, f) != MergeResult::changed) return false;
          s.items.clear();
          for (auto& [k, i] : m)
            s.items.push_back(i);
          return true;
        };
        break;
      case Wish::join:
        if (left_.joins == 0 || arg >= all) return false;
        --left_.joins;
        change = joining(arg);
        break;
      case Wish::leave: {
        Member const* m = arg < all ? b->member(address(arg)) : nullptr;
        if (left_.leaves == 0 || m == nullptr || !may_leave(*b, arg)) return false;
        --left_.leaves;
        change = leaving(arg, m->incarnation);
        break;
      }
      case Wish::join_all: {
        std::vector<Proposer::Change> v;
        for (u32 i = 0; i < all; ++i)
          if (Member const* m = b->member(address(i)); m == nullptr || m->incarnation != nodes_[i].acc.incarnation())
            v.push_back(joining(i));
        if (left_.joins < v.size() || v.empty()) return false;
        left_.joins -= static_cast<u32>(v.size());
        change = [v](ReplicatedState& s) {
          bool any = false;
          for (auto const& c : v)
            any = c(s) || any;
          return any;
        };
        break;
      }
      case Wish::swap: {
        u32 const in = arg >> 4, out = arg & 15;
        Member const* m = out < all ? b->member(address(out)) : nullptr;
        if (left_.swaps == 0 || in >= all || m == nullptr || !may_leave(*b, out)) return false;
        --left_.swaps;
        change = [a = joining(in), d = leaving(out, m->incarnation)](ReplicatedState& s) { return a(s) && d(s); };
        break;
      }
      default: return false;
    }
    --left_.proposals;
    n.wish = w;
    n.arg = arg;
    n.open = true;
    n.prop.abandon();
    // Answers to a round that is over say nothing to a proposer.
    std::erase_if(bag_,
                  [&](MsgP const& m) { return m->to == x && (m->kind() == Kind::prepR || m->kind() == Kind::accR); });
    n.prop.saw(n.acc.promised());
    std::optional<Epoch> known = n.committed ? std::optional<Epoch>(n.committed->epoch) : std::nullopt;
    if (F::steps_on_unwon_step) known = b->epoch;
    outs(x, n.prop.begin(ReplicatedState(*b), change, 0, known));
    return true;
  }

  // ---- what is won -------------------------------------------------------------------
  void note_won(ReplicatedState const& v) {
    note_value(v);
    auto on = [&](Member const& m) { return taken_.count({v.ballot.v, node_at(m.ip), m.incarnation.v}) > 0; };
    auto majority = [&](std::vector<Member> const& l) {
      return static_cast<std::size_t>(std::count_if(l.begin(), l.end(), on)) > l.size() / 2;
    };
    auto const at =
        std::lower_bound(won_.begin(), won_.end(), v.ballot, [](StateP const& s, Ballot b) { return s->ballot < b; });
    if (at != won_.end() && (*at)->ballot == v.ballot) return;
    if (v.ballot.v != 0) {
      if (!majority(v.membership)) fail("won on too few disks of its roster");
      if (at != won_.begin() && !majority((*(at - 1))->membership)) fail("won on too few disks of the roster before");
    }
    auto const here = won_.insert(at, std::make_shared<ReplicatedState const>(v));
    for (auto it = won_.begin(); it != won_.end(); ++it) {
      if (it < here) follows(**it, v);
      if (it > here) follows(v, **it);
    }
  }
  void follows(ReplicatedState const& a, ReplicatedState const& b) {
    auto const x = a.by_key(), y = b.by_key();
    for (auto const& [k, i] : x) {
      auto const it = y.find(k);
      if (it == y.end()) return fail("what was won is lost");
      if (it->second.gen < i.gen) return fail("what was won went back");
      if (it->second.gen == i.gen && it->second.body != i.body) return fail("two outcomes for one number");
    }
    if (b.epoch < a.epoch) fail("the roster went back");
  }
  void learn(u32 x, ReplicatedState const& s) {
    Node& n = nodes_[x];
    if (n.committed && n.committed->ballot >= s.ballot) return;
    n.committed = std::make_shared<ReplicatedState const>(s);
    n.prop.saw(s.ballot);
    if (n.acc.learn(s)) flush(x);
  }
  // a tells b its newest value: as a delta where b has one, else whole.
  bool learn_from(u32 a, u32 b) {
    Node& n = nodes_[b];
    StateP const s = nodes_[a].committed;
    if (!s || cut_.count({a, b}) > 0 || (n.committed && n.committed->ballot >= s->ballot)) return false;
    if (n.acc.state() && n.acc.state()->ballot == s->ballot) {
      learn(b, ReplicatedState(*n.acc.state()));
      return true;
    }
    if (n.committed) {
      ReplicatedState t = *n.committed;
      if (!apply(t, codec::unpack<StateDelta>(codec::pack(delta_of(*n.committed, *s)))) ||
          codec::pack(t) != codec::pack(*s))
        fail("a delta gives another value");
    }
    learn(b, *s);
    return true;
  }
  // b hears what is on a's disk.
  bool tell(u32 a, u32 b) {
    Node& n = nodes_[b];
    Disk const& d = nodes_[a].disk;
    if (left_.tells == 0 || !d.st || cut_.count({a, b}) > 0) return false;
    if (n.heard[a] == std::pair(d.incarnation, d.st->ballot)) return false;
    --left_.tells;
    n.heard[a] = {d.incarnation, d.st->ballot};
    if (!n.acc.state() || (n.committed && n.acc.state()->ballot <= n.committed->ballot)) return true;
    ReplicatedState s = *n.acc.state();
    auto on_disk = [&](Member const& m) {
      u32 const i = node_at(m.ip);
      if (i == b) return n.disk.st && n.disk.st->ballot >= s.ballot && m.incarnation == n.disk.incarnation;
      return n.heard[i].first == m.incarnation && n.heard[i].second == s.ballot;
    };
    ReplicatedState judged = s;
    if (F::learns_by_new_roster_only) judged.previous_membership.clear();
    if (!judged.stands(on_disk)) return true;
    note_won(s);
    learn(b, s);
    return true;
  }

  Bounds left_;
  std::vector<Node> nodes_;
  std::vector<MsgP> bag_;  // by id, each once
  std::set<std::pair<u32, u32>> cut_;
  u64 next_life_ = 0;
  // What has been, to judge by.
  std::vector<StateP> won_;  // by ballot
  std::map<u64, u64> values_;
  std::set<std::tuple<u64, u32, u64>> taken_;  // ballot, node, life: on disk once
  std::string breach_;
};

}  // namespace dockbend::model_checking
