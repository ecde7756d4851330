// A server's word is acknowledged only where the acknowledgement binds all: by a controller in contact with a majority,
// and a departure only once the disks of a majority hold it.
#include <criterion/criterion.h>

#include "controller/registry_service.hpp"
#include "support/temporary_directory.hpp"

using namespace dockbend;
using namespace dockbend::test;

namespace {
Incarnation constexpr kIncarnation{7};
u32 constexpr kFirstTag = 1;

Settings settings_of_controller() {
  Settings settings;
  settings.ip = "10.0.0.1";
  settings.zone = "z1";
  settings.zones = {{"z1", "r1"}};
  return settings;
}

/// A controller among so many. The others are played by the test.
struct Fixture {
  explicit Fixture(int members) : context(loop.get(), settings_of_controller()), registry(context) {
    context.disk = std::make_unique<AsyncStore>(loop.get(), directory.path);
    ReplicatedState state;
    std::vector<QuorumContact::Voter> voters;
    for (int i = 1; i <= members; ++i) {
      Member& member = state.membership.emplace_back();
      member.ip = ip_of(i);
      member.incarnation = kIncarnation;
      voters.push_back({member.ip, member.incarnation});
    }
    context.acceptor = std::make_unique<Acceptor>(kIncarnation, Ballot(), state);
    context.is_incarnation_durable = true;
    context.committed = state;
    context.contact.set_members(voters, kIncarnation);
  }
  static std::string ip_of(int member) { return "10.0.0." + std::to_string(member); }

  /// All other members have just answered.
  void come_into_contact() {
    ContactProbeResponse response;
    response.incarnation = kIncarnation;
    for (Member const& member : context.committed->membership)
      if (member.ip != context.settings.ip)
        context.contact.on_response(member.ip, context.contact.next_question(member.ip, steady_now()), response);
  }
  RegistryService::Respond take_answer() {
    answer.reset();
    return [this](ApiResponse const& response) { answer = response.code; };
  }
  void heartbeat(char const* state, u64 sequence) {
    schema::Heartbeat heartbeat;
    heartbeat.service = "s1";
    heartbeat.address = "10.1.0.1:80";
    heartbeat.zone = "z1";
    heartbeat.capacity = 2;
    heartbeat.state = state;
    heartbeat.callSeq = sequence;
    registry.heartbeat("i-1", heartbeat, "/-/Servers.Heartbeat/i-1", take_answer());
  }
  void leave() { registry.leave("i-1", "/-/Servers.Leave/i-1", take_answer()); }
  void confirm(int member, u32 tag, Incarnation incarnation = kIncarnation) {
    registry.departures().on_response(ip_of(member), tag, StoreDeparturesResponse{incarnation});
  }
  /// Runs the loop until the answer is there, or what was submitted has long been sent and written.
  void run_loop() {
    for (int i = 0; i < kMostTurns && !answer; ++i) {
      timeval pause{0, 1000};
      event_base_loopexit(loop.get(), &pause);
      event_base_dispatch(loop.get());
    }
  }
  ServerState known_state() const { return registry.roll().find("i-1", steady_now())->state; }

  static int constexpr kMostTurns = 100;
  TemporaryDirectory directory;
  EventBaseOwner loop{event_base_new()};
  ControllerContext context;
  RegistryService registry;
  std::optional<int> answer;
};
}  // namespace

Test(registry_service, acknowledges_a_servers_word_in_contact) {
  Fixture alone(1);
  alone.heartbeat("ready", 1);
  cr_assert_eq(alone.answer, 200);
  alone.heartbeat("draining", 2);
  alone.run_loop();
  cr_assert_eq(alone.answer, 200);
  cr_assert(alone.known_state() == ServerState::draining);
  alone.leave();
  alone.run_loop();
  cr_assert_eq(alone.answer, 200);
}

// It is taken note of all the same, so that the server is listed where no controller is in contact.
Test(registry_service, acknowledges_nothing_out_of_contact) {
  Fixture cut_off(3);
  cut_off.heartbeat("ready", 1);
  cr_assert_geq(cut_off.answer.value_or(0), 300);
  cut_off.heartbeat("draining", 2);
  cr_assert_geq(cut_off.answer.value_or(0), 300);
  cr_assert(cut_off.known_state() == ServerState::draining);
  cut_off.leave();
  cr_assert_geq(cut_off.answer.value_or(0), 300);
  cr_assert(cut_off.known_state() == ServerState::gone);
}

// Failure: a server's Leave was acknowledged while one controller alone knew of it, and was lost when that one was
// killed.
Test(registry_service, a_leave_is_acknowledged_once_a_majority_of_disks_holds_it) {
  Fixture fixture(5);
  fixture.come_into_contact();
  fixture.heartbeat("ready", 1);
  cr_assert_eq(fixture.answer, 200);
  fixture.leave();
  fixture.run_loop();  // our own disk has it meanwhile
  cr_assert_not(fixture.answer.has_value());
  fixture.confirm(2, kFirstTag);
  fixture.confirm(2, kFirstTag);                  // a disk counts once
  fixture.confirm(3, kFirstTag, Incarnation(8));  // a disk that is no member's
  fixture.confirm(4, kFirstTag + 1);              // a batch that was never sent
  cr_assert_not(fixture.answer.has_value());
  fixture.confirm(3, kFirstTag);
  cr_assert_eq(fixture.answer, 200);
  fixture.leave();  // the same once more, for its answer may have been lost
  cr_assert_eq(fixture.answer, 200);
}

// Failure: the same with `draining`, whose next heartbeat may come seconds late.
Test(registry_service, a_drain_is_acknowledged_once_a_majority_of_disks_holds_it) {
  Fixture fixture(3);
  fixture.come_into_contact();
  fixture.heartbeat("draining", 1);
  fixture.run_loop();
  cr_assert_not(fixture.answer.has_value());
  fixture.confirm(3, kFirstTag);
  cr_assert_eq(fixture.answer, 200);
  fixture.heartbeat("draining", 2);
  cr_assert_eq(fixture.answer, 200);  // a majority holds it already
  fixture.heartbeat("ready", 3);
  cr_assert_eq(fixture.answer, 200);
  fixture.heartbeat("draining", 4);  // once more, which is another departure
  fixture.run_loop();
  cr_assert_not(fixture.answer.has_value());
}

Test(registry_service, a_departure_that_no_majority_confirms_in_time_is_not_acknowledged) {
  Fixture fixture(3);
  fixture.come_into_contact();
  fixture.leave();
  fixture.run_loop();
  fixture.registry.departures().tick(steady_now());
  cr_assert_not(fixture.answer.has_value());
  fixture.registry.departures().tick(steady_now() + 1.0);  // the server asks another controller by then
  cr_assert_eq(fixture.answer, 503);
  cr_assert(fixture.registry.departures().is_idle());
}

// Failure: the row of a server that had left was deleted, and an older row of another disk brought it back after a
// restart of all controllers.
Test(registry_service, a_server_that_has_left_stays_gone_on_disk_until_it_is_forgotten) {
  Fixture fixture(1);
  fixture.heartbeat("ready", 1);
  fixture.leave();
  fixture.run_loop();
  fixture.context.disk.reset();  // all that was submitted is written
  auto const stored_servers = [&] { return DiskStore(fixture.directory.path).load().servers; };
  cr_assert_eq(stored_servers().size(), 1u);
  cr_assert(has_left(codec::unpack<ServerRecord>(stored_servers()[0])));

  fixture.context.disk = std::make_unique<AsyncStore>(fixture.loop.get(), fixture.directory.path);
  fixture.registry.forget_gone(steady_now() + 1000);
  fixture.context.disk.reset();
  cr_assert(stored_servers().empty());
}

// Failure: a controller that shut down went on taking departures of servers, for each of which its end waited.
Test(registry_service, departures_do_not_prolong_a_shutdown) {
  Fixture fixture(3);
  fixture.come_into_contact();
  fixture.heartbeat("ready", 1);
  fixture.context.leaving_since = steady_now();
  fixture.heartbeat("draining", 2);
  fixture.run_loop();
  fixture.confirm(2, kFirstTag);
  cr_assert_eq(fixture.answer, 200, "what comes at the beginning is taken");

  fixture.context.leaving_since -= 0.5;
  fixture.heartbeat("draining", 3);
  cr_assert_eq(fixture.answer, 200, "a majority holds it already");
  fixture.leave();
  cr_assert_eq(fixture.answer, 503, "the server asks another controller");
  cr_assert(fixture.registry.departures().is_idle());
  cr_assert(fixture.known_state() == ServerState::gone, "it is taken note of all the same");
}

Test(registry_service, a_peers_departure_is_confirmed_once_it_is_on_disk) {
  Fixture fixture(3);
  ServerRecord record;
  record.id = "i-9";
  record.service = "s1";
  record.state = ServerState::draining;
  record.seq = 4;
  bool is_stored = false;
  fixture.registry.store_departures({record}, "10.0.0.2", [&] { is_stored = true; });
  cr_assert_not(is_stored);
  cr_assert(fixture.registry.roll().find("i-9", steady_now())->state == ServerState::draining);
  fixture.run_loop();
  cr_assert(is_stored);
}

// A disk that is not ours yet by what is on it may not speak for us.
Test(registry_service, a_peers_departure_is_not_confirmed_by_a_disk_without_a_durable_incarnation) {
  Fixture fixture(3);
  fixture.context.is_incarnation_durable = false;
  bool is_stored = false;
  fixture.registry.store_departures({ServerRecord()}, "10.0.0.2", [&] { is_stored = true; });
  fixture.run_loop();
  cr_assert_not(is_stored);
}
