#include <criterion/criterion.h>

#include "support/simulated_day.hpp"

using namespace dockbend;
using namespace dockbend::test;
using namespace dockbend::provenance;

namespace {
std::string route(std::string const& gen, std::string const& service, std::string const& more = "",
                  std::string const& prefix = "/p/") {
  return R"({"upsert":{"sockets":[{"host":"a","policy":[{"name":"r","kind":"keyed","generation":")" + gen +
         R"(","selector":{"pathPrefix":")" + prefix + R"("},"actuation":{"service":")" + service +
         R"(","deadlineS":1.0}}]}])" + more + "}}";
}
std::string pool(std::string const& gen, std::string const& name = "s") {
  return R"(,"pools":[{"name":")" + name + R"(","generation":")" + gen + R"("}])";
}
Ruling amend(State& s, std::string const& body) {
  return Amend(read_amend(body), &s).apply(s).ruling;
}
std::string drop(std::string const& what, std::string const& gen) {
  return R"({"remove":{")" + what + R"(":[{"name":")" + what.substr(0, 1) + R"(","generation":")" + gen + R"("}]}})";
}
}  // namespace

// Whatever came between, a change that was taken is taken again, and changes nothing.
Test(orders, what_was_taken_is_never_refused_later) {
  std::string const first = route("00000005", "s", pool("00000005"));
  for (auto const& between : std::vector<std::vector<std::string>>{
           {},
           {route("00000007", "s")},
           {drop("services", "00000006")},
           {drop("routes", "00000006")},
           {drop("routes", "00000006"), drop("services", "00000006")},
           {drop("services", "00000006"), route("00000009", "t", pool("00000009", "t"))}}) {
    State s;
    cr_assert(amend(s, first) == Ruling::taken);
    for (std::string const& b : between)
      cr_assert(amend(s, b) == Ruling::taken);
    std::string const was = codec::pack(s);
    cr_assert(amend(s, first) == Ruling::taken);
    for (std::string const& b : between)
      cr_assert(amend(s, b) == Ruling::taken);
    cr_assert(codec::pack(s) == was, "a repeat changes nothing");
  }
}

// One item that clashes or names nothing known: no part of the call comes into force.
Test(orders, a_call_is_taken_whole_or_not_at_all) {
  State s;
  cr_assert(amend(s, route("00000005", "s", pool("00000005"))) == Ruling::taken);
  std::string const was = codec::pack(s);
  cr_assert(amend(s, route("00000005", "s", pool("00000009", "new"), "/q/")) == Ruling::clash);
  cr_assert(amend(s, route("00000009", "never", pool("00000009", "new"))) == Ruling::invalid);
  cr_assert(amend(s, route("00000004", "never", pool("00000009", "new"))) == Ruling::invalid,
            "older, and nobody ever set it");
  cr_assert(codec::pack(s) == was);
  cr_assert(amend(s, drop("services", "00000006")) == Ruling::taken);
  cr_assert(amend(s, route("00000007", "s")) == Ruling::invalid, "a new route to a service that was dropped");
}

Test(orders, one_body_however_it_is_spelled) {
  State s;
  cr_assert(amend(s, R"({"upsert":{"pools":[{"name":"s","connLimit":10,"coldS":1.0,"generation":"0000000c"}]}})") ==
            Ruling::taken);
  std::string const was = codec::pack(s);
  cr_assert(amend(s, R"({ "upsert": {"pools": [{"generation":"0000000C","coldS":1,"name":"s","connLimit":10.0}]}})") ==
            Ruling::taken);
  cr_assert(codec::pack(s) == was, "the first spelling stands");
  cr_assert(amend(s, R"({"upsert":{"pools":[{"name":"s","connLimit":11,"coldS":1.0,"generation":"0000000c"}]}})") ==
            Ruling::clash);
  cr_assert(amend(s, R"({"upsert":{"pools":[{"name":"s","connLimit":10,"generation":"0000000c"}]}})") == Ruling::clash);
}

// Its round was lost and had stood after all; another's word came after it: that one stays.
Test(orders, an_evacuation_has_its_effect_once) {
  State s;
  Evacuate const on("z", true, &s);
  cr_assert(on.apply(s).changed);
  Outcome const again = on.apply(s);
  cr_assert(again.ruling == Ruling::taken && !again.changed);
  cr_assert(Evacuate("z", false, &s).apply(s).changed);
  cr_assert(on.apply(s).ruling == Ruling::unsettled, "late");
  cr_assert_not(s.evacs[0].on);
  cr_assert(Evacuate("z", true, &s).apply(s).changed, "a new order");
  cr_assert(Evacuate("q", true, &s, false).apply(s).ruling == Ruling::unknown);
  cr_assert(Evacuate("z", true, &s, false).apply(s).ruling == Ruling::taken,
            "it was taken once, whatever our settings say");
}

// A call waits at a node that is cut off; another node refuses it, and then what stood in
// its way is overtaken: it does not come into force after all.
Test(orders, what_was_refused_comes_into_force_no_more) {
  State s;
  cr_assert(amend(s, route("00000005", "s", pool("00000005"))) == Ruling::taken);
  State const early = s;
  auto const late = [&](std::string const& body) { return Amend(read_amend(body), &early).apply(s).ruling; };
  std::string const clashes = route("00000006", "s", pool("00000009", "new"), "/q/"),
                    no_service = route("00000009", "t");
  cr_assert(amend(s, route("00000006", "s")) == Ruling::taken);
  cr_assert(late(clashes) == Ruling::clash);
  cr_assert(late(no_service) == Ruling::invalid);
  cr_assert(amend(s, route("00000007", "s", pool("00000007", "t"))) == Ruling::taken);
  std::string const was = codec::pack(s);
  cr_assert(late(clashes) == Ruling::unsettled);
  cr_assert(late(no_service) == Ruling::unsettled);
  cr_assert(codec::pack(s) == was);
  cr_assert(late(route("00000008", "s")) == Ruling::taken, "never refused anywhere: a race costs it nothing");
  cr_assert(amend(s, no_service) == Ruling::taken, "sent anew");
}

Test(orders, passes_have_one_order_a_number_and_commands_are_heard_again) {
  State s;
  Order o;
  o.id = "7";
  o.patienceS = 1;
  for (char const* n : {"a", "b"}) {
    o.units.emplace_back();
    o.units.back().name = n;
  }
  State const none;
  cr_assert(StartPass(o, &s).apply(s).changed);
  Outcome const again = StartPass(o, &none).apply(s);
  cr_assert(again.ruling == Ruling::taken && !again.changed && again.id == 7);
  Order other = o;
  other.headroom = 0.5;
  cr_assert(StartPass(other, &s).apply(s).ruling == Ruling::clash);
  CommandPass const pause(7, PassOrder::pause, "", &s), early(7, PassOrder::abort, "", &none),
      back(7, PassOrder::take_back, "a", &s);
  cr_assert(pause.apply(s).changed);
  CommandPass const resume(7, PassOrder::resume, "", &s);
  cr_assert(resume.apply(s).changed);
  cr_assert(pause.apply(s).ruling == Ruling::unsettled, "a late one");
  cr_assert(early.apply(s).ruling == Ruling::unsettled, "refused elsewhere before there was such a pass");
  cr_assert(s.passes[0].state == PassState::running);
  cr_assert(back.apply(s).changed);
  cr_assert(CommandPass(7, PassOrder::take_back, "b", &s).apply(s).changed, "the last: the pass is over");
  std::string const was = codec::pack(s);
  for (CommandPass const& c : {pause, resume, back})
    cr_assert(c.apply(s).ruling == Ruling::taken, "acknowledged before");
  cr_assert(CommandPass(7, PassOrder::abort, "", &s).apply(s).ruling == Ruling::clash, "nobody ever acknowledged it");
  cr_assert(CommandPass(8, PassOrder::abort, "", &s).apply(s).ruling == Ruling::unknown);
  // What stood in the way of this one when another node refused it is over since.
  other.id = "9";
  other.units.resize(1);
  State in_the_way;
  cr_assert(StartPass(o, &in_the_way).apply(in_the_way).changed);
  cr_assert(StartPass(other, &in_the_way).apply(s).ruling == Ruling::unsettled);
  cr_assert(codec::pack(s) == was);
  cr_assert(StartPass(other, &s).apply(s).changed);
}

Test(orders, a_duty_is_handed_over_once_the_register_says_so) {
  State s;
  HandOver const o{"usage", "b"};
  cr_assert(o.apply(s).ruling == Ruling::unsettled, "nobody has it yet");
  s.duties.emplace_back();
  s.duties[0].duty = "usage";
  s.duties[0].holder = "a";
  cr_assert(o.apply(s).ruling == Ruling::unsettled);
  s.duties[0].next = "b";
  cr_assert(o.apply(s).ruling == Ruling::taken);
  s.duties[0].holder = "b";
  s.duties[0].next = "a";
  cr_assert(o.apply(s).ruling == Ruling::unsettled, "it goes back already");
  s.duties[0].next.clear();
  cr_assert(o.apply(s).ruling == Ruling::taken, "again");
}

// A refusal judged on a value that never stood is forgotten with its round.
Test(orders, only_the_round_that_was_won_is_answered) {
  Order o;
  o.id = "7";
  o.patienceS = 1;
  o.units.emplace_back();
  o.units.back().name = "a";
  State lost, won;
  Order in_the_way = o;
  in_the_way.id = "6";
  o.units.emplace_back();
  o.units.back().name = "b";
  cr_assert(StartPass(in_the_way, &lost).apply(lost).changed);
  Outcome out;
  carry(
      [&](auto change, auto done, Secs) {
        cr_assert_not(change(lost));
        cr_assert(change(won));
        done(&won);
      },
      StartPass(o, &won), 1, [&](Outcome const& x) { out = x; });
  cr_assert(out.ruling == Ruling::taken && out.id == 7);
  cr_assert_eq(status_of(out.ruling), 200);
}

Test(orders, a_rollout_hears_an_order_again) {
  Rollout r(1, RolloutPlan{}, 0);
  cr_assert(r.heed(RollOrder::pause, 0));
  cr_assert(r.heed(RollOrder::pause, 0));
  cr_assert(r.heed(RollOrder::abort, 0));
  cr_assert(r.heed(RollOrder::abort, 0));
  cr_assert(r.heed(RollOrder::pause, 0), "acknowledged before it was over");
  cr_assert_not(r.heed(RollOrder::resume, 0), "never acknowledged");
}

namespace {
struct Shape {
  char const* name;
  DayPlan p;
};
std::vector<Shape> shapes() {
  DayPlan calm, lost, cut, crash, members;
  lost.lose_answer = 0.7;
  cut.long_cut = true;
  cut.lose_answer = 0.4;
  crash.calm = 700;
  members.members = true;
  members.calm = 1100;
  return {{"calm", calm},
          {"answers lost", lost},
          {"a node cut off for long", cut},
          {"crashes, power, cuts", crash},
          {"members leave and come back", members}};
}
}  // namespace

// Two operators, lost answers, a node cut off that is still called, all without power,
// members that leave and come back: there is one order of all calls that explains every answer.
Test(orders, days_are_linearizable) {
  std::size_t acked = 0, refused = 0, resent = 0, led = 0, deaths = 0, overtaken = 0, steps = 0;
  for (Shape const& s : shapes())
    for (unsigned seed = 1; seed <= 12; ++seed) {
      Day<> d(seed, s.p);
      auto const h = d.run();
      Report const r = check<Control>(h, {});
      std::string stuck;
      cr_assert(r.finding == Finding::linearizable, "%s, seed %u: %zu of %zu placed, %zu steps%s", s.name, seed,
                r.placed, h.size(), r.steps, stuck.c_str());
      acked += d.acked;
      refused += d.refused;
      resent += d.resent;
      led += d.led;
      deaths += d.deaths;
      overtaken += d.overtaken;
      steps += d.steps;
    }
  // Enough of each came about.
  cr_assert_gt(acked, 3000u);
  cr_assert_gt(refused, 150u);
  cr_assert_gt(resent, 3000u);
  cr_assert_gt(led, 1000u);
  cr_assert_gt(deaths, 20u);
  cr_assert_gt(overtaken, 100u);
  cr_assert_gt(steps, 100u);
}

namespace {
// Days that a planted fault breaks, until the first of them; 0: none was broken.
template <class H>
unsigned broken_by(DayPlan const& p, unsigned most) {
  for (unsigned seed = 1; seed <= most; ++seed) {
    Day<H> d(seed, p);
    auto const h = d.run();
    if (check<Control>(h, {}, 60000).finding == Finding::broken) return seed;
  }
  return 0;
}
struct Hasty : Handling {
  static constexpr bool hasty = true;
};
struct ReadsOwn : Handling {
  static constexpr bool reads_own = true;
};
struct AnyRound : Handling {
  static constexpr bool any_round = true;
};
struct Forgets : Handling {
  static constexpr bool forgets = true;
};
struct TwoBodies : Handling {
  template <class O>
  static Outcome apply(State& s, O const& o) {
    Outcome x = o.apply(s);
    if (x.ruling == Ruling::clash) x.ruling = Ruling::taken;
    return x;
  }
};
struct RefusesRepeats : Handling {
  static Outcome apply(State& s, Amend const& o) {
    auto const items = s.by_key();
    for (Need const& n : o.asked().needs)
      if (auto const it = items.find("s/" + n.service); it != items.end() && it->second.gone)
        return Outcome{Ruling::invalid, false, "", 0};
    return o.apply(s);
  }
  template <class O>
  static Outcome apply(State& s, O const& o) {
    return o.apply(s);
  }
};
struct Halves : Handling {
  static Outcome apply(State& s, Amend const& o) {
    Outcome const x = o.apply(s);
    if (x.ruling != Ruling::clash) return x;
    for (Item const& i : o.asked().items) {
      Amendment one;
      one.items.push_back(i);
      Amend(one, &s).apply(s);
    }
    return x;
  }
  template <class O>
  static Outcome apply(State& s, O const& o) {
    return o.apply(s);
  }
};
}  // namespace

Test(orders, planted_faults_break_a_day) {
  DayPlan cut, crash, members;
  members.members = true;
  members.calm = 1100;
  cr_assert(broken_by<AnyRound>(members, 8) > 0, "confirmed by the end of another's step of the roster");
  cut.long_cut = true;
  cut.lose_answer = 0.4;
  cr_assert(broken_by<Forgets>(cut, 400) > 0, "what was refused comes into force late");
  cut.orders = crash.orders = 80;
  crash.calm = 700;
  cr_assert(broken_by<Hasty>(crash, 8) > 0, "a lost update");
  cr_assert(broken_by<ReadsOwn>(cut, 8) > 0, "a stale read");
  cr_assert(broken_by<TwoBodies>(crash, 8) > 0, "two confirmed under one number");
  cr_assert(broken_by<RefusesRepeats>(crash, 24) > 0, "a refused repeat");
  cr_assert(broken_by<Halves>(crash, 8) > 0, "a part of what was refused");
}
