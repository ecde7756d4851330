// A new disk copies the keys of a majority of the others.
#include <criterion/criterion.h>

#include <string>

#include "idempotency/key_backfill.hpp"

using namespace dockbend;

namespace {

Incarnation constexpr kSourceDisk{11};
Epoch constexpr kEpoch{5};
/// Keys of a long day at size: one for each keyed request of the last 80 s.
int constexpr kKeysOfALongDay = 57000;
/// What one answer may hold, so that claims, probes and rounds of consensus never wait long behind it.
std::size_t constexpr kLargestAnswerBytes = 64 << 10;

KeyTable table_with(int keys) {
  KeyTable table(true);
  for (int i = 0; i < keys; ++i)
    table.load("key-" + std::to_string(i), static_cast<u64>(i + 1), false, 0);
  return table;
}

}  // namespace

Test(key_backfill, one_answer_is_small_however_many_keys_there_are) {
  KeyTable const source = table_with(kKeysOfALongDay);
  KeyCopyRequest request;
  request.epoch = kEpoch;
  KeyCopyResponse const response = KeyBackfill::answer_request(source, kSourceDisk, kEpoch, request);
  cr_assert(response.ok);
  cr_assert_leq(codec::pack(response).size(), kLargestAnswerBytes);
}
