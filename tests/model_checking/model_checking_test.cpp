#include <criterion/criterion.h>

#include <map>

#include "model_checking/trace_text.hpp"

using namespace dockbend;
using namespace dockbend::model_checking;

namespace {
Case const& sound(char const* model) {
  return *find(model, kNoFault);
}
void no_breach(SearchResult const& o, char const* model) {
  cr_assert(o.breach.empty(), "%s: %s (seed %llu, %zu steps)", model, o.breach.c_str(),
            static_cast<unsigned long long>(o.seed), o.trace.size());
}
}  // namespace

// Every order of events of two rounds by two proposers on three disks.
Test(model_checking, two_rounds_in_every_order) {
  SearchResult const o = sound("registers").search(Bounds{}, SearchLimits{100000, 100});
  no_breach(o, "registers");
  cr_assert(o.complete && o.states > 10000, "%llu states", static_cast<unsigned long long>(o.states));
}

// As far as the bound goes: a member joins or leaves while rounds, losses and claims go on.
Test(model_checking, steps_of_the_roster_breadth_first) {
  SearchResult o =
      sound("registers")
          .search(read_bounds("spares=1,joins=1,leaves=1,restarts=1,tells=1", Bounds{}), SearchLimits{25000, 100});
  no_breach(o, "registers");
  o = sound("ledgers").search(read_bounds("spares=1,joins=2,leaves=1,wipes=1", Bounds{}), SearchLimits{60000, 100});
  no_breach(o, "ledgers");
  o = sound("duties").search(read_bounds("nodes=2,ticks=9,swaps=1,restarts=1,drops=1", Bounds{}),
                             SearchLimits{60000, 100});
  no_breach(o, "duties");
}

Test(model_checking, walks_end_with_all_promises_kept) {
  for (char const* m : {"registers", "ledgers", "duties"}) {
    Case const& c = sound(m);
    no_breach(c.walk(c.bounds, WalkLimits{1, c.walks.count / 2, c.walks.length}), m);
  }
  for (char const* bounds : {"nodes=4", "nodes=5"}) {
    Case const& c = sound("registers");
    no_breach(c.walk(read_bounds(bounds, c.bounds), WalkLimits{1, 150, 200}), bounds);
  }
  for (char const* bounds : {"nodes=3", "nodes=4", "nodes=6"}) {
    Case const& c = sound("ledgers");
    no_breach(c.walk(read_bounds(bounds, c.bounds), WalkLimits{1, 300, 120}), bounds);
  }
}

// Whatever is planted is found, and its trace plays again from its text.
Test(model_checking, finds_every_planted_fault) {
  std::size_t found = 0;
  for (Case const& c : cases()) {
    if (c.fault == kNoFault || c.walks.count == 0) continue;
    SearchResult const o = c.walk(c.bounds, c.walks);
    cr_assert_not(o.breach.empty(), "%s was not found", c.fault.c_str());
    RecordedTrace const r = read_trace(write_trace(RecordedTrace{&c, c.bounds, o.seed, o.breach, o.trace}));
    cr_assert(r.of == &c && r.trace == o.trace && r.seed == o.seed);
    Replay const p = c.play(r.bounds, r.trace);
    cr_assert_str_eq(p.breach.c_str(), o.breach.c_str());
    // The same steps without the fault break nothing.
    Replay const q = sound(c.model.c_str()).play(r.bounds, r.trace);
    cr_assert(q.breach.empty(), "%s: %s", c.fault.c_str(), q.breach.c_str());
    ++found;
  }
  cr_assert_geq(found, 12u);
}

// Five disks, E lost and replaced. Holder 1 has the votes of E's former life, of C, and of D,
// which gave its own after the new disk had copied from it.
Test(model_checking, faults_too_rare_for_walks_are_shown_by_a_trace) {
  std::string const lost =
      "step claim 0 4 0 0\nstep claim 0 2 0 0\nstep wipe 4 0 0 0\nstep ask_in 4 0 0 0\nstep step 0 0 0 0\n";
  std::string const won = "step move 0 0 0 0\nstep move 1 0 0 0\nstep move 2 0 0 0\nstep learn 4 0 0 0\n";
  std::string const copied = "step copy 4 0 0 0\nstep copy 4 1 0 0\nstep copy 4 3 0 0\n";
  std::string const both =
      "step claim 0 3 0 0\nstep view 1 0 0 0\nstep claim 1 0 0 0\nstep claim 1 1 0 0\nstep claim 1 4 0 0\n";
  std::map<std::string, std::string> const steps{
      {"copies-unmoved", lost + won + copied + both},
      {"copies-unsynced", lost + "step move 3 1 0 0\n" + won + copied + "step restart 3 0 0 0\n" + both}};
  for (Case const& c : cases()) {
    if (c.fault == kNoFault || c.walks.count > 0) continue;
    cr_assert_eq(steps.count(c.fault), 1u, "%s is shown nowhere", c.fault.c_str());
    auto const text = [&](std::string const& fault) {
      return "model ledgers\nfault " + fault + "\nplan " + write_bounds(c.bounds) + "\n" + steps.at(c.fault);
    };
    RecordedTrace const bad = read_trace(text(c.fault)), good = read_trace(text(kNoFault));
    Replay const p = bad.of->play(bad.bounds, bad.trace), q = good.of->play(good.bounds, good.trace);
    cr_assert_str_eq(p.breach.c_str(), "two holders have won one key", "%s", c.fault.c_str());
    cr_assert(q.breach.empty(), "%s: %s", c.fault.c_str(), q.breach.c_str());
  }
}

// The breadth-first search ends with a trace that has no step too many.
Test(model_checking, the_first_trace_found_is_the_shortest) {
  Case const& c = *find("registers", "wins-by-one-too-few");
  SearchResult const o = c.search(Bounds{}, SearchLimits{100000, 100});
  cr_assert_not(o.breach.empty());
  for (std::size_t i = 0; i < o.trace.size(); ++i) {
    Trace t = o.trace;
    t.erase(t.begin() + static_cast<long>(i));
    Replay const p = c.play(Bounds{}, t);
    cr_assert(p.breach.empty() || p.settled);
  }
}

Test(model_checking, a_bad_trace_or_plan_is_refused) {
  for (char const* bad :
       {"", "model registers\n", "model nothing\nfault none\n", "model registers\nfault none\nstep fly 0 0 0 0\n",
        "model registers\nfault none\nstep tell 0 0\n", "model registers\nfault none\nstep tell 0 -1 0 0\n",
        "model registers\nfault none\nplan nodes=99\n", "hello\n"})
    cr_assert_throw(read_trace(bad), TraceError, "%s", bad);
  for (char const* bad : {"nodes", "nodes=", "nodes=-3", "nodes=1", "legs=4", "nodes=7 spares=2"})
    cr_assert_throw(read_bounds(bad, Bounds{}), TraceError, "%s", bad);
  // A step that names what is not there is left out.
  RecordedTrace const r =
      read_trace("model registers\nfault none\nplan nodes=3\nstep deliver 0 1 0 17\nstep wipe 99 0 0 0\n");
  cr_assert(r.of->play(r.bounds, r.trace).breach.empty());
}
