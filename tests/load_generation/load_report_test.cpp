#include <criterion/criterion.h>

#include "load_generation/load_report.hpp"

using namespace dockbend;

// A server stands still for a second while ten requests a second are due. A closed
// loop would count one slow answer; here all ten show.
Test(load_report, waiting_does_not_hide_what_was_due) {
  KindResults t;
  for (int i = 0; i < 100; ++i) {
    double const due = i * 0.1;
    double const sent = due >= 5 && due < 6 ? 6.0 : due;
    t.add(due, sent, sent + 0.01, 200);
  }
  cr_assert_eq(t.late, 10u);
  cr_assert(t.times.quantile(0.95) > 0.4, "%f", t.times.quantile(0.95));
  cr_assert(t.times.quantile(0.5) < 0.011);
  cr_assert_float_eq(t.times.most(), 1.01, 1e-6);
}

Test(load_report, arrivals_are_open_and_repeat_by_seed) {
  Arrivals a(50, 3), b(50, 3), c(50, 4);
  double last = 0, x = 0;
  bool differs = false;
  for (int i = 0; i < 10000; ++i) {
    x = a.next();
    cr_assert(x > last);
    double const y = b.next();
    cr_assert_float_eq(x, y, 1e-12);
    differs = differs || c.next() != x;
    last = x;
  }
  cr_assert(differs);
  cr_assert(x > 190 && x < 210, "%f", x);
}

Test(load_report, only_successes_are_timed_and_quantiles_are_close) {
  KindResults t;
  for (int i = 1; i <= 1000; ++i)
    t.add(0, 0, i / 1000.0, i % 2 == 0 ? 200 : 503);
  cr_assert_eq(t.times.count(), 500u);
  cr_assert_eq(t.codes.at(503), 500u);
  cr_assert(std::abs(t.times.quantile(0.9) - 0.9) < 0.02);
}

Test(load_report, bad_kinds_are_named) {
  cr_assert_eq(parse_kind("q:POST:/a/:5:100:keyed").body, 100u);
  for (char const* bad : {"q:GET:/a/", "q:FETCH:/a/:5", "q:GET:a:5", "q:GET:/a/:0", "q:GET:/a/:x", "q:GET:/a/:5:10",
                          "q:POST:/a/:5:10:odd", ":GET:/a/:5"}) {
    bool threw = false;
    try {
      parse_kind(bad);
    } catch (LoadOptionError const&) {
      threw = true;
    }
    cr_assert(threw, "%s", bad);
  }
}

Test(load_report, the_most_over_rate_is_found_in_any_span) {
  BudgetUsage g(10);
  for (int i = 0; i < 100; ++i)
    g.add(i * 0.1);
  cr_assert_float_eq(g.worst(), 1, 0.01);
  for (int i = 0; i < 5; ++i)
    g.add(20);
  cr_assert_float_eq(g.worst(), 5, 0.01);
  g.add(20.1);
  cr_assert_float_eq(g.worst(), 5, 0.01);
  LoadKind const k = parse_kind("a:GET:/x:5:::key-1");
  cr_assert_str_eq(k.token.c_str(), "key-1");
  cr_assert_not(k.keyed);
}
