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

#include "configuration/configuration.hpp"
#include "consensus/replicated_state.hpp"
#include "drain/proxy_drain_state.hpp"
#include "idempotency/proxy_messages.hpp"
#include "load_balancing/load_balancer.hpp"
#include "logging/log.hpp"
#include "planning/traffic_observer.hpp"
#include "process/program.hpp"
#include "quota/quota.hpp"
#include "request/admission.hpp"
#include "request/request_machine.hpp"
#include "request/request_table.hpp"
#include "rollout/rollout.hpp"
#include "server_registry/server_registry.hpp"
#include "upstream/body_read_tracker.hpp"
#include "upstream/connection_pool.hpp"
#include "usage/usage_totals.hpp"

using namespace dockbend;
using schema::RouteKind;

namespace {

struct ProxiedRequest;
using Requests = RequestTable<ProxiedRequest>;
using Handle = Requests::Handle;

// The sockets and timers of one request; its course is the core's. Invariants: req is
// answered exactly once, then the slot is dropped; chan is set exactly while the core is
// in an attempt.
struct ProxiedRequest : AdmittedRequest {
  Handle h;
  evhttp_request* req = nullptr;
  evhttp_cmd_type cmd = EVHTTP_REQ_GET;
  std::string uri;
  std::vector<LocationIndex> regions;  // its homes
  std::vector<ServerIndex> attempted;
  ServiceIndex pool;
  Seconds start = 0;
  RequestMachine core;
  UpstreamConnection* chan = nullptr;
  ServerIndex server;
  u64 holder = 0;
  u32 tag = 0;  // of the ask for its claim
  bool parked = false;
  QuotaClient::Token token;
  u32 counted = 0;  // tries that the tally has
  event* timer = nullptr;
  std::size_t body = 0;
  RetryState const& course() const { return core.course(); }
  Seconds deadline() const { return course().deadline(); }
  ~ProxiedRequest() {
    if (timer != nullptr) event_free(timer);
  }
};

Headers heads_of(evkeyvalq* q) {
  Headers h;
  for (evkeyval* kv = q->tqh_first; kv != nullptr; kv = kv->next.tqe_next)
    h.emplace_back(kv->key, kv->value);
  return h;
}

class Proxy {
 public:
  Proxy(event_base* loop, Settings const& st)
      : loop_(loop),
        st_(st),
        as_(st_),
        shelf_(loop, as_),
        page_(loop, Address{"127.0.0.1", st.agent()}, 0.4, 2.0),
        incarnation_(random64() | 1),
        drain_state_(incarnation_),
        counter_(incarnation_),
        borrower_(incarnation_, "") {
    self_ = this;
    shelf_.on_return.connect([this](UpstreamConnection& c, evhttp_request* r) { returned(c, r); });
    front_ = evhttp_new(loop_);
    evhttp_set_allowed_methods(front_, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                                           EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
    evhttp_set_gencb(
        front_, [](evhttp_request* r, void* p) { static_cast<Proxy*>(p)->arrive(r); }, this);
    readings_.watch(front_);
    set_limits();
    Address const f = at("front");
    sock_ = evhttp_bind_socket_with_handle(front_, f.ip.c_str(), static_cast<ev_uint16_t>(f.port));
    if (sock_ == nullptr) throw std::runtime_error("can't listen at " + f.str());
    ready_ = evhttp_new(loop_);
    evhttp_set_gencb(
        ready_, [](evhttp_request* r, void* p) { static_cast<Proxy*>(p)->readiness(r); }, this);
    Address const rd = at("ready");
    if (evhttp_bind_socket_with_handle(ready_, rd.ip.c_str(), static_cast<ev_uint16_t>(rd.port)) == nullptr)
      throw std::runtime_error("can't listen at " + rd.str());
    page_.on_message.connect([this](PeerLink&, Message const& l) { handle_message(l); });
    page_.on_down.connect([this](PeerLink&) { page_down(); });
    page_.on_up.connect([this](PeerLink&) {
      tell_load();
      tally_all_ = true;
    });
    borrower_.front(at("front").str());
    tick_ = std::make_unique<PeriodicTimer>(loop_, 0.1, [this] { tick(); });
    load_tick_ = std::make_unique<PeriodicTimer>(loop_, 0.5, [this] { tell_load(); });
  }
  ~Proxy() {
    evhttp_free(front_);
    evhttp_free(ready_);
  }

  void term() {
    if (draining_) return;
    draining_ = true;
    drain_at_ = steady_now();
    tell_load();
    LOG4CPLUS_INFO(logger_, "Draining. " << requests_.size() << " errands at work.");
  }

  void settings(Settings const& s) { st_.bounds = s.bounds; }

  // Called by libevent.
  static void timer_cb(evutil_socket_t, short, void* p) {
    ProxiedRequest* const e = static_cast<ProxiedRequest*>(p);
    static_cast<Proxy*>(self_)->timer(e);
  }
  static Proxy* self_;

 private:
  Address at(char const* what) const {
    auto const it = st_.bind.find(what);
    if (it == st_.bind.end()) throw SettingsError(std::string("bind.") + what, "missing");
    return it->second;
  }

  void set_limits() {
    LimitsConfig const& l = man_.limits();
    evhttp_set_max_headers_size(front_, static_cast<ev_ssize_t>(l.header_bytes * 2 + 131072));
    evhttp_set_max_body_size(front_, static_cast<ev_ssize_t>(l.body_bytes));
    evhttp_set_timeout(front_, std::max(1, static_cast<int>(l.idle + 0.999)));
  }

  // ---- the link to the agent -------------------------------------------------
  void handle_message(Message const& l) {
    switch (l.kind) {
      case MessageType::state_update: news(l.as<StateUpdate>()); break;
      case MessageType::acquire_key_response: asked(l.tag, l.as<AcquireKeyResponse>()); break;
      case MessageType::stage_request: hold(l.as<StageRequest>()); break;
      case MessageType::clock_reading: clock_.peer_reading("page", steady_now(), l.as<ClockReading>().wall); break;
      case MessageType::quota_lease_response: loaned(l.as<QuotaLeaseResponse>()); break;
      case MessageType::survey_request: surveyed(l.tag, l.as<SurveyRequest>()); break;
      case MessageType::drain_instruction: told_to_drain(l.as<DrainInstruction>()); break;
      default: ++rejected_input().letters; break;
    }
  }

  void news(StateUpdate const& n) {
    Seconds const now = steady_now();
    if (!n.state.empty()) {
      tell_held_back();
      ReplicatedState const s = read_state(n.state);
      // A node never steps back in one life.
      if (!have_state_ || s.ballot > bal_) {
        have_state_ = true;
        bal_ = s.ballot;
        for (ConfigItem const& i : s.items)
          man_.put(i);
        to_fix_ = s.to_fix;
        evacuations(s.evacuations, now);
        manifest_changed(now);
      }
    } else if (!n.delta.empty()) {
      StateDelta const d = read_delta(n.delta);
      if (have_state_ && d.ballot > bal_) {
        bal_ = d.ballot;
        for (ConfigItem const& i : d.items)
          man_.put(i);
        to_fix_ = d.to_fix;
        if (d.evacuations_set) evacuations(d.evacuations, now);
        if (!d.items.empty()) manifest_changed(now);
      }
    }
    counter_.forget(UsageWindow(to_fix_));
    if (n.rows_full || !n.rows.empty()) {
      std::vector<LoadBalancer::Seen> v;
      for (ServerRecord const& r : n.rows) {
        LoadBalancer::Seen s;
        s.id = r.id;
        s.service = r.service;
        s.address = r.address;
        s.zone = r.zone;
        s.capacity = r.capacity;
        s.ready = r.state == ServerState::ready;
        s.cold_left = r.cold_left;
        v.push_back(std::move(s));
      }
      if (n.rows_full)
        as_.table(v, now);
      else
        as_.change(v, now);
      shelf_.trim(as_.gone_idle());
    }
    if (!n.sites.empty()) {
      std::map<std::string, u32> m;
      for (ZoneProxyCount const& z : n.sites)
        m[z.zone] = z.n;
      as_.sites(m);
      budgets(now);
    }
    as_.evacuated(evac_, now);
  }

  void evacuations(std::vector<Evacuation> const& l, Seconds now) {
    evac_.clear();
    for (Evacuation const& e : l)
      if (e.on) evac_.insert(e.zone);
    as_.evacuated(evac_, now);
  }

  void manifest_changed(Seconds now) {
    set_limits();
    rules();
    budgets(now);
  }

  // Wanted: a purse for every partner with an allowance. The loop works out the rest.
  void budgets(Seconds now) {
    std::set<std::string> want;
    for (TenantPtr const& t : man_.tenants()) {
      if (!t->allowance) continue;
      want.insert(t->name);
      borrower_.rule(t->name, QuotaRule{t->allowance->rate, t->allowance->burst, t->allowance->reserve.value_or(0)},
                     as_.sites_of_all(), now);
    }
    for (std::string const& t : borrower_.tenants())
      if (want.count(t) == 0) borrower_.drop(t);
  }

  // Holds a change that is being rolled out: it must compile here whole. What is
  // held changes nothing of how errands are handled; in force is only what the
  // register has committed.
  void hold(StageRequest const& h) {
    if (h.drop) return held_.drop(h.id);
    std::size_t n = 0;
    for (ConfigItem const& i : h.items)
      n += !i.gone && i.key[0] != 'l' ? 1 : 0;
    StageResponse r;
    r.id = h.id;
    r.holds = held_.holds(h.id) || CompiledConfiguration::from(h.items).size() == n;
    r.front = at("front").str();
    if (r.holds) held_.hold(h.id, steady_now() + h.for_ms / 1000.0);
    page_.send(MessageType::stage_response, 0, r);
  }

  void rules() {
    for (std::string const& n : pool_names_) {
      ServiceConfig const* d = man_.pool(n);
      if (d != nullptr)
        as_.rule(as_.pool(n), ServiceLimits{static_cast<double>(d->conn_limit), d->cold_rate, d->cold_s});
    }
  }
  ServiceIndex pool_ix(std::string const& n) {
    if (pool_names_.insert(n).second) {
      ServiceIndex const p = as_.pool(n);
      ServiceConfig const* d = man_.pool(n);
      if (d != nullptr) as_.rule(p, ServiceLimits{static_cast<double>(d->conn_limit), d->cold_rate, d->cold_s});
    }
    return as_.pool(n);
  }

  // Whether a claim was granted meanwhile can't be known: it is given back once there is
  // an agent again.
  void page_down() {
    requests_.agent_gone([this](ProxiedRequest& e) { carry(e, e.core.claim_unknown(0.3)); });
  }

  // ---- what becomes of a claim on a key ----------------------------------------
  void tell_claim(ProxiedRequest const& e, KeyOutcome o, std::string ret = "") {
    KeyOutcomeNotice t;
    t.key = e.key;
    t.holder = e.holder;
    t.homes = e.homes;
    t.outcome = o;
    t.ret = std::move(ret);
    if (page_.up()) return page_.send(MessageType::key_outcome, 0, t);
    // Kept for the next agent: a claim that nobody gives back bars its key for long.
    held_back_.push_back(codec::pack(t));
    held_back_bytes_ += held_back_.back().size();
    while (held_back_bytes_ > held_back_most) {
      held_back_bytes_ -= held_back_.front().size();
      held_back_.pop_front();
    }
  }
  // An agent that has just said what stands knows whom to tell.
  void tell_held_back() {
    if (!page_.up()) return;
    for (std::string const& b : held_back_)
      page_.ch()->send(MessageType::key_outcome, 0, std::string_view(b));
    held_back_.clear();
    held_back_bytes_ = 0;
  }

  void tell_load() {
    ProxyLoadReport l;
    l.ready = is_ready();
    l.draining = draining_;
    l.front = at("front").str();
    rusage ru{};
    getrusage(RUSAGE_SELF, &ru);
    double const cpu = static_cast<double>(ru.ru_utime.tv_sec + ru.ru_stime.tv_sec) +
                       static_cast<double>(ru.ru_utime.tv_usec + ru.ru_stime.tv_usec) * 1e-6;
    Seconds const now = steady_now();
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
    if (drain_state_.is_concerned()) {
      requests_.each([&](ProxiedRequest const& e) {
        keyed += e.route->kind == RouteKind::keyed ? 1 : 0;
        uploads += e.upload ? 1 : 0;
      });
      // Silent for longer than a client may be idle: its connection ended.
      uploads += readings_.open(static_cast<u64>(10 * man_.limits().idle) + 10);
    }
    l.drain = drain_state_.status(keyed, uploads, now);
    page_.send(MessageType::proxy_load, 0, l);
  }

  bool is_ready() const { return have_state_ && man_.routes() > 0 && as_.live() > 0 && !draining_; }

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
  void told_to_drain(DrainInstruction const& d) {
    if (drain_state_.on_instruction(d, steady_now()))
      LOG4CPLUS_INFO(logger_, (drains() ? "Drains for maintenance. " : "Drains no more. ")
                                  << requests_.size() << " errands at work.");
    tell_load();
  }
  bool drains() const { return drain_state_.is_draining(); }
  bool closing() const { return draining_ || drains(); }
  // A SIGTERM counts from its arrival: the loop may handle its event later than a timer.
  bool terminating() const { return draining_ || term_arrived(); }

  // ---- clients ---------------------------------------------------------------
  // One place writes the proxy's own answers.
  void write(evhttp_request* r, LocalReply const& v, std::string const& attempt) {
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

  static LocalReply own(int code, bool close = false, Seconds retry = -1) { return verdict_of(code, retry, close); }

  void arrive(evhttp_request* r) {
    Seconds const now = steady_now();
    Headers const heads = heads_of(evhttp_request_get_input_headers(r));
    std::string const uri = evhttp_request_get_uri(r);
    evhttp_cmd_type const cmd = evhttp_request_get_command(r);
    std::size_t const body = evbuffer_get_length(evhttp_request_get_input_buffer(r));
    bool const chunks = cmd == EVHTTP_REQ_POST || cmd == EVHTTP_REQ_PUT || cmd == EVHTTP_REQ_PATCH;
    readings_.whole(r);
    bytes_in_ += static_cast<double>(body + size_of(heads)) + 150;
    AdmissionResult a = admit(IncomingRequest{heads, uri, body, chunks}, have_state_ ? &man_ : nullptr, man_.limits(),
                              drains(), random01());
    if (a.why != nullptr) ++given_up_[a.why];
    if (!a.ok) {
      if (a.no.code == 400) ++rejected_input().calls;
      return write(r, a.no, a.id);
    }

    auto up = std::make_unique<ProxiedRequest>();
    ProxiedRequest& e = *up;
    static_cast<AdmittedRequest&>(e) = std::move(*a.ok);
    e.req = r;
    e.cmd = cmd;
    e.uri = uri;
    e.start = now;
    e.body = body;
    e.pool = pool_ix(*e.service);
    e.core = RequestMachine(a.id, e.route->kind == RouteKind::keyed,
                            RetryState(e.repeatable, e.route->max_attempts, now + e.left));
    for (std::string const& h : e.homes)
      e.regions.push_back(as_.region(h));
    e.timer = event_new(loop_, -1, 0, timer_cb, &e);
    requests_.open(std::move(up));
    as_.budget(e.pool).errand(now);
    traffic_.on_request(e.route->name, as_.pool_name(e.pool), e.homes, e.upload, now);
    admit_partner(e, now);
  }

  // ---- a partner's budget: it comes first, then rank and worth ------------------
  void admit_partner(ProxiedRequest& e, Seconds now) {
    if (!e.tenant || !borrower_.has(e.tenant->name)) return carry(e, e.core.admitted());
    std::string const& t = e.tenant->name;
    bool const high = is_high(e);
    e.token = borrower_.take(t, high, now);
    if (e.token) return carry(e, e.core.admitted());
    // The lender may have some. It is asked at once and waited for as long as that is
    // of use; nothing is held back after its answer.
    if (!e.parked && page_.up()) {
      e.parked = true;
      parked_.push_back({e.h, borrower_.waits(t, now)});
      lend(now);
      return set_timer(e, std::min(e.deadline(), now + std::max(0.02, 0.2 * e.route->latency_target)));
    }
    overdrawn(e);
  }

  // Every rank but the lowest that lanes have may use the reserve.
  bool is_high(ProxiedRequest const& e) const { return e.route->rank < man_.lowest_rank(); }

  void overdrawn(ProxiedRequest& e) {
    borrower_.refused(e.tenant->name);
    carry(e, e.core.overdrawn(borrower_.wait_of(e.tenant->name)));
  }

  void lend(Seconds now) {
    if (!page_.up() || !borrower_.due(now)) return;
    QuotaLeaseRequest const a = borrower_.ask(now);
    if (a.wants.empty()) return borrower_.lost();
    page_.send(MessageType::quota_lease_request, 0, a);
  }

  void loaned(QuotaLeaseResponse const& r) {
    Seconds const now = steady_now();
    borrower_.got(r, now);
    std::vector<Parked> l;
    l.swap(parked_);
    for (Parked const& p : l) {
      ProxiedRequest* const e = requests_.find(p.h);
      if (e == nullptr || !e->parked || e->token) continue;
      if (p.ask > r.seq)
        parked_.push_back(p);
      else
        admit_partner(*e, now);
    }
    lend(now);
  }

  void refund(ProxiedRequest& e) {
    if (!e.token || !e.tenant) return;
    borrower_.give_back(e.tenant->name, e.token, steady_now());
    e.token = {};
  }

  void set_timer(ProxiedRequest& e, Seconds at) {
    Seconds const t = std::max(0.0005, at - steady_now());
    timeval tv{static_cast<time_t>(t),
               static_cast<suseconds_t>((t - static_cast<double>(static_cast<time_t>(t))) * 1e6)};
    event_add(e.timer, &tv);
  }

  void end(ProxiedRequest& e) {
    if (e.route->kind == RouteKind::keyed) drain_state_.on_keyed_answer(steady_now());
    event_del(e.timer);
    requests_.close(e);
  }

  // Does what the core wants next. An answer that goes on is written by whoever holds it.
  void carry(ProxiedRequest& e, RequestAction const& s) {
    if (s.refund) refund(e);
    if (s.claim == ClaimDisposition::not_run) tell_claim(e, KeyOutcome::not_run);
    if (s.claim == ClaimDisposition::lost) tell_claim(e, KeyOutcome::lost);
    if (s.why != nullptr) ++given_up_[s.why];
    switch (s.what) {
      case RequestAction::Do::claim: return ask(e);
      case RequestAction::Do::choose: return attempt(e);
      case RequestAction::Do::say: write(e.req, s.verdict, e.core.id()); return end(e);
      case RequestAction::Do::wait:
      case RequestAction::Do::pass:
      case RequestAction::Do::repeat: break;
    }
  }

  static Seconds wait_of(ProxiedRequest const& e) { return 0.05 + 0.25 * e.route->latency_target * (0.5 + random01()); }
  // Nobody can take it: if it has not run, the client is told when to come back.
  void give_up(ProxiedRequest& e, char const* why) { carry(e, e.core.none(steady_now(), wait_of(e), why)); }

  // ---- keys ------------------------------------------------------------------
  void ask(ProxiedRequest& e) {
    if (!page_.up()) return carry(e, e.core.claim_refused(own(503, false, 0.3)));
    e.holder = random64() | 1;
    u32 const tag = requests_.ask(e);
    AcquireKeyRequest a;
    a.key = e.key;
    a.holder = e.holder;
    a.work_ms = static_cast<u32>(std::max(0.0, e.deadline() - steady_now()) * 1000);
    a.homes = e.homes;
    page_.send(MessageType::acquire_key_request, tag, a);
    set_timer(e, e.deadline());
  }

  void asked(u32 tag, AcquireKeyResponse const& a) {
    ProxiedRequest* const e = requests_.asked(tag, [&](ProxiedRequest const& x) { return a.holder == x.holder; });
    if (e == nullptr) return;
    // An answer that can't be read is told to its client before it ends the agent's channel.
    std::optional<StoredAnswer> first;
    if (a.leave == AcquireResult::repeat) {
      try {
        first = codec::unpack<StoredAnswer>(a.ret);
      } catch (codec::MalformedMessage const&) {
        carry(*e, e->core.claim_refused(own(502)));
        throw;
      }
      if (first->code < 200 || first->code > 599) return carry(*e, e->core.claim_refused(own(502)));
    }
    switch (a.leave) {
      case AcquireResult::run: carry(*e, e->core.claim_granted()); break;
      case AcquireResult::repeat: {
        StoredAnswer const& r = *first;
        if (r.key != e->key) {
          requests_.fence().drop(ResponseRejection::other_key);
          return carry(*e, e->core.claim_refused(own(502)));
        }
        carry(*e, e->core.claim_repeated());
        evkeyvalq* out = evhttp_request_get_output_headers(e->req);
        for (std::string const& h : r.heads) {
          auto const c = h.find(':');
          if (c == std::string::npos) continue;
          std::string const k = h.substr(0, c);
          if (same_name(k, "X-Attempt-Id")) continue;
          evhttp_add_header(out, k.c_str(), h.substr(c + 1).c_str());
        }
        evhttp_add_header(out, "X-Attempt-Id", e->core.id().c_str());
        if (closing()) evhttp_add_header(out, "Connection", "close");
        evbuffer* b = evbuffer_new();
        evbuffer_add(b, r.body.data(), r.body.size());
        evhttp_send_reply(e->req, static_cast<int>(r.code), r.reason.c_str(), b);
        evbuffer_free(b);
        end(*e);
        break;
      }
      case AcquireResult::at_work:
        carry(*e, e->core.claim_refused(own(409, false, 0.1 + 0.3 * e->route->latency_target)));
        break;
      case AcquireResult::lost: carry(*e, e->core.claim_refused(own(502))); break;
      case AcquireResult::unavailable:
        carry(*e, e->core.claim_refused(own(503, false, 0.2 + 0.2 * random01()), "key not granted"));
        break;
      default: carry(*e, e->core.claim_refused(own(502))); break;  // a word that we don't know promises nothing
    }
  }

  // ---- servers ---------------------------------------------------------------
  EndpointQuery wish_of(ProxiedRequest const& e) const {
    EndpointQuery w;
    w.pool = e.pool;
    w.homes = &e.regions;
    w.attempted = &e.attempted;
    w.bulky = e.upload;
    w.latency_target = e.route->latency_target;
    return w;
  }

  void attempt(ProxiedRequest& e) {
    Seconds const now = steady_now();
    if (e.deadline() - now < 0.002) return give_up(e, "no time left");
    LoadBalancer::Choice const c = as_.choose(wish_of(e), now);
    if (!c.ix) return give_up(e, c.no == LoadBalancer::No::none ? "nobody may take it" : "all full");
    if (e.course().attempts() == 0 && should_shed(e.rank, c.est, e.route->latency_target))
      return give_up(e, "made way");
    send(e, *c.ix, now);
  }

  void send(ProxiedRequest& e, ServerIndex s, Seconds now) {
    Endpoint& t = as_.at(s);
    bool const rep = e.course().repeatable();
    UpstreamConnection& c = shelf_.take(s, as_.idle_safe(s, rep, now), now, e.h.ptr());
    as_.took(s, now);
    e.chan = &c;
    e.server = s;
    e.core.began(now, std::max(4 * as_.lat_of(e.pool), e.route->latency_target * 0.85), connect_limit(e));
    e.attempted.push_back(s);
    traffic_.on_attempt(e.route->name, as_.zone_name(t.zone), now);

    evhttp_request* u = shelf_.request(c);
    evkeyvalq* out = evhttp_request_get_output_headers(u);
    evkeyvalq* in = evhttp_request_get_input_headers(e.req);
    for (evkeyval* kv = in->tqh_first; kv != nullptr; kv = kv->next.tqe_next) {
      if (hop_only(kv->key) || same_name(kv->key, "X-Time-Left") || same_name(kv->key, "X-Target-Server") ||
          same_name(kv->key, "X-Tenant"))
        continue;
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
    if (e.body > 0)
      evbuffer_add_buffer_reference(evhttp_request_get_output_buffer(u), evhttp_request_get_input_buffer(e.req));
    // A machine that does not even acknowledge our bytes is not there. What may be
    // tried again need not wait long to learn it; what may not gets the longer time,
    // for giving up on it helps nobody.
    bool const far = !(t.region == as_.region(st_.region));
    Handle const h = e.h;
    if (!shelf_.send(c, u, e.cmd, e.uri.c_str(), rep ? (far ? 600 : 250) : 2000))
      return ended(e, AttemptResult::unsent);
    if (requests_.find(h) == nullptr || e.chan != &c) return;  // it ended within the call
    bytes_out_ += static_cast<double>(e.body) + 600;
    if (far) far_out_ += static_cast<double>(e.body) + 600;
    if (far) ++far_n_;
    if (e.tenant) uncounted_.push_back({e.h, e.course().attempts(), now});
    set_timer(e, e.course().next(now, true, false));
  }

  Seconds connect_limit(ProxiedRequest const& e) {
    return as_.at(e.server).region == as_.region(st_.region) ? 0.25
                                                             : std::max(0.25, std::min(0.5, e.route->latency_target));
  }

  void returned(UpstreamConnection& c, evhttp_request* r) {
    ProxiedRequest* const e = requests_.on(Handle::of(c.owner), &c);
    if (e == nullptr) return shelf_.doom(c);
    Seconds const now = steady_now();
    if (r == nullptr || evhttp_request_get_response_code(r) == 0) {
      // An idle channel that the server had closed or forgotten: no byte came back.
      if (c.idle_was > 0 && now - e->course().attempt_started_at() < 0.3) as_.idle_lost(c.server, c.idle_was, now);
      return ended(*e, c.sent ? AttemptResult::broken : AttemptResult::unsent);
    }
    UpstreamResponse rep;
    rep.code = evhttp_request_get_response_code(r);
    rep.heads = heads_of(evhttp_request_get_input_headers(r));
    evbuffer* body = evhttp_request_get_input_buffer(r);
    rep.body = evbuffer_get_length(body);
    rep.head = e->cmd == EVHTTP_REQ_HEAD;
    bytes_in_ += static_cast<double>(rep.body) + 400;
    bytes_out_ += static_cast<double>(rep.body) + 400;
    if (!(as_.at(c.server).region == as_.region(st_.region))) far_in_ += static_cast<double>(rep.body) + 400;
    ResponseCheck const jd = e->core.judge(rep);
    AttemptResult const en = jd.end;
    if (jd.why) requests_.fence().drop(*jd.why);
    bufferevent* bev = evhttp_connection_get_bufferevent(c.ec);
    bool const surplus = evbuffer_get_length(bufferevent_get_input(bev)) > 0;
    if (surplus) requests_.fence().drop(ResponseRejection::surplus);
    std::string const* cn = find_head(rep.heads, "Connection");
    bool const closing = cn != nullptr && same_name(*cn, "close");
    if (std::string const* cl = find_head(rep.heads, "X-Cold-Remaining"); cl != nullptr) {
      double const left = std::strtod(cl->c_str(), nullptr);
      if (left > 0 && left < 1e9) as_.cold(c.server, left, now);
    }
    if (en == AttemptResult::broken || surplus || closing || draining_) {
      if (en == AttemptResult::whole || en == AttemptResult::not_run || en == AttemptResult::misdirected) {
        e->chan = nullptr;
        shelf_.doom(c);
      }
    } else {
      Seconds limit = 4;
      if (std::string const* ka = find_head(rep.heads, "Keep-Alive"); ka != nullptr) {
        auto const p = ka->find("timeout=");
        if (p != std::string::npos) limit = std::clamp(std::strtod(ka->c_str() + p + 8, nullptr) - 1.5, 0.0, 3600.0);
      }
      e->chan = nullptr;
      shelf_.keep(c, limit, now);
    }
    if (en != AttemptResult::whole) return ended(*e, en);
    as_.gave(e->server, now - e->course().attempt_started_at(), true, now);
    if (rep.code >= 500) as_.failed(e->server, now);
    count(*e);
    RequestAction const s = e->core.ended(en, now, 0, [] { return false; });
    carry(*e, s);
    pass(*e, r, rep, body, s.claim == ClaimDisposition::returned);
  }

  // A whole answer goes on unchanged.
  void pass(ProxiedRequest& e, evhttp_request* r, UpstreamResponse const& rep, evbuffer* body, bool keep) {
    if (keep) {
      StoredAnswer ret;
      ret.key = e.key;
      ret.holder = e.holder;
      ret.homes = e.homes;
      ret.code = static_cast<u32>(rep.code);
      char const* rl = evhttp_request_get_response_code_line(r);
      ret.reason = rl != nullptr ? rl : "OK";
      for (auto const& [k, v] : rep.heads)
        if (!hop_only(k) && !same_name(k, "Date")) ret.heads.push_back(k + ":" + v);
      ret.body.resize(rep.body);
      evbuffer_copyout(body, ret.body.data(), rep.body);
      tell_claim(e, KeyOutcome::returned, codec::pack(ret));
    }
    evkeyvalq* out = evhttp_request_get_output_headers(e.req);
    for (auto const& [k, v] : rep.heads)
      if (!hop_only(k) || (rep.head && same_name(k, "Content-Length"))) evhttp_add_header(out, k.c_str(), v.c_str());
    if (closing()) evhttp_add_header(out, "Connection", "close");
    char const* line = evhttp_request_get_response_code_line(r);
    evhttp_send_reply(e.req, rep.code, line != nullptr && *line != '\0' ? line : reason_of(rep.code), body);
    end(e);
  }

  void let_go(ProxiedRequest& e) {
    if (e.chan == nullptr) return;
    UpstreamConnection& c = *e.chan;
    e.chan = nullptr;
    c.busy = false;
    shelf_.doom(c);
  }

  // A try ended without an answer to pass on.
  void ended(ProxiedRequest& e, AttemptResult en) {
    Seconds const now = steady_now();
    ServerIndex const s = e.server;
    bool const kept = e.chan != nullptr && e.chan->idle_was >= 0;
    let_go(e);
    as_.dropped(s);
    if (!surely_not_run(en)) count(e);
    switch (en) {
      // A server that closes a kept channel does well; only one that lets nobody in is shunned.
      case AttemptResult::unsent:
        if (!kept) as_.shun(s, 0.4, now);
        break;
      case AttemptResult::misdirected: as_.misdirected(s); break;
      case AttemptResult::not_run: as_.full(s, now); break;
      case AttemptResult::broken: as_.shun(s, now - e.course().attempt_started_at() > 0.2 ? 0.4 : 0.1, now); break;
      case AttemptResult::silent: as_.shun(s, 0.1, now); break;
      case AttemptResult::whole: break;
    }
    carry(e, e.core.ended(en, now, wait_of(e), [&] { return as_.budget(e.pool).take(now, as_.part()); }));
  }

  void timer(ProxiedRequest* ep) {
    ProxiedRequest& e = *ep;
    Seconds const now = steady_now();
    if (e.parked && !e.token) {  // the lender kept us waiting
      return overdrawn(e);
    }
    bool const sent = e.chan != nullptr && e.chan->sent;
    switch (e.course().due(now, e.chan != nullptr, sent, terminating())) {
      case RetryState::Due::expired: return expired(e, now);
      case RetryState::Due::unsent: return ended(e, AttemptResult::unsent);
      case RetryState::Due::late:
        if (e.deadline() - now > 0.3 * as_.lat_of(e.pool) && replaced(e, now)) return;
        break;
      case RetryState::Due::wait: break;
    }
    set_timer(e, e.course().next(now, e.chan != nullptr, sent));
  }

  // Breaks off an attempt at a server that is at work, once all that its retry needs is had.
  // Nothing else runs between the choice of the server and the send to it.
  bool replaced(ProxiedRequest& e, Seconds now) {
    LoadBalancer::Choice c;
    auto const reserve = [&] {
      c = as_.choose(wish_of(e), now);
      return static_cast<bool>(c.ix);
    };
    if (!e.core.replace_attempt(now, terminating(), reserve, [&] { return as_.budget(e.pool).take(now, as_.part()); }))
      return false;
    ServerIndex const s = e.server;
    let_go(e);
    as_.dropped(s);
    count(e);
    as_.shun(s, 0.1, now);
    send(e, *c.ix, now);
    return true;
  }

  void expired(ProxiedRequest& e, Seconds now) {
    bool const sent = e.chan != nullptr && e.chan->sent;
    if (sent) count(e);
    if (e.chan != nullptr) {
      let_go(e);
      as_.dropped(e.server);
      as_.shun(e.server, 0.1, now);
    }
    carry(e, e.core.expired(sent));
  }

  // ---- what servers began, by partner and window -----------------------------------
  // A try counts once it is clear that its server did not turn it away: at its answer,
  // or after a moment's silence. It counts in the window in which it was sent.
  void count(ProxiedRequest& e) {
    if (!e.tenant || e.counted >= e.course().attempts()) return;
    e.counted = e.course().attempts();
    WallSeconds const w = clock_.known() ? clock_.at(e.course().attempt_started_at())
                                         : wall_clock_now() - (steady_now() - e.course().attempt_started_at());
    counter_.began(e.tenant->name, window_of(w, st_.bounds.reportPeriodS));
  }

  void count_silent(Seconds now) {
    while (!uncounted_.empty() && now - uncounted_.front().at > 0.3) {
      Uncounted const u = uncounted_.front();
      uncounted_.pop_front();
      ProxiedRequest* const e = requests_.find(u.h);
      if (e != nullptr && e->course().attempts() == u.attempts && e->chan != nullptr && e->chan->sent) count(*e);
    }
  }

  void tell_tally(Seconds now) {
    if (now - tallied_ < 0.25 || !page_.up()) return;
    tallied_ = now;
    UsageUpdate const n = counter_.take(tally_all_);
    tally_all_ = false;
    if (!n.rows.empty()) page_.send(MessageType::usage_update, 0, n);
  }

  // What is open at these servers. A session is a request in work there: between two
  // requests a client's connection may go on to any server without loss.
  // No names: of all.
  std::vector<OpenWork> holdings(std::vector<std::string> const& ids, Seconds now) {
    std::map<std::string, OpenWork> m;
    for (std::string const& id : ids)
      m[id].id = id;
    requests_.each([&](ProxiedRequest const& e) {
      if (e.chan == nullptr) return;
      std::string const& id = as_.at(e.server).id;
      auto it = m.find(id);
      if (it == m.end() && ids.empty()) {
        it = m.try_emplace(id).first;
        it->second.id = id;
      }
      if (it == m.end()) return;
      OpenWork& h = it->second;
      ++h.sessions;
      h.keyed += e.route->kind == RouteKind::keyed ? 1 : 0;
      if (!e.upload) return;
      ++h.uploads;
      h.bytes += static_cast<double>(e.body);
      h.age = std::max(h.age, now - e.start);
    });
    std::vector<OpenWork> out;
    for (auto& [id, h] : m)
      if (h.sessions > 0) out.push_back(std::move(h));  // what is not named is not held
    return out;
  }

  // ---- what this proxy sees, for whoever plans -----------------------------------------
  void surveyed(u32 tag, SurveyRequest const& a) {
    Seconds const now = steady_now();
    TrafficSurvey s;
    s.id = a.id;
    s.front = at("front").str();
    s.zone = st_.zone;
    s.region = st_.region;
    s.node = st_.nodeName;
    s.held = holdings(a.servers, now);
    if (a.held) {
      page_.send(MessageType::survey_response, tag, s);
      return;
    }
    traffic_.fill(s, now);
    for (u8 i = 0; i < static_cast<u8>(ResponseRejection::count); ++i) {
      ResponseRejection const d = static_cast<ResponseRejection>(i);
      if (requests_.fence().dropped(d) > 0)
        s.dropped.push_back(DiscardCount{drop_name(d), requests_.fence().dropped(d)});
    }
    for (Endpoint const& t : as_.targets()) {
      if (!t.ready || t.lat <= 0) continue;
      ServerLatency x;
      x.id = t.id;
      x.lat = t.lat;
      x.dev = t.dev;
      x.told = true;
      s.speeds.push_back(std::move(x));
    }
    page_.send(MessageType::survey_response, tag, s);
  }

  void tick() {
    Seconds const now = steady_now();
    readings_.tick();
    page_.tick(now);
    held_.expire(now);
    clock_.own(now, wall_clock_now());
    count_silent(now);
    tell_tally(now);
    lend(now);
    shelf_.sweep(now);
    if (now - far_at_ > 10) {
      far_at_ = now;
      if (far_n_ > 0)
        LOG4CPLUS_INFO(logger_, "Sent to other regions: " << far_n_ << " errands, " << static_cast<u64>(far_out_)
                                                          << " bytes out, " << static_cast<u64>(far_in_) << " in.");
      far_out_ = far_in_ = 0;
      far_n_ = 0;
    }
    while (shelf_.late > 0 && shelf_.late--)
      requests_.fence().drop(ResponseRejection::late_answer);
    if (now - fenced_at_ > 10) {
      fenced_at_ = now;
      if (std::string const d = requests_.fence().since(); !d.empty())
        LOG4CPLUS_INFO(logger_, "Dropped as not the answer that was waited for: " << d << ".");
    }
    if (now - bad_at_ > 10) {
      bad_at_ = now;
      log_rejected_input();
    }
    if (now - said_at_ > 10 && !given_up_.empty()) {
      said_at_ = now;
      std::string line;
      for (auto const& [why, n] : given_up_)
        line += (line.empty() ? "" : ", ") + std::string(why) + " " + std::to_string(n);
      given_up_.clear();
      LOG4CPLUS_INFO(logger_, "Gave up: " << line << ".");
    }
    if (!draining_) return;
    Seconds const g = st_.bounds.gracePeriodS;
    Seconds const t = now - drain_at_;
    if (sock_ != nullptr && t > g * 0.45) {
      evhttp_del_accept_socket(front_, sock_);
      sock_ = nullptr;
      closed_at_ = now;
    }
    if ((sock_ == nullptr && requests_.size() == 0 && now - closed_at_ > 0.3) || t > g - 0.4) {
      tallied_ = 0;
      tell_tally(now);
      event_base_loopbreak(loop_);
    }
  }

  event_base* loop_;
  Settings st_;
  LoadBalancer as_;
  ConnectionPool shelf_;
  BodyReadTracker readings_;
  CompiledConfiguration man_;
  PeerLink page_;
  evhttp* front_ = nullptr;
  evhttp* ready_ = nullptr;
  evhttp_bound_socket* sock_ = nullptr;
  std::unique_ptr<PeriodicTimer> tick_, load_tick_;
  Requests requests_;
  std::set<std::string> pool_names_, evac_;
  StagedChanges held_;  // rollouts whose change is held here
  u64 incarnation_;
  ProxyDrainState drain_state_;
  MedianClock clock_;
  UsageCounter counter_;
  struct Uncounted {
    Handle h;
    u32 attempts = 0;
    Seconds at = 0;
  };
  std::deque<Uncounted> uncounted_;  // tries that may yet be turned away, oldest first
  QuotaClient borrower_;
  struct Parked {
    Handle h;
    u64 ask = 0;  // whose answer it waits for
  };
  std::vector<Parked> parked_;
  TrafficObserver traffic_;
  std::deque<std::string> held_back_;  // ends of claims, for an agent that is away
  std::size_t held_back_bytes_ = 0;
  static constexpr std::size_t held_back_most = 4 << 20;
  Seconds fenced_at_ = 0;
  u64 to_fix_ = 0;
  std::map<std::string, u64> given_up_;  // by reason, since it was last logged
  Seconds said_at_ = 0, bad_at_ = 0;
  bool have_state_ = false, draining_ = false, tally_all_ = false;
  Ballot bal_;
  Seconds drain_at_ = 0, closed_at_ = 0, cpu_at_ = 0, tallied_ = 0;
  double cpu_ = 0, load_ = 0;
  double far_out_ = 0, far_in_ = 0;  // over the borders of our region, since it was last logged
  u64 far_n_ = 0;
  Seconds far_at_ = 0;
  double bytes_in_ = 0, bytes_out_ = 0;  // about what went over the link since load was told
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("proxy");
};

Proxy* Proxy::self_ = nullptr;

}  // namespace

int main(int argc, char** argv) {
  return run_daemon<Proxy>({"dockbend-proxy", "dockbend's proxy", false, {"front", "ready"}}, argc, argv);
}
