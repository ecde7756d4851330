#include <criterion/criterion.h>

#include <algorithm>
#include <random>

#include "idempotency/claim_simulation.hpp"

using namespace dockbend;
using namespace dockbend::test;

namespace {

std::vector<Scenario> scenarios() {
  std::vector<Scenario> all;
  for (KeyOutcome const outcome : {KeyOutcome::returned, KeyOutcome::not_run, KeyOutcome::lost})
    for (bool const replaces_disk : {false, true})
      all.push_back({outcome, replaces_disk});
  return all;
}

std::string name_of(Scenario const& scenario, Mutation const& mutation) {
  return "outcome " + std::to_string(static_cast<int>(scenario.outcome)) +
         (scenario.replaces_disk ? ", disk replaced" : "") + ", message " + std::to_string(mutation.message) +
         ", change " + std::to_string(static_cast<int>(mutation.change));
}

// Applies every change to every message of every scenario in turn; the first that goes wrong.
template <class Policy>
std::string first_fault(int& runs) {
  for (Scenario const& scenario : scenarios()) {
    ClaimSimulation<Policy> unchanged(scenario, {});
    if (std::string const fault = unchanged.run(); !fault.empty()) return "unchanged: " + fault;
    auto const run = [&](std::vector<Mutation> const& mutations) -> std::string {
      ++runs;
      std::string const fault = ClaimSimulation<Policy>(scenario, mutations).run();
      return fault.empty() ? "" : name_of(scenario, mutations[0]) + ": " + fault;
    };
    for (int message = 0; message < unchanged.message_count(); ++message) {
      for (int change = 1; change < kChangeCount; ++change)
        if (std::string const fault = run({{message, static_cast<Change>(change)}}); !fault.empty()) return fault;
      // It comes to the next run of the agent, whose tags begin anew.
      for (Change const change : {Change::late, Change::very_late})
        if (std::string const fault = run({{message, change}, {message + 1, Change::end_agent}}); !fault.empty())
          return fault;
    }
  }
  return "";
}

struct ChecksTagOnly : StrictClaimPolicy {  // a response goes to whoever has its tag now
  static bool same_connection(u64, u64) { return true; }
  static bool same_holder(u64, u64) { return true; }
};
struct CountsVotesTwice : StrictClaimPolicy {  // one disk's vote, received twice, counts as two
  static std::string voter(std::string const& ip) {
    static int count = 0;
    return ip + std::to_string(++count);
  }
};
struct ReleasesAfterLostAnswer : StrictClaimPolicy {  // a request whose answer is lost is taken for one that never ran
  static bool has_not_run(KeyOutcome outcome) { return outcome != KeyOutcome::returned; }
};
struct ReleasesRunningRequests : StrictClaimPolicy {  // those of a proxy that is not connected
  static bool may_release(bool) { return true; }
};

}  // namespace

Test(claim_coordinator, any_single_message_fault_lets_no_key_run_twice_and_leaves_nothing_behind) {
  int runs = 0;
  std::string const fault = first_fault<StrictClaimPolicy>(runs);
  cr_assert(fault.empty(), "%s", fault.c_str());
  cr_assert_gt(runs, 3000);
}

Test(claim_coordinator, planted_faults_are_found) {
  int runs = 0;
  cr_assert_not(first_fault<ChecksTagOnly>(runs).empty());
  cr_assert_not(first_fault<CountsVotesTwice>(runs).empty());
  cr_assert_not(first_fault<ReleasesAfterLostAnswer>(runs).empty());
  cr_assert_not(first_fault<ReleasesRunningRequests>(runs).empty());
}

Test(claim_coordinator, several_message_faults_let_no_key_run_twice) {
  for (unsigned seed = 1; seed <= 2000; ++seed) {
    std::mt19937 random(seed);
    std::vector<Scenario> const all = scenarios();
    std::vector<Mutation> mutations;
    for (unsigned count = 2 + random() % 4; count > 0; --count)
      mutations.push_back({static_cast<int>(random() % 90), static_cast<Change>(1 + random() % (kChangeCount - 1))});
    using Simulation = ClaimSimulation<StrictClaimPolicy>;
    std::string const fault = Simulation(all[random() % all.size()], mutations).run();
    // Several faults at once may leave a grant behind, but nothing worse.
    cr_assert(fault.empty() || fault == Simulation::kGrantLeftBehind, "seed %u: %s", seed, fault.c_str());
  }
}

namespace {
u64 constexpr kProxyConnection = 7;

ReplicatedState state_of_one_disk() {
  ReplicatedState state;
  Member& member = state.membership.emplace_back();
  member.ip = "10.0.0.1";
  member.zone = "z";
  member.region = "r";
  member.incarnation = Incarnation(1);
  return state;
}

/// To the proxy and to the state's first disk.
void connect(ClaimCoordinator<>& claims, ReplicatedState const& state, bool is_relayed = false) {
  claims.set_membership(state, 1);
  claims.set_proxy_connection(kProxyConnection);
  claims.on_disk_connected(state.membership.front().ip, 1, is_relayed);
}
}  // namespace

Test(claim_coordinator, body_with_home_regions_is_never_sent_through_a_relay) {
  for (bool const is_relayed : {false, true})
    for (bool const has_homes : {false, true}) {
      ClaimCoordinator<> claims("z", "r", "node");
      connect(claims, state_of_one_disk(), is_relayed);
      KeyOutcomeNotice notice;
      notice.key = "k";
      notice.holder = 5;
      notice.outcome = KeyOutcome::returned;
      notice.stored_answer = "body";
      if (has_homes) notice.homes.push_back("r");

      claims.on_outcome(notice);

      auto const actions = claims.take_actions();
      std::vector<std::string> stored;
      for (ClaimAction const& action : actions)
        if (auto const* const store = std::get_if<SendStore>(&action)) stored.push_back(store->answer);
      bool const is_body_sent = std::find(stored.begin(), stored.end(), notice.stored_answer) != stored.end();
      cr_assert_eq(is_body_sent, !(is_relayed && has_homes), "relayed %d, homes %d", is_relayed, has_homes);
      cr_assert_eq(stored.size(), 1u);
      if (is_body_sent) continue;
      StoredAnswer const ended = codec::unpack<StoredAnswer>(stored[0]);
      cr_assert(ended.lost && ended.body.empty() && ended.headers.empty(), "only that the request has ended");
    }
}

namespace {
u32 tag_of_claim(std::vector<ClaimAction> const& actions) {
  for (ClaimAction const& action : actions)
    if (auto const* const claim = std::get_if<SendClaim>(&action)) return claim->tag;
  cr_assert_fail("no claim was sent");
  return 0;
}

/// How the request of a proxy was answered; unset: not yet.
std::optional<AcquireResult> result_of(std::vector<ClaimAction> const& actions) {
  for (ClaimAction const& action : actions)
    if (auto const* const answer = std::get_if<SendAnswer>(&action)) return answer->answer.result;
  return std::nullopt;
}
}  // namespace

// A repeat gets 409 for a key that is answered, while the disk that has the answer is slow to look it up.
Test(claim_coordinator, stored_answer_that_is_found_late_is_repeated) {
  ClaimCoordinator<> claims("z", "r", "node");
  ReplicatedState const state = state_of_one_disk();
  Member const& member = state.membership.front();
  connect(claims, state);
  claims.set_round_trip(member.ip, 0.001);
  AcquireKeyRequest request;
  request.key = "k";
  request.holder = 5;
  request.work_ms = 4000;
  claims.acquire(kProxyConnection, 1, request, 1);
  u32 const tag = tag_of_claim(claims.take_actions());
  ClaimResponse held;
  held.vote = ClaimVote::held;
  held.holder = request.holder;
  held.epoch = state.epoch;
  held.incarnation = member.incarnation;
  held.in_progress = true;
  claims.on_claim_response(member.ip, 1, tag, held, 1.01);
  claims.tick(1.3);
  StoredAnswer stored;
  stored.key = request.key;
  FetchAnswerResponse found;
  found.found = true;
  found.stored_answer = codec::pack(stored);
  claims.on_fetch_response(member.ip, 1, tag, found);
  cr_assert(result_of(claims.take_actions()) == AcquireResult::repeat);
}

namespace {
u64 constexpr kRepeat = 5, kLapsed = 10, kBinding = 20;

ReplicatedState state_of_disks(int count) {
  ReplicatedState state;
  for (int number = 1; number <= count; ++number) {
    Member& member = state.membership.emplace_back();
    member.ip = "10.0.0." + std::to_string(number);
    member.zone = "z";
    member.region = "r";
    member.incarnation = Incarnation(static_cast<u64>(number));
  }
  return state;
}

/// A repeat of a key, asked of three disks; each is addressed by its place in the membership.
struct RepeatAtThreeDisks {
  RepeatAtThreeDisks() : state(state_of_disks(3)), claims("z", "r", "node") {
    connect(claims, state);
    for (std::size_t disk = 1; disk < state.membership.size(); ++disk)
      claims.on_disk_connected(state.membership[disk].ip, 1);
    AcquireKeyRequest request;
    request.key = "k";
    request.holder = kRepeat;
    request.work_ms = 4000;
    claims.acquire(kProxyConnection, 1, request, 1);
    tag = tag_of_claim(claims.take_actions());
  }

  /// The disk's vote: the key is this holder's.
  void vote(std::size_t disk, u64 held_by) {
    ClaimResponse held;
    held.vote = ClaimVote::held;
    held.holder = kRepeat;
    held.held_by = held_by;
    held.epoch = state.epoch;
    held.incarnation = state.membership[disk].incarnation;
    claims.on_claim_response(state.membership[disk].ip, 1, tag, held, 1.01);
  }

  /// The disk has the answer of this holder.
  void answer(std::size_t disk, u64 holder) {
    StoredAnswer stored;
    stored.key = "k";
    stored.holder = holder;
    FetchAnswerResponse found;
    found.found = true;
    found.stored_answer = codec::pack(stored);
    claims.on_fetch_response(state.membership[disk].ip, 1, tag, found);
  }

  /// Whose answer the proxy was given; 0: none yet.
  u64 repeated() {
    for (ClaimAction const& action : claims.take_actions())
      if (auto const* const sent = std::get_if<SendAnswer>(&action))
        if (sent->answer.result == AcquireResult::repeat)
          return codec::unpack<StoredAnswer>(sent->answer.stored_answer).holder;
    return 0;
  }

  ReplicatedState state;
  ClaimCoordinator<> claims;
  u32 tag = 0;
};
}  // namespace

// Failure: a key was used again after it had lapsed, and repeats got the answer of the operation before.
Test(claim_coordinator, answer_of_a_lapsed_operation_is_not_repeated_to_a_later_one_with_its_key) {
  RepeatAtThreeDisks repeat;
  repeat.vote(0, kBinding);
  repeat.vote(1, kBinding);
  repeat.answer(2, kLapsed);
  cr_assert_eq(repeat.repeated(), 0u);
  cr_assert_eq(repeat.claims.unmatched().of(UnmatchedReason::other_holder), 1u);
  repeat.answer(1, kBinding);
  cr_assert_eq(repeat.repeated(), kBinding);
}

// A disk that was started again forgets a lapsed key later than the others: who binds the key is decided by a majority.
Test(claim_coordinator, answer_waits_for_further_votes_where_disks_name_different_holders) {
  RepeatAtThreeDisks repeat;
  repeat.vote(0, kLapsed);
  repeat.vote(1, kBinding);
  repeat.answer(0, kLapsed);
  repeat.answer(1, kBinding);
  cr_assert_eq(repeat.repeated(), 0u);
  repeat.vote(2, kBinding);
  cr_assert_eq(repeat.repeated(), kBinding);
}

// Disks of the release before don't state who holds a key.
Test(claim_coordinator, answer_is_repeated_where_no_disk_names_the_holder) {
  RepeatAtThreeDisks repeat;
  repeat.vote(0, 0);
  repeat.vote(1, 0);
  repeat.answer(1, kBinding);
  cr_assert_eq(repeat.repeated(), kBinding);
}

namespace {
char constexpr kHome[] = "far";
u64 constexpr kRunner = 30;
u32 constexpr kWorkMs = 12000;

/// Four disks, of which the last two stand in the home region.
struct HomesElsewhere {
  HomesElsewhere() : state(state_of_disks(4)), claims("z", "r", "node") {
    state.membership[2].region = state.membership[3].region = kHome;
    connect(claims, state);
    for (std::size_t disk = 1; disk < state.membership.size(); ++disk)
      connect_disk(disk);
  }

  std::string const& ip(std::size_t disk) const { return state.membership[disk].ip; }
  void connect_disk(std::size_t disk) { claims.on_disk_connected(ip(disk), 1); }
  void lose_home() {
    claims.on_disk_disconnected(ip(2));
    claims.on_disk_disconnected(ip(3));
  }

  /// A request of that holder; its claim's tag.
  u32 acquire(u64 holder, std::vector<std::string> homes = {kHome}) {
    claims.take_actions();
    AcquireKeyRequest request;
    request.key = "k";
    request.holder = holder;
    request.work_ms = kWorkMs;
    request.homes = std::move(homes);
    claims.acquire(kProxyConnection, static_cast<u32>(holder), request, now);
    return tag_of_claim(claims.take_actions());
  }

  /// The disks refuse the repeat's claim: the first run is in its time.
  void refuse(u32 tag, u64 holder, std::vector<std::size_t> const& disks) {
    for (std::size_t const disk : disks) {
      ClaimResponse held;
      held.vote = ClaimVote::held;
      held.holder = holder;
      held.held_by = kRunner;
      held.in_progress = true;
      held.epoch = state.epoch;
      held.incarnation = state.membership[disk].incarnation;
      claims.on_claim_response(ip(disk), 1, tag, held, now);
    }
  }

  /// The disk has no answer, or that of the first run.
  void say(std::size_t disk, u32 tag, bool has_answer) {
    FetchAnswerResponse response;
    response.found = has_answer;
    if (has_answer) response.stored_answer = encoded_answer();
    claims.on_fetch_response(ip(disk), 1, tag, response);
  }

  /// The first run was answered at this agent.
  void end_first_run() {
    KeyOutcomeNotice notice;
    notice.key = "k";
    notice.holder = kRunner;
    notice.homes = {kHome};
    notice.outcome = KeyOutcome::returned;
    notice.stored_answer = encoded_answer();
    claims.on_outcome(notice);
  }

  static std::string encoded_answer() {
    StoredAnswer answer;
    answer.key = "k";
    answer.holder = kRunner;
    answer.body = "first";
    answer.homes = {kHome};
    return codec::pack(answer);
  }

  ReplicatedState state;
  ClaimCoordinator<> claims;
  Seconds now = 1;
};

/// Where answers were sent to, with a body or without one.
std::vector<std::string> stores_in(std::vector<ClaimAction> const& actions, bool has_body) {
  std::vector<std::string> disks;
  for (ClaimAction const& action : actions)
    if (auto const* const store = std::get_if<SendStore>(&action))
      if (codec::unpack<StoredAnswer>(store->answer).body.empty() != has_body) disks.push_back(store->to);
  return disks;
}
}  // namespace

// Failure: with all disks of its home region away an answer was dropped, and its key's repeats got 409, also
// afterwards.
Test(claim_coordinator, answer_whose_home_disks_are_away_is_repeated_here_and_stored_once_one_is_back) {
  HomesElsewhere trial;
  trial.lose_home();
  trial.claims.take_actions();
  trial.end_first_run();
  std::vector<ClaimAction> actions = trial.claims.take_actions();
  cr_assert(stores_in(actions, true).empty(), "its body goes to no other region");
  cr_assert_eq(stores_in(actions, false).size(), 2u, "the disks that can be reached learn that the request has ended");

  u32 const tag = trial.acquire(kRepeat);
  trial.refuse(tag, kRepeat, {0, 1});
  cr_assert(result_of(trial.claims.take_actions()) == AcquireResult::repeat);

  trial.connect_disk(3);
  std::vector<std::string> const stored = stores_in(trial.claims.take_actions(), true);
  cr_assert(stored.size() == 1 && stored[0] == trial.ip(3));
  trial.connect_disk(2);
  cr_assert(stores_in(trial.claims.take_actions(), true).empty(), "once");
}

// Failure: a repeat got 409, which says that its key is at work, where the disks that may have its answer were away.
Test(claim_coordinator, repeat_is_not_told_that_its_key_is_at_work_while_home_disks_are_away) {
  HomesElsewhere trial;
  trial.lose_home();
  u32 const tag = trial.acquire(kRepeat);
  trial.refuse(tag, kRepeat, {0, 1});
  for (std::size_t const disk : {0, 1})
    trial.say(disk, tag, false);
  cr_assert(result_of(trial.claims.take_actions()) == AcquireResult::unavailable);
}

Test(claim_coordinator, repeat_is_told_that_its_key_is_at_work_once_all_disks_have_no_answer) {
  HomesElsewhere trial;
  u32 const tag = trial.acquire(kRepeat);
  trial.refuse(tag, kRepeat, {0, 1, 2});
  for (std::size_t const disk : {0, 1, 2})
    trial.say(disk, tag, false);
  cr_assert_not(result_of(trial.claims.take_actions()).has_value(), "one may still have it");
  trial.claims.tick(trial.now + 0.5);
  cr_assert(result_of(trial.claims.take_actions()) == AcquireResult::at_work, "it can't be the only one");
}

// Failure: once its route's homes were others, an answer was looked for in these alone, and its repeats got 409.
Test(claim_coordinator, answer_is_found_in_the_homes_that_its_route_had_when_it_was_stored) {
  HomesElsewhere trial;
  u32 const tag = trial.acquire(kRepeat, {"r"});
  trial.refuse(tag, kRepeat, {0, 1, 2});
  trial.say(0, tag, false);
  trial.say(1, tag, false);
  trial.say(3, tag, true);
  cr_assert(result_of(trial.claims.take_actions()) == AcquireResult::repeat);
}

// One disk's vote can't say that a key is at work: its holder may be one that lost to another and has yet to release
// it.
Test(claim_coordinator, undecided_claim_is_not_told_to_be_at_work) {
  HomesElsewhere trial;
  u32 const tag = trial.acquire(kRepeat);
  trial.refuse(tag, kRepeat, {0});
  trial.claims.tick(trial.now + 3);
  cr_assert(result_of(trial.claims.take_actions()) == AcquireResult::unavailable);
}
