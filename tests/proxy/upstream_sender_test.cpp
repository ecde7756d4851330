// What a server is sent: the system's own headers whatever the client named, and no more time than is left.
#include <criterion/criterion.h>

#include <cstdlib>

#include "support/proxy_fixture.hpp"

using namespace dockbend;
using namespace dockbend::test;

namespace {
/// Of the first request that the server keeps; empty: it has no such header.
std::string header_at(KeepingServer const& server, char const* name) {
  char const* const value = evhttp_find_header(evhttp_request_get_input_headers(server.requests.front()), name);
  return value == nullptr ? "" : value;
}
double time_left_at(KeepingServer const& server) {
  return std::strtod(header_at(server, "X-Time-Left").c_str(), nullptr);
}
}  // namespace

// A client that names itself another tenant, or another server, is not believed.
Test(upstream_sender, headers_that_the_system_sets_are_its_own) {
  ProxyFixture fixture;
  fixture.add_server("i-1", fixture.first.port);
  fixture.client_headers = {{"X-Tenant", "somebody-else"}, {"X-Target-Server", "i-9"}, {"X-Time-Left", "900000"}};
  fixture.ask();
  fixture.until([&] { return fixture.first.requests.size() == 1; });
  cr_assert(header_at(fixture.first, "X-Tenant").empty());
  cr_assert(header_at(fixture.first, "X-Target-Server") == "i-1");
  cr_assert_leq(time_left_at(fixture.first), 20000, "the route allows no more");
  fixture.first.answer();
  fixture.expect_answer();
}

// The second attempt begins 0.2 s after the first.
Test(upstream_sender, time_left_shrinks_with_each_attempt) {
  ProxyFixture fixture;
  fixture.client_headers = {{"X-Time-Left", "5000"}};
  fixture.hedge(fixture.second.port);
  fixture.until([&] { return fixture.second.requests.size() == 1; });
  cr_assert_gt(time_left_at(fixture.first), 4500);
  cr_assert_leq(time_left_at(fixture.first), 5000);
  cr_assert_leq(time_left_at(fixture.second), time_left_at(fixture.first) - 150);
  fixture.first.answer();
  fixture.expect_answer();
}

// A request smuggled inside another one: without its length a body would be read as the next request.
Test(upstream_sender, length_of_a_body_is_stated_whatever_the_method) {
  ProxyFixture fixture;
  fixture.add_server("i-1", fixture.first.port);
  std::string const body = "DELETE /u/y HTTP/1.1\r\nHost: a.example\r\n\r\n";
  fixture.client_headers = {{"Content-Length", std::to_string(body.size())}};
  for (evhttp_cmd_type const method : {EVHTTP_REQ_POST, EVHTTP_REQ_PUT, EVHTTP_REQ_PATCH}) {
    fixture.ask(method, "/u/x", body);
    fixture.until([&] { return fixture.first.requests.size() == 1; });
    cr_assert(header_at(fixture.first, "Content-Length") == std::to_string(body.size()));
    fixture.first.answer();
    fixture.expect_answer();
  }
}
