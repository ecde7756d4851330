#include <criterion/criterion.h>

#include "support/simulated_day.hpp"

using namespace dockbend;
using namespace dockbend::test;
using namespace dockbend::linearizability;

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
CommandStatus amend(ReplicatedState& s, std::string const& body) {
  return AmendConfiguration(read_amend(body), &s).apply(s).ruling;
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
    ReplicatedState s;
    cr_assert(amend(s, first) == CommandStatus::taken);
    for (std::string const& b : between)
      cr_assert(amend(s, b) == CommandStatus::taken);
    std::string const was = codec::pack(s);
    cr_assert(amend(s, first) == CommandStatus::taken);
    for (std::string const& b : between)
      cr_assert(amend(s, b) == CommandStatus::taken);
    cr_assert(codec::pack(s) == was, "a repeat changes nothing");
  }
}

// One item that clashes or names nothing known: no part of the call comes into force.
Test(orders, a_call_is_taken_whole_or_not_at_all) {
  ReplicatedState s;
  cr_assert(amend(s, route("00000005", "s", pool("00000005"))) == CommandStatus::taken);
  std::string const was = codec::pack(s);
  cr_assert(amend(s, route("00000005", "s", pool("00000009", "new"), "/q/")) == CommandStatus::clash);
  cr_assert(amend(s, route("00000009", "never", pool("00000009", "new"))) == CommandStatus::invalid);
  cr_assert(amend(s, route("00000004", "never", pool("00000009", "new"))) == CommandStatus::invalid,
            "older, and nobody ever set it");
  cr_assert(codec::pack(s) == was);
  cr_assert(amend(s, drop("services", "00000006")) == CommandStatus::taken);
  cr_assert(amend(s, route("00000007", "s")) == CommandStatus::invalid, "a new route to a service that was dropped");
}

Test(orders, one_body_however_it_is_spelled) {
  ReplicatedState s;
  cr_assert(amend(s, R"({"upsert":{"pools":[{"name":"s","connLimit":10,"coldS":1.0,"generation":"0000000c"}]}})") ==
            CommandStatus::taken);
  std::string const was = codec::pack(s);
  cr_assert(amend(s, R"({ "upsert": {"pools": [{"generation":"0000000C","coldS":1,"name":"s","connLimit":10.0}]}})") ==
            CommandStatus::taken);
  cr_assert(codec::pack(s) == was, "the first spelling stands");
  cr_assert(amend(s, R"({"upsert":{"pools":[{"name":"s","connLimit":11,"coldS":1.0,"generation":"0000000c"}]}})") ==
            CommandStatus::clash);
  cr_assert(amend(s, R"({"upsert":{"pools":[{"name":"s","connLimit":10,"generation":"0000000c"}]}})") ==
            CommandStatus::clash);
}

// Its round was lost and had stood after all; another's word came after it: that one stays.
Test(orders, an_evacuation_has_its_effect_once) {
  ReplicatedState s;
  SetEvacuation const on("z", true, &s);
  cr_assert(on.apply(s).changed);
  CommandResult const again = on.apply(s);
  cr_assert(again.ruling == CommandStatus::taken && !again.changed);
  cr_assert(SetEvacuation("z", false, &s).apply(s).changed);
  cr_assert(on.apply(s).ruling == CommandStatus::unsettled, "late");
  cr_assert_not(s.evacuations[0].on);
  cr_assert(SetEvacuation("z", true, &s).apply(s).changed, "a new order");
  cr_assert(SetEvacuation("q", true, &s, false).apply(s).ruling == CommandStatus::unknown);
  cr_assert(SetEvacuation("z", true, &s, false).apply(s).ruling == CommandStatus::taken,
            "it was taken once, whatever our settings say");
}

// A call waits at a node that is cut off; another node refuses it, and then what stood in
// its way is overtaken: it does not come into force after all.
Test(orders, what_was_refused_comes_into_force_no_more) {
  ReplicatedState s;
  cr_assert(amend(s, route("00000005", "s", pool("00000005"))) == CommandStatus::taken);
  ReplicatedState const early = s;
  auto const late = [&](std::string const& body) {
    return AmendConfiguration(read_amend(body), &early).apply(s).ruling;
  };
  std::string const clashes = route("00000006", "s", pool("00000009", "new"), "/q/"),
                    no_service = route("00000009", "t");
  cr_assert(amend(s, route("00000006", "s")) == CommandStatus::taken);
  cr_assert(late(clashes) == CommandStatus::clash);
  cr_assert(late(no_service) == CommandStatus::invalid);
  cr_assert(amend(s, route("00000007", "s", pool("00000007", "t"))) == CommandStatus::taken);
  std::string const was = codec::pack(s);
  cr_assert(late(clashes) == CommandStatus::unsettled);
  cr_assert(late(no_service) == CommandStatus::unsettled);
  cr_assert(codec::pack(s) == was);
  cr_assert(late(route("00000008", "s")) == CommandStatus::taken, "never refused anywhere: a race costs it nothing");
  cr_assert(amend(s, no_service) == CommandStatus::taken, "sent anew");
}

Test(orders, passes_have_one_order_a_number_and_commands_are_heard_again) {
  ReplicatedState s;
  DrainOrder o;
  o.id = "7";
  o.patienceS = 1;
  for (char const* n : {"a", "b"}) {
    o.units.emplace_back();
    o.units.back().name = n;
  }
  ReplicatedState const none;
  cr_assert(StartDrain(o, &s).apply(s).changed);
  CommandResult const again = StartDrain(o, &none).apply(s);
  cr_assert(again.ruling == CommandStatus::taken && !again.changed && again.id == 7);
  DrainOrder other = o;
  other.headroom = 0.5;
  cr_assert(StartDrain(other, &s).apply(s).ruling == CommandStatus::clash);
  ControlDrain const pause(7, DrainCommand::pause, "", &s), early(7, DrainCommand::abort, "", &none),
      back(7, DrainCommand::take_back, "a", &s);
  cr_assert(pause.apply(s).changed);
  ControlDrain const resume(7, DrainCommand::resume, "", &s);
  cr_assert(resume.apply(s).changed);
  cr_assert(pause.apply(s).ruling == CommandStatus::unsettled, "a late one");
  cr_assert(early.apply(s).ruling == CommandStatus::unsettled, "refused elsewhere before there was such a pass");
  cr_assert(s.passes[0].state == DrainRunState::running);
  cr_assert(back.apply(s).changed);
  cr_assert(ControlDrain(7, DrainCommand::take_back, "b", &s).apply(s).changed, "the last: the pass is over");
  std::string const was = codec::pack(s);
  for (ControlDrain const& c : {pause, resume, back})
    cr_assert(c.apply(s).ruling == CommandStatus::taken, "acknowledged before");
  cr_assert(ControlDrain(7, DrainCommand::abort, "", &s).apply(s).ruling == CommandStatus::clash,
            "nobody ever acknowledged it");
  cr_assert(ControlDrain(8, DrainCommand::abort, "", &s).apply(s).ruling == CommandStatus::unknown);
  // What stood in the way of this one when another node refused it is over since.
  other.id = "9";
  other.units.resize(1);
  ReplicatedState in_the_way;
  cr_assert(StartDrain(o, &in_the_way).apply(in_the_way).changed);
  cr_assert(StartDrain(other, &in_the_way).apply(s).ruling == CommandStatus::unsettled);
  cr_assert(codec::pack(s) == was);
  cr_assert(StartDrain(other, &s).apply(s).changed);
}

Test(orders, a_duty_is_handed_over_once_the_register_says_so) {
  ReplicatedState s;
  HandOverLease const o{"usage", "b"};
  cr_assert(o.apply(s).ruling == CommandStatus::unsettled, "nobody has it yet");
  s.duties.emplace_back();
  s.duties[0].duty = "usage";
  s.duties[0].holder = "a";
  cr_assert(o.apply(s).ruling == CommandStatus::unsettled);
  s.duties[0].next = "b";
  cr_assert(o.apply(s).ruling == CommandStatus::taken);
  s.duties[0].holder = "b";
  s.duties[0].next = "a";
  cr_assert(o.apply(s).ruling == CommandStatus::unsettled, "it goes back already");
  s.duties[0].next.clear();
  cr_assert(o.apply(s).ruling == CommandStatus::taken, "again");
}

// A refusal judged on a value that never stood is forgotten with its round.
Test(orders, only_the_round_that_was_won_is_answered) {
  DrainOrder o;
  o.id = "7";
  o.patienceS = 1;
  o.units.emplace_back();
  o.units.back().name = "a";
  ReplicatedState lost, won;
  DrainOrder in_the_way = o;
  in_the_way.id = "6";
  o.units.emplace_back();
  o.units.back().name = "b";
  cr_assert(StartDrain(in_the_way, &lost).apply(lost).changed);
  CommandResult out;
  carry(
      [&](auto change, auto done, Seconds) {
        cr_assert_not(change(lost));
        cr_assert(change(won));
        done(&won);
      },
      StartDrain(o, &won), 1, [&](CommandResult const& x) { out = x; });
  cr_assert(out.ruling == CommandStatus::taken && out.id == 7);
  cr_assert_eq(status_of(out.ruling), 200);
}

Test(orders, a_rollout_hears_an_order_again) {
  Rollout r(1, RolloutOptions{}, 0);
  cr_assert(r.apply_command(RolloutCommand::pause, 0));
  cr_assert(r.apply_command(RolloutCommand::pause, 0));
  cr_assert(r.apply_command(RolloutCommand::abort, 0));
  cr_assert(r.apply_command(RolloutCommand::abort, 0));
  cr_assert(r.apply_command(RolloutCommand::pause, 0), "acknowledged before it was over");
  cr_assert_not(r.apply_command(RolloutCommand::resume, 0), "never acknowledged");
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
      CheckReport const r = check<Control>(h, {});
      std::string stuck;
      cr_assert(r.finding == CheckVerdict::linearizable, "%s, seed %u: %zu of %zu placed, %zu steps%s", s.name, seed,
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
    if (check<Control>(h, {}, 60000).finding == CheckVerdict::broken) return seed;
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
  static CommandResult apply(ReplicatedState& s, O const& o) {
    CommandResult x = o.apply(s);
    if (x.ruling == CommandStatus::clash) x.ruling = CommandStatus::taken;
    return x;
  }
};
struct RefusesRepeats : Handling {
  static CommandResult apply(ReplicatedState& s, AmendConfiguration const& o) {
    auto const items = s.by_key();
    for (ServiceReference const& n : o.asked().needs)
      if (auto const it = items.find("s/" + n.service); it != items.end() && it->second.gone)
        return CommandResult{CommandStatus::invalid, false, "", 0};
    return o.apply(s);
  }
  template <class O>
  static CommandResult apply(ReplicatedState& s, O const& o) {
    return o.apply(s);
  }
};
struct Halves : Handling {
  static CommandResult apply(ReplicatedState& s, AmendConfiguration const& o) {
    CommandResult const x = o.apply(s);
    if (x.ruling != CommandStatus::clash) return x;
    for (ConfigItem const& i : o.asked().items) {
      ConfigChange one;
      one.items.push_back(i);
      AmendConfiguration(one, &s).apply(s);
    }
    return x;
  }
  template <class O>
  static CommandResult apply(ReplicatedState& s, O const& o) {
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
