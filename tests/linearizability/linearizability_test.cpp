#include <criterion/criterion.h>

#include <random>

#include "support/control_model.hpp"

using namespace dockbend;
using namespace dockbend::test;
using namespace dockbend::linearizability;

namespace {
using Call = RecordedOperation<Control::Op>;

Control::Op amend(std::string key, u64 gen, std::string body, bool ok = true) {
  Control::Op o;
  o.what = Control::What::amend;
  o.wants.push_back({std::move(key), {gen, std::move(body)}, ""});
  o.ok = ok;
  return o;
}
Control::Op order(bool on) {
  Control::Op o;
  o.what = Control::What::evacuate;
  o.zone = "z";
  o.on = on;
  return o;
}
Control::Op start(u64 id, std::string body, bool ok = true) {
  Control::Op o;
  o.what = Control::What::start;
  o.pass = id;
  o.body = std::move(body);
  o.ok = ok;
  return o;
}
Control::Op read(u64 gen, std::string body, bool out = false) {
  Control::Op o;
  if (gen > 0) o.seen.items["r"] = {gen, std::move(body)};
  if (out) o.seen.zones.insert("z");
  return o;
}
CheckVerdict found(std::vector<Call> const& h) {
  return check<Control>(h, {}).finding;
}
bool good(std::vector<Call> const& h) {
  return found(h) == CheckVerdict::linearizable;
}
}  // namespace

// Histories that differ in one answer or one moment, one of which can't have been.
Test(linearizability, planted_faults_are_found) {
  Call const a{amend("r", 1, "a"), 1, 2, true}, b{amend("r", 2, "b"), 3, 4, true};
  cr_assert(good({a, b, {read(2, "b"), 5, 6, true}}));
  cr_assert_not(good({a, b, {read(1, "a"), 5, 6, true}}), "a stale read");
  cr_assert_not(good({a, b, {read(0, ""), 5, 6, true}}), "a lost update");
  cr_assert(good({a, {b.op, 3, 9, true}, {read(1, "a"), 5, 6, true}}), "the change is still under way");
  cr_assert_not(good({a, {b.op, 3, 9, true}, {read(2, "b"), 5, 6, true}, {read(1, "a"), 7, 8, true}}), "it goes back");

  Call const c{amend("r", 1, "c"), 3, 4, true}, no{amend("r", 1, "c", false), 3, 4, true};
  cr_assert_not(good({a, c}), "two confirmed under one number");
  cr_assert(good({a, no}));
  cr_assert(good({a, {a.op, 3, 4, true}}), "sent again");
  cr_assert_not(good({a, {amend("r", 1, "a", false), 3, 4, true}}), "a repeat is refused");
  cr_assert(good({a, b, {a.op, 5, 6, true}, {read(2, "b"), 7, 8, true}}), "an older one changes nothing");
  cr_assert_not(good({no}), "refused, and nothing in its way");
  cr_assert_not(good({{start(7, "x"), 1, 2, true}, {start(7, "y"), 3, 4, true}}), "two passes under one number");
  cr_assert(good({{start(7, "x"), 1, 2, true}, {start(7, "y", false), 3, 4, true}}));
}

// A call of which nobody knows the outcome has its effect late, or never, and once.
Test(linearizability, unknown_outcomes_may_come_late_or_never) {
  Call const a{amend("r", 1, "a"), 1};
  cr_assert(good({a, {read(0, ""), 5, 6, true}, {read(1, "a"), 7, 8, true}}), "late");
  cr_assert(good({a, {read(0, ""), 5, 6, true}}), "never");
  cr_assert_not(good({a, {read(1, "a"), 5, 6, true}, {read(0, ""), 7, 8, true}}), "it does not go back");
  cr_assert_not(good({{a.op, 4}, {read(1, "a"), 1, 2, true}}), "nothing has its effect before it is sent");

  Call const on{order(true), 1, kNever}, off{order(false), 3, 4, true};
  cr_assert(good({on, {read(0, "", true), 2, 2, true}, off, {read(0, ""), 5, 6, true}}));
  cr_assert_not(good({on, {read(0, "", true), 2, 2, true}, off, {read(0, "", true), 5, 6, true}}),
                "one order, two effects");
  cr_assert(good({on, off, {read(0, "", true), 5, 6, true}}), "once, late");
  cr_assert_not(good({{on.op, 1, 4}, {on.op, 2, 3, true}, {off.op, 5, 6, true}, {read(0, "", true), 7, 8, true}}),
                "its time is over");
}

// Eight callers, made up from one true order: found good whatever overlaps; one answer
// spoiled: found broken.
Test(linearizability, eight_callers_of_a_true_order_are_good_and_one_spoiled_answer_is_not) {
  std::size_t spoiled = 0, steps = 0;
  for (unsigned seed = 1; seed <= 24; ++seed) {
    std::mt19937 rnd(seed);
    std::vector<Call> h;
    Control::State st;
    std::vector<Moment> free(8, 0);
    for (int i = 0; i < 160; ++i) {
      Moment const at = 10 * static_cast<Moment>(i) + 100;
      std::size_t const who = rnd() % 8;
      if (free[who] >= at) continue;
      Control::Op o = rnd() % 3 == 0 ? read(0, "")
                      : rnd() % 4 == 0
                          ? order(rnd() % 2 == 0)
                          : amend("r" + std::to_string(rnd() % 2), 1 + rnd() % 40, "b" + std::to_string(rnd() % 2));
      bool const known = o.what == Control::What::read || rnd() % 5 != 0;
      if (o.what == Control::What::read)
        o.seen = st;
      else if (o.what == Control::What::amend)
        o.ok = Control::proper(st, o);
      if (known || rnd() % 2 == 0) Control::next(st, o, known);
      Moment const from = std::max(free[who] + 1, at - std::min<Moment>(at, rnd() % 60)), to = at + rnd() % 60;
      free[who] = to;
      h.push_back({o, from, known ? to : kNever, known});
    }
    auto const r = check<Control>(h, {});
    cr_assert(r.finding == CheckVerdict::linearizable, "seed %u: %zu of %zu placed", seed, r.placed, h.size());
    steps += r.steps;
    for (int t = 0; t < 5; ++t) {
      std::vector<Call> bad = h;
      Call& x = bad[rnd() % bad.size()];
      if (x.op.what != Control::What::read) continue;
      // A moment too old, or one that never was.
      if (t % 2 == 0)
        x.op.seen.items["r9"] = {1, "never"};
      else if (x.op.seen.items.empty())
        continue;
      else
        x.op.seen.items.begin()->second.body += "x";
      cr_assert(found(bad) == CheckVerdict::broken, "seed %u", seed);
      ++spoiled;
    }
  }
  cr_assert_gt(spoiled, 25u);
  cr_assert_lt(steps / 24, 20000u, "%zu", steps / 24);
}
