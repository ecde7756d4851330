// What a proxy tells its agent of an answer.
#include <criterion/criterion.h>

#include "idempotency/proxy_messages.hpp"
#include "wire/codec.hpp"

using namespace dockbend;

// A key whose answer was too long to be stored counted as in progress: its repeats got 409 though it had been answered.
Test(proxy_messages, answer_too_long_to_be_stored_is_reported_as_lost) {
  StoredAnswer answer;
  answer.key = "k";
  answer.holder = 7;
  answer.homes = {"north"};
  answer.body = std::string(kMostStoredBodyBytes, 'b');
  KeyOutcomeNotice const stored = notice_of_answer(answer);
  cr_assert(stored.outcome == KeyOutcome::returned);
  cr_assert_eq(codec::unpack<StoredAnswer>(stored.stored_answer).body.size(), kMostStoredBodyBytes);

  answer.body += 'b';
  KeyOutcomeNotice const lost = notice_of_answer(answer);
  cr_assert(lost.outcome == KeyOutcome::lost && lost.stored_answer.empty());
  cr_assert(lost.key == "k" && lost.holder == 7 && lost.homes == answer.homes);
}
