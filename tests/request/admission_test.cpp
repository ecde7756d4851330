#include <criterion/criterion.h>

#include <functional>
#include <map>

#include "request/admission.hpp"
#include "support/configuration_items.hpp"

using namespace dockbend;
using namespace dockbend::test;

namespace {
std::string const call =
    R"({"upsert":{"limits":{"headerBytes":300,"bodyBytes":50000,"headerDeadlineS":3,"idleTimeoutS":15,"generation":"00000007"},
"sockets":[{"host":"a.example","policy":[{"name":"r1","kind":"idempotent","setpointS":0.3,"rank":2,"generation":"00000007","selector":{"pathPrefix":"/p/"},
"actuation":{"split":[{"service":"s1","gain":90},{"service":"s2","gain":10}],"deadlineS":1.2,"maxTries":2,"homeRegions":[]}},
{"name":"r2","kind":"keyed","setpointS":0.3,"rank":1,"generation":"00000007","selector":{"pathPrefix":"/p/q/"},
"actuation":{"service":"s1","deadlineS":1.2,"maxTries":2,"homeRegions":["north"]}}]}],
"pools":[{"name":"s1","healthPath":"/health","connLimit":110,"selfDedupes":false,"coldS":3.0,"coldRateS":9.9,"generation":"00000007"},
{"name":"s2","healthPath":"/health","connLimit":110,"selfDedupes":true,"coldS":3.0,"coldRateS":9.9,"generation":"00000007"}]},"remove":{"routes":[]}})";

struct Call {
  Headers heads{{"Host", "A.example:80"}, {"X-Attempt-Id", "a1"}, {"X-Operation-Key", "k"}, {"X-Time-Left", "700"}};
  std::string target = "/p/q/x?y";
  std::size_t body = 0;
  bool chunks = false, drains = false, known = true;
  Seconds reading_time = 0;
};
CompiledConfiguration compile(std::string const& change) {
  CompiledConfiguration configuration;
  put_items(configuration, change);
  return configuration;
}
AdmissionResult play(std::function<void(Call&)> spoil = [](Call&) {}) {
  CompiledConfiguration const man = compile(call);
  Call c;
  spoil(c);
  return admit(IncomingRequest{c.heads, c.target, c.body, c.chunks, c.reading_time}, c.known ? &man : nullptr,
               man.limits(), c.drains, 0.95);
}
}  // namespace

Test(admission, a_good_request_has_its_route_key_homes_and_time) {
  AdmissionResult const a = play();
  cr_assert(a.request.has_value());
  cr_assert(a.attempt_id == "a1" && a.request->route->name == "r2" &&
            a.request->operation == OperationId::without_tenant("k") && *a.request->service == "s1");
  cr_assert(a.request->homes == std::vector<std::string>{"north"});
  cr_assert_not(a.request->is_repeatable || a.request->is_upload);
  cr_assert_float_eq(a.request->time_left, 0.7, 1e-9);
  AdmissionResult const b = play([](Call& c) { c.target = "/p/x"; });
  cr_assert(b.request && b.request->is_repeatable && b.request->operation.is_empty() && *b.request->service == "s2",
            "the draw picks the second");
}

// A client's time runs from its request's first byte; the route's deadline, 1.2 s here, from its last.
Test(admission, what_reading_took_is_off_the_clients_time) {
  auto const time_left = [](Seconds reading_time) {
    return play([=](Call& c) { c.reading_time = reading_time; }).request->time_left;
  };
  cr_assert_float_eq(time_left(0.5), 0.2, 1e-9);
  cr_assert_float_eq(time_left(0.8), 0, 1e-9, "the client has gone");
  AdmissionResult const unlimited = play([](Call& c) {
    c.reading_time = 0.5;
    std::erase_if(c.heads, [](auto const& header) { return header.first == "X-Time-Left"; });
  });
  cr_assert_float_eq(unlimited.request->time_left, 1.2, 1e-9);
}

// Given a good request of which one thing at a time is spoiled, admission refuses it with the right status.
Test(admission, each_spoiled_request_is_refused) {
  struct M {
    int code;
    std::function<void(Call&)> spoil;
  };
  M const ms[] = {
      {400, [](Call& c) { c.heads.emplace_back("Host", "b.example"); }},
      {400, [](Call& c) { c.heads.emplace_back("x-attempt-id", "a2"); }},
      {400, [](Call& c) { c.heads.emplace_back("X-Operation-Key", "k2"); }},
      {400, [](Call& c) { c.heads.emplace_back("Content-Length", "5"); }},
      {400, [](Call& c) { c.body = 5; }},
      {400, [](Call& c) { c.heads.emplace_back("Transfer-Encoding", "chunked"); }},
      {400, [](Call& c) { c.heads.erase(c.heads.begin()); }},
      {400, [](Call& c) { c.heads.erase(c.heads.begin() + 1); }},
      {400, [](Call& c) { c.heads[2].second.clear(); }},
      {400, [](Call& c) { c.target = "p/q/x"; }},
      {400, [](Call& c) { c.target = "/p/q/x HTTP/1.1"; }},
      {400, [](Call& c) { c.target = "/p/q/\x01"; }},
      {400, [](Call& c) { c.heads.emplace_back("X Two", "words"); }},
      {400, [](Call& c) { c.heads.emplace_back("X-Split", "a\rX-Operation-Key: k2"); }},
      {404, [](Call& c) { c.target = "/z/"; }},
      {404, [](Call& c) { c.heads[0].second = "b.example"; }},
      {413, [](Call& c) { c.heads.emplace_back("Content-Length", "50001"), c.body = 50001; }},
      {431, [](Call& c) { c.heads.emplace_back("X-Long", std::string(300, 'x')); }},
      {503, [](Call& c) { c.known = false; }},
      {503, [](Call& c) { c.drains = true; }},
  };
  for (M const& m : ms) {
    AdmissionResult const a = play(m.spoil);
    cr_assert(!a.request && a.refusal.status == m.code, "%d, not %d", a.refusal.status, m.code);
  }
}

namespace {
// Two tenants, one of them with homes, and a route that wants none.
std::string const call_with_tenants =
    R"({"upsert":{"customers":[{"name":"ada","keys":["key-ada"],"rank":0,"homeRegions":["south","north"],"generation":"00000007"},
{"name":"bob","keys":["key-bob"],"generation":"00000007"}],
"sockets":[{"host":"a.example","policy":[{"name":"r1","kind":"idempotent","setpointS":0.3,"rank":2,"generation":"00000007",
"selector":{"pathPrefix":"/p/"},"actuation":{"service":"s1","deadlineS":1.2,"maxTries":2,"homeRegions":["north","east"]}},
{"name":"r2","kind":"keyed","setpointS":0.3,"rank":1,"keyless":true,"generation":"00000007","selector":{"pathPrefix":"/open/"},
"actuation":{"service":"s1","deadlineS":1.2,"maxTries":2,"homeRegions":[]}}]}],
"pools":[{"name":"s1","healthPath":"/health","generation":"00000007"}]},"remove":{"routes":[]}})";

AdmissionResult ask_as(std::string const& authorization, std::string const& target = "/p/x") {
  CompiledConfiguration const configuration = compile(call_with_tenants);
  Headers headers{{"Host", "a.example"}, {"X-Attempt-Id", "a1"}, {"X-Operation-Key", "k"}};
  if (!authorization.empty()) headers.emplace_back("Authorization", authorization);
  return admit(IncomingRequest{headers, target, 0, false, 0}, &configuration, configuration.limits(), false, 0.5);
}
}  // namespace

Test(admission, request_without_a_known_key_is_refused_where_its_route_wants_a_tenant) {
  for (char const* const authorization : {"", "Token key-eve", "Token", "Basic key-ada"}) {
    AdmissionResult const result = ask_as(authorization);
    cr_assert(!result.request && result.refusal.status == 401, "%s: %d", authorization, result.refusal.status);
  }
  cr_assert(ask_as("Token key-ada").request->tenant->name == "ada");
  cr_assert_not(ask_as("", "/open/x").request->tenant, "a route may want none");
}

Test(admission, homes_of_route_and_tenant_both_bind) {
  cr_assert(ask_as("Token key-ada").request->homes == std::vector<std::string>{"north"});
  cr_assert(ask_as("Token key-bob").request->homes == std::vector<std::string>({"north", "east"}));
  cr_assert(ask_as("Token key-ada", "/open/x").request->homes == std::vector<std::string>({"south", "north"}));
}

Test(admission, key_of_an_operation_is_its_tenants_own) {
  cr_assert(ask_as("Token key-ada", "/open/x").request->operation == OperationId::of_tenant("ada", "k"));
  cr_assert(ask_as("Token key-bob", "/open/x").request->operation == OperationId::of_tenant("bob", "k"));
}

Test(admission, parts_of_a_split_get_their_share) {
  CompiledConfiguration const configuration = compile(call);
  Headers const headers{{"Host", "a.example"}, {"X-Attempt-Id", "a1"}};
  int of_first = 0;
  for (double draw = 0.005; draw < 1; draw += 0.01) {
    AdmissionResult const result =
        admit(IncomingRequest{headers, "/p/x", 0, false, 0}, &configuration, configuration.limits(), false, draw);
    of_first += *result.request->service == "s1" ? 1 : 0;
  }
  cr_assert_eq(of_first, 90);
}
