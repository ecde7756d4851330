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

#include "allowance/allowance.hpp"
#include "assign/assign.hpp"
#include "atlas/survey.hpp"
#include "drain/leaver.hpp"
#include "errand/course.hpp"
#include "errand/slab.hpp"
#include "gossip/roll.hpp"
#include "keys/ask.hpp"
#include "manifest/manifest.hpp"
#include "register/state.hpp"
#include "rollout/rollout.hpp"
#include "shelf/readings.hpp"
#include "shelf/shelf.hpp"
#include "stacks/log.hpp"
#include "stacks/program.hpp"
#include "tally/totals.hpp"

using namespace dockbend;
using schema::LaneKind;

namespace {

struct Errand;
using ErrandSlab = Slab<Errand>;
using Handle = ErrandSlab::Handle;

// Invariants: an errand that may not repeat is sent again only after a proof
// that it has not run; req is answered exactly once, then the place is dropped;
// token is given back if and only if nothing ran.
struct Errand {
  Handle h;
  evhttp_request* req = nullptr;
  LaneP lane;
  TenantP tenant;     // null: the lane is keyless, or there are no customers
  bool gated = false;  // there are customers: the client's key stays here
  evhttp_cmd_type cmd = EVHTTP_REQ_GET;
  std::string uri, attempt_id, key;
  std::vector<PlaceIx> homes;
  std::vector<std::string> home_names;
  std::vector<ServerIx> tried;
  PoolIx pool;
  Secs start = 0;
  u32 rank = 0;
  Course course;
  Chan* chan = nullptr;
  ServerIx server;
  u64 holder = 0;
  bool asking = false, granted = false, parked = false;
  Borrower::Token token;
  u32 counted = 0;  // tries that the tally has
  event* timer = nullptr;
  std::size_t body = 0;
  Secs deadline() const { return course.deadline(); }
  ~Errand() {
    if (timer != nullptr) event_free(timer);
  }
};

Heads heads_of(evkeyvalq* q) {
  Heads h;
  for (evkeyval* kv = q->tqh_first; kv != nullptr; kv = kv->next.tqe_next) h.emplace_back(kv->key, kv->value);
  return h;
}

// The key that a client names itself by: `Authorization: Token KEY`.
std::string_view key_of(evkeyvalq* in) {
  char const* a = evhttp_find_header(in, "Authorization");
  if (a == nullptr) return {};
  std::string_view v = a;
  auto const sp = v.find(' ');
  if (sp == std::string_view::npos || !same_name(v.substr(0, sp), "Token")) return {};
  v.remove_prefix(sp);
  while (!v.empty() && v.front() == ' ') v.remove_prefix(1);
  while (!v.empty() && v.back() == ' ') v.remove_suffix(1);
  return v;
}

class Proxy {
 public:
  Proxy(event_base* eb, Settings const& st)
      : eb_(eb), st_(st), as_(st_), shelf_(eb, as_), page_(eb, Addr{"127.0.0.1", st.agent()}, 0.4, 2.0),
        life_(random64() | 1), leaver_(life_), counter_(life_), borrower_(life_, "") {
    self_ = this;
    shelf_.on_return.connect([this](Chan& c, evhttp_request* r) { returned(c, r); });
    front_ = evhttp_new(eb_);
    evhttp_set_allowed_methods(front_, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                                           EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
    evhttp_set_gencb(front_, [](evhttp_request* r, void* p) { static_cast<Proxy*>(p)->arrive(r); }, this);
    readings_.watch(front_);
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
    page_.on_up.connect([this](Link&) {
      tell_load();
      tally_all_ = true;
    });
    borrower_.front(at("front").str());
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
    LimitsDef const& l = man_.limits();
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
      case Kind::clock: clock_.mate("page", now_s(), l.as<ClockSaid>().wall); break;
      case Kind::loanR: loaned(l.as<LoanRet>()); break;
      case Kind::survey: surveyed(l.tag, l.as<SurveyAsk>()); break;
      case Kind::drain: told_to_drain(l.as<DrainSaid>()); break;
      default: ++bad_input().letters; break;
    }
  }

  void news(News const& n) {
    Secs const now = now_s();
    if (!n.state.empty()) {
      State const s = read_state(n.state);
      // A node never steps back in one life.
      if (!have_state_ || s.bal > bal_) {
        have_state_ = true;
        bal_ = s.bal;
        for (Item const& i : s.items) man_.put(i);
        to_fix_ = s.to_fix;
        evacuations(s.evacs, now);
        manifest_changed(now);
      }
    } else if (!n.delta.empty()) {
      Delta const d = read_delta(n.delta);
      if (have_state_ && d.bal > bal_) {
        bal_ = d.bal;
        for (Item const& i : d.items) man_.put(i);
        to_fix_ = d.to_fix;
        if (d.evacs_set) evacuations(d.evacs, now);
        if (!d.items.empty()) manifest_changed(now);
      }
    }
    counter_.forget(Window(to_fix_));
    if (n.rows_full || !n.rows.empty()) {
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
      if (n.rows_full) as_.table(v, now);
      else as_.change(v, now);
      shelf_.trim(as_.gone_idle());
    }
    if (!n.sites.empty()) {
      std::map<std::string, u32> m;
      for (ZoneCount const& z : n.sites) m[z.zone] = z.n;
      as_.sites(m);
      budgets(now);
    }
    as_.evacuated(evac_, now);
  }

  void evacuations(std::vector<Evac> const& l, Secs now) {
    evac_.clear();
    for (Evac const& e : l)
      if (e.on) evac_.insert(e.zone);
    as_.evacuated(evac_, now);
  }

  void manifest_changed(Secs now) {
    set_limits();
    rules();
    budgets(now);
  }

  // Wanted: a purse for every partner with an allowance. The loop works out the rest.
  void budgets(Secs now) {
    std::set<std::string> want;
    for (TenantP const& t : man_.tenants()) {
      if (!t->allowance) continue;
      want.insert(t->name);
      borrower_.rule(t->name, BudgetRule{t->allowance->rate, t->allowance->burst, t->allowance->reserve.value_or(0)}, as_.sites_of_all(), now);
    }
    for (std::string const& t : borrower_.tenants())
      if (want.count(t) == 0) borrower_.drop(t);
  }

  // Holds a change that is being rolled out: it must compile here whole. What is
  // held changes nothing of how errands are handled; in force is only what the
  // register has committed.
  void hold(Hold const& h) {
    if (h.drop) return held_.drop(h.id);
    std::size_t n = 0;
    for (Item const& i : h.items) n += !i.gone && i.key[0] != 'l' ? 1 : 0;
    HoldR r;
    r.id = h.id;
    r.holds = held_.holds(h.id) || Compiled::from(h.items).size() == n;
    r.front = at("front").str();
    if (r.holds) held_.hold(h.id, now_s() + h.for_ms / 1000.0);
    page_.send(Kind::holdR, 0, r);
  }

  void rules() {
    for (std::string const& n : pool_names_) {
      PoolDef const* d = man_.pool(n);
      if (d != nullptr) as_.rule(as_.pool(n), PoolRule{static_cast<double>(d->conn_limit), d->cold_rate, d->cold_s});
    }
  }
  PoolIx pool_ix(std::string const& n) {
    if (pool_names_.insert(n).second) {
      PoolIx const p = as_.pool(n);
      PoolDef const* d = man_.pool(n);
      if (d != nullptr) as_.rule(p, PoolRule{static_cast<double>(d->conn_limit), d->cold_rate, d->cold_s});
    }
    return as_.pool(n);
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
      // The busier of processor and link, smoothed a little.
      if (cpu_at_ > 0) {
        double const d = now - cpu_at_;
        double const x = (cpu - cpu_) / d / std::max(0.01, st_.cpuShare);
        double const y = st_.linkMbps > 0 ? std::max(bytes_in_, bytes_out_) / d / (st_.linkMbps * 125e3) : 0;
        load_ += 0.5 * (std::max(x, y) - load_);
      }
      bytes_in_ = bytes_out_ = 0;
      cpu_ = cpu;
      cpu_at_ = now;
    }
    l.load = load_;
    u32 keyed = 0, uploads = 0;
    if (leaver_.concerned()) {
      slab_.each([&](Errand const& e) {
        keyed += e.lane->kind == LaneKind::keyed ? 1 : 0;
        uploads += is_upload(e) ? 1 : 0;
      });
      // Silent for longer than a client may be idle: its connection ended.
      uploads += readings_.open(static_cast<u64>(10 * man_.limits().idle) + 10);
    }
    l.drain = leaver_.word(keyed, uploads, now);
    page_.send(Kind::load, 0, l);
  }

  bool is_ready() const { return have_state_ && man_.lanes() > 0 && as_.live() > 0 && !draining_; }

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

  // ---- a drain that an operator wants -----------------------------------------
  void told_to_drain(DrainSaid const& d) {
    if (leaver_.told(d, now_s())) LOG4CPLUS_INFO(lg_, (drains() ? "Drains for maintenance. " : "Drains no more. ") << slab_.size() << " errands at work.");
    tell_load();
  }
  bool drains() const { return leaver_.drains(); }
  bool closing() const { return draining_ || drains(); }
  static bool is_upload(Errand const& e) { return e.lane->kind == LaneKind::inflow || e.body > 16384; }

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
    if (v.close || closing()) evhttp_add_header(out, "Connection", "close");
    evhttp_add_header(out, "Content-Type", "text/plain");
    evbuffer* b = evbuffer_new();
    evbuffer_add_printf(b, "%s\n", v.reason);
    evhttp_send_reply(r, v.code, v.reason, b);
    evbuffer_free(b);
  }

  void malformed(evhttp_request* r, std::string const& id) {
    ++bad_input().calls;
    write(r, own(400, true), id);
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
    if (wrong || hosts != 1 || !well_formed(heads)) return malformed(r, id);
    LimitsDef const& lim = man_.limits();
    readings_.whole(r);
    std::string const uri = evhttp_request_get_uri(r);
    bytes_in_ += static_cast<double>(body + hb) + 150;
    if (hb + uri.size() > lim.header_bytes) return write(r, own(431, true), id);
    if (body > lim.body_bytes) return write(r, own(413, true), id);
    char const* host = evhttp_find_header(in, "Host");
    if (host == nullptr || uri.empty() || uri[0] != '/' || !well_formed_target(uri)) return malformed(r, id);
    std::string hn = host;
    if (auto const c = hn.find(':'); c != std::string::npos) hn.resize(c);
    std::transform(hn.begin(), hn.end(), hn.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    if (!have_state_) return write(r, own(503, false, 0.3), id);
    std::string_view path = uri;
    path = path.substr(0, path.find('?'));
    LaneP const lane = man_.find(hn, path);
    if (!lane) return write(r, own(404), id);
    if (id.empty()) return write(r, own(400), id);
    // On its way out for maintenance: what may not be cut is not begun.
    if (drains() && (lane->kind == LaneKind::keyed || lane->kind == LaneKind::inflow || body > 16384)) {
      ++given_up_["draining"];
      return write(r, own(503, true, 0.05), id);
    }
    bool const gated = man_.has_tenants();
    TenantP tenant;
    if (gated) {
      if (std::string_view const k = key_of(in); !k.empty()) tenant = man_.tenant_of(k);
      if (!tenant && !lane->keyless) return write(r, own(401), id);
    }

    auto up = std::make_unique<Errand>();
    Errand& e = *up;
    e.req = r;
    e.lane = lane;
    e.tenant = tenant;
    e.gated = gated;
    e.rank = tenant && tenant->rank ? *tenant->rank : lane->rank;
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
    std::string const* svc = pick_service(*lane);
    e.pool = pool_ix(*svc);
    PoolDef const* const d = man_.pool(*svc);
    bool const repeatable = lane->kind == LaneKind::idempotent || (lane->kind == LaneKind::keyed && d != nullptr && d->dedupes);
    e.course = Course(repeatable, lane->max_tries, now + left);
    bool homeless = false;
    e.home_names = homes_of(*lane, tenant.get(), homeless);
    for (std::string const& h : e.home_names) e.homes.push_back(as_.region(h));
    if (lane->kind == LaneKind::keyed) {
      char const* k = evhttp_find_header(in, "X-Operation-Key");
      if (k == nullptr || *k == '\0') return write(r, own(400), id);
      // Two partners may use the same words for their keys.
      e.key = tenant ? tenant->name + "/" + k : std::string(k);
    }
    // Homes of the lane and of its partner that have no region in common: nobody may
    // ever run it.
    if (homeless) ++given_up_["homes have nothing in common"];
    if (homeless) return write(r, own(503, false, 1.0), id);
    e.timer = event_new(eb_, -1, 0, timer_cb, &e);
    e.h = slab_.add(std::move(up));
    as_.budget(e.pool).errand(now);
    atlas_.errand(lane->name, as_.pool_name(e.pool), e.home_names, e.body > 16384 || lane->kind == LaneKind::inflow, now);
    admit(e, now);
  }

  std::string const* pick_service(Lane const& lane) const {
    double sum = 0;
    for (auto const& [s, g] : lane.to) sum += g;
    double x = random01() * sum;
    for (auto const& [s, g] : lane.to) {
      if (g > 0 && x < g) return &s;
      x -= g;
    }
    return &lane.to.back().first;
  }

  // If both the lane and the partner have homes, both bind.
  static std::vector<std::string> homes_of(Lane const& lane, Tenant const* t, bool& homeless) {
    if (t == nullptr || t->homes.empty()) return lane.homes;
    if (lane.homes.empty()) return t->homes;
    std::vector<std::string> both;
    for (std::string const& h : lane.homes)
      if (std::find(t->homes.begin(), t->homes.end(), h) != t->homes.end()) both.push_back(h);
    homeless = both.empty();
    return both;
  }

  // ---- a partner's budget: it comes first, then rank and worth ------------------
  void admit(Errand& e, Secs now) {
    if (!e.tenant || !borrower_.has(e.tenant->name)) return go(e);
    std::string const& t = e.tenant->name;
    bool const high = is_high(e);
    e.token = borrower_.take(t, high, now);
    if (e.token) return go(e);
    // The lender may have some. It is asked at once and waited for as long as that is
    // of use; nothing is held back after its answer.
    if (!e.parked && page_.up()) {
      e.parked = true;
      parked_.push_back({e.h, borrower_.waits(t, now)});
      lend(now);
      return set_timer(e, std::min(e.deadline(), now + std::max(0.02, 0.2 * e.lane->setpoint)));
    }
    borrower_.refused(t);
    finish(e, own(429, false, borrower_.wait_of(t)));
  }

  // Every rank but the lowest that lanes have may use the reserve.
  bool is_high(Errand const& e) const { return e.lane->rank < man_.lowest_rank(); }

  void go(Errand& e) {
    if (e.lane->kind == LaneKind::keyed)
      ask(e);
    else
      attempt(e);
  }

  void lend(Secs now) {
    if (!page_.up() || !borrower_.due(now)) return;
    LoanAsk const a = borrower_.ask(now);
    if (a.wants.empty()) return borrower_.lost();
    page_.send(Kind::loan, 0, a);
  }

  void loaned(LoanRet const& r) {
    Secs const now = now_s();
    borrower_.got(r, now);
    std::vector<Parked> l;
    l.swap(parked_);
    for (Parked const& p : l) {
      Errand* const e = slab_.get(p.h);
      if (e == nullptr || !e->parked || e->token) continue;
      if (p.ask > r.seq) parked_.push_back(p);
      else admit(*e, now);
    }
    lend(now);
  }

  void refund(Errand& e) {
    if (!e.token || !e.tenant) return;
    borrower_.give_back(e.tenant->name, e.token, now_s());
    e.token = {};
  }

  void set_timer(Errand& e, Secs at) {
    Secs const t = std::max(0.0005, at - now_s());
    timeval tv{static_cast<time_t>(t), static_cast<suseconds_t>((t - static_cast<double>(static_cast<time_t>(t))) * 1e6)};
    event_add(e.timer, &tv);
  }

  void end(Errand& e) {
    if (e.lane->kind == LaneKind::keyed) leaver_.answered(now_s());
    event_del(e.timer);
    slab_.drop(e.h);
  }

  // Ends an errand with an answer of our own.
  void finish(Errand& e, Verdict const& v) {
    if (!e.course.maybe_run()) refund(e);
    if (e.granted) {
      Told t;
      t.key = e.key;
      t.holder = e.holder;
      t.homes = e.home_names;
      t.outcome = e.course.maybe_run() ? Outcome::lost : Outcome::not_run;
      page_.send(Kind::done, 0, t);
    }
    write(e.req, v, e.attempt_id);
    end(e);
  }

  // Nobody can take it: it has not run, so the client is told when to come back.
  void give_up(Errand& e, char const* why) {
    ++given_up_[why];
    if (e.course.maybe_run()) {
      finish(e, own(e.deadline() - now_s() < 0.01 ? 504 : 502));
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
    a.work_ms = static_cast<u32>(std::max(0.0, e.deadline() - now_s()) * 1000);
    a.homes = e.home_names;
    page_.send(Kind::ask, tag, a);
    set_timer(e, e.deadline());
  }

  void asked(u32 tag, AskR const& a) {
    auto const it = asks_.find(tag);
    if (it == asks_.end()) return;
    Errand* const e = slab_.get(it->second);
    asks_.erase(it);
    if (e == nullptr || !e->asking) return;
    e->asking = false;
    // An answer that can't be read is told to its client before it ends the agent's channel.
    std::optional<Return> first;
    if (a.leave == Leave::repeat) {
      try {
        first = codec::unpack<Return>(a.ret);
      } catch (codec::Malformed const&) {
        finish(*e, own(502));
        throw;
      }
      if (first->code < 200 || first->code > 599) return finish(*e, own(502));
    }
    switch (a.leave) {
      case Leave::run:
        e->granted = true;
        attempt(*e);
        break;
      case Leave::repeat: {
        Return const& r = *first;
        evkeyvalq* out = evhttp_request_get_output_headers(e->req);
        for (std::string const& h : r.heads) {
          auto const c = h.find(':');
          if (c == std::string::npos) continue;
          std::string const k = h.substr(0, c);
          if (same_name(k, "X-Attempt-Id")) continue;
          evhttp_add_header(out, k.c_str(), h.substr(c + 1).c_str());
        }
        evhttp_add_header(out, "X-Attempt-Id", e->attempt_id.c_str());
        if (closing()) evhttp_add_header(out, "Connection", "close");
        refund(*e);  // what was answered before costs nothing
        evbuffer* b = evbuffer_new();
        evbuffer_add(b, r.body.data(), r.body.size());
        evhttp_send_reply(e->req, static_cast<int>(r.code), r.reason.c_str(), b);
        evbuffer_free(b);
        end(*e);
        break;
      }
      case Leave::at_work: finish(*e, own(409, false, 0.1 + 0.3 * e->lane->setpoint)); break;
      case Leave::lost: finish(*e, own(502)); break;
      case Leave::unavailable:
        ++given_up_["key not granted"];
        finish(*e, own(503, false, 0.2 + 0.2 * random01()));
        break;
      default: finish(*e, own(502)); break;  // a word that we don't know promises nothing
    }
  }

  // ---- servers ---------------------------------------------------------------
  Wish wish_of(Errand const& e) const {
    Wish w;
    w.pool = e.pool;
    w.homes = &e.homes;
    w.tried = &e.tried;
    w.bulky = e.body > 16384 || e.lane->kind == LaneKind::inflow;
    w.setpoint = e.lane->setpoint;
    return w;
  }

  void attempt(Errand& e) {
    Secs const now = now_s();
    if (e.deadline() - now < 0.002) return give_up(e, "no time left");
    Assign::Choice const c = as_.choose(wish_of(e), now);
    if (!c.ix) return give_up(e, c.no == Assign::No::none ? "nobody may take it" : "all full");
    if (e.course.tries() == 0 && make_way(e.rank, c.est, e.lane->setpoint)) return give_up(e, "made way");
    send(e, *c.ix, now);
  }

  void send(Errand& e, ServerIx s, Secs now) {
    Target& t = as_.at(s);
    bool const rep = e.course.repeatable();
    Chan& c = shelf_.take(s, as_.idle_safe(s, rep, now), now, e.h.ptr());
    as_.took(s, now);
    e.chan = &c;
    e.server = s;
    e.course.began(now, std::max(4 * as_.lat_of(e.pool), e.lane->setpoint * 0.85), connect_limit(e));
    e.tried.push_back(s);
    atlas_.sent(e.lane->name, as_.zone_name(t.zone), now);

    evhttp_request* u = shelf_.request(c);
    evkeyvalq* out = evhttp_request_get_output_headers(u);
    evkeyvalq* in = evhttp_request_get_input_headers(e.req);
    for (evkeyval* kv = in->tqh_first; kv != nullptr; kv = kv->next.tqe_next) {
      if (hop_only(kv->key) || same_name(kv->key, "X-Time-Left") || same_name(kv->key, "X-Target-Server") || same_name(kv->key, "X-Tenant")) continue;
      if (e.gated && same_name(kv->key, "Authorization")) continue;
      evhttp_add_header(out, kv->key, kv->value);
    }
    if (e.tenant) evhttp_add_header(out, "X-Tenant", e.tenant->name.c_str());
    char b[32];
    std::snprintf(b, sizeof b, "%d", static_cast<int>(std::clamp((e.deadline() - now) * 1000, 1.0, 2e9)));
    evhttp_add_header(out, "X-Time-Left", b);
    evhttp_add_header(out, "X-Target-Server", t.id.c_str());
    evhttp_add_header(out, "Connection", "keep-alive");
    // Said by us, whatever the method: a body without its length would be read as
    // the next request.
    if (e.body > 0 || e.cmd == EVHTTP_REQ_POST || e.cmd == EVHTTP_REQ_PUT || e.cmd == EVHTTP_REQ_PATCH)
      evhttp_add_header(out, "Content-Length", std::to_string(e.body).c_str());
    if (e.body > 0) evbuffer_add_buffer_reference(evhttp_request_get_output_buffer(u), evhttp_request_get_input_buffer(e.req));
    // A machine that does not even acknowledge our bytes is not there. What may be
    // tried again need not wait long to learn it; what may not gets the longer time,
    // for giving up on it helps nobody.
    bool const far = !(t.region == as_.region(st_.region));
    if (!shelf_.send(c, u, e.cmd, e.uri.c_str(), rep ? (far ? 600 : 250) : 2000)) return ended(e, End::unsent);
    bytes_out_ += static_cast<double>(e.body) + 600;
    if (far) far_out_ += static_cast<double>(e.body) + 600;
    if (far) ++far_n_;
    if (e.tenant) uncounted_.push_back({e.h, e.course.tries(), now});
    set_timer(e, e.course.next(now, true, false));
  }

  Secs connect_limit(Errand const& e) { return as_.at(e.server).region == as_.region(st_.region) ? 0.25 : std::max(0.25, std::min(0.5, e.lane->setpoint)); }

  void returned(Chan& c, evhttp_request* r) {
    Errand* const e = slab_.get(Handle::of(c.owner));
    if (e == nullptr || e->chan != &c) return shelf_.doom(c);
    Secs const now = now_s();
    if (r == nullptr || evhttp_request_get_response_code(r) == 0) {
      // An idle channel that the server had forgotten: reset with no byte back.
      if (c.sent && c.idle_was > 0 && now - e->course.try_at() < 0.3) as_.idle_lost(c.server, c.idle_was, now);
      return ended(*e, c.sent ? End::broken : End::unsent);
    }
    Reply rep;
    rep.code = evhttp_request_get_response_code(r);
    rep.heads = heads_of(evhttp_request_get_input_headers(r));
    evbuffer* body = evhttp_request_get_input_buffer(r);
    rep.body = evbuffer_get_length(body);
    bytes_in_ += static_cast<double>(rep.body) + 400;
    bytes_out_ += static_cast<double>(rep.body) + 400;
    if (!(as_.at(c.server).region == as_.region(st_.region))) far_in_ += static_cast<double>(rep.body) + 400;
    End const en = judge(rep, e->attempt_id);
    bufferevent* bev = evhttp_connection_get_bufferevent(c.ec);
    bool const surplus = evbuffer_get_length(bufferevent_get_input(bev)) > 0;
    std::string const* cn = find_head(rep.heads, "Connection");
    bool const closing = cn != nullptr && same_name(*cn, "close");
    if (std::string const* cl = find_head(rep.heads, "X-Cold-Remaining"); cl != nullptr) {
      double const left = std::strtod(cl->c_str(), nullptr);
      if (left > 0 && left < 1e9) as_.cold(c.server, left, now);
    }
    if (en == End::broken || surplus || closing || draining_) {
      if (en == End::whole || en == End::not_run || en == End::misdirected) {
        e->chan = nullptr;
        shelf_.doom(c);
      }
    } else {
      Secs limit = 4;
      if (std::string const* ka = find_head(rep.heads, "Keep-Alive"); ka != nullptr) {
        auto const p = ka->find("timeout=");
        if (p != std::string::npos) limit = std::clamp(std::strtod(ka->c_str() + p + 8, nullptr) - 1.5, 0.0, 3600.0);
      }
      e->chan = nullptr;
      shelf_.keep(c, limit, now);
    }
    if (en != End::whole) return ended(*e, en);
    as_.gave(e->server, now - e->course.try_at(), true, now);
    if (rep.code >= 500) as_.failed(e->server, now);
    count(*e);
    pass(*e, r, rep, body);
  }

  // A whole answer goes on unchanged.
  void pass(Errand& e, evhttp_request* r, Reply const& rep, evbuffer* body) {
    if (e.granted) {
      Told t;
      t.key = e.key;
      t.holder = e.holder;
      t.homes = e.home_names;
      t.outcome = Outcome::returned;
      Return ret;
      ret.key = e.key;
      ret.holder = e.holder;
      ret.homes = e.home_names;
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
    if (closing()) evhttp_add_header(out, "Connection", "close");
    char const* line = evhttp_request_get_response_code_line(r);
    evhttp_send_reply(e.req, rep.code, line != nullptr && *line != '\0' ? line : reason_of(rep.code), body);
    end(e);
  }

  void let_go(Errand& e) {
    if (e.chan == nullptr) return;
    Chan& c = *e.chan;
    e.chan = nullptr;
    c.busy = false;
    shelf_.doom(c);
  }

  // A try ended without an answer to pass on.
  void ended(Errand& e, End en) {
    Secs const now = now_s();
    ServerIx const s = e.server;
    let_go(e);
    as_.dropped(s);
    e.course.ended(en);
    if (!surely_not_run(en)) count(e);
    switch (en) {
      case End::unsent: as_.shun(s, 0.4, now); break;
      case End::misdirected: as_.misdirected(s); break;
      case End::not_run: as_.full(s, now); break;
      case End::broken: as_.shun(s, now - e.course.try_at() > 0.2 ? 0.4 : 0.1, now); break;
      case End::silent: as_.shun(s, 0.1, now); break;
      case End::whole: break;
    }
    if (!e.course.may_try_again(now) || (e.course.costs_budget() && !as_.budget(e.pool).take(now, as_.part()))) return give_up(e, "tries used up");
    attempt(e);
  }

  void timer(Errand* ep) {
    Errand& e = *ep;
    Secs const now = now_s();
    if (e.parked && !e.token) {  // the lender kept us waiting
      borrower_.refused(e.tenant->name);
      return finish(e, own(429, false, borrower_.wait_of(e.tenant->name)));
    }
    bool const sent = e.chan != nullptr && e.chan->sent;
    switch (e.course.due(now, e.chan != nullptr, sent, draining_)) {
      case Course::Due::expired: return expired(e, now);
      case Course::Due::unsent: return ended(e, End::unsent);
      case Course::Due::late:
        if (as_.choose(wish_of(e), now).ix && e.deadline() - now > 0.3 * as_.lat_of(e.pool)) return ended(e, End::silent);
        break;
      case Course::Due::wait: break;
    }
    set_timer(e, e.course.next(now, e.chan != nullptr, sent));
  }

  void expired(Errand& e, Secs now) {
    if (e.asking) {
      e.asking = false;
      Told t;  // whatever was granted meanwhile is given back
      t.key = e.key;
      t.holder = e.holder;
      t.homes = e.home_names;
      t.outcome = Outcome::not_run;
      page_.send(Kind::done, 0, t);
      return finish(e, own(503, false, 0.2));
    }
    if (e.chan != nullptr) {
      if (e.chan->sent) {
        e.course.ended(End::silent);
        count(e);
      }
      let_go(e);
      as_.dropped(e.server);
      as_.shun(e.server, 0.1, now);
    }
    finish(e, e.course.maybe_run() ? own(504) : own(503, false, 0.1));
  }

  // ---- what servers began, by partner and window -----------------------------------
  // A try counts once it is clear that its server did not turn it away: at its answer,
  // or after a moment's silence. It counts in the window in which it was sent.
  void count(Errand& e) {
    if (!e.tenant || e.counted >= e.course.tries()) return;
    e.counted = e.course.tries();
    Wall const w = clock_.known() ? clock_.at(e.course.try_at()) : wall_s() - (now_s() - e.course.try_at());
    counter_.began(e.tenant->name, window_of(w, st_.bounds.reportPeriodS));
  }

  void count_silent(Secs now) {
    while (!uncounted_.empty() && now - uncounted_.front().at > 0.3) {
      Uncounted const u = uncounted_.front();
      uncounted_.pop_front();
      Errand* const e = slab_.get(u.h);
      if (e != nullptr && e->course.tries() == u.tries && e->chan != nullptr && e->chan->sent) count(*e);
    }
  }

  void tell_tally(Secs now) {
    if (now - tallied_ < 0.25 || !page_.up()) return;
    tallied_ = now;
    TallyNote const n = counter_.take(tally_all_);
    tally_all_ = false;
    if (!n.rows.empty()) page_.send(Kind::tally, 0, n);
  }

  // What is open at these servers. A session is a request in work there: between two
  // requests a client's connection may go on to any server without loss.
  // No names: of all.
  std::vector<Held> holdings(std::vector<std::string> const& ids, Secs now) {
    std::map<std::string, Held> m;
    for (std::string const& id : ids) m[id].id = id;
    slab_.each([&](Errand const& e) {
      if (e.chan == nullptr) return;
      std::string const& id = as_.at(e.server).id;
      auto it = m.find(id);
      if (it == m.end() && ids.empty()) {
        it = m.try_emplace(id).first;
        it->second.id = id;
      }
      if (it == m.end()) return;
      Held& h = it->second;
      ++h.sessions;
      h.keyed += e.lane->kind == LaneKind::keyed ? 1 : 0;
      if (!is_upload(e)) return;
      ++h.uploads;
      h.bytes += static_cast<double>(e.body);
      h.age = std::max(h.age, now - e.start);
    });
    std::vector<Held> out;
    for (auto& [id, h] : m)
      if (h.sessions > 0) out.push_back(std::move(h));  // what is not named is not held
    return out;
  }

  // ---- what this proxy sees, for whoever plans -----------------------------------------
  void surveyed(u32 tag, SurveyAsk const& a) {
    Secs const now = now_s();
    Survey s;
    s.id = a.id;
    s.front = at("front").str();
    s.zone = st_.zone;
    s.region = st_.region;
    s.node = st_.nodeName;
    s.held = holdings(a.servers, now);
    if (a.held) {
      page_.send(Kind::surveyR, tag, s);
      return;
    }
    atlas_.fill(s, now);
    for (Target const& t : as_.targets()) {
      if (!t.ready || t.lat <= 0) continue;
      Speed x;
      x.id = t.id;
      x.lat = t.lat;
      x.dev = t.dev;
      x.told = true;
      s.speeds.push_back(std::move(x));
    }
    page_.send(Kind::surveyR, tag, s);
  }

  void tick() {
    Secs const now = now_s();
    readings_.tick();
    page_.tick(now);
    held_.expire(now);
    clock_.own(now, wall_s());
    count_silent(now);
    tell_tally(now);
    lend(now);
    shelf_.sweep(now);
    if (now - far_at_ > 10) {
      far_at_ = now;
      if (far_n_ > 0) LOG4CPLUS_INFO(lg_, "Sent to other regions: " << far_n_ << " errands, " << static_cast<u64>(far_out_) << " bytes out, " << static_cast<u64>(far_in_) << " in.");
      far_out_ = far_in_ = 0;
      far_n_ = 0;
    }
    if (now - bad_at_ > 10) {
      bad_at_ = now;
      say_bad_input();
    }
    if (now - said_at_ > 10 && !given_up_.empty()) {
      said_at_ = now;
      std::string line;
      for (auto const& [why, n] : given_up_) line += (line.empty() ? "" : ", ") + std::string(why) + " " + std::to_string(n);
      given_up_.clear();
      LOG4CPLUS_INFO(lg_, "Gave up: " << line << ".");
    }
    if (!draining_) return;
    Secs const g = st_.bounds.gracePeriodS;
    Secs const t = now - drain_at_;
    if (sock_ != nullptr && t > g * 0.45) {
      evhttp_del_accept_socket(front_, sock_);
      sock_ = nullptr;
      closed_at_ = now;
    }
    if ((sock_ == nullptr && slab_.size() == 0 && now - closed_at_ > 0.3) || t > g - 0.4) {
      tallied_ = 0;
      tell_tally(now);
      event_base_loopbreak(eb_);
    }
  }

  event_base* eb_;
  Settings st_;
  Assign as_;
  Shelf shelf_;
  Readings readings_;
  Compiled man_;
  Link page_;
  evhttp* front_ = nullptr;
  evhttp* ready_ = nullptr;
  evhttp_bound_socket* sock_ = nullptr;
  std::unique_ptr<Ticker> tick_, load_tick_;
  ErrandSlab slab_;
  std::unordered_map<u32, Handle> asks_;
  std::set<std::string> pool_names_, evac_;
  Holder held_;  // rollouts whose change is held here
  u64 life_;
  Leaver leaver_;
  TrueClock clock_;
  Counter counter_;
  struct Uncounted {
    Handle h;
    u32 tries = 0;
    Secs at = 0;
  };
  std::deque<Uncounted> uncounted_;  // tries that may yet be turned away, oldest first
  Borrower borrower_;
  struct Parked {
    Handle h;
    u64 ask = 0;  // whose answer it waits for
  };
  std::vector<Parked> parked_;
  Observer atlas_;
  u64 to_fix_ = 0;
  std::map<std::string, u64> given_up_;  // by reason, since it was last logged
  Secs said_at_ = 0, bad_at_ = 0;
  u32 next_tag_ = 0;
  bool have_state_ = false, draining_ = false, tally_all_ = false;
  Ballot bal_;
  Secs drain_at_ = 0, closed_at_ = 0, cpu_at_ = 0, tallied_ = 0;
  double cpu_ = 0, load_ = 0;
  double far_out_ = 0, far_in_ = 0;  // over the borders of our region, since it was last logged
  u64 far_n_ = 0;
  Secs far_at_ = 0;
  double bytes_in_ = 0, bytes_out_ = 0;  // about what went over the link since load was told
  log4cplus::Logger lg_ = log4cplus::Logger::getInstance("circulation");
};

Proxy* Proxy::self_ = nullptr;

}  // namespace

int main(int argc, char** argv) { return run_daemon<Proxy>({"circulation", "dockbend's proxy", false, {"front", "ready"}}, argc, argv); }
