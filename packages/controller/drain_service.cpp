#include "controller/drain_service.hpp"

namespace dockbend {

DrainService::DrainService(ControllerContext& h, DirectoryService& si, RegistryService& se, SurveyService& su,
                           LeaseService& d)
    : context_(h),
      directory_service_(si),
      registry_(se),
      surveys_(su),
      leases_(d),
      nodes_(node_plan(h.settings)),
      rotation_(server_plan(h.settings)) {
  if (h.settings.drainHook) hook_ = std::make_unique<PlatformClient>(h.loop, *h.settings.drainHook);
}

void DrainService::see() {
  if (!context_.committed) return;
  std::map<std::string, DrainUnit> out;
  for (DrainUnit const& u : context_.committed->units)
    if (u.stage != DrainStage::waiting && u.stage != DrainStage::back) out.emplace(u.name, u);
  bool const more =
      out.size() != context_.out.size() || !std::equal(out.begin(), out.end(), context_.out.begin(),
                                                       [](auto const& a, auto const& b) { return a.first == b.first; });
  context_.out = std::move(out);
  if (more) registry_.orders_changed();
}

void DrainService::tick(Seconds now) {
  if (!context_.committed || !wanted()) return;
  if (!leases_.may("drain", now, 0)) {
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
  if (!context_.in_contact()) return;
  if (rotating()) ask_holdings(now);
  DrainActions m = nodes_.step(*context_.committed, seen_nodes(now), now);
  DrainActions const r = rotation_.step(*context_.committed, seen_servers(now), now);
  m.moves.insert(m.moves.end(), r.moves.begin(), r.moves.end());
  m.words.insert(m.words.end(), r.words.begin(), r.words.end());
  if (!m.empty()) bring(m);
  call_hook(now);
}

void DrainService::call(evhttp_request* r, std::string const& what, bool servers, bool post, std::string const& body) {
  if (what == "Status") return context_.write(r, ApiResponse{200, status(servers)});
  if (!post) return context_.write(r, error_response(405, "wants POST"));
  if (what == "Start") {
    try {
      DrainOrder o = json::parse_as<DrainOrder>(body);
      o.servers = servers;
      if (ApiResponse const c = check_call(o); c.code != 200) return context_.write(r, c);
      return context_.order(r, StartDrain(o, context_.known()));
    } catch (json::Fault const& e) {
      return context_.write(r, error_response(400, e.what()));
    }
  }
  for (auto const& [pre, o] : {std::pair{"Pause/", DrainCommand::pause},
                               {"Resume/", DrainCommand::resume},
                               {"Abort/", DrainCommand::abort},
                               {"Return/", DrainCommand::take_back}})
    if (what.rfind(pre, 0) == 0) {
      std::string const rest = what.substr(std::strlen(pre));
      auto const cut = rest.find('/');
      return command_call(r, rest.substr(0, cut), o, cut == std::string::npos ? "" : rest.substr(cut + 1));
    }
  context_.write(r, error_response(404, "no such call"));
}

ApiResponse DrainService::check_call(DrainOrder const& o) const {
  try {
    check(o);
  } catch (DrainOrderError const& e) {
    return error_response(e.code, e.what());
  }
  return {200, "{}"};
}

void DrainService::command_call(evhttp_request* r, std::string const& id, DrainCommand o, std::string const& unit) {
  char* end = nullptr;
  u64 const n = std::strtoull(id.c_str(), &end, 10);
  if (id.empty() || *end != '\0') return context_.write(r, error_response(400, "id: wants a number"));
  context_.order(r, ControlDrain(n, o, unit, context_.known()));
}

std::string DrainService::status(bool servers) const {
  rapidjson::StringBuffer sb;
  rapidjson::Writer<rapidjson::StringBuffer> w(sb);
  w.StartObject();
  Lease const* t = context_.committed ? context_.committed->term("drain") : nullptr;
  w.Key("holder");
  w.String(t == nullptr ? "" : t->holder.c_str());
  w.Key("passes");
  w.StartArray();
  if (context_.committed)
    for (DrainRun const& p : context_.committed->passes) {
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
  Seconds const now = steady_now();
  if (context_.committed)
    for (DrainUnit const& u : context_.committed->units) {
      DrainRun const* p = context_.committed->pass(u.pass);
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
      } else if (auto const it = directory_service_.catalog().rows().find(u.name);
                 it != directory_service_.catalog().rows().end()) {
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

bool DrainService::wanted() const {
  return context_.committed && std::any_of(context_.committed->passes.begin(), context_.committed->passes.end(),
                                           [](DrainRun const& p) { return !is_over(p.state); });
}

ProxyDrainOptions DrainService::node_plan(Settings const& st) {
  ProxyDrainOptions p;
  p.old_lists = 3 * st.bounds.ttlMaxS;  // some clients keep a list three times as long as told
  return p;
}

ServerDrainOptions DrainService::server_plan(Settings const& st) {
  ServerDrainOptions p;
  p.spread = st.bounds.drainBoundS + 0.5;
  return p;
}

bool DrainService::rotating() const {
  return std::any_of(context_.committed->passes.begin(), context_.committed->passes.end(),
                     [](DrainRun const& p) { return p.servers && !is_over(p.state); });
}

std::vector<ProxyObservation> DrainService::seen_nodes(Seconds now) const {
  std::vector<ProxyObservation> v;
  for (auto const& [f, s] : directory_service_.catalog().rows()) {
    ProxyObservation n;
    n.front = f;
    n.zone = s.zone;
    n.region = s.region;
    n.ready = s.ready;
    n.fresh = now - s.heard < 2.5;
    n.load = s.load;
    n.told = static_cast<DrainStage>(std::min<u32>(s.drain.stage, static_cast<u32>(DrainStage::back)));
    n.keyed = s.drain.keyed;
    n.uploads = s.drain.uploads;
    n.incarnation = s.drain.incarnation;
    n.cordoned_for = s.drain.incarnation != 0 ? s.drain.since + (now - s.heard) : 0;
    n.current = s.current;
    v.push_back(std::move(n));
  }
  return v;
}

void DrainService::ask_holdings(Seconds now) {
  if (now - asked_ < 1.0) return;
  asked_ = now;
  std::vector<std::string> const ids = rotation_.interest(*context_.committed);
  for (std::string const& id : ids)
    asked_at_[id] = now;
  std::erase_if(asked_at_, [&](auto const& x) { return now - x.second > 2.5; });
  surveys_.ask_held(ids, [this](TrafficSurvey const& s) {
    Heard& x = heard_[s.front];
    x.at = steady_now();
    x.held = s.held;
    x.had_any = true;
  });
  for (auto const& [f, s] : directory_service_.catalog().rows())
    heard_[f].known = now;
  // Its row has been gone for as long: what it began has come to its end.
  std::erase_if(heard_, [&, far = kMaxBodyBytes()](auto const& x) {
    return now - std::max(x.second.at, x.second.known) > far + 1;
  });
}

Seconds DrainService::kMaxBodyBytes() {
  if (longest_of_ != context_.view.ballot || longest_ == 0) {
    longest_of_ = context_.view.ballot;
    longest_ = 5;
    CompiledConfiguration const man = CompiledConfiguration::from(context_.view.items);
    for (auto const& [k, l] : man.all_lanes())
      longest_ = std::max(longest_, l->deadline);
  }
  return longest_;
}

std::vector<ServerObservation> DrainService::seen_servers(Seconds now) const {
  std::vector<ServerObservation> v;
  if (!rotating()) return v;
  std::map<std::string, OpenWork> held;
  bool all = !heard_.empty();
  for (auto const& [f, x] : heard_) {
    all = all && x.had_any && now - x.at < 2.5;
    for (OpenWork const& h : x.held)
      held[h.id].add(h);
  }
  for (auto const& [id, e] : registry_.roll().entries()) {
    ServerObservation s;
    s.id = id;
    s.service = e.row.service;
    s.zone = e.row.zone;
    s.region = context_.settings.region_of(e.row.zone);
    s.present = e.row.state != ServerState::gone;
    s.ready = e.row.state == ServerState::ready;
    s.slots = e.cold_until > now ? 0.25 * e.row.capacity : e.row.capacity;
    if (auto const it = held.find(id); it != held.end()) s.held = it->second;
    s.told = all && asked_at_.count(id) > 0;
    v.push_back(std::move(s));
  }
  return v;
}

void DrainService::bring(DrainActions const& m) {
  busy_ = true;
  u64 const fence = leases_.fence("drain");
  context_.submit(
      [this, m, fence](ReplicatedState& s) {
        Lease const* t = s.term("drain");
        if (t == nullptr || t->fence != fence || t->holder != context_.settings.nodeName) return false;
        return apply(s, m);
      },
      [this, m](ReplicatedState const* s) {
        busy_ = false;
        if (s == nullptr) return;
        for (StageTransition const& x : m.moves)
          LOG4CPLUS_INFO(logger_, "Pass " << x.pass << ": " << x.name << " " << stage_str(x.from) << " to "
                                          << stage_str(x.to) << ".");
      },
      1.0);
}

void DrainService::call_hook(Seconds now) {
  if (!hook_ || hook_->busy() || now < hook_at_ || !leases_.may("drain", now, 1.0)) return;
  for (DrainUnit const& u : context_.committed->units) {
    DrainRun const* p = context_.committed->pass(u.pass);
    if (u.stage != DrainStage::empty || p == nullptr || p->servers) continue;
    hook_at_ = now + 1.0;
    hook_->post(
        "/release/" + (u.node.empty() ? u.name : u.node),
        {{"X-Duty-Holder", context_.settings.nodeName}, {"X-Fence-Number", std::to_string(leases_.fence("drain"))}},
        "{\"pass\":\"" + std::to_string(u.pass) + "\",\"address\":\"" + u.name + "\"}", 1.0,
        [this, u](int code, Seconds) {
          if (code < 200 || code > 299) return;
          DrainActions m;
          m.moves.push_back(StageTransition{u.pass, u.name, DrainStage::empty, DrainStage::released, u.incarnation});
          bring(m);
        });
    return;
  }
}

}  // namespace dockbend
