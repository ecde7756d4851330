// A server's word is acknowledged only where the acknowledgement binds all: by a controller in contact with a majority.
#include <criterion/criterion.h>

#include "controller/registry_service.hpp"
#include "support/temporary_directory.hpp"

using namespace dockbend;
using namespace dockbend::test;

namespace {
Settings settings_of_controller() {
  Settings settings;
  settings.ip = "10.0.0.1";
  settings.zone = "z1";
  settings.zones = {{"z1", "r1"}};
  return settings;
}

/// A controller among so many, the others of which have answered nothing.
struct Fixture {
  explicit Fixture(int members) : context(loop.get(), settings_of_controller()), registry(context) {
    context.disk = std::make_unique<AsyncStore>(loop.get(), directory.path);
    ReplicatedState state;
    std::vector<QuorumContact::Voter> voters;
    for (int i = 1; i <= members; ++i) {
      Member& member = state.membership.emplace_back();
      member.ip = "10.0.0." + std::to_string(i);
      member.incarnation = Incarnation(7);
      voters.push_back({member.ip, member.incarnation});
    }
    context.committed = state;
    context.contact.set_members(voters, Incarnation(7));
  }
  int heartbeat(char const* state, u64 sequence) {
    schema::Heartbeat heartbeat;
    heartbeat.service = "s1";
    heartbeat.address = "10.1.0.1:80";
    heartbeat.zone = "z1";
    heartbeat.capacity = 2;
    heartbeat.state = state;
    heartbeat.callSeq = sequence;
    return registry.heartbeat("i-1", heartbeat, "/-/Servers.Heartbeat/i-1").code;
  }
  ServerState known_state() const { return registry.roll().find("i-1", steady_now())->state; }

  TemporaryDirectory directory;
  EventBaseOwner loop{event_base_new()};
  ControllerContext context;
  RegistryService registry;
};
}  // namespace

Test(registry_service, acknowledges_a_servers_word_in_contact) {
  Fixture alone(1);
  cr_assert_eq(alone.heartbeat("ready", 1), 200);
  cr_assert_eq(alone.heartbeat("draining", 2), 200);
  cr_assert(alone.known_state() == ServerState::draining);
  cr_assert_eq(alone.registry.leave("i-1", "/-/Servers.Leave/i-1").code, 200);
}

// It is taken note of all the same, so that the server is listed where no controller is in contact.
Test(registry_service, acknowledges_nothing_out_of_contact) {
  Fixture cut_off(3);
  cr_assert_geq(cut_off.heartbeat("ready", 1), 300);
  cr_assert_geq(cut_off.heartbeat("draining", 2), 300);
  cr_assert(cut_off.known_state() == ServerState::draining);
  cr_assert_geq(cut_off.registry.leave("i-1", "/-/Servers.Leave/i-1").code, 300);
  cr_assert(cut_off.known_state() == ServerState::gone);
}
