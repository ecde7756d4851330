#include "idempotency/proxy_messages.hpp"

#include "wire/codec.hpp"

namespace dockbend {

KeyOutcomeNotice notice_of_answer(StoredAnswer const& answer) {
  KeyOutcomeNotice notice;
  set_operation(notice, operation_of(answer));
  notice.holder = answer.holder;
  notice.homes = answer.homes;
  bool const is_stored = answer.body.size() <= kMostStoredBodyBytes;
  notice.outcome = is_stored ? KeyOutcome::returned : KeyOutcome::lost;
  if (is_stored) notice.stored_answer = codec::pack(answer);
  return notice;
}

StoredAnswer lost_answer_of(KeyOutcomeNotice const& notice) {
  StoredAnswer lost;
  set_operation(lost, operation_of(notice));
  lost.holder = notice.holder;
  lost.lost = true;
  lost.homes = notice.homes;
  return lost;
}

}  // namespace dockbend
