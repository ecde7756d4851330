#include <criterion/criterion.h>

#include "load_generation/report_rendering.hpp"

using namespace dockbend;

namespace {

LoadReport small_report() {
  LoadReport report;
  report.opened_connections = 3;
  report.kinds.push_back({"read", {}});
  report.kinds[0].results.add(0, 0, 0.25, 200);
  report.kinds[0].results.add(0, 0.5, 1, 503);
  report.kinds[0].results.add(0, 0, 2, 0);
  report.budgets.push_back({"t1", 1, BudgetUsage(1)});
  report.budgets.push_back({"t2", 1, BudgetUsage(1)});
  report.budgets[0].usage.add(0);
  report.budgets[1].usage.add(0);
  report.budgets[1].usage.add(0);
  return report;
}

}  // namespace

Test(report_rendering, text_has_a_line_for_each_kind_and_budget) {
  std::string const expected =
      "kind                due     good   late    p50 ms    p90 ms    p99 ms   most ms  answers\n"
      "read                  3        1      1     250.0     250.0     250.0     250.0  none:1 200:1 503:1\n"
      "budget t1: at most 1 over rate x time; the burst is 1: held\n"
      "budget t2: at most 2 over rate x time; the burst is 1: BROKEN\n";
  std::string const text = render_as_text(small_report());
  cr_assert(text == expected, "%s", text.c_str());
}

Test(report_rendering, json_has_the_members_in_their_order) {
  std::string const expected =
      "{\"channels\":3,\"kinds\":[{\"kind\":\"read\",\"due\":3,\"good\":1,\"late\":1,\"p50Ms\":250.0,\"p90Ms\":250.0,"
      "\"p99Ms\":250.0,\"p999Ms\":250.0,\"mostMs\":250.0,\"answers\":{\"0\":1,\"200\":1,\"503\":1}}],"
      "\"budgets\":[{\"token\":\"t1\",\"mostOverRate\":1.0,\"burst\":1.0},"
      "{\"token\":\"t2\",\"mostOverRate\":2.0,\"burst\":1.0}]}\n";
  std::string const text = render_as_json(small_report());
  cr_assert(text == expected, "%s", text.c_str());
}

Test(report_rendering, only_answers_of_success_count_as_successes) {
  cr_assert_eq(small_report().successes(), 1u);
  cr_assert_eq(LoadReport{}.successes(), 0u);
}
