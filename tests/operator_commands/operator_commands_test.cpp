#include <criterion/criterion.h>

#include "support/simulated_day.hpp"
#include "support/tenant_changes.hpp"

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
  return AmendConfiguration(read_amend(body), &s).apply(s).status;
}
std::string drop(std::string const& what, std::string const& gen) {
  return R"({"remove":{")" + what + R"(":[{"name":")" + what.substr(0, 1) + R"(","generation":")" + gen + R"("}]}})";
}
}  // namespace

// Whatever came between, a change that was accepted is accepted again, and changes nothing.
Test(operator_commands, accepted_change_is_accepted_again_and_changes_nothing) {
  std::string const first = route("00000005", "s", pool("00000005"));
  for (auto const& between : std::vector<std::vector<std::string>>{
           {},
           {route("00000007", "s")},
           {drop("routes", "00000006")},
           {drop("routes", "00000006"), drop("services", "00000006")},
           {route("00000009", "t", pool("00000009", "t")), drop("services", "00000006")}}) {
    ReplicatedState s;
    cr_assert(amend(s, first) == CommandStatus::accepted);
    for (std::string const& b : between)
      cr_assert(amend(s, b) == CommandStatus::accepted);
    std::string const was = codec::pack(s);
    cr_assert(amend(s, first) == CommandStatus::accepted);
    for (std::string const& b : between)
      cr_assert(amend(s, b) == CommandStatus::accepted);
    cr_assert(codec::pack(s) == was, "a repeat changes nothing");
  }
}

// If one item conflicts or names what is not known, no part of the call comes into force.
Test(operator_commands, change_is_applied_in_full_or_not_at_all) {
  ReplicatedState s;
  cr_assert(amend(s, route("00000005", "s", pool("00000005"))) == CommandStatus::accepted);
  std::string const was = codec::pack(s);
  cr_assert(amend(s, route("00000005", "s", pool("00000009", "new"), "/q/")) == CommandStatus::conflict);
  cr_assert(amend(s, route("00000009", "never", pool("00000009", "new"))) == CommandStatus::invalid);
  cr_assert(amend(s, route("00000004", "never", pool("00000009", "new"))) == CommandStatus::invalid,
            "older, and nobody has ever set it");
  cr_assert(codec::pack(s) == was);
  cr_assert(amend(s, drop("routes", "00000006")) == CommandStatus::accepted);
  cr_assert(amend(s, drop("services", "00000006")) == CommandStatus::accepted);
  cr_assert(amend(s, route("00000007", "s")) == CommandStatus::invalid, "a new route to a service that was removed");
}

// Failure: a service that a route named could be dropped. The configuration was invalid, could not be given back to the
// system that it was read from, and the service's servers went on running the route's requests.
Test(operator_commands, service_that_a_route_names_is_not_dropped) {
  std::string const drop_service = drop("services", "00000006");
  ReplicatedState s;
  cr_assert(amend(s, route("00000005", "s", pool("00000005"))) == CommandStatus::accepted);
  std::string const was = codec::pack(s);
  CommandResult const refusal = AmendConfiguration(read_amend(drop_service), &s).apply(s);
  cr_assert(refusal.status == CommandStatus::invalid);
  cr_assert_str_eq(refusal.reason.c_str(), "service 's': named by r/r");
  cr_assert(codec::pack(s) == was);

  std::string const split = R"("split":[{"service":"t","gain":1},{"service":"s","gain":0}])";
  std::string in_split = route("00000007", "s", pool("00000007", "t"));
  in_split.replace(in_split.find(R"("service":"s")"), std::strlen(R"("service":"s")"), split);
  cr_assert(amend(s, in_split) == CommandStatus::accepted);
  cr_assert(amend(s, drop_service) == CommandStatus::invalid, "in a split");

  std::string moved_and_dropped = route("00000008", "t");
  moved_and_dropped.insert(moved_and_dropped.size() - 1,
                           R"(,"remove":{"services":[{"name":"s","generation":"00000006"}]})");
  cr_assert(amend(s, moved_and_dropped) == CommandStatus::accepted, "the route goes elsewhere in the same call");
  cr_assert(amend(s, drop_service) == CommandStatus::accepted, "it is dropped already");
}

// A call waits at a controller that is cut off; another one refuses it, and then the route goes elsewhere.
Test(operator_commands, refused_removal_of_a_service_never_comes_into_force_late) {
  std::string const drop_service = drop("services", "00000006");
  ReplicatedState s;
  cr_assert(amend(s, route("00000005", "s", pool("00000005"))) == CommandStatus::accepted);
  ReplicatedState const early = s;
  cr_assert(amend(s, drop_service) == CommandStatus::invalid);
  cr_assert(amend(s, route("00000009", "t", pool("00000009", "t"))) == CommandStatus::accepted);
  cr_assert(AmendConfiguration(read_amend(drop_service), &early).apply(s).status == CommandStatus::undecided);
  cr_assert(amend(s, drop_service) == CommandStatus::accepted, "sent anew");
}

// Failure: what was read back was refused when it was sent to a system that had nothing yet.
Test(operator_commands, what_is_read_back_is_accepted_and_equals_itself) {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 draw(seed);
    ReplicatedState s;
    int accepted = 0;
    for (unsigned generation = 1; generation <= 20; ++generation) {
      std::string const version = json::gen_str(Generation(generation));
      std::string const service(1, static_cast<char>('s' + draw() % 3));
      std::string body;
      switch (draw() % 5) {
        case 0:
          body = R"({"upsert":{"pools":[{"name":")" + service + R"(","generation":")" + version + R"("}]}})";
          break;
        case 1:
          body = R"({"remove":{"services":[{"name":")" + service + R"(","generation":")" + version + R"("}]}})";
          break;
        case 2: body = route(version, service, draw() % 2 == 0 ? pool(version, service) : ""); break;
        case 3: {  // two tenants may get one API key, by two calls
          std::string const name = draw() % 2 == 0 ? "ada" : "bob";
          std::string const key = draw() % 2 == 0 ? "key-1" : "key-2";
          body = tenant_change(generation, name, {key});
          break;
        }
        default: body = drop("routes", version);
      }
      accepted += amend(s, body) == CommandStatus::accepted ? 1 : 0;
    }
    std::string const read_back = render_read(s.by_key());
    ReplicatedState fresh;
    cr_assert(accepted == 0 || amend(fresh, R"({"upsert":)" + read_back + "}") == CommandStatus::accepted,
              "seed %u: %s", seed, read_back.c_str());
    cr_assert(render_read(fresh.by_key()) == read_back, "seed %u", seed);
  }
}

Test(operator_commands, spelling_of_a_body_makes_no_difference) {
  ReplicatedState s;
  cr_assert(amend(s, R"({"upsert":{"pools":[{"name":"s","connLimit":10,"coldS":1.0,"generation":"0000000c"}]}})") ==
            CommandStatus::accepted);
  std::string const was = codec::pack(s);
  cr_assert(amend(s, R"({ "upsert": {"pools": [{"generation":"0000000C","coldS":1,"name":"s","connLimit":10.0}]}})") ==
            CommandStatus::accepted);
  cr_assert(codec::pack(s) == was, "the first spelling stands");
  cr_assert(amend(s, R"({"upsert":{"pools":[{"name":"s","connLimit":11,"coldS":1.0,"generation":"0000000c"}]}})") ==
            CommandStatus::conflict);
  cr_assert(amend(s, R"({"upsert":{"pools":[{"name":"s","connLimit":10,"generation":"0000000c"}]}})") ==
            CommandStatus::conflict);
}

// A proposal seemed lost and was committed after all, and another command came after it: that one stays.
Test(operator_commands, evacuation_has_its_effect_once) {
  ReplicatedState s;
  SetEvacuation const on("z", true, &s);
  cr_assert(on.apply(s).has_changed);
  CommandResult const again = on.apply(s);
  cr_assert(again.status == CommandStatus::accepted && !again.has_changed);
  cr_assert(SetEvacuation("z", false, &s).apply(s).has_changed);
  cr_assert(on.apply(s).status == CommandStatus::undecided, "late");
  cr_assert_not(s.evacuations[0].on);
  cr_assert(SetEvacuation("z", true, &s).apply(s).has_changed, "a new order");
  cr_assert(SetEvacuation("q", true, &s, false).apply(s).status == CommandStatus::not_found);
  cr_assert(SetEvacuation("z", true, &s, false).apply(s).status == CommandStatus::accepted,
            "it was taken once, whatever our settings say");
}

// A call waits at a controller that is cut off; another controller refuses it, and then what was in its way is
// overtaken: the call does not come into force after all.
Test(operator_commands, refused_change_never_comes_into_force_late) {
  ReplicatedState s;
  cr_assert(amend(s, route("00000005", "s", pool("00000005"))) == CommandStatus::accepted);
  ReplicatedState const early = s;
  auto const late = [&](std::string const& body) {
    return AmendConfiguration(read_amend(body), &early).apply(s).status;
  };
  std::string const clashes = route("00000006", "s", pool("00000009", "new"), "/q/"),
                    no_service = route("00000009", "t");
  cr_assert(amend(s, route("00000006", "s")) == CommandStatus::accepted);
  cr_assert(late(clashes) == CommandStatus::conflict);
  cr_assert(late(no_service) == CommandStatus::invalid);
  cr_assert(amend(s, route("00000007", "s", pool("00000007", "t"))) == CommandStatus::accepted);
  std::string const was = codec::pack(s);
  cr_assert(late(clashes) == CommandStatus::undecided);
  cr_assert(late(no_service) == CommandStatus::undecided);
  cr_assert(codec::pack(s) == was);
  cr_assert(late(route("00000008", "s")) == CommandStatus::accepted,
            "refused nowhere: the race makes no difference to it");
  cr_assert(amend(s, no_service) == CommandStatus::accepted, "sent anew");
}

Test(operator_commands, drain_run_has_one_order_and_its_commands_may_be_repeated) {
  ReplicatedState s;
  DrainOrder o;
  o.id = "7";
  o.patienceS = 1;
  for (char const* n : {"a", "b"}) {
    o.units.emplace_back();
    o.units.back().name = n;
  }
  ReplicatedState const none;
  cr_assert(StartDrain(o, &s).apply(s).has_changed);
  CommandResult const again = StartDrain(o, &none).apply(s);
  cr_assert(again.status == CommandStatus::accepted && !again.has_changed && again.run_id == 7);
  DrainOrder other = o;
  other.headroom = 0.5;
  cr_assert(StartDrain(other, &s).apply(s).status == CommandStatus::conflict);
  ControlDrain const pause(7, DrainCommand::pause, "", &s), early(7, DrainCommand::abort, "", &none),
      back(7, DrainCommand::take_back, "a", &s);
  cr_assert(pause.apply(s).has_changed);
  ControlDrain const resume(7, DrainCommand::resume, "", &s);
  cr_assert(resume.apply(s).has_changed);
  cr_assert(pause.apply(s).status == CommandStatus::undecided, "sent before the resume");
  cr_assert(early.apply(s).status == CommandStatus::undecided, "may have been refused before the run existed");
  cr_assert(s.passes[0].state == DrainRunState::running);
  cr_assert(back.apply(s).has_changed);
  cr_assert(ControlDrain(7, DrainCommand::take_back, "b", &s).apply(s).has_changed, "the last unit: the run is over");
  std::string const was = codec::pack(s);
  for (ControlDrain const& c : {pause, resume, back})
    cr_assert(c.apply(s).status == CommandStatus::accepted, "acknowledged before");
  cr_assert(ControlDrain(7, DrainCommand::abort, "", &s).apply(s).status == CommandStatus::conflict,
            "it was never acknowledged");
  cr_assert(ControlDrain(8, DrainCommand::abort, "", &s).apply(s).status == CommandStatus::not_found);
  // The run that was in the way when another controller refused this one has ended since.
  other.id = "9";
  other.units.resize(1);
  ReplicatedState in_the_way;
  cr_assert(StartDrain(o, &in_the_way).apply(in_the_way).has_changed);
  cr_assert(StartDrain(other, &in_the_way).apply(s).status == CommandStatus::undecided);
  cr_assert(codec::pack(s) == was);
  cr_assert(StartDrain(other, &s).apply(s).has_changed);
}

Test(operator_commands, lease_is_handed_over_once_the_value_says_so) {
  ReplicatedState s;
  HandOverLease const o{"usage", "b"};
  cr_assert(o.apply(s).status == CommandStatus::undecided, "nobody has the lease yet");
  s.duties.emplace_back();
  s.duties[0].duty = "usage";
  s.duties[0].holder = "a";
  cr_assert(o.apply(s).status == CommandStatus::undecided);
  s.duties[0].next = "b";
  cr_assert(o.apply(s).status == CommandStatus::accepted);
  s.duties[0].holder = "b";
  s.duties[0].next = "a";
  cr_assert(o.apply(s).status == CommandStatus::undecided, "it is about to be handed back");
  s.duties[0].next.clear();
  cr_assert(o.apply(s).status == CommandStatus::accepted, "it is there to stay");
}

// A refusal judged on a value that was never committed is forgotten with its proposal.
Test(operator_commands, only_the_result_of_the_winning_proposal_is_answered) {
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
  cr_assert(StartDrain(in_the_way, &lost).apply(lost).has_changed);
  CommandResult out;
  execute_command(
      [&](auto change, auto done, Seconds) {
        cr_assert_not(change(lost));
        cr_assert(change(won));
        done(&won);
      },
      StartDrain(o, &won), 1, [&](CommandResult const& x) { out = x; });
  cr_assert(out.status == CommandStatus::accepted && out.run_id == 7);
  cr_assert_eq(http_status_of(out.status), 200);
}

Test(operator_commands, rollout_accepts_a_repeated_command) {
  Rollout r(1, RolloutOptions{}, 0);
  cr_assert(r.apply_command(RolloutCommand::pause, 0));
  cr_assert(r.apply_command(RolloutCommand::pause, 0));
  cr_assert(r.apply_command(RolloutCommand::abort, 0));
  cr_assert(r.apply_command(RolloutCommand::abort, 0));
  cr_assert(r.apply_command(RolloutCommand::pause, 0), "acknowledged before the rollout was over");
  cr_assert_not(r.apply_command(RolloutCommand::resume, 0), "never acknowledged");
}

namespace {
struct NamedPlan {
  char const* name;
  DayPlan plan;
};
std::vector<NamedPlan> plans() {
  DayPlan calm, lost, cut, crash, members;
  lost.lose_answer = 0.7;
  cut.long_cut = true;
  cut.lose_answer = 0.4;
  crash.calm = 700;
  members.members = true;
  members.calm = 1100;
  return {{"calm", calm},
          {"answers lost", lost},
          {"a controller cut off for long", cut},
          {"crashes and partitions", crash},
          {"members leave and come back", members}};
}
}  // namespace

// Lost answers, a controller that is cut off and still called, crashes of all, members that leave and come back:
// there is one order of all calls that explains every answer.
Test(operator_commands, simulated_days_are_linearizable) {
  std::size_t acked = 0, refused = 0, resent = 0, led = 0, deaths = 0, overtaken = 0, steps = 0;
  for (NamedPlan const& day : plans())
    for (unsigned seed = 1; seed <= 12; ++seed) {
      Day<> simulation(seed, day.plan);
      auto const history = simulation.run();
      CheckReport const report = check<Control>(history, {});
      cr_assert(report.finding == CheckVerdict::linearizable, "%s, seed %u: %zu of %zu placed, %zu steps", day.name,
                seed, report.placed, history.size(), report.steps);
      acked += simulation.acked;
      refused += simulation.refused;
      resent += simulation.resent;
      led += simulation.led;
      deaths += simulation.deaths;
      overtaken += simulation.overtaken;
      steps += simulation.steps;
    }
  // Enough of each happened.
  cr_assert_gt(acked, 3000u);
  cr_assert_gt(refused, 150u);
  cr_assert_gt(resent, 3000u);
  cr_assert_gt(led, 1000u);
  cr_assert_gt(deaths, 20u);
  cr_assert_gt(overtaken, 100u);
  cr_assert_gt(steps, 100u);
}

namespace {
// The seed of the first simulated day that a planted fault breaks; 0: none up to `most` was broken.
template <class H>
unsigned broken_by(DayPlan const& plan, unsigned most) {
  for (unsigned seed = 1; seed <= most; ++seed) {
    Day<H> day(seed, plan);
    auto const history = day.run();
    if (check<Control>(history, {}, 60000).finding == CheckVerdict::broken) return seed;
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
    if (x.status == CommandStatus::conflict) x.status = CommandStatus::accepted;
    return x;
  }
};
struct RefusesRepeats : Handling {
  static CommandResult apply(ReplicatedState& s, AmendConfiguration const& o) {
    auto const items = s.by_key();
    for (ServiceReference const& n : o.change().needs)
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
    if (x.status != CommandStatus::conflict) return x;
    for (ConfigItem const& i : o.change().items) {
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

Test(operator_commands, planted_faults_are_found) {
  DayPlan cut, crash, members;
  members.members = true;
  members.calm = 1100;
  cr_assert(broken_by<AnyRound>(members, 8) > 0, "acknowledged by the end of another's membership change");
  cut.long_cut = true;
  cut.lose_answer = 0.4;
  cr_assert(broken_by<Forgets>(cut, 400) > 0, "a refused change comes into force late");
  cut.orders = crash.orders = 80;
  crash.calm = 700;
  cr_assert(broken_by<Hasty>(crash, 8) > 0, "a lost update");
  cr_assert(broken_by<ReadsOwn>(cut, 8) > 0, "a stale read");
  cr_assert(broken_by<TwoBodies>(crash, 8) > 0, "two bodies acknowledged under one version");
  cr_assert(broken_by<RefusesRepeats>(crash, 24) > 0, "a refused repeat");
  cr_assert(broken_by<Halves>(crash, 8) > 0, "a part of a refused change");
}
