// Plays requests in a small world of servers, connections, an agent and clients, with one message at a time spoiled.
// The world trusts nothing that the code under test says: it counts runs itself.
#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>

#include "request/request_machine.hpp"
#include "request/request_table.hpp"

using namespace dockbend;

namespace {

enum class Sort : u8 { idempotent, effectful, keyed };
enum class Spoil : u8 {
  none,
  lost,
  twice,
  late,
  cut_short,
  split,
  other_id,
  no_id,
  two_ids,
  no_seal,
  bare_503,
  bare_refusal,
  other_refusal,
  refused,
  misdirected,
  failed,
  reset,
  reset_behind,
  server_killed,
  server_frozen,
  agent_killed,
  proxy_frozen,
  drain,
  client_left,
  count
};

struct Case {
  Sort sort = Sort::effectful;
  std::size_t at = 0;  // which message
  Spoil spoil = Spoil::none;
  std::size_t when = 0;  // late: before which message of the second request
};

// What a faulty shell would do.
struct Shell {
  static constexpr bool cuts = true;   // a connection that is retired sends and receives nothing more
  static constexpr bool keeps = true;  // a late attempt that is hedged stays at work
};

template <class P = RequestRules, class S = Shell>
class World {
 public:
  struct Req;
  struct Conn {
    int server = 0;
    void* owner = nullptr;
    bool busy = false, dead = false, up = false, sent = false;
  };
  using Table = RequestTable<Req>;
  struct Req {
    typename Table::Handle handle;
    u32 key_request_tag = 0;
    Conn* connection = nullptr;
    std::vector<Conn*> hedged;
    bool has_attempt_on(Conn const* c) const {
      return c == connection || std::find(hedged.begin(), hedged.end(), c) != hedged.end();
    }
    BasicRequestMachine<P> machine;
    std::string id, key;
    u64 holder = 0;
    std::set<int> attempted;
  };

  std::string broken;  // the invariant that did not hold

  explicit World(Case const& c, unsigned seed = 0) : c_(c), rnd_(seed) {}

  // One request, a second that takes its slot and connection while late messages come, and for
  // a key its repeat; then everything that is still on its way.
  std::string play() {
    one("a1", c_.sort, "k1");
    one("a2", c_.sort, "k2");
    if (c_.sort == Sort::keyed) one("a3", c_.sort, "k1");
    settle();
    return check();
  }
  std::size_t hedges() const { return hedges_; }
  std::size_t disconnects() const { return disconnects_; }
  // Many at once, each message spoiled by chance.
  std::string storm(int n) {
    chance_ = 0.12;
    for (int i = 0; i < n; ++i) {
      Sort const s = static_cast<Sort>(rnd_() % 3);
      start("r" + std::to_string(i), s, "k" + std::to_string(i % 7));
      for (u32 k = rnd_() % 8; k > 0; --k)
        step();
    }
    settle();
    return check();
  }

 private:
  struct Msg {
    std::function<void(Spoil)> run;
    Conn* conn = nullptr;
    bool to_server = false, to_agent = false, claim = false;
  };

  void fail(std::string const& s) {
    if (broken.empty()) broken = s;
  }

  void post(Msg m) {
    std::size_t const n = posted_++;
    if (late_ && second_ && n >= second_at_ + c_.when) {
      bag_.push_back(std::move(*late_));
      late_.reset();
    }
    Spoil sp = n == c_.at ? c_.spoil : Spoil::none;
    if (chance_ > 0)
      sp = std::uniform_real_distribution<>(0, 1)(rnd_) < chance_
               ? static_cast<Spoil>(rnd_() % static_cast<u32>(Spoil::count))
               : Spoil::none;
    spoil(std::move(m), sp);
  }
  void spoil(Msg m, Spoil sp) {
    if (m.claim && sp != Spoil::none) claims_spoiled_ = true;
    switch (sp) {
      case Spoil::lost: return;
      case Spoil::twice:
        if (!m.to_server) bag_.push_back(m);  // bytes of a request come once or not at all
        break;
      case Spoil::late:
        if (late_)
          after_.push_back(std::move(m));
        else
          late_ = std::move(m);
        return;
      case Spoil::split:  // half of a message is none yet: the rest comes after another turn
        bag_.push_back(Msg{[this, m](Spoil) { bag_.push_back(m); }, nullptr});
        return;
      case Spoil::reset:
        if (m.conn != nullptr) bag_.push_back(Msg{[this, c = m.conn](Spoil) { reset(*c); }, nullptr});
        return;
      case Spoil::reset_behind:
        bag_.push_back(m);
        if (m.conn != nullptr) bag_.push_back(Msg{[this, c = m.conn](Spoil) { reset(*c); }, nullptr});
        return;
      case Spoil::server_killed:
        bag_.push_back(Msg{[this](Spoil) {
                             for (std::size_t i = 0; i < conns_.size(); ++i)
                               reset(*conns_[i]);
                           },
                           nullptr});
        return;
      case Spoil::server_frozen:
        if (m.conn != nullptr) frozen_ = m.conn->server;
        break;
      case Spoil::agent_killed: bag_.push_back(Msg{[this](Spoil) { agent_killed(); }, nullptr}); break;
      case Spoil::proxy_frozen:  // all timers that came due meanwhile run before what the sockets hold
        bag_.push_back(Msg{[this](Spoil) {
                             now_ += 0.6;
                             tick();
                           },
                           nullptr});
        break;
      case Spoil::drain: draining_ = true; break;
      case Spoil::client_left: bag_.push_back(Msg{[this](Spoil) { some_client_leaves(); }, nullptr}); break;
      default: break;
    }
    bag_.push_back(Msg{[m, sp](Spoil) { m.run(sp); }, m.conn, m.to_server, m.to_agent, m.claim});
  }
  bool step() {
    if (bag_.empty()) return false;
    Msg m = std::move(bag_.front());
    bag_.pop_front();
    now_ += 0.005;
    if (m.to_server && m.conn->server == frozen_)
      after_.push_back(std::move(m));
    else
      m.run(Spoil::none);
    return true;
  }

  // ---- what the proxy does with sockets and timers ----
  typename Table::Handle start(std::string const& id, Sort s, std::string const& key) {
    auto r = std::make_unique<Req>();
    r->id = id;
    r->key = s == Sort::keyed ? key : "";
    r->machine = BasicRequestMachine<P>(id, s == Sort::keyed, RetryState(s == Sort::idempotent, 3, now_ + 2));
    if (s != Sort::idempotent) once_.insert(id);
    Req& q = table_.open(std::move(r));
    typename Table::Handle const h = q.handle;
    carry(q, q.machine.on_quota_granted());
    return h;
  }
  void one(std::string const& id, Sort s, std::string const& key) {
    second_ = id != "a1";
    if (second_ && second_at_ == 0) second_at_ = posted_;
    typename Table::Handle const h = start(id, s, key);
    while (table_.find(h) != nullptr)
      if (!step()) tick();
  }
  void settle() {
    for (int i = 0; i < 3; ++i) {
      frozen_ = -1;
      if (late_) after_.push_back(std::move(*late_));
      late_.reset();
      for (Msg& m : after_)
        bag_.push_back(std::move(m));
      after_.clear();
      while (step() || table_.size() > 0)
        if (bag_.empty()) tick();
    }
  }
  void tick() {
    std::vector<typename Table::Handle> all;
    table_.for_each([&](Req const& q) { all.push_back(q.handle); });
    now_ += 0.05;
    for (auto const h : all)
      if (Req* const q = table_.find(h)) timer(*q);
  }
  void timer(Req& q) {
    bool const sent = q.connection != nullptr && q.connection->sent;
    switch (q.machine.retry_state().timer_meaning(now_, q.connection != nullptr, sent, draining_)) {
      case RetryState::TimerMeaning::expired: {
        retire_all(q);
        return carry(q, q.machine.on_deadline(sent));
      }
      case RetryState::TimerMeaning::unsent: return ended(q, AttemptResult::unsent);
      case RetryState::TimerMeaning::late: {
        int s = 3;
        auto const reserve = [&] { return (s = choose(q)) <= 2; };
        if (!q.machine.hedge_attempt(now_, draining_, reserve, [] { return true; })) return;
        ++hedges_;
        if (S::keeps)
          q.hedged.push_back(std::exchange(q.connection, nullptr));
        else
          retire_connection(q);
        return attempt_at(q, s);
      }
      case RetryState::TimerMeaning::wait: return;
    }
  }
  void some_client_leaves() {
    std::vector<typename Table::Handle> all;
    table_.for_each([&](Req const& q) { all.push_back(q.handle); });
    if (!all.empty()) client_left(*table_.find(all[rnd_() % all.size()]));
  }
  void client_left(Req& q) {
    bool const may_repeat = once_.count(q.id) == 0;
    bool const sent = q.connection != nullptr && q.connection->sent;
    left_.insert(q.id);
    ++disconnects_;
    RequestAction const s = q.machine.on_client_disconnected(sent);
    if (s.step == RequestAction::Step::wait) {
      if (may_repeat) fail(q.id + " goes on, though its client has left and it may be repeated");
      if (!sent && !q.machine.retry_state().may_have_run()) fail(q.id + " is kept for a client that has left");
      return;
    }
    if (!may_repeat && sent) fail(q.id + " is cut for its client has left, though it may not be repeated");
    retire_all(q);
    carry(q, s);
  }
  void carry(Req& q, RequestAction const& s) {
    if (s.claim == ClaimDisposition::not_run || s.claim == ClaimDisposition::lost) tell(q, s.claim);
    switch (s.step) {
      case RequestAction::Step::acquire_key: return ask(q);
      case RequestAction::Step::choose_server: return attempt(q);
      case RequestAction::Step::resume_hedged:
        if (q.hedged.empty()) return fail("a hedged attempt is waited for, and there is none");
        q.connection = q.hedged.back();
        q.hedged.pop_back();
        return;
      case RequestAction::Step::send_local_reply:
        if (q.connection != nullptr || !q.hedged.empty()) fail("an answer of ours while an attempt is at work");
        answer(q.id, s.reply.status, "");
        return table_.close(q);
      default: return;
    }
  }
  void ask(Req& q) {
    q.holder = ++holders_;
    u32 const tag = table_.open_key_request(q);
    post(Msg{[this, tag, key = q.key, h = q.holder](Spoil) { claimed(tag, key, h); }, nullptr, false, true, true});
  }
  static int choose(Req const& q) {
    int s = 0;
    while (q.attempted.count(s) > 0)
      ++s;
    return s;
  }
  void attempt(Req& q) {
    int const s = choose(q);
    if (s > 2) return carry(q, q.machine.on_no_server(now_, 0.1, nullptr));
    attempt_at(q, s);
  }
  void attempt_at(Req& q, int s) {
    if (left_.count(q.id) > 0 && q.key.empty()) fail(q.id + " is sent on though its client has left");
    q.attempted.insert(s);
    Conn* c = nullptr;
    for (auto& x : conns_)
      if (x->server == s && !x->busy && !x->dead) c = x.get();
    bool const fresh = c == nullptr;
    if (fresh) {
      conns_.push_back(std::make_unique<Conn>());
      c = conns_.back().get();
      c->server = s;
    }
    c->busy = true;
    c->sent = false;
    c->owner = q.handle.to_pointer();
    q.connection = c;
    q.machine.attempt_started(now_, 0.5, 0.25);
    if (fresh)
      post(Msg{[this, c, id = q.id, key = q.key](Spoil) {
                 if (c->dead || c->up) return;
                 c->up = true;
                 send(*c, id, key);
               },
               c});
    else
      send(*c, q.id, q.key);
  }
  void send(Conn& c, std::string const& id, std::string const& key) {
    c.sent = true;
    post(Msg{[this, &c, id, key](Spoil sp) { serve(c, id, key, sp); }, &c, true});
  }
  void retire(Conn& c) {
    c.busy = false;
    if (S::cuts) c.dead = true;
  }
  void retire_connection(Req& q) {
    if (q.connection != nullptr) retire(*std::exchange(q.connection, nullptr));
  }
  void retire_all(Req& q) {
    retire_connection(q);
    for (Conn* const c : q.hedged)
      retire(*c);
    q.hedged.clear();
  }
  void hedged_ended(Req& q, Conn& c, AttemptResult e) {
    retire(c);
    std::erase(q.hedged, &c);
    carry(q, q.machine.on_hedged_ended(e));
  }
  void ended(Req& q, AttemptResult e) {
    retire_connection(q);
    carry(q, q.machine.on_attempt_ended(e, now_, 0.1, [] { return true; }));
  }
  void reset(Conn& c) {
    if (c.dead) return;
    c.dead = true;
    if (!c.busy) return;
    Req* const q = table_.find_attempt(Table::Handle::from_pointer(c.owner), &c);
    if (q == nullptr) return;
    if (q->connection != &c) return hedged_ended(*q, c, AttemptResult::broken);
    ended(*q, c.sent ? AttemptResult::broken : AttemptResult::unsent);
  }
  void came(Conn& c, UpstreamResponse const& r, std::string const& run_of) {
    if (c.dead) return;
    if (!c.busy) {  // bytes on an idle connection
      c.dead = true;
      return;
    }
    Req* const q = table_.find_attempt(Table::Handle::from_pointer(c.owner), &c);
    if (q == nullptr) return;
    AttemptResult const e = q->machine.check_response(r).result;
    bool const is_hedged = q->connection != &c;
    if (e != AttemptResult::complete) return is_hedged ? hedged_ended(*q, c, e) : ended(*q, e);
    if (is_hedged)
      std::erase(q->hedged, &c);
    else
      q->connection = nullptr;
    c.busy = false;
    RequestAction const s =
        is_hedged ? q->machine.on_hedged_ended(e) : q->machine.on_attempt_ended(e, now_, 0.1, [] { return true; });
    if (s.step != RequestAction::Step::forward_response) fail("a complete answer is not passed on");
    retire_all(*q);
    if (s.claim == ClaimDisposition::returned) tell(*q, s.claim);
    if (r.status < 300 && r.body_bytes != 4) fail("an answer that ends early looks whole");
    answer(q->id, r.status, run_of);
    table_.close(*q);
  }
  void tell(Req const& q, ClaimDisposition e) {
    post(Msg{[this, key = q.key, h = q.holder, e, id = q.id](Spoil) {
               if (e == ClaimDisposition::not_run && holder_[key] == h) holder_[key] = 0;
               if (e == ClaimDisposition::returned) first_[key] = id;
               if (e == ClaimDisposition::lost) told_lost_.insert(h);
             },
             nullptr, false, true, true});
  }
  void agent_killed() {
    table_.close_all_key_requests([this](Req& q) { carry(q, q.machine.on_agent_lost(0.1)); });
  }

  // ---- the others ----
  void claimed(u32 tag, std::string const& key, u64 h) {
    bool const got = holder_[key] == 0 || holder_[key] == h;
    if (got) holder_[key] = h;
    std::string const first = first_[key];
    post(Msg{[this, tag, got, first](Spoil) {
               Req* const q = table_.close_key_request(tag);
               if (q == nullptr) return;
               if (got) return carry(*q, q->machine.on_key_granted());
               if (first.empty()) return carry(*q, q->machine.on_key_refused(make_local_reply(409)));
               carry(*q, q->machine.on_stored_answer());
               answer(q->id, 200, first);
               table_.close(*q);
             },
             nullptr, false, true, true});
  }
  void serve(Conn& c, std::string const& id, std::string const& key, Spoil sp) {
    UpstreamResponse r{200, {{"Content-Length", "4"}, {"X-Attempt-Id", id}, {"X-Server-Seal", "s"}}, 4};
    bool const refuses = sp == Spoil::refused || sp == Spoil::misdirected;
    if (refuses) {
      r.status = sp == Spoil::refused ? 503 : 421;
      r.headers.emplace_back("X-Not-Run", "1");
    } else if (sp == Spoil::cut_short) {  // half a request does not run
      return reset(c);
    } else {
      ++runs_[id];
      if (!key.empty()) ++key_runs_[key];
    }
    post(Msg{[this, &c, r, id, refuses](Spoil s) {
               UpstreamResponse x = r;
               switch (s) {
                 case Spoil::cut_short: x.body_bytes = 3; break;
                 case Spoil::other_id: x.headers[1].second = "zz"; break;
                 case Spoil::no_id: x.headers.erase(x.headers.begin() + 1); break;
                 case Spoil::two_ids: x.headers.emplace_back("X-Attempt-Id", "zz"); break;
                 case Spoil::no_seal: x.headers.erase(x.headers.begin() + 2); break;
                 case Spoil::bare_503:
                   if (!refuses) x.status = 503;
                   break;
                 case Spoil::bare_refusal:
                   x = UpstreamResponse{503, {{"Content-Length", "0"}, {"X-Not-Run", "1"}}, 0};
                   break;  // anybody's
                 case Spoil::other_refusal:
                   x = UpstreamResponse{421, {{"Content-Length", "0"}, {"X-Attempt-Id", "zz"}, {"X-Not-Run", "1"}}, 0};
                   break;
                 case Spoil::failed: x.status = 500; break;
                 default: break;
               }
               came(c, x, id);
             },
             &c});
  }
  void answer(std::string const& id, int code, std::string const& run_of) {
    if (!answered_.emplace(id, code).second) fail("two answers for " + id);
    if (code < 300 && runs_[run_of] == 0) fail("a success that nobody ran");
    if (code < 300 && run_of != id && first_of(run_of) == false) fail(id + " got the answer of " + run_of);
  }
  bool first_of(std::string const& id) const {
    for (auto const& [k, f] : first_)
      if (f == id) return true;
    return false;
  }
  std::string check() {
    for (auto const& [id, n] : runs_) {
      if (once_.count(id) > 0 && n > 1) fail(id + " ran twice");
      if (answered_[id] == 503 && n > 0) fail(id + " was refused and ran");
    }
    for (auto const& [k, n] : key_runs_)
      if (n > 1) fail(k + " ran twice");
    for (auto const& [k, h] : holder_)
      if (h != 0 && !claims_spoiled_ && chance_ == 0 && first_[k].empty() && told_lost_.count(h) == 0)
        fail("the claim on " + k + " is left behind");
    if (table_.size() > 0 || table_.open_key_requests() > 0) fail("a slot or an ask is left behind");
    for (auto const& c : conns_)
      if (c->busy) fail("a connection is left behind");
    return broken;
  }

  Case c_;
  std::mt19937 rnd_;
  double chance_ = 0;
  Seconds now_ = 0;
  Table table_;
  std::deque<Msg> bag_;
  std::vector<Msg> after_;
  std::optional<Msg> late_;
  std::vector<std::unique_ptr<Conn>> conns_;
  std::size_t posted_ = 0, second_at_ = 0, hedges_ = 0, disconnects_ = 0;
  u64 holders_ = 0;
  int frozen_ = -1;
  bool second_ = false, draining_ = false, claims_spoiled_ = false;
  std::map<std::string, int> runs_, key_runs_, answered_;
  std::map<std::string, u64> holder_;
  std::map<std::string, std::string> first_;
  std::set<std::string> once_, left_;
  std::set<u64> told_lost_;
};

std::string name(Case const& c) {
  return "sort " + std::to_string(static_cast<int>(c.sort)) + " message " + std::to_string(c.at) + " spoil " +
         std::to_string(static_cast<int>(c.spoil)) + " when " + std::to_string(c.when);
}

// Every message of every sort, spoiled in every way; the first break, or nothing.
template <class P = RequestRules, class S = Shell>
std::string mutate(std::size_t* played = nullptr) {
  std::size_t n = 0;
  for (Sort const s : {Sort::idempotent, Sort::effectful, Sort::keyed})
    for (std::size_t at = 0; at < 14; ++at)
      for (u8 sp = 0; sp < static_cast<u8>(Spoil::count); ++sp)
        for (std::size_t when = 0; when < (static_cast<Spoil>(sp) == Spoil::late ? 6u : 1u); ++when) {
          Case const c{s, at, static_cast<Spoil>(sp), when};
          ++n;
          if (std::string const b = World<P, S>(c).play(); !b.empty()) return b + " (" + name(c) + ")";
        }
  if (played != nullptr) *played = n;
  return "";
}

// The planted faults.
struct TrustsBroken : RequestRules {
  static bool proves_not_run(AttemptResult e) { return dockbend::proves_not_run(e) || e == AttemptResult::broken; }
};
struct TrustsSilence : RequestRules {
  static bool proves_not_run(AttemptResult e) { return dockbend::proves_not_run(e) || e == AttemptResult::silent; }
};
struct RefusesAlways : RequestRules {
  static bool may_refuse(RetryState const&) { return true; }
};
struct GivesBackAlways : RequestRules {
  static bool may_release_key(RetryState const&) { return true; }
};
struct GoesOnAlways : RequestRules {
  static bool may_retry(RetryState const& c, Seconds) { return c.attempts() < 3; }
};
struct ReadsNoId : RequestRules {
  static ResponseCheck check_response(UpstreamResponse const& r, std::string_view) {
    std::string const* id = find_header(r.headers, "X-Attempt-Id");
    return dockbend::check_response(r, id != nullptr ? *id : "");
  }
};
struct RefusalNeedsNoId : RequestRules {
  static ResponseCheck check_response(UpstreamResponse const& r, std::string_view id) {
    if (find_header(r.headers, "X-Not-Run") != nullptr && find_header(r.headers, "X-Attempt-Id") == nullptr)
      return {AttemptResult::not_run, std::nullopt};
    return dockbend::check_response(r, id);
  }
};
struct CancelsAlways : RequestRules {
  static bool may_cancel(RetryState const&, bool, bool) { return true; }
};
struct CancelsNever : RequestRules {
  static bool may_cancel(RetryState const&, bool, bool) { return false; }
};
struct NeverCuts : Shell {
  static constexpr bool cuts = false;
};
struct ForgetsLate : Shell {
  static constexpr bool keeps = false;
};

}  // namespace

Test(request, one_message_spoiled_at_a_time_breaks_nothing) {
  std::size_t n = 0;
  std::string const b = mutate(&n);
  cr_assert(b.empty(), "%s", b.c_str());
  cr_assert_gt(n, 1000u);
}

Test(request, storms_by_seed_break_nothing) {
  std::size_t hedges = 0, disconnects = 0;
  for (unsigned seed = 1; seed <= 250; ++seed) {
    World<> world(Case{Sort::effectful, static_cast<std::size_t>(-1)}, seed);
    std::string const b = world.storm(40);
    cr_assert(b.empty(), "seed %u: %s", seed, b.c_str());
    hedges += world.hedges();
    disconnects += world.disconnects();
  }
  cr_assert_gt(hedges, 100u, "late attempts are hedged in the storms: %zu", hedges);
  cr_assert_gt(disconnects, 100u, "clients leave in the storms: %zu", disconnects);
}

Test(request, each_planted_fault_is_found) {
  cr_assert_not(mutate<TrustsBroken>().empty());
  cr_assert_not(mutate<TrustsSilence>().empty());
  cr_assert_not(mutate<RefusesAlways>().empty());
  cr_assert_not(mutate<GivesBackAlways>().empty());
  cr_assert_not(mutate<GoesOnAlways>().empty());
  cr_assert_not(mutate<ReadsNoId>().empty());
  cr_assert_not(mutate<RefusalNeedsNoId>().empty());
  cr_assert_not(mutate<CancelsAlways>().empty());
  cr_assert_not(mutate<CancelsNever>().empty());
  cr_assert_not((mutate<RequestRules, NeverCuts>().empty()));
  bool is_found = false;  // takes two spoiled messages, so only storms find it
  for (unsigned seed = 1; seed <= 150 && !is_found; ++seed)
    is_found =
        !World<RequestRules, ForgetsLate>(Case{Sort::effectful, static_cast<std::size_t>(-1)}, seed).storm(40).empty();
  cr_assert(is_found);
}

namespace {
// A repeatable request with an attempt at work since 0, late from 1 on.
RequestMachine at_work(u32 max_attempts) {
  RequestMachine r("a", false, RetryState(true, max_attempts, 10));
  r.on_quota_granted();
  r.attempt_started(0, 1, 0.25);
  return r;
}
// Nothing has changed: the attempt is waited for, and its answer goes to the client.
void still_at_work(RequestMachine& r) {
  cr_assert(r.phase() == RequestMachine::Phase::attempt);
  cr_assert_eq(r.retry_state().arrivals(), 0u);
  cr_assert_not(r.retry_state().may_have_run());
  cr_assert(r.on_attempt_ended(AttemptResult::complete, 5, 0.1, [] { return false; }).step ==
            RequestAction::Step::forward_response);
}
}  // namespace

Test(request, an_empty_budget_breaks_off_no_attempt) {
  RequestMachine r = at_work(3);
  cr_assert(r.retry_state().timer_meaning(2, true, true, false) == RetryState::TimerMeaning::late);
  cr_assert_not(r.hedge_attempt(
      2, false, [] { return true; }, [] { return false; }));
  still_at_work(r);
}

Test(request, no_other_server_breaks_off_no_attempt_and_takes_no_token) {
  RequestMachine r = at_work(3);
  int tokens = 0;
  cr_assert_not(r.hedge_attempt(
      2, false, [] { return false; }, [&] { return ++tokens > 0; }));
  cr_assert_eq(tokens, 0);
  still_at_work(r);
}

Test(request, used_up_attempts_break_off_no_attempt_and_take_no_token) {
  int asked = 0;
  auto const yes = [&] { return ++asked > 0; };
  RequestMachine one = at_work(1);
  cr_assert_not(one.hedge_attempt(2, false, yes, yes));
  still_at_work(one);
  RequestMachine r("a", false, RetryState(true, 2, 10));  // of four attempts three reach no server
  r.on_quota_granted();
  for (int i = 0; i < 3; ++i) {
    r.attempt_started(0, 1, 0.25);
    cr_assert(r.on_attempt_ended(AttemptResult::unsent, 0.25, 0.1, [] { return false; }).step ==
              RequestAction::Step::choose_server);
  }
  r.attempt_started(0, 1, 0.25);
  cr_assert_not(r.hedge_attempt(2, false, yes, yes));
  cr_assert_eq(asked, 0);
  still_at_work(r);
}

Test(request, a_sigterm_breaks_off_no_attempt) {
  RequestMachine r = at_work(3);
  int asked = 0;
  auto const yes = [&] { return ++asked > 0; };
  cr_assert_not(r.hedge_attempt(2, true, yes, yes));
  cr_assert_eq(asked, 0);
  still_at_work(r);
}

Test(request, a_certain_retry_goes_out_beside_a_late_attempt) {
  RequestMachine r = at_work(3);
  std::string order;
  cr_assert(r.hedge_attempt(
      2, false,
      [&] {
        order += 's';
        return true;
      },
      [&] {
        order += 't';
        return true;
      }));
  cr_assert_str_eq(order.c_str(), "st", "the token is taken for a server that is chosen");
  cr_assert(r.phase() == RequestMachine::Phase::server_choice);
  cr_assert_eq(r.retry_state().arrivals(), 1u);
  cr_assert(r.retry_state().may_have_run());
  // The retry reaches no server, twice: the token taken for it pays for the next.
  for (int i = 0; i < 2; ++i) {
    r.attempt_started(2, 1, 0.25);
    cr_assert(r.on_attempt_ended(AttemptResult::unsent, 2.3, 0.1, [] { return false; }).step ==
              RequestAction::Step::choose_server);
  }
}

// A budget token pays for an arrival: one that reached no server is kept, one that did is not.
Test(request, a_retry_that_reached_no_server_keeps_its_token) {
  RequestMachine r = at_work(4);
  int tokens = 0;
  auto const spend = [&] { return ++tokens > 0; };
  cr_assert(r.on_attempt_ended(AttemptResult::broken, 0.5, 0.1, spend).step == RequestAction::Step::choose_server);
  cr_assert_eq(tokens, 1);
  r.attempt_started(0.5, 1, 0.25);
  cr_assert(r.on_attempt_ended(AttemptResult::unsent, 0.75, 0.1, [] { return false; }).step ==
                RequestAction::Step::choose_server,
            "no second token is asked for");
  r.attempt_started(0.75, 1, 0.25);
  cr_assert(r.on_attempt_ended(AttemptResult::broken, 1, 0.1, spend).step == RequestAction::Step::choose_server);
  cr_assert_eq(tokens, 2, "that one arrived: the next is paid for anew");
  r.attempt_started(1, 1, 0.25);
  cr_assert(r.on_attempt_ended(AttemptResult::broken, 1.2, 0.1, [] { return false; }).step ==
            RequestAction::Step::send_local_reply);
}

// The incident of 2026-12-02: a late attempt was broken off for a retry whose servers let nobody in, a SIGTERM came
// meanwhile, and the client got 502 although its first server had been at work until then.
Test(request, a_late_attempt_outlives_a_retry_that_reaches_no_server) {
  RequestMachine r = at_work(2);
  auto const yes = [] { return true; };
  cr_assert(r.hedge_attempt(2, false, yes, yes));
  RequestAction action;
  do {
    r.attempt_started(2, 1, 0.25);
    action = r.on_attempt_ended(AttemptResult::unsent, 2.25, 0.1, [] { return false; });
  } while (action.step == RequestAction::Step::choose_server);
  cr_assert(action.step == RequestAction::Step::resume_hedged,
            "the first server is at work, no answer of ours takes its place");
  cr_assert(r.on_attempt_ended(AttemptResult::complete, 5, 0.1, [] { return false; }).step ==
            RequestAction::Step::forward_response);
}

Test(request, a_late_attempt_outlives_a_retry_that_its_server_refuses_or_breaks_off) {
  for (AttemptResult const ended : {AttemptResult::not_run, AttemptResult::misdirected, AttemptResult::broken}) {
    RequestMachine r = at_work(2);
    auto const yes = [] { return true; };
    cr_assert(r.hedge_attempt(2, false, yes, yes));
    r.attempt_started(2, 1, 0.25);
    cr_assert(r.on_attempt_ended(ended, 2.5, 0.1, yes).step == RequestAction::Step::resume_hedged);
    cr_assert(r.phase() == RequestMachine::Phase::attempt);
    cr_assert(r.on_attempt_ended(AttemptResult::complete, 5, 0.1, yes).step == RequestAction::Step::forward_response);
  }
}

Test(request, no_server_left_for_a_further_retry_leaves_the_late_attempt_at_work) {
  RequestMachine r = at_work(3);
  auto const yes = [] { return true; };
  cr_assert(r.hedge_attempt(2, false, yes, yes));
  cr_assert(r.on_no_server(2, 0.1, "no server may take it").step == RequestAction::Step::resume_hedged);
  cr_assert(r.on_attempt_ended(AttemptResult::broken, 3, 0.1, yes).step == RequestAction::Step::choose_server);
  cr_assert(r.on_no_server(3, 0.1, "no server may take it").step == RequestAction::Step::send_local_reply,
            "nothing is at work any more");
}

Test(request, the_first_complete_answer_of_hedged_attempts_is_the_only_one) {
  auto const yes = [] { return true; };
  for (bool const late_one_wins : {false, true}) {
    RequestMachine r = at_work(2);
    cr_assert(r.hedge_attempt(2, false, yes, yes));
    r.attempt_started(2, 1, 0.25);
    auto const newest = [&] { return r.on_attempt_ended(AttemptResult::complete, 3, 0.1, yes).step; };
    auto const hedged = [&] { return r.on_hedged_ended(AttemptResult::complete).step; };
    cr_assert((late_one_wins ? hedged() : newest()) == RequestAction::Step::forward_response);
    cr_assert((late_one_wins ? newest() : hedged()) == RequestAction::Step::wait);
    cr_assert_leq(r.retry_state().arrivals(), 2u);
  }
}

Test(request, a_hedged_attempt_that_breaks_leaves_the_newest_at_work) {
  RequestMachine r = at_work(2);
  auto const yes = [] { return true; };
  cr_assert(r.hedge_attempt(2, false, yes, yes));
  r.attempt_started(2, 1, 0.25);
  cr_assert(r.on_hedged_ended(AttemptResult::broken).step == RequestAction::Step::wait);
  cr_assert(r.phase() == RequestMachine::Phase::attempt);
  RequestAction const action = r.on_attempt_ended(AttemptResult::broken, 3, 0.1, yes);
  cr_assert(action.step == RequestAction::Step::send_local_reply, "both attempts are over");
  cr_assert_eq(action.reply.status, 502);
}

Test(request, each_arrival_counts_once_however_often_it_is_waited_for) {
  RequestMachine r = at_work(3);
  auto const yes = [] { return true; };
  cr_assert(r.hedge_attempt(2, false, yes, yes));
  r.attempt_started(2, 1, 0.25);
  cr_assert(r.on_attempt_ended(AttemptResult::broken, 2.5, 0.1, [] { return false; }).step ==
            RequestAction::Step::resume_hedged);
  cr_assert_eq(r.retry_state().arrivals(), 2u);
  cr_assert_not(r.on_attempt_ended(AttemptResult::broken, 3, 0.1, yes).step == RequestAction::Step::wait);
  cr_assert_eq(r.retry_state().arrivals(), 2u);
}

namespace {
// What may not be repeated, with an attempt since 0.
RequestMachine once_at_work(bool is_keyed) {
  RequestMachine r("a", is_keyed, RetryState(false, 3, 10));
  r.on_quota_granted();
  if (is_keyed) r.on_key_granted();
  r.attempt_started(0, 1, 0.25);
  return r;
}
void is_over(RequestAction const& action, int status) {
  cr_assert(action.step == RequestAction::Step::send_local_reply);
  cr_assert_eq(action.reply.status, status);
  cr_assert(action.reply.closes_connection);
}
bool no_budget() {
  return false;
}
}  // namespace

Test(request, client_that_leaves_while_its_request_waits_ends_it) {
  RequestMachine waits_for_quota("a", true, RetryState(false, 3, 10));
  RequestAction const without_token = waits_for_quota.on_client_disconnected(false);
  is_over(without_token, 503);
  cr_assert(without_token.claim == ClaimDisposition::none);
  cr_assert(waits_for_quota.on_quota_granted().step == RequestAction::Step::wait);

  RequestMachine waits_for_key("a", true, RetryState(false, 3, 10));
  waits_for_key.on_quota_granted();
  RequestAction const without_key = waits_for_key.on_client_disconnected(false);
  is_over(without_key, 503);
  cr_assert(without_key.claim == ClaimDisposition::not_run, "a key that is granted all the same is released");
  cr_assert(without_key.refunds_quota);
  cr_assert(waits_for_key.on_key_granted().step == RequestAction::Step::wait);
}

Test(request, client_that_leaves_before_a_byte_was_sent_ends_it) {
  for (bool const is_keyed : {false, true}) {
    RequestMachine r = once_at_work(is_keyed);
    RequestAction const action = r.on_client_disconnected(false);
    is_over(action, 503);
    cr_assert(action.refunds_quota);
    cr_assert(action.claim == (is_keyed ? ClaimDisposition::not_run : ClaimDisposition::none));
  }
}

Test(request, repeatable_run_ends_with_its_client_also_when_hedged) {
  for (bool const is_hedged : {false, true}) {
    RequestMachine r = at_work(3);
    if (is_hedged) {
      cr_assert(r.hedge_attempt(
          2, false, [] { return true; }, [] { return true; }));
      r.attempt_started(2, 1, 0.25);
    }
    RequestAction const action = r.on_client_disconnected(!is_hedged);
    is_over(action, 502);
    cr_assert_not(action.refunds_quota, "it may have run");
    cr_assert(r.on_attempt_ended(AttemptResult::complete, 3, 0.1, no_budget).step == RequestAction::Step::wait);
  }
}

Test(request, run_that_may_not_be_repeated_outlives_its_client) {
  for (bool const is_keyed : {false, true}) {
    RequestMachine r = once_at_work(is_keyed);
    cr_assert(r.on_client_disconnected(true).step == RequestAction::Step::wait);
    RequestAction const action = r.on_attempt_ended(AttemptResult::complete, 3, 0.1, no_budget);
    cr_assert(action.step == RequestAction::Step::forward_response);
    cr_assert(action.claim == (is_keyed ? ClaimDisposition::returned : ClaimDisposition::none));
  }
}

Test(request, upload_that_was_turned_away_is_sent_nowhere_else_once_its_client_has_left) {
  RequestMachine r = once_at_work(false);
  cr_assert(r.on_client_disconnected(true).step == RequestAction::Step::wait);
  RequestAction const action = r.on_attempt_ended(AttemptResult::not_run, 1, 0.1, [] { return true; });
  cr_assert(action.step == RequestAction::Step::send_local_reply);
  cr_assert_eq(action.reply.status, 503);
}

// Its answer is kept for repeats of its key, so the operation is brought to its end.
Test(request, keyed_request_that_was_turned_away_is_tried_again_though_its_client_has_left) {
  RequestMachine r = once_at_work(true);
  cr_assert(r.on_client_disconnected(true).step == RequestAction::Step::wait);
  cr_assert(r.on_attempt_ended(AttemptResult::not_run, 1, 0.1, [] { return true; }).step ==
            RequestAction::Step::choose_server);
}

Test(request, run_without_a_client_is_not_hedged) {
  RequestMachine r("a", true, RetryState(true, 3, 10));  // its service recognises repeats
  r.on_quota_granted();
  r.on_key_granted();
  r.attempt_started(0, 1, 0.25);
  cr_assert(r.on_client_disconnected(true).step == RequestAction::Step::wait);
  cr_assert_not(r.hedge_attempt(
      2, false, [] { return true; }, [] { return true; }));
}
