// The desk of the roster: coming in, leaving, and taking out who was replaced.
#pragma once
#include <algorithm>

#include "consensus/membership.hpp"
#include "controller/idempotency_service.hpp"

namespace dockbend {

// Invariants: this node asks to come in only while it is not leaving and was not taken out
// by an operator; a SIGTERM is taken for an end for good only if a node of our zone came,
// or knocks, in our place, and for a restart otherwise.
class MemberDesk {
 public:
  MemberDesk(House& h, KeyDesk& k, Secs now)
      : h_(h), keys_(k), watch_(plan(h.st.bounds), now), join_at_(now + 0.3 + 1.2 * random01()) {}

  void tick(Secs now) {
    if (last_ > 0 && now - last_ > 1.0) watch_.forgive(now);
    last_ = now;
    if (!h_.committed) return;
    if (h_.committed->epoch != seen_ || !any_) see(now);
    if (!h_.in_contact()) watch_.forgive(now);
    for (auto const& [ip, m] : h_.mates)
      if (m.link && m.link->up()) watch_.heard(ip, std::max(m.heard, m.link->heard()));
    join(now);
    replace(now);
    leave(now);
  }

  // The keys are whole, or the disk's standing changed: the others hear of it at once.
  void hurry() { join_at_ = 0; }
  // A mate asks to be taken in.
  void admit(Member const& me) {
    h_.submit([me](State& s) { return s.admit(me); }, [](State const*) {}, 2.0);
  }

  // Does the end of this process wait for its leave?
  bool holds_up(Secs now) const {
    return h_.leaving > 0 && !left_ && heir(now) && now - h_.leaving < h_.st.bounds.gracePeriodS - 1.5;
  }
  void term(Secs now) {
    if (heir(now)) LOG4CPLUS_INFO(lg_, "A node of zone " << h_.st.zone << " came in our place: we leave the roster.");
  }

  void call(evhttp_request* r, std::string const& what, bool post) {
    if (what == "List") return h_.write(r, CallRet{200, list()});
    for (bool const out : {true, false}) {
      std::string const pre = out ? "Remove/" : "Add/";
      if (what.compare(0, pre.size(), pre) != 0) continue;
      if (!post) return h_.write(r, fault(405, "wants POST"));
      return out ? remove(r, what.substr(pre.size())) : add(r, what.substr(pre.size()));
    }
    h_.write(r, fault(404, "no such call"));
  }

  template <class W>
  void write_members(W& w) const {
    Secs const now = now_s();
    w.Key("members");
    w.StartArray();
    if (h_.committed)
      for (Member const& m : h_.committed->roster) {
        w.StartObject();
        w.Key("address");
        w.String(m.ip.c_str());
        w.Key("zone");
        w.String(m.zone.c_str());
        w.Key("region");
        w.String(m.region.c_str());
        w.Key("up");
        w.Bool(h_.up(m.ip));
        w.Key("state");
        w.String(state_of(m));
        w.Key("silentS");
        w.Double(m.ip == h_.st.ip || h_.up(m.ip) ? 0 : std::round(watch_.silence(m.ip, now) * 10) / 10);
        w.Key("since");
        w.Uint64(m.since.v);
        w.EndObject();
      }
    w.EndArray();
    w.Key("removed");
    w.StartArray();
    if (h_.committed)
      for (Retired const& x : h_.committed->retired)
        w.String(x.ip.c_str());
    w.EndArray();
    w.Key("bears");
    w.StartObject();
    if (h_.committed) {
      Margin const m = margin_of(*h_.committed, tolerance());
      w.Key("machines");
      w.Bool(m.machines >= 0);
      w.Key("zones");
      w.Bool(m.zones >= 0);
      w.Key("regions");
      w.Bool(m.regions >= 0);
    }
    w.EndObject();
  }

 private:
  static WatchPlan plan(Bounds const& b) {
    WatchPlan p;
    p.silent = std::max(1.0, 0.5 * b.convergeS);
    p.recent = b.convergeS + b.gracePeriodS;
    p.horizon = b.keyHorizonS * 1.25 + 10;
    return p;
  }
  Tolerance tolerance() const {
    return {static_cast<u32>(h_.st.toleranceMachines), static_cast<u32>(h_.st.toleranceZones),
            static_cast<u32>(h_.st.toleranceRegions)};
  }
  Member const* me() const {
    Member const* m = h_.committed ? h_.committed->member(h_.st.ip) : nullptr;
    return m != nullptr && m->life == h_.acceptor->life() ? m : nullptr;
  }
  char const* state_of(Member const& m) const {
    if (m.ip == h_.st.ip && h_.leaving > 0) return "leaving";
    return !h_.up(m.ip) ? "silent" : m.whole ? "whole" : "catching up";
  }

  void see(Secs now) {
    bool const was = any_ && in_;
    watch_.see(*h_.committed, now);
    seen_ = h_.committed->epoch;
    any_ = true;
    in_ = me() != nullptr;
    if (was && !in_ && h_.leaving == 0)
      LOG4CPLUS_WARN(lg_, "We were taken out of the roster. What we held of keys counts no more.");
    join_at_ = std::min(join_at_, now + 0.3 * random01());
  }

  // Wider rosters bind no more, if the round finds the epoch that stood for a horizon.
  static void forget_wider(State& s, std::optional<Epoch> const& settled) {
    if (settled && s.epoch == *settled) s.widest = static_cast<u32>(s.roster.size());
  }

  // Who takes others in: the first of the roster that is up, ourselves counted; "": we do.
  std::string usher() const {
    for (Member const& m : h_.committed->roster)
      if (h_.up(m.ip)) return m.ip == h_.st.ip ? std::string() : m.ip;
    return "";
  }

  // Wanted: that the roster names our disk as it is.
  void join(Secs now) {
    if (!h_.born || h_.leaving > 0 || now < join_at_) return;
    Life const life = h_.acceptor->life();
    if (h_.committed->is_retired(h_.st.ip, life)) return;
    Member const* m = me();
    bool const whole = keys_.ledger().whole();
    if (m != nullptr && !m->zone.empty() && m->whole == whole) return;
    join_at_ = now + 0.6 + 0.6 * random01();
    Member x;
    x.ip = h_.st.ip;
    x.life = life;
    x.zone = h_.st.zone;
    x.region = h_.st.region;
    auto const it = h_.st.bind.find("control");
    x.control = it == h_.st.bind.end() ? 0 : it->second.port;
    x.whole = whole && m != nullptr;
    if (m != nullptr) x.since = m->since;
    // One node brings many joins through in one round; who waits in vain does it itself.
    if (std::string const by = usher(); !asked_usher_ && !by.empty()) {
      asked_usher_ = true;
      h_.mates[by].link->send(Kind::join, 0, x);
      return;
    }
    asked_usher_ = false;
    admit(x);
  }

  // Wanted: nobody in the roster who is gone and was replaced. The first that is up sees to
  // it; the others only once that one had its time.
  void replace(Secs now) {
    if (swapping_ || h_.leaving > 0 || me() == nullptr || !h_.in_contact()) return;
    auto const x = watch_.swap(*h_.committed, h_.st.ip, now);
    if (!x || (!usher().empty() && watch_.silence(x->gone.ip, now) < 2 * plan(h_.st.bounds).silent)) return;
    swapping_ = true;
    auto const out = std::make_shared<bool>(false);
    h_.submit(
        [x = *x, e = watch_.settled(now), out](State& s) {
          forget_wider(s, e);
          Member const* const by = s.member(x.by.ip);
          Member const* const m = s.member(x.gone.ip);
          *out = by != nullptr && by->whole && by->same_disk(x.by) && m != nullptr && m->since == x.gone.since &&
                 s.dismiss(x.gone.ip, x.gone.life);
          return *out;
        },
        [this, x = *x, out](State const* s) {
          swapping_ = false;
          if (s == nullptr || !*out) return;
          watch_.used(x.by.ip);
          LOG4CPLUS_INFO(lg_,
                         "Member " << x.gone.ip << " was silent and is out; " << x.by.ip << " stands in its place.");
        },
        2.0);
  }

  // Who came, or knocks, in our place.
  bool heir(Secs now) const {
    if (!h_.committed || me() == nullptr) return false;
    if (watch_.newcomer(*h_.committed, h_.st.zone, h_.st.ip, now) != nullptr) return true;
    for (auto const& [id, p] : h_.peers)
      if (p.hello.role == 1 && p.hello.zone == h_.st.zone && p.hello.ip != h_.st.ip && p.ch && p.ch->up() &&
          h_.committed->member(p.hello.ip) == nullptr)
        return true;
    return false;
  }

  // Wanted while we end for good: first answers handed on, then out of the roster.
  void leave(Secs now) {
    if (h_.leaving == 0 || left_ || asking_) return;
    if (me() == nullptr) {
      left_ = any_;
      return;
    }
    Member const* const y = watch_.newcomer(*h_.committed, h_.st.zone, h_.st.ip, now);
    if (y == nullptr || !y->whole) return;
    if (now - h_.leaving < 0.5 * h_.st.bounds.gracePeriodS && !keys_.hand_on(y->ip)) return;
    asking_ = true;
    auto const why = std::make_shared<std::string>();
    h_.submit(
        [ip = h_.st.ip, life = h_.acceptor->life(), t = tolerance(), why, e = watch_.settled(now)](State& s) {
          forget_wider(s, e);
          return take_out(s, ip, life, t, *why);
        },
        [this, why](State const* s) {
          asking_ = false;
          if (s == nullptr) return;
          left_ = true;  // out, or not to go: a restart then
          if (why->empty())
            LOG4CPLUS_INFO(lg_, "We left the roster.");
          else
            LOG4CPLUS_WARN(lg_, "We stay in the roster: " << *why << ".");
        },
        1.0);
  }

  void remove(evhttp_request* r, std::string const& ip) {
    if (h_.leaving > 0) return h_.write(r, fault(503, "leaving"));
    struct Out {
      bool known = true;
      std::string why;
    };
    auto const o = std::make_shared<Out>();
    h_.submit(
        [ip, o, t = tolerance(), e = watch_.settled(now_s())](State& s) {
          forget_wider(s, e);
          Member const* const m = s.member(ip);
          o->why.clear();
          o->known = m != nullptr ||
                     std::any_of(s.retired.begin(), s.retired.end(), [&](Retired const& x) { return x.ip == ip; });
          if (m == nullptr) return false;
          Retired x;
          x.ip = ip;
          x.life = m->life;
          if (!take_out(s, ip, x.life, t, o->why)) return false;
          s.retired.push_back(x);
          while (s.retired.size() > most_retired)
            s.retired.erase(s.retired.begin());
          return true;
        },
        [this, r, ip, o](State const* s) {
          if (s == nullptr) return h_.write(r, fault(503, "no majority in time"));
          if (!o->known) return h_.write(r, fault(404, "no such member: " + ip));
          if (!o->why.empty()) return h_.write(r, fault(409, ip + " stays: " + o->why));
          h_.write(r, CallRet{200, "{}"});
        },
        h_.patience());
  }

  // A node that was taken out may come back; it does so by itself.
  void add(evhttp_request* r, std::string const& ip) {
    if (h_.leaving > 0) return h_.write(r, fault(503, "leaving"));
    auto const known = std::make_shared<bool>(false);
    h_.submit(
        [ip, known](State& s) {
          std::size_t const n = std::erase_if(s.retired, [&](Retired const& x) { return x.ip == ip; });
          *known = *known || n > 0 || s.member(ip) != nullptr;  // a round that stood unseen is met again
          return n > 0;
        },
        [this, r, ip, known](State const* s) {
          if (s == nullptr) return h_.write(r, fault(503, "no majority in time"));
          // Nobody needs to be told beforehand: a new node comes in by itself.
          if (!*known && h_.mates.count(ip) == 0)
            return h_.write(r, fault(404, ip + " has not been heard of; start it and it comes in by itself"));
          h_.write(r, CallRet{200, "{}"});
        },
        h_.patience());
  }

  std::string list() const {
    rapidjson::StringBuffer sb;
    rapidjson::Writer<rapidjson::StringBuffer> w(sb);
    w.StartObject();
    write_members(w);
    w.EndObject();
    return std::string(sb.GetString(), sb.GetSize());
  }

  static constexpr std::size_t most_retired = 64;  // the oldest is forgotten: it may then come back

  House& h_;
  KeyDesk& keys_;
  RosterWatch watch_;
  Epoch seen_;
  bool any_ = false, in_ = false, asked_usher_ = false, swapping_ = false, asking_ = false, left_ = false;
  Secs join_at_ = 0, last_ = 0;
  log4cplus::Logger lg_ = log4cplus::Logger::getInstance("archivist");
};

}  // namespace dockbend
