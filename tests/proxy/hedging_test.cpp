// A request's way through the assembled parts of the proxy, with two servers on the same event loop.
#include <criterion/criterion.h>

#include "support/proxy_fixture.hpp"

using namespace dockbend;
using namespace dockbend::test;

// The incident of 2026-12-02: the client got 502 here, though its first server had been at work.
Test(hedging, late_attempt_answers_when_its_retry_reaches_no_server) {
  ProxyFixture fixture;
  fixture.hedge(closed_port());
  fixture.until([&] { return fixture.request() != nullptr && fixture.request()->hedged_attempts.empty(); });
  cr_assert_not(fixture.is_answered);
  fixture.run_for(0.1);
  fixture.first.answer();
  fixture.expect_answer();
  // Late after 0.2 s, and 0.1 s more: learned as that, not from its retry's beginning.
  LoadBalancer& balancer = fixture.context.load_balancer;
  cr_assert_gt(balancer.mean_latency(balancer.service_index("s1"), "r1", steady_now()), 0.3 - 0.005);
}

Test(hedging, first_complete_answer_is_taken_and_the_other_attempt_is_broken_off) {
  for (bool const late_one_wins : {false, true}) {
    ProxyFixture fixture;
    fixture.hedge(fixture.second.port);
    fixture.until([&] { return fixture.second.requests.size() == 1; });
    (late_one_wins ? fixture.first : fixture.second).answer();
    fixture.expect_answer();
    for (u32 const server : {0U, 1U}) {
      Endpoint const& endpoint = fixture.context.load_balancer.endpoint(ServerIndex{server});
      cr_assert_eq(endpoint.in_flight, 0);
      cr_assert_eq(endpoint.connections, endpoint.idle_connections, "the connection at work is closed");
    }
  }
}

Test(hedging, retry_answers_after_the_late_attempt_broke_off) {
  ProxyFixture fixture;
  fixture.hedge(fixture.second.port);
  fixture.until([&] { return fixture.second.requests.size() == 1; });
  evhttp_connection_free(evhttp_request_get_connection(fixture.first.requests.front()));
  fixture.until([&] { return fixture.request()->hedged_attempts.empty(); });
  cr_assert_not(fixture.is_answered);
  fixture.second.answer();
  fixture.expect_answer();
}
