#include "controller/controller.hpp"

namespace dockbend {

Controller::Controller(event_base* loop, Settings const& st)
    : context_(make_context(loop, st)),
      registry_(context_),
      directory_service_(context_),
      rollouts_(context_, directory_service_),
      leases_(context_, directory_service_),
      surveys_(context_, directory_service_, registry_),
      drains_(context_, directory_service_, registry_, surveys_, leases_),
      consensus_(context_),
      door_(loop, Address{st.ip, st.innerFirst}) {
  context_.submit = [this](auto change, auto done, Seconds patience) {
    submit(std::move(change), std::move(done), patience);
  };
  context_.controller = [this](std::string const& ip) -> PeerController& { return controller(ip); };
  open_disk();
  consensus_.on_view.connect([this] { leases_.reported_to(context_.view.to_fix); });
  consensus_.on_value.connect([this](bool moved) {
    sees_members();
    leases_.duties_see(steady_now());
    drains_.see();
    if (moved) idempotency_->roster_changed();
  });
  members_ = std::make_unique<MembershipService>(context_, *idempotency_, steady_now());
  idempotency_->on_whole.connect([this] { members_->hurry(); });
  door_.on_channel.connect([this](ConnectionPtr c) { took(std::move(c)); });
  for (Address const& s : context_.settings.seeds)
    controller(s.ip);
  control_ = serve("control",
                   [](evhttp_request* r, void* p) { static_cast<Controller*>(p)->answer(r, &Controller::control); });
  directory_ = serve(
      "directory", [](evhttp_request* r, void* p) { static_cast<Controller*>(p)->answer(r, &Controller::directory); });
  start_ = steady_now();
  consensus_.show_first();
  tick_ = std::make_unique<PeriodicTimer>(loop, 0.1, [this] { tick(); });
}

void Controller::settings(Settings const& s) {
  context_.settings.seeds = s.seeds;
  context_.settings.bounds = s.bounds;
  context_.settings.rollout = s.rollout;
  context_.contact.plan(ContactOptions::of(context_.settings.bounds));
  for (Address const& a : context_.settings.seeds)
    controller(a.ip);
}

void Controller::term() {
  if (context_.leaving_since > 0) return;
  context_.leaving_since = steady_now();
  leases_.leave();
  members_->term(context_.leaving_since);
}

ControllerContext Controller::make_context(event_base* loop, Settings const& st) {
  ControllerContext h;
  h.loop = loop;
  h.settings = st;
  h.contact = QuorumContact<>(ContactOptions::of(st.bounds), st.ip, static_cast<u32>(random64()));
  return h;
}

void Controller::open_disk() {
  consensus_.on_first_failed.connect([this] {
    LOG4CPLUS_ERROR(logger_, "The disk took no first write.");
    event_base_loopbreak(context_.loop);
  });
  StoredState const d = consensus_.open();
  idempotency_ = std::make_unique<IdempotencyService>(context_, d.keys_filled);
  idempotency_->load(d.keys, d.answers);
  try {  // what the beats bring anew, if it can't be read
    for (std::string const& r : d.servers)
      registry_.roll().restore(codec::unpack<ServerRecord>(r), steady_now());
    if (!d.sites.empty()) directory_service_.load(codec::unpack<StateUpdate>(d.sites).sites, steady_now());
  } catch (codec::MalformedMessage const&) {
    LOG4CPLUS_WARN(logger_, "Rows of servers or sites on disk are malformed; the rest of them is left out.");
  }
  consensus_.begin(steady_now());
}

PeerController& Controller::controller(std::string const& ip) {
  auto const it = context_.controllers.find(ip);
  if (it != context_.controllers.end()) return it->second;
  PeerController& m = context_.controllers[ip];
  if (ip == context_.settings.ip || !is_ip(ip)) return m;
  m.link = std::make_unique<PeerLink>(context_.loop, Address{ip, context_.settings.innerFirst}, 0.6, 1.5);
  m.link->on_up.connect([this, ip](PeerLink& l) {
    HandshakeRequest h;
    h.role = 1;
    h.ip = context_.settings.ip;
    h.zone = context_.settings.zone;
    h.region = context_.settings.region;
    h.control = control_port();
    h.incarnation = context_.acceptor->incarnation();
    h.node = context_.settings.nodeName;
    h.accepted = consensus_.durable();
    l.send(MessageType::handshake_request, 0, h);
    context_.controllers[ip].heard = steady_now();
    context_.controllers[ip].told_known.clear();
    consensus_.reached(ip, l);
    context_.contact.connected(ip);
    ask_contact(ip, l, steady_now());
    // What we hold of the servers, for it may have begun anew. Who has nearer mates gets it
    // from them; a difference that lasts is mended by digests.
    if (context_.is_near(ip)) registry_.spread_all(l);
  });
  m.link->on_message.connect([this, ip](PeerLink&, Message const& l) { from_controller(ip, l); });
  return m;
}

u32 Controller::control_port() const {
  auto const it = context_.settings.bind.find("control");
  return it == context_.settings.bind.end() ? 0 : it->second.port;
}

Ballot Controller::ballot() const {
  return consensus_.ballot();
}

void Controller::from_controller(std::string const& ip, Message const& l) {
  PeerController& m = context_.controllers[ip];
  m.heard = steady_now();
  switch (l.kind) {
    case MessageType::handshake_response: {
      HandshakeResponse const h = l.as<HandshakeResponse>();
      for (std::string const& x : h.controllers)
        if (is_ip(x)) controller(x);
      consensus_.holds(ip, h.incarnation, h.accepted);
      break;
    }
    case MessageType::stage_response:
    case MessageType::survey_response: break;  // come over the other channel
    case MessageType::prepare_response: consensus_.on_prep(ip, l.as<PrepareResponse>()); break;
    case MessageType::accept_response: consensus_.on_acc(ip, l.as<AcceptResponse>()); break;
    case MessageType::catch_up_response: consensus_.commit(l.as<CommitNotice>(), ip); break;
    case MessageType::state_chunk: consensus_.piece(ip, l.as<StateChunk>(), steady_now()); break;
    case MessageType::key_copy_response: idempotency_->rebuilt(ip, l.as<KeyCopyResponse>()); break;
    case MessageType::contact_probe_response: {
      ContactProbeResponse const r = l.as<ContactProbeResponse>();
      context_.contact.answered(ip, l.tag, r);
      consensus_.ahead(m, r.ballot, steady_now());
      break;
    }
    case MessageType::digest_response: {
      GossipDigest const d = l.as<GossipDigest>();
      ContactProbeResponse r;
      r.incarnation = d.incarnation;
      r.ballot = d.ballot;
      r.left = d.contact_left;
      context_.contact.answered(ip, l.tag, r);
      if (l.tag != m.digests)
        context_.unmatched.drop(UnmatchedReason::no_question);
      else if (d.wall > 0)
        leases_.controller_clock(ip, 0.5 * (m.digest_sent + steady_now()), d.wall);
      digest(ip, d);
      break;
    }
    default: ++rejected_input().letters; break;
  }
}

void Controller::digest(std::string const& ip, GossipDigest const& d) {
  PeerController& m = context_.controllers[ip];
  if (!m.link) return;
  for (std::string const& x : d.controllers)
    if (is_ip(x)) controller(x);
  if (d.incarnation.v != 0) consensus_.holds(ip, d.incarnation, d.accepted);
  m.fit = d.fit;
  m.node = d.node;
  consensus_.ahead(m, d.ballot, steady_now());
  if (m.off.observe(registry_.told_digest(), d.digest)) registry_.spread_all(*m.link);
}

void Controller::took(ConnectionPtr c) {
  u64 const id = c->id();
  InboundSession& p = context_.sessions[id];
  p.ch = c;
  c->on_message.connect([this, id](Connection&, Message const& l) {
    auto const it = context_.sessions.find(id);
    if (it != context_.sessions.end()) from_session(it->second, l);
  });
  c->on_down.connect([this, id](Connection&) {
    after(context_.loop, 0, [this, id] {
      rollouts_.lost_channel(id);
      context_.sessions.erase(id);
    });
  });
}

void Controller::from_session(InboundSession& p, Message const& l) {
  Seconds const now = steady_now();
  switch (l.kind) {
    case MessageType::handshake_request: {
      p.hello = l.as<HandshakeRequest>();
      if (!is_ip(p.hello.ip)) throw codec::MalformedMessage("a hello without an address");
      if (p.hello.role == 1) consensus_.holds(p.hello.ip, p.hello.incarnation, p.hello.accepted);
      HandshakeResponse r;
      r.ballot = ballot();
      r.incarnation = context_.acceptor->incarnation();
      r.accepted = consensus_.durable();
      r.controllers = known();
      r.wall = wall_clock_now();
      p.ch->send(MessageType::handshake_response, 0, r);
      break;
    }
    case MessageType::prepare_request: consensus_.prep(p, l.tag, l.as<PrepareRequest>(), now); break;
    case MessageType::accept_request: consensus_.acc(p, l.tag, l.as<AcceptRequest>()); break;
    case MessageType::commit_notice: consensus_.commit(l.as<CommitNotice>(), p.hello.ip); break;
    case MessageType::catch_up_request: consensus_.pull(p, l.as<CatchUpRequest>()); break;
    case MessageType::server_records: registry_.rows(l.as<StateUpdate>().rows, p.hello.ip); break;
    case MessageType::digest: {
      GossipDigest const d = l.as<GossipDigest>();
      p.ch->send(MessageType::digest_response, l.tag, own_digest(false));
      if (context_.controllers.count(p.hello.ip) > 0 && context_.controllers[p.hello.ip].link) digest(p.hello.ip, d);
      break;
    }
    case MessageType::proxy_heartbeat: {
      ProxyHeartbeat const b = l.as<ProxyHeartbeat>();
      directory_service_.beat(b, p, now);
      p.front = b.front;
      ProxyHeartbeatResponse r = beat_answer(p);
      if (p.beats++ % 8 == 0 && !b.front.empty()) r.relays = directory_service_.relays_for(b);
      if (p.counts_told != directory_service_.turn()) {
        p.counts_told = directory_service_.turn();
        r.sites = directory_service_.counted();
      }
      p.ch->send(MessageType::proxy_heartbeat_response, l.tag, r);
      break;
    }
    case MessageType::subscribe: {
      SubscribeRequest const f = l.as<SubscribeRequest>();
      p.feeding = f.on;
      if (!f.on) break;
      // Who has nothing yet is not begun with what may be old while another node may be in contact.
      if (context_.committed && (f.have.v != 0 || context_.in_contact()) &&
          (context_.view.ballot > f.have || context_.view.ballot.v == 0))
        p.ch->send(consensus_.lacking(f.have));
      registry_.feed(*p.ch, now);
      break;
    }
    case MessageType::contact_probe: {
      ContactProbeResponse r;
      r.incarnation = context_.acceptor->incarnation();
      r.ballot = ballot();
      r.left = contact_left(now);
      p.ch->send(MessageType::contact_probe_response, l.tag, r);
      break;
    }
    case MessageType::proxy_records: directory_service_.controller_sites(p.hello.ip, l.as<ProxyGossip>(), now); break;
    case MessageType::join_request:
      if (context_.committed && context_.born && context_.leaving_since == 0) members_->admit(l.as<Member>());
      break;
    case MessageType::proxy_records_request: directory_service_.whole_for(*p.ch, now); break;
    case MessageType::usage_update: leases_.join(l.as<UsageUpdate>()); break;
    case MessageType::quota_lease_request: leases_.lend_to(*p.ch, l.tag, l.as<QuotaLeaseRequest>(), now); break;
    case MessageType::stage_forward_request: rollouts_.hold_for(p.hello.ip, l.as<StageForwardRequest>()); break;
    case MessageType::survey_request: surveys_.survey_sites(l.as<SurveyRequest>(), p.hello.ip); break;
    case MessageType::survey_response: surveys_.heard_survey(l.as<TrafficSurvey>(), l.body); break;
    case MessageType::hand_over_command: leases_.told(l.as<HandOverCommand>()); break;
    case MessageType::claim_request: idempotency_->claim(p.ch, l.tag, l.as<ClaimRequest>()); break;
    case MessageType::release_request: idempotency_->release(l.as<ReleaseRequest>()); break;
    case MessageType::store_answer: idempotency_->store(l.body, l.tag == 1); break;
    case MessageType::fetch_answer_request: idempotency_->fetch(p.ch, l.tag, l.as<FetchAnswerRequest>()); break;
    case MessageType::stage_response: rollouts_.held(l.as<StageResponse>(), now); break;
    case MessageType::rollout_status: rollouts_.note(l.as<RolloutStatusNotice>()); break;
    case MessageType::key_copy_request:  // only of a step that is on disk: else we might yet grant under the roster
                                         // before it
      if (consensus_.durable() >= consensus_.accepted())
        p.ch->send(MessageType::key_copy_response, l.tag, idempotency_->copy_for(l.as<KeyCopyRequest>()));
      break;
    default: ++rejected_input().letters; break;
  }
}

ProxyHeartbeatResponse Controller::beat_answer(InboundSession const& p) const {
  ProxyHeartbeatResponse r;
  r.ballot = context_.view.ballot;
  r.digest = registry_.told_digest();
  r.in_contact = context_.in_contact();
  r.wall = wall_clock_now();
  r.drain = directory_service_.told(p.front);
  return r;
}

Seconds Controller::contact_left(Seconds now) const {
  return context_.committed ? context_.contact.left(now) : 0;
}

void Controller::sees_members() {
  std::vector<QuorumContact<>::Voter> v;
  for (Member const& m : context_.committed->membership)
    v.push_back({m.ip, m.incarnation});
  context_.contact.members(std::move(v), context_.acceptor->incarnation());
  context_.contact.knows(ballot());
}

void Controller::ask_contact(std::string const& ip, PeerLink& l, Seconds now) {
  if (Connection* c = l.ch(); c != nullptr)
    c->send(MessageType::contact_probe, context_.contact.ask(ip, now), std::string_view());
}

void Controller::probe(Seconds now) {
  if (!context_.committed) return;
  std::vector<std::string> near, far;
  for (auto const& [ip, m] : context_.controllers)
    if (m.link && m.link->up()) (context_.is_near(ip) ? near : far).push_back(ip);
  near.insert(near.end(), far.begin(), far.end());
  for (std::string const& ip : context_.contact.due(near, now))
    ask_contact(ip, *context_.controllers[ip].link, now);
}

void Controller::contact_changed(Seconds now) {
  bool const in = context_.in_contact();
  if (in == was_in_contact_) return;
  was_in_contact_ = in;
  LOG4CPLUS_INFO(logger_, (in ? "In contact with a majority." : "Out of contact with a majority."));
  if (in) {  // nobody could be heard meanwhile
    registry_.roll().restart_timeouts(now);
    for (auto& [ip, m] : context_.controllers)
      m.heard = std::max(m.heard, now);
  }
  for (auto& [id, p] : context_.sessions)
    if (p.feeding && !p.front.empty()) p.ch->send(MessageType::proxy_heartbeat_response, 0, beat_answer(p));
}

std::vector<std::string> Controller::known() const {
  std::vector<std::string> v{context_.settings.ip};
  for (auto const& [ip, m] : context_.controllers)
    if (m.link && m.link->up()) v.push_back(ip);
  return v;
}

void Controller::submit(std::function<bool(ReplicatedState&)> change, std::function<void(ReplicatedState const*)> done,
                        Seconds patience) {
  consensus_.submit(std::move(change), std::move(done), patience);
}

evhttp* Controller::serve(char const* what, void (*cb)(evhttp_request*, void*)) {
  auto const it = context_.settings.bind.find(what);
  if (it == context_.settings.bind.end()) return nullptr;
  evhttp* h = evhttp_new(context_.loop);
  evhttp_set_allowed_methods(h, 0xffff);
  evhttp_set_gencb(h, cb, this);
  evhttp_set_max_headers_size(h, 16384);
  evhttp_set_max_body_size(h, 16 << 20);
  evhttp_set_timeout(h, 30);
  if (evhttp_bind_socket(h, it->second.ip.c_str(), static_cast<ev_uint16_t>(it->second.port)) != 0)
    throw std::runtime_error("can't listen at " + it->second.str());
  return h;
}

void Controller::answer(evhttp_request* r, void (Controller::*f)(evhttp_request*)) {
  context_.answer(r, [&](evhttp_request* q) { (this->*f)(q); });
}

void Controller::directory(evhttp_request* r) {
  directory_service_.directory(r);
}

bool Controller::only_in_contact(std::string const& uri) {
  if (uri.ends_with(".Status")) return false;
  for (char const* pre : {"/-/Config.", "/-/Evacuation.", "/-/Rollout.", "/-/Duty.", "/-/Allowance.", "/-/Member.Add/",
                          "/-/Member.Remove/", "/-/Drain.", "/-/Rotation."})
    if (uri.rfind(pre, 0) == 0) return true;
  return false;
}

void Controller::control(evhttp_request* r) {
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
    if (!post) return context_.write(r, error_response(405, "wants POST"));
    return call<schema::Heartbeat>(r, body,
                                   [&](schema::Heartbeat const& b) { return registry_.heartbeat(rest, b, uri); });
  }
  if (is("/-/Servers.Leave/", rest)) {
    if (!post) return context_.write(r, error_response(405, "wants POST"));
    return context_.write(r, registry_.leave(rest, uri));
  }
  if (only_in_contact(uri) && !context_.in_contact())
    return context_.write(r, context_.redirect_to_controller_in_contact(evhttp_request_get_uri(r)));
  if (uri == "/-/Config.Amend") {
    if (!post) return context_.write(r, error_response(405, "wants POST"));
    return rollouts_.amend(r, body);
  }
  if (uri == "/-/Config.Read") {
    if (cmd != EVHTTP_REQ_GET) return context_.write(r, error_response(405, "wants GET"));
    return read(r);
  }
  if (is("/-/Evacuation.Begin/", rest)) {
    if (!post) return context_.write(r, error_response(405, "wants POST"));
    return evacuate(r, rest, true);
  }
  if (is("/-/Evacuation.Finish/", rest)) {
    if (!post) return context_.write(r, error_response(405, "wants POST"));
    return evacuate(r, rest, false);
  }
  if (uri == "/-/Rollout.Status") return context_.write(r, ApiResponse{200, rollouts_.rollout_status()});
  for (auto const& [pre, o] : {std::pair{"/-/Rollout.Pause/", RolloutCommand::pause},
                               {"/-/Rollout.Resume/", RolloutCommand::resume},
                               {"/-/Rollout.Abort/", RolloutCommand::abort}})
    if (is(pre, rest)) {
      if (!post) return context_.write(r, error_response(405, "wants POST"));
      return rollouts_.order_call(r, rest, o);
    }
  if (uri == "/-/Duty.Status") return context_.write(r, ApiResponse{200, leases_.duty_status()});
  if (is("/-/Duty.HandOver/", rest)) {
    if (!post) return context_.write(r, error_response(405, "wants POST"));
    return leases_.hand_over_call(r, rest);
  }
  if (uri == "/-/Allowance.List" || is("/-/Allowance.Show/", rest))
    return leases_.allowance_call(r, uri == "/-/Allowance.List" ? "" : rest, uri);
  for (bool const servers : {false, true}) {
    std::string const pre = servers ? "/-/Rotation." : "/-/Drain.";
    if (uri.compare(0, pre.size(), pre) == 0) return drains_.call(r, uri.substr(pre.size()), servers, post, body);
  }
  if (is("/-/Member.", rest)) return members_->call(r, rest, post);
  if (uri == "/-/Survey") return surveys_.survey_call(r);
  if (uri == "/-/Status") return context_.write(r, ApiResponse{200, status()});
  context_.write(r, error_response(404, "no such call"));
}

void Controller::read(evhttp_request* r) {
  submit(
      [](ReplicatedState&) { return false; },
      [this, r](ReplicatedState const* s) {
        if (s == nullptr) return context_.write(r, error_response(503, "no majority in time"));
        context_.answer(r, [&](evhttp_request* q) { context_.write(q, ApiResponse{200, render_read(s->by_key())}); });
      },
      context_.patience());
}

void Controller::evacuate(evhttp_request* r, std::string const& zone, bool on) {
  context_.order(r, SetEvacuation(zone, on, context_.known(), context_.settings.zones.count(zone) > 0));
}

std::size_t Controller::bears() const {
  return context_.committed && !context_.committed->membership.empty() ? (context_.committed->membership.size() - 1) / 2
                                                                       : 0;
}

std::string Controller::status() const {
  rapidjson::StringBuffer sb;
  rapidjson::Writer<rapidjson::StringBuffer> w(sb);
  w.StartObject();
  w.Key("node");
  w.String(context_.settings.nodeName.c_str());
  w.Key("inContact");
  w.Bool(context_.in_contact());
  Seconds const now = steady_now();
  w.Key("contactAgeS");  // of the question that a majority has answered; null: never
  if (Seconds const age = context_.committed ? now - context_.contact.since(now) : -kNever; age < 1e6)
    w.Double(std::round(age * 1000) / 1000);
  else
    w.Null();
  w.Key("contactBoundS");
  w.Double(context_.contact.plan().bound);
  w.Key("ballot");
  w.Uint64(ballot().v);
  w.Key("bearsLossOf");
  w.Uint64(bears());
  w.Key("keysWhole");
  w.Bool(idempotency_->ledger().whole());
  w.Key("keys");
  w.Uint64(idempotency_->ledger().size());
  w.Key("badInput");
  w.StartObject();
  w.Key("channelsEnded");
  w.Uint64(rejected_input().channels);
  w.Key("lettersIgnored");
  w.Uint64(rejected_input().letters);
  w.Key("callsRefused");
  w.Uint64(rejected_input().calls);
  w.EndObject();
  w.Key("dropped");  // what no open question fitted, by reason
  w.StartObject();
  context_.unmatched.each([&](UnmatchedReason s, u64 n) {
    w.Key(name_of(s));
    w.Uint64(n);
  });
  w.EndObject();
  members_->write_members(w);
  w.Key("items");
  w.StartArray();
  if (context_.committed)
    for (ConfigItem const& i : context_.committed->items) {
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
  leases_.write_duties(w);
  w.Key("evacuations");
  w.StartArray();
  if (context_.committed)
    for (Evacuation const& e : context_.committed->evacuations)
      if (e.on) w.String(e.zone.c_str());
  w.EndArray();
  w.Key("servers");
  w.StartArray();
  for (auto const& [id, e] : registry_.roll().entries()) {
    if (e.record.state == ServerState::gone) continue;
    w.StartObject();
    w.Key("id");
    w.String(id.c_str());
    w.Key("service");
    w.String(e.record.service.c_str());
    w.Key("zone");
    w.String(e.record.zone.c_str());
    w.Key("state");
    w.String(e.record.state == ServerState::ready ? "ready" : "draining");
    w.EndObject();
  }
  w.EndArray();
  w.Key("sites");
  w.StartArray();
  for (auto const& [f, s] : directory_service_.catalog().entries()) {
    w.StartObject();
    w.Key("address");
    w.String(f.c_str());
    w.Key("zone");
    w.String(s.zone.c_str());
    w.Key("ready");
    w.Bool(s.ready);
    w.Key("load");
    w.Double(s.load);
    if (s.unmatched > 0) {
      w.Key("dropped");
      w.Uint64(s.unmatched);
    }
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return std::string(sb.GetString(), sb.GetSize());
}

GossipDigest Controller::own_digest(bool with_mates) const {
  GossipDigest d;
  d.digest = registry_.told_digest();
  d.ballot = ballot();
  d.incarnation = context_.acceptor->incarnation();
  d.accepted = consensus_.durable();
  d.wall = wall_clock_now();
  d.node = context_.settings.nodeName;
  d.fit = leases_.fit_at_once();
  d.contact_left = contact_left(steady_now());
  if (with_mates) d.controllers = known();
  return d;
}

void Controller::tell_digests(Seconds now, bool many) {
  std::vector<std::string> near, far;
  for (auto const& [ip, m] : context_.controllers)
    if (m.link && m.link->up()) (!many || context_.is_near(ip) ? near : far).push_back(ip);
  auto some = [](std::vector<std::string>& v, std::size_t n) {
    for (std::size_t i = 0; i < n && i < v.size(); ++i)
      std::swap(v[i], v[i + random64() % (v.size() - i)]);
    if (v.size() > n) v.resize(n);
  };
  if (many) {
    some(near, 3);
    some(far, 1);
  }
  GossipDigest const d = own_digest(true);
  GossipDigest quiet = d;
  quiet.controllers.clear();
  near.insert(near.end(), far.begin(), far.end());
  for (std::string const& ip : near) {
    PeerController& m = context_.controllers[ip];
    m.digest_sent = now;
    // Who is known is told again only when that changed.
    bool const told = m.told_known == d.controllers;
    m.digests = context_.contact.ask(ip, now);
    m.link->send(MessageType::digest, m.digests, told ? quiet : d);
    m.told_known = d.controllers;
  }
}

void Controller::tick() {
  Seconds const now = steady_now();
  if (last_tick_ > 0 && now - last_tick_ > 1.0) {  // we stood still; the others did not
    registry_.roll().restart_timeouts(now);
    directory_service_.catalog().restart_timeouts(now);
  }
  last_tick_ = now;
  bool const many = context_.connected_controllers() > ControllerContext::kMaxFullMesh;
  for (auto& [ip, m] : context_.controllers) {
    if (!m.link) continue;
    // Of many mates the far ones are pinged less: what asks a majority is told by the
    // sockets themselves when a mate is gone.
    if (!many || context_.is_near(ip))
      m.link->pace(0.6, 1.5);
    else
      m.link->pace(1.8, 4.5);
    m.link->tick(now);
    if (m.link->up()) m.heard = std::max(m.heard, m.link->heard());
  }
  contact_changed(now);
  consensus_.tick(now);
  rollouts_.rollouts(now);
  leases_.tick(now);
  drains_.tick(now);
  directory_service_.tell_sites(now);
  members_->tick(now);
  idempotency_->rebuild(now);
  consensus_.finish(now);
  if (now - slow_at_ < 0.6) return probe(now);
  slow_at_ = now;
  // Out of contact beats are heard but not acknowledged, and servers go to others: silence says nothing.
  if (now - start_ > 3 * context_.settings.beatPeriodS && was_in_contact_) registry_.tick(now);
  registry_.roll().forget_gone(90, now);
  directory_service_.catalog().drop_expired(now);
  directory_service_.count_sites(now);
  idempotency_->forget_old(now);
  rollouts_.forget(now);
  surveys_.forget(now);
  // Whoever dials us says something every few seconds: half a frame that never ends, or a machine
  // without power, is not kept for ever.
  for (auto& [id, p] : context_.sessions)
    if (p.ch->open() && now - p.ch->heard() > kSilentSessionSeconds) p.ch->end();
  tell_digests(now, many);
  probe(now);
  if (!warned_ && now - start_ > 20 && context_.committed && bears() < context_.settings.toleranceMachines) {
    warned_ = true;
    LOG4CPLUS_WARN(logger_, "A roster of " << context_.committed->membership.size() << " bears the loss of " << bears()
                                           << " disks, " << context_.settings.toleranceMachines
                                           << " are to be borne. More core nodes are wanted.");
  }
  if (now - measured_ > 10) {
    measured_ = now;
    log_rejected_input();
    if (std::string const t = sent_by_kind(); !t.empty())
      LOG4CPLUS_INFO(logger_, "Sent by kind, letters/bytes: " << t << ".");
    if (std::string const t = context_.unmatched.news(); !t.empty())
      LOG4CPLUS_INFO(logger_, "Dropped, for no open question fits: " << t << ".");
  }
  bool const duty = leases_.handing();
  if (context_.leaving_since > 0 &&
      ((consensus_.quiet() && !duty && !members_->holds_up(now) && now - context_.leaving_since > 0.5) ||
       now - context_.leaving_since > context_.settings.bounds.gracePeriodS - 1.5))
    event_base_loopbreak(context_.loop);
}

}  // namespace dockbend
