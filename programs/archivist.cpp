// archivist: control API, register, directory. One runs on every core machine.
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <deque>
#include <map>
#include <set>

#include "allowance/allowance.hpp"
#include "atlas/forecast.hpp"
#include "catalog/catalog.hpp"
#include "duty/duty.hpp"
#include "duty/envoy.hpp"
#include "duty/reporter.hpp"
#include "errand/heads.hpp"
#include "gossip/roll.hpp"
#include "keys/ledger.hpp"
#include "manifest/manifest.hpp"
#include "register/acceptor.hpp"
#include "register/proposer.hpp"
#include "register/vellum.hpp"
#include "rollout/rollout.hpp"
#include "stacks/log.hpp"
#include "stacks/program.hpp"

using namespace dockbend;

namespace {

// What a call is answered with. One place writes it.
struct CallRet {
  int code = 200;
  std::string body;
};

CallRet fault(int code, std::string const& what) {
  schema::FaultRet f;
  f.fault = what;
  return {code, json::render(f)};
}

struct Mate {
  std::unique_ptr<Link> link;
  Mismatch off;
  Secs pulled = 0, digest_sent = 0;
  bool fit = false;  // may take a duty over at once
  std::string node;
  Secs heard = 0;
  Life life;         // of the disk that said so
  Ballot accepted;   // the newest value it says it holds on disk
};

struct Peer {  // an incoming channel
  ChannelP ch;
  Hello hello;
  bool feeding = false, primary = false;
  u64 counts_told = 0, beats = 0;
};

class Archivist {
 public:
  Archivist(event_base* eb, Settings const& st)
      : eb_(eb), st_(st), proposer_(st.ip), catalog_(1.9), door_(eb, Addr{st.ip, st.innerFirst}) {
    open_disk();
    door_.on_channel.connect([this](ChannelP c) { took(std::move(c)); });
    for (Addr const& s : st_.seeds) mate(s.ip);
    control_ = serve("control", [](evhttp_request* r, void* p) { static_cast<Archivist*>(p)->control(r); });
    directory_ = serve("directory", [](evhttp_request* r, void* p) { static_cast<Archivist*>(p)->directory(r); });
    start_ = now_s();
    finish_at_ = start_ + 0.2 + 0.6 * random01();
    join_at_ = start_ + 0.3 + 1.2 * random01();
    DutyPlan dp;
    dp.lease = st.bounds.leaseTermS;
    for (char const* d : {"usage", "allowance"}) duties_.emplace(d, Duty(d, st.nodeName, st.ip, dp, start_));
    ReportPlan rp;
    rp.period = st.bounds.reportPeriodS;
    rp.settle = 0.15 * st.bounds.usageDelayS;
    rp.late = 0.6 * st.bounds.usageDelayS;
    rp.call = std::min(1.0, 0.35 * st.bounds.leaseTermS);
    if (st.dutyPerS > 0) rp.gap = std::max(rp.gap, 2.0 / st.dutyPerS);
    reporter_ = Reporter(rp);
    if (st.cloud) envoy_ = std::make_unique<Envoy>(eb, *st.cloud);
    if (committed_) {
      show(nullptr, *committed_);
      duties_see(start_);
    }
    tick_ = std::make_unique<Ticker>(eb, 0.1, [this] { tick(); });
  }

  void settings(Settings const& s) {
    st_.seeds = s.seeds;
    st_.bounds = s.bounds;
    st_.rollout = s.rollout;
    for (Addr const& a : st_.seeds) mate(a.ip);
  }
  void term() {
    if (leaving_ > 0) return;
    leaving_ = now_s();
    for (auto& [n, d] : duties_) d.hand_over(successor());
  }

 private:
  // ---- disk -----------------------------------------------------------------------
  void open_disk() {
    std::string const dir = st_.dataDir.empty() ? std::string("/tmp") : st_.dataDir;
    ::mkdir(dir.c_str(), 0755);
    vellum_ = std::make_unique<Vellum>(eb_, dir);
    std::string const life = vellum_->meta("life");
    bool const seed = std::any_of(st_.seeds.begin(), st_.seeds.end(), [&](Addr const& a) { return a.ip == st_.ip; });
    Life l;
    bool whole = false;
    std::optional<State> s;
    Ballot promised;
    std::vector<Vellum::Op> first;
    if (!life.empty()) {
      l = Life(std::strtoull(life.c_str(), nullptr, 10));
      whole = vellum_->meta("whole") == "1";
      if (std::string const p = vellum_->meta("promised"); !p.empty()) promised = Ballot(std::strtoull(p.c_str(), nullptr, 10));
      if (std::string const v = vellum_->meta("state"); !v.empty()) s = codec::unpack<State>(v);
      for (DiskKey const& k : vellum_->keys()) early_keys_.push_back(k);
    } else {
      // An empty disk is a new member, unless the system itself begins here.
      bool const founder = st_.bootstrap && seed;
      l = founder ? Life(1) : Life((random64() >> 2) | 2);
      whole = founder;
      first.push_back(meta("life", std::to_string(l.v)));
      first.push_back(meta("whole", whole ? "1" : "0"));
    }
    if (!s && st_.bootstrap) {
      State f;
      for (Addr const& a : st_.seeds) {
        Member m;
        m.ip = a.ip;
        m.life = Life(1);
        m.control = a.port;
        m.whole = true;
        f.roster.push_back(m);
      }
      std::sort(f.roster.begin(), f.roster.end(), [](Member const& a, Member const& b) { return a.ip < b.ip; });
      s = f;
      committed_ = f;
      if (!first.empty()) first.push_back(meta("state", codec::pack(f)));
    } else if (s && s->bal == Ballot(0)) {
      committed_ = s;
    }
    acceptor_ = std::make_unique<Acceptor>(l, promised, s);
    ledger_ = std::make_unique<Ledger>(whole);
    for (DiskKey const& k : early_keys_) ledger_->load(k.key, k.holder, k.sealed, now_s());
    early_keys_.clear();
    proposer_.saw(promised);
    if (first.empty() && s) durable_ = s->bal;
    for (std::string const& r : vellum_->rows()) roll_.load(codec::unpack<Row>(r), now_s());
    for (auto const& [k, n] : vellum_->ret_sizes()) {
      ret_order_.push_back({k, now_s(), n});
      ret_bytes_ += n;
    }
    if (std::string const v = vellum_->meta("sites"); !v.empty())
      for (ZoneCount const& z : codec::unpack<News>(v).sites) counts_[z.zone] = Counted{z.n, now_s()};
    if (!first.empty()) {
      // Nothing is said in this life's name before the life is on disk.
      vellum_->submit(std::move(first), [this](bool ok) {
        if (!ok) {
          LOG4CPLUS_ERROR(lg_, "The disk took no first write.");
          event_base_loopbreak(eb_);
        }
        born_ = ok;
      });
    } else {
      born_ = true;
    }
  }

  static Vellum::Op meta(std::string k, std::string v) {
    Vellum::Op o;
    o.what = Vellum::Op::What::meta;
    o.k = std::move(k);
    o.v = std::move(v);
    return o;
  }

  std::vector<Vellum::Op> vote_ops(bool with_state) {
    std::vector<Vellum::Op> v;
    v.push_back(meta("promised", std::to_string(acceptor_->promised().v)));
    if (with_state && acceptor_->state()) v.push_back(meta("state", codec::pack(*acceptor_->state())));
    return v;
  }

  // ---- mates -----------------------------------------------------------------------
  Mate& mate(std::string const& ip) {
    auto const it = mates_.find(ip);
    if (it != mates_.end()) return it->second;
    Mate& m = mates_[ip];
    if (ip == st_.ip) return m;
    m.link = std::make_unique<Link>(eb_, Addr{ip, st_.innerFirst}, 0.6, 1.5);
    m.link->on_up.connect([this, ip](Link& l) {
      Hello h;
      h.role = 1;
      h.ip = st_.ip;
      h.zone = st_.zone;
      h.region = st_.region;
      h.control = control_port();
      h.life = acceptor_->life();
      h.node = st_.nodeName;
      h.accepted = durable_;
      l.send(Kind::hello, 0, h);
      mates_[ip].heard = now_s();
      for (auto& o : proposer_.resend(ip)) send_out(o);
      l.send(Kind::pull, 0, Pull{bal()});
      // What we hold of the servers, for it may have begun anew.
      spread_to(l, roll_.all(now_s()));
    });
    m.link->on_letter.connect([this, ip](Link&, Letter const& l) { from_mate(ip, l); });
    return m;
  }

  u32 control_port() const {
    auto const it = st_.bind.find("control");
    return it == st_.bind.end() ? 0 : it->second.port;
  }
  Ballot accepted() const { return acceptor_->state() ? acceptor_->state()->bal : Ballot(); }
  // What mates say of the value they hold on disk. Once a majority holds ours, it
  // is committed; after a start of the whole core nobody else could tell us.
  void holds(std::string const& ip, Life life, Ballot acc) {
    Mate& m = mate(ip);
    m.life = life;
    m.accepted = acc;
    if (!acceptor_->state() || accepted() <= bal()) return;
    State const& s = *acceptor_->state();
    if (s.epoch.v == s.bal.v) return;  // it changed the roster: two majorities count
    std::size_t n = 0;
    for (Member const& x : s.roster) {
      if (x.ip == st_.ip) {
        n += durable_ >= s.bal && x.life == acceptor_->life() ? 1 : 0;
      } else if (auto const it = mates_.find(x.ip); it != mates_.end()) {
        n += it->second.life == x.life && it->second.accepted == s.bal ? 1 : 0;
      }
    }
    if (n >= s.majority()) learn(State(s));
  }
  Ballot bal() const { return committed_ ? committed_->bal : Ballot(); }

  bool up(std::string const& ip) const {
    if (ip == st_.ip) return true;
    auto const it = mates_.find(ip);
    return it != mates_.end() && it->second.link && it->second.link->up();
  }
  // In touch with a majority of the roster, ourselves counted.
  bool settled() const {
    if (!committed_) return false;
    std::size_t n = 0;
    for (Member const& m : committed_->roster) n += up(m.ip) ? 1 : 0;
    return n >= committed_->majority();
  }

  // Answers to what we asked over our own link.
  void from_mate(std::string const& ip, Letter const& l) {
    Mate& m = mates_[ip];
    m.heard = now_s();
    switch (l.kind) {
      case Kind::helloR: {
        HelloR const h = l.as<HelloR>();
        for (std::string const& x : h.mates) mate(x);
        holds(ip, h.life, h.accepted);
        break;
      }
      case Kind::holdR:
      case Kind::surveyR: break;  // come over the other channel
      case Kind::prepR: outs(proposer_.on_prep(ip, l.as<PrepR>())); break;
      case Kind::accR: outs(proposer_.on_acc(ip, l.as<AccR>())); break;
      case Kind::commitR: commit(l.as<Commit>(), ip); break;
      case Kind::rebuildR: rebuilt(ip, l.as<RebuildR>()); break;
      case Kind::digestR: {
        Digest const d = l.as<Digest>();
        if (d.wall > 0 && m.digest_sent > 0) clock_.mate(ip, 0.5 * (m.digest_sent + now_s()), d.wall);
        digest(ip, d);
        break;
      }
      default: break;
    }
  }

  void digest(std::string const& ip, Digest const& d) {
    Mate& m = mates_[ip];
    if (!m.link) return;
    for (std::string const& x : d.mates) mate(x);
    if (d.life.v != 0) holds(ip, d.life, d.accepted);
    m.fit = d.fit;
    m.node = d.node;
    Secs const now = now_s();
    if (d.bal > bal()) {
      if (acceptor_->state() && acceptor_->state()->bal == d.bal) {
        learn(*acceptor_->state());
      } else if (now - m.pulled > 0.25) {
        m.pulled = now;
        m.link->send(Kind::pull, 0, Pull{bal()});
      }
    }
    if (m.off.hear(told_digest_, d.digest)) spread_to(*m.link, roll_.all(now));
  }

  // ---- incoming channels -------------------------------------------------------------
  void took(ChannelP c) {
    u64 const id = c->id();
    Peer& p = peers_[id];
    p.ch = c;
    c->on_letter.connect([this, id](Channel&, Letter const& l) {
      auto const it = peers_.find(id);
      if (it != peers_.end()) from_peer(it->second, l);
    });
    c->on_down.connect([this, id](Channel&) {
      after(eb_, 0, [this, id] {
        // A site whose agent's life may have ended holds nothing for certain.
        for (auto& [rid, g] : rollouts_)
          for (auto const& [f, s] : catalog_.rows())
            if (s.channel == id) g.ro.lost(f);
        peers_.erase(id);
      });
    });
  }

  void from_peer(Peer& p, Letter const& l) {
    Secs const now = now_s();
    switch (l.kind) {
      case Kind::hello: {
        p.hello = l.as<Hello>();
        if (p.hello.role == 1) holds(p.hello.ip, p.hello.life, p.hello.accepted);
        HelloR r;
        r.bal = bal();
        r.life = acceptor_->life();
        r.accepted = durable_;
        r.mates = known();
        r.wall = wall_s();
        p.ch->send(Kind::helloR, 0, r);
        break;
      }
      case Kind::prep: {
        if (!born_) break;
        PrepR r;
        auto const s = acceptor_->prepare(l.as<Prep>(), r);
        if (r.ok) give_way(r.bal, now);
        reply_after(p.ch, Kind::prepR, l.tag, r, s.write, false);
        break;
      }
      case Kind::acc: {
        if (!born_) break;
        AccR r;
        auto const s = acceptor_->accept(l.as<Acc>(), r);
        reply_after(p.ch, Kind::accR, l.tag, r, s.write, true);
        break;
      }
      case Kind::commit: commit(l.as<Commit>(), p.hello.ip); break;
      case Kind::pull: {
        if (!committed_) break;
        Ballot const have = l.as<Pull>().have;
        if (p.hello.role == 2) {
          if (view_.bal > have || view_.bal.v == 0) p.ch->send(lacking(have));
          break;
        }
        if (committed_->bal < have || (committed_->bal == have && committed_->bal.v != 0)) break;
        Commit c;
        c.bal = committed_->bal;
        c.state = codec::pack(*committed_);
        p.ch->send(Kind::commitR, 0, c);
        break;
      }
      case Kind::rows: rows(l.as<News>().rows, p.hello.ip); break;
      case Kind::digest: {
        Digest const d = l.as<Digest>();
        p.ch->send(Kind::digestR, 0, own_digest(false));
        if (mates_.count(p.hello.ip) > 0 && mates_[p.hello.ip].link) digest(p.hello.ip, d);
        break;
      }
      case Kind::beat: {
        SiteBeat const b = l.as<SiteBeat>();
        // Registration and keepalive. A row says which zone it is in only if the
        // settings name that zone in that region; another is declined.
        if (!b.front.empty() && st_.region_of(b.zone) == b.region) {
          Site s;
          s.front = b.front;
          s.zone = b.zone;
          s.region = b.region;
          s.ready = b.ready;
          s.load = b.load;
          s.heard = now;
          s.channel = p.ch->id();
          if (b.primary) fresh_sites_.insert(b.front);
          p.primary = b.primary;
          catalog_.keep(std::move(s));
          count_sites(now);
        }
        SiteBeatR r;
        r.bal = view_.bal;
        r.digest = told_digest_;
        r.settled = settled() && committed_;
        r.wall = wall_s();
        if (p.beats++ % 8 == 0 && !b.front.empty()) r.relays = relays_for(b);
        if (p.counts_told != counts_turn_) {
          p.counts_told = counts_turn_;
          r.sites = counted();
        }
        p.ch->send(Kind::beatR, 0, r);
        break;
      }
      case Kind::feed: {
        Feed const f = l.as<Feed>();
        p.feeding = f.on;
        if (!f.on) break;
        if (committed_ && (view_.bal > f.have || view_.bal.v == 0)) p.ch->send(lacking(f.have));
        News n;
        n.rows_full = true;
        n.rows = roll_.all(now);
        p.ch->send(Kind::news, 0, n);
        break;
      }
      case Kind::sites: mate_sites(p.hello.ip, l.as<SiteNote>(), now); break;
      case Kind::tally:
        for (TallyRow const& r : l.as<TallyNote>().rows) totals_.join(r);
        break;
      case Kind::loan: {
        LoanAsk const a = l.as<LoanAsk>();
        Duty const& d = duties_.at("allowance");
        LoanRet r;
        r.life = a.life;
        r.seq = a.seq;
        if (d.may_act(now, 0)) r = lender_.ask(a, now);
        p.ch->send(Kind::loanR, l.tag, r);
        break;
      }
      case Kind::holdFor: hold_for(p.hello.ip, l.as<HoldFor>()); break;
      case Kind::survey: survey_sites(l.as<SurveyAsk>(), p.hello.ip); break;
      case Kind::surveyR: heard_survey(l.as<Survey>(), l.body); break;
      case Kind::dutyCmd: {
        DutyCmd const c = l.as<DutyCmd>();
        if (auto const it = duties_.find(c.duty); it != duties_.end()) it->second.hand_over(c.node);
        break;
      }
      case Kind::claim: claim(p.ch, l.tag, l.as<Claim>()); break;
      case Kind::release: {
        Release const r = l.as<Release>();
        if (ledger_->release(r)) {
          Vellum::Op o;
          o.what = Vellum::Op::What::drop_key;
          o.k = r.key;
          vellum_->submit_lazy({o});
        }
        break;
      }
      case Kind::store: store(l.body, l.tag == 1); break;
      case Kind::fetch: {
        std::weak_ptr<Channel> const w = p.ch;
        vellum_->find_ret(l.as<Fetch>().key, [w, tag = l.tag](std::string const& v) {
          FetchR r;
          r.have = !v.empty();
          r.ret = v;
          if (auto const c = w.lock()) c->send(Kind::fetchR, tag, r);
        });
        break;
      }
      case Kind::holdR: {
        HoldR const r = l.as<HoldR>();
        auto const it = rollouts_.find(r.id);
        if (it == rollouts_.end()) {
          // Asked for by the mate that leads it.
          if (auto const f = held_for_.find(r.id); f != held_for_.end() && mate(f->second.first).link) mate(f->second.first).link->send(Kind::holdR, 0, r);
          break;
        }
        it->second.ro.heard(r.front, r.holds);
        if (!is_over(it->second.ro.phase())) stage_on(it->second, now);
        break;
      }
      case Kind::rollNote: {
        RollNote n = l.as<RollNote>();
        u64 const id = n.id;
        notes_[id] = std::move(n);
        break;
      }
      case Kind::rollCmd: order_rollout(l.as<RollCmd>()); break;
      case Kind::rebuild: {
        Rebuild const q = l.as<Rebuild>();
        RebuildR r;
        r.life = acceptor_->life();
        r.ok = ledger_->whole() && acceptor_->state() && acceptor_->state()->epoch >= q.epoch;
        if (r.ok) r.keys = ledger_->all();
        p.ch->send(Kind::rebuildR, l.tag, r);
        break;
      }
      default: break;
    }
  }

  std::vector<std::string> known() const {
    std::vector<std::string> v{st_.ip};
    for (auto const& [ip, m] : mates_)
      if (m.link && m.link->up()) v.push_back(ip);
    return v;
  }

  template <class R>
  void reply_after(ChannelP const& ch, Kind k, u32 tag, R const& r, bool write, bool state) {
    if (!write) {
      ch->send(k, tag, r);
      return;
    }
    std::weak_ptr<Channel> const w = ch;
    vellum_->submit(vote_ops(state), [this, w, k, tag, r, b = state ? accepted() : Ballot()](bool ok) {
      if (!ok) return;  // a disk that takes nothing does not vote
      durable_ = std::max(durable_, b);
      if (auto const c = w.lock()) c->send(k, tag, r);
    });
  }

  // ---- register ----------------------------------------------------------------------
  struct Call {
    std::function<bool(State&)> change;
    std::function<void(State const*)> done;  // null: not known to stand
    Secs until = 0;
  };

  void submit(std::function<bool(State&)> change, std::function<void(State const*)> done, Secs patience) {
    calls_.push_back(Call{std::move(change), std::move(done), now_s() + patience});
    pump();
  }

  State const* best() const {
    State const* b = committed_ ? &*committed_ : nullptr;
    if (acceptor_->state() && (b == nullptr || acceptor_->state()->bal > b->bal)) b = &*acceptor_->state();
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
    if (!proposer_.idle() || now < next_round_ || now < way_until_ || !born_) return;
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
    proposer_.saw(acceptor_->promised());
    outs(proposer_.begin(
        *b,
        [this](State& s) {
          bool any = false;
          for (Call& c : batch_) any = c.change(s) || any;
          return any;
        },
        now));
  }

  void outs(std::vector<Proposer::Out> const& v) {
    for (auto const& o : v) send_out(o);
    round_over();
  }

  void send_out(Proposer::Out const& o) {
    if (o.ip == st_.ip) {
      if (!born_) return;
      if (o.is_prep) {
        PrepR r;
        auto const s = acceptor_->prepare(o.prep, r);
        if (!s.write) {
          after(eb_, 0, [this, r] { outs(proposer_.on_prep(st_.ip, r)); });
          return;
        }
        vellum_->submit(vote_ops(false), [this, r](bool ok) {
          if (ok) outs(proposer_.on_prep(st_.ip, r));
        });
      } else {
        AccR r;
        auto const s = acceptor_->accept(o.acc, r);
        if (!s.write) {
          after(eb_, 0, [this, r] { outs(proposer_.on_acc(st_.ip, r)); });
          return;
        }
        vellum_->submit(vote_ops(true), [this, r, b = accepted()](bool ok) {
          if (!ok) return;
          durable_ = std::max(durable_, b);
          outs(proposer_.on_acc(st_.ip, r));
        });
      }
      return;
    }
    Mate& m = mate(o.ip);
    if (!m.link) return;
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
      for (auto& [ip, m] : mates_)
        if (m.link) m.link->send(pc);
      learn(to);
      for (Call& x : b) x.done(&to);
    } else {
      ++losses_;
      next_round_ = now + (0.05 + 0.15 * random01()) * std::min(losses_, 6);
      for (auto it = b.rbegin(); it != b.rend(); ++it) calls_.push_front(std::move(*it));
    }
    after(eb_, std::max(0.0, next_round_ - now), [this] { pump(); });
  }

  // Takes a committed value: in force from now on.
  void learn(State const& s) {
    if (committed_ && s.bal <= committed_->bal) return;
    std::optional<State> const old = std::move(committed_);
    committed_ = s;
    proposer_.saw(s.bal);
    if (s.bal >= way_for_ && way_until_ > 0) {
      way_until_ = 0;
      after(eb_, 0.02 * random01(), [this] { pump(); });
    }
    if (acceptor_->learn(s))
      vellum_->submit(vote_ops(true), [this, b = s.bal](bool ok) {
        if (ok) durable_ = std::max(durable_, b);
      });
    for (Member const& m : s.roster) mate(m.ip);
    show(old ? &*old : nullptr, s);
    duties_see(now_s());
    if (!old || old->epoch != s.epoch) {
      LOG4CPLUS_INFO(lg_, "Roster of " << s.roster.size() << ".");
      rebuild_heard_.clear();
    }
  }

  // Tells the nodes we feed what they go by, if it changed, and remembers when each
  // item did, so that who missed some gets just those.
  void show(State const* old, State const& s) {
    if (old != nullptr && s.open == view_.bal && view_.bal.v != 0) return;
    State const was = std::move(view_);
    view_ = view_of(s);
    totals_.forget(Window(view_.to_fix));
    News n;
    if (old == nullptr) {
      changed_since_ = view_.bal;
      n.state = codec::pack(view_);
      for (Item const& i : view_.items) see_partner(i);
    } else {
      Delta const d = delta_of(was, view_);
      for (Item const& i : d.items) {
        changed_[i.key] = view_.bal;
        see_partner(i);
      }
      n.delta = codec::pack(d);
    }
    Parcel const pc = parcel(Kind::news, codec::pack(n));
    for (auto& [id, p] : peers_)
      if (p.feeding) p.ch->send(pc);
  }

  // What a node that has the view of `have` lacks of ours.
  Parcel lacking(Ballot have) const {
    Commit c;
    c.bal = view_.bal;
    if (have.v != 0 && have >= changed_since_ && have < view_.bal) {
      Delta d;
      d.base = have;
      d.bal = d.open = view_.bal;
      d.epoch = view_.epoch;
      for (Item const& i : view_.items)
        if (auto const it = changed_.find(i.key); it != changed_.end() && it->second > have) d.items.push_back(i);
      d.evacs_set = d.roster_set = d.duties_set = true;
      d.evacs = view_.evacs;
      d.roster = view_.roster;
      d.duties = view_.duties;
      d.to_fix = view_.to_fix;
      c.delta = codec::pack(d);
    } else {
      c.state = codec::pack(view_);
    }
    return parcel(Kind::commitR, codec::pack(c));
  }

  void see_partner(Item const& i) {
    if (i.key[0] == 'c') partners_.put(i);
  }

  void commit(Commit const& c, std::string const& from) {
    if (c.bal <= bal()) return;
    if (!c.state.empty()) {
      learn(codec::unpack<State>(c.state));
      return;
    }
    if (acceptor_->state() && acceptor_->state()->bal == c.bal) {
      learn(*acceptor_->state());
      return;
    }
    if (committed_) {
      State s = *committed_;
      if (apply(s, codec::unpack<Delta>(c.delta))) {
        learn(s);
        return;
      }
    }
    if (mates_.count(from) > 0 && mates_[from].link) mates_[from].link->send(Kind::pull, 0, Pull{bal()});
  }

  void join_roster(Secs now) {
    if (!committed_ || !born_ || now < join_at_) return;
    Member const* m = committed_->member(st_.ip);
    if (m != nullptr && m->life == acceptor_->life() && !m->zone.empty() && m->whole == ledger_->whole()) return;
    join_at_ = now + 0.6 + 0.6 * random01();
    Member me;
    me.ip = st_.ip;
    me.life = acceptor_->life();
    me.zone = st_.zone;
    me.region = st_.region;
    me.control = control_port();
    me.whole = ledger_->whole();
    submit([me](State& s) { return s.admit(me); },
        [](State const*) {}, 2.0);
  }

  // A new disk copies the keys of a majority of the others before it votes.
  void rebuild(Secs now) {
    if (ledger_->whole() || !committed_ || now < rebuild_at_) return;
    Member const* me = committed_->member(st_.ip);
    if (me == nullptr || me->life != acceptor_->life()) return;
    rebuild_at_ = now + 0.7;
    Rebuild q;
    q.epoch = committed_->epoch;
    for (Member const& m : committed_->roster)
      if (m.ip != st_.ip && rebuild_heard_.count(m.ip) == 0 && mate(m.ip).link) mate(m.ip).link->send(Kind::rebuild, 0, q);
  }

  void rebuilt(std::string const& ip, RebuildR const& r) {
    if (ledger_->whole() || filling_ || !committed_ || !r.ok) return;
    Member const* m = committed_->member(ip);
    if (m == nullptr || m->life != r.life || !rebuild_heard_.insert(ip).second) return;
    Secs const now = now_s();
    std::vector<Vellum::Op> ops;
    for (HeldKey const& k : r.keys) {
      u64 const holder = ledger_->seal(k.key, k.holder, now);
      ops.push_back(key_op(k.key, holder, true));
    }
    if (rebuild_heard_.size() >= committed_->majority()) {
      ops.push_back(meta("whole", "1"));
      filling_ = true;
      vellum_->submit(std::move(ops), [this](bool ok) {
        filling_ = false;
        if (!ok) {
          rebuild_heard_.clear();
          return;
        }
        ledger_->set_whole();
        join_at_ = 0;
        LOG4CPLUS_INFO(lg_, "Keys are whole, " << ledger_->size() << " of them.");
      });
    } else if (!ops.empty()) {
      vellum_->submit(std::move(ops), [this](bool ok) {
        if (!ok) rebuild_heard_.clear();
      });
    }
  }

  static Vellum::Op key_op(std::string const& k, u64 holder, bool sealed) {
    Vellum::Op o;
    o.what = Vellum::Op::What::put_key;
    o.k = k;
    o.holder = holder;
    o.sealed = sealed;
    return o;
  }

  // ---- keys --------------------------------------------------------------------------
  void claim(ChannelP const& ch, u32 tag, Claim const& c) {
    ClaimR r;
    r.life = acceptor_->life();
    if (c.life != r.life || !born_) return;
    Epoch const mine = acceptor_->state() ? acceptor_->state()->epoch : Epoch(~0ULL);
    if (ledger_->claim(c, mine, now_s(), r) != Say::granted) {
      ch->send(Kind::claimR, tag, r);
      return;
    }
    std::weak_ptr<Channel> const w = ch;
    vellum_->submit({key_op(c.key, c.holder, false)}, [this, w, tag, r, key = c.key, holder = c.holder](bool ok) {
      ledger_->written(key, holder, ok);
      if (!ok) return;
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
    vellum_->submit_lazy({o});
    Secs const now = now_s();
    ret_order_.push_back({r.key, now, body.size()});
    ret_bytes_ += body.size();
    std::vector<Vellum::Op> old;
    // Answers are a convenience, votes are not: answers give way long before the
    // disk is full.
    double const most = (st_.diskMb > 0 ? st_.diskMb : 256) * 0.3e6;
    while (!ret_order_.empty() && (now - ret_order_.front().at > st_.bounds.keyHorizonS * 1.25 + 5 || static_cast<double>(ret_bytes_) > most)) {
      Vellum::Op d;
      d.what = Vellum::Op::What::drop_ret;
      d.k = ret_order_.front().key;
      ret_bytes_ -= ret_order_.front().bytes;
      old.push_back(std::move(d));
      ret_order_.pop_front();
    }
    if (!old.empty()) vellum_->submit_lazy(std::move(old));
    if (!relay || !committed_) return;
    Member const* best = nullptr;
    for (Member const& m : committed_->roster) {
      if (m.ip == st_.ip || !up(m.ip)) continue;
      if (!r.homes.empty() && std::find(r.homes.begin(), r.homes.end(), m.region) == r.homes.end()) continue;
      if (best == nullptr || (m.region == st_.region && best->region != st_.region)) best = &m;
    }
    if (best != nullptr) mates_[best->ip].link->ch()->send(Kind::store, 0, body);
  }

  // ---- servers -----------------------------------------------------------------------
  void spread_to(Link& l, std::vector<Row> const& v) {
    if (v.empty()) return;
    News n;
    n.rows = v;
    l.send(Kind::rows, 0, n);
  }

  // News of servers goes to the proxies we feed and to a few mates; whoever finds
  // it new passes it on.
  void spread(std::vector<Row> const& v, std::string const& from) {
    if (v.empty()) return;
    // On disk too, so that after a loss of all power the servers are known before
    // their next beats. Nobody waits for it: the beats set right what it lacks.
    std::vector<Vellum::Op> ops;
    for (Row const& r : v) {
      Vellum::Op o;
      o.what = r.state == Standing::gone ? Vellum::Op::What::drop_row : Vellum::Op::What::put_row;
      o.k = r.id;
      if (r.state != Standing::gone) o.v = codec::pack(r);
      ops.push_back(std::move(o));
    }
    vellum_->submit_lazy(std::move(ops));
    for (Row const& r : v) pending_[r.id] = from;
    if (flushing_) return;
    flushing_ = true;
    // Changes that come together go out together.
    after(eb_, 0.04, [this] { flush_rows(); });
  }

  void flush_rows() {
    flushing_ = false;
    Secs const now = now_s();
    News all, ours;  // ours: what mates have not heard from anyone
    std::size_t links = 0;
    for (auto& [ip, m] : mates_) links += m.link && m.link->up() ? 1 : 0;
    std::size_t const few = 8;
    for (auto const& [id, from] : pending_) {
      auto r = roll_.get(id, now);
      if (!r) continue;
      // With few mates the first teller reached everyone itself.
      if (from.empty() || links > few) ours.rows.push_back(*r);
      all.rows.push_back(std::move(*r));
    }
    pending_.clear();
    told_digest_ = roll_.digest();
    if (all.rows.empty()) return;
    Parcel const pc = parcel(Kind::news, codec::pack(all));
    for (auto& [id, p] : peers_)
      if (p.feeding) p.ch->send(pc);
    if (ours.rows.empty()) return;
    std::vector<Link*> ls;
    for (auto& [ip, m] : mates_)
      if (m.link && m.link->up()) ls.push_back(m.link.get());
    if (ls.size() > few) {
      for (std::size_t i = 0; i < few; ++i) std::swap(ls[i], ls[i + random64() % (ls.size() - i)]);
      ls.resize(few);
    }
    Parcel const pm = parcel(Kind::rows, codec::pack(ours));
    for (Link* l : ls) l->send(pm);
  }

  void rows(std::vector<Row> const& v, std::string const& from) {
    Secs const now = now_s();
    std::vector<Row> news, back;
    for (Row const& r : v) {
      if (roll_.join(r, now)) news.push_back(*roll_.get(r.id, now));
      else if (auto const mine = roll_.get(r.id, now); mine && mine->seq > r.seq && mine->state != r.state) back.push_back(*mine);
    }
    spread(news, from);
    auto const it = mates_.find(from);
    if (!back.empty() && it != mates_.end() && it->second.link) spread_to(*it->second.link, back);
  }

  CallRet heartbeat(std::string const& id, schema::Heartbeat const& b) {
    if (id.empty()) return fault(400, "id: empty");
    if (b.state != "ready" && b.state != "draining") return fault(400, "state: neither ready nor draining");
    if (b.service.empty()) return fault(400, "service: empty");
    if (!settled()) return fault(503, "not in touch with a majority");
    try {
      parse_addr(b.address, "address");
    } catch (BadSetting const& e) {
      return fault(400, e.what());
    }
    Row r;
    r.id = id;
    r.service = b.service;
    r.address = b.address;
    r.zone = b.zone;
    r.capacity = b.capacity;
    r.state = b.state == "ready" ? Standing::ready : Standing::draining;
    r.seq = b.callSeq;
    r.cold_left = b.coldLeftS.value_or(0);
    Secs const now = now_s();
    if (roll_.beat(r, st_.ip, now)) spread({*roll_.get(id, now)}, "");
    schema::HeartbeatRet ret;
    std::string const t = beat_target(b.zone);
    if (!t.empty()) ret.beatTarget = t;
    return {200, json::render(ret)};
  }

  std::string beat_target(std::string const& zone) const {
    if (!committed_ || leaving_ > 0) return "";
    Member const* best = nullptr;
    int best_tier = 9;
    std::string const region = st_.region_of(zone);
    for (Member const& m : committed_->roster) {
      int const t = m.zone == zone ? 0 : m.region == region ? 1 : 2;
      if (t < 2 && t < best_tier && up(m.ip) && m.control > 0) {
        best = &m;
        best_tier = t;
      }
    }
    return best == nullptr ? std::string() : Addr{best->ip, best->control}.str();
  }

  CallRet leave(std::string const& id) {
    Secs const now = now_s();
    if (!settled()) return fault(503, "not in touch with a majority");
    auto cur = roll_.get(id, now);
    Row r;
    if (cur) r = *cur;
    r.id = id;
    r.state = Standing::gone;
    r.seq = left_seq;
    if (roll_.join(r, now)) spread({r}, "");
    return {200, "{}"};
  }

  // ---- HTTP ----------------------------------------------------------------------------
  evhttp* serve(char const* what, void (*cb)(evhttp_request*, void*)) {
    auto const it = st_.bind.find(what);
    if (it == st_.bind.end()) return nullptr;
    evhttp* h = evhttp_new(eb_);
    evhttp_set_allowed_methods(h, 0xffff);
    evhttp_set_gencb(h, cb, this);
    evhttp_set_max_headers_size(h, 16384);
    evhttp_set_max_body_size(h, 16 << 20);
    evhttp_set_timeout(h, 30);
    if (evhttp_bind_socket(h, it->second.ip.c_str(), static_cast<ev_uint16_t>(it->second.port)) != 0)
      throw std::runtime_error("can't listen at " + it->second.str());
    return h;
  }

  void write(evhttp_request* r, CallRet const& c) {
    evkeyvalq* out = evhttp_request_get_output_headers(r);
    evhttp_add_header(out, "Content-Type", "application/json");
    if (leaving_ > 0) evhttp_add_header(out, "Connection", "close");
    if (c.code == 503) evhttp_add_header(out, "Retry-After", "0.3");
    evbuffer* b = evbuffer_new();
    evbuffer_add(b, c.body.data(), c.body.size());
    evhttp_send_reply(r, c.code, reason_of(c.code), b);
    evbuffer_free(b);
  }

  // The generic handler: a call and its answer are a pair of types.
  template <class Req>
  void call(evhttp_request* r, std::string const& body, std::function<CallRet(Req const&)> f) {
    CallRet c;
    try {
      c = f(json::parse_as<Req>(body));
    } catch (json::Fault const& e) {
      c = fault(400, e.what());
    }
    write(r, c);
  }

  void control(evhttp_request* r) {
    std::string uri = evhttp_request_get_uri(r);
    uri = uri.substr(0, uri.find('?'));
    evhttp_cmd_type const cmd = evhttp_request_get_command(r);
    evbuffer* in = evhttp_request_get_input_buffer(r);
    std::string body(evbuffer_get_length(in), '\0');
    evbuffer_copyout(in, body.data(), body.size());
    auto is = [&](char const* pre, std::string& rest) {
      std::size_t const n = std::strlen(pre);
      if (uri.compare(0, n, pre) != 0) return false;
      rest = uri.substr(n);
      return true;
    };
    std::string rest;
    bool const post = cmd == EVHTTP_REQ_POST;
    if (is("/-/Servers.Heartbeat/", rest)) {
      if (!post) return write(r, fault(405, "wants POST"));
      return call<schema::Heartbeat>(r, body, [&](schema::Heartbeat const& b) { return heartbeat(rest, b); });
    }
    if (is("/-/Servers.Leave/", rest)) {
      if (!post) return write(r, fault(405, "wants POST"));
      return write(r, leave(rest));
    }
    if (uri == "/-/Config.Amend") {
      if (!post) return write(r, fault(405, "wants POST"));
      return amend(r, body);
    }
    if (uri == "/-/Config.Read") {
      if (cmd != EVHTTP_REQ_GET) return write(r, fault(405, "wants GET"));
      return read(r);
    }
    if (is("/-/Evacuation.Begin/", rest)) {
      if (!post) return write(r, fault(405, "wants POST"));
      return evacuate(r, rest, true);
    }
    if (is("/-/Evacuation.Finish/", rest)) {
      if (!post) return write(r, fault(405, "wants POST"));
      return evacuate(r, rest, false);
    }
    if (uri == "/-/Rollout.Status") return write(r, CallRet{200, rollout_status()});
    for (auto const& [pre, o] : {std::pair{"/-/Rollout.Pause/", RollOrder::pause}, {"/-/Rollout.Resume/", RollOrder::resume}, {"/-/Rollout.Abort/", RollOrder::abort}})
      if (is(pre, rest)) {
        if (!post) return write(r, fault(405, "wants POST"));
        return order_call(r, rest, o);
      }
    if (uri == "/-/Duty.Status") return write(r, CallRet{200, duty_status()});
    if (is("/-/Duty.HandOver/", rest)) {
      if (!post) return write(r, fault(405, "wants POST"));
      return hand_over_call(r, rest);
    }
    if (uri == "/-/Allowance.List" || is("/-/Allowance.Show/", rest)) return allowance_call(r, uri == "/-/Allowance.List" ? "" : rest, uri);
    if (uri == "/-/Survey") return survey_call(r);
    if (uri == "/-/Status") return write(r, CallRet{200, status()});
    write(r, fault(404, "no such call"));
  }

  Secs patience() const { return std::max(0.5, st_.bounds.ackBoundS * 0.8); }

  void amend(evhttp_request* r, std::string const& body) {
    Amendment a;
    try {
      a = read_amend(body);
    } catch (json::Fault const& e) {
      return write(r, fault(400, e.what()));
    }
    if (leaving_ > 0) return write(r, fault(503, "leaving"));
    Secs const now = now_s();
    if (!st_.staged || !worth_staging(a)) return commit_amend(a, patience(), [this, r](CallRet const& c) { write(r, c); });
    auto const id = (random64() >> 16) | 1;
    // A large change takes its time on narrow links; asking again too soon would only
    // fill them.
    RolloutPlan plan = st_.rollout;
    double bytes = 0;
    for (Item const& i : a.items) bytes += static_cast<double>(i.body.size() + i.key.size());
    plan.resendS += bytes / 200e3;
    plan.stageS += bytes / 400e3;
    Staged& g = rollouts_.emplace(id, Staged{Rollout(id, plan, now), a, r, now, {}, 99, {}}).first->second;
    LOG4CPLUS_INFO(lg_, "Rollout " << id << " of " << a.items.size() << " items begins.");
    stage_on(g, now);
  }

  // Validates the whole call against what a majority holds, and puts it in force.
  void commit_amend(Amendment const& a, Secs patience, std::function<void(CallRet const&)> done) {
    struct Out {
      Joined how = Joined::same;
      std::string field;
    };
    auto const o = std::make_shared<Out>();
    submit(
        [a, o](State& s) {
          auto items = s.by_key();
          o->field.clear();
          o->how = join(items, a, o->field);
          if (o->how != Joined::changed) return false;
          s.items.clear();
          for (auto& [k, i] : items) s.items.push_back(std::move(i));
          return true;
        },
        [done, o](State const* s) {
          if (s == nullptr) return done(fault(503, "no majority in time"));
          switch (o->how) {
            case Joined::changed:
            case Joined::same: return done(CallRet{200, "{}"});
            case Joined::clash: return done(fault(409, o->field + ": another body stands under this generation"));
            case Joined::unknown_service: return done(fault(400, o->field + ": unknown service"));
          }
        },
        patience);
  }

  // ---- rollouts ------------------------------------------------------------------------
  struct Staged {
    Rollout ro;
    Amendment a;
    evhttp_request* r = nullptr;  // the operator's call, until it is answered
    Secs start = 0;
    RollPhase told{};
    std::size_t told_stage = 99;
    Ballot seen;  // of the value it was last set against
  };

  // Only what changes lanes that nodes already serve by is brought out in stages:
  // a first manifest has no version that anyone trusts, and what changes nothing or
  // is faulty goes to the register at once, whose word is final.
  bool worth_staging(Amendment const& a) const {
    if (!committed_ || catalog_.rows().empty()) return false;
    bool standing = false;
    for (Item const& i : committed_->items) standing = standing || (i.key[0] == 'r' && !i.gone);
    if (!standing || !brings_news(committed_->items, a)) return false;
    auto items = committed_->by_key();
    std::string f;
    return join(items, a, f) == Joined::changed;
  }

  // Nodes whose last two keepalives did not both fail: a frozen one must not use up
  // the time that a rollout has.
  std::map<std::string, std::string> in_touch(Secs now) const {
    std::map<std::string, std::string> m;
    for (auto const& [f, s] : catalog_.rows())
      // What a mate told us is older by its way here.
      if (s.channel != 0 ? peers_.count(s.channel) > 0 && now - s.heard < 1.3 : up(s.via) && now - s.heard < 1.6) m[f] = s.zone;
    return m;
  }

  void stage_on(Staged& g, Secs now) {
    if (committed_ && !is_over(g.ro.phase()) && g.ro.phase() != RollPhase::committing) {
      if (g.seen != bal()) {
        g.seen = bal();
        if (!brings_news(committed_->items, g.a)) g.ro.overtaken();
      }
    }
    Rollout::Step const st = g.ro.step(now, in_touch(now));
    if (!st.send.empty()) {
      Hold h;
      h.id = g.ro.id();
      h.for_ms = static_cast<u32>((g.ro.until() - now + 1.0) * 1000);
      h.items = g.a.items;
      to_sites(st.send, h);
    }
    if (st.drop) {
      Hold h;
      h.id = g.ro.id();
      h.drop = true;
      to_sites({g.ro.asked().begin(), g.ro.asked().end()}, h);
    }
    if (st.commit) {
      u64 const id = g.ro.id();
      commit_amend(g.a, patience(), [this, id](CallRet const& c) {
        auto const it = rollouts_.find(id);
        if (it == rollouts_.end()) return;
        it->second.ro.committed(c.code == 200);
        answer_rollout(it->second, c);
        stage_on(it->second, now_s());
      });
    }
    RollPhase const p = g.ro.phase();
    if (p == RollPhase::fell_back) answer_rollout(g, fault(503, "rollout fell back: too few nodes hold it"));
    if (p == RollPhase::aborted) answer_rollout(g, fault(503, "rollout was aborted by the operator"));
    if (p == RollPhase::overtaken && g.r != nullptr) {
      evhttp_request* const r = g.r;
      g.r = nullptr;
      commit_amend(g.a, patience(), [this, r](CallRet const& c) { write(r, c); });
    }
    if (p != g.told || g.ro.stage() != g.told_stage) {
      if (p != g.told && p != RollPhase::holding && p != RollPhase::committing)
        LOG4CPLUS_INFO(lg_, "Rollout " << g.ro.id() << " " << phase_str(p) << " at stage " << g.ro.stage() + 1 << " of " << g.ro.stages() << ", "
                                       << g.ro.holding() << " hold it, " << g.ro.wanted() << " are enough.");
      g.told = p;
      g.told_stage = g.ro.stage();
      RollNote const n = note_of(g, now);
      for (auto& [ip, m] : mates_)
        if (m.link) m.link->send(Kind::rollNote, 0, n);
    }
  }

  void answer_rollout(Staged& g, CallRet const& c) {
    if (g.r == nullptr) return;
    write(g.r, c);
    g.r = nullptr;
  }

  // Sites that registered here get it from us; the others from their own directory,
  // so that it crosses to each zone once.
  void to_sites(std::vector<std::string> const& fronts, Hold const& h) {
    Parcel const pc = parcel(Kind::hold, codec::pack(h));
    std::map<std::string, HoldFor> far;
    for (std::string const& f : fronts) {
      auto const it = catalog_.rows().find(f);
      if (it == catalog_.rows().end()) continue;
      if (it->second.channel != 0) {
        if (auto const p = peers_.find(it->second.channel); p != peers_.end()) p->second.ch->send(pc);
      } else {
        far[it->second.via].sites.push_back(f);
      }
    }
    for (auto& [via, hf] : far) {
      auto const m = mates_.find(via);
      if (m == mates_.end() || !m->second.link) continue;
      hf.hold = codec::pack(h);
      m->second.link->send(Kind::holdFor, 0, hf);
    }
  }

  void hold_for(std::string const& leader, HoldFor const& f) {
    Hold const h = codec::unpack<Hold>(f.hold);
    held_for_[h.id] = {leader, now_s()};
    Parcel const pc = parcel(Kind::hold, f.hold);
    for (std::string const& s : f.sites) {
      auto const it = catalog_.rows().find(s);
      if (it == catalog_.rows().end()) continue;
      if (auto const p = peers_.find(it->second.channel); p != peers_.end()) p->second.ch->send(pc);
    }
  }

  RollNote note_of(Staged const& g, Secs now) const {
    RollNote n;
    n.id = g.ro.id();
    n.at = st_.ip;
    n.phase = g.ro.phase();
    n.stage = static_cast<u32>(g.ro.stage() + 1);
    n.stages = static_cast<u32>(g.ro.stages());
    n.wanted = static_cast<u32>(g.ro.wanted());
    n.holding = static_cast<u32>(g.ro.holding());
    n.age = now - g.start;
    for (Item const& i : g.a.items) n.items.push_back(i.key + "@" + json::gen_str(i.gen));
    return n;
  }

  void rollouts(Secs now) {
    for (auto it = rollouts_.begin(); it != rollouts_.end();) {
      Staged& g = it->second;
      if (!is_over(g.ro.phase())) stage_on(g, now);
      // The ended ones are shown for a while.
      if (is_over(g.ro.phase()) && g.r == nullptr && now - g.start > 600)
        it = rollouts_.erase(it);
      else
        ++it;
    }
    while (notes_.size() > 64) notes_.erase(notes_.begin());
  }

  bool order_rollout(RollCmd const& c) {
    auto const it = rollouts_.find(c.id);
    if (it == rollouts_.end()) return false;
    Rollout& ro = it->second.ro;
    Secs const now = now_s();
    bool const ok = c.order == RollOrder::pause ? ro.pause() : c.order == RollOrder::resume ? ro.resume(now) : ro.abort();
    if (ok) stage_on(it->second, now);
    return ok;
  }

  void order_call(evhttp_request* r, std::string const& id, RollOrder o) {
    RollCmd c;
    char* end = nullptr;
    c.id = std::strtoull(id.c_str(), &end, 10);
    c.order = o;
    if (id.empty() || *end != '\0') return write(r, fault(400, "id: wants a number"));
    if (rollouts_.count(c.id) > 0)
      return write(r, order_rollout(c) ? CallRet{200, "{}"} : fault(409, std::string("rollout is ") + phase_str(rollouts_.at(c.id).ro.phase())));
    auto const it = notes_.find(c.id);
    if (it == notes_.end()) return write(r, fault(404, "id: no such rollout"));
    if (is_over(it->second.phase)) return write(r, fault(409, std::string("rollout is ") + phase_str(it->second.phase)));
    if (!up(it->second.at)) return write(r, fault(503, "the node that leads it is not in touch"));
    mates_[it->second.at].link->send(Kind::rollCmd, 0, c);
    write(r, CallRet{200, "{}"});
  }

  std::string rollout_status() const {
    std::map<u64, RollNote> all = notes_;
    Secs const now = now_s();
    for (auto const& [id, g] : rollouts_) all[id] = note_of(g, now);
    rapidjson::StringBuffer sb;
    rapidjson::Writer<rapidjson::StringBuffer> w(sb);
    w.StartObject();
    w.Key("staged");
    w.Bool(st_.staged);
    w.Key("rollouts");
    w.StartArray();
    for (auto const& [id, n] : all) {
      w.StartObject();
      w.Key("id");
      w.String(std::to_string(id).c_str());
      w.Key("state");
      w.String(phase_str(n.phase));
      w.Key("stage");
      w.String((std::to_string(n.stage) + "/" + std::to_string(n.stages)).c_str());
      w.Key("holding");
      w.Uint(n.holding);
      w.Key("enough");
      w.Uint(n.wanted);
      w.Key("ledBy");
      w.String(n.at.c_str());
      w.Key("ageS");
      w.Double(std::round(n.age * 1000) / 1000);
      w.Key("items");
      w.StartArray();
      for (std::string const& i : n.items) w.String(i.c_str());
      w.EndArray();
      w.EndObject();
    }
    w.EndArray();
    w.EndObject();
    return std::string(sb.GetString(), sb.GetSize());
  }

  // ---- duties ----------------------------------------------------------------------------
  bool reports() const {
    return st_.cloud && envoy_ && std::find(st_.cloudTasks.begin(), st_.cloudTasks.end(), "usage_report") != st_.cloudTasks.end() && partners_.has_tenants();
  }
  bool lends() const {
    for (TenantP const& t : partners_.tenants())
      if (t->allowance) return true;
    return false;
  }
  bool wanted(std::string const& duty) const { return duty == "usage" ? reports() : lends(); }
  bool fit() const { return born_ && leaving_ == 0 && settled(); }

  // Whom a leaving holder names: a mate that would be let act at once, a near one first.
  std::string successor() const {
    std::string best;
    int best_tier = 9;
    if (!committed_) return "-";
    for (Member const& m : committed_->roster) {
      auto const it = mates_.find(m.ip);
      if (m.ip == st_.ip || it == mates_.end() || !up(m.ip) || !it->second.fit || it->second.node.empty()) continue;
      int const t = m.zone == st_.zone ? 0 : m.region == st_.region ? 1 : 2;
      if (t < best_tier) {
        best = it->second.node;
        best_tier = t;
      }
    }
    return best.empty() ? "-" : best;  // nobody: whoever sees the term stand still
  }

  void duties_see(Secs now) {
    if (!committed_) return;
    for (auto& [n, d] : duties_) {
      bool const had = d.holds();
      d.seen(committed_->term(n), now);
      if (had && !d.holds()) lost_duty(n);
    }
    if (Term const* t = committed_->term("usage"); t != nullptr && t->fence != tally_fence_) {
      tally_fence_ = t->fence;
      tally_all_ = true;  // the new holder needs all that is not reported yet
    }
  }

  void lost_duty(std::string const& n) {
    LOG4CPLUS_INFO(lg_, "Duty " << n << " is no longer ours.");
    if (n == "usage") {
      if (envoy_) envoy_->reset();
      reporter_.forget();
    } else {
      lender_.open(1e18);
    }
  }

  void duties(Secs now) {
    for (auto& [n, d] : duties_) {
      Duty::Move const m = d.step(now, fit() && wanted(n));
      // The one call on its way ends before the duty is handed over.
      if (m == Duty::Move::none || (m == Duty::Move::hand && n == "usage" && envoy_ && envoy_->busy())) continue;
      Duty::Ask const a = d.ask(m, now);
      auto const ok = std::make_shared<bool>(false);
      submit(
          [this, n = n, a, ok](State& s) {
            *ok = duties_.at(n).apply(s, a);
            if (*ok && n == "usage" && reporter_.acked()) Reporter::tick_off(s, *reporter_.acked());
            return *ok;
          },
          [this, n = n, a, ok](State const* s) {
            Secs const t = now_s();
            Duty& x = duties_.at(n);
            bool const had = x.holds();
            x.answered(a, s != nullptr && *ok, t);
            if (!had && x.holds()) {
              LOG4CPLUS_INFO(lg_, "Duty " << n << " is ours, fence " << x.fence() << ".");
              // Leases of the lender before may still run.
              if (n == "allowance") lender_.open(t + 1.0 + st_.bounds.leaseTermS * 0.1);
            }
            if (had && !x.holds()) lost_duty(n);
          },
          1.0);
    }
    report(now);
    lend_rules(now);
  }

  void report(Secs now) {
    Duty& d = duties_.at("usage");
    if (!d.holds() || !committed_ || !envoy_) return;
    if (auto const f = reporter_.to_fix(*committed_, totals_, clock_.at(now), now, now - d.since())) {
      submit(
          [this, f = *f, fence = d.fence()](State& s) {
            // Only the holder of the day fixes a body: it has everybody's counts.
            Term const* t = s.term("usage");
            if (t == nullptr || t->fence != fence || t->holder != st_.nodeName) return false;
            bool const ticked = reporter_.acked() && Reporter::tick_off(s, *reporter_.acked());
            return Reporter::fix(s, f) || ticked;
          },
          [](State const*) {}, 1.0);
    }
    auto const s = reporter_.to_send(*committed_, now);
    if (!s || !d.may_act(now, reporter_.call_s())) return;
    d.acted(now);
    reporter_.sent(*s, now);
    envoy_->post("/usage", {{"X-Duty-Holder", st_.nodeName}, {"X-Fence-Number", std::to_string(d.fence())}}, s->body, reporter_.call_s(),
                 [this, w = s->window](int code, Secs wait) {
                   reporter_.answered(w, code, wait, now_s());
                   if (code != 200) LOG4CPLUS_INFO(lg_, "Window " << w << " got " << code << ".");
                 });
  }

  // Wanted: a purse for every partner with an allowance.
  void lend_rules(Secs now) {
    if (!duties_.at("allowance").holds()) return;
    double n = 0;
    for (auto const& [z, c] : counts_) n += c.n;
    for (std::string const& t : lender_.tenants()) {
      TenantP const p = partners_.tenant(t);
      if (!p || !p->allowance) lender_.drop(t);
    }
    for (TenantP const& t : partners_.tenants())
      if (t->allowance) lender_.rule(t->name, BudgetRule{t->allowance->rate, t->allowance->burst, t->allowance->reserve.value_or(0)}, n, now);
  }

  // Counts go on to whoever reports.
  void pass_tally(Secs now) {
    if (now - tallied_ < 0.5 || !committed_) return;
    tallied_ = now;
    Term const* t = committed_->term("usage");
    if (t == nullptr) return;
    if (t->ip == st_.ip) {
      totals_.take(false);
      return;
    }
    auto const it = mates_.find(t->ip);
    if (it == mates_.end() || !it->second.link || !it->second.link->up()) {
      tally_all_ = true;
      return;
    }
    TallyNote const n = totals_.take(tally_all_);
    tally_all_ = false;
    if (!n.rows.empty()) it->second.link->send(Kind::tally, 0, n);
  }

  template <class W>
  void write_duties(W& w) const {
    w.Key("duties");
    w.StartArray();
    if (committed_)
      for (Term const& t : committed_->duties) {
        w.StartObject();
        w.Key("duty");
        w.String(t.duty.c_str());
        w.Key("holder");
        w.String(t.holder.c_str());
        w.Key("fence");
        w.Uint64(t.fence);
        if (!t.next.empty()) {
          w.Key("handedTo");
          w.String(t.next.c_str());
        }
        if (t.duty == "usage") {
          u64 const first = committed_->fixed.empty() ? committed_->to_fix : committed_->fixed.front().window;
          w.Key("lastWindow");  // the newest that the platform acknowledged
          w.Uint64(first == 0 ? 0 : first - 1);
          w.Key("outstanding");
          w.Uint64(committed_->fixed.size());
        }
        w.EndObject();
      }
    w.EndArray();
  }

  std::string duty_status() const {
    rapidjson::StringBuffer sb;
    rapidjson::Writer<rapidjson::StringBuffer> w(sb);
    w.StartObject();
    write_duties(w);
    w.EndObject();
    return std::string(sb.GetString(), sb.GetSize());
  }

  void hand_over_call(evhttp_request* r, std::string const& rest) {
    auto const cut = rest.find('/');
    std::string const duty = rest.substr(0, cut), node = cut == std::string::npos ? "" : rest.substr(cut + 1);
    auto const it = duties_.find(duty);
    if (it == duties_.end()) return write(r, fault(404, "no such duty: " + duty));
    bool known = node == st_.nodeName;
    for (auto const& [ip, m] : mates_) known = known || (!node.empty() && m.node == node && up(ip));
    if (!known) return write(r, fault(404, "no such node in touch: " + node));
    Term const* t = committed_ ? committed_->term(duty) : nullptr;
    if (t == nullptr) return write(r, fault(409, "nobody has the duty yet"));
    if (t->holder == node && t->next.empty()) return write(r, CallRet{200, "{}"});
    if (it->second.hand_over(node)) return write(r, CallRet{200, "{}"});
    if (t->ip == st_.ip || !up(t->ip)) return write(r, fault(503, "its holder is not in touch"));
    DutyCmd c;
    c.duty = duty;
    c.node = node;
    mates_[t->ip].link->send(Kind::dutyCmd, 0, c);
    write(r, CallRet{200, "{}"});
  }

  // The lender knows; another node says where it is.
  void allowance_call(evhttp_request* r, std::string const& tenant, std::string const& uri) {
    Secs const now = now_s();
    Duty const& d = duties_.at("allowance");
    if (!tenant.empty()) {
      TenantP const p = partners_.tenant(tenant);
      if (!p) return write(r, fault(404, "no such tenant: " + tenant));
      if (!p->allowance) return write(r, fault(404, "tenant without an allowance: " + tenant));
    }
    if (!d.holds()) {
      Term const* t = committed_ ? committed_->term("allowance") : nullptr;
      Member const* m = t == nullptr ? nullptr : committed_->member(t->ip);
      if (m == nullptr || m->ip == st_.ip) return write(r, lends() ? fault(503, "nobody lends yet") : CallRet{200, "{\"allowances\":[]}"});
      evhttp_add_header(evhttp_request_get_output_headers(r), "Location", ("http://" + Addr{m->ip, m->control}.str() + uri).c_str());
      return write(r, CallRet{307, "{}"});
    }
    rapidjson::StringBuffer sb;
    rapidjson::Writer<rapidjson::StringBuffer> w(sb);
    auto one = [&](std::string const& t, bool gates) {
      Lender::Seen const s = lender_.show(t, now);
      w.StartObject();
      w.Key("tenant");
      w.String(t.c_str());
      w.Key("rate");
      w.Double(s.rule.rate);
      w.Key("burst");
      w.Double(s.rule.burst);
      w.Key("reserve");
      w.Double(s.rule.reserve);
      w.Key("left");
      w.Double(std::floor(s.level));
      w.Key("lent");
      w.Double(s.lent);
      w.Key("spent");
      w.Uint64(s.spent);
      w.Key("refused");
      w.Uint64(s.refused);
      if (gates) {
        w.Key("gateways");
        w.StartArray();
        for (auto const& [f, n] : s.lent_by) {
          w.StartObject();
          w.Key("address");
          w.String(f.c_str());
          w.Key("lent");
          w.Double(n);
          w.EndObject();
        }
        w.EndArray();
      }
      w.EndObject();
    };
    if (tenant.empty()) {
      w.StartObject();
      w.Key("allowances");
      w.StartArray();
      for (std::string const& t : lender_.tenants()) one(t, false);
      w.EndArray();
      w.EndObject();
    } else {
      one(tenant, true);
    }
    write(r, CallRet{200, std::string(sb.GetString(), sb.GetSize())});
  }

  // ---- surveys: what the proxies see, asked for when somebody plans ---------------------
  struct Asked {
    evhttp_request* r = nullptr;
    std::vector<Survey> got;
    std::set<std::string> waiting;
    std::size_t sites = 0;
  };

  void survey_call(evhttp_request* r) {
    u64 const id = random64() >> 16 | 1;
    Asked& q = asked_[id];
    q.r = r;
    for (auto const& [f, s] : catalog_.rows()) q.waiting.insert(f);
    SurveyAsk a;
    a.id = id;
    survey_sites(a, "");
    for (auto& [ip, m] : mates_)
      if (m.link) m.link->send(Kind::survey, 0, a);
    after(eb_, 1.2, [this, id] { survey_over(id); });
    if (q.waiting.empty()) after(eb_, 0, [this, id] { survey_over(id); });
  }

  void survey_sites(SurveyAsk const& a, std::string const& from) {
    if (!from.empty()) surveys_for_[a.id] = {from, now_s()};
    for (auto& [id, p] : peers_)
      if (p.primary) p.ch->send(Kind::survey, 0, a);
  }

  void heard_survey(Survey const& s, std::string_view body) {
    auto const it = asked_.find(s.id);
    if (it == asked_.end()) {
      if (auto const f = surveys_for_.find(s.id); f != surveys_for_.end() && mate(f->second.first).link && mate(f->second.first).link->up())
        mate(f->second.first).link->ch()->send(Kind::surveyR, 0, body);
      return;
    }
    it->second.got.push_back(s);
    it->second.waiting.erase(s.front);
    if (it->second.waiting.empty()) survey_over(s.id);
  }

  void survey_over(u64 id) {
    auto const it = asked_.find(id);
    if (it == asked_.end()) return;
    Asked const q = std::move(it->second);
    asked_.erase(it);
    Capture c;
    c.takenAt = wall_s();
    c.node = st_.nodeName;
    c.settled = settled();
    c.beatPeriodS = st_.beatPeriodS;
    for (auto const& [z, g] : st_.zones) {
      CapZone x;
      x.zone = z;
      x.region = g;
      if (auto const n = counts_.find(z); n != counts_.end()) x.proxies = n->second.n;
      if (committed_)
        for (Evac const& e : committed_->evacs) x.evacuated = x.evacuated || (e.zone == z && e.on);
      c.zones.push_back(std::move(x));
    }
    for (Row const& r : roll_.all(now_s())) {
      if (r.state == Standing::gone) continue;
      CapServer x;
      x.id = r.id;
      x.service = r.service;
      x.zone = r.zone;
      x.capacity = r.capacity;
      x.ready = r.state == Standing::ready;
      x.coldLeftS = r.cold_left;
      c.servers.push_back(std::move(x));
    }
    if (committed_) {
      Compiled const man = Compiled::from(committed_->items);
      std::set<std::string> busy;
      for (Survey const& s : q.got)
        for (LaneRate const& l : s.lanes) busy.insert(l.lane);
      for (auto const& [k, l] : man.all_lanes()) {
        if (busy.count(l->name) == 0) continue;
        CapLane x;
        x.name = l->name;
        x.kind = json::kind_str(l->kind);
        x.rank = l->rank;
        x.setpointS = l->setpoint;
        x.homes = l->homes;
        c.lanes.push_back(std::move(x));
        for (auto const& [svc, gain] : l->to)
          if (PoolDef const* p = man.pool(svc); p != nullptr && std::none_of(c.pools.begin(), c.pools.end(), [&](CapPool const& y) { return y.name == svc; })) {
            CapPool y;
            y.name = svc;
            y.connLimit = p->conn_limit;
            y.coldRateS = p->cold_rate;
            c.pools.push_back(std::move(y));
          }
      }
    }
    c.surveys = q.got;
    c.silent.assign(q.waiting.begin(), q.waiting.end());
    write(q.r, CallRet{200, json::render(c)});
  }

  // ---- sites that registered with mates ---------------------------------------------------
  void tell_sites(Secs now) {
    if (now - sites_told_ < 0.25) return;
    sites_told_ = now;
    SiteNote n;
    for (std::string const& f : fresh_sites_) {
      auto const it = catalog_.rows().find(f);
      if (it == catalog_.rows().end() || it->second.channel == 0) continue;
      SiteRow r;
      r.front = f;
      r.zone = it->second.zone;
      r.region = it->second.region;
      r.ready = it->second.ready;
      r.load = it->second.load;
      r.age = now - it->second.heard;
      n.rows.push_back(std::move(r));
    }
    fresh_sites_.clear();
    if (n.rows.empty()) return;
    Parcel const pc = parcel(Kind::sites, codec::pack(n));
    for (auto& [ip, m] : mates_)
      if (m.link) m.link->send(pc);
  }

  void mate_sites(std::string const& from, SiteNote const& n, Secs now) {
    for (SiteRow const& r : n.rows) {
      if (st_.region_of(r.zone) != r.region || r.front.empty()) continue;
      auto const it = catalog_.rows().find(r.front);
      // Who registered here is known first-hand.
      if (it != catalog_.rows().end() && it->second.channel != 0 && now - it->second.heard < 1.0) continue;
      Site s;
      s.front = r.front;
      s.zone = r.zone;
      s.region = r.region;
      s.ready = r.ready;
      s.load = r.load;
      s.heard = now - r.age;
      s.via = from;
      catalog_.keep(std::move(s));
    }
    count_sites(now);
  }

  void read(evhttp_request* r) {
    submit([](State&) { return false; },
           [this, r](State const* s) {
             if (s == nullptr) return write(r, fault(503, "no majority in time"));
             write(r, CallRet{200, render_read(s->by_key())});
           },
           patience());
  }

  void evacuate(evhttp_request* r, std::string const& zone, bool on) {
    if (st_.zones.count(zone) == 0) return write(r, fault(404, "no such zone"));
    if (leaving_ > 0) return write(r, fault(503, "leaving"));
    submit(
        [zone, on](State& s) {
          for (Evac& e : s.evacs)
            if (e.zone == zone) {
              if (e.on == on) return false;
              e.on = on;
              ++e.counter;
              return true;
            }
          if (!on) return false;
          Evac e;
          e.zone = zone;
          e.counter = 1;
          e.on = true;
          s.evacs.push_back(e);
          return true;
        },
        [this, r](State const* s) {
          if (s == nullptr) return write(r, fault(503, "no majority in time"));
          write(r, CallRet{200, "{}"});
        },
        patience());
  }

  void directory(evhttp_request* r) {
    std::string const uri = evhttp_request_get_uri(r);
    if (uri.compare(0, 12, "/-/resolve?n") != 0 && uri.compare(0, 11, "/-/resolve?") != 0 && uri != "/-/resolve") return write(r, fault(404, "no such call"));
    if (evhttp_request_get_command(r) != EVHTTP_REQ_GET) return write(r, fault(405, "wants GET"));
    evkeyvalq q{};
    evhttp_parse_query(uri.c_str(), &q);
    Consumer c;
    if (char const* z = evhttp_find_header(&q, "zone"); z != nullptr) c.zone = z;
    if (char const* g = evhttp_find_header(&q, "region"); g != nullptr) c.region = g;
    evhttp_clear_headers(&q);
    if (c.region.empty()) c.region = st_.region_of(c.zone);
    auto const l = catalog_.resolve(c);
    if (l.empty()) return write(r, fault(503, "no site is ready"));
    schema::ResolveRet ret;
    for (Site const* s : l) ret.addresses.push_back(s->front);
    // Who has but one address has nowhere else to go until it asks again.
    ret.ttlS = std::min(l.size() > 1 ? 2.0 : 1.0, st_.bounds.ttlMaxS);
    write(r, CallRet{200, json::render(ret)});
  }

  std::string status() const {
    rapidjson::StringBuffer sb;
    rapidjson::Writer<rapidjson::StringBuffer> w(sb);
    w.StartObject();
    w.Key("node");
    w.String(st_.nodeName.c_str());
    w.Key("settled");
    w.Bool(settled());
    w.Key("ballot");
    w.Uint64(bal().v);
    w.Key("keysWhole");
    w.Bool(ledger_->whole());
    w.Key("keys");
    w.Uint64(ledger_->size());
    w.Key("members");
    w.StartArray();
    if (committed_)
      for (Member const& m : committed_->roster) {
        w.StartObject();
        w.Key("address");
        w.String(m.ip.c_str());
        w.Key("zone");
        w.String(m.zone.c_str());
        w.Key("up");
        w.Bool(up(m.ip));
        w.EndObject();
      }
    w.EndArray();
    w.Key("items");
    w.StartArray();
    if (committed_)
      for (Item const& i : committed_->items) {
        w.StartObject();
        w.Key("key");
        w.String(i.key.c_str());
        w.Key("generation");
        w.String(json::gen_str(i.gen).c_str());
        w.Key("dropped");
        w.Bool(i.gone);
        w.EndObject();
      }
    w.EndArray();
    write_duties(w);
    w.Key("evacuations");
    w.StartArray();
    if (committed_)
      for (Evac const& e : committed_->evacs)
        if (e.on) w.String(e.zone.c_str());
    w.EndArray();
    w.Key("servers");
    w.StartArray();
    for (auto const& [id, e] : roll_.entries()) {
      if (e.row.state == Standing::gone) continue;
      w.StartObject();
      w.Key("id");
      w.String(id.c_str());
      w.Key("service");
      w.String(e.row.service.c_str());
      w.Key("zone");
      w.String(e.row.zone.c_str());
      w.Key("state");
      w.String(e.row.state == Standing::ready ? "ready" : "draining");
      w.EndObject();
    }
    w.EndArray();
    w.Key("sites");
    w.StartArray();
    for (auto const& [f, s] : catalog_.rows()) {
      w.StartObject();
      w.Key("address");
      w.String(f.c_str());
      w.Key("zone");
      w.String(s.zone.c_str());
      w.Key("ready");
      w.Bool(s.ready);
      w.Key("load");
      w.Double(s.load);
      w.EndObject();
    }
    w.EndArray();
    w.EndObject();
    return std::string(sb.GetString(), sb.GetSize());
  }

  // How many proxies share the global bounds. Fewer are believed only after a
  // while: one that is cut off or starting anew still takes its share.
  void count_sites(Secs now) {
    std::map<std::string, u32> n;
    for (auto const& [f, s] : catalog_.rows()) ++n[s.zone];
    bool changed = false;
    for (auto& [z, c] : counts_)
      if (n[z] >= c.n) c.seen = now;
    for (auto const& [z, k] : n) {
      Counted& c = counts_[z];
      if (k > c.n || (k < c.n && now - c.seen > st_.bounds.retryWindowS)) {
        c.n = k;
        c.seen = now;
        changed = true;
      }
    }
    if (!changed) return;
    ++counts_turn_;
    News w;
    w.sites = counted();
    vellum_->submit_lazy({meta("sites", codec::pack(w))});
  }

  std::vector<ZoneCount> counted() const {
    std::vector<ZoneCount> v;
    for (auto const& [z, c] : counts_) {
      ZoneCount zc;
      zc.zone = z;
      zc.n = c.n;
      v.push_back(zc);
    }
    return v;
  }

  // A few sites that a site may reach the core through when it is cut off: of its
  // region first, by chance.
  std::vector<std::string> relays_for(SiteBeat const& b) const {
    std::vector<std::pair<double, std::string>> v;
    for (auto const& [f, s] : catalog_.rows())
      if (f != b.front) v.emplace_back(random01() + (s.region == b.region ? 0 : 1), f.substr(0, f.find(':')));
    std::size_t const n = std::min<std::size_t>(6, v.size());
    std::partial_sort(v.begin(), v.begin() + static_cast<long>(n), v.end());
    std::vector<std::string> out;
    for (std::size_t i = 0; i < n; ++i) out.push_back(v[i].second);
    return out;
  }

  Digest own_digest(bool with_mates) const {
    Digest d;
    d.digest = told_digest_;
    d.bal = bal();
    d.life = acceptor_->life();
    d.accepted = durable_;
    d.wall = wall_s();
    d.node = st_.nodeName;
    d.fit = fit() && duties_.at("usage").free(now_s());
    if (with_mates) d.mates = known();
    return d;
  }

  // ---- loops -----------------------------------------------------------------------------
  void tick() {
    Secs const now = now_s();
    if (last_tick_ > 0 && now - last_tick_ > 1.0) {  // we stood still; the others did not
      roll_.forgive(now);
      catalog_.forgive(now);
    }
    last_tick_ = now;
    for (auto& [ip, m] : mates_)
      if (m.link) m.link->tick(now);
    if (!proposer_.idle() && now - proposer_.since() > 1.2) {
      proposer_.abandon();
      std::vector<Call> b;
      b.swap(batch_);
      for (auto it = b.rbegin(); it != b.rend(); ++it) calls_.push_front(std::move(*it));
    }
    clock_.own(now, wall_s());
    pump();
    rollouts(now);
    duties(now);
    pass_tally(now);
    tell_sites(now);
    join_roster(now);
    rebuild(now);
    // A value accepted but not known to be committed is brought to an end.
    if (acceptor_->state() && acceptor_->state()->bal > bal()) {
      if (finish_at_ == 0) finish_at_ = now + 0.8 + 0.8 * random01();
      if (now > finish_at_ && calls_.empty() && proposer_.idle()) {
        finish_at_ = now + 1.0 + random01();
        submit([](State&) { return false; }, [](State const*) {}, 1.5);
      }
    } else {
      finish_at_ = 0;
    }
    if (now - slow_at_ < 0.6) return;
    slow_at_ = now;
    if (now - start_ > 3 * st_.beatPeriodS) spread(roll_.expire(st_.ip, 3 * st_.beatPeriodS, now), "");
    for (auto& [ip, m] : mates_)
      if (m.link && m.heard > 0 && now - m.heard > 12) {
        std::vector<Row> const gone = roll_.expire_of(ip, now);
        m.heard = now;
        spread(gone, ip);
      }
    roll_.purge(90, now);
    catalog_.expire(now);
    count_sites(now);
    auto const old = ledger_->forget(st_.bounds.keyHorizonS * 1.25 + 5, now, 200);
    if (!old.empty()) {
      std::vector<Vellum::Op> ops;
      for (std::string const& k : old) {
        Vellum::Op o;
        o.what = Vellum::Op::What::drop_key;
        o.k = k;
        ops.push_back(std::move(o));
      }
      vellum_->submit_lazy(std::move(ops));
    }
    std::erase_if(held_for_, [&](auto const& x) { return now - x.second.second > 60; });
    std::erase_if(surveys_for_, [&](auto const& x) { return now - x.second.second > 10; });
    Digest const d = own_digest(true);
    for (auto& [ip, m] : mates_)
      if (m.link && m.link->up()) {
        m.digest_sent = now;
        m.link->send(Kind::digest, 0, d);
      }
    bool duty = false;
    for (auto const& [n, x] : duties_) duty = duty || x.handing();
    if (leaving_ > 0 && ((calls_.empty() && batch_.empty() && !duty && now - leaving_ > 0.5) || now - leaving_ > st_.bounds.gracePeriodS - 1.5)) event_base_loopbreak(eb_);
  }

  event_base* eb_;
  Settings st_;
  Proposer proposer_;
  Catalog<NearSelector> catalog_;
  Door door_;
  std::unique_ptr<Vellum> vellum_;
  std::unique_ptr<Acceptor> acceptor_;
  std::unique_ptr<Ledger> ledger_;
  std::vector<DiskKey> early_keys_;
  std::optional<State> committed_;  // the newest value known to stand on a majority
  std::map<std::string, Mate> mates_;
  std::map<u64, Peer> peers_;
  std::deque<Call> calls_;
  std::vector<Call> batch_;
  std::set<std::string> rebuild_heard_;
  struct Kept {
    std::string key;
    Secs at = 0;
    std::size_t bytes = 0;
  };
  std::deque<Kept> ret_order_;  // oldest first
  std::size_t ret_bytes_ = 0;   // of all in it
  struct Counted {
    u32 n = 0;
    Secs seen = 0;
  };
  u64 counts_turn_ = 1;
  std::map<std::string, Counted> counts_;  // proxies by zone
  Roll roll_;
  evhttp *control_ = nullptr, *directory_ = nullptr;
  std::unique_ptr<Ticker> tick_;
  std::map<u64, Staged> rollouts_;  // led from here
  std::map<u64, RollNote> notes_;   // led elsewhere, as told
  std::map<u64, std::pair<std::string, Secs>> held_for_;     // rollouts passed on: who leads them
  std::map<u64, std::pair<std::string, Secs>> surveys_for_;  // surveys passed on: who asked
  std::map<u64, Asked> asked_;
  State view_;                            // of committed_, as proxies and agents go by it
  Ballot changed_since_;                  // from here on `changed_` is whole
  std::map<std::string, Ballot> changed_;  // item -> view that last changed it
  std::map<std::string, std::string> pending_;  // rows to pass on: id -> the mate that told us
  bool flushing_ = false;
  u64 told_digest_ = 0;                   // of the roll as others were told of it
  std::set<std::string> fresh_sites_;     // heard since mates were last told
  Compiled partners_;                     // customers only
  std::map<std::string, Duty> duties_;
  Reporter reporter_{ReportPlan{}};
  std::unique_ptr<Envoy> envoy_;
  Lender lender_;
  Totals totals_;
  TrueClock clock_;
  u64 tally_fence_ = 0;
  bool tally_all_ = false;
  Secs tallied_ = 0, sites_told_ = 0;
  bool born_ = false, filling_ = false;
  Ballot durable_;  // of the newest value on our own disk
  int losses_ = 0;
  Ballot way_for_;
  Secs way_until_ = 0;
  Secs start_ = 0, finish_at_ = 0, join_at_ = 0, rebuild_at_ = 0, next_round_ = 0, slow_at_ = 0, leaving_ = 0, last_tick_ = 0;
  log4cplus::Logger lg_ = log4cplus::Logger::getInstance("archivist");
};

}  // namespace

int main(int argc, char** argv) { return run_daemon<Archivist>({"archivist", "dockbend's control API, register and directory", true, {"control"}}, argc, argv); }
