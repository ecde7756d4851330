#pragma once
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "idempotency/claim_coordinator.hpp"
#include "idempotency/key_table.hpp"

/// \file
/// Two proxies with their agents before three disks, on a simulated network. Each message is numbered, so that
/// one of them can be lost, doubled, late or changed, and a process ended or frozen at that moment.

namespace dockbend::test {

/// What happens to one message, or to a process when it arrives there.
enum class Change {
  none,
  lost,
  doubled,
  late,
  very_late,
  tag,
  connection,
  epoch,
  incarnation,
  end_agent,
  end_proxy,
  end_disk,
  freeze_agent,
  freeze_proxy,
  freeze_disk
};
int constexpr kChangeCount = 15;

struct Mutation {
  int message = -1;  ///< its number
  Change change = Change::none;
};

struct Scenario {
  KeyOutcome outcome = KeyOutcome::returned;  ///< of each request that runs
  bool replaces_disk = false;                 ///< a disk is replaced by an empty one half-way
};

/// One simulated run; ClaimCoordinator, KeyTable and their records are the real ones.
template <class Policy>
class ClaimSimulation {
 public:
  static constexpr char const* kGrantLeftBehind = "a grant is left behind";

  ClaimSimulation(Scenario scenario, std::vector<Mutation> mutations)
      : scenario_(scenario), mutations_(std::move(mutations)) {
    for (int disk = 0; disk < kDisks; ++disk) {
      disks_.push_back(Disk{});
      Member member;
      member.ip = ip_of(disk);
      member.incarnation = Incarnation(1);
      state_.membership.push_back(member);
    }
    state_.epoch = Epoch(1);
    for (int agent = 0; agent < kAgents; ++agent)
      agents_.push_back(Agent{});
    for (int agent = 0; agent < kAgents; ++agent)
      start_agent(agent);
  }

  /// The first thing that went wrong; empty: nothing.
  std::string run() {
    while (now_ < 9 && fault_.empty())
      step(0.04);
    for (Queued& queued : queue_)
      queued.at = std::min(queued.at, now_);
    while (now_ < 75 && fault_.empty())
      step(queue_.empty() ? 1.0 : 0.04);
    return fault_.empty() ? what_is_left_behind() : fault_;
  }
  int message_count() const { return message_count_; }

 private:
  static int constexpr kDisks = 3, kAgents = 2;
  static Seconds constexpr kLatency = 0.03, kLate = 0.93, kVeryLate = 5, kFrozen = 3, kDiskRestart = 0.5;
  static u32 constexpr kWorkMs = 2500;
  static Seconds constexpr kRunTime = 0.2;

  enum class Stage { waiting, running, over };
  struct Request {
    std::string key;
    u64 holder = 0;
    Stage stage = Stage::waiting;
    Seconds until = 0;
  };
  struct Agent {  // and its proxy
    std::unique_ptr<ClaimCoordinator<Policy>> claims;
    u64 proxy_connection = 0;
    u64 disk_connection[kDisks] = {};
    std::map<u32, Request> requests;
    std::vector<KeyOutcomeNotice> unsent_outcomes;
    u32 last_tag = 0;
    Seconds agent_frozen_until = 0, proxy_frozen_until = 0;
  };
  struct Disk {
    KeyTable table{true};
    Incarnation incarnation{1};
    Epoch epoch{1};
    Seconds frozen_until = 0, back_at = 0;
  };
  struct ToDisk {
    int agent, disk;
    u64 connection;
    std::variant<SendClaim, SendRelease, SendFetch, SendStore> message;
  };
  struct FromDisk {
    int agent, disk;
    u64 connection;
    u32 tag;
    std::variant<ClaimResponse, FetchAnswerResponse> message;
  };
  struct FromProxy {
    int agent;
    u64 asker;
    u32 tag;
    std::variant<AcquireKeyRequest, KeyOutcomeNotice> message;
  };
  struct ToProxy {
    int agent;
    SendAnswer message;
  };
  using Message = std::variant<ToDisk, FromDisk, FromProxy, ToProxy>;
  struct Queued {
    Seconds at;
    Message message;
  };

  static std::string ip_of(int disk) { return std::string("10.0.0.") + static_cast<char>('1' + disk); }
  static int disk_of(std::string const& ip) { return ip.back() - '1'; }
  static int agent_of(Message const& message) {
    return std::visit([](auto const& x) { return x.agent; }, message);
  }

  // ---- how a run is judged -------------------------------------------------------------
  std::string what_is_left_behind() const {
    for (Agent const& agent : agents_) {
      if (agent.claims->pending_count() > 0) return "a pending claim is left behind";
      if (agent.claims->granted_count() > 0) return "a granted claim is left behind";
      for (auto const& [tag, request] : agent.requests)
        if (request.stage == Stage::waiting) return "a request waits for ever";
    }
    if (grants_may_stay_) return "";
    for (Disk const& disk : disks_)
      for (HeldKey const& held : disk.table.all_keys()) {
        auto const ran = ran_.find(held.key);
        bool const has_run = ran != ran_.end() && ran->second.count(held.holder) > 0;
        if (held.holder != KeyTable::kNobody && !has_run && unknown_.count(held.holder) == 0) return kGrantLeftBehind;
      }
    return "";
  }
  // Who runs a request holds its key on a majority, and nobody else has run it.
  void judge_run(Request const& request) {
    std::size_t grants = 0;
    for (Disk const& disk : disks_)
      for (HeldKey const& held : disk.table.all_keys())
        grants += held.key == request.key && held.holder == request.holder ? 1 : 0;
    if (grants < 2 && !scenario_.replaces_disk) fault_ = "run without a majority";
    if (!ran_[request.key].empty()) fault_ = "two holders run one key";
  }

  // ---- connections ---------------------------------------------------------------------
  void connect_disk(int agent, int disk) {
    agents_[agent].disk_connection[disk] = ++connections_;
    agents_[agent].claims->on_disk_connected(ip_of(disk), connections_);
  }
  void start_agent(int agent) {
    agents_[agent].claims = std::make_unique<ClaimCoordinator<Policy>>("z", "r", "node" + std::to_string(agent));
    for (int disk = 0; disk < kDisks; ++disk)
      connect_disk(agent, disk);
    agents_[agent].claims->set_membership(state_, now_);
    connect_proxy(agent);
    send_actions(agent);
  }
  void connect_proxy(int agent) {
    agents_[agent].proxy_connection = ++connections_;
    agents_[agent].claims->set_proxy_connection(connections_);
    for (KeyOutcomeNotice& notice : agents_[agent].unsent_outcomes)
      post(FromProxy{agent, agents_[agent].proxy_connection, 0, notice});
    agents_[agent].unsent_outcomes.clear();
  }
  // What a proxy does once its agent is gone: nothing that waited for an answer has run.
  void lose_agent(int agent) {
    for (auto& [tag, request] : agents_[agent].requests)
      if (request.stage == Stage::waiting) {
        request.stage = Stage::over;
        agents_[agent].unsent_outcomes.push_back(notice_of(request, KeyOutcome::not_run));
      }
  }
  static KeyOutcomeNotice notice_of(Request const& request, KeyOutcome outcome) {
    KeyOutcomeNotice notice;
    notice.key = request.key;
    notice.holder = request.holder;
    notice.outcome = outcome;
    if (outcome == KeyOutcome::returned) {
      StoredAnswer answer;
      answer.key = request.key;
      answer.holder = request.holder;
      answer.code = 200;
      notice.stored_answer = codec::pack(answer);
    }
    return notice;
  }

  // ---- messages ------------------------------------------------------------------------
  void ask(int agent, std::string const& key, u64 holder) {
    u32 const tag = ++agents_[agent].last_tag;
    Request& request = agents_[agent].requests[tag];
    request.key = key;
    request.holder = holder;
    request.until = now_ + kWorkMs / 1000.0;
    AcquireKeyRequest message;
    message.key = key;
    message.holder = holder;
    message.work_ms = kWorkMs;
    post(FromProxy{agent, agents_[agent].proxy_connection, tag, message});
  }
  // The one place that messages go through.
  void post(Message message) {
    int const number = message_count_++;
    Seconds at = now_ + kLatency;
    for (Mutation const& mutation : mutations_) {
      if (mutation.message != number) continue;
      switch (mutation.change) {
        case Change::lost:
          if (std::holds_alternative<ToDisk>(message) || std::holds_alternative<FromProxy>(message))
            grants_may_stay_ = true;
          return;
        case Change::doubled: queue_.push_back({at, message}); break;
        case Change::late: at += kLate; break;
        case Change::very_late: at += kVeryLate; break;
        case Change::end_agent:
        case Change::end_proxy:
        case Change::end_disk:
        case Change::freeze_agent:
        case Change::freeze_proxy:
        case Change::freeze_disk: process_changes_.push_back({mutation.change, message}); break;
        default: alter(message, mutation.change);
      }
    }
    queue_.push_back({at, std::move(message)});
  }
  static void alter(Message& message, Change change) {
    std::visit([change](auto& x) { alter_one(x, change); }, message);
  }
  static void alter_one(ToDisk& x, Change change) {
    if (change == Change::connection) x.connection += 1000;
    if (auto* claim = std::get_if<SendClaim>(&x.message)) {
      if (change == Change::tag) ++claim->tag;
      if (change == Change::epoch) claim->claim.epoch = Epoch(claim->claim.epoch.v + 1);
      if (change == Change::incarnation) claim->claim.incarnation = Incarnation(99);
    }
    if (auto* fetch = std::get_if<SendFetch>(&x.message); fetch != nullptr && change == Change::tag) ++fetch->tag;
  }
  static void alter_one(FromDisk& x, Change change) {
    if (change == Change::tag) ++x.tag;
    if (change == Change::connection) x.connection += 1000;
    if (auto* response = std::get_if<ClaimResponse>(&x.message)) {
      if (change == Change::epoch) response->epoch = Epoch(response->epoch.v + 1);
      if (change == Change::incarnation) response->incarnation = Incarnation(99);
    }
  }
  static void alter_one(FromProxy& x, Change change) {
    if (change == Change::tag) ++x.tag;
  }
  static void alter_one(ToProxy& x, Change change) {
    if (change == Change::tag) ++x.message.tag;
    if (change == Change::connection) x.message.asker += 1000;
  }
  void change_process(Change change, Message const& message) {
    int const agent = agent_of(message);
    int disk = 0;
    if (auto const* x = std::get_if<ToDisk>(&message)) disk = x->disk;
    if (auto const* x = std::get_if<FromDisk>(&message)) disk = x->disk;
    switch (change) {
      case Change::end_agent:
        lose_agent(agent);
        start_agent(agent);
        break;
      case Change::end_proxy: end_proxy(agent); break;
      case Change::end_disk: end_disk(disk); break;
      case Change::freeze_agent: agents_[agent].agent_frozen_until = now_ + kFrozen; break;
      case Change::freeze_proxy: agents_[agent].proxy_frozen_until = now_ + kFrozen; break;
      case Change::freeze_disk: disks_[disk].frozen_until = now_ + kFrozen; break;
      default: break;
    }
  }
  void end_proxy(int agent) {
    grants_may_stay_ = true;  // whether it ran what it was granted can't be known
    for (auto& [tag, request] : agents_[agent].requests) {
      if (request.stage == Stage::running) unknown_.insert(request.holder);
      request.stage = Stage::over;
    }
    agents_[agent].unsent_outcomes.clear();
    connect_proxy(agent);
  }
  void end_disk(int disk) {
    std::erase_if(queue_, [&](Queued const& queued) {
      return std::holds_alternative<ToDisk>(queued.message) && std::get<ToDisk>(queued.message).disk == disk;
    });
    for (Agent& agent : agents_) {
      agent.disk_connection[disk] = 0;
      agent.claims->on_disk_disconnected(ip_of(disk));
    }
    disks_[disk].back_at = now_ + kDiskRestart;
  }

  void send_actions(int agent) {
    for (ClaimAction& action : agents_[agent].claims->take_actions())
      std::visit([&](auto& x) { send(agent, x); }, action);
  }
  template <class M>
  void send(int agent, M const& message) {
    int const disk = disk_of(message.to);
    u64 const connection = agents_[agent].disk_connection[disk];
    if (connection != 0) post(ToDisk{agent, disk, connection, message});
  }
  void send(int agent, SendCatchUp const&) { agents_[agent].claims->set_membership(state_, now_); }
  void send(int agent, SendAnswer const& x) {
    if (++answers_sent_[{x.asker, x.answer.holder}] > 1) fault_ = "two answers for one request";
    post(ToProxy{agent, x});
  }

  bool is_frozen(Message const& message) const {
    if (auto const* x = std::get_if<ToDisk>(&message))
      return disks_[x->disk].frozen_until > now_ || disks_[x->disk].back_at > now_;
    if (auto const* x = std::get_if<ToProxy>(&message)) return agents_[x->agent].proxy_frozen_until > now_;
    return agents_[agent_of(message)].agent_frozen_until > now_;
  }

  void arrive(ToDisk const& x) {
    std::visit([&](auto const& message) { arrive_at_disk(x, message); }, x.message);
  }
  void arrive_at_disk(ToDisk const& x, SendClaim const& action) {
    Disk& disk = disks_[x.disk];
    ClaimRequest const& claim = action.claim;
    if (claim.incarnation != disk.incarnation) return;
    ClaimResponse response;
    response.incarnation = disk.incarnation;
    if (disk.table.claim(claim, disk.epoch, now_, response) == ClaimVote::granted &&
        !disk.table.confirm_durable(operation_of(claim), claim.holder, true))
      return;
    post(FromDisk{x.agent, x.disk, x.connection, action.tag, response});
  }
  void arrive_at_disk(ToDisk const& x, SendFetch const& action) {
    auto const answer = stored_answers_.find(action.fetch.key);
    FetchAnswerResponse response;
    response.found = answer != stored_answers_.end();
    if (response.found) response.stored_answer = answer->second;
    post(FromDisk{x.agent, x.disk, x.connection, action.tag, response});
  }
  void arrive_at_disk(ToDisk const& x, SendRelease const& action) {
    disks_[x.disk].table.release(action.release, now_);
  }
  void arrive_at_disk(ToDisk const&, SendStore const& action) {
    stored_answers_[codec::unpack<StoredAnswer>(action.answer).key] = action.answer;
  }
  void arrive(FromDisk const& x) {
    ClaimCoordinator<Policy>& claims = *agents_[x.agent].claims;
    if (auto const* response = std::get_if<ClaimResponse>(&x.message))
      claims.on_claim_response(ip_of(x.disk), x.connection, x.tag, *response, now_);
    else
      claims.on_fetch_response(ip_of(x.disk), x.connection, x.tag, std::get<FetchAnswerResponse>(x.message));
    send_actions(x.agent);
  }
  void arrive(FromProxy const& x) {
    ClaimCoordinator<Policy>& claims = *agents_[x.agent].claims;
    if (auto const* request = std::get_if<AcquireKeyRequest>(&x.message))
      claims.acquire(x.asker, x.tag, *request, now_);
    else
      claims.on_outcome(std::get<KeyOutcomeNotice>(x.message));
    send_actions(x.agent);
  }
  void arrive(ToProxy const& x) {
    Agent& agent = agents_[x.agent];
    AcquireKeyResponse const& answer = x.message.answer;
    if (x.message.asker != agent.proxy_connection) return;  // an earlier connection's
    auto const place = agent.requests.find(x.message.tag);
    if (place == agent.requests.end()) return;
    Request& request = place->second;
    if (request.stage != Stage::waiting || request.holder != answer.holder) return;
    request.stage = Stage::over;
    if (answer.result == AcquireResult::repeat) {
      if (codec::unpack<StoredAnswer>(answer.stored_answer).key != request.key) fault_ = "another's answer";
      return;
    }
    if (answer.result != AcquireResult::run) return;
    judge_run(request);
    ran_[request.key].insert(request.holder);
    request.stage = Stage::running;
    request.until = now_ + kRunTime;
  }

  // ---- time ----------------------------------------------------------------------------
  void step(Seconds duration) {
    now_ += duration;
    begin_requests(duration);
    for (int agent = 0; agent < kAgents; ++agent)
      tick_agent(agent);
    for (int disk = 0; disk < kDisks; ++disk)
      if (disks_[disk].back_at > 0 && now_ >= disks_[disk].back_at) {
        disks_[disk].back_at = 0;
        for (int agent = 0; agent < kAgents; ++agent) {
          connect_disk(agent, disk);
          send_actions(agent);
        }
      }
    deliver_messages();
  }
  void begin_requests(Seconds duration) {
    auto const is_due = [&](Seconds at) { return now_ >= at && now_ - duration < at; };
    if (is_due(0.04)) ask(1, "n", 99);
    if (is_due(0.1)) ask(0, "k", 11);
    if (is_due(0.1)) ask(0, "n", 111);
    if (is_due(0.1)) ask(1, "k", 22);
    if (is_due(1.0)) ask(0, "l", 33);
    if (is_due(1.04)) ask(1, "k", 44);
    if (is_due(1.96)) ask(1, "l", 55);
    if (scenario_.replaces_disk && is_due(2.0)) replace_disk();
    if (is_due(2.04)) ask(0, "k", 66);
    if (is_due(4.6)) ask(1, "k", 77);
    if (is_due(4.64)) ask(0, "m", 88);
  }
  void tick_agent(int agent) {
    Agent& ticked = agents_[agent];
    if (ticked.agent_frozen_until <= now_) {
      ticked.claims->tick(now_);
      send_actions(agent);
    }
    if (ticked.proxy_frozen_until > now_) return;
    for (auto& [tag, request] : ticked.requests) {
      if (request.stage == Stage::over || now_ < request.until) continue;
      // Its client's time is over, or its server answered, or said that it had not run.
      KeyOutcome const outcome = request.stage == Stage::waiting ? KeyOutcome::not_run : scenario_.outcome;
      if (outcome == KeyOutcome::not_run) ran_[request.key].erase(request.holder);
      request.stage = Stage::over;
      post(FromProxy{agent, ticked.proxy_connection, 0, notice_of(request, outcome)});
    }
  }
  void deliver_messages() {
    std::vector<Queued> due, later;
    for (Queued& queued : queue_)
      (queued.at <= now_ && !is_frozen(queued.message) ? due : later).push_back(std::move(queued));
    queue_ = std::move(later);
    for (Queued const& queued : due) {
      if (!fault_.empty()) return;
      std::visit([&](auto const& x) { arrive(x); }, queued.message);
      while (!process_changes_.empty()) {
        auto const [change, message] = process_changes_.back();
        process_changes_.pop_back();
        change_process(change, message);
      }
    }
  }
  // The third disk is lost; an empty one comes, copies from the others, and votes. The agents learn of it from
  // whoever refuses their claims.
  void replace_disk() {
    state_.epoch = Epoch(2);
    state_.ballot = Ballot(2);
    state_.membership[2].incarnation = Incarnation(7);
    for (Disk& disk : disks_)
      disk.epoch = Epoch(2);
    KeyTable copied(false);
    for (int disk = 0; disk < 2; ++disk)
      for (HeldKey const& held : disks_[disk].table.all_keys())
        copied.seal(operation_of(held), held.holder, now_);
    copied.set_complete();
    disks_[2].table = std::move(copied);
    disks_[2].incarnation = Incarnation(7);
    grants_may_stay_ = true;  // it copied what may be released meanwhile
  }

  Scenario scenario_;
  std::vector<Mutation> mutations_;
  ReplicatedState state_;
  std::vector<Disk> disks_;
  std::vector<Agent> agents_;
  std::vector<Queued> queue_;
  std::vector<std::pair<Change, Message>> process_changes_;
  std::map<std::string, std::string> stored_answers_;  ///< by key, on all disks
  std::map<std::string, std::set<u64>> ran_;           ///< holders by key
  std::set<u64> unknown_;                              ///< holders whose proxy ended while they ran
  std::map<std::pair<u64, u64>, int> answers_sent_;    ///< by connection and holder
  Seconds now_ = 0;
  u64 connections_ = 0;
  int message_count_ = 0;
  bool grants_may_stay_ = false;
  std::string fault_;
};

}  // namespace dockbend::test
