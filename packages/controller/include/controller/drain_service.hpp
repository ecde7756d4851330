// The desk of the drains: passes over proxies and servers. Their state is wanted state in
// the register; the holder of the duty `drain` works out the next step, and whoever takes
// the duty over goes on from there.
#pragma once
#include <cmath>
#include <cstring>

#include "controller/lease_service.hpp"
#include "controller/registry_service.hpp"
#include "controller/survey_service.hpp"
#include "drain/proxy_drain.hpp"
#include "drain/server_drain.hpp"

namespace dockbend {

class DrainDesk {
 public:
  DrainDesk(House& h, SiteDesk& si, ServerDesk& se, SurveyDesk& su, DutyDesk& d)
      : h_(h),
        sites_(si),
        servers_(se),
        surveys_(su),
        duties_(d),
        nodes_(node_plan(h.st)),
        rotation_(server_plan(h.st)) {
    if (h.st.drainHook) hook_ = std::make_unique<Envoy>(h.eb, *h.st.drainHook);
  }

  // The register has something new: whom it has out is kept at hand for directory and roll.
  void see() {
    if (!h_.committed) return;
    std::map<std::string, Unit> out;
    for (Unit const& u : h_.committed->units)
      if (u.stage != Stage::waiting && u.stage != Stage::back) out.emplace(u.name, u);
    bool const more =
        out.size() != h_.out.size() || !std::equal(out.begin(), out.end(), h_.out.begin(),
                                                   [](auto const& a, auto const& b) { return a.first == b.first; });
    h_.out = std::move(out);
    if (more) servers_.orders_changed();
  }

  void tick(Secs now) {
    if (!h_.committed || !wanted()) return;
    if (!duties_.may("drain", now, 0)) {
      if (held_) {
        nodes_.forget();
        rotation_.forget();
        heard_.clear();
        if (hook_) hook_->reset();
      }
      held_ = false;
      return;
    }
    held_ = true;
    if (now - stepped_ < 0.4 || busy_) return;
    stepped_ = now;
    if (!h_.in_contact()) return;
    if (rotating()) ask_holdings(now);
    Moves m = nodes_.step(*h_.committed, seen_nodes(now), now);
    Moves const r = rotation_.step(*h_.committed, seen_servers(now), now);
    m.moves.insert(m.moves.end(), r.moves.begin(), r.moves.end());
    m.words.insert(m.words.end(), r.words.begin(), r.words.end());
    if (!m.empty()) bring(m);
    call_hook(now);
  }

  // ---- calls of operators ------------------------------------------------------------
  // Everything under Drain. and Rotation.
  void call(evhttp_request* r, std::string const& what, bool servers, bool post, std::string const& body) {
    if (what == "Status") return h_.write(r, CallRet{200, status(servers)});
    if (!post) return h_.write(r, fault(405, "wants POST"));
    if (what == "Start") {
      try {
        Order o = json::parse_as<Order>(body);
        o.servers = servers;
        if (CallRet const c = check_call(o); c.code != 200) return h_.write(r, c);
        return h_.order(r, StartPass(o, h_.known()));
      } catch (json::Fault const& e) {
        return h_.write(r, fault(400, e.what()));
      }
    }
    for (auto const& [pre, o] : {std::pair{"Pause/", PassOrder::pause},
                                 {"Resume/", PassOrder::resume},
                                 {"Abort/", PassOrder::abort},
                                 {"Return/", PassOrder::take_back}})
      if (what.rfind(pre, 0) == 0) {
        std::string const rest = what.substr(std::strlen(pre));
        auto const cut = rest.find('/');
        return command_call(r, rest.substr(0, cut), o, cut == std::string::npos ? "" : rest.substr(cut + 1));
      }
    h_.write(r, fault(404, "no such call"));
  }

  CallRet check_call(Order const& o) const {
    try {
      check(o);
    } catch (OrderFault const& e) {
      return fault(e.code, e.what());
    }
    return {200, "{}"};
  }

  void command_call(evhttp_request* r, std::string const& id, PassOrder o, std::string const& unit) {
    char* end = nullptr;
    u64 const n = std::strtoull(id.c_str(), &end, 10);
    if (id.empty() || *end != '\0') return h_.write(r, fault(400, "id: wants a number"));
    h_.order(r, CommandPass(n, o, unit, h_.known()));
  }

  std::string status(bool servers) const {
    rapidjson::StringBuffer sb;
    rapidjson::Writer<rapidjson::StringBuffer> w(sb);
    w.StartObject();
    Term const* t = h_.committed ? h_.committed->term("drain") : nullptr;
    w.Key("holder");
    w.String(t == nullptr ? "" : t->holder.c_str());
    w.Key("passes");
    w.StartArray();
    if (h_.committed)
      for (Pass const& p : h_.committed->passes) {
        if (p.servers != servers) continue;
        w.StartObject();
        w.Key("id");
        w.String(std::to_string(p.id).c_str());
        w.Key("state");
        w.String(pass_state_str(p.state));
        w.Key("back");
        w.String((std::to_string(p.back) + "/" + std::to_string(p.total)).c_str());
        w.Key("headroom");
        w.Double(p.headroom);
        w.Key("why");
        w.String(p.why.c_str());
        w.EndObject();
      }
    w.EndArray();
    w.Key("units");
    w.StartArray();
    Secs const now = now_s();
    if (h_.committed)
      for (Unit const& u : h_.committed->units) {
        Pass const* p = h_.committed->pass(u.pass);
        if (p == nullptr || p->servers != servers) continue;
        w.StartObject();
        w.Key("pass");
        w.String(std::to_string(u.pass).c_str());
        w.Key("name");
        w.String(u.name.c_str());
        w.Key(servers ? "service" : "node");
        w.String(u.node.c_str());
        w.Key("wave");
        w.Uint(u.wave);
        w.Key("stage");
        w.String(stage_str(u.stage));
        if (servers) {
          write_held(w, u, now);
        } else if (auto const it = sites_.catalog().rows().find(u.name); it != sites_.catalog().rows().end()) {
          w.Key("keyed");
          w.Uint(it->second.drain.keyed);
          w.Key("uploads");
          w.Uint(it->second.drain.uploads);
        }
        w.EndObject();
      }
    w.EndArray();
    w.EndObject();
    return std::string(sb.GetString(), sb.GetSize());
  }

  bool wanted() const {
    return h_.committed && std::any_of(h_.committed->passes.begin(), h_.committed->passes.end(),
                                       [](Pass const& p) { return !is_over(p.state); });
  }

 private:
  static NodePlan node_plan(Settings const& st) {
    NodePlan p;
    p.old_lists = 3 * st.bounds.ttlMaxS;  // some clients keep a list three times as long as told
    return p;
  }
  static ServerPlan server_plan(Settings const& st) {
    ServerPlan p;
    p.spread = st.bounds.drainBoundS + 0.5;
    return p;
  }
  bool rotating() const {
    return std::any_of(h_.committed->passes.begin(), h_.committed->passes.end(),
                       [](Pass const& p) { return p.servers && !is_over(p.state); });
  }

  std::vector<SeenNode> seen_nodes(Secs now) const {
    std::vector<SeenNode> v;
    for (auto const& [f, s] : sites_.catalog().rows()) {
      SeenNode n;
      n.front = f;
      n.zone = s.zone;
      n.region = s.region;
      n.ready = s.ready;
      n.fresh = now - s.heard < 2.5;
      n.load = s.load;
      n.told = static_cast<Stage>(std::min<u32>(s.drain.stage, static_cast<u32>(Stage::back)));
      n.keyed = s.drain.keyed;
      n.uploads = s.drain.uploads;
      n.life = s.drain.life;
      n.cordoned_for = s.drain.life != 0 ? s.drain.since + (now - s.heard) : 0;
      n.current = s.current;
      v.push_back(std::move(n));
    }
    return v;
  }

  // Every second all proxies say what they hold at the servers of the pass. What one of
  // them said holds for 2.5 s; who is silent for longer than any request may last has
  // nothing there any more.
  void ask_holdings(Secs now) {
    if (now - asked_ < 1.0) return;
    asked_ = now;
    std::vector<std::string> const ids = rotation_.interest(*h_.committed);
    for (std::string const& id : ids)
      asked_at_[id] = now;
    std::erase_if(asked_at_, [&](auto const& x) { return now - x.second > 2.5; });
    surveys_.ask_held(ids, [this](Survey const& s) {
      Heard& x = heard_[s.front];
      x.at = now_s();
      x.held = s.held;
      x.had_any = true;
    });
    for (auto const& [f, s] : sites_.catalog().rows())
      heard_[f].known = now;
    // Its row has been gone for as long: what it began has come to its end.
    std::erase_if(
        heard_, [&, far = longest()](auto const& x) { return now - std::max(x.second.at, x.second.known) > far + 1; });
  }
  // The longest that a request may be held, by the routes in force.
  Secs longest() {
    if (longest_of_ != h_.view.bal || longest_ == 0) {
      longest_of_ = h_.view.bal;
      longest_ = 5;
      Compiled const man = Compiled::from(h_.view.items);
      for (auto const& [k, l] : man.all_lanes())
        longest_ = std::max(longest_, l->deadline);
    }
    return longest_;
  }

  std::vector<SeenServer> seen_servers(Secs now) const {
    std::vector<SeenServer> v;
    if (!rotating()) return v;
    std::map<std::string, Held> held;
    bool all = !heard_.empty();
    for (auto const& [f, x] : heard_) {
      all = all && x.had_any && now - x.at < 2.5;
      for (Held const& h : x.held)
        held[h.id].add(h);
    }
    for (auto const& [id, e] : servers_.roll().entries()) {
      SeenServer s;
      s.id = id;
      s.service = e.row.service;
      s.zone = e.row.zone;
      s.region = h_.st.region_of(e.row.zone);
      s.present = e.row.state != Standing::gone;
      s.ready = e.row.state == Standing::ready;
      s.slots = e.cold_until > now ? 0.25 * e.row.capacity : e.row.capacity;
      if (auto const it = held.find(id); it != held.end()) s.held = it->second;
      s.told = all && asked_at_.count(id) > 0;
      v.push_back(std::move(s));
    }
    return v;
  }

  template <class W>
  void write_held(W& w, Unit const& u, Secs now) const {
    Held t;
    std::size_t silent = 0;
    for (auto const& [f, x] : heard_) {
      silent += now - x.at < 2.5 ? 0 : 1;
      for (Held const& h : x.held)
        if (h.id == u.name) t.add(h);
    }
    w.Key("uploads");
    w.Uint(t.uploads);
    w.Key("bytes");
    w.Double(t.bytes);
    w.Key("keyed");
    w.Uint(t.keyed);
    w.Key("sessions");
    w.Uint(t.sessions);
    w.Key("notHeard");
    w.Uint64(silent);
    if (Secs const s = rotation_.since(u.pass, u.name); s >= 0) {
      w.Key("sinceS");
      w.Double(std::round((now - s) * 10) / 10);
    }
  }

  // Steps are brought to the register under the fence they were worked out under.
  void bring(Moves const& m) {
    busy_ = true;
    u64 const fence = duties_.fence("drain");
    h_.submit(
        [this, m, fence](State& s) {
          Term const* t = s.term("drain");
          if (t == nullptr || t->fence != fence || t->holder != h_.st.nodeName) return false;
          return apply(s, m);
        },
        [this, m](State const* s) {
          busy_ = false;
          if (s == nullptr) return;
          for (Move const& x : m.moves)
            LOG4CPLUS_INFO(lg_, "Pass " << x.pass << ": " << x.name << " " << stage_str(x.from) << " to "
                                        << stage_str(x.to) << ".");
        },
        1.0);
  }

  // A node that is empty is named to the operator's hook, which restarts it. The call carries
  // the fence; one that got no clear answer is repeated.
  void call_hook(Secs now) {
    if (!hook_ || hook_->busy() || now < hook_at_ || !duties_.may("drain", now, 1.0)) return;
    for (Unit const& u : h_.committed->units) {
      Pass const* p = h_.committed->pass(u.pass);
      if (u.stage != Stage::empty || p == nullptr || p->servers) continue;
      hook_at_ = now + 1.0;
      hook_->post("/release/" + (u.node.empty() ? u.name : u.node),
                  {{"X-Duty-Holder", h_.st.nodeName}, {"X-Fence-Number", std::to_string(duties_.fence("drain"))}},
                  "{\"pass\":\"" + std::to_string(u.pass) + "\",\"address\":\"" + u.name + "\"}", 1.0,
                  [this, u](int code, Secs) {
                    if (code < 200 || code > 299) return;
                    Moves m;
                    m.moves.push_back(Move{u.pass, u.name, Stage::empty, Stage::released, u.life});
                    bring(m);
                  });
      return;
    }
  }

  struct Heard {
    Secs at = -1e9, known = -1e9;
    bool had_any = false;
    std::vector<Held> held;
  };
  House& h_;
  SiteDesk& sites_;
  ServerDesk& servers_;
  SurveyDesk& surveys_;
  DutyDesk& duties_;
  NodeDrainer nodes_;
  ServerDrainer rotation_;
  std::unique_ptr<Envoy> hook_;
  std::map<std::string, Secs> asked_at_;  // servers whose holdings were asked for lately
  std::map<std::string, Heard> heard_;    // by proxy; joined by replacing, so repeats add nothing
  Ballot longest_of_;                     // the view that longest_ was worked out from
  Secs longest_ = 0;
  Secs stepped_ = 0, asked_ = 0, hook_at_ = 0;
  bool held_ = false, busy_ = false;
  log4cplus::Logger lg_ = log4cplus::Logger::getInstance("archivist");
};

}  // namespace dockbend
