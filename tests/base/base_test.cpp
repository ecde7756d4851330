#include <criterion/criterion.h>

#include <set>

#include "settings/settings.hpp"
#include "transport/dial_strategy.hpp"
#include "transport/message.hpp"

using namespace dockbend;

// Cut off: directly twice, then relays in turn with the direct way between them.
Test(ways, a_cut_off_link_tries_every_relay_and_the_direct_way) {
  DialStrategy w;
  std::set<std::size_t> attempted;
  std::size_t direct_gap = 0, most_gap = 0;
  for (int i = 0; i < 30; ++i) {
    auto const r = w.next(4);
    if (i < 2) cr_assert_not(r.has_value(), "the direct way first");
    if (r) {
      attempted.insert(*r);
      ++direct_gap;
    } else {
      direct_gap = 0;
    }
    most_gap = std::max(most_gap, direct_gap);
    w.failed();
  }
  cr_assert_eq(attempted.size(), 4u);
  cr_assert_leq(most_gap, 2u);
  w.direct();
  cr_assert_not(w.next(4).has_value());
  w.failed();
  w.failed();
  cr_assert(w.next(4).has_value());
  cr_assert_not(w.next(0).has_value(), "nobody to go through");
}

// One parcel at a time is cut short or spoiled: it is refused, not guessed at.
Test(encode_message, large_letters_shrink_and_small_ones_stay) {
  std::string big;
  for (int i = 0; i < 400; ++i)
    big += "{\"name\":\"r-" + std::to_string(i) + "\",\"kind\":\"idempotent\"}";
  EncodedMessage const p = encode_message(MessageType::state_update, big);
  cr_assert(p.kind == MessageType::deflated);
  cr_assert_lt(p.body().size(), big.size() / 5);
  EncodedMessage const s = encode_message(MessageType::state_update, "short");
  cr_assert(s.kind == MessageType::state_update && s.body() == "short");
}

// One line of the settings is spoiled at a time; the field is named. Unknown ones pass.
Test(settings, the_platforms_fields_are_checked) {
  std::string const good =
      "ip=10.0.0.1\nzone=a\nzones.a=r\ninnerPorts=7000,7010\ncloudApi.address=10.9.0.1:80\ncloudApi.tasks=usage_report,"
      "other\n"
      "cloudApi.dutyPerS=50\nbounds.leaseTermS=3\nbounds.reportPeriodS=5\nbounds.usageDelayS=10\ncloudApi.unheardOf="
      "7\n";
  Settings const s = parse_settings(good);
  cr_assert(s.cloud && s.cloud->str() == "10.9.0.1:80");
  cr_assert_eq(s.cloudTasks.size(), 2u);
  cr_assert_eq(s.relay(), 7002u);
  for (auto const& [from, to, field] : {std::tuple{"10.9.0.1:80", "10.9.0.1", "cloudApi.address"},
                                        {"leaseTermS=3", "leaseTermS=0", "bounds.leaseTermS"},
                                        {"reportPeriodS=5", "reportPeriodS=x", "bounds.reportPeriodS"},
                                        {"dutyPerS=50", "dutyPerS=-1", "cloudApi.dutyPerS"}}) {
    std::string t = good;
    t.replace(t.find(from), std::string(from).size(), to);
    try {
      parse_settings(t);
      cr_assert(false, "%s was taken", to);
    } catch (SettingsError const& e) {
      cr_assert_str_eq(e.field.c_str(), field);
    }
  }
}
