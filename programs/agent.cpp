/// \file
/// The program dockbend-agent, which runs beside each proxy. It keeps the links to the controllers, registers the proxy
/// with the directories, sends it state updates over loopback, claims idempotency keys for it on a majority of the
/// controllers' disks, and relays for agents that are cut off from the controllers.
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
#include "quorum_contact/catch_up_gate.hpp"
#include "quorum_contact/controller_selection.hpp"
#include "quorum_contact/quorum_contact.hpp"
#include "quota/quota_messages.hpp"
#include "rollout/rollout_messages.hpp"
#include "server_registry/server_registry.hpp"
#include "transport/connection.hpp"
#include "transport/counters.hpp"
#include "transport/listener.hpp"
#include "transport/peer_link.hpp"
#include "transport/periodic_timer.hpp"
#include "transport/relay.hpp"
#include "usage/usage_totals.hpp"

using namespace dockbend;

namespace {

/// A controller as this agent knows it.
struct ControllerLink {
  std::unique_ptr<PeerLink> link;
  bool feeding = false;
  ReportedContact contact;  // its contact with a majority, as it reports it
  DigestMismatchDetector off;
  Seconds beat_sent = 0, hello_sent = 0, behind = 0;  // behind: since when its state is newer than ours
  u32 beats = 0;  // tag of the newest heartbeat; a response to an earlier one measures no round trip
  CatchUpGate catch_up;

  double rtt = 0.1;
  std::map<std::string, u32> sites;
  Incarnation incarnation;
};

// Seconds between two heartbeats. The design begins with 5 s and three misses; it is shorter here because a proxy's
// machine may fail at any moment, and a client list that still names it costs its zone all requests.
Seconds const keepalive_s = 0.6;

/// Invariants: the state never goes back to an earlier ballot; one proxy connection is served at a time, the newest.
class Agent {
 public:
  Agent(event_base* loop, Settings const& st)
      : loop_(loop), st_(st), door_(loop, Address{"127.0.0.1", st.agent()}), claims_(st.zone, st.region, st.nodeName) {
    door_.on_channel.connect([this](ConnectionPtr c) { took(std::move(c)); });
    for (Address const& s : st_.seeds)
      mate(s.ip);
    if (st_.relay() != 0) {
      try {
        relay_ = std::make_unique<Relay>(loop, Address{st_.ip, st_.relay()}, st_.innerFirst,
                                         [this](std::string const& ip) { return controllers_.count(ip) > 0; });
      } catch (std::exception const& e) {
        LOG4CPLUS_WARN(logger_, "Relays for nobody: " << e.what() << ".");
      }
    }
    tick_ = std::make_unique<PeriodicTimer>(loop, 0.08, [this] { tick(); });
  }

  void settings(Settings const& s) {
    st_.seeds = s.seeds;
    st_.bounds = s.bounds;
    for (Address const& a : st_.seeds)
      mate(a.ip);
  }

  void term() {
    if (draining_) return;
    draining_ = true;
    drain_at_ = steady_now();
    beat_all();
  }

 private:
  // ---- controllers ---------------------------------------------------------------
  ControllerLink& mate(std::string const& ip) {
    auto const it = controllers_.find(ip);
    if (it != controllers_.end()) return it->second;
    ControllerLink& m = controllers_[ip];
    m.link = std::make_unique<PeerLink>(loop_, Address{ip, st_.innerFirst}, 1.0,
                                        1.5);  // our heartbeats are answered, so pings are rare
    m.link->relays([this] { return relays_; });
    m.link->on_up.connect([this, ip](PeerLink& l) {
      HandshakeRequest h;
      h.role = kAgentRole;
      h.ip = st_.ip;
      h.zone = st_.zone;
      h.region = st_.region;
      h.node = st_.nodeName;
      h.front = front();
      l.send(MessageType::handshake_request, 0, h);
      controllers_[ip].hello_sent = steady_now();
      controllers_[ip].contact.reset();
      l.ch()->send(MessageType::contact_probe, 0, std::string_view());
      feeds();
      if (controllers_[ip].feeding) beat(ip, controllers_[ip]);
      claims_.on_disk_connected(ip, l.connection(), l.relayed());
      say_claims();
    });
    m.link->on_down.connect([this, ip](PeerLink&) {
      ControllerLink& x = controllers_[ip];
      x.feeding = false;
      x.catch_up.reset();
      x.off.reset();
      x.sites.clear();
      claims_.on_disk_disconnected(ip);
      say_claims();
      if (ip == primary_) {
        primary_.clear();
        tally_all_ = true;  // the usage counts that it was sent may be lost with it
        feeds();
        beat_all();
      }
    });
    m.link->on_message.connect([this, ip](PeerLink& k, Message const& l) { handle_message(ip, k, l); });
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

  void beat(std::string const& ip, ControllerLink& m) {
    ProxyHeartbeat b;
    b.front = front();
    b.zone = st_.zone;
    b.region = st_.region;
    b.ready = ready_ && !draining_ && steady_now() - proxy_heard_ < 2.0;
    b.load = load_;
    b.ballot = have_ ? state_.ballot : Ballot();
    b.primary = ip == primary_;
    if (said_.stage > 0) b.drain = word_;
    b.unmatched = claims_.unmatched().all();
    m.beat_sent = steady_now();
    m.link->send(MessageType::proxy_heartbeat, ++m.beats, b);
  }
  // The proxy is registered with the directories that send us updates; the nearest one, its primary, passes it on.
  void beat_all() {
    for (auto& [ip, m] : controllers_)
      if (m.feeding && m.link->up()) beat(ip, m);
  }

  void handle_message(std::string const& ip, PeerLink& link, Message const& l) {
    ControllerLink& m = controllers_[ip];
    Seconds const now = steady_now();
    switch (l.kind) {
      case MessageType::handshake_response: {
        HandshakeResponse const h = l.as<HandshakeResponse>();
        m.incarnation = h.incarnation;
        if (m.hello_sent > 0) {
          m.rtt = std::min(1.0, now - m.hello_sent);
          claims_.set_round_trip(ip, m.rtt);
          if (h.wall > 0) clock_.on_peer_reading(ip, now - 0.5 * m.rtt, h.wall);
          m.hello_sent = 0;
        }
        for (std::string const& x : h.controllers)
          if (is_ip(x)) mate(x);
        break;
      }
      case MessageType::proxy_heartbeat_response: {
        ProxyHeartbeatResponse const r = l.as<ProxyHeartbeatResponse>();
        if (l.tag == m.beats) {
          m.rtt = m.rtt * 0.7 + 0.3 * (now - m.beat_sent);
          claims_.set_round_trip(ip, m.rtt);
          if (r.wall > 0) clock_.on_peer_reading(ip, now - 0.5 * (now - m.beat_sent), r.wall);
        }
        m.contact.update(r.in_contact, now);
        if (!r.sites.empty()) {  // sent only if it has changed
          m.sites.clear();
          for (ZoneProxyCount const& z : r.sites)
            m.sites[z.zone] = z.n;
          tell_sites();
        }
        if (!r.relays.empty() && !m.link->relayed()) {
          relays_.clear();
          for (std::string const& x : r.relays)
            if (is_ip(x)) relays_.push_back(Address{x, st_.relay()});
        }
        // An instruction from a controller out of contact may be old.
        if (ip == primary_ && r.in_contact &&
            (r.drain.stage != said_.stage || r.drain.incarnation != said_.incarnation)) {
          said_ = r.drain;
          if (proxy_) proxy_->send(MessageType::drain_instruction, 0, said_);
        }
        // Updates are pushed; only an agent that stays behind asks for what it lacks. An agent without a state asks a
        // controller out of contact only after applyBoundS, for that state may be old.
        bool const late = have_ ? r.ballot > state_.ballot : r.in_contact || now - start_ > st_.bounds.applyBoundS;
        if (!late) {
          m.behind = 0;
        } else if (m.behind == 0) {
          m.behind = now;
        }
        m.catch_up.on_heartbeat_response(l.tag);
        if (late && (!have_ || now - m.behind > 0.5)) request_catch_up(m, now, 1.0);
        if (m.feeding && r.in_contact && m.off.observe(roll_.digest(), r.digest))
          m.link->send(MessageType::subscribe, 0, SubscribeRequest{true, have_ ? state_.ballot : Ballot()});
        break;
      }
      case MessageType::contact_probe_response:
        m.contact.update(l.as<ContactProbeResponse>().time_left > 0, now);
        break;
      case MessageType::state_update: news(l.as<StateUpdate>(), now, ip); break;
      case MessageType::catch_up_response: {
        CommitNotice const c = l.as<CommitNotice>();
        if (!c.state.empty())
          take(read_state(c.state));
        else if (!c.delta.empty())
          take_delta(read_delta(c.delta), ip);
        break;
      }
      case MessageType::quota_lease_response: {
        if (proxy_) proxy_->send(MessageType::quota_lease_response, 0, l.body);
        break;
      }
      case MessageType::survey_request: {
        surveyed_by_[l.as<SurveyRequest>().id] = {ip, now + 10};
        if (proxy_) proxy_->send(MessageType::survey_request, l.tag, l.body);
        break;
      }
      case MessageType::claim_response:
        claims_.on_claim_response(ip, link.connection(), l.tag, l.as<ClaimResponse>(), now);
        say_claims();
        break;
      case MessageType::stage_request: {
        // The proxy responds whether it has staged the change; without a proxy there is no response.
        StageRequest const h = l.as<StageRequest>();
        if (proxy_) proxy_->send(MessageType::stage_request, 0, l.body);
        if (h.drop)
          held_by_.erase(h.id);
        else
          held_by_[h.id] = {ip, now + h.for_ms / 1000.0};
        break;
      }
      case MessageType::fetch_answer_response:
        claims_.on_fetch_response(ip, link.connection(), l.tag, l.as<FetchAnswerResponse>());
        say_claims();
        break;
      default: ++rejected_input().letters; break;
    }
  }

  void news(StateUpdate const& n, Seconds now, std::string const& from) {
    if (!n.state.empty())
      take(read_state(n.state));
    else if (!n.delta.empty())
      take_delta(read_delta(n.delta), from);
    for (ServerRecord const& r : n.rows) {
      u64 const d = roll_.digest();
      if (roll_.merge_record(r, now) || d != roll_.digest()) rows_dirty_.insert(r.id);
    }
    if (n.rows_full)
      for (std::string& id : roll_.mark_absent_gone(n.rows, 5.0, now))
        rows_dirty_.insert(std::move(id));
  }

  void take_delta(StateDelta const& d, std::string const& from) {
    if (!have_ || d.ballot <= state_.ballot) return;
    ReplicatedState s = state_;
    if (apply(s, d)) return take(std::move(s), &d);
    request_catch_up(controllers_[from], steady_now(), 0.3);
  }

  // Asks for what is newer than our state, unless such a question is under way or was asked less than interval ago. The
  // heartbeat behind it shows when it has been handled: a controller handles what one connection brings in order.
  void request_catch_up(ControllerLink& m, Seconds now, Seconds interval) {
    if (!m.link->up() || !m.catch_up.may_ask(now, interval, !have_)) return;
    m.link->send(MessageType::catch_up_request, 0, CatchUpRequest{have_ ? state_.ballot : Ballot()});
    m.catch_up.on_asked(now, m.beats);
  }

  // Takes a committed state over if it is newer.
  void take(ReplicatedState s, StateDelta const* d = nullptr) {
    if (have_ && s.ballot <= state_.ballot) return;
    state_ = std::move(s);
    have_ = true;
    for (Member const& m : state_.membership)
      if (is_ip(m.ip)) mate(m.ip);
    tell_state(d);
    totals_.forget_before(UsageWindow(state_.to_fix));
    claims_.set_membership(state_, steady_now());
    say_claims();
  }

  // ---- the proxy -----------------------------------------------------------------
  void took(ConnectionPtr c) {
    if (proxy_) proxy_->close();
    proxy_ = c;
    claims_.set_proxy_connection(c->id());
    say_claims();
    c->on_message.connect([this](Connection& ch, Message const& l) { from_proxy(ch, l); });
    c->on_down.connect([this](Connection& ch) {
      if (proxy_.get() == &ch) {
        ready_ = false;
        claims_.set_proxy_connection(0);
        say_claims();
        after(loop_, 0, [this, p = proxy_] {
          if (proxy_ == p) proxy_.reset();
        });
        beat_all();
      }
    });
    told_bal_.reset();
    tell_state(nullptr);
    rows_all_ = true;
    word_ = ProxyDrainStatus();
    if (said_.stage > 0) c->send(MessageType::drain_instruction, 0, said_);
    sites_told_.clear();
    clock_told_ = 0;
    tell_sites();
  }

  // Sends the proxy the complete state at first, then the differences.
  void tell_state(StateDelta const* d) {
    if (!proxy_ || !have_) return;
    StateUpdate n;
    if (d != nullptr && told_bal_ == d->base)
      n.delta = codec::pack(*d);
    else
      n.state = codec::pack(state_);
    told_bal_ = state_.ballot;
    proxy_->send(MessageType::state_update, 0, n);
  }
  void tell_rows(Seconds now) {
    if (!proxy_ || (rows_dirty_.empty() && !rows_all_)) return;
    StateUpdate n;
    n.rows_full = rows_all_;
    if (rows_all_) {
      for (ServerRecord& r : roll_.records(now))
        if (r.state != ServerState::gone) n.rows.push_back(std::move(r));
    } else {
      for (std::string const& id : rows_dirty_)
        if (auto r = roll_.find(id, now)) n.rows.push_back(std::move(*r));
    }
    rows_dirty_.clear();
    rows_all_ = false;
    proxy_->send(MessageType::state_update, 0, n);
  }
  void tell_clock(Seconds now) {
    if (!proxy_ || now - clock_told_ < 1.0) return;
    clock_told_ = now;
    ClockReading c;
    c.wall = clock_.wall_time_at(steady_now());
    proxy_->send(MessageType::clock_reading, 0, c);
  }
  // Usage counts go to the primary, which forwards them to the holder of the usage lease.
  void tell_tally(Seconds now) {
    if (now - tallied_ < 0.5 || primary_.empty()) return;
    tallied_ = now;
    UsageUpdate const n = totals_.take_update(tally_all_ ? UsageRows::all : UsageRows::changed);
    tally_all_ = false;
    if (!n.rows.empty()) controllers_[primary_].link->send(MessageType::usage_update, 0, n);
  }
  // Proxies by zone, the highest count of any controller: a proxy that counts more proxies takes a smaller share.
  void tell_sites() {
    std::map<std::string, u32> mx;
    for (auto const& [ip, m] : controllers_)
      if (m.link->up())
        for (auto const& [z, n] : m.sites)
          mx[z] = std::max(mx[z], n);
    if (mx.empty() || mx == sites_told_ || !proxy_) return;
    sites_told_ = mx;
    StateUpdate n;
    for (auto const& [z, c] : mx) {
      ZoneProxyCount zc;
      zc.zone = z;
      zc.n = c;
      n.sites.push_back(zc);
    }
    proxy_->send(MessageType::state_update, 0, n);
  }

  void from_proxy(Connection& ch, Message const& l) {
    proxy_heard_ = steady_now();
    switch (l.kind) {
      case MessageType::proxy_load: {
        ProxyLoadReport const x = l.as<ProxyLoadReport>();
        bool const was = ready_;
        ready_ = x.ready;
        load_ = x.load;
        front_ = x.front;
        word_ = x.drain;
        if (was != ready_) beat_all();
        break;
      }
      case MessageType::acquire_key_request:
        claims_.acquire(ch.id(), l.tag, l.as<AcquireKeyRequest>(), steady_now());
        say_claims();
        break;
      case MessageType::key_outcome:
        claims_.on_outcome(l.as<KeyOutcomeNotice>());
        say_claims();
        break;
      case MessageType::usage_update:
        for (UsageRow const& r : l.as<UsageUpdate>().rows)
          totals_.merge(r);
        break;
      case MessageType::quota_lease_request: {
        Lease const* t = have_ ? state_.term("allowance") : nullptr;
        auto const it = t == nullptr ? controllers_.end() : controllers_.find(t->ip);
        if (it != controllers_.end() && it->second.link->up())
          it->second.link->ch()->send(MessageType::quota_lease_request, 0, l.body);
        break;
      }
      case MessageType::survey_response:
        // To the controller that requested this survey; another one may have requested one meanwhile.
        if (auto const it = surveyed_by_.find(l.as<TrafficSurvey>().id); it != surveyed_by_.end())
          if (ControllerLink& m = controllers_[it->second.first]; m.link->up())
            m.link->ch()->send(MessageType::survey_response, l.tag, l.body);
        break;
      case MessageType::stage_response: {
        StageResponse const r = l.as<StageResponse>();
        auto const it = held_by_.find(r.id);
        if (it == held_by_.end()) break;
        ControllerLink& m = controllers_[it->second.first];
        if (m.link && m.link->ch() != nullptr) m.link->ch()->send(MessageType::stage_response, 0, l.body);
        break;
      }
      default: ++rejected_input().letters; break;
    }
  }

  // ---- keys: what ClaimCoordinator hands out to be sent ------------------------------
  void say_claims() {
    for (ClaimAction const& x : claims_.take_actions())
      std::visit([this](auto const& y) { say(y); }, x);
  }
  template <class T>
  void to_disk(std::string const& ip, MessageType k, u32 tag, T const& x) {
    if (auto const it = controllers_.find(ip); it != controllers_.end()) it->second.link->send(k, tag, x);
  }
  void say(SendClaim const& x) { to_disk(x.to, MessageType::claim_request, x.tag, x.claim); }
  void say(SendRelease const& x) { to_disk(x.to, MessageType::release_request, 0, x.release); }
  void say(SendFetch const& x) { to_disk(x.to, MessageType::fetch_answer_request, x.tag, x.fetch); }
  void say(SendStore const& x) {
    if (Connection* const c = controllers_[x.to].link->ch(); c != nullptr)
      c->send(MessageType::store_answer, 1, std::string_view(x.answer));  // tag 1: it sends the second copy on
  }
  void say(SendCatchUp const& x) { request_catch_up(controllers_[x.to], steady_now(), 0.05); }
  void say(SendAnswer const& x) {
    if (proxy_ && proxy_->id() == x.asker) proxy_->send(MessageType::acquire_key_response, x.tag, x.answer);
  }

  // ---- loops -------------------------------------------------------------------------
  void tick() {
    Seconds const now = steady_now();
    if (now - last_tick_ > 1.0 && last_tick_ > 0) beat_all();
    last_tick_ = now;
    clock_.on_own_reading(now, wall_clock_now());
    if (now - bad_at_ > 10) {
      bad_at_ = now;
      log_rejected_input();
    }
    for (auto& [ip, m] : controllers_)
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
        LOG4CPLUS_INFO(logger_, "Sent by kind, letters/bytes: " << t << ".");
      if (std::string const t = claims_.unmatched().news(); !t.empty())
        LOG4CPLUS_INFO(logger_, "Dropped, for no open question fits: " << t << ".");
    }
    if (now - last_beat_ > keepalive_s) {
      last_beat_ = now;
      beat_all();
      for (auto* const l : {&held_by_, &surveyed_by_})
        std::erase_if(*l, [&](auto const& x) { return x.second.second < now; });
      // Controllers that send us updates report their contact in each heartbeat response; others that were out of
      // contact are asked. The nearest get a heartbeat for it: clients that reach them may ask them for proxies.
      std::vector<std::string> const nearest = feeders(false);
      for (auto& [ip, m] : controllers_) {
        if (!m.link->up() || m.feeding || !m.contact.is_out()) continue;
        if (std::find(nearest.begin(), nearest.end(), ip) != nearest.end())
          beat(ip, m);
        else
          m.link->ch()->send(MessageType::contact_probe, 0, std::string_view());
      }
      roll_.forget_gone(90, now);
    }
    feeds();
    if (draining_ && ((!proxy_ && now - drain_at_ > 0.5) || now - drain_at_ > st_.bounds.gracePeriodS - 0.2))
      event_base_loopbreak(loop_);
  }

  std::vector<std::string> feeders(bool by_contact) const {
    Seconds const now = steady_now();
    std::vector<ControllerCandidate> up;
    for (auto const& [ip, m] : controllers_)
      if (m.link->up())
        up.push_back({ip, by_contact ? m.contact.rank(now, m.feeding) : 0, tier(ip), hash64(ip + st_.nodeName)});
    return select_controllers(std::move(up), 2);
  }

  // Goal: the two nearest controllers that are in contact send us updates, and the nearest is our primary. Subscribes
  // and unsubscribes accordingly.
  void feeds() {
    std::vector<std::string> const two = feeders(true);
    std::set<std::string> const want(two.begin(), two.end());
    std::string const first = two.empty() ? std::string() : two.front();
    if (first != primary_) {
      primary_ = first;
      tally_all_ = true;
    }
    for (auto& [ip, m] : controllers_) {
      bool const w = want.count(ip) > 0;
      if (w == m.feeding || !m.link->up()) continue;
      m.feeding = w;
      m.off.reset();
      m.link->send(MessageType::subscribe, 0, SubscribeRequest{w, have_ ? state_.ballot : Ballot()});
      if (w) beat(ip, m);
    }
  }

  event_base* loop_;
  Settings st_;
  Listener door_;
  std::unique_ptr<PeriodicTimer> tick_;
  std::map<std::string, ControllerLink> controllers_;
  ConnectionPtr proxy_;
  ReplicatedState state_;
  bool have_ = false, ready_ = false, draining_ = false, rows_all_ = true, tally_all_ = false;
  std::set<std::string> rows_dirty_;  // ids of server records that the proxy has yet to be sent
  std::optional<Ballot> told_bal_;    // ballot of the state last sent to the proxy over this connection
  std::string primary_;
  std::unique_ptr<Relay> relay_;  // for agents that are cut off from the controllers
  std::vector<Address> relays_;   // agents that can relay for us
  MedianClock clock_;
  UsageTotals totals_;  // what our proxy counted and is not in a frozen report yet
  Seconds clock_told_ = 0, tallied_ = 0, measured_ = 0;
  double load_ = 0;
  DrainInstruction said_;  // our primary's drain instruction
  ProxyDrainStatus word_;  // the proxy's own drain status
  std::string front_;      // address that clients connect to, as the proxy reports it
  Seconds start_ = steady_now(), proxy_heard_ = 0, last_beat_ = 0, drain_at_ = 0, last_tick_ = 0, bad_at_ = 0;
  ServerRegistry roll_;
  std::map<std::string, u32> sites_told_;
  ClaimCoordinator<> claims_;
  std::map<u64, std::pair<std::string, Seconds>> held_by_;      // staged changes by rollout: who asked, until when
  std::map<u64, std::pair<std::string, Seconds>> surveyed_by_;  // the same for surveys
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("agent");
};

}  // namespace

int main(int argc, char** argv) {
  return run_daemon<Agent>({"dockbend-agent", "dockbend's agent beside the proxy"}, argc, argv);
}
