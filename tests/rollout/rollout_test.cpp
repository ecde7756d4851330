#include <criterion/criterion.h>

#include <random>

#include "rollout/rollout.hpp"

using namespace dockbend;

namespace {
RolloutOptions plan() {
  RolloutOptions p;
  p.stages = {0.34, 1.0};
  p.enough = 0.67;
  p.stageS = 1;
  p.resendS = 0.5;
  p.giveUpS = 5;
  return p;
}
using Sites = std::map<std::string, std::string>;
Sites sites(int n) {
  Sites m;
  for (int i = 0; i < n; ++i)
    m["e" + std::to_string(i)] = "z" + std::to_string(i % 3);
  return m;
}
}  // namespace

Test(rollout, stages_settle_one_after_the_other_and_commit_once) {
  Rollout r(1, plan(), 0);
  Sites const s = sites(6);
  auto a = r.step(0, s);
  cr_assert_eq(a.send.size(), 3u, "a third, one in each zone");
  std::set<std::string> zones;
  for (auto const& x : a.send)
    zones.insert(s.at(x));
  cr_assert_eq(zones.size(), 3u);
  for (auto const& x : a.send)
    r.heard(x, true);
  auto b = r.step(0.1, s);
  cr_assert_eq(b.send.size(), 3u);
  cr_assert_not(b.commit);
  r.heard(b.send[0], true);
  cr_assert_not(r.step(0.2, s).commit, "4 of 6 are not yet two thirds and a bit");
  r.heard(b.send[1], true);
  cr_assert(r.step(0.2, s).commit);
  cr_assert_not(r.step(0.3, s).commit, "asked for once");
  r.committed(true);
  cr_assert(r.phase() == RolloutPhase::done);
  cr_assert_not(r.step(9, s).drop, "nothing is withdrawn after the commit");
}

Test(rollout, pauses_when_too_few_answer_then_finishes_by_itself) {
  Rollout r(1, plan(), 0);
  Sites const s = sites(3);
  r.step(0, s);
  r.heard("e0", true);
  r.step(0.1, s);
  r.step(1.5, s);
  cr_assert(r.phase() == RolloutPhase::paused);
  cr_assert_not(r.step(2, s).send.empty(), "those that did not answer are asked again");
  r.heard("e1", true);
  cr_assert_eq(r.step(3, s).send.size(), 1u, "the next stage begins when they answer");
  cr_assert(r.phase() == RolloutPhase::holding);
  r.heard("e2", true);
  cr_assert(r.step(3.1, s).commit);
}

Test(rollout, falls_back_by_itself_and_drops_what_is_held) {
  Rollout r(1, plan(), 0);
  Sites const s = sites(3);
  r.step(0, s);
  r.heard("e0", true);
  r.step(1.5, s);
  auto const st = r.step(5.1, s);
  cr_assert(st.drop);
  cr_assert(r.phase() == RolloutPhase::fell_back);
  r.heard("e1", true);
  r.heard("e2", true);
  cr_assert_not(r.step(5.2, s).commit, "a late answer does not wake it");
}

Test(rollout, dead_nodes_leave_the_count) {
  Rollout r(1, plan(), 0);
  r.step(0, sites(9));
  r.heard("e0", true);
  cr_assert_not(r.step(1.2, sites(9)).commit);
  Sites few{{"e0", "z0"}};  // all others are no longer in touch
  cr_assert(r.step(2, few).commit);
  Rollout none(2, plan(), 0);
  cr_assert(none.step(0, {}).commit, "with nobody there, nobody is waited for");
}

Test(rollout, refusal_is_no_answer_and_a_new_life_holds_nothing) {
  Rollout r(1, plan(), 0);
  Sites const s = sites(1);
  r.step(0, s);
  r.heard("e0", false);
  auto const again = r.step(1, s);
  cr_assert_not(again.commit);
  cr_assert(again.send.empty(), "who refused is not asked again in this life");
  r.lost("e0");
  cr_assert_eq(r.step(1.1, s).send.size(), 1u, "its next life is asked anew");
  r.heard("e0", true);
  cr_assert(r.step(1.2, s).commit);
  Rollout q(2, plan(), 0);
  q.heard("e0", true);
  auto const first = q.step(0, s);
  cr_assert_eq(first.send.size(), 1u, "who was not asked does not count");
  cr_assert_not(first.commit);
}

Test(rollout, operator_pauses_resumes_and_aborts) {
  Rollout r(1, plan(), 0);
  Sites const s = sites(1);
  r.step(0, s);
  cr_assert(r.pause());
  r.heard("e0", true);
  cr_assert_not(r.step(0.2, s).commit);
  cr_assert(r.resume(0.3));
  cr_assert_not(r.resume(0.3));
  cr_assert(r.step(0.4, s).commit);
  cr_assert_not(r.abort(), "too late");
  Rollout q(2, plan(), 0);
  q.step(0, s);
  cr_assert(q.abort());
  cr_assert(q.step(0.1, s).drop);
  Rollout o(3, plan(), 0);
  o.step(0, s);
  o.pause();
  o.overtaken();
  cr_assert(o.step(0.1, s).drop);
  cr_assert(is_over(o.phase()));
}

// Nodes come, go, answer late or never, at random: a commit is asked for at most
// once, never after a fallback, and only with enough of the last stage holding.
Test(rollout, random_days_keep_the_invariants) {
  int done = 0, fell = 0;
  for (unsigned seed = 1; seed <= 500; ++seed) {
    std::mt19937 rnd(seed);
    Rollout r(seed, plan(), 0);
    Sites s = sites(2 + static_cast<int>(rnd() % 10));
    bool committed = false;
    std::set<std::string> holds;
    unsigned const deaf = rnd() % 4;
    for (double t = 0; t < 7; t += 0.1) {
      if (rnd() % 10 == 0) s["n" + std::to_string(rnd() % 5)] = "z9";
      if (rnd() % 10 == 0 && s.size() > 1) s.erase(s.begin());
      auto const st = r.step(t, s);
      if (st.commit) {
        cr_assert_not(committed, "seed %u", seed);
        committed = true;
        std::size_t n = 0;
        for (auto const& [x, z] : s)
          n += holds.count(x);
        cr_assert(static_cast<double>(n) >= 0.67 * static_cast<double>(s.size()) - 1e-6, "seed %u: %zu of %zu", seed, n,
                  s.size());
        r.committed(true);
      }
      cr_assert_not(st.drop && committed, "seed %u", seed);
      for (auto const& x : st.send)
        if (rnd() % 4 >= deaf) {
          r.heard(x, true);
          holds.insert(x);
        }
    }
    cr_assert(is_over(r.phase()), "seed %u", seed);
    (committed ? done : fell)++;
  }
  cr_assert(done > 100 && fell > 10, "%d %d", done, fell);
}

Test(rollout, bad_plans_are_named) {
  std::string const ok = "ip=10.0.0.1\nzone=a\nzones.a=r\ninnerPorts=7000,7010\nbounds.ackBoundS=5\n";
  cr_assert_float_eq(parse_settings(ok).rollout.giveUpS, 3, 1e-9);
  for (char const* bad : {"rollout.stages=0.5,0.2,1", "rollout.stages=0.5", "rollout.stages=", "rollout.enough=0",
                          "rollout.enough=1.2", "rollout.giveUpS=-1"}) {
    try {
      parse_settings(ok + bad + "\n");
      cr_assert(false, "%s passed", bad);
    } catch (SettingsError const& e) {
      cr_assert(std::string(bad).find(e.field) == 0, "%s named %s", bad, e.field.c_str());
    }
  }
}

// The leader dies in the middle: what was held expires everywhere, and a second
// leader's rollout of the same change begins anew.
Test(rollout, a_dead_leader_leaves_nothing_held) {
  StagedChanges h;
  h.hold(1, 5);
  h.expire(4);
  cr_assert(h.holds(1));
  h.hold(2, 9);
  h.expire(6);
  cr_assert_not(h.holds(1));
  cr_assert(h.holds(2));
  h.drop(2);
  cr_assert_not(h.holds(2));
}
