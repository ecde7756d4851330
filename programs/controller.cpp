// archivist: control API, register, directory. One runs on every core machine.
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <map>
#include <set>

#include "controller/consensus_service.hpp"
#include "controller/directory_service.hpp"
#include "controller/drain_service.hpp"
#include "controller/idempotency_service.hpp"
#include "controller/lease_service.hpp"
#include "controller/membership_service.hpp"
#include "controller/registry_service.hpp"
#include "controller/rollout_service.hpp"
#include "controller/survey_service.hpp"

using namespace dockbend;

namespace {

class Archivist {
 public:
  Archivist(event_base* eb, Settings const& st)
      : h_(make_house(eb, st)),
        servers_(h_),
        sites_(h_),
        rollouts_(h_, sites_),
        duties_(h_, sites_),
        surveys_(h_, sites_, servers_),
        drains_(h_, sites_, servers_, surveys_, duties_),
        register_(h_),
        door_(eb, Addr{st.ip, st.innerFirst}) {
    h_.submit = [this](auto change, auto done, Secs patience) { submit(std::move(change), std::move(done), patience); };
    h_.mate = [this](std::string const& ip) -> Mate& { return mate(ip); };
    open_disk();
    register_.on_view.connect([this] { duties_.reported_to(h_.view.to_fix); });
    register_.on_value.connect([this](bool moved) {
      sees_members();
      duties_.duties_see(now_s());
      drains_.see();
      if (moved) keys_->roster_changed();
    });
    members_ = std::make_unique<MemberDesk>(h_, *keys_, now_s());
    keys_->on_whole.connect([this] { members_->hurry(); });
    door_.on_channel.connect([this](ChannelP c) { took(std::move(c)); });
    for (Addr const& s : h_.st.seeds)
      mate(s.ip);
    control_ = serve("control",
                     [](evhttp_request* r, void* p) { static_cast<Archivist*>(p)->answer(r, &Archivist::control); });
    directory_ = serve(
        "directory", [](evhttp_request* r, void* p) { static_cast<Archivist*>(p)->answer(r, &Archivist::directory); });
    start_ = now_s();
    register_.show_first();
    tick_ = std::make_unique<Ticker>(eb, 0.1, [this] { tick(); });
  }

  void settings(Settings const& s) {
    h_.st.seeds = s.seeds;
    h_.st.bounds = s.bounds;
    h_.st.rollout = s.rollout;
    h_.contact.plan(ContactPlan::of(h_.st.bounds));
    for (Addr const& a : h_.st.seeds)
      mate(a.ip);
  }
  void term() {
    if (h_.leaving > 0) return;
    h_.leaving = now_s();
    duties_.leave();
    members_->term(h_.leaving);
  }

 private:
  static House make_house(event_base* eb, Settings const& st) {
    House h;
    h.eb = eb;
    h.st = st;
    h.contact = Contact<>(ContactPlan::of(st.bounds), st.ip, static_cast<u32>(random64()));
    return h;
  }

  void open_disk() {
    register_.on_first_failed.connect([this] {
      LOG4CPLUS_ERROR(lg_, "The disk took no first write.");
      event_base_loopbreak(h_.eb);
    });
    OnDisk const d = register_.open();
    keys_ = std::make_unique<KeyDesk>(h_, d.keys_filled);
    keys_->load(d.keys, d.answers);
    try {  // what the beats bring anew, if it can't be read
      for (std::string const& r : d.servers)
        servers_.roll().load(codec::unpack<Row>(r), now_s());
      if (!d.sites.empty()) sites_.load(codec::unpack<News>(d.sites).sites, now_s());
    } catch (codec::Malformed const&) {
      LOG4CPLUS_WARN(lg_, "Rows of servers or sites on disk are malformed; the rest of them is left out.");
    }
    register_.begin(now_s());
  }

  // ---- mates -----------------------------------------------------------------------
  Mate& mate(std::string const& ip) {
    auto const it = h_.mates.find(ip);
    if (it != h_.mates.end()) return it->second;
    Mate& m = h_.mates[ip];
    if (ip == h_.st.ip || !is_ip(ip)) return m;
    m.link = std::make_unique<Link>(h_.eb, Addr{ip, h_.st.innerFirst}, 0.6, 1.5);
    m.link->on_up.connect([this, ip](Link& l) {
      Hello h;
      h.role = 1;
      h.ip = h_.st.ip;
      h.zone = h_.st.zone;
      h.region = h_.st.region;
      h.control = control_port();
      h.life = h_.acceptor->life();
      h.node = h_.st.nodeName;
      h.accepted = register_.durable();
      l.send(Kind::hello, 0, h);
      h_.mates[ip].heard = now_s();
      h_.mates[ip].told_known.clear();
      register_.reached(ip, l);
      h_.contact.connected(ip);
      ask_contact(ip, l, now_s());
      // What we hold of the servers, for it may have begun anew. Who has nearer mates gets it
      // from them; a difference that lasts is mended by digests.
      if (h_.is_near(ip)) servers_.spread_all(l);
    });
    m.link->on_letter.connect([this, ip](Link&, Letter const& l) { from_mate(ip, l); });
    return m;
  }

  u32 control_port() const {
    auto const it = h_.st.bind.find("control");
    return it == h_.st.bind.end() ? 0 : it->second.port;
  }
  Ballot bal() const { return register_.bal(); }

  // Answers to what we asked over our own link.
  void from_mate(std::string const& ip, Letter const& l) {
    Mate& m = h_.mates[ip];
    m.heard = now_s();
    switch (l.kind) {
      case Kind::helloR: {
        HelloR const h = l.as<HelloR>();
        for (std::string const& x : h.mates)
          if (is_ip(x)) mate(x);
        register_.holds(ip, h.life, h.accepted);
        break;
      }
      case Kind::holdR:
      case Kind::surveyR: break;  // come over the other channel
      case Kind::prepR: register_.on_prep(ip, l.as<PrepR>()); break;
      case Kind::accR: register_.on_acc(ip, l.as<AccR>()); break;
      case Kind::commitR: register_.commit(l.as<Commit>(), ip); break;
      case Kind::piece: register_.piece(ip, l.as<Piece>(), now_s()); break;
      case Kind::rebuildR: keys_->rebuilt(ip, l.as<RebuildR>()); break;
      case Kind::probeR: {
        ProbeR const r = l.as<ProbeR>();
        h_.contact.answered(ip, l.tag, r);
        register_.ahead(m, r.bal, now_s());
        break;
      }
      case Kind::digestR: {
        Digest const d = l.as<Digest>();
        ProbeR r;
        r.life = d.life;
        r.bal = d.bal;
        r.left = d.contact_left;
        h_.contact.answered(ip, l.tag, r);
        if (l.tag != m.digests)
          h_.strays.drop(Stray::no_question);
        else if (d.wall > 0)
          duties_.mate_clock(ip, 0.5 * (m.digest_sent + now_s()), d.wall);
        digest(ip, d);
        break;
      }
      default: ++bad_input().letters; break;
    }
  }

  void digest(std::string const& ip, Digest const& d) {
    Mate& m = h_.mates[ip];
    if (!m.link) return;
    for (std::string const& x : d.mates)
      if (is_ip(x)) mate(x);
    if (d.life.v != 0) register_.holds(ip, d.life, d.accepted);
    m.fit = d.fit;
    m.node = d.node;
    register_.ahead(m, d.bal, now_s());
    if (m.off.hear(servers_.told_digest(), d.digest)) servers_.spread_all(*m.link);
  }

  // ---- incoming channels -------------------------------------------------------------
  void took(ChannelP c) {
    u64 const id = c->id();
    Peer& p = h_.peers[id];
    p.ch = c;
    c->on_letter.connect([this, id](Channel&, Letter const& l) {
      auto const it = h_.peers.find(id);
      if (it != h_.peers.end()) from_peer(it->second, l);
    });
    c->on_down.connect([this, id](Channel&) {
      after(h_.eb, 0, [this, id] {
        rollouts_.lost_channel(id);
        h_.peers.erase(id);
      });
    });
  }

  void from_peer(Peer& p, Letter const& l) {
    Secs const now = now_s();
    switch (l.kind) {
      case Kind::hello: {
        p.hello = l.as<Hello>();
        if (!is_ip(p.hello.ip)) throw codec::Malformed("a hello without an address");
        if (p.hello.role == 1) register_.holds(p.hello.ip, p.hello.life, p.hello.accepted);
        HelloR r;
        r.bal = bal();
        r.life = h_.acceptor->life();
        r.accepted = register_.durable();
        r.mates = known();
        r.wall = wall_s();
        p.ch->send(Kind::helloR, 0, r);
        break;
      }
      case Kind::prep: register_.prep(p, l.tag, l.as<Prep>(), now); break;
      case Kind::acc: register_.acc(p, l.tag, l.as<Acc>()); break;
      case Kind::commit: register_.commit(l.as<Commit>(), p.hello.ip); break;
      case Kind::pull: register_.pull(p, l.as<Pull>()); break;
      case Kind::rows: servers_.rows(l.as<News>().rows, p.hello.ip); break;
      case Kind::digest: {
        Digest const d = l.as<Digest>();
        p.ch->send(Kind::digestR, l.tag, own_digest(false));
        if (h_.mates.count(p.hello.ip) > 0 && h_.mates[p.hello.ip].link) digest(p.hello.ip, d);
        break;
      }
      case Kind::beat: {
        SiteBeat const b = l.as<SiteBeat>();
        sites_.beat(b, p, now);
        p.front = b.front;
        SiteBeatR r = beat_answer(p);
        if (p.beats++ % 8 == 0 && !b.front.empty()) r.relays = sites_.relays_for(b);
        if (p.counts_told != sites_.turn()) {
          p.counts_told = sites_.turn();
          r.sites = sites_.counted();
        }
        p.ch->send(Kind::beatR, l.tag, r);
        break;
      }
      case Kind::feed: {
        Feed const f = l.as<Feed>();
        p.feeding = f.on;
        if (!f.on) break;
        // Who has nothing yet is not begun with what may be old while another node may be in contact.
        if (h_.committed && (f.have.v != 0 || h_.in_contact()) && (h_.view.bal > f.have || h_.view.bal.v == 0))
          p.ch->send(register_.lacking(f.have));
        servers_.feed(*p.ch, now);
        break;
      }
      case Kind::probe: {
        ProbeR r;
        r.life = h_.acceptor->life();
        r.bal = bal();
        r.left = contact_left(now);
        p.ch->send(Kind::probeR, l.tag, r);
        break;
      }
      case Kind::sites: sites_.mate_sites(p.hello.ip, l.as<SiteNote>(), now); break;
      case Kind::join:
        if (h_.committed && h_.born && h_.leaving == 0) members_->admit(l.as<Member>());
        break;
      case Kind::sitesAsk: sites_.whole_for(*p.ch, now); break;
      case Kind::tally: duties_.join(l.as<TallyNote>()); break;
      case Kind::loan: duties_.lend_to(*p.ch, l.tag, l.as<LoanAsk>(), now); break;
      case Kind::holdFor: rollouts_.hold_for(p.hello.ip, l.as<HoldFor>()); break;
      case Kind::survey: surveys_.survey_sites(l.as<SurveyAsk>(), p.hello.ip); break;
      case Kind::surveyR: surveys_.heard_survey(l.as<Survey>(), l.body); break;
      case Kind::dutyCmd: duties_.told(l.as<DutyCmd>()); break;
      case Kind::claim: keys_->claim(p.ch, l.tag, l.as<Claim>()); break;
      case Kind::release: keys_->release(l.as<Release>()); break;
      case Kind::store: keys_->store(l.body, l.tag == 1); break;
      case Kind::fetch: keys_->fetch(p.ch, l.tag, l.as<Fetch>()); break;
      case Kind::holdR: rollouts_.held(l.as<HoldR>(), now); break;
      case Kind::rollNote: rollouts_.note(l.as<RollNote>()); break;
      case Kind::rebuild:  // only of a step that is on disk: else we might yet grant under the roster before it
        if (register_.durable() >= register_.accepted())
          p.ch->send(Kind::rebuildR, l.tag, keys_->copy_for(l.as<Rebuild>()));
        break;
      default: ++bad_input().letters; break;
    }
  }

  SiteBeatR beat_answer(Peer const& p) const {
    SiteBeatR r;
    r.bal = h_.view.bal;
    r.digest = servers_.told_digest();
    r.in_contact = h_.in_contact();
    r.wall = wall_s();
    r.drain = sites_.told(p.front);
    return r;
  }

  // ---- contact -------------------------------------------------------------------------
  Secs contact_left(Secs now) const { return h_.committed ? h_.contact.left(now) : 0; }
  void sees_members() {
    std::vector<Contact<>::Voter> v;
    for (Member const& m : h_.committed->roster)
      v.push_back({m.ip, m.life});
    h_.contact.members(std::move(v), h_.acceptor->life());
    h_.contact.knows(bal());
  }
  void ask_contact(std::string const& ip, Link& l, Secs now) {
    if (Channel* c = l.ch(); c != nullptr) c->send(Kind::probe, h_.contact.ask(ip, now), std::string_view());
  }
  // A digest is a question too; who is due besides is asked with nothing else in the letter.
  void probe(Secs now) {
    if (!h_.committed) return;
    std::vector<std::string> near, far;
    for (auto const& [ip, m] : h_.mates)
      if (m.link && m.link->up()) (h_.is_near(ip) ? near : far).push_back(ip);
    near.insert(near.end(), far.begin(), far.end());
    for (std::string const& ip : h_.contact.due(near, now))
      ask_contact(ip, *h_.mates[ip].link, now);
  }
  // Those we feed hear at once whether we are in contact: they choose others while we are not.
  void contact_changed(Secs now) {
    bool const in = h_.in_contact();
    if (in == was_in_contact_) return;
    was_in_contact_ = in;
    LOG4CPLUS_INFO(lg_, (in ? "In contact with a majority." : "Out of contact with a majority."));
    if (in) {  // nobody could be heard meanwhile
      servers_.roll().forgive(now);
      for (auto& [ip, m] : h_.mates)
        m.heard = std::max(m.heard, now);
    }
    for (auto& [id, p] : h_.peers)
      if (p.feeding && !p.front.empty()) p.ch->send(Kind::beatR, 0, beat_answer(p));
  }

  std::vector<std::string> known() const {
    std::vector<std::string> v{h_.st.ip};
    for (auto const& [ip, m] : h_.mates)
      if (m.link && m.link->up()) v.push_back(ip);
    return v;
  }

  // ---- register ----------------------------------------------------------------------
  void submit(std::function<bool(State&)> change, std::function<void(State const*)> done, Secs patience) {
    register_.submit(std::move(change), std::move(done), patience);
  }

  // ---- HTTP ----------------------------------------------------------------------------
  evhttp* serve(char const* what, void (*cb)(evhttp_request*, void*)) {
    auto const it = h_.st.bind.find(what);
    if (it == h_.st.bind.end()) return nullptr;
    evhttp* h = evhttp_new(h_.eb);
    evhttp_set_allowed_methods(h, 0xffff);
    evhttp_set_gencb(h, cb, this);
    evhttp_set_max_headers_size(h, 16384);
    evhttp_set_max_body_size(h, 16 << 20);
    evhttp_set_timeout(h, 30);
    if (evhttp_bind_socket(h, it->second.ip.c_str(), static_cast<ev_uint16_t>(it->second.port)) != 0)
      throw std::runtime_error("can't listen at " + it->second.str());
    return h;
  }

  void answer(evhttp_request* r, void (Archivist::*f)(evhttp_request*)) {
    h_.answer(r, [&](evhttp_request* q) { (this->*f)(q); });
  }
  void directory(evhttp_request* r) { sites_.directory(r); }

  // The generic handler: a call and its answer are a pair of types.
  template <class Req>
  void call(evhttp_request* r, std::string const& body, std::function<CallRet(Req const&)> f) {
    CallRet c;
    try {
      c = f(json::parse_as<Req>(body));
    } catch (json::Fault const& e) {
      c = fault(400, e.what());
    }
    h_.write(r, c);
  }

  // Calls that change something, and reads whose answer or refusal must not be old. The others
  // answer with what this node has; /-/Status says how fresh that is.
  static bool only_in_contact(std::string const& uri) {
    if (uri.ends_with(".Status")) return false;
    for (char const* pre : {"/-/Config.", "/-/Evacuation.", "/-/Rollout.", "/-/Duty.", "/-/Allowance.",
                            "/-/Member.Add/", "/-/Member.Remove/", "/-/Drain.", "/-/Rotation."})
      if (uri.rfind(pre, 0) == 0) return true;
    return false;
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
      if (!post) return h_.write(r, fault(405, "wants POST"));
      return call<schema::Heartbeat>(r, body,
                                     [&](schema::Heartbeat const& b) { return servers_.heartbeat(rest, b, uri); });
    }
    if (is("/-/Servers.Leave/", rest)) {
      if (!post) return h_.write(r, fault(405, "wants POST"));
      return h_.write(r, servers_.leave(rest, uri));
    }
    if (only_in_contact(uri) && !h_.in_contact()) return h_.write(r, h_.elsewhere(evhttp_request_get_uri(r)));
    if (uri == "/-/Config.Amend") {
      if (!post) return h_.write(r, fault(405, "wants POST"));
      return rollouts_.amend(r, body);
    }
    if (uri == "/-/Config.Read") {
      if (cmd != EVHTTP_REQ_GET) return h_.write(r, fault(405, "wants GET"));
      return read(r);
    }
    if (is("/-/Evacuation.Begin/", rest)) {
      if (!post) return h_.write(r, fault(405, "wants POST"));
      return evacuate(r, rest, true);
    }
    if (is("/-/Evacuation.Finish/", rest)) {
      if (!post) return h_.write(r, fault(405, "wants POST"));
      return evacuate(r, rest, false);
    }
    if (uri == "/-/Rollout.Status") return h_.write(r, CallRet{200, rollouts_.rollout_status()});
    for (auto const& [pre, o] : {std::pair{"/-/Rollout.Pause/", RollOrder::pause},
                                 {"/-/Rollout.Resume/", RollOrder::resume},
                                 {"/-/Rollout.Abort/", RollOrder::abort}})
      if (is(pre, rest)) {
        if (!post) return h_.write(r, fault(405, "wants POST"));
        return rollouts_.order_call(r, rest, o);
      }
    if (uri == "/-/Duty.Status") return h_.write(r, CallRet{200, duties_.duty_status()});
    if (is("/-/Duty.HandOver/", rest)) {
      if (!post) return h_.write(r, fault(405, "wants POST"));
      return duties_.hand_over_call(r, rest);
    }
    if (uri == "/-/Allowance.List" || is("/-/Allowance.Show/", rest))
      return duties_.allowance_call(r, uri == "/-/Allowance.List" ? "" : rest, uri);
    for (bool const servers : {false, true}) {
      std::string const pre = servers ? "/-/Rotation." : "/-/Drain.";
      if (uri.compare(0, pre.size(), pre) == 0) return drains_.call(r, uri.substr(pre.size()), servers, post, body);
    }
    if (is("/-/Member.", rest)) return members_->call(r, rest, post);
    if (uri == "/-/Survey") return surveys_.survey_call(r);
    if (uri == "/-/Status") return h_.write(r, CallRet{200, status()});
    h_.write(r, fault(404, "no such call"));
  }

  void read(evhttp_request* r) {
    submit([](State&) { return false; },
           [this, r](State const* s) {
             if (s == nullptr) return h_.write(r, fault(503, "no majority in time"));
             h_.answer(r, [&](evhttp_request* q) { h_.write(q, CallRet{200, render_read(s->by_key())}); });
           },
           h_.patience());
  }

  void evacuate(evhttp_request* r, std::string const& zone, bool on) {
    h_.order(r, Evacuate(zone, on, h_.known(), h_.st.zones.count(zone) > 0));
  }

  // Disks that may be lost at once with a majority left.
  std::size_t bears() const {
    return h_.committed && !h_.committed->roster.empty() ? (h_.committed->roster.size() - 1) / 2 : 0;
  }

  std::string status() const {
    rapidjson::StringBuffer sb;
    rapidjson::Writer<rapidjson::StringBuffer> w(sb);
    w.StartObject();
    w.Key("node");
    w.String(h_.st.nodeName.c_str());
    w.Key("inContact");
    w.Bool(h_.in_contact());
    Secs const now = now_s();
    w.Key("contactAgeS");  // of the question that a majority has answered; null: never
    if (Secs const age = h_.committed ? now - h_.contact.since(now) : -never; age < 1e6)
      w.Double(std::round(age * 1000) / 1000);
    else
      w.Null();
    w.Key("contactBoundS");
    w.Double(h_.contact.plan().bound);
    w.Key("ballot");
    w.Uint64(bal().v);
    w.Key("bearsLossOf");
    w.Uint64(bears());
    w.Key("keysWhole");
    w.Bool(keys_->ledger().whole());
    w.Key("keys");
    w.Uint64(keys_->ledger().size());
    w.Key("badInput");
    w.StartObject();
    w.Key("channelsEnded");
    w.Uint64(bad_input().channels);
    w.Key("lettersIgnored");
    w.Uint64(bad_input().letters);
    w.Key("callsRefused");
    w.Uint64(bad_input().calls);
    w.EndObject();
    w.Key("dropped");  // what no open question fitted, by reason
    w.StartObject();
    h_.strays.each([&](Stray s, u64 n) {
      w.Key(name_of(s));
      w.Uint64(n);
    });
    w.EndObject();
    members_->write_members(w);
    w.Key("items");
    w.StartArray();
    if (h_.committed)
      for (Item const& i : h_.committed->items) {
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
    duties_.write_duties(w);
    w.Key("evacuations");
    w.StartArray();
    if (h_.committed)
      for (Evac const& e : h_.committed->evacs)
        if (e.on) w.String(e.zone.c_str());
    w.EndArray();
    w.Key("servers");
    w.StartArray();
    for (auto const& [id, e] : servers_.roll().entries()) {
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
    for (auto const& [f, s] : sites_.catalog().rows()) {
      w.StartObject();
      w.Key("address");
      w.String(f.c_str());
      w.Key("zone");
      w.String(s.zone.c_str());
      w.Key("ready");
      w.Bool(s.ready);
      w.Key("load");
      w.Double(s.load);
      if (s.strays > 0) {
        w.Key("dropped");
        w.Uint64(s.strays);
      }
      w.EndObject();
    }
    w.EndArray();
    w.EndObject();
    return std::string(sb.GetString(), sb.GetSize());
  }

  Digest own_digest(bool with_mates) const {
    Digest d;
    d.digest = servers_.told_digest();
    d.bal = bal();
    d.life = h_.acceptor->life();
    d.accepted = register_.durable();
    d.wall = wall_s();
    d.node = h_.st.nodeName;
    d.fit = duties_.fit_at_once();
    d.contact_left = contact_left(now_s());
    if (with_mates) d.mates = known();
    return d;
  }

  // All mates are told if they are few; of many, some near ones by turns and a far one.
  void tell_digests(Secs now, bool many) {
    std::vector<std::string> near, far;
    for (auto const& [ip, m] : h_.mates)
      if (m.link && m.link->up()) (!many || h_.is_near(ip) ? near : far).push_back(ip);
    auto some = [](std::vector<std::string>& v, std::size_t n) {
      for (std::size_t i = 0; i < n && i < v.size(); ++i)
        std::swap(v[i], v[i + random64() % (v.size() - i)]);
      if (v.size() > n) v.resize(n);
    };
    if (many) {
      some(near, 3);
      some(far, 1);
    }
    Digest const d = own_digest(true);
    Digest quiet = d;
    quiet.mates.clear();
    near.insert(near.end(), far.begin(), far.end());
    for (std::string const& ip : near) {
      Mate& m = h_.mates[ip];
      m.digest_sent = now;
      // Who is known is told again only when that changed.
      bool const told = m.told_known == d.mates;
      m.digests = h_.contact.ask(ip, now);
      m.link->send(Kind::digest, m.digests, told ? quiet : d);
      m.told_known = d.mates;
    }
  }

  // ---- loops -----------------------------------------------------------------------------
  void tick() {
    Secs const now = now_s();
    if (last_tick_ > 0 && now - last_tick_ > 1.0) {  // we stood still; the others did not
      servers_.roll().forgive(now);
      sites_.catalog().forgive(now);
    }
    last_tick_ = now;
    bool const many = h_.mates_up() > House::few;
    for (auto& [ip, m] : h_.mates) {
      if (!m.link) continue;
      // Of many mates the far ones are pinged less: what asks a majority is told by the
      // sockets themselves when a mate is gone.
      if (!many || h_.is_near(ip))
        m.link->pace(0.6, 1.5);
      else
        m.link->pace(1.8, 4.5);
      m.link->tick(now);
      if (m.link->up()) m.heard = std::max(m.heard, m.link->heard());
    }
    contact_changed(now);
    register_.tick(now);
    rollouts_.rollouts(now);
    duties_.tick(now);
    drains_.tick(now);
    sites_.tell_sites(now);
    members_->tick(now);
    keys_->rebuild(now);
    register_.finish(now);
    if (now - slow_at_ < 0.6) return probe(now);
    slow_at_ = now;
    // Out of contact beats are heard but not acknowledged, and servers go to others: silence says nothing.
    if (now - start_ > 3 * h_.st.beatPeriodS && was_in_contact_) servers_.tick(now);
    servers_.roll().purge(90, now);
    sites_.catalog().expire(now);
    sites_.count_sites(now);
    keys_->forget_old(now);
    rollouts_.forget(now);
    surveys_.forget(now);
    // Whoever dials us says something every few seconds: half a frame that never ends, or a machine
    // without power, is not kept for ever.
    for (auto& [id, p] : h_.peers)
      if (p.ch->open() && now - p.ch->heard() > silent_peer_s) p.ch->end();
    tell_digests(now, many);
    probe(now);
    if (!warned_ && now - start_ > 20 && h_.committed && bears() < h_.st.toleranceMachines) {
      warned_ = true;
      LOG4CPLUS_WARN(lg_, "A roster of " << h_.committed->roster.size() << " bears the loss of " << bears()
                                         << " disks, " << h_.st.toleranceMachines
                                         << " are to be borne. More core nodes are wanted.");
    }
    if (now - measured_ > 10) {
      measured_ = now;
      say_bad_input();
      if (std::string const t = sent_by_kind(); !t.empty())
        LOG4CPLUS_INFO(lg_, "Sent by kind, letters/bytes: " << t << ".");
      if (std::string const t = h_.strays.news(); !t.empty())
        LOG4CPLUS_INFO(lg_, "Dropped, for no open question fits: " << t << ".");
    }
    bool const duty = duties_.handing();
    if (h_.leaving > 0 && ((register_.quiet() && !duty && !members_->holds_up(now) && now - h_.leaving > 0.5) ||
                           now - h_.leaving > h_.st.bounds.gracePeriodS - 1.5))
      event_base_loopbreak(h_.eb);
  }

  static constexpr Secs silent_peer_s = 30;
  House h_;
  ServerDesk servers_;
  SiteDesk sites_;
  RolloutDesk rollouts_;
  DutyDesk duties_;
  SurveyDesk surveys_;
  DrainDesk drains_;
  std::unique_ptr<KeyDesk> keys_;
  std::unique_ptr<MemberDesk> members_;
  RegisterDesk register_;
  Door door_;
  evhttp *control_ = nullptr, *directory_ = nullptr;
  std::unique_ptr<Ticker> tick_;
  Secs measured_ = 0;
  bool warned_ = false;
  bool was_in_contact_ = false;  // as those we feed were told last
  Secs start_ = 0, slow_at_ = 0, last_tick_ = 0;
  log4cplus::Logger lg_ = log4cplus::Logger::getInstance("archivist");
};

}  // namespace

int main(int argc, char** argv) {
  return run_daemon<Archivist>(
      {"dockbend-controller", "dockbend's control API, register and directory", true, {"control"}, true}, argc, argv);
}
