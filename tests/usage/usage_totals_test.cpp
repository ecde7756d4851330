#include <criterion/criterion.h>

#include <algorithm>
#include <random>

#include "usage/usage_totals.hpp"

using namespace dockbend;

// Rows of many proxies, late, twice and out of order, with proxies killed on the way, through a relay to a holder that
// is replaced and forgets everything: each request counts once.
Test(usage_totals, rows_merge_to_the_same_sum_whatever_their_way) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    TenantCounts expected;
    std::vector<UsageRow> sent;
    UsageTotals relay, holder;
    for (u64 incarnation = 1; incarnation <= 12; ++incarnation) {
      UsageCounter counter(incarnation);
      for (int i = 0; i < 200; ++i) {
        std::string const tenant = "t" + std::to_string(random() % 5);
        counter.count_request(tenant, UsageWindow(7 + random() % 2));
        if (random() % 20 == 0)
          for (UsageRow& row : counter.take_update(random() % 4 == 0 ? UsageRows::all : UsageRows::changed).rows)
            sent.push_back(std::move(row));
      }
      for (int k = 0; k < 5; ++k)
        expected["t" + std::to_string(k)] += counter.count("t" + std::to_string(k), UsageWindow(7));
      for (UsageRow& row : counter.take_update(UsageRows::all).rows)
        sent.push_back(std::move(row));
    }
    for (std::size_t i = 0; i < 30; ++i)
      sent.push_back(sent[random() % sent.size()]);
    std::shuffle(sent.begin(), sent.end(), random);
    for (std::size_t i = 0; i < sent.size(); ++i) {
      relay.merge(sent[i]);
      if (random() % 3 == 0)
        for (UsageRow const& row : relay.take_update(UsageRows::changed).rows)
          holder.merge(row);
      if (i == sent.size() / 2) {  // a new holder: it gets all rows
        holder = UsageTotals();
        for (UsageRow const& row : relay.take_update(UsageRows::all).rows)
          holder.merge(row);
      }
    }
    for (UsageRow const& row : relay.take_update(UsageRows::changed).rows)
      holder.merge(row);
    cr_assert(holder.counts_by_tenant(UsageWindow(7)) == expected, "seed %u", seed);
  }
}

Test(usage_totals, nothing_of_reported_windows_comes_back) {
  UsageTotals totals;
  UsageCounter counter(1);
  counter.count_request("a", UsageWindow(3));
  counter.count_request("a", UsageWindow(4));
  for (UsageRow const& row : counter.take_update(UsageRows::changed).rows)
    totals.merge(row);
  totals.forget_before(UsageWindow(4));
  for (UsageRow const& row : counter.take_update(UsageRows::all).rows)
    totals.merge(row);
  cr_assert(totals.counts_by_tenant(UsageWindow(3)).empty());
  cr_assert_eq(totals.first_window().v, 4u);
  cr_assert(counter.take_update(UsageRows::changed).rows.empty(), "a row is sent once");
}
