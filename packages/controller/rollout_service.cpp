#include "controller/rollout_service.hpp"

namespace dockbend {

RolloutService::RolloutService(ControllerContext& h, DirectoryService& s) : context_(h), directory_service_(s) {}

void RolloutService::amend(evhttp_request* r, std::string const& body) {
  ConfigChange a;
  try {
    a = read_amend(body);
  } catch (json::Fault const& e) {
    return context_.write(r, error_response(400, e.what()));
  }
  if (context_.leaving_since > 0) return context_.write(r, error_response(503, "leaving"));
  Seconds const now = steady_now();
  AmendConfiguration const o(a, context_.known());
  if (!context_.settings.staged || !worth_staging(a)) return context_.order(r, o);
  auto const id = (random64() >> 16) | 1;
  // A large change takes its time on narrow links; asking again too soon would only
  // fill them.
  RolloutOptions plan = context_.settings.rollout;
  double bytes = 0;
  for (ConfigItem const& i : a.items)
    bytes += static_cast<double>(i.body.size() + i.key.size());
  plan.resendS += bytes / 200e3;
  plan.stageS += bytes / 400e3;
  Staged& g = rollouts_.emplace(id, Staged{Rollout(id, plan, now), o, r, now, {}, 99, {}}).first->second;
  LOG4CPLUS_INFO(logger_, "Rollout " << id << " of " << a.items.size() << " items begins.");
  stage_on(g, now);
}

void RolloutService::hold_for(std::string const& leader, StageForwardRequest const& f) {
  StageRequest const h = codec::unpack<StageRequest>(f.hold);
  held_for_[h.id] = {leader, steady_now()};
  EncodedMessage const pc = encode_message(MessageType::stage_request, f.hold);
  for (std::string const& s : f.sites) {
    auto const it = directory_service_.catalog().rows().find(s);
    if (it == directory_service_.catalog().rows().end()) continue;
    if (auto const p = context_.sessions.find(it->second.channel); p != context_.sessions.end()) p->second.ch->send(pc);
  }
}

void RolloutService::rollouts(Seconds now) {
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

void RolloutService::order_call(evhttp_request* r, std::string const& text, RolloutCommand o) {
  char* end = nullptr;
  u64 const id = std::strtoull(text.c_str(), &end, 10);
  if (text.empty() || *end != '\0') return context_.write(r, error_response(400, "id: wants a number"));
  if (auto const it = rollouts_.find(id); it != rollouts_.end()) {
    Seconds const now = steady_now();
    if (!it->second.ro.heed(o, now))
      return context_.write(r, error_response(409, std::string("rollout is ") + phase_str(it->second.ro.phase())));
    stage_on(it->second, now);
    return context_.write(r, ApiResponse{200, "{}"});
  }
  // Only the node that leads it knows what became of it. A rollout that this node knows
  // nothing of may be under way elsewhere: that is no refusal.
  auto const it = notes_.find(id);
  if (it == notes_.end()) return context_.write(r, error_response(503, "id: no such rollout is known here"));
  Member const* m = context_.committed ? context_.committed->member(it->second.at) : nullptr;
  if (m == nullptr || m->ip == context_.settings.ip || !context_.up(m->ip))
    return context_.write(r, error_response(503, "the node that leads it is not in touch"));
  char const* const what = o == RolloutCommand::pause ? "Pause/" : o == RolloutCommand::resume ? "Resume/" : "Abort/";
  evhttp_add_header(evhttp_request_get_output_headers(r), "Location",
                    ("http://" + Address{m->ip, m->control}.str() + "/-/Rollout." + what + text).c_str());
  context_.write(r, ApiResponse{307, "{}"});
}

std::string RolloutService::rollout_status() const {
  std::map<u64, RolloutStatusNotice> all = notes_;
  Seconds const now = steady_now();
  for (auto const& [id, g] : rollouts_)
    all[id] = note_of(g, now);
  rapidjson::StringBuffer sb;
  rapidjson::Writer<rapidjson::StringBuffer> w(sb);
  w.StartObject();
  w.Key("staged");
  w.Bool(context_.settings.staged);
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

void RolloutService::held(StageResponse const& r, Seconds now) {
  auto const it = rollouts_.find(r.id);
  if (it == rollouts_.end()) {
    // Asked for by the mate that leads it.
    if (auto const f = held_for_.find(r.id); f != held_for_.end() && context_.controller(f->second.first).link)
      context_.controller(f->second.first).link->send(MessageType::stage_response, 0, r);
    return;
  }
  it->second.ro.heard(r.front, r.holds);
  if (!is_over(it->second.ro.phase())) stage_on(it->second, now);
}

void RolloutService::lost_channel(u64 id) {
  for (auto& [rid, g] : rollouts_)
    for (auto const& [f, s] : directory_service_.catalog().rows())
      if (s.channel == id) g.ro.lost(f);
}

void RolloutService::forget(Seconds now) {
  std::erase_if(held_for_, [&](auto const& x) { return now - x.second.second > 60; });
}

void RolloutService::note(RolloutStatusNotice n) {
  u64 const id = n.id;
  notes_[id] = std::move(n);
}

bool RolloutService::worth_staging(ConfigChange const& a) const {
  if (!context_.committed || directory_service_.catalog().rows().empty()) return false;
  bool standing = false;
  for (ConfigItem const& i : context_.committed->items)
    standing = standing || (i.key[0] == 'r' && !i.gone);
  if (!standing || !brings_news(context_.committed->items, a)) return false;
  auto items = context_.committed->by_key();
  std::string f;
  return join(items, a, f) == MergeResult::changed;
}

std::map<std::string, std::string> RolloutService::in_touch(Seconds now) const {
  std::map<std::string, std::string> m;
  for (auto const& [f, s] : directory_service_.catalog().rows())
    // What a mate told us is older by its way here.
    if (s.channel != 0 ? context_.sessions.count(s.channel) > 0 && now - s.heard < 1.3
                       : context_.up(s.via) && now - s.heard < 1.6)
      m[f] = s.zone;
  return m;
}

void RolloutService::stage_on(Staged& g, Seconds now) {
  if (context_.committed && !is_over(g.ro.phase()) && g.ro.phase() != RolloutPhase::committing) {
    if (g.seen != ballot()) {
      g.seen = ballot();
      if (!brings_news(context_.committed->items, g.o.asked())) g.ro.overtaken();
    }
  }
  Rollout::Actions const st = g.ro.step(now, in_touch(now));
  if (!st.send.empty()) {
    StageRequest h;
    h.id = g.ro.id();
    h.for_ms = static_cast<u32>((g.ro.until() - now + 1.0) * 1000);
    h.items = g.o.asked().items;
    to_sites(st.send, h);
  }
  if (st.drop) {
    StageRequest h;
    h.id = g.ro.id();
    h.drop = true;
    to_sites({g.ro.asked().begin(), g.ro.asked().end()}, h);
  }
  if (st.commit) {
    u64 const id = g.ro.id();
    carry(context_.submit, g.o, context_.patience(), [this, id](CommandResult const& o) {
      auto const it = rollouts_.find(id);
      if (it == rollouts_.end()) return;
      it->second.ro.committed(o.ruling == CommandStatus::taken);
      answer_rollout(it->second, answer_of(o));
      stage_on(it->second, steady_now());
    });
  }
  RolloutPhase const p = g.ro.phase();
  if (p == RolloutPhase::fell_back) answer_rollout(g, error_response(503, "rollout fell back: too few nodes hold it"));
  if (p == RolloutPhase::aborted) answer_rollout(g, error_response(503, "rollout was aborted by the operator"));
  if (p == RolloutPhase::overtaken && g.r != nullptr) {
    evhttp_request* const r = g.r;
    g.r = nullptr;
    carry(context_.submit, g.o, context_.patience(),
          [this, r](CommandResult const& o) { context_.write(r, answer_of(o)); });
  }
  if (p != g.told || g.ro.stage() != g.told_stage) {
    if (p != g.told && p != RolloutPhase::holding && p != RolloutPhase::committing)
      LOG4CPLUS_INFO(logger_, "Rollout " << g.ro.id() << " " << phase_str(p) << " at stage " << g.ro.stage() + 1
                                         << " of " << g.ro.stages() << ", " << g.ro.holding() << " hold it, "
                                         << g.ro.wanted() << " are enough.");
    g.told = p;
    g.told_stage = g.ro.stage();
    RolloutStatusNotice const n = note_of(g, now);
    for (auto& [ip, m] : context_.controllers)
      if (m.link) m.link->send(MessageType::rollout_status, 0, n);
  }
}

void RolloutService::answer_rollout(Staged& g, ApiResponse const& c) {
  if (g.r == nullptr) return;
  context_.write(g.r, c);
  g.r = nullptr;
}

void RolloutService::to_sites(std::vector<std::string> const& fronts, StageRequest const& h) {
  EncodedMessage const pc = encode_message(MessageType::stage_request, codec::pack(h));
  std::map<std::string, StageForwardRequest> far;
  for (std::string const& f : fronts) {
    auto const it = directory_service_.catalog().rows().find(f);
    if (it == directory_service_.catalog().rows().end()) continue;
    if (it->second.channel != 0) {
      if (auto const p = context_.sessions.find(it->second.channel); p != context_.sessions.end())
        p->second.ch->send(pc);
    } else {
      far[it->second.via].sites.push_back(f);
    }
  }
  for (auto& [via, hf] : far) {
    auto const m = context_.controllers.find(via);
    if (m == context_.controllers.end() || !m->second.link) continue;
    hf.hold = codec::pack(h);
    m->second.link->send(MessageType::stage_forward_request, 0, hf);
  }
}

RolloutStatusNotice RolloutService::note_of(Staged const& g, Seconds now) const {
  RolloutStatusNotice n;
  n.id = g.ro.id();
  n.at = context_.settings.ip;
  n.phase = g.ro.phase();
  n.stage = static_cast<u32>(g.ro.stage() + 1);
  n.stages = static_cast<u32>(g.ro.stages());
  n.wanted = static_cast<u32>(g.ro.wanted());
  n.holding = static_cast<u32>(g.ro.holding());
  n.age = now - g.start;
  for (ConfigItem const& i : g.o.asked().items)
    n.items.push_back(i.key + "@" + json::gen_str(i.gen));
  return n;
}

Ballot RolloutService::ballot() const {
  return context_.committed ? context_.committed->ballot : Ballot();
}

}  // namespace dockbend
