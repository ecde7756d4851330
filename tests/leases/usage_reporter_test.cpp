#include <criterion/criterion.h>

#include "leases/usage_reporter.hpp"

using namespace dockbend;

// One body a window for ever; rejections, silence and 429 are heeded.
Test(usage_reporter, freezes_once_sends_in_order_and_repeats_byte_for_byte) {
  UsageReporter reporter(UsageReportOptions{5, 1.5, 6, 1, 0.05, 0.4, 3});
  ReplicatedState state;
  UsageTotals totals;
  UsageRow row;
  row.incarnation = 1;
  row.window = UsageWindow(10);
  row.tenants = {"a"};
  row.counts = {7};
  totals.merge(row);
  cr_assert_not(reporter.report_to_freeze(state, totals, 60.9, 100, 50).has_value(),
                "a proxy that has not gone on to the next window may be behind a partition");
  cr_assert_not(reporter.report_to_freeze(state, totals, 61.1, 100, 0.5).has_value(),
                "a new holder waits for the others' counts");
  row.window = UsageWindow(11);
  totals.merge(row);
  cr_assert_not(reporter.report_to_freeze(state, totals, 56.4, 100, 50).has_value(), "counts settle first");
  auto const frozen = reporter.report_to_freeze(state, totals, 56.6, 100, 50);
  cr_assert(frozen && UsageReporter::freeze(state, *frozen));
  FrozenUsageReport other = *frozen;
  other.body = "{}";
  cr_assert_not(UsageReporter::freeze(state, other), "a window is frozen once");
  auto sent = reporter.report_to_send(state, 101);
  cr_assert(sent && sent->body == "{\"windowIndex\":10,\"tallies\":{\"a\":7}}");
  reporter.on_sent(101);
  cr_assert_not(reporter.report_to_send(state, 101.5).has_value(), "one call at a time");
  reporter.on_response(10, PlatformResponse{429, 2.0}, 101.2);
  cr_assert_not(reporter.report_to_send(state, 103.1).has_value(), "429's Retry-After");
  sent = reporter.report_to_send(state, 103.3);
  cr_assert(sent && sent->body == frozen->body);
  reporter.on_sent(103.3);
  reporter.on_response(10, PlatformResponse{}, 104.3);
  cr_assert_not(reporter.report_to_send(state, 104.5).has_value(), "backs off");
  sent = reporter.report_to_send(state, 106);
  reporter.on_sent(106);
  reporter.on_response(10, PlatformResponse{200, std::nullopt}, 106.1);
  cr_assert_not(reporter.report_to_send(state, 107).has_value(), "200 ends it");
  cr_assert(UsageReporter::tick_off(state, *reporter.acknowledged_window()));
  cr_assert(state.fixed.empty() && state.to_fix == 11);
}
