// What a proxy goes by: the newest state that it was sent, and its own readiness.
#include <criterion/criterion.h>

#include "proxy/front_listener.hpp"
#include "proxy/state_applier.hpp"
#include "support/proxy_fixture.hpp"
#include "wire/codec.hpp"

using namespace dockbend;
using namespace dockbend::test;

namespace {
StateUpdate state_with(u64 ballot, char const* change) {
  ReplicatedState state;
  state.ballot = Ballot(ballot);
  state.membership.emplace_back().ip = "10.0.0.1";
  for (auto const& [key, item] : items_of(change))
    state.items.push_back(item);
  StateUpdate update;
  update.state = codec::pack(state);
  return update;
}
char const* const kWithRouteB =
    R"({"upsert":{"sockets":[{"host":"b.example","policy":[{"name":"rb","kind":"idempotent","setpointS":1,"rank":0,
"generation":"00000009","selector":{"pathPrefix":"/b/"},"actuation":{"service":"s1","deadlineS":2,"maxTries":1}}]}],
"pools":[{"name":"s1","healthPath":"/health","generation":"00000009"}]},"remove":{"routes":[]}})";
char const* const kWithRouteC =
    R"({"upsert":{"sockets":[{"host":"c.example","policy":[{"name":"rc","kind":"idempotent","setpointS":1,"rank":0,
"generation":"00000008","selector":{"pathPrefix":"/c/"},"actuation":{"service":"s1","deadlineS":2,"maxTries":1}}]}],
"pools":[{"name":"s1","healthPath":"/health","generation":"00000008"}]},"remove":{"routes":[]}})";
}  // namespace

// Two controllers feed the proxy's agent, and one may be behind.
Test(state_applier, older_state_takes_nothing_back) {
  ProxyFixture fixture;
  FrontListener front(fixture.loop, Address{"127.0.0.1", 0}, fixture.context.configuration.limits(), fixture.intake);
  StateApplier applier(fixture.context, front, fixture.routing, fixture.driver.quota(), fixture.driver.usage());
  applier.apply(state_with(5, kWithRouteB), 1);
  applier.apply(state_with(4, kWithRouteC), 2);
  cr_assert(fixture.context.configuration.find("b.example", "/b/"));
  cr_assert_not(fixture.context.configuration.find("c.example", "/c/"));
  applier.apply(state_with(6, kWithRouteC), 3);
  cr_assert(fixture.context.configuration.find("c.example", "/c/"));
}

Test(readiness, ends_with_a_sigterm) {
  ProxyFixture fixture;
  cr_assert_not(fixture.context.is_ready(), "there is no server yet");
  fixture.add_server("i-1", fixture.first.port);
  cr_assert(fixture.context.is_ready());
  fixture.context.drain.begin_shutdown(steady_now());
  cr_assert_not(fixture.context.is_ready());
}
