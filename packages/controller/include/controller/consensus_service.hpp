// The desk of the register: our disk's vote, our own rounds, the value in force and
// who is told of it.
#pragma once
#include <sys/stat.h>

#include <algorithm>
#include <deque>

#include "consensus/proposer.hpp"
#include "consensus/round_timeout.hpp"
#include "consensus/state_chunk.hpp"
#include "controller/controller_context.hpp"

namespace dockbend {

// Invariants: nothing is said in a life's name before that life is on disk; durable is
// the ballot of the newest value on our own disk; calls wait in their order, and those of
// a round that was lost come before the ones that came later.
class RegisterDesk {
 public:
  explicit RegisterDesk(House& h)
      : h_(h),
        proposer_(h.st.ip, [this](Ballot have,
                                  Ballot bal) { return accepted() == bal ? h_.acceptor->since(have) : std::nullopt; }),
        patience_((h.st.linkMbps > 0 ? h.st.linkMbps : 10) * 1e6 / 8) {}

  sigc::signal<void()> on_view;          // the view changed; before the nodes we feed hear of it
  sigc::signal<void(bool)> on_value;     // a value is in force; true: its roster is another
  sigc::signal<void()> on_first_failed;  // the disk took no first write

  // Opens the disk and reads back what it holds. A disk that can't be read whole is as one
  // that was lost: it begins a new life, and has no vote until the roster names that.
  OnDisk open() {
    std::string const dir = h_.st.dataDir.empty() ? std::string("/tmp") : h_.st.dataDir;
    ::mkdir(dir.c_str(), 0755);
    OnDisk d;
    try {
      h_.vellum = std::make_unique<Vellum>(h_.eb, dir);
      d = h_.vellum->load();
    } catch (Unreadable const& e) {
      LOG4CPLUS_ERROR(
          lg_, "The register in " << dir << " can't be read whole (" << e.what() << "); this disk begins a new life.");
      h_.vellum.reset();
      Store::set_aside(dir);
      h_.vellum = std::make_unique<Vellum>(h_.eb, dir);
      d = h_.vellum->load();
    }
    bool const seed =
        std::any_of(h_.st.seeds.begin(), h_.st.seeds.end(), [&](Addr const& a) { return a.ip == h_.st.ip; });
    // An empty disk is a new member, unless the system itself begins here.
    bool const founder = d.fresh && h_.st.bootstrap && seed;
    Life const l = d.head ? d.head->life : founder ? Life(1) : Life((random64() >> 2) | 2);
    bool const first = !d.head;
    if (first) d.keys_filled = founder ? 1 : 0;  // a founder is of membership 0
    if (!d.value && d.fresh && h_.st.bootstrap) {
      State f;
      for (Addr const& a : h_.st.seeds) {
        Member m;
        m.ip = a.ip;
        m.life = Life(1);
        m.control = a.port;
        m.whole = true;
        f.roster.push_back(m);
      }
      std::sort(f.roster.begin(), f.roster.end(), [](Member const& a, Member const& b) { return a.ip < b.ip; });
      d.value = f;
    }
    // Only at the very first start is the founding value known to be the newest.
    if (first && d.value) h_.committed = d.value;
    h_.acceptor = std::make_unique<Acceptor>(l, d.head ? d.head->promised : Ballot(), d.value);
    if (d.head) proposer_.saw(d.head->promised);
    if (!first && d.value) durable_ = d.value->bal;
    writer_ = std::make_unique<VoteWriter<Vellum>>(*h_.vellum, d.head ? d.head->seq : 0);
    if (!first) {
      h_.born = true;
      return d;
    }
    if (founder) h_.vellum->submit_lazy({Vellum::put_meta("whole", Store::whole_word(d.keys_filled))});
    std::vector<ValueRow> rows;
    if (d.value) rows = rows_of(*d.value);
    vote(std::move(rows), [this](bool ok) {
      if (!ok) on_first_failed.emit();
      h_.born = ok;
    });
    return d;
  }
  // What was read back and is known to stand is in force from the start.
  void show_first() {
    if (!h_.committed) return;
    show(nullptr, *h_.committed);
    on_value.emit(false);
  }

  Ballot bal() const { return h_.committed ? h_.committed->bal : Ballot(); }
  Ballot accepted() const { return h_.acceptor->state() ? h_.acceptor->state()->bal : Ballot(); }
  Ballot durable() const { return durable_; }
  bool quiet() const { return calls_.empty() && batch_.empty(); }

  void submit(std::function<bool(State&)> change, std::function<void(State const*)> done, Secs patience) {
    calls_.push_back(Call{std::move(change), std::move(done), now_s() + patience});
    pump();
  }

  // ---- other members -----------------------------------------------------------------
  // What mates say of the value they hold on disk. Once a majority holds ours, it
  // is committed; after a start of the whole core nobody else could tell us.
  void holds(std::string const& ip, Life life, Ballot acc) {
    Mate& m = h_.mate(ip);
    m.life = life;
    m.accepted = acc;
    if (!h_.acceptor->state() || accepted() <= bal()) return;
    State const& s = *h_.acceptor->state();
    auto on_disk = [&](Member const& x) {
      if (x.ip == h_.st.ip) return durable_ >= s.bal && x.life == h_.acceptor->life();
      auto const it = h_.mates.find(x.ip);
      return it != h_.mates.end() && it->second.life == x.life && it->second.accepted == s.bal;
    };
    if (s.stands(on_disk)) learn(State(s));
  }
  // The way to a mate is up: what it missed of our round, and what we may have missed.
  void reached(std::string const& ip, Link& l) {
    for (auto& o : proposer_.resend(ip))
      send_out(o);
    l.send(Kind::pull, 0, lacks());
  }
  // A mate has the value of b in force.
  void ahead(Mate& m, Ballot b, Secs now) {
    if (b <= bal()) return;
    if (h_.acceptor->state() && h_.acceptor->state()->bal == b) {
      learn(*h_.acceptor->state());
    } else if (now - m.pulled > 0.25 && now - piece_at_ > 1.0) {
      m.pulled = now;
      m.link->send(Kind::pull, 0, lacks());
    }
  }
  // A piece of the value in force at a mate; the next is asked of the same one.
  void piece(std::string const& ip, Piece const& x, Secs now) {
    if (x.part.bal <= bal()) return;
    check_ballot(x.part.bal);
    Gather::Took const t = gather_.take(x);
    if (t.whole) check_value(*t.whole);
    if (t.whole) return learn(*t.whole);
    if (!t.used) return;
    piece_at_ = now;
    if (h_.mates.count(ip) > 0 && h_.mates[ip].link) h_.mates[ip].link->send(Kind::pull, 0, lacks());
  }
  void on_prep(std::string const& ip, PrepR const& r) {
    patience_.answered(ip, now_s());
    outs(proposer_.on_prep(ip, r));
  }
  void on_acc(std::string const& ip, AccR const& r) {
    patience_.answered(ip, now_s());
    outs(proposer_.on_acc(ip, r));
  }
  void prep(Peer& p, u32 tag, Prep const& q, Secs now) {
    if (!h_.born) return;
    PrepR r;
    Acceptor::Step s = h_.acceptor->prepare(q, r);
    if (r.ok) give_way(r.bal, now);
    reply_after(p.ch, Kind::prepR, tag, r, std::move(s));
  }
  void acc(Peer& p, u32 tag, Acc const& a) {
    if (!h_.born) return;
    AccR r;
    Acceptor::Step s = h_.acceptor->accept(a, r);
    reply_after(p.ch, Kind::accR, tag, r, std::move(s));
  }
  void pull(Peer& p, Pull const& q) {
    if (!h_.committed) return;
    Ballot const have = q.have;
    if (p.hello.role == 2) {
      if (h_.view.bal > have || h_.view.bal.v == 0) p.ch->send(lacking(have));
      return;
    }
    if (h_.committed->bal < q.won || (h_.committed->bal == q.won && h_.committed->bal.v != 0)) return;
    Commit c;
    c.bal = h_.committed->bal;
    // Who holds this value needs to hear only that it was won.
    if (have != c.bal || have == Ballot(0)) {
      std::optional<Delta> const d = accepted() == c.bal ? h_.acceptor->since(have) : std::nullopt;
      if (d) {
        c.delta = codec::pack(*d);
      } else {
        auto const since = [&](Ballot b) { return accepted() == c.bal ? h_.acceptor->since(b) : std::nullopt; };
        RowSum const sum = accepted() == c.bal ? h_.acceptor->sum() : rows_between(nullptr, *h_.committed).sum;
        Piece const x = piece_of(*h_.committed, sum, q.part, q.after, since, piece_bytes);
        if (x.base != Ballot(0) || !x.last) {
          p.ch->send(Kind::piece, 0, x);
          return;
        }
        c.state = codec::pack(*h_.committed);
      }
    }
    p.ch->send(Kind::commitR, 0, c);
  }
  // What a node that has the view of `have` lacks of ours.
  Parcel lacking(Ballot have) {
    bool const some = have.v != 0 && have >= changed_since_ && have < h_.view.bal;
    // After a loss of power everybody lacks all of it: it is made ready once.
    if (!some && whole_of_ == h_.view.bal && !whole_.empty()) return whole_;
    Commit c;
    c.bal = h_.view.bal;
    if (some) {
      Delta d;
      d.base = have;
      d.bal = d.open = h_.view.bal;
      d.epoch = h_.view.epoch;
      for (Item const& i : h_.view.items)
        if (auto const it = changed_.find(i.key); it != changed_.end() && it->second > have) d.items.push_back(i);
      d.evacs_set = d.roster_set = d.duties_set = true;
      d.evacs = h_.view.evacs;
      d.roster = h_.view.roster;
      d.duties = h_.view.duties;
      d.to_fix = h_.view.to_fix;
      c.delta = codec::pack(d);
    } else {
      c.state = codec::pack(h_.view);
    }
    Parcel p = parcel(Kind::commitR, codec::pack(c));
    if (!some) {
      whole_ = p;
      whole_of_ = h_.view.bal;
    }
    return p;
  }

  void commit(Commit const& c, std::string const& from) {
    if (c.bal <= bal()) return;
    if (!c.state.empty()) {
      State const s = read_state(c.state);
      if (s.bal != c.bal) throw codec::Malformed("a value under another ballot");
      learn(s);
      return;
    }
    if (h_.acceptor->state() && h_.acceptor->state()->bal == c.bal) {
      learn(*h_.acceptor->state());
      return;
    }
    if (!c.delta.empty()) {
      Delta const d = read_delta(c.delta);
      State const* const base = d.base == bal() && h_.committed                ? &*h_.committed
                                : d.base == accepted() && h_.acceptor->state() ? &*h_.acceptor->state()
                                                                               : nullptr;
      if (base != nullptr) {
        State s = *base;
        apply(s, d);
        learn(s);
        return;
      }
    }
    if (h_.mates.count(from) > 0 && h_.mates[from].link) h_.mates[from].link->send(Kind::pull, 0, lacks());
  }

  // ---- time --------------------------------------------------------------------------
  void begin(Secs now) { finish_at_ = now + 0.2 + 0.6 * random01(); }
  void tick(Secs now) {
    if (!proposer_.idle() && now - proposer_.since() > round_patience()) {
      proposer_.abandon();
      std::vector<Call> b;
      b.swap(batch_);
      for (auto it = b.rbegin(); it != b.rend(); ++it)
        calls_.push_front(std::move(*it));
    }
    pump();
  }
  // A value accepted but not known to be committed is brought to an end.
  void finish(Secs now) {
    if (h_.acceptor->state() && (!h_.committed || accepted() > bal())) {
      if (finish_at_ == 0) finish_at_ = now + 0.8 + 0.8 * random01();
      if (now > finish_at_ && calls_.empty() && proposer_.idle()) {
        finish_at_ = now + 1.0 + random01();
        submit([](State&) { return false; }, [](State const*) {}, 1.5);
      }
    } else {
      finish_at_ = 0;
    }
  }

 private:
  static std::size_t constexpr piece_bytes = 256 * 1024;
  struct Call {
    std::function<bool(State&)> change;
    std::function<void(State const*)> done;  // null: not known to stand
    Secs until = 0;
  };

  Pull lacks() const {
    return Pull{best() != nullptr ? best()->bal : Ballot(), bal(), gather_.have(), gather_.after()};
  }

  // Our vote as it is now, with what it changed of the value.
  void vote(std::vector<ValueRow> rows, std::function<void(bool)> done) {
    writer_->write(h_.acceptor->head(), std::move(rows), std::move(done));
  }

  template <class R>
  void reply_after(ChannelP const& ch, Kind k, u32 tag, R const& r, Acceptor::Step s) {
    if (!s.write) {
      ch->send(k, tag, r);
      return;
    }
    std::weak_ptr<Channel> const w = ch;
    vote(std::move(s.rows), [this, w, k, tag, r, b = accepted()](bool ok) {
      if (!ok) return;  // a disk that takes nothing does not vote
      durable_ = std::max(durable_, b);
      if (auto const c = w.lock()) c->send(k, tag, r);
    });
  }

  State const* best() const {
    State const* b = h_.committed ? &*h_.committed : nullptr;
    if (h_.acceptor->state() && (b == nullptr || h_.acceptor->state()->bal > b->bal)) b = &*h_.acceptor->state();
    return b;
  }

  // Another's round is under way: two that outbid each other would both be late.
  // The wait is only courtesy; safety never rests on it.
  void give_way(Ballot b, Secs now) {
    way_for_ = b;
    way_until_ = now + 0.4 + 0.2 * random01();
  }

  void pump() {
    Secs const now = now_s();
    if (!proposer_.idle() || now < next_round_ || now < way_until_ || !h_.born) return;
    while (!calls_.empty() && calls_.front().until < now) {
      Call const c = std::move(calls_.front());
      calls_.pop_front();
      c.done(nullptr);
    }
    State const* b = best();
    if (calls_.empty() || b == nullptr) return;
    batch_.clear();
    while (!calls_.empty()) {
      batch_.push_back(std::move(calls_.front()));
      calls_.pop_front();
    }
    proposer_.saw(h_.acceptor->promised());
    patience_.begin();
    outs(proposer_.begin(
        *b,
        [this](State& s) {
          bool any = false;
          for (Call& c : batch_)
            any = c.change(s) || any;
          return any;
        },
        now, h_.committed ? std::optional<Epoch>(h_.committed->epoch) : std::nullopt));
  }

  Secs round_patience() const {
    std::vector<std::string> v;
    for (Member const& m : proposer_.base().roster)
      if (m.ip != h_.st.ip) v.push_back(m.ip);
    return patience_.of(v);
  }

  void outs(std::vector<Proposer::Out> const& v) {
    for (auto const& o : v)
      send_out(o);
    round_over();
  }

  void send_out(Proposer::Out const& o) {
    if (o.ip == h_.st.ip) {
      if (!h_.born) return;
      if (o.is_prep) {
        PrepR r;
        Acceptor::Step s = h_.acceptor->prepare(o.prep, r);
        if (!s.write) {
          after(h_.eb, 0, [this, r] { outs(proposer_.on_prep(h_.st.ip, r)); });
          return;
        }
        vote(std::move(s.rows), [this, r](bool ok) {
          if (ok) outs(proposer_.on_prep(h_.st.ip, r));
        });
      } else {
        AccR r;
        Acceptor::Step s = h_.acceptor->accept(o.acc, r);
        if (!s.write) {
          after(h_.eb, 0, [this, r] { outs(proposer_.on_acc(h_.st.ip, r)); });
          return;
        }
        vote(std::move(s.rows), [this, r, b = accepted()](bool ok) {
          if (!ok) return;
          durable_ = std::max(durable_, b);
          outs(proposer_.on_acc(h_.st.ip, r));
        });
      }
      return;
    }
    Mate& m = h_.mate(o.ip);
    if (!m.link) return;
    patience_.asked(o.ip, o.acc.state.size() + o.acc.delta.size(), now_s());
    if (o.is_prep)
      m.link->send(Kind::prep, 0, o.prep);
    else
      m.link->send(Kind::acc, 0, o.acc);
  }

  void round_over() {
    if (!proposer_.done() || batch_.empty()) return;
    std::vector<Call> b;
    b.swap(batch_);
    Secs const now = now_s();
    if (proposer_.won()) {
      State const from = proposer_.base();
      State const to = proposer_.value();
      losses_ = 0;
      Commit c;
      c.bal = to.bal;
      c.delta = proposer_.delta().empty() ? codec::pack(delta_of(from, to)) : proposer_.delta();
      Parcel const pc = parcel(Kind::commit, codec::pack(c));
      for (auto& [ip, m] : h_.mates)
        if (m.link) m.link->send(pc);
      learn(to);
      if (proposer_.changed())
        for (Call& x : b)
          x.done(&to);
      else  // another's step of the roster was brought to its end first
        for (auto it = b.rbegin(); it != b.rend(); ++it)
          calls_.push_front(std::move(*it));
    } else {
      ++losses_;
      next_round_ = now + (0.05 + 0.15 * random01()) * std::min(losses_, 6);
      for (auto it = b.rbegin(); it != b.rend(); ++it)
        calls_.push_front(std::move(*it));
    }
    after(h_.eb, std::max(0.0, next_round_ - now), [this] { pump(); });
  }

  // Takes a committed value: in force from now on.
  void learn(State const& s) {
    if (h_.committed && s.bal <= h_.committed->bal) return;
    std::optional<State> const old = std::move(h_.committed);
    h_.committed = s;
    proposer_.saw(s.bal);
    if (s.bal >= way_for_ && way_until_ > 0) {
      way_until_ = 0;
      after(h_.eb, 0.02 * random01(), [this] { pump(); });
    }
    if (Acceptor::Step w = h_.acceptor->learn(s))
      vote(std::move(w.rows), [this, b = s.bal](bool ok) {
        if (ok) durable_ = std::max(durable_, b);
      });
    for (Member const& m : s.roster)
      h_.mate(m.ip);
    show(old ? &*old : nullptr, s);
    bool const moved = !old || old->epoch != s.epoch;
    if (moved) LOG4CPLUS_INFO(lg_, "Roster of " << s.roster.size() << ".");
    on_value.emit(moved);
  }

  // Tells the nodes we feed what they go by, if it changed, and remembers when each
  // item did, so that who missed some gets just those.
  void show(State const* old, State const& s) {
    if (old != nullptr && s.open == h_.view.bal && h_.view.bal.v != 0) return;
    State const was = std::move(h_.view);
    h_.view = view_of(s);
    on_view.emit();
    News n;
    if (old == nullptr) {
      changed_since_ = h_.view.bal;
      n.state = codec::pack(h_.view);
      for (Item const& i : h_.view.items)
        see_partner(i);
    } else {
      Delta const d = delta_of(was, h_.view);
      for (Item const& i : d.items) {
        changed_[i.key] = h_.view.bal;
        see_partner(i);
      }
      n.delta = codec::pack(d);
    }
    Parcel const pc = parcel(Kind::news, codec::pack(n));
    for (auto& [id, p] : h_.peers)
      if (p.feeding) p.ch->send(pc);
  }

  void see_partner(Item const& i) {
    if (i.key[0] == 'c') h_.partners.put(i);
  }

  House& h_;
  Proposer proposer_;
  Patience patience_;
  Gather gather_;       // of a value that comes in pieces
  Secs piece_at_ = -1;  // when the last one came
  std::unique_ptr<VoteWriter<Vellum>> writer_;
  std::deque<Call> calls_;
  std::vector<Call> batch_;
  Parcel whole_;  // the whole view, ready to send
  Ballot whole_of_;
  Ballot changed_since_;                   // from here on `changed_` is whole
  std::map<std::string, Ballot> changed_;  // item -> view that last changed it
  Ballot durable_;                         // of the newest value on our own disk
  int losses_ = 0;
  Ballot way_for_;
  Secs way_until_ = 0, finish_at_ = 0, next_round_ = 0;
  log4cplus::Logger lg_ = log4cplus::Logger::getInstance("archivist");
};

}  // namespace dockbend
