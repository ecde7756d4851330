#include "idempotency/answer_search.hpp"

#include <criterion/criterion.h>

#include "idempotency/undelivered_answers.hpp"

using namespace dockbend;

namespace {
/// Two disks in each of the regions a, b and c, named by region and number.
std::vector<Member> members() {
  std::vector<Member> all;
  for (char const* region : {"a", "b", "c"})
    for (char const* number : {"1", "2"}) {
      Member& member = all.emplace_back();
      member.ip = std::string(region) + number;
      member.region = region;
    }
  return all;
}

bool may_be_missed(std::vector<std::string> const& heard, std::vector<std::string> const& homes) {
  AnswerSearch search;
  for (std::string const& disk : heard)
    search.on_none(disk);
  return search.may_be_missed(members(), homes);
}

UndeliveredAnswers::Answer undelivered(std::string const& key, std::size_t bytes, Seconds since = 0) {
  UndeliveredAnswers::Answer answer;
  answer.operation = OperationId::without_tenant(key);
  answer.holder = 1;
  answer.encoded = std::string(bytes, 'x');
  answer.since = since;
  return answer;
}
}  // namespace

Test(answer_search, an_answer_is_missed_where_all_its_copies_may_be) {
  std::vector<std::string> const anywhere, home{"c"};
  cr_assert_not(may_be_missed({"a1", "a2", "b1", "b2", "c1", "c2"}, anywhere));
  cr_assert_not(may_be_missed({"a1", "a2", "b1", "b2", "c1"}, anywhere), "the other copy would have been found");
  cr_assert(may_be_missed({"a1", "a2", "b1", "b2"}, anywhere), "a region");
  cr_assert_not(may_be_missed({"a1", "a2", "b1", "b2", "c1"}, home));
  cr_assert(may_be_missed({"a1", "a2", "b1", "b2"}, home));
  cr_assert(may_be_missed({}, home));
  cr_assert_not(may_be_missed({"a1", "a2", "b1", "b2", "c1", "c2"}, {"none"}), "no disk stands there");
}

Test(answer_search, the_only_disk_of_a_home_region_is_not_left_out) {
  std::vector<Member> three{members()[0], members()[1], members()[4]};
  AnswerSearch search;
  search.on_none("a1");
  search.on_none("a2");
  cr_assert(search.may_be_missed(three, {"c"}));
  cr_assert_not(search.may_be_missed(three, {}));
}

Test(undelivered_answers, the_oldest_give_way_when_all_take_too_much) {
  std::size_t constexpr kMiB = 1u << 20;
  UndeliveredAnswers answers;
  for (char const* key : {"1", "2", "3", "4", "5", "6", "7", "8"})
    cr_assert(answers.add(undelivered(key, kMiB)));
  cr_assert_not(answers.add(undelivered("9", kMiB)));
  cr_assert_null(answers.find(OperationId::without_tenant("1")));
  cr_assert_not_null(answers.find(OperationId::without_tenant("9")));
  answers.take_if([](UndeliveredAnswers::Answer const& answer) { return answer.operation.text() != "9"; });
  cr_assert_eq(answers.size(), 1u);
  cr_assert(answers.add(undelivered("10", 7 * kMiB)), "what was taken takes no room");
}

Test(undelivered_answers, those_whose_key_binds_no_more_are_dropped) {
  UndeliveredAnswers answers;
  answers.add(undelivered("1", 10, 5));
  answers.add(undelivered("2", 10, 50));
  answers.drop_older_than(60, 70);
  cr_assert_eq(answers.size(), 1u);
  cr_assert_not_null(answers.find(OperationId::without_tenant("2")));
}
