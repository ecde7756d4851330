// Clients that leave: what may be repeated ends with them, what may not goes on, and nothing is begun for them.
#include <criterion/criterion.h>

#include "support/proxy_fixture.hpp"

using namespace dockbend;
using namespace dockbend::test;

// The proxy did not look at a client's connection before it wrote the answer: the server worked on for nobody.
Test(client_departure, repeatable_run_ends_with_its_client) {
  ProxyFixture fixture;
  ScriptedServer server(fixture.loop);
  fixture.add_server("i-1", server.port);
  fixture.ask();
  fixture.until([&] { return server.received() > 0; });
  fixture.leave();
  fixture.until([&] { return server.is_closed; });
  cr_assert_eq(fixture.context.requests.size(), 0u);
  Endpoint const& endpoint = fixture.context.load_balancer.endpoint(ServerIndex{0});
  cr_assert_eq(endpoint.in_flight, 0);
  cr_assert_eq(endpoint.ejections, 0, "its server has not failed");
}
