// The claims of one proxy's requests on their keys: from the ask to the word on how the
// request ended, at a majority of the core's disks. No I/O: what is to be sent is handed
// out in its order, and whoever owns the sockets says what came over which connection.
#pragma once
#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>

#include "base/unmatched_messages.hpp"
#include "consensus/replicated_state.hpp"
#include "idempotency/proxy_messages.hpp"

namespace dockbend {

// What is to be sent. A disk is named by its node's address; `tag` names the question and
// comes back with the answer.
struct SendClaim {
  std::string to;
  u32 tag = 0;
  ClaimRequest claim;
};
struct SendRelease {
  std::string to;
  ReleaseRequest release;
};
struct SendFetch {
  std::string to;
  u32 tag = 0;
  FetchAnswerRequest fetch;
};
struct SendStore {
  std::string to, answer;
};
struct SendCatchUp {  // it knows a newer roster than ours
  std::string to;
};
struct SendAnswer {  // to the proxy's connection that asked
  u64 asker = 0;
  u32 tag = 0;
  AcquireKeyResponse answer;
};
using ClaimAction = std::variant<SendClaim, SendRelease, SendFetch, SendStore, SendCatchUp, SendAnswer>;

// What an answer is checked by, and when a key may be given back. Tests plant faults here.
template <class P>
concept ClaimPolicy = requires(u64 c, Epoch e, Incarnation l, std::string const& s, KeyOutcome o, bool b) {
  { P::same_connection(c, c) } -> std::same_as<bool>;
  { P::same_epoch(e, e) } -> std::same_as<bool>;
  { P::same_disk(l, l) } -> std::same_as<bool>;
  { P::same_holder(c, c) } -> std::same_as<bool>;
  { P::same_key(s, s) } -> std::same_as<bool>;
  { P::voter(s) } -> std::same_as<std::string>;
  { P::not_run(o) } -> std::same_as<bool>;
  { P::may_release(b) } -> std::same_as<bool>;
};
struct StrictClaimPolicy {
  static bool same_connection(u64 asked, u64 heard) { return asked == heard; }
  static bool same_epoch(Epoch asked, Epoch said) { return asked == said; }
  static bool same_disk(Incarnation membership, Incarnation said) { return membership == said; }
  static bool same_holder(u64 asked, u64 said) { return asked == said; }
  static bool same_key(std::string const& asked, std::string const& said) { return asked == said; }
  static std::string voter(std::string const& ip) { return ip; }
  static bool not_run(KeyOutcome o) { return o == KeyOutcome::not_run; }
  static bool may_release(bool run_said) { return !run_said; }
};

// Invariants: an ask is answered at most once, over the connection that asked; `run` is
// answered only for grants that a majority of one roster's disks gave this holder over the
// connections they were asked on. A tag names one ask and no second one in the life of a
// connection (it comes round after 2^32 asks, an ask lives for some seconds). `asked`
// names what a disk was asked on; `sent` names every disk that may hold a grant of the
// holder. A key is released only while `run` was not said, or once the proxy says that
// the request did not run; from then on its holder claims no more.
template <ClaimPolicy P = StrictClaimPolicy>
class ClaimCoordinator {
 public:
  ClaimCoordinator(std::string zone, std::string region, std::string node)
      : zone_(std::move(zone)), region_(std::move(region)), node_(std::move(node)) {}

  // ---- disks ---------------------------------------------------------------------
  // `relayed`: the connection leads through another agent, of any region.
  void up(std::string const& ip, u64 connection, bool relayed = false) {
    disks_[ip].connection = connection;
    disks_[ip].relayed = relayed;
    order();
    // Once more what may have been on its way when the connection ended, and what came since.
    if (auto const it = owed_.find(ip); it != owed_.end()) {
      for (Owed& o : it->second) {
        o.at = now_;
        out_.emplace_back(SendRelease{ip, o.release});
      }
    }
    // What was asked over the connection before is asked anew.
    for (auto& [tag, j] : jobs_)
      if (!j.fetching && j.widened && j.asked.count(ip) == 0) claim(tag, j, ip);
  }
  void down(std::string const& ip) {
    disks_[ip].connection = 0;
    order();
    std::vector<u32> over;
    for (auto& [tag, j] : jobs_) {
      if (j.asked.erase(ip) == 0) continue;
      if (!j.fetching)
        j.widen_at = 0;
      else if (j.asked.empty())
        over.push_back(tag);
    }
    for (u32 const tag : over)
      no_answer(jobs_.find(tag));
  }
  void rtt(std::string const& ip, Seconds s) { disks_[ip].rtt = s; }
  void membership(ReplicatedState const& s, Seconds now) {
    bool const fresh = !have_ || s.epoch != epoch_;
    have_ = true;
    epoch_ = s.epoch;
    members_ = s.membership;
    std::erase_if(owed_, [&](auto const& x) { return s.member(x.first) == nullptr; });
    order();
    if (!fresh) return;
    for (auto& [tag, j] : jobs_)
      if (!j.fetching) begin(tag, j, now);
  }

  // ---- the proxy -----------------------------------------------------------------
  // Its connection, 0: none. What it asked over the one before and had no answer to was
  // never run, and never will be.
  void proxy(u64 connection) {
    if (connection == proxy_) return;
    proxy_ = connection;
    for (auto const& [tag, j] : jobs_) {
      release(j);
      by_holder_.erase(j.holder);
    }
    jobs_.clear();
    // Where `run` was said it may be at work; who knows is the proxy, and it comes back.
    if (!P::may_release(true)) return;
    for (auto const& [holder, h] : held_)
      release(h.key, holder, h.sent);
    held_.clear();
  }
  void ask(u64 asker, u32 tag, AcquireKeyRequest const& a, Seconds now) {
    if (asker != proxy_) return unmatched_.drop(UnmatchedReason::connection);
    if (by_holder_.count(a.holder) > 0 || held_.count(a.holder) > 0) return unmatched_.drop(UnmatchedReason::twice);
    do
      ++next_;
    while (next_ == 0 || jobs_.count(next_) > 0);
    Job& j = jobs_[next_];
    j.key = a.key;
    j.holder = a.holder;
    j.work_ms = a.work_ms;
    j.homes = a.homes;
    j.asker = asker;
    j.tag = tag;
    j.end_at = now + std::min(2.0, a.work_ms / 1000.0 * 0.7);
    by_holder_[a.holder] = next_;
    if (have_) return begin(next_, j, now);
    answer(j, AcquireResult::unavailable);
    end(jobs_.find(next_));
  }
  // How the request ended, or that its time ran out before we answered.
  void told(KeyOutcomeNotice const& t) {
    if (auto const h = by_holder_.find(t.holder); h != by_holder_.end()) {
      auto const it = jobs_.find(h->second);
      answer(it->second, AcquireResult::unavailable);
      release(it->second);
      return end(it);
    }
    std::set<std::string> sent;
    if (auto const it = held_.find(t.holder); it != held_.end()) {
      sent = std::move(it->second.sent);
      held_.erase(it);
    } else {
      for (Member const& m : members_)
        sent.insert(m.ip);
    }
    if (P::not_run(t.outcome)) return release(t.key, t.holder, sent);
    std::string ret = t.ret;
    if (t.outcome != KeyOutcome::returned) {  // lost, or a word that we don't know
      StoredAnswer r;
      r.key = t.key;
      r.holder = t.holder;
      r.lost = true;
      r.homes = t.homes;
      ret = codec::pack(r);
    }
    for (std::string const& ip : near_)
      if (may_see_body(ip, t.homes)) {
        out_.emplace_back(SendStore{ip, std::move(ret)});
        break;
      }
  }
  // ---- answers of disks ----------------------------------------------------------
  void heard(std::string const& ip, u64 connection, u32 tag, ClaimResponse const& r, Seconds now) {
    auto const it = jobs_.find(tag);
    if (it == jobs_.end() || it->second.fetching) return unmatched_.drop(UnmatchedReason::no_question);
    Job& j = it->second;
    if (!asked_on(j, ip, connection)) return unmatched_.drop(UnmatchedReason::connection);
    if (!P::same_holder(j.holder, r.holder)) return unmatched_.drop(UnmatchedReason::other_key);
    Member const* const m = member(ip);
    if (m == nullptr || !P::same_disk(m->incarnation, r.incarnation))
      return unmatched_.drop(UnmatchedReason::disk_life);
    bool const vote = r.say == ClaimVote::granted || r.say == ClaimVote::held;
    if (vote && !P::same_epoch(epoch_, r.epoch)) return unmatched_.drop(UnmatchedReason::epoch);
    if (vote && !j.voted.insert(P::voter(ip)).second) return unmatched_.drop(UnmatchedReason::twice);
    ClaimResponse said = r;
    if (vote) said.epoch = epoch_;  // judged above
    switch (j.q.hear(P::voter(ip), said)) {
      case ClaimQuorum::Result::granted: {
        answer(j, AcquireResult::run);
        held_[j.holder] = Kept{std::move(j.key), std::move(j.sent), now};
        return end(it);
      }
      case ClaimQuorum::Result::held:
        j.at_work = j.q.at_work();
        release(j);
        return fetch(it, now);
      case ClaimQuorum::Result::open:
      case ClaimQuorum::Result::failed: break;
    }
    if (r.say == ClaimVote::held && j.q.refusals() == 1) widen(tag, j);
    if (r.say == ClaimVote::unready && !j.widened) widen(tag, j);
    if (r.say == ClaimVote::epoch && r.epoch > epoch_) out_.emplace_back(SendCatchUp{ip});
  }
  void heard(std::string const& ip, u64 connection, u32 tag, FetchAnswerResponse const& r) {
    auto const it = jobs_.find(tag);
    if (it == jobs_.end() || !it->second.fetching) return unmatched_.drop(UnmatchedReason::no_question);
    Job& j = it->second;
    if (j.asked.count(ip) == 0) return unmatched_.drop(UnmatchedReason::twice);
    if (!asked_on(j, ip, connection)) return unmatched_.drop(UnmatchedReason::connection);
    if (r.have) {
      StoredAnswer const ret = codec::unpack<StoredAnswer>(r.ret);
      if (!P::same_key(j.key, ret.key)) return unmatched_.drop(UnmatchedReason::other_key);
      answer(j, ret.lost ? AcquireResult::lost : AcquireResult::repeat, r.ret);
      return end(it);
    }
    j.asked.erase(ip);
    if (j.asked.empty()) no_answer(it);
  }

  void tick(Seconds now) {
    now_ = now;
    std::vector<u32> due;
    for (auto const& [tag, j] : jobs_)
      if (now > j.end_at || (!j.fetching && !j.widened && now > j.widen_at)) due.push_back(tag);
    for (u32 const tag : due) {
      auto const it = jobs_.find(tag);
      Job& j = it->second;
      if (j.fetching) {
        no_answer(it);
      } else if (now > j.end_at) {
        release(j);
        answer(j, j.q.refusals() > 0 && j.q.grants() == 0 && j.q.at_work() ? AcquireResult::at_work
                                                                           : AcquireResult::unavailable);
        end(it);
      } else {
        widen(tag, j);
      }
    }
    if (now - swept_ < 0.6) return;
    swept_ = now;
    // A connection that bore a release this long ago has brought it.
    for (auto it = owed_.begin(); it != owed_.end();) {
      std::deque<Owed>& l = it->second;
      while (!l.empty() && disks_[it->first].connection != 0 && now - l.front().at > release_kept)
        l.pop_front();
      it = l.empty() ? owed_.erase(it) : std::next(it);
    }
    // A proxy that says no more of it may have ended; the disks keep the key.
    std::erase_if(held_, [&](auto const& x) { return now - x.second.since > 60; });
  }

  std::vector<ClaimAction> take() {
    std::vector<ClaimAction> v;
    v.swap(out_);
    return v;
  }
  std::size_t open() const { return jobs_.size(); }
  std::size_t held() const { return held_.size(); }
  UnmatchedMessages& unmatched() { return unmatched_; }
  UnmatchedMessages const& unmatched() const { return unmatched_; }

 private:
  struct Disk {
    u64 connection = 0;  // 0: down
    Seconds rtt = 0.1;
    bool relayed = false;
  };
  struct Job {
    std::string key;
    u64 holder = 0, asker = 0;
    u32 work_ms = 0, tag = 0;
    std::vector<std::string> homes;
    ClaimQuorum q{0, Epoch()};
    std::set<std::string> sent, voted;
    std::map<std::string, u64> asked;  // in this quest or this fetch: over which connection
    Seconds widen_at = 0, end_at = 0;
    bool fetching = false, at_work = false, widened = false;
  };
  using Jobs = std::unordered_map<u32, Job>;
  struct Kept {
    std::string key;
    std::set<std::string> sent;
    Seconds since = 0;
  };
  struct Owed {
    ReleaseRequest release;
    Seconds at = 0;  // said over the connection that is up; while it is down: since when
  };
  static constexpr std::size_t most_owed = 1024;
  static constexpr Seconds release_kept = 5;  // longer than a silent connection is borne

  bool asked_on(Job const& j, std::string const& ip, u64 connection) const {
    auto const it = j.asked.find(ip);
    return it != j.asked.end() && P::same_connection(it->second, connection);
  }
  Member const* member(std::string const& ip) const {
    for (Member const& m : members_)
      if (m.ip == ip) return &m;
    return nullptr;
  }
  // Bodies stay at home on their way too: a relay may stand in any region.
  bool may_see_body(std::string const& ip, std::vector<std::string> const& homes) const {
    auto const d = disks_.find(ip);
    return is_home(ip, homes) && (homes.empty() || d == disks_.end() || !d->second.relayed);
  }
  bool is_home(std::string const& ip, std::vector<std::string> const& homes) const {
    Member const* m = member(ip);
    return m != nullptr && (homes.empty() || std::find(homes.begin(), homes.end(), m->region) != homes.end());
  }
  // Members in touch, nearest first; among equals an order that differs from node to node.
  void order() {
    std::vector<std::pair<std::pair<int, u64>, std::string>> v;
    for (Member const& m : members_) {
      auto const it = disks_.find(m.ip);
      if (it == disks_.end() || it->second.connection == 0) continue;
      int const tier = m.zone.empty() ? 3 : m.zone == zone_ ? 0 : m.region == region_ ? 1 : 2;
      v.push_back({{tier, hash64(m.ip + node_)}, m.ip});
    }
    std::sort(v.begin(), v.end());
    near_.clear();
    for (auto& x : v)
      near_.push_back(std::move(x.second));
  }

  void answer(Job const& j, AcquireResult leave, std::string ret = "") {
    SendAnswer a;
    a.asker = j.asker;
    a.tag = j.tag;
    a.answer.holder = j.holder;
    a.answer.leave = leave;
    a.answer.ret = std::move(ret);
    out_.emplace_back(std::move(a));
  }
  void end(typename Jobs::iterator it) {
    by_holder_.erase(it->second.holder);
    jobs_.erase(it);
  }

  // A majority of the nearest disks is asked; the others only if one of these keeps us
  // waiting, for bytes between regions are dear.
  void begin(u32 tag, Job& j, Seconds now) {
    j.q = ClaimQuorum(members_.size(), epoch_);
    j.widened = false;
    j.asked.clear();
    j.voted.clear();
    std::size_t const want = std::min(near_.size(), members_.size() / 2 + 1);
    Seconds worst = 0;
    for (std::size_t i = 0; i < want; ++i) {
      claim(tag, j, near_[i]);
      worst = std::max(worst, disks_[near_[i]].rtt);
    }
    j.widen_at = now + 0.06 + 1.5 * worst;
  }
  void claim(u32 tag, Job& j, std::string const& ip) {
    Member const* m = member(ip);
    if (m == nullptr) return;
    ClaimRequest c;
    c.key = j.key;
    c.holder = j.holder;
    c.epoch = epoch_;
    c.incarnation = m->incarnation;
    c.work_ms = j.work_ms;
    j.sent.insert(ip);
    j.asked[ip] = disks_[ip].connection;
    out_.emplace_back(SendClaim{ip, tag, std::move(c)});
  }
  void widen(u32 tag, Job& j) {
    j.widened = true;
    for (std::string const& ip : near_)
      if (j.asked.count(ip) == 0) claim(tag, j, ip);
  }
  void release(Job const& j) { release(j.key, j.holder, j.sent); }
  // Said again over a disk's next connection if this one ends soon; else a key that nobody
  // runs stays taken.
  void release(std::string const& key, u64 holder, std::set<std::string> const& ips) {
    ReleaseRequest r;
    r.key = key;
    r.holder = holder;
    for (std::string const& ip : ips) {
      bool const up = disks_[ip].connection != 0;
      if (up) out_.emplace_back(SendRelease{ip, r});
      std::deque<Owed>& l = owed_[ip];
      l.push_back({r, now_});
      if (l.size() <= most_owed) continue;
      l.pop_front();
      if (!up) unmatched_.drop(UnmatchedReason::owed);
    }
  }
  void fetch(typename Jobs::iterator it, Seconds now) {
    Job& j = it->second;
    j.fetching = true;
    j.asked.clear();
    Seconds worst = 0;
    for (std::string const& ip : near_) {
      if (!may_see_body(ip, j.homes)) continue;
      worst = std::max(worst, disks_[ip].rtt);
      j.asked[ip] = disks_[ip].connection;
      SendFetch f;
      f.to = ip;
      f.tag = it->first;
      f.fetch.key = j.key;
      out_.emplace_back(std::move(f));
    }
    j.end_at = now + 0.1 + 2 * worst;
    if (j.asked.empty()) no_answer(it);
  }
  void no_answer(typename Jobs::iterator it) {
    answer(it->second, it->second.at_work ? AcquireResult::at_work : AcquireResult::lost);
    end(it);
  }

  std::string zone_, region_, node_;
  std::map<std::string, Disk> disks_;
  std::vector<Member> members_;
  std::vector<std::string> near_;
  Epoch epoch_;
  bool have_ = false;
  Jobs jobs_;
  std::unordered_map<u64, u32> by_holder_;        // of jobs_
  std::unordered_map<u64, Kept> held_;            // `run` was said, and no outcome told yet
  std::map<std::string, std::deque<Owed>> owed_;  // oldest first
  std::vector<ClaimAction> out_;
  u64 proxy_ = 0;
  u32 next_ = 0;
  Seconds now_ = 0, swept_ = 0;  // now_: of the last tick
  UnmatchedMessages unmatched_;
};

}  // namespace dockbend
