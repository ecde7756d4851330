// A model of claims on one key across rosters: the real Ledger, Quest, Filling and the
// State's admit and dismiss. The rounds that move the roster are cut down to who has
// accepted the step (registers.hpp has them whole).
#pragma once
#include <map>
#include <memory>
#include <set>

#include "idempotency/key_backfill.hpp"
#include "model_checking/explore.hpp"
#include "model_checking/faults.hpp"
#include "model_checking/model_values.hpp"

namespace dockbend::model_checking {

// Judged: no two holders ever win the key.
template <class F>
class IdempotencyModel {
 public:
  enum class Do : u8 {
    ask_in,
    step,
    abandon,
    move,
    learn,
    view,
    claim,
    hear,
    give_up,
    release,
    copy,
    copied,
    restart,
    wipe,
    sync
  };
  static constexpr std::array<char const*, 15> words{"ask_in", "step",   "abandon", "move",    "learn",
                                                     "view",   "claim",  "hear",    "give_up", "release",
                                                     "copy",   "copied", "restart", "wipe",    "sync"};

  explicit IdempotencyModel(Bounds const& p) : left_(p) {
    ReplicatedState f;
    for (u32 i = 0; i < p.nodes; ++i) {
      Member m;
      m.ip = address(i);
      m.incarnation = Incarnation(1);
      m.whole = true;
      f.membership.push_back(m);
    }
    won_ = std::make_shared<ReplicatedState const>(f);
    for (u32 i = 0; i < p.nodes + p.spares; ++i) {
      bool const founder = i < p.nodes;
      Node n;
      n.disk.incarnation = n.incarnation = founder ? Incarnation(1) : Incarnation(10 + i);
      n.disk.filled = founder ? 1 : 0;
      n.filling = KeyBackfill(n.disk.filled);
      if (founder) n.disk.state = n.state = n.known = won_;
      n.ledger.set_whole(founder);
      nodes_.push_back(n);
    }
    askers_.resize(p.proposers);
    for (Asker& a : askers_)
      open(a);
  }

  std::string const& breach() const { return breach_; }
  static u32 weight(Action const& a) {
    static constexpr std::array<u32, 15> w{8, 10, 1, 25, 12, 4, 10, 6, 1, 6, 20, 6, 2, 4, 4};
    return w[a.what];
  }
  void settle() {}

  void actions(std::vector<Action>& v) const {
    auto add = [&](Do d, u32 a = 0, u32 b = 0, u32 c = 0) {
      v.push_back(Action{static_cast<u8>(d), static_cast<u8>(a), static_cast<u8>(b), static_cast<u8>(c), 0});
    };
    u32 const all = static_cast<u32>(nodes_.size());
    for (u32 x = 0; x < all; ++x) {
      Node const& n = nodes_[x];
      if (left_.joins > 0 && may_ask_in(x)) add(Do::ask_in, x);
      if (!pending_ && left_.leaves > 0)
        if (won_->member(address(x)) != nullptr) add(Do::step, 1, x);
      if (may_move(x)) {
        add(Do::move, x, 0);
        if (left_.lates > 0) add(Do::move, x, 1);
      }
      if (n.known != won_ && n.known_epoch() <= won_->epoch) add(Do::learn, x);
      if (n.state && n.known && !n.ledger.whole() && member_of(*n.known, x) != nullptr)
        for (u32 y = 0; y < all; ++y)
          if (y != x && n.filling.wants(address(y)) && n.known->member(address(y)) != nullptr) {
            add(Do::copy, x, y, 0);
            if (left_.holds > 0) add(Do::copy, x, y, 1);
          }
      if (left_.restarts > 0) add(Do::restart, x);
      if (left_.wipes > 0 && may_wipe(x)) add(Do::wipe, x);
      if (n.waits()) add(Do::sync, x);
    }
    if (!pending_)
      for (u32 i = 0; i < asked_.size(); ++i)
        add(Do::step, 0, i);
    else if (left_.drops > 0)
      add(Do::abandon);
    for (u32 h = 0; h < askers_.size(); ++h) {
      Asker const& a = askers_[h];
      if (a.over) {
        for (u32 x = 0; x < all; ++x)
          if (a.sent >> x & 1) add(Do::release, h, x);
        continue;
      }
      if (a.view != won_) add(Do::view, h);
      for (Member const& m : a.view->membership) {
        u32 const x = node_at(m.ip);
        if (a.heard >> x & 1) continue;
        add(Do::claim, h, x, 0);
        if (left_.holds > 0) add(Do::claim, h, x, 1);
      }
      if (left_.repeats > 0 && !a.won) add(Do::give_up, h);
    }
    for (u32 i = 0; i < answers_.size(); ++i)
      add(Do::hear, i);
    for (u32 i = 0; i < copies_.size(); ++i)
      add(Do::copied, i);
  }

  bool step(Action const& a) {
    if (a.what >= words.size() || !breach_.empty()) return false;
    u32 const all = static_cast<u32>(nodes_.size());
    auto spend = [](u32& n) { return n > 0 && n-- > 0; };
    switch (static_cast<Do>(a.what)) {
      case Do::ask_in: return a.a < all && may_ask_in(a.a) && spend(left_.joins) && ask_in(a.a);
      case Do::step: return a.a == 0 ? a.b < asked_.size() && begin_step(asked_[a.b]) : a.b < all && begin_leave(a.b);
      case Do::abandon:
        if (!pending_ || !spend(left_.drops)) return false;
        pending_.reset();
        moved_.clear();
        return true;
      case Do::move:
        if (a.a >= all || !may_move(a.a) || (a.b != 0 && !spend(left_.lates))) return false;
        nodes_[a.a].state = pending_;
        if (a.b == 0) sync(a.a);
        return true;
      case Do::learn: {
        if (a.a >= all || nodes_[a.a].known == won_) return false;
        Node& n = nodes_[a.a];
        bool const other = !n.known || n.known->epoch != won_->epoch;
        n.known = won_;
        if (!n.state || n.state->ballot < won_->ballot) n.state = won_;
        if (other) n.filling.reset();
        fit(a.a);
        sync(a.a);
        return true;
      }
      case Do::view: {
        if (a.a >= askers_.size() || askers_[a.a].over || askers_[a.a].view == won_) return false;
        open(askers_[a.a]);
        return true;
      }
      case Do::claim:
        return a.a < askers_.size() && a.b < all && (a.c == 0 || spend(left_.holds)) && claim(a.a, a.b, a.c != 0);
      case Do::hear: {
        if (a.a >= answers_.size()) return false;
        Answer const r = answers_[a.a];
        answers_.erase(answers_.begin() + a.a);
        hear(r);
        return true;
      }
      case Do::give_up:
        if (a.a >= askers_.size() || askers_[a.a].over || askers_[a.a].won || !spend(left_.repeats)) return false;
        askers_[a.a].over = true;
        return true;
      case Do::release: {
        if (a.a >= askers_.size() || a.b >= all || !askers_[a.a].over || !(askers_[a.a].sent >> a.b & 1)) return false;
        Asker& h = askers_[a.a];
        h.sent &= ~(1U << a.b);
        ReleaseRequest r;
        r.key = "k";
        r.holder = holder(a.a);
        if (nodes_[a.b].ledger.release(r)) nodes_[a.b].key.reset();  // the disk hears of it with its next write
        return true;
      }
      case Do::copy: return a.a < all && a.b < all && (a.c == 0 || spend(left_.holds)) && copy(a.a, a.b, a.c != 0);
      case Do::copied: {
        if (a.a >= copies_.size()) return false;
        Copy const c = copies_[a.a];
        copies_.erase(copies_.begin() + a.a);
        copied(c);
        return true;
      }
      case Do::restart:
        if (a.a >= all || !spend(left_.restarts)) return false;
        start(a.a);
        return true;
      case Do::wipe:
        if (a.a >= all || !may_wipe(a.a) || !spend(left_.wipes)) return false;
        nodes_[a.a].disk = Disk{};
        nodes_[a.a].disk.incarnation = Incarnation(100 + next_life_++);
        start(a.a);
        return true;
      case Do::sync:
        if (a.a >= all || !nodes_[a.a].waits()) return false;
        sync(a.a);
        return true;
    }
    return false;
  }

  u64 digest() const {
    u64 h = mixed(won_->ballot.v, pending_ ? pending_->ballot.v : 0);
    for (auto const& [x, l] : moved_)
      h = mixed(h, x << 20 | l);
    auto ballot = [](StateP const& s) { return s ? s->ballot.v + 1 : 0; };
    for (Node const& n : nodes_) {
      for (u64 const x : {n.incarnation.v, ballot(n.state), ballot(n.known), ballot(n.disk.state), n.disk.filled,
                          n.filling.filled(), u64{n.ledger.whole()}})
        h = mixed(h, x);
      for (auto const* k : {&n.key, &n.disk.key})
        h = mixed(h, *k ? (**k).holder << 1 | (**k).sealed : 1000);
      for (u32 y = 0; y < nodes_.size(); ++y)
        h = mixed(h, n.filling.wants(address(y)));
      for (Answer const& r : n.late)
        h = mixed(h, tag(r));
    }
    for (Asker const& a : askers_) {
      h = mixed(h, a.view->ballot.v);
      h = mixed(h, u64{a.sent} << 40 | u64{a.heard} << 20 | a.over << 1 | a.won);
      h = mixed(h, a.quest.grants() << 8 | a.quest.refusals());
    }
    for (Answer const& r : answers_)
      h = mixed(h, tag(r));
    for (Copy const& c : copies_)
      h = mixed(mixed(h, c.from << 8 | c.to), codec::pack(c.r));
    for (Member const& m : asked_)
      h = mixed(h, codec::pack(m));
    for (BoundsField const& f : kBoundsFields)
      h = mixed(h, left_.*f.at);
    return h;
  }

  std::string describe(Action const& a) const {
    auto name = [](u32 i) { return std::string(1, static_cast<char>('A' + i)); };
    auto asker = [&](u32 i) { return "holder " + std::to_string(i + 1); };
    std::string const waits = a.c != 0 ? ", answer waits" : "";
    switch (static_cast<Do>(a.what)) {
      case Do::ask_in: return name(a.a) + " asks to be taken in, or says that it is whole";
      case Do::step:
        return a.a == 0 ? (a.b < asked_.size() ? "a round begins with what " + name(node_at(asked_[a.b].ip)) + " asked"
                                               : std::string())
                        : "a round begins that takes " + name(a.b) + " out";
      case Do::abandon: return "the round is given up";
      case Do::move: return name(a.a) + " accepts the step" + (a.b != 0 ? ", write waits" : "");
      case Do::learn: return name(a.a) + " learns the newest value won";
      case Do::view: return asker(a.a) + " sees the newest roster";
      case Do::claim: return asker(a.a) + " claims on " + name(a.b) + waits;
      case Do::hear: return "an answer on its way arrives";
      case Do::give_up: return asker(a.a) + " gives up";
      case Do::release: return asker(a.a) + "'s release reaches " + name(a.b);
      case Do::copy: return name(a.a) + " copies from " + name(a.b) + waits;
      case Do::copied: return "a copy on its way arrives";
      case Do::restart: return name(a.a) + " restarts";
      case Do::wipe: return name(a.a) + " loses its disk";
      case Do::sync: return name(a.a) + "'s disk takes what waits";
    }
    return "";
  }

 private:
  using StateP = std::shared_ptr<ReplicatedState const>;
  struct Entry {
    u64 holder = 0;
    bool sealed = false;
  };
  struct Answer {
    u32 by = 0, asker = 0;
    ClaimResponse r;
  };
  struct Copy {
    u32 from = 0, to = 0;
    KeyCopyResponse r;
  };
  struct Disk {
    Incarnation incarnation;
    StateP state;
    u64 filled = 0;
    std::optional<Entry> key;
  };
  struct Node {
    Incarnation incarnation;
    StateP state, known;  // accepted; known to be won
    KeyTable ledger{false};
    KeyBackfill filling{0};
    std::optional<Entry> key;  // as the ledger has it
    Disk disk;
    std::vector<Answer> late;
    Epoch known_epoch() const { return known ? known->epoch : Epoch(0); }
    bool waits() const { return !late.empty() || disk.state != state; }
  };
  struct Asker {
    StateP view;
    ClaimQuorum quest{1, Epoch(0)};
    u32 sent = 0, heard = 0;
    bool over = false, won = false;
  };

  static u64 holder(u32 h) { return 11 + h; }
  static u64 tag(Answer const& r) { return mixed(r.by << 8 | r.asker, codec::pack(r.r)); }
  Member const* member_of(ReplicatedState const& s, u32 x) const {
    Member const* m = s.member(address(x));
    return m != nullptr && m->incarnation == nodes_[x].incarnation ? m : nullptr;
  }
  u64 membership(ReplicatedState const& s, u32 x) const {
    Member const* m = member_of(s, x);
    return KeyBackfill::membership(m == nullptr ? std::nullopt : std::optional<Epoch>(m->since));
  }
  void fit(u32 x) {
    Node& n = nodes_[x];
    if (!n.state) return;
    if (F::returns_as_whole)
      n.ledger.set_whole(n.filling.filled() != 0);
    else
      n.filling.fit(membership(*n.state, x), n.ledger);
  }
  // All that waits is on disk now, in order.
  void sync(u32 x) {
    Node& n = nodes_[x];
    n.disk.state = n.state;
    n.disk.key = n.key;
    std::vector<Answer> late;
    late.swap(n.late);
    for (Answer const& r : late)
      answers_.push_back(r);
    if (pending_ && n.state == pending_) {
      moved_.insert({x, n.incarnation.v});
      auto moved = [&](Member const& m) { return moved_.count({node_at(m.ip), m.incarnation.v}) > 0; };
      ReplicatedState s = *pending_;
      s.previous_membership = won_->membership;
      if (s.is_held_by_quorum(moved)) {
        won_ = pending_;
        pending_.reset();
        moved_.clear();
      }
    }
  }
  void start(u32 x) {
    Node& n = nodes_[x];
    Disk const d = n.disk;
    n = Node();
    n.disk = d;
    n.incarnation = d.incarnation;
    n.state = d.state;
    n.key = d.key;
    n.filling = KeyBackfill(d.filled);
    if (d.key) n.ledger.load("k", d.key->holder, d.key->sealed, 0);
    fit(x);
  }
  bool may_wipe(u32 x) const {
    for (StateP const& s : {won_, pending_}) {
      if (!s) continue;
      std::size_t whole = 0;
      for (Member const& m : s->membership) {
        u32 const i = node_at(m.ip);
        Disk const& d = nodes_[i].disk;
        whole += i != x && d.incarnation == m.incarnation && d.filled == KeyBackfill::membership(m.since) ? 1 : 0;
      }
      if (whole < s->majority()) return false;
    }
    return true;
  }

  // What MembershipService asks for; the word may lie with an usher for any time, or be repeated.
  bool may_ask_in(u32 x) const {
    if (!nodes_[x].known && won_->member(address(x)) != nullptr && member_of(*won_, x) != nullptr) return false;
    Member const m = asking(x);
    return std::none_of(asked_.begin(), asked_.end(),
                        [&](Member const& o) { return codec::pack(o) == codec::pack(m); });
  }
  Member asking(u32 x) const {
    Node const& n = nodes_[x];
    Member const* m = n.known ? member_of(*n.known, x) : nullptr;
    Member me;
    me.ip = address(x);
    me.incarnation = n.incarnation;
    me.whole = n.ledger.whole() && m != nullptr;
    if (m != nullptr) me.since = m->since;
    return me;
  }
  bool ask_in(u32 x) {
    asked_.push_back(asking(x));
    return true;
  }
  bool begin_step(Member const& m) {
    ReplicatedState s = *won_;
    return !pending_ && s.admit(m) && begin(std::move(s));
  }
  bool begin_leave(u32 x) {
    Member const* m = won_->member(address(x));
    if (pending_ || m == nullptr || left_.leaves == 0) return false;
    ReplicatedState s = *won_;
    if (F::shrinks_freely) s.largest_membership = 0;
    if (!s.remove_member(m->ip, Incarnation(m->incarnation))) return false;
    --left_.leaves;
    return begin(std::move(s));
  }
  // As the proposer does it: the ballot takes the place of what has no name yet.
  bool begin(ReplicatedState s) {
    s.ballot = Ballot(++ballot_);
    bool moved = s.membership.size() != won_->membership.size();
    for (Member& m : s.membership)
      if (m.since == kUnassignedEpoch) {
        m.since = Epoch(s.ballot.v);
        moved = true;
      }
    if (moved) {
      s.epoch = Epoch(s.ballot.v);
      pending_ = std::make_shared<ReplicatedState const>(std::move(s));
    } else {
      won_ = std::make_shared<ReplicatedState const>(std::move(s));  // a word of one member about itself
    }
    return true;
  }
  bool may_move(u32 x) const {
    return pending_ && nodes_[x].state != pending_ &&
           (member_of(*pending_, x) != nullptr || member_of(*won_, x) != nullptr);
  }

  void open(Asker& a) {
    a.view = won_;
    a.quest = ClaimQuorum(won_->membership.size(), won_->epoch);
    a.heard = 0;
  }
  bool claim(u32 h, u32 x, bool waits) {
    Asker& a = askers_[h];
    Member const* m = a.view->member(address(x));
    if (a.over || a.won || m == nullptr || (a.heard >> x & 1)) return false;
    a.sent |= 1U << x;
    a.heard |= 1U << x;
    Node& n = nodes_[x];
    if (m->incarnation != n.incarnation || !n.state) return true;
    ClaimRequest c;
    c.key = "k";
    c.holder = holder(h);
    c.epoch = a.view->epoch;
    c.incarnation = m->incarnation;
    Answer back{x, h, {}};
    back.r.incarnation = n.incarnation;
    fit(x);
    if (F::votes_before_whole) n.ledger.set_whole();
    if (F::ignores_epoch) c.epoch = n.state->epoch;
    if (n.ledger.claim(c, n.state->epoch, 0, back.r) == ClaimVote::granted) {
      n.ledger.written("k", c.holder, true);
      n.key = Entry{c.holder, false};
      sync(x);
    }
    if (F::ignores_epoch) back.r.epoch = a.view->epoch;
    if (waits)
      answers_.push_back(back);
    else
      hear(back);
    return true;
  }
  void hear(Answer const& r) {
    Asker& a = askers_[r.asker];
    Member const* m = a.view->member(address(r.by));
    if (a.over || a.won || m == nullptr || m->incarnation != r.r.incarnation) return;
    ClaimQuorum::Result const e = a.quest.hear(address(r.by), r.r);
    if (e == ClaimQuorum::Result::held) a.over = true;
    if (e != ClaimQuorum::Result::granted) return;
    a.won = true;
    if (std::count_if(askers_.begin(), askers_.end(), [](Asker const& x) { return x.won; }) > 1)
      breach_ = "two holders have won one key";
  }
  bool copy(u32 x, u32 y, bool waits) {
    Node& n = nodes_[x];
    if (!n.known || n.ledger.whole() || member_of(*n.known, x) == nullptr || !n.filling.wants(address(y))) return false;
    KeyCopyRequest q;
    q.epoch = F::copies_unmoved ? Epoch(0) : n.known->epoch;
    Node& o = nodes_[y];
    if (!F::copies_unsynced) sync(y);  // the answer waits for all that was handed to the disk before
    fit(y);
    Copy c{
        y, x,
        KeyBackfill::answer(o.ledger, o.incarnation, o.state ? std::optional<Epoch>(o.state->epoch) : std::nullopt, q)};
    if (F::copies_unmoved) c.r.epoch = n.known->epoch;
    if (waits)
      copies_.push_back(c);
    else
      copied(c);
    return true;
  }
  void copied(Copy const& c) {
    Node& n = nodes_[c.to];
    if (!n.known) return;
    Member const* m = n.known->member(address(c.from));
    std::size_t const most = n.known->majority() - (F::copies_from_too_few ? 1 : 0);
    KeyBackfill::Progress const s =
        n.filling.hear(address(c.from), c.r, m == nullptr ? std::nullopt : std::optional<Incarnation>(m->incarnation),
                       n.known->epoch, most, n.ledger, 0);
    for (HeldKey const& k : s.put)
      n.key = Entry{k.holder, true};
    if (s.enough) {
      n.disk.filled = membership(*n.known, c.to);
      n.filling.done(n.disk.filled);
      fit(c.to);
    }
    sync(c.to);
  }

  Bounds left_;
  StateP won_, pending_;
  std::set<std::pair<u32, u64>> moved_;  // who has the pending step on disk
  std::vector<Node> nodes_;
  std::vector<Asker> askers_;
  std::vector<Answer> answers_;
  std::vector<Copy> copies_;
  std::vector<Member> asked_;
  u64 ballot_ = 0, next_life_ = 0;
  std::string breach_;
};

}  // namespace dockbend::model_checking
