#include <criterion/criterion.h>

#include <random>

#include "rollout/rollout.hpp"
#include "rollout/staged_changes.hpp"

using namespace dockbend;

namespace {

RolloutOptions two_stages() {
  RolloutOptions options;
  options.stages = {0.34, 1.0};
  options.enough = 0.67;
  options.stageS = 1;
  options.resendS = 0.5;
  options.giveUpS = 5;
  return options;
}

/// So many proxies, spread over three zones.
ReachableProxies proxies(int count) {
  ReachableProxies made;
  for (int i = 0; i < count; ++i)
    made["e" + std::to_string(i)] = "z" + std::to_string(i % 3);
  return made;
}

}  // namespace

Test(rollout, completes_one_stage_after_the_other_and_commits_once) {
  Rollout rollout(1, two_stages(), 0);
  ReachableProxies const six = proxies(6);
  auto const first = rollout.advance(0, six);
  cr_assert_eq(first.stage_on.size(), 3u, "a third, one in each zone");
  std::set<std::string> zones;
  for (auto const& proxy : first.stage_on)
    zones.insert(six.at(proxy));
  cr_assert_eq(zones.size(), 3u);
  for (auto const& proxy : first.stage_on)
    rollout.on_stage_response(proxy, true);
  auto const second = rollout.advance(0.1, six);
  cr_assert_eq(second.stage_on.size(), 3u);
  cr_assert_not(second.commit);
  rollout.on_stage_response(second.stage_on[0], true);
  cr_assert_not(rollout.advance(0.2, six).commit, "4 of 6 are not yet two thirds and a bit");
  rollout.on_stage_response(second.stage_on[1], true);
  cr_assert(rollout.advance(0.2, six).commit);
  cr_assert_not(rollout.advance(0.3, six).commit, "asked for once");
  rollout.on_commit_result(true);
  cr_assert(rollout.phase() == RolloutPhase::done);
  cr_assert_not(rollout.advance(9, six).withdraw, "nothing is withdrawn after the commit");
}

Test(rollout, pauses_when_too_few_answer_then_finishes_by_itself) {
  Rollout rollout(1, two_stages(), 0);
  ReachableProxies const three = proxies(3);
  rollout.advance(0, three);
  rollout.on_stage_response("e0", true);
  rollout.advance(0.1, three);
  rollout.advance(1.5, three);
  cr_assert(rollout.phase() == RolloutPhase::paused);
  cr_assert_not(rollout.advance(2, three).stage_on.empty(), "those that did not answer are asked again");
  rollout.on_stage_response("e1", true);
  cr_assert_eq(rollout.advance(3, three).stage_on.size(), 1u, "the next stage begins when they answer");
  cr_assert(rollout.phase() == RolloutPhase::holding);
  rollout.on_stage_response("e2", true);
  cr_assert(rollout.advance(3.1, three).commit);
}

Test(rollout, falls_back_by_itself_and_withdraws_what_is_staged) {
  Rollout rollout(1, two_stages(), 0);
  ReachableProxies const three = proxies(3);
  rollout.advance(0, three);
  rollout.on_stage_response("e0", true);
  rollout.advance(1.5, three);
  auto const actions = rollout.advance(5.1, three);
  cr_assert(actions.withdraw);
  cr_assert(rollout.phase() == RolloutPhase::fell_back);
  rollout.on_stage_response("e1", true);
  rollout.on_stage_response("e2", true);
  cr_assert_not(rollout.advance(5.2, three).commit, "a late answer does not revive it");
}

Test(rollout, unreachable_proxies_are_not_waited_for) {
  Rollout rollout(1, two_stages(), 0);
  rollout.advance(0, proxies(9));
  rollout.on_stage_response("e0", true);
  cr_assert_not(rollout.advance(1.2, proxies(9)).commit);
  ReachableProxies const only_one{{"e0", "z0"}};
  cr_assert(rollout.advance(2, only_one).commit);
  Rollout without_proxies(2, two_stages(), 0);
  cr_assert(without_proxies.advance(0, {}).commit, "with nobody there, nobody is waited for");
}

Test(rollout, a_refusal_does_not_count_and_a_new_process_has_nothing_staged) {
  Rollout rollout(1, two_stages(), 0);
  ReachableProxies const one = proxies(1);
  rollout.advance(0, one);
  rollout.on_stage_response("e0", false);
  auto const again = rollout.advance(1, one);
  cr_assert_not(again.commit);
  cr_assert(again.stage_on.empty(), "a proxy that refused is not asked again while its process lives");
  rollout.on_proxy_lost("e0");
  cr_assert_eq(rollout.advance(1.1, one).stage_on.size(), 1u, "its next process is asked anew");
  rollout.on_stage_response("e0", true);
  cr_assert(rollout.advance(1.2, one).commit);
  Rollout other(2, two_stages(), 0);
  other.on_stage_response("e0", true);
  auto const first = other.advance(0, one);
  cr_assert_eq(first.stage_on.size(), 1u, "a proxy that was not asked does not count");
  cr_assert_not(first.commit);
}

Test(rollout, an_operator_pauses_resumes_and_aborts_it) {
  Rollout rollout(1, two_stages(), 0);
  ReachableProxies const one = proxies(1);
  rollout.advance(0, one);
  cr_assert(rollout.pause());
  rollout.on_stage_response("e0", true);
  cr_assert_not(rollout.advance(0.2, one).commit);
  cr_assert(rollout.resume(0.3));
  cr_assert_not(rollout.resume(0.3));
  cr_assert(rollout.advance(0.4, one).commit);
  cr_assert_not(rollout.abort(), "too late");
  Rollout aborted(2, two_stages(), 0);
  aborted.advance(0, one);
  cr_assert(aborted.abort());
  cr_assert(aborted.advance(0.1, one).withdraw);
  Rollout overtaken(3, two_stages(), 0);
  overtaken.advance(0, one);
  overtaken.pause();
  overtaken.on_overtaken();
  cr_assert(overtaken.advance(0.1, one).withdraw);
  cr_assert(is_over(overtaken.phase()));
}

// Proxies come, go, answer late or never, at random: a commit is asked for at most once, never after a fallback, and
// only with enough proxies of the last stage holding the change.
Test(rollout, random_arrivals_losses_and_silence_keep_the_invariants) {
  int committed_runs = 0, fallen_back_runs = 0;
  for (unsigned seed = 1; seed <= 500; ++seed) {
    std::mt19937 random(seed);
    Rollout rollout(seed, two_stages(), 0);
    ReachableProxies reachable = proxies(2 + static_cast<int>(random() % 10));
    bool is_committed = false;
    std::set<std::string> staged;
    unsigned const silent_of_four = random() % 4;
    for (double now = 0; now < 7; now += 0.1) {
      if (random() % 10 == 0) reachable["n" + std::to_string(random() % 5)] = "z9";
      if (random() % 10 == 0 && reachable.size() > 1) reachable.erase(reachable.begin());
      auto const actions = rollout.advance(now, reachable);
      if (actions.commit) {
        cr_assert_not(is_committed, "seed %u", seed);
        is_committed = true;
        std::size_t holding = 0;
        for (auto const& [proxy, zone] : reachable)
          holding += staged.count(proxy);
        cr_assert(static_cast<double>(holding) >= 0.67 * static_cast<double>(reachable.size()) - 1e-6,
                  "seed %u: %zu of %zu", seed, holding, reachable.size());
        rollout.on_commit_result(true);
      }
      cr_assert_not(actions.withdraw && is_committed, "seed %u", seed);
      for (auto const& proxy : actions.stage_on)
        if (random() % 4 >= silent_of_four) {
          rollout.on_stage_response(proxy, true);
          staged.insert(proxy);
        }
    }
    cr_assert(is_over(rollout.phase()), "seed %u", seed);
    (is_committed ? committed_runs : fallen_back_runs)++;
  }
  cr_assert(committed_runs > 100 && fallen_back_runs > 10, "%d %d", committed_runs, fallen_back_runs);
}

Test(rollout, bad_settings_are_named) {
  std::string const good = "ip=10.0.0.1\nzone=a\nzones.a=r\ninnerPorts=7000,7010\nbounds.ackBoundS=5\n";
  cr_assert_float_eq(parse_settings(good).rollout.giveUpS, 3, 1e-9);
  for (char const* bad : {"rollout.stages=0.5,0.2,1", "rollout.stages=0.5", "rollout.stages=", "rollout.enough=0",
                          "rollout.enough=1.2", "rollout.giveUpS=-1"}) {
    try {
      parse_settings(good + bad + "\n");
      cr_assert(false, "%s passed", bad);
    } catch (SettingsError const& e) {
      cr_assert(std::string(bad).find(e.field) == 0, "%s named %s", bad, e.field.c_str());
    }
  }
}

// The leader dies in the middle: what was staged expires everywhere, and a second leader's rollout of the same change
// begins anew.
Test(rollout, a_dead_leader_leaves_nothing_staged) {
  StagedChanges changes;
  changes.stage(1, 5);
  changes.expire(4);
  cr_assert(changes.is_staged(1));
  changes.stage(2, 9);
  changes.expire(6);
  cr_assert_not(changes.is_staged(1));
  cr_assert(changes.is_staged(2));
  changes.withdraw(2);
  cr_assert_not(changes.is_staged(2));
}
