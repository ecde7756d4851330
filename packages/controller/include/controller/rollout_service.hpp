// The desk of the manifest changes: checked, brought out in stages, committed.
#pragma once
#include <set>

#include "controller/directory_service.hpp"
#include "rollout/rollout.hpp"

namespace dockbend {

class RolloutDesk {
 public:
  RolloutDesk(House& h, SiteDesk& s) : h_(h), sites_(s) {}

  void amend(evhttp_request* r, std::string const& body) {
    Amendment a;
    try {
      a = read_amend(body);
    } catch (json::Fault const& e) {
      return h_.write(r, fault(400, e.what()));
    }
    if (h_.leaving > 0) return h_.write(r, fault(503, "leaving"));
    Secs const now = now_s();
    Amend const o(a, h_.known());
    if (!h_.st.staged || !worth_staging(a)) return h_.order(r, o);
    auto const id = (random64() >> 16) | 1;
    // A large change takes its time on narrow links; asking again too soon would only
    // fill them.
    RolloutPlan plan = h_.st.rollout;
    double bytes = 0;
    for (Item const& i : a.items)
      bytes += static_cast<double>(i.body.size() + i.key.size());
    plan.resendS += bytes / 200e3;
    plan.stageS += bytes / 400e3;
    Staged& g = rollouts_.emplace(id, Staged{Rollout(id, plan, now), o, r, now, {}, 99, {}}).first->second;
    LOG4CPLUS_INFO(lg_, "Rollout " << id << " of " << a.items.size() << " items begins.");
    stage_on(g, now);
  }

  void hold_for(std::string const& leader, HoldFor const& f) {
    Hold const h = codec::unpack<Hold>(f.hold);
    held_for_[h.id] = {leader, now_s()};
    Parcel const pc = parcel(Kind::hold, f.hold);
    for (std::string const& s : f.sites) {
      auto const it = sites_.catalog().rows().find(s);
      if (it == sites_.catalog().rows().end()) continue;
      if (auto const p = h_.peers.find(it->second.channel); p != h_.peers.end()) p->second.ch->send(pc);
    }
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
    while (notes_.size() > 64)
      notes_.erase(notes_.begin());
  }

  void order_call(evhttp_request* r, std::string const& text, RollOrder o) {
    char* end = nullptr;
    u64 const id = std::strtoull(text.c_str(), &end, 10);
    if (text.empty() || *end != '\0') return h_.write(r, fault(400, "id: wants a number"));
    if (auto const it = rollouts_.find(id); it != rollouts_.end()) {
      Secs const now = now_s();
      if (!it->second.ro.heed(o, now))
        return h_.write(r, fault(409, std::string("rollout is ") + phase_str(it->second.ro.phase())));
      stage_on(it->second, now);
      return h_.write(r, CallRet{200, "{}"});
    }
    // Only the node that leads it knows what became of it. A rollout that this node knows
    // nothing of may be under way elsewhere: that is no refusal.
    auto const it = notes_.find(id);
    if (it == notes_.end()) return h_.write(r, fault(503, "id: no such rollout is known here"));
    Member const* m = h_.committed ? h_.committed->member(it->second.at) : nullptr;
    if (m == nullptr || m->ip == h_.st.ip || !h_.up(m->ip))
      return h_.write(r, fault(503, "the node that leads it is not in touch"));
    char const* const what = o == RollOrder::pause ? "Pause/" : o == RollOrder::resume ? "Resume/" : "Abort/";
    evhttp_add_header(evhttp_request_get_output_headers(r), "Location",
                      ("http://" + Addr{m->ip, m->control}.str() + "/-/Rollout." + what + text).c_str());
    h_.write(r, CallRet{307, "{}"});
  }

  std::string rollout_status() const {
    std::map<u64, RollNote> all = notes_;
    Secs const now = now_s();
    for (auto const& [id, g] : rollouts_)
      all[id] = note_of(g, now);
    rapidjson::StringBuffer sb;
    rapidjson::Writer<rapidjson::StringBuffer> w(sb);
    w.StartObject();
    w.Key("staged");
    w.Bool(h_.st.staged);
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
      for (std::string const& i : n.items)
        w.String(i.c_str());
      w.EndArray();
      w.EndObject();
    }
    w.EndArray();
    w.EndObject();
    return std::string(sb.GetString(), sb.GetSize());
  }

  void held(HoldR const& r, Secs now) {
    auto const it = rollouts_.find(r.id);
    if (it == rollouts_.end()) {
      // Asked for by the mate that leads it.
      if (auto const f = held_for_.find(r.id); f != held_for_.end() && h_.mate(f->second.first).link)
        h_.mate(f->second.first).link->send(Kind::holdR, 0, r);
      return;
    }
    it->second.ro.heard(r.front, r.holds);
    if (!is_over(it->second.ro.phase())) stage_on(it->second, now);
  }
  // A site whose agent's life may have ended holds nothing for certain.
  void lost_channel(u64 id) {
    for (auto& [rid, g] : rollouts_)
      for (auto const& [f, s] : sites_.catalog().rows())
        if (s.channel == id) g.ro.lost(f);
  }
  void forget(Secs now) {
    std::erase_if(held_for_, [&](auto const& x) { return now - x.second.second > 60; });
  }
  void note(RollNote n) {
    u64 const id = n.id;
    notes_[id] = std::move(n);
  }

 private:
  struct Staged {
    Rollout ro;
    Amend o;
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
    if (!h_.committed || sites_.catalog().rows().empty()) return false;
    bool standing = false;
    for (Item const& i : h_.committed->items)
      standing = standing || (i.key[0] == 'r' && !i.gone);
    if (!standing || !brings_news(h_.committed->items, a)) return false;
    auto items = h_.committed->by_key();
    std::string f;
    return join(items, a, f) == Joined::changed;
  }

  // Nodes whose last two keepalives did not both fail: a frozen one must not use up
  // the time that a rollout has.
  std::map<std::string, std::string> in_touch(Secs now) const {
    std::map<std::string, std::string> m;
    for (auto const& [f, s] : sites_.catalog().rows())
      // What a mate told us is older by its way here.
      if (s.channel != 0 ? h_.peers.count(s.channel) > 0 && now - s.heard < 1.3 : h_.up(s.via) && now - s.heard < 1.6)
        m[f] = s.zone;
    return m;
  }

  void stage_on(Staged& g, Secs now) {
    if (h_.committed && !is_over(g.ro.phase()) && g.ro.phase() != RollPhase::committing) {
      if (g.seen != bal()) {
        g.seen = bal();
        if (!brings_news(h_.committed->items, g.o.asked())) g.ro.overtaken();
      }
    }
    Rollout::Step const st = g.ro.step(now, in_touch(now));
    if (!st.send.empty()) {
      Hold h;
      h.id = g.ro.id();
      h.for_ms = static_cast<u32>((g.ro.until() - now + 1.0) * 1000);
      h.items = g.o.asked().items;
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
      carry(h_.submit, g.o, h_.patience(), [this, id](Outcome const& o) {
        auto const it = rollouts_.find(id);
        if (it == rollouts_.end()) return;
        it->second.ro.committed(o.ruling == Ruling::taken);
        answer_rollout(it->second, answer_of(o));
        stage_on(it->second, now_s());
      });
    }
    RollPhase const p = g.ro.phase();
    if (p == RollPhase::fell_back) answer_rollout(g, fault(503, "rollout fell back: too few nodes hold it"));
    if (p == RollPhase::aborted) answer_rollout(g, fault(503, "rollout was aborted by the operator"));
    if (p == RollPhase::overtaken && g.r != nullptr) {
      evhttp_request* const r = g.r;
      g.r = nullptr;
      carry(h_.submit, g.o, h_.patience(), [this, r](Outcome const& o) { h_.write(r, answer_of(o)); });
    }
    if (p != g.told || g.ro.stage() != g.told_stage) {
      if (p != g.told && p != RollPhase::holding && p != RollPhase::committing)
        LOG4CPLUS_INFO(lg_, "Rollout " << g.ro.id() << " " << phase_str(p) << " at stage " << g.ro.stage() + 1 << " of "
                                       << g.ro.stages() << ", " << g.ro.holding() << " hold it, " << g.ro.wanted()
                                       << " are enough.");
      g.told = p;
      g.told_stage = g.ro.stage();
      RollNote const n = note_of(g, now);
      for (auto& [ip, m] : h_.mates)
        if (m.link) m.link->send(Kind::rollNote, 0, n);
    }
  }

  void answer_rollout(Staged& g, CallRet const& c) {
    if (g.r == nullptr) return;
    h_.write(g.r, c);
    g.r = nullptr;
  }

  // Sites that registered here get it from us; the others from their own directory,
  // so that it crosses to each zone once.
  void to_sites(std::vector<std::string> const& fronts, Hold const& h) {
    Parcel const pc = parcel(Kind::hold, codec::pack(h));
    std::map<std::string, HoldFor> far;
    for (std::string const& f : fronts) {
      auto const it = sites_.catalog().rows().find(f);
      if (it == sites_.catalog().rows().end()) continue;
      if (it->second.channel != 0) {
        if (auto const p = h_.peers.find(it->second.channel); p != h_.peers.end()) p->second.ch->send(pc);
      } else {
        far[it->second.via].sites.push_back(f);
      }
    }
    for (auto& [via, hf] : far) {
      auto const m = h_.mates.find(via);
      if (m == h_.mates.end() || !m->second.link) continue;
      hf.hold = codec::pack(h);
      m->second.link->send(Kind::holdFor, 0, hf);
    }
  }

  RollNote note_of(Staged const& g, Secs now) const {
    RollNote n;
    n.id = g.ro.id();
    n.at = h_.st.ip;
    n.phase = g.ro.phase();
    n.stage = static_cast<u32>(g.ro.stage() + 1);
    n.stages = static_cast<u32>(g.ro.stages());
    n.wanted = static_cast<u32>(g.ro.wanted());
    n.holding = static_cast<u32>(g.ro.holding());
    n.age = now - g.start;
    for (Item const& i : g.o.asked().items)
      n.items.push_back(i.key + "@" + json::gen_str(i.gen));
    return n;
  }

  Ballot bal() const { return h_.committed ? h_.committed->bal : Ballot(); }
  House& h_;
  SiteDesk& sites_;
  std::map<u64, Staged> rollouts_;                        // led from here
  std::map<u64, RollNote> notes_;                         // led elsewhere, as told
  std::map<u64, std::pair<std::string, Secs>> held_for_;  // passed on for a mate: who leads them
  log4cplus::Logger lg_ = log4cplus::Logger::getInstance("archivist");
};

}  // namespace dockbend
