// page: the proxy's agent. It keeps the link to the core, registers the proxy
// with the directories, feeds it over loopback and brings its claims to a
// majority of the core's disks.
#include <unistd.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>

#include "consensus/replicated_state.hpp"
#include "idempotency/claim_coordinator.hpp"
#include "logging/log.hpp"
#include "planning/traffic_survey.hpp"
#include "process/program.hpp"
#include "quorum_contact/controller_selection.hpp"
#include "quorum_contact/quorum_contact.hpp"
#include "quota/quota.hpp"
#include "rollout/rollout.hpp"
#include "server_registry/server_registry.hpp"
#include "usage/usage_totals.hpp"

using namespace dockbend;

namespace {

struct Mate {
  std::unique_ptr<Link> link;
  bool feeding = false;
  Said contact;  // with a majority, as it says itself
  Mismatch off;
  Secs pulled = 0, beat_sent = 0, hello_sent = 0, behind = 0;  // behind: since when it names a newer manifest
  u32 beats = 0;  // names the newest keepalive; an answer to an earlier one tells no time

  double rtt = 0.1;
  std::map<std::string, u32> sites;
  Life life;
};

// The keepalive of the design: 5 s and three misses to begin with. Here a site's
// machine may be gone between two breaths, and a list that still names it costs its
// zone everything, so it is shorter.
Secs const keepalive_s = 0.6;

class Agent {
 public:
  Agent(event_base* eb, Settings const& st)
      : eb_(eb), st_(st), door_(eb, Addr{"127.0.0.1", st.agent()}), claims_(st.zone, st.region, st.nodeName) {
    door_.on_channel.connect([this](ChannelP c) { took(std::move(c)); });
    for (Addr const& s : st_.seeds)
      mate(s.ip);
    if (st_.relay() != 0) {
      try {
        relay_ = std::make_unique<Relay>(eb, Addr{st_.ip, st_.relay()}, st_.innerFirst,
                                         [this](std::string const& ip) { return mates_.count(ip) > 0; });
      } catch (std::exception const& e) {
        LOG4CPLUS_WARN(lg_, "Relays for nobody: " << e.what() << ".");
      }
    }
    tick_ = std::make_unique<Ticker>(eb, 0.08, [this] { tick(); });
  }

  void settings(Settings const& s) {
    st_.seeds = s.seeds;
    st_.bounds = s.bounds;
    for (Addr const& a : st_.seeds)
      mate(a.ip);
  }

  void term() {
    if (draining_) return;
    draining_ = true;
    drain_at_ = now_s();
    beat_all();
  }

 private:
  // ---- mates -------------------------------------------------------------------
  Mate& mate(std::string const& ip) {
    auto const it = mates_.find(ip);
    if (it != mates_.end()) return it->second;
    Mate& m = mates_[ip];
    m.link = std::make_unique<Link>(eb_, Addr{ip, st_.innerFirst}, 1.0,
                                    1.5);  // our keepalives are answered, so pings are rare
    m.link->relays([this] { return relays_; });
    m.link->on_up.connect([this, ip](Link& l) {
      Hello h;
      h.role = 2;
      h.ip = st_.ip;
      h.zone = st_.zone;
      h.region = st_.region;
      h.node = st_.nodeName;
      h.front = front();
      l.send(Kind::hello, 0, h);
      mates_[ip].hello_sent = now_s();
      mates_[ip].contact.reset();
      l.ch()->send(Kind::probe, 0, std::string_view());
      feeds();
      if (mates_[ip].feeding) beat(ip, mates_[ip]);
      claims_.up(ip, l.connection(), l.relayed());
      say_claims();
    });
    m.link->on_down.connect([this, ip](Link&) {
      Mate& x = mates_[ip];
      x.feeding = false;
      x.off.reset();
      x.sites.clear();
      claims_.down(ip);
      say_claims();
      if (ip == primary_) {
        primary_.clear();
        tally_all_ = true;  // whoever told the others of our counts may have lost them
        feeds();
        beat_all();
      }
    });
    m.link->on_letter.connect([this, ip](Link& k, Letter const& l) { letter(ip, k, l); });
    return m;
  }

  std::string const& front() const { return front_; }

  int tier(std::string const& ip) const {
    if (have_) {
      if (Member const* m = state_.member(ip); m != nullptr && !m->zone.empty())
        return m->zone == st_.zone ? 0 : m->region == st_.region ? 1 : 2;
    }
    return 3;
  }

  void beat(std::string const& ip, Mate& m) {
    SiteBeat b;
    b.front = front();
    b.zone = st_.zone;
    b.region = st_.region;
    b.ready = ready_ && !draining_ && now_s() - proxy_heard_ < 2.0;
    b.load = load_;
    b.bal = have_ ? state_.bal : Ballot();
    b.primary = ip == primary_;
    if (said_.stage > 0) b.drain = word_;
    b.strays = claims_.strays().all();
    m.beat_sent = now_s();
    m.link->send(Kind::beat, ++m.beats, b);
  }
  // The site registers with the directories that feed it; the nearest tells the rest.
  void beat_all() {
    for (auto& [ip, m] : mates_)
      if (m.feeding && m.link->up()) beat(ip, m);
  }

  void letter(std::string const& ip, Link& link, Letter const& l) {
    Mate& m = mates_[ip];
    Secs const now = now_s();
    switch (l.kind) {
      case Kind::helloR: {
        HelloR const h = l.as<HelloR>();
        m.life = h.life;
        if (m.hello_sent > 0) {
          m.rtt = std::min(1.0, now - m.hello_sent);
          claims_.rtt(ip, m.rtt);
          if (h.wall > 0) clock_.mate(ip, now - 0.5 * m.rtt, h.wall);
          m.hello_sent = 0;
        }
        for (std::string const& x : h.mates)
          if (is_ip(x)) mate(x);
        break;
      }
      case Kind::beatR: {
        SiteBeatR const r = l.as<SiteBeatR>();
        if (l.tag == m.beats) {
          m.rtt = m.rtt * 0.7 + 0.3 * (now - m.beat_sent);
          claims_.rtt(ip, m.rtt);
          if (r.wall > 0) clock_.mate(ip, now - 0.5 * (now - m.beat_sent), r.wall);
        }
        m.contact.hear(r.in_contact, now);
        if (!r.sites.empty()) {  // said only when it changed
          m.sites.clear();
          for (ZoneCount const& z : r.sites)
            m.sites[z.zone] = z.n;
          tell_sites();
        }
        if (!r.relays.empty() && !m.link->relayed()) {
          relays_.clear();
          for (std::string const& x : r.relays)
            if (is_ip(x)) relays_.push_back(Addr{x, st_.relay()});
        }
        // Orders out of contact may be old.
        if (ip == primary_ && r.in_contact && (r.drain.stage != said_.stage || r.drain.life != said_.life)) {
          said_ = r.drain;
          if (proxy_) proxy_->send(Kind::drain, 0, said_);
        }
        // News comes by itself. Only who stays behind asks, for what it lacks.
        // Who has nothing takes what may be old only if nobody has had better for a while.
        bool const late = have_ ? r.bal > state_.bal : r.in_contact || now - start_ > st_.bounds.applyBoundS;
        if (!late) {
          m.behind = 0;
        } else if (m.behind == 0) {
          m.behind = now;
        }
        if (late && (!have_ || now - m.behind > 0.5) && now - m.pulled > 1.0) {
          m.pulled = now;
          m.link->send(Kind::pull, 0, Pull{have_ ? state_.bal : Ballot()});
        }
        if (m.feeding && r.in_contact && m.off.hear(roll_.digest(), r.digest))
          m.link->send(Kind::feed, 0, Feed{true, have_ ? state_.bal : Ballot()});
        break;
      }
      case Kind::probeR: m.contact.hear(l.as<ProbeR>().left > 0, now); break;
      case Kind::news: news(l.as<News>(), now, ip); break;
      case Kind::commitR: {
        Commit const c = l.as<Commit>();
        if (!c.state.empty())
          take(read_state(c.state));
        else if (!c.delta.empty())
          take_delta(read_delta(c.delta), ip);
        break;
      }
      case Kind::loanR: {
        if (proxy_) proxy_->send(Kind::loanR, 0, l.body);
        break;
      }
      case Kind::survey: {
        surveyed_by_[l.as<SurveyAsk>().id] = {ip, now + 10};
        if (proxy_) proxy_->send(Kind::survey, l.tag, l.body);
        break;
      }
      case Kind::claimR:
        claims_.heard(ip, link.connection(), l.tag, l.as<ClaimR>(), now);
        say_claims();
        break;
      case Kind::hold: {
        // The proxy says whether it holds it; without a proxy nobody answers.
        Hold const h = l.as<Hold>();
        if (proxy_) proxy_->send(Kind::hold, 0, l.body);
        if (h.drop)
          held_by_.erase(h.id);
        else
          held_by_[h.id] = {ip, now + h.for_ms / 1000.0};
        break;
      }
      case Kind::fetchR:
        claims_.heard(ip, link.connection(), l.tag, l.as<FetchR>());
        say_claims();
        break;
      default: ++bad_input().letters; break;
    }
  }

  void news(News const& n, Secs now, std::string const& from) {
    if (!n.state.empty())
      take(read_state(n.state));
    else if (!n.delta.empty())
      take_delta(read_delta(n.delta), from);
    for (Row const& r : n.rows) {
      u64 const d = roll_.digest();
      if (roll_.join(r, now) || d != roll_.digest()) rows_dirty_.insert(r.id);
    }
    if (n.rows_full)
      for (std::string& id : roll_.drop_absent(n.rows, 5.0, now))
        rows_dirty_.insert(std::move(id));
  }

  void take_delta(Delta const& d, std::string const& from) {
    if (!have_ || d.bal <= state_.bal) return;
    State s = state_;
    if (apply(s, d)) return take(std::move(s), &d);
    Mate& m = mates_[from];
    if (m.link->up() && now_s() - m.pulled > 0.3) {
      m.pulled = now_s();
      m.link->send(Kind::pull, 0, Pull{state_.bal});
    }
  }

  // Takes what a majority holds; a node never steps back.
  void take(State s, Delta const* d = nullptr) {
    if (have_ && s.bal <= state_.bal) return;
    state_ = std::move(s);
    have_ = true;
    for (Member const& m : state_.roster)
      if (is_ip(m.ip)) mate(m.ip);
    tell_state(d);
    totals_.forget(Window(state_.to_fix));
    claims_.roster(state_, now_s());
    say_claims();
  }

  // ---- the proxy -----------------------------------------------------------------
  void took(ChannelP c) {
    if (proxy_) proxy_->close();
    proxy_ = c;
    claims_.proxy(c->id());
    say_claims();
    c->on_letter.connect([this](Channel& ch, Letter const& l) { from_proxy(ch, l); });
    c->on_down.connect([this](Channel& ch) {
      if (proxy_.get() == &ch) {
        ready_ = false;
        claims_.proxy(0);
        say_claims();
        after(eb_, 0, [this, p = proxy_] {
          if (proxy_ == p) proxy_.reset();
        });
        beat_all();
      }
    });
    told_bal_.reset();
    tell_state(nullptr);
    rows_all_ = true;
    word_ = DrainWord();
    if (said_.stage > 0) c->send(Kind::drain, 0, said_);
    sites_told_.clear();
    clock_told_ = 0;
    tell_sites();
  }

  // The whole at first, then what changed.
  void tell_state(Delta const* d) {
    if (!proxy_ || !have_) return;
    News n;
    if (d != nullptr && told_bal_ == d->base)
      n.delta = codec::pack(*d);
    else
      n.state = codec::pack(state_);
    told_bal_ = state_.bal;
    proxy_->send(Kind::news, 0, n);
  }
  void tell_rows(Secs now) {
    if (!proxy_ || (rows_dirty_.empty() && !rows_all_)) return;
    News n;
    n.rows_full = rows_all_;
    if (rows_all_) {
      for (Row& r : roll_.all(now))
        if (r.state != Standing::gone) n.rows.push_back(std::move(r));
    } else {
      for (std::string const& id : rows_dirty_)
        if (auto r = roll_.get(id, now)) n.rows.push_back(std::move(*r));
    }
    rows_dirty_.clear();
    rows_all_ = false;
    proxy_->send(Kind::news, 0, n);
  }
  void tell_clock(Secs now) {
    if (!proxy_ || now - clock_told_ < 1.0) return;
    clock_told_ = now;
    ClockSaid c;
    c.wall = clock_.at(now_s());
    proxy_->send(Kind::clock, 0, c);
  }
  // Counts go to the nearest directory, which brings them to the node that reports.
  void tell_tally(Secs now) {
    if (now - tallied_ < 0.5 || primary_.empty()) return;
    tallied_ = now;
    TallyNote const n = totals_.take(tally_all_);
    tally_all_ = false;
    if (!n.rows.empty()) mates_[primary_].link->send(Kind::tally, 0, n);
  }
  // The most that any directory counts in a zone: who knows less is more careful.
  void tell_sites() {
    std::map<std::string, u32> mx;
    for (auto const& [ip, m] : mates_)
      if (m.link->up())
        for (auto const& [z, n] : m.sites)
          mx[z] = std::max(mx[z], n);
    if (mx.empty() || mx == sites_told_ || !proxy_) return;
    sites_told_ = mx;
    News n;
    for (auto const& [z, c] : mx) {
      ZoneCount zc;
      zc.zone = z;
      zc.n = c;
      n.sites.push_back(zc);
    }
    proxy_->send(Kind::news, 0, n);
  }

  void from_proxy(Channel& ch, Letter const& l) {
    proxy_heard_ = now_s();
    switch (l.kind) {
      case Kind::load: {
        Load const x = l.as<Load>();
        bool const was = ready_;
        ready_ = x.ready;
        load_ = x.load;
        front_ = x.front;
        word_ = x.drain;
        if (was != ready_) beat_all();
        break;
      }
      case Kind::ask:
        claims_.ask(ch.id(), l.tag, l.as<Ask>(), now_s());
        say_claims();
        break;
      case Kind::done:
        claims_.told(l.as<Told>());
        say_claims();
        break;
      case Kind::tally:
        for (TallyRow const& r : l.as<TallyNote>().rows)
          totals_.join(r);
        break;
      case Kind::loan: {
        Term const* t = have_ ? state_.term("allowance") : nullptr;
        auto const it = t == nullptr ? mates_.end() : mates_.find(t->ip);
        if (it != mates_.end() && it->second.link->up()) it->second.link->ch()->send(Kind::loan, 0, l.body);
        break;
      }
      case Kind::surveyR:
        // To whoever asked this one; another may ask meanwhile.
        if (auto const it = surveyed_by_.find(l.as<Survey>().id); it != surveyed_by_.end())
          if (Mate& m = mates_[it->second.first]; m.link->up()) m.link->ch()->send(Kind::surveyR, l.tag, l.body);
        break;
      case Kind::holdR: {
        HoldR const r = l.as<HoldR>();
        auto const it = held_by_.find(r.id);
        if (it == held_by_.end()) break;
        Mate& m = mates_[it->second.first];
        if (m.link && m.link->ch() != nullptr) m.link->ch()->send(Kind::holdR, 0, l.body);
        break;
      }
      default: ++bad_input().letters; break;
    }
  }

  // ---- keys: what the claims want sent -----------------------------------------------
  void say_claims() {
    for (ClaimStep const& x : claims_.take())
      std::visit([this](auto const& y) { say(y); }, x);
  }
  template <class T>
  void to_disk(std::string const& ip, Kind k, u32 tag, T const& x) {
    if (auto const it = mates_.find(ip); it != mates_.end()) it->second.link->send(k, tag, x);
  }
  void say(ClaimOut const& x) { to_disk(x.to, Kind::claim, x.tag, x.claim); }
  void say(ReleaseOut const& x) { to_disk(x.to, Kind::release, 0, x.release); }
  void say(FetchOut const& x) { to_disk(x.to, Kind::fetch, x.tag, x.fetch); }
  void say(StoreOut const& x) {
    if (Channel* const c = mates_[x.to].link->ch(); c != nullptr)
      c->send(Kind::store, 1, std::string_view(x.answer));  // it sees to the second copy
  }
  void say(PullOut const& x) {
    Mate& m = mates_[x.to];
    if (now_s() - m.pulled <= 0.05) return;
    m.pulled = now_s();
    m.link->send(Kind::pull, 0, Pull{state_.bal});
  }
  void say(AnswerOut const& x) {
    if (proxy_ && proxy_->id() == x.asker) proxy_->send(Kind::askR, x.tag, x.answer);
  }

  // ---- loops -------------------------------------------------------------------------
  void tick() {
    Secs const now = now_s();
    if (now - last_tick_ > 1.0 && last_tick_ > 0) beat_all();
    last_tick_ = now;
    clock_.own(now, wall_s());
    if (now - bad_at_ > 10) {
      bad_at_ = now;
      say_bad_input();
    }
    for (auto& [ip, m] : mates_)
      m.link->tick(now);
    if (relay_) relay_->tick(now);
    tell_rows(now);
    tell_clock(now);
    tell_tally(now);
    claims_.tick(now);
    say_claims();
    if (now - measured_ > 10) {
      measured_ = now;
      if (std::string const t = sent_by_kind(); !t.empty())
        LOG4CPLUS_INFO(lg_, "Sent by kind, letters/bytes: " << t << ".");
      if (std::string const t = claims_.strays().news(); !t.empty())
        LOG4CPLUS_INFO(lg_, "Dropped, for no open question fits: " << t << ".");
    }
    if (now - last_beat_ > keepalive_s) {
      last_beat_ = now;
      beat_all();
      for (auto* const l : {&held_by_, &surveyed_by_})
        std::erase_if(*l, [&](auto const& x) { return x.second.second < now; });
      // Who feeds us says so with each keepalive; who was out of contact is asked. Near ones
      // hear our keepalive: clients that reach them may ask them where we are.
      std::vector<std::string> const nearest = feeders(false);
      for (auto& [ip, m] : mates_) {
        if (!m.link->up() || m.feeding || !m.contact.out()) continue;
        if (std::find(nearest.begin(), nearest.end(), ip) != nearest.end())
          beat(ip, m);
        else
          m.link->ch()->send(Kind::probe, 0, std::string_view());
      }
      roll_.purge(90, now);
    }
    feeds();
    if (draining_ && ((!proxy_ && now - drain_at_ > 0.5) || now - drain_at_ > st_.bounds.gracePeriodS - 0.2))
      event_base_loopbreak(eb_);
  }

  std::vector<std::string> feeders(bool by_contact) const {
    Secs const now = now_s();
    std::vector<Candidate> up;
    for (auto const& [ip, m] : mates_)
      if (m.link->up())
        up.push_back({ip, by_contact ? m.contact.rank(now, m.feeding) : 0, tier(ip), hash64(ip + st_.nodeName)});
    return choose_feeders(std::move(up), 2);
  }

  // Wanted: the two nearest directories that are in contact feed us, and the nearest is our
  // primary. The loop works out the rest.
  void feeds() {
    std::vector<std::string> const two = feeders(true);
    std::set<std::string> const want(two.begin(), two.end());
    std::string const first = two.empty() ? std::string() : two.front();
    if (first != primary_) {
      primary_ = first;
      tally_all_ = true;
    }
    for (auto& [ip, m] : mates_) {
      bool const w = want.count(ip) > 0;
      if (w == m.feeding || !m.link->up()) continue;
      m.feeding = w;
      m.off.reset();
      m.link->send(Kind::feed, 0, Feed{w, have_ ? state_.bal : Ballot()});
      if (w) beat(ip, m);
    }
  }

  event_base* eb_;
  Settings st_;
  Door door_;
  std::unique_ptr<Ticker> tick_;
  std::map<std::string, Mate> mates_;
  ChannelP proxy_;
  State state_;
  bool have_ = false, ready_ = false, draining_ = false, rows_all_ = true, tally_all_ = false;
  std::set<std::string> rows_dirty_;  // rows that the proxy has yet to hear of
  std::optional<Ballot> told_bal_;    // what the proxy has on this channel
  std::string primary_;
  std::unique_ptr<Relay> relay_;  // for mates that are cut off from the core
  std::vector<Addr> relays_;      // mates that would do as much for us
  TrueClock clock_;
  Totals totals_;  // what our proxy counted and nobody reported yet
  Secs clock_told_ = 0, tallied_ = 0, measured_ = 0;
  double load_ = 0;
  DrainSaid said_;     // what our primary says of a drain
  DrainWord word_;     // what the proxy says of it
  std::string front_;  // where the clients find the proxy, as it says itself
  Secs start_ = now_s(), proxy_heard_ = 0, last_beat_ = 0, drain_at_ = 0, last_tick_ = 0, bad_at_ = 0;
  Roll roll_;
  std::map<std::string, u32> sites_told_;
  Claims<> claims_;
  std::map<u64, std::pair<std::string, Secs>> held_by_;      // rollouts held: who asked, until when
  std::map<u64, std::pair<std::string, Secs>> surveyed_by_;  // the same of surveys
  log4cplus::Logger lg_ = log4cplus::Logger::getInstance("page");
};

}  // namespace

int main(int argc, char** argv) {
  return run_daemon<Agent>({"dockbend-agent", "dockbend's agent beside the proxy"}, argc, argv);
}
