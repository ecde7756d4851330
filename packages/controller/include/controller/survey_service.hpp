// The desk of the surveys: what the proxies see, asked for when somebody plans.
#pragma once
#include <set>

#include "controller/directory_service.hpp"
#include "controller/registry_service.hpp"
#include "planning/forecast.hpp"

namespace dockbend {

class SurveyDesk {
 public:
  SurveyDesk(House& h, SiteDesk& s, ServerDesk& v) : h_(h), sites_(s), servers_(v) {}

  void survey_call(evhttp_request* r) {
    u64 const id = random64() >> 16 | 1;
    Asked& q = asked_[id];
    q.r = r;
    for (auto const& [f, s] : sites_.catalog().rows())
      q.waiting.insert(f);
    SurveyAsk a;
    a.id = id;
    survey_sites(a, "");
    for (auto& [ip, m] : h_.mates)
      if (m.link) m.link->send(Kind::survey, 0, a);
    after(h_.eb, 1.2, [this, id] { survey_over(id); });
    if (q.waiting.empty()) after(h_.eb, 0, [this, id] { survey_over(id); });
  }

  // What proxies hold open at some servers. Each answer is told on its own; who is silent is not.
  void ask_held(std::vector<std::string> const& servers, std::function<void(Survey const&)> told) {
    SurveyAsk a;
    a.id = random64() >> 16 | 1;
    a.held = true;
    a.servers = servers;
    held_id_ = a.id;
    on_held_ = std::move(told);
    survey_sites(a, "");
    for (auto& [ip, m] : h_.mates)
      if (m.link) m.link->send(Kind::survey, 0, a);
  }

  void survey_sites(SurveyAsk const& a, std::string const& from) {
    if (!from.empty()) surveys_for_[a.id] = {from, now_s()};
    for (auto& [id, p] : h_.peers)
      if (p.primary) p.ch->send(Kind::survey, 0, a);
  }

  void heard_survey(Survey const& s, std::string_view body) {
    if (s.id == held_id_ && on_held_) return on_held_(s);
    auto const it = asked_.find(s.id);
    if (it == asked_.end()) {
      if (auto const f = surveys_for_.find(s.id);
          f != surveys_for_.end() && h_.mate(f->second.first).link && h_.mate(f->second.first).link->up())
        h_.mate(f->second.first).link->ch()->send(Kind::surveyR, 0, body);
      return;
    }
    it->second.got.push_back(s);
    it->second.waiting.erase(s.front);
    if (it->second.waiting.empty()) survey_over(s.id);
  }

  void forget(Secs now) {
    std::erase_if(surveys_for_, [&](auto const& x) { return now - x.second.second > 10; });
  }

 private:
  struct Asked {
    evhttp_request* r = nullptr;
    std::vector<Survey> got;
    std::set<std::string> waiting;
    std::size_t sites = 0;
  };

  void survey_over(u64 id) {
    auto const it = asked_.find(id);
    if (it == asked_.end()) return;
    Asked const q = std::move(it->second);
    asked_.erase(it);
    Capture c;
    c.takenAt = wall_s();
    c.node = h_.st.nodeName;
    c.settled = h_.in_contact();
    c.beatPeriodS = h_.st.beatPeriodS;
    for (auto const& [z, g] : h_.st.zones) {
      CapZone x;
      x.zone = z;
      x.region = g;
      x.proxies = sites_.proxies_in(z);
      if (h_.committed)
        for (Evac const& e : h_.committed->evacs)
          x.evacuated = x.evacuated || (e.zone == z && e.on);
      c.zones.push_back(std::move(x));
    }
    for (Row const& r : servers_.roll().all(now_s())) {
      if (r.state == Standing::gone) continue;
      CapServer x;
      x.id = r.id;
      x.service = r.service;
      x.zone = r.zone;
      x.capacity = r.capacity;
      x.ready = r.state == Standing::ready;
      x.coldLeftS = r.cold_left;
      x.generation = r.generation;
      c.servers.push_back(std::move(x));
    }
    if (h_.committed) {
      Compiled const man = Compiled::from(h_.committed->items);
      std::set<std::string> busy;
      for (Survey const& s : q.got)
        for (LaneRate const& l : s.lanes)
          busy.insert(l.lane);
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
          if (PoolDef const* p = man.pool(svc);
              p != nullptr &&
              std::none_of(c.pools.begin(), c.pools.end(), [&](CapPool const& y) { return y.name == svc; })) {
            CapPool y;
            y.name = svc;
            y.connLimit = p->conn_limit;
            y.coldRateS = p->cold_rate;
            c.pools.push_back(std::move(y));
          }
      }
    }
    std::map<std::string, std::string> node;
    for (Survey const& s : q.got)
      node[s.front] = s.node;
    for (auto const& [f, s] : sites_.catalog().rows()) {
      CapSite x;
      x.front = f;
      x.node = node[f];
      x.zone = s.zone;
      x.region = s.region;
      x.ready = s.ready;
      x.load = s.load;
      c.sites.push_back(std::move(x));
    }
    c.surveys = q.got;
    c.silent.assign(q.waiting.begin(), q.waiting.end());
    h_.write(q.r, CallRet{200, json::render(c)});
  }

  House& h_;
  SiteDesk& sites_;
  ServerDesk& servers_;
  std::map<u64, std::pair<std::string, Secs>> surveys_for_;  // passed on: who asked
  std::map<u64, Asked> asked_;
  u64 held_id_ = 0;  // the newest ask of what proxies hold; older answers count no more
  std::function<void(Survey const&)> on_held_;
};

}  // namespace dockbend
