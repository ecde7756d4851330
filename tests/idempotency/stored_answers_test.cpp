#include "idempotency/stored_answers.hpp"

#include <criterion/criterion.h>

#include "idempotency/claim_messages.hpp"

using namespace dockbend;

namespace {
Seconds constexpr kMaxAge = 80;
std::size_t constexpr kMaxBytes = 1000, kLimit = 100;

OperationId const kOperation = OperationId::of_tenant("ada", "k");

std::string answer_of(u64 holder) {
  StoredAnswer answer;
  set_operation(answer, kOperation);
  answer.holder = holder;
  return codec::pack(answer);
}
}  // namespace

// Failure: an old answer stayed until another one was stored, and took the newer one of its key away when it left.
Test(stored_answers, an_answer_leaves_by_its_own_age_and_takes_no_other_of_its_key) {
  StoredAnswers answers;
  answers.add({kOperation, 10}, 5, 1);
  answers.add({kOperation, 20}, 6, 60);
  cr_assert(answers.remove_old(kMaxAge, kMaxBytes, 81, kLimit).empty());
  std::vector<AnswerId> const old = answers.remove_old(kMaxAge, kMaxBytes, 81.5, kLimit);
  cr_assert(old.size() == 1 && old[0].holder == 10);
  cr_assert_eq(answers.size(), 1u);
  cr_assert_eq(answers.bytes(), 6u);
}

Test(stored_answers, the_age_of_an_answer_that_comes_again_counts_from_the_first_time) {
  StoredAnswers answers;
  answers.add({kOperation, 10}, 5, 1);
  answers.add({kOperation, 10}, 7, 70);
  cr_assert_eq(answers.bytes(), 7u);
  cr_assert_eq(answers.remove_old(kMaxAge, kMaxBytes, 82, kLimit).size(), 1u);
  cr_assert_eq(answers.bytes(), 0u);
}

Test(stored_answers, the_oldest_leave_when_all_take_too_much) {
  StoredAnswers answers;
  for (u64 holder = 1; holder <= 4; ++holder)
    answers.add({OperationId::without_tenant("k" + std::to_string(holder)), holder}, 300, 1);
  std::vector<AnswerId> const old = answers.remove_old(kMaxAge, kMaxBytes, 1, kLimit);
  cr_assert(old.size() == 1 && old[0].operation == OperationId::without_tenant("k1"));
  cr_assert_eq(answers.remove_old(kMaxAge, 0, 1, 2).size(), 2u, "at most as many as asked for");
}

// Failure: the place in the list was an index, which pointed elsewhere, or behind the list, once old answers had left.
Test(stored_answers, a_walk_from_the_newest_on_bears_answers_that_leave_meanwhile) {
  StoredAnswers answers;
  for (u64 holder = 1; holder <= 5; ++holder)
    answers.add({kOperation, holder}, 1, static_cast<Seconds>(holder));
  auto next = answers.newest_before(answers.end());
  cr_assert(next && next->second.holder == 5);
  cr_assert_eq(answers.remove_old(1, kMaxBytes, 4.5, kLimit).size(), 3u);
  next = answers.newest_before(next->first);
  cr_assert(next && next->second.holder == 4);
  cr_assert_not(answers.newest_before(next->first).has_value());
}

Test(stored_answers, a_name_is_read_as_it_was_written) {
  std::vector<OperationId> const operations{kOperation, OperationId::without_tenant("k"),
                                            OperationId::of_text("a/b", 0)};
  for (OperationId const& operation : operations)
    for (u64 const holder : {u64{0}, u64{10}, ~u64{0}}) {
      AnswerId const id{operation, holder};
      cr_assert(AnswerId::of_storage_key(id.storage_key()) == id);
    }
  cr_assert(AnswerId::of_storage_key("a/b") == AnswerId({OperationId::of_text("a/b", 0), 0}), "of the release before");
}

Test(stored_answers, the_answer_of_the_first_holder_that_has_one_is_chosen) {
  std::vector<std::string> const encoded{answer_of(10), answer_of(20), "not an answer"};
  std::vector<u64> const likeliest_first{30, 20, 10}, without_answer{30}, nobody;
  cr_assert(choose_answer(encoded, kOperation, likeliest_first) == &encoded[1]);
  cr_assert(choose_answer(encoded, kOperation, without_answer) == nullptr);
  cr_assert(choose_answer(encoded, kOperation, nobody) != nullptr, "a program of before names nobody");
  cr_assert(choose_answer({}, kOperation, nobody) == nullptr);
}
