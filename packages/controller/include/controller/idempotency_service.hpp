// The desk of the keys: this disk's votes on them, first answers, and filling a new disk.
#pragma once
#include <deque>
#include <set>

#include "controller/controller_context.hpp"
#include "idempotency/key_backfill.hpp"

namespace dockbend {

class KeyDesk {
 public:
  // filled: the membership in which the disk's keys became whole, plus one; 0: they are not.
  // A disk that left the roster since is not whole, and no write has to say so.
  KeyDesk(House& h, u64 filled) : h_(h), ledger_(false), copying_(filled) { fit(h_.acceptor->state()); }

  // A new disk copies the keys of a majority of the others before it votes.
  void rebuild(Secs now) {
    if (ledger_.whole() || !h_.committed || now < rebuild_at_) return;
    Member const* me = h_.committed->member(h_.st.ip);
    if (me == nullptr || me->life != h_.acceptor->life()) return;
    rebuild_at_ = now + 0.7;
    Rebuild q;
    q.epoch = h_.committed->epoch;
    for (Member const& m : h_.committed->roster)
      if (m.ip != h_.st.ip && copying_.wants(m.ip) && h_.mate(m.ip).link) h_.mate(m.ip).link->send(Kind::rebuild, 0, q);
  }

  void rebuilt(std::string const& ip, RebuildR const& r) {
    if (filling_ || !h_.committed) return;
    State const& st = *h_.committed;
    Member const* m = st.member(ip);
    if (r.ok && r.epoch < st.epoch) h_.strays.drop(Stray::epoch);  // asked under an earlier roster
    Filling::Step const got = copying_.hear(ip, r, m == nullptr ? std::nullopt : std::optional<Life>(m->life), st.epoch,
                                            st.majority(), ledger_, now_s());
    std::vector<Vellum::Op> ops;
    for (HeldKey const& k : got.put)
      ops.push_back(key_op(k.key, k.holder, true));
    if (got.enough) {
      u64 const in = since_in(st);
      ops.push_back(Vellum::put_meta("whole", Store::whole_word(in)));
      filling_ = true;
      h_.vellum->submit(std::move(ops), [this, in](bool ok) {
        filling_ = false;
        if (!ok) {
          copying_.reset();
          return;
        }
        copying_.done(in);
        fit(h_.acceptor->state());
        if (!ledger_.whole()) return;  // out of the roster meanwhile
        on_whole.emit();
        LOG4CPLUS_INFO(lg_, "Keys are whole, " << ledger_.size() << " of them.");
      });
    } else if (!ops.empty()) {
      h_.vellum->submit(std::move(ops), [this](bool ok) {
        if (!ok) copying_.reset();
      });
    }
  }

  void claim(ChannelP const& ch, u32 tag, Claim const& c) {
    ClaimR r;
    r.life = h_.acceptor->life();
    if (c.life != r.life) return h_.strays.drop(Stray::disk_life);
    if (!h_.born) return;
    Epoch const mine = h_.acceptor->state() ? h_.acceptor->state()->epoch : Epoch(~0ULL);
    if (mine != fit_at_) fit(h_.acceptor->state());
    u64 const late = ledger_.late();
    if (ledger_.claim(c, mine, now_s(), r) != Say::granted) {
      h_.strays.drop(Stray::late_claim, ledger_.late() - late);
      ch->send(Kind::claimR, tag, r);
      return;
    }
    std::weak_ptr<Channel> const w = ch;
    h_.vellum->submit({key_op(c.key, c.holder, false)}, [this, w, tag, r, key = c.key, holder = c.holder](bool ok) {
      if (!ledger_.written(key, holder, ok)) return;
      if (auto const cp = w.lock()) cp->send(Kind::claimR, tag, r);
    });
  }

  // A first answer goes to disk; nobody waits for it. Its first keeper hands one
  // copy to another home disk, a near one if there is one.
  void store(std::string_view body, bool relay) {
    Return const r = codec::unpack<Return>(body);
    if (r.body.size() > 64 * 1024) return;
    Vellum::Op o;
    o.what = Vellum::Op::What::put_ret;
    o.k = r.key;
    o.v.assign(body);
    h_.vellum->submit_lazy({o});
    Secs const now = now_s();
    ret_order_.push_back({r.key, now, body.size()});
    ret_bytes_ += body.size();
    std::vector<Vellum::Op> old;
    // Answers are a convenience, votes are not: answers give way long before the
    // disk is full.
    double const most = (h_.st.diskMb > 0 ? h_.st.diskMb : 256) * 0.3e6;
    while (!ret_order_.empty() && (now - ret_order_.front().at > h_.st.bounds.keyHorizonS * 1.25 + 5 ||
                                   static_cast<double>(ret_bytes_) > most)) {
      Vellum::Op d;
      d.what = Vellum::Op::What::drop_ret;
      d.k = ret_order_.front().key;
      ret_bytes_ -= ret_order_.front().bytes;
      old.push_back(std::move(d));
      ret_order_.pop_front();
    }
    if (!old.empty()) h_.vellum->submit_lazy(std::move(old));
    if (!relay || !h_.committed) return;
    Member const* best = nullptr;
    for (Member const& m : h_.committed->roster) {
      if (m.ip == h_.st.ip || !h_.up(m.ip)) continue;
      if (!r.homes.empty() && std::find(r.homes.begin(), r.homes.end(), m.region) == r.homes.end()) continue;
      if (best == nullptr || (m.region == h_.st.region && best->region != h_.st.region)) best = &m;
    }
    if (best != nullptr) h_.mates[best->ip].link->ch()->send(Kind::store, 0, body);
  }

  sigc::signal<void()> on_whole;  // our disk votes on keys from now on

  void load(std::vector<DiskKey> const& keys, std::vector<std::pair<std::string, std::size_t>> const& rets) {
    Secs const now = now_s();
    for (DiskKey const& k : keys)
      ledger_.load(k.key, k.holder, k.sealed, now);
    for (auto const& [k, n] : rets) {
      ret_order_.push_back({k, now, n});
      ret_bytes_ += n;
    }
  }
  void release(Release const& r) {
    if (!ledger_.release(r)) return;
    Vellum::Op o;
    o.what = Vellum::Op::What::drop_key;
    o.k = r.key;
    h_.vellum->submit_lazy({o});
  }
  void fetch(ChannelP const& ch, u32 tag, Fetch const& f) {
    std::weak_ptr<Channel> const w = ch;
    h_.vellum->find_ret(f.key, [w, tag](std::string const& v) {
      FetchR r;
      r.have = !v.empty();
      r.ret = v;
      if (auto const c = w.lock()) c->send(Kind::fetchR, tag, r);
    });
  }
  RebuildR copy_for(Rebuild const& q) {
    if (h_.acceptor->state() && h_.acceptor->state()->epoch != fit_at_) fit(h_.acceptor->state());
    std::optional<State> const& st = h_.acceptor->state();
    return Filling::answer(ledger_, h_.acceptor->life(), st ? std::optional<Epoch>(st->epoch) : std::nullopt, q);
  }
  void roster_changed() {
    copying_.reset();
    fit(h_.acceptor->state());
  }
  // Hands our first answers to that mate, the newest first, some at each call; true once
  // all are on their way.
  bool hand_on(std::string const& ip) {
    if (handing_ != ip) {
      handing_ = ip;
      hand_ix_ = ret_order_.size();
    }
    for (int i = 0; i < 100 && hand_ix_ > 0; ++i) {
      Kept const& k = ret_order_[--hand_ix_];
      h_.vellum->find_ret(k.key, [this, ip](std::string const& v) {
        auto const it = h_.mates.find(ip);
        if (!v.empty() && it != h_.mates.end() && it->second.link && it->second.link->up())
          it->second.link->ch()->send(Kind::store, 0, std::string_view(v));
      });
    }
    return hand_ix_ == 0;
  }
  void forget_old(Secs now) {
    auto const old = ledger_.forget(h_.st.bounds.keyHorizonS * 1.25 + 5, now, 200);
    if (old.empty()) return;
    std::vector<Vellum::Op> ops;
    for (std::string const& k : old) {
      Vellum::Op o;
      o.what = Vellum::Op::What::drop_key;
      o.k = k;
      ops.push_back(std::move(o));
    }
    h_.vellum->submit_lazy(std::move(ops));
  }
  Ledger const& ledger() const { return ledger_; }

 private:
  // The membership of our disk in that roster.
  u64 since_in(State const& s) const {
    Member const* m = s.member(h_.st.ip);
    return Filling::membership(m == nullptr || m->life != h_.acceptor->life() ? std::nullopt
                                                                              : std::optional<Epoch>(m->since));
  }
  // Whole is what was filled in this very membership.
  void fit(std::optional<State> const& s) {
    if (!s) return;
    fit_at_ = s->epoch;
    copying_.fit(since_in(*s), ledger_);
  }

  static Vellum::Op key_op(std::string const& k, u64 holder, bool sealed) {
    Vellum::Op o;
    o.what = Vellum::Op::What::put_key;
    o.k = k;
    o.holder = holder;
    o.sealed = sealed;
    return o;
  }

  struct Kept {
    std::string key;
    Secs at = 0;
    std::size_t bytes = 0;
  };

  House& h_;
  Ledger ledger_;
  Filling copying_;
  std::deque<Kept> ret_order_;  // oldest first
  std::size_t ret_bytes_ = 0;   // of all in it
  bool filling_ = false;
  Epoch fit_at_{~0ULL};  // the epoch for which that was last looked at
  std::string handing_;  // to whom our first answers go
  std::size_t hand_ix_ = 0;
  Secs rebuild_at_ = 0;
  log4cplus::Logger lg_ = log4cplus::Logger::getInstance("archivist");
};

}  // namespace dockbend
