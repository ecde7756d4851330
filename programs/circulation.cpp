// circulation: the proxy. It carries the clients' errands to the servers.
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <map>
#include <set>

#include "assign/assign.hpp"
#include "errand/heads.hpp"
#include "errand/slab.hpp"
#include "gossip/roll.hpp"
#include "keys/ask.hpp"
#include "manifest/manifest.hpp"
#include "register/state.hpp"
#include "rollout/rollout.hpp"
#include "stacks/log.hpp"
#include "stacks/program.hpp"

using namespace dockbend;
using schema::LaneKind;

namespace {

struct Errand;
using ErrandSlab = Slab<Errand>;
using Handle = ErrandSlab::Handle;
class Proxy;

// A channel to a server. Invariants: one errand at a time; a channel that is
// dead is in no list and only waits to be freed.
struct Chan {
  Proxy* px = nullptr;
  evhttp_connection* ec = nullptr;
  evbuffer_cb_entry* out_cb = nullptr;
  ServerIx server;
  u64 uses = 0;
  Handle h;
  bool busy = false, dead = false, sent = false;
  Secs idle_since = 0, idle_limit = 4, born = 0;
};

// Invariants: an errand that may not repeat is sent again only after a proof
// that it has not run; req is answered exactly once, then the place is dropped.
struct Errand {
  Handle h;
  evhttp_request* req = nullptr;
  std::shared_ptr<Compiled const> man;
  Lane const* lane = nullptr;
  evhttp_cmd_type cmd = EVHTTP_REQ_GET;
  std::string uri, attempt_id, key;
  std::vector<PlaceIx> homes;
  std::vector<ServerIx> tried;
  PoolIx pool;
  bool dedupes = false;
  Secs start = 0, deadline = 0, try_at = 0, try_limit = 0;
  u32 tries = 0, arrivals = 0;
  Chan* chan = nullptr;
  ServerIx server;
  u64 holder = 0;
  bool asking = false, granted = false, maybe_run = false;
  event* timer = nullptr;
  std::size_t body = 0;
  bool repeatable() const { return lane->kind == LaneKind::idempotent || (lane->kind == LaneKind::keyed && dedupes); }
  ~Errand() {
    if (timer != nullptr) event_free(timer);
  }
};

Heads heads_of(evkeyvalq* q) {
  Heads h;
  for (evkeyval* kv = q->tqh_first; kv != nullptr; kv = kv->next.tqe_next) h.emplace_back(kv->key, kv->value);
  return h;
}

class Proxy {
 public:
  Proxy(event_base* eb, Settings const& st)
      : eb_(eb), st_(st), as_(st_), man_(std::make_shared<Compiled>()),
        page_(eb, Addr{"127.0.0.1", st.innerFirst + 1}, 0.4, 2.0) {
    self_ = this;
    front_ = evhttp_new(eb_);
    evhttp_set_allowed_methods(front_, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                                           EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
    evhttp_set_gencb(front_, [](evhttp_request* r, void* p) { static_cast<Proxy*>(p)->arrive(r); }, this);
    set_limits();
    Addr const f = at("front");
    sock_ = evhttp_bind_socket_with_handle(front_, f.ip.c_str(), static_cast<ev_uint16_t>(f.port));
    if (sock_ == nullptr) throw std::runtime_error("can't listen at " + f.str());
    ready_ = evhttp_new(eb_);
    evhttp_set_gencb(ready_, [](evhttp_request* r, void* p) { static_cast<Proxy*>(p)->readiness(r); }, this);
    Addr const rd = at("ready");
    if (evhttp_bind_socket_with_handle(ready_, rd.ip.c_str(), static_cast<ev_uint16_t>(rd.port)) == nullptr)
      throw std::runtime_error("can't listen at " + rd.str());
    page_.on_letter.connect([this](Link&, Letter const& l) { letter(l); });
    page_.on_down.connect([this](Link&) { page_down(); });
    page_.on_up.connect([this](Link&) { tell_load(); });
    tick_ = std::make_unique<Ticker>(eb_, 0.1, [this] { tick(); });
    load_tick_ = std::make_unique<Ticker>(eb_, 0.5, [this] { tell_load(); });
  }
  ~Proxy() {
    evhttp_free(front_);
    evhttp_free(ready_);
  }

  void term() {
    if (draining_) return;
    draining_ = true;
    drain_at_ = now_s();
    tell_load();
    LOG4CPLUS_INFO(lg_, "Draining. " << slab_.size() << " errands at work.");
  }

  void settings(Settings const& s) { st_.bounds = s.bounds; }

  // Called by libevent.
  static void done_cb(evhttp_request* r, void* p) {
    Chan* const c = static_cast<Chan*>(p);
    c->px->returned(c, r);
  }
  static void close_cb(evhttp_connection*, void* p) {
    Chan* const c = static_cast<Chan*>(p);
    if (!c->busy) c->px->doom(c);
  }
  static void out_cb(evbuffer*, evbuffer_cb_info const* i, void* p) {
    if (i->n_deleted > 0) static_cast<Chan*>(p)->sent = true;
  }
  static void timer_cb(evutil_socket_t, short, void* p) {
    Errand* const e = static_cast<Errand*>(p);
    static_cast<Proxy*>(self_)->timer(e);
  }
  static Proxy* self_;

 private:
  Addr at(char const* what) const {
    auto const it = st_.bind.find(what);
    if (it == st_.bind.end()) throw BadSetting(std::string("bind.") + what, "missing");
    return it->second;
  }

  void set_limits() {
    LimitsDef const& l = man_->limits();
    evhttp_set_max_headers_size(front_, static_cast<ev_ssize_t>(l.header_bytes * 2 + 131072));
    evhttp_set_max_body_size(front_, static_cast<ev_ssize_t>(l.body_bytes));
    evhttp_set_timeout(front_, std::max(1, static_cast<int>(l.idle + 0.999)));
  }

  // ---- the link to the agent -------------------------------------------------
  void letter(Letter const& l) {
    switch (l.kind) {
      case Kind::news: news(l.as<News>()); break;
      case Kind::askR: asked(l.tag, l.as<AskR>()); break;
      case Kind::hold: hold(l.as<Hold>()); break;
      default: break;
    }
  }

  void news(News const& n) {
    Secs const now = now_s();
    if (!n.state.empty()) {
      State s = codec::unpack<State>(n.state);
      // A node never steps back in one life.
      if (!have_state_ || s.bal > bal_) {
        have_state_ = true;
        bal_ = s.bal;
        man_ = std::make_shared<Compiled const>(Compiled::from(s.items));
        set_limits();
        evac_.clear();
        for (Evac const& e : s.evacs)
          if (e.on) evac_.insert(e.zone);
        as_.evacuated(evac_, now);
      }
    }
    if (n.rows_full) {
      std::vector<Assign::Seen> v;
      for (Row const& r : n.rows) {
        Assign::Seen s;
        s.id = r.id;
        s.service = r.service;
        s.address = r.address;
        s.zone = r.zone;
        s.capacity = r.capacity;
        s.ready = r.state == Standing::ready;
        s.cold_left = r.cold_left;
        v.push_back(std::move(s));
      }
      as_.table(v, now);
      trim_gone();
    }
    if (!n.sites.empty()) {
      std::map<std::string, u32> m;
      for (ZoneCount const& z : n.sites) m[z.zone] = z.n;
      as_.sites(m);
    }
    rules();
    as_.evacuated(evac_, now);
  }

  // Holds a change that is being rolled out: it must compile here whole. What is
  // held changes nothing of how errands are handled; in force is only what the
  // register has committed.
  void hold(Hold const& h) {
    if (h.drop) return held_.drop(h.id);
    std::size_t lanes = 0;
    for (Item const& i : h.items) lanes += !i.gone && i.key[0] == 'r' ? 1 : 0;
    HoldR r;
    r.id = h.id;
    r.holds = Compiled::from(h.items).lanes() == lanes;
    r.front = at("front").str();
    if (r.holds) held_.hold(h.id, now_s() + h.for_ms / 1000.0);
    page_.send(Kind::holdR, 0, r);
  }

  void rules() {
    for (std::string const& n : pool_names_) {
      PoolDef const* d = man_->pool(n);
      if (d != nullptr) as_.rule(as_.pool(n), PoolRule{static_cast<double>(d->conn_limit), d->cold_rate, d->cold_s});
    }
  }
  PoolIx pool_ix(std::string const& n) {
    if (pool_names_.insert(n).second) {
      PoolIx const p = as_.pool(n);
      PoolDef const* d = man_->pool(n);
      if (d != nullptr) as_.rule(p, PoolRule{static_cast<double>(d->conn_limit), d->cold_rate, d->cold_s});
    }
    return as_.pool(n);
  }

  // Channels to servers that take nothing more are closed once idle.
  void trim_gone() {
    for (ServerIx const s : as_.gone_idle()) {
      auto const it = idle_.find(s.v);
      if (it == idle_.end()) continue;
      auto const l = it->second;
      for (Chan* c : l) doom(c);
    }
  }

  void page_down() {
    for (auto const& [tag, h] : asks_) {
      Errand* const e = slab_.get(h);
      if (e != nullptr && e->asking) {
        e->asking = false;
        finish(*e, Verdict{503, "Service Unavailable", 0.3, false});
      }
    }
    asks_.clear();
  }

  void tell_load() {
    Load l;
    l.ready = is_ready();
    l.draining = draining_;
    l.front = at("front").str();
    rusage ru{};
    getrusage(RUSAGE_SELF, &ru);
    double const cpu = static_cast<double>(ru.ru_utime.tv_sec + ru.ru_stime.tv_sec) + static_cast<double>(ru.ru_utime.tv_usec + ru.ru_stime.tv_usec) * 1e-6;
    Secs const now = now_s();
    if (now - cpu_at_ > 0.3) {
      if (cpu_at_ > 0) load_ = (cpu - cpu_) / (now - cpu_at_) / std::max(0.01, st_.cpuShare);
      cpu_ = cpu;
      cpu_at_ = now;
    }
    l.load = load_;
    page_.send(Kind::load, 0, l);
  }

  bool is_ready() const { return have_state_ && man_->lanes() > 0 && as_.live() > 0 && !draining_; }

  void readiness(evhttp_request* r) {
    if (std::strncmp(evhttp_request_get_uri(r), "/-/readiness", 12) != 0) {
      evhttp_send_error(r, 404, nullptr);
      return;
    }
    if (is_ready())
      evhttp_send_reply(r, 200, "OK", nullptr);
    else
      evhttp_send_reply(r, 503, "Service Unavailable", nullptr);
  }

  // ---- clients ---------------------------------------------------------------
  // One place writes the proxy's own answers.
  void write(evhttp_request* r, Verdict const& v, std::string const& attempt) {
    evkeyvalq* out = evhttp_request_get_output_headers(r);
    if (!attempt.empty()) evhttp_add_header(out, "X-Attempt-Id", attempt.c_str());
    if (v.retry_after >= 0) {
      char b[32];
      std::snprintf(b, sizeof b, "%.3f", v.retry_after);
      evhttp_add_header(out, "Retry-After", b);
    }
    if (v.close || draining_) evhttp_add_header(out, "Connection", "close");
    evhttp_add_header(out, "Content-Type", "text/plain");
    evbuffer* b = evbuffer_new();
    evbuffer_add_printf(b, "%s\n", v.reason);
    evhttp_send_reply(r, v.code, v.reason, b);
    evbuffer_free(b);
  }

  static Verdict own(int code, bool close = false, Secs retry = -1) { return Verdict{code, reason_of(code), retry, close}; }

  void arrive(evhttp_request* r) {
    Secs const now = now_s();
    evkeyvalq* in = evhttp_request_get_input_headers(r);
    Heads const heads = heads_of(in);
    char const* idp = evhttp_find_header(in, "X-Attempt-Id");
    std::string const id = idp != nullptr ? idp : "";
    u64 len = 0;
    Framing const f = framing_of(heads, len);
    std::size_t const body = evbuffer_get_length(evhttp_request_get_input_buffer(r));
    bool const wrong = f == Framing::ambiguous || (f == Framing::length && len != body) || (f == Framing::none && body > 0) ||
                       (f == Framing::chunked && evhttp_request_get_command(r) != EVHTTP_REQ_POST && evhttp_request_get_command(r) != EVHTTP_REQ_PUT &&
                        evhttp_request_get_command(r) != EVHTTP_REQ_PATCH);
    std::size_t hb = 0, hosts = 0;
    for (auto const& [k, v] : heads) {
      hb += k.size() + v.size() + 4;
      hosts += same_name(k, "Host") ? 1 : 0;
    }
    if (wrong || hosts != 1) return write(r, own(400, true), id);
    LimitsDef const& lim = man_->limits();
    std::string const uri = evhttp_request_get_uri(r);
    if (hb + uri.size() > lim.header_bytes) return write(r, own(431, true), id);
    if (body > lim.body_bytes) return write(r, own(413, true), id);
    char const* host = evhttp_find_header(in, "Host");
    if (host == nullptr || uri.empty() || uri[0] != '/') return write(r, own(400, true), id);
    std::string hn = host;
    if (auto const c = hn.find(':'); c != std::string::npos) hn.resize(c);
    std::transform(hn.begin(), hn.end(), hn.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    if (!have_state_) return write(r, own(503, false, 0.3), id);
    std::string_view path = uri;
    path = path.substr(0, path.find('?'));
    Lane const* lane = man_->find(hn, path);
    if (lane == nullptr) return write(r, own(404), id);
    if (id.empty()) return write(r, own(400), id);

    auto up = std::make_unique<Errand>();
    Errand& e = *up;
    e.req = r;
    e.man = man_;
    e.lane = lane;
    e.cmd = evhttp_request_get_command(r);
    e.uri = uri;
    e.attempt_id = id;
    e.start = now;
    e.body = body;
    double left = lane->deadline;
    if (char const* tl = evhttp_find_header(in, "X-Time-Left"); tl != nullptr) {
      double const ms = std::strtod(tl, nullptr);
      if (ms > 0) left = std::min(left, ms / 1000.0);
    }
    e.deadline = now + left;
    for (std::string const& h : lane->homes) e.homes.push_back(as_.region(h));
    double sum = 0;
    for (auto const& [s, g] : lane->to) sum += g;
    double x = random01() * sum;
    std::string const* svc = &lane->to.back().first;
    for (auto const& [s, g] : lane->to) {
      if (g > 0 && x < g) {
        svc = &s;
        break;
      }
      x -= g;
    }
    e.pool = pool_ix(*svc);
    if (PoolDef const* d = man_->pool(*svc); d != nullptr) e.dedupes = d->dedupes;
    if (lane->kind == LaneKind::keyed) {
      char const* k = evhttp_find_header(in, "X-Operation-Key");
      if (k == nullptr || *k == '\0') return write(r, own(400), id);
      e.key = k;
    }
    e.timer = event_new(eb_, -1, 0, timer_cb, &e);
    e.h = slab_.add(std::move(up));
    as_.budget(e.pool).errand(now);
    if (lane->kind == LaneKind::keyed)
      ask(e);
    else
      attempt(e);
  }

  void set_timer(Errand& e, Secs at) {
    Secs const t = std::max(0.0005, at - now_s());
    timeval tv{static_cast<time_t>(t), static_cast<suseconds_t>((t - static_cast<double>(static_cast<time_t>(t))) * 1e6)};
    event_add(e.timer, &tv);
  }

  void end(Errand& e) {
    event_del(e.timer);
    slab_.drop(e.h);
  }

  // Ends an errand with an answer of our own.
  void finish(Errand& e, Verdict const& v) {
    if (e.granted) {
      Told t;
      t.key = e.key;
      t.holder = e.holder;
      t.homes = e.lane->homes;
      t.outcome = e.maybe_run ? Outcome::lost : Outcome::not_run;
      page_.send(Kind::done, 0, t);
    }
    write(e.req, v, e.attempt_id);
    end(e);
  }

  // Nobody can take it: it has not run, so the client is told when to come back.
  void give_up(Errand& e) {
    if (e.maybe_run) {
      finish(e, own(e.deadline - now_s() < 0.01 ? 504 : 502));
    } else {
      finish(e, own(503, false, 0.05 + 0.25 * e.lane->setpoint * (0.5 + random01())));
    }
  }

  // ---- keys ------------------------------------------------------------------
  void ask(Errand& e) {
    if (!page_.up()) return finish(e, own(503, false, 0.3));
    e.holder = random64() | 1;
    e.asking = true;
    u32 const tag = ++next_tag_;
    asks_[tag] = e.h;
    Ask a;
    a.key = e.key;
    a.holder = e.holder;
    a.work_ms = static_cast<u32>(std::max(0.0, e.deadline - now_s()) * 1000);
    a.homes = e.lane->homes;
    page_.send(Kind::ask, tag, a);
    set_timer(e, e.deadline);
  }

  void asked(u32 tag, AskR const& a) {
    auto const it = asks_.find(tag);
    if (it == asks_.end()) return;
    Errand* const e = slab_.get(it->second);
    asks_.erase(it);
    if (e == nullptr || !e->asking) return;
    e->asking = false;
    switch (a.leave) {
      case Leave::run:
        e->granted = true;
        attempt(*e);
        break;
      case Leave::repeat: {
        Return const r = codec::unpack<Return>(a.ret);
        evkeyvalq* out = evhttp_request_get_output_headers(e->req);
        for (std::string const& h : r.heads) {
          auto const c = h.find(':');
          if (c == std::string::npos) continue;
          std::string const k = h.substr(0, c);
          if (same_name(k, "X-Attempt-Id")) continue;
          evhttp_add_header(out, k.c_str(), h.substr(c + 1).c_str());
        }
        evhttp_add_header(out, "X-Attempt-Id", e->attempt_id.c_str());
        if (draining_) evhttp_add_header(out, "Connection", "close");
        evbuffer* b = evbuffer_new();
        evbuffer_add(b, r.body.data(), r.body.size());
        evhttp_send_reply(e->req, static_cast<int>(r.code), r.reason.c_str(), b);
        evbuffer_free(b);
        end(*e);
        break;
      }
      case Leave::at_work: finish(*e, own(409, false, 0.1 + 0.3 * e->lane->setpoint)); break;
      case Leave::lost: finish(*e, own(502)); break;
      case Leave::unavailable: finish(*e, own(503, false, 0.2 + 0.2 * random01())); break;
    }
  }

  // ---- servers ---------------------------------------------------------------
  void attempt(Errand& e) {
    Secs const now = now_s();
    if (e.deadline - now < 0.002) return give_up(e);
    Wish w;
    w.pool = e.pool;
    w.homes = &e.homes;
    w.tried = &e.tried;
    w.bulky = e.body > 16384 || e.lane->kind == LaneKind::inflow;
    w.setpoint = e.lane->setpoint;
    Assign::Choice const c = as_.choose(w, now);
    if (!c.ix || (e.tries == 0 && make_way(e.lane->rank, c.est, e.lane->setpoint))) return give_up(e);
    send(e, *c.ix, now);
  }

  void send(Errand& e, ServerIx s, Secs now) {
    Target& t = as_.at(s);
    Chan* c = nullptr;
    auto& l = idle_[s.v];
    while (!l.empty() && c == nullptr) {
      c = l.back();
      if (c->uses != t.uses || now - c->idle_since > c->idle_limit) {
        doom(c);
        c = nullptr;
      } else {
        l.pop_back();
      }
    }
    if (c == nullptr) c = open(s, now);
    as_.took(s, now);
    c->busy = true;
    c->sent = false;
    c->h = e.h;
    c->born = now;
    e.chan = c;
    e.server = s;
    e.try_at = now;
    ++e.tries;
    e.tried.push_back(s);

    evhttp_request* u = evhttp_request_new(done_cb, c);
    evkeyvalq* out = evhttp_request_get_output_headers(u);
    evkeyvalq* in = evhttp_request_get_input_headers(e.req);
    for (evkeyval* kv = in->tqh_first; kv != nullptr; kv = kv->next.tqe_next) {
      if (hop_only(kv->key) || same_name(kv->key, "X-Time-Left") || same_name(kv->key, "X-Target-Server")) continue;
      evhttp_add_header(out, kv->key, kv->value);
    }
    char b[32];
    std::snprintf(b, sizeof b, "%d", std::max(1, static_cast<int>((e.deadline - now) * 1000)));
    evhttp_add_header(out, "X-Time-Left", b);
    evhttp_add_header(out, "X-Target-Server", t.id.c_str());
    evhttp_add_header(out, "Connection", "keep-alive");
    // Said by us, whatever the method: a body without its length would be read as
    // the next request.
    if (e.body > 0 || e.cmd == EVHTTP_REQ_POST || e.cmd == EVHTTP_REQ_PUT || e.cmd == EVHTTP_REQ_PATCH)
      evhttp_add_header(out, "Content-Length", std::to_string(e.body).c_str());
    if (e.body > 0) evbuffer_add_buffer_reference(evhttp_request_get_output_buffer(u), evhttp_request_get_input_buffer(e.req));
    if (evhttp_make_request(c->ec, u, e.cmd, e.uri.c_str()) != 0) {
      // libevent has freed u and calls nothing back.
      return ended(e, End::unsent);
    }
    // A machine that does not even acknowledge our bytes is not there. What may be
    // tried again need not wait long to learn it; what may not gets the longer time,
    // for giving up on it helps nobody.
    bool const far = !(t.region == as_.region(st_.region));
    tune_socket(bufferevent_getfd(evhttp_connection_get_bufferevent(c->ec)), e.repeatable() ? (far ? 600 : 250) : 2000);
    // Nothing of it out after this long: the server's machine is not there.
    e.try_limit = now + std::max(4 * as_.lat_of(e.pool), e.lane->setpoint * 0.85);
    set_timer(e, std::min(e.deadline, now + connect_limit(e)));
  }

  Secs connect_limit(Errand const& e) { return as_.at(e.server).region == as_.region(st_.region) ? 0.25 : std::max(0.25, std::min(0.5, e.lane->setpoint)); }

  Chan* open(ServerIx s, Secs now) {
    Target& t = as_.at(s);
    auto* const c = new Chan;
    c->px = this;
    c->server = s;
    c->uses = t.uses;
    c->born = now;
    Addr a;
    try {
      a = parse_addr(t.address, "address");
    } catch (BadSetting const&) {
      a = Addr{"127.0.0.1", 9};
    }
    bufferevent* bev = bufferevent_socket_new(eb_, -1, BEV_OPT_DEFER_CALLBACKS);
    c->ec = evhttp_connection_base_bufferevent_new(eb_, nullptr, bev, a.ip.c_str(), static_cast<ev_uint16_t>(a.port));
    evhttp_connection_set_timeout(c->ec, 60);
    evhttp_connection_set_closecb(c->ec, close_cb, c);
    c->out_cb = evbuffer_add_cb(bufferevent_get_output(bev), out_cb, c);
    ++t.chans;
    return c;
  }

  // A dead channel is freed once libevent is out of its callbacks.
  void doom(Chan* c) {
    if (c->dead) return;
    c->dead = true;
    auto const it = idle_.find(c->server.v);
    if (it != idle_.end()) it->second.erase(std::remove(it->second.begin(), it->second.end(), c), it->second.end());
    Target& t = as_.at(c->server);
    if (t.uses == c->uses && t.chans > 0) --t.chans;
    evhttp_connection_set_closecb(c->ec, nullptr, nullptr);
    after(eb_, 0, [c] {
      evhttp_connection_free(c->ec);
      delete c;
    });
  }

  void keep(Chan* c, Secs limit) {
    c->busy = false;
    c->idle_since = now_s();
    c->idle_limit = limit;
    idle_[c->server.v].push_back(c);
  }

  void returned(Chan* c, evhttp_request* r) {
    if (c->dead || !c->busy) return;
    Errand* const e = slab_.get(c->h);
    if (e == nullptr || e->chan != c) return doom(c);
    if (r == nullptr || evhttp_request_get_response_code(r) == 0) {
      End const en = c->sent ? End::broken : End::unsent;
      return ended(*e, en);
    }
    Secs const now = now_s();
    Reply rep;
    rep.code = evhttp_request_get_response_code(r);
    rep.heads = heads_of(evhttp_request_get_input_headers(r));
    evbuffer* body = evhttp_request_get_input_buffer(r);
    rep.body = evbuffer_get_length(body);
    End const en = judge(rep, e->attempt_id);
    bufferevent* bev = evhttp_connection_get_bufferevent(c->ec);
    bool const surplus = evbuffer_get_length(bufferevent_get_input(bev)) > 0;
    std::string const* cn = find_head(rep.heads, "Connection");
    bool const closing = cn != nullptr && same_name(*cn, "close");
    if (std::string const* cl = find_head(rep.heads, "X-Cold-Remaining"); cl != nullptr) {
      double const left = std::strtod(cl->c_str(), nullptr);
      if (left > 0) as_.cold(c->server, left, now);
    }
    if (en == End::broken || surplus || closing || draining_) {
      if (en == End::whole || en == End::not_run || en == End::misdirected) doom_keep_errand(c, *e);
    } else {
      Secs limit = 4;
      if (std::string const* ka = find_head(rep.heads, "Keep-Alive"); ka != nullptr) {
        auto const p = ka->find("timeout=");
        if (p != std::string::npos) limit = std::max(0.0, std::strtod(ka->c_str() + p + 8, nullptr) - 1.5);
      }
      e->chan = nullptr;
      keep(c, limit);
    }
    if (en != End::whole) return ended(*e, en);
    as_.gave(e->server, now - e->try_at, true, now);
    pass(*e, r, rep, body);
  }

  void doom_keep_errand(Chan* c, Errand& e) {
    e.chan = nullptr;
    doom(c);
  }

  // A whole answer goes on unchanged.
  void pass(Errand& e, evhttp_request* r, Reply const& rep, evbuffer* body) {
    if (e.granted) {
      Told t;
      t.key = e.key;
      t.holder = e.holder;
      t.homes = e.lane->homes;
      t.outcome = Outcome::returned;
      Return ret;
      ret.key = e.key;
      ret.holder = e.holder;
      ret.homes = e.lane->homes;
      ret.code = static_cast<u32>(rep.code);
      char const* rl = evhttp_request_get_response_code_line(r);
      ret.reason = rl != nullptr ? rl : "OK";
      for (auto const& [k, v] : rep.heads)
        if (!hop_only(k) && !same_name(k, "Date")) ret.heads.push_back(k + ":" + v);
      ret.body.resize(rep.body);
      evbuffer_copyout(body, ret.body.data(), rep.body);
      t.ret = codec::pack(ret);
      page_.send(Kind::done, 0, t);
    }
    evkeyvalq* out = evhttp_request_get_output_headers(e.req);
    for (auto const& [k, v] : rep.heads)
      if (!hop_only(k)) evhttp_add_header(out, k.c_str(), v.c_str());
    if (draining_) evhttp_add_header(out, "Connection", "close");
    char const* line = evhttp_request_get_response_code_line(r);
    evhttp_send_reply(e.req, rep.code, line != nullptr && *line != '\0' ? line : reason_of(rep.code), body);
    end(e);
  }

  // A try ended without an answer to pass on.
  void ended(Errand& e, End en) {
    Secs const now = now_s();
    ServerIx const s = e.server;
    if (e.chan != nullptr) {
      Chan* const c = e.chan;
      e.chan = nullptr;
      c->busy = false;
      doom(c);
    }
    as_.dropped(s);
    if (en != End::unsent) ++e.arrivals;
    if (!surely_not_run(en)) e.maybe_run = true;
    switch (en) {
      case End::unsent: as_.shun(s, 0.4, now); break;
      case End::misdirected: as_.misdirected(s); break;
      case End::not_run:
        as_.full(s, now);
        break;
      case End::broken: as_.shun(s, now - e.try_at > 0.2 ? 0.4 : 0.1, now); break;
      case End::silent: as_.shun(s, 0.1, now); break;
      case End::whole: break;
    }
    if (!may_retry(e, now)) return give_up(e);
    attempt(e);
  }

  bool may_retry(Errand& e, Secs now) {
    if (e.maybe_run && !e.repeatable()) return false;
    // A try that never left is no arrival; still, it ends some time.
    if (e.tries >= e.lane->max_tries + 2 || e.arrivals >= e.lane->max_tries) return false;
    if (e.deadline - now < 0.01) return false;
    return e.arrivals == 0 || as_.budget(e.pool).take(now, as_.part());
  }

  void timer(Errand* ep) {
    Errand& e = *ep;
    Secs const now = now_s();
    if (now >= e.deadline - 0.001) {
      if (e.asking) {
        e.asking = false;
        Told t;  // whatever was granted meanwhile is given back
        t.key = e.key;
        t.holder = e.holder;
        t.homes = e.lane->homes;
        t.outcome = Outcome::not_run;
        page_.send(Kind::done, 0, t);
        return finish(e, own(503, false, 0.2));
      }
      if (e.chan != nullptr) {
        Chan* const c = e.chan;
        if (c->sent) e.maybe_run = true;
        e.chan = nullptr;
        c->busy = false;
        doom(c);
        as_.dropped(e.server);
        as_.shun(e.server, 0.1, now);
      }
      return finish(e, own(e.maybe_run ? 504 : 503, false, e.maybe_run ? -1 : 0.1));
    }
    if (e.chan == nullptr) return set_timer(e, e.deadline);
    if (!e.chan->sent) return ended(e, End::unsent);
    // While draining, a server at work is never broken off.
    if (!draining_ && e.repeatable() && now >= e.try_limit && e.arrivals + 1 < e.lane->max_tries) {
      Wish w;
      w.pool = e.pool;
      w.homes = &e.homes;
      w.tried = &e.tried;
      w.setpoint = e.lane->setpoint;
      if (as_.choose(w, now).ix && e.deadline - now > 0.3 * as_.lat_of(e.pool)) return ended(e, End::silent);
    }
    Secs next = e.deadline;
    if (e.repeatable() && e.arrivals + 1 < e.lane->max_tries) next = std::min(next, std::max(e.try_limit, now + 0.05));
    set_timer(e, next);
  }

  void tick() {
    Secs const now = now_s();
    page_.tick(now);
    held_.expire(now);
    for (auto& [s, l] : idle_) {
      std::vector<Chan*> old;
      for (Chan* c : l)
        if (now - c->idle_since > c->idle_limit || c->uses != as_.at(ServerIx(s)).uses) old.push_back(c);
      for (Chan* c : old) doom(c);
    }
    if (!draining_) return;
    Secs const g = st_.bounds.gracePeriodS;
    Secs const t = now - drain_at_;
    if (sock_ != nullptr && t > g * 0.45) {
      evhttp_del_accept_socket(front_, sock_);
      sock_ = nullptr;
      closed_at_ = now;
    }
    if ((sock_ == nullptr && slab_.size() == 0 && now - closed_at_ > 0.3) || t > g - 0.4) event_base_loopbreak(eb_);
  }

  event_base* eb_;
  Settings st_;
  Assign as_;
  std::shared_ptr<Compiled const> man_;
  Link page_;
  evhttp* front_ = nullptr;
  evhttp* ready_ = nullptr;
  evhttp_bound_socket* sock_ = nullptr;
  std::unique_ptr<Ticker> tick_, load_tick_;
  ErrandSlab slab_;
  std::unordered_map<u32, std::vector<Chan*>> idle_;
  std::unordered_map<u32, Handle> asks_;
  std::set<std::string> pool_names_, evac_;
  Holder held_;  // rollouts whose change is held here
  u32 next_tag_ = 0;
  bool have_state_ = false, draining_ = false;
  Ballot bal_;
  Secs drain_at_ = 0, closed_at_ = 0, cpu_at_ = 0;
  double cpu_ = 0, load_ = 0;
  log4cplus::Logger lg_ = log4cplus::Logger::getInstance("circulation");
};

Proxy* Proxy::self_ = nullptr;

}  // namespace

int main(int argc, char** argv) { return run_daemon<Proxy>({"circulation", "dockbend's proxy", false, {"front", "ready"}}, argc, argv); }
