// Each row of the table in docs/idempotency.md, "Whose an operation is".
#include "request/client_identity.hpp"

#include <criterion/criterion.h>

#include "support/configuration_items.hpp"

using namespace dockbend;
using namespace dockbend::test;

namespace {
std::string const kFirst =
    R"({"upsert":{"customers":[{"name":"ada","keys":["key-1","key-2"],"generation":"00000001"}]}})";
std::string const kKeyTakenAway =
    R"({"upsert":{"customers":[{"name":"ada","keys":["key-2"],"generation":"00000002"}]}})";
std::string const kLastRemoved = R"({"remove":{"customers":[{"name":"ada","generation":"00000003"}]}})";
std::string const kKeyOfAnother =
    R"({"upsert":{"customers":[{"name":"bob","keys":["key-1"],"generation":"00000004"}]}})";
std::string const kKeyReturned =
    R"({"upsert":{"customers":[{"name":"ada","keys":["key-1"],"generation":"00000005"}]}})";

/// The items in force after these changes, one after the other.
std::map<std::string, ConfigItem> items_after(std::vector<std::string> const& changes) {
  std::map<std::string, ConfigItem> items;
  std::string fault;
  for (std::string const& change : changes)
    cr_assert(join(items, read_amend(change), fault) == MergeResult::changed, "%s", change.c_str());
  return items;
}

/// Who may run, and whose its operations are; nobody's: "-". The configuration is of a proxy that has just started.
std::string identity_of(std::vector<std::string> const& changes, std::string const& authorization, bool is_keyless) {
  CompiledConfiguration configuration;
  for (auto const& [key, item] : items_after(changes))
    configuration.put(item);
  Route route;
  route.keyless = is_keyless;
  ClientIdentity const client = identify_client(authorization.empty() ? nullptr : &authorization, route, configuration);
  if (!client.is_admitted) return "401";
  std::string const tenant = client.tenant ? client.tenant->name : "-";
  return tenant + " " + (client.operation_tenant.empty() ? "-" : client.operation_tenant);
}

void expect(std::vector<std::string> const& changes, std::string const& authorization, std::string const& keyless,
            std::string const& other) {
  std::string const on_keyless = identity_of(changes, authorization, true);
  std::string const on_other = identity_of(changes, authorization, false);
  cr_assert(on_keyless == keyless, "'%s' on a keyless route: %s", authorization.c_str(), on_keyless.c_str());
  cr_assert(on_other == other, "'%s' on another route: %s", authorization.c_str(), on_other.c_str());
}
}  // namespace

Test(client_identity, without_tenants_all_may_run_and_operations_are_nobodys) {
  for (char const* const authorization : {"", "Token key-1", "Token key-of-nobody"})
    expect({}, authorization, "- -", "- -");
}

Test(client_identity, a_key_in_force_is_its_tenants) {
  expect({kFirst}, "Token key-1", "ada ada", "ada ada");
}

Test(client_identity, without_a_known_key_only_keyless_routes_run) {
  for (char const* const authorization : {"", "Token key-of-nobody", "Token", "Basic key-1"})
    expect({kFirst}, authorization, "- -", "401");
}

// Failure: an operation on a keyless route ran again once its client's key had been taken away.
Test(client_identity, operations_of_a_key_that_was_taken_away_stay_its_tenants) {
  expect({kFirst, kKeyTakenAway}, "Token key-1", "- ada", "401");
  expect({kFirst, kKeyTakenAway}, "Token key-2", "ada ada", "ada ada");
}

// Failure: once the last tenant was removed, requests ran with its key and with keys that nobody ever had.
Test(client_identity, once_the_last_tenant_is_removed_requests_still_need_a_key) {
  expect({kFirst, kLastRemoved}, "Token key-1", "- ada", "401");
  expect({kFirst, kKeyTakenAway, kLastRemoved}, "Token key-1", "- ada", "401");
  expect({kFirst, kLastRemoved}, "Token key-of-nobody", "- -", "401");
  expect({kFirst, kLastRemoved}, "", "- -", "401");
}

Test(client_identity, a_key_that_was_taken_away_may_be_given_again) {
  expect({kFirst, kKeyTakenAway, kKeyOfAnother}, "Token key-1", "bob bob", "bob bob");
  expect({kFirst, kKeyTakenAway, kKeyReturned}, "Token key-1", "ada ada", "ada ada");
  expect({kFirst, kKeyTakenAway, kKeyReturned}, "Token key-2", "- ada", "401");
}

// Not a fault: before, it was nobody's request (docs/questions.md, 24).
Test(client_identity, the_first_tenant_takes_over_no_operation_of_nobodys) {
  expect({}, "Token key-1", "- -", "- -");
  expect({kFirst}, "Token key-1", "ada ada", "ada ada");
}

Test(client_identity, an_operation_is_named_by_its_tenant_and_key) {
  ClientIdentity client;
  cr_assert(operation_of_client(client, "k") == OperationId::without_tenant("k"));
  client.operation_tenant = "ada";
  cr_assert(operation_of_client(client, "k") == OperationId::of_tenant("ada", "k"));
}

// On a keyless route runs who is not known too: there the API key itself is named, the same by every machine.
Test(client_identity, an_api_key_is_named_where_machines_may_differ_on_whose_it_is) {
  auto const fingerprint = [](std::vector<std::string> const& changes, std::string const& authorization,
                              bool is_keyless) {
    CompiledConfiguration configuration;
    for (auto const& [key, item] : items_after(changes))
      configuration.put(item);
    Route route;
    route.keyless = is_keyless;
    return identify_client(&authorization, route, configuration).fingerprint;
  };
  std::string const known = fingerprint({kFirst}, "Token key-1", true);
  cr_assert_eq(known.size(), 32u);
  cr_assert(fingerprint({kFirst, kKeyTakenAway}, "Token key-1", true) == known);
  cr_assert(fingerprint({kKeyOfAnother}, "Token key-1", true) == known);
  cr_assert(fingerprint({kFirst}, "Token key-2", true) != known);
  cr_assert(fingerprint({kFirst}, "Token key-1", false).empty(), "only known keys run");
  cr_assert(fingerprint({kFirst}, "", true).empty(), "it brings none");
  cr_assert(fingerprint({}, "Token key-1", true).empty(), "there never were tenants");
}
