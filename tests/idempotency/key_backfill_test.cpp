// A new disk copies the keys of a majority of the others.
#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
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
    table.load(OperationId::without_tenant("key-" + std::to_string(i)), static_cast<u64>(i + 1), false, 0);
  return table;
}

}  // namespace

Test(key_backfill, one_answer_is_small_however_many_keys_there_are) {
  KeyTable const source = table_with(kKeysOfALongDay);
  KeyCopyRequest request;
  request.epoch = kEpoch;
  request.pages = 1;  // none: a program of before, which understands no pages
  KeyCopyResponse const response = KeyBackfill::answer_request(source, kSourceDisk, kEpoch, request);
  cr_assert(response.ok);
  cr_assert(response.has_more);
  cr_assert_leq(codec::pack(response).size(), kLargestAnswerBytes);
}

Test(key_backfill, long_keys_make_pages_of_few_and_none_is_left_out) {
  KeyTable table(true);
  for (int i = 0; i < 40; ++i)
    table.load(OperationId::without_tenant(std::string(9000, 'k') + std::to_string(i)), static_cast<u64>(i + 1), false,
               0);
  KeyCopyRequest request;
  request.epoch = kEpoch;
  request.pages = 1;
  std::size_t keys = 0;
  for (bool has_more = true; has_more;) {
    KeyCopyResponse const response = KeyBackfill::answer_request(table, kSourceDisk, kEpoch, request);
    cr_assert_leq(codec::pack(response).size(), kLargestAnswerBytes);
    cr_assert(response.after == request.after);
    cr_assert_not(response.keys.empty());
    keys += response.keys.size();
    request.after = response.keys.back().key;
    has_more = response.has_more;
  }
  cr_assert_eq(keys, 40u);
}

Test(key_backfill, program_of_before_still_gets_all_keys_at_once) {
  KeyCopyRequest request;
  request.epoch = kEpoch;
  KeyCopyResponse const response =
      KeyBackfill::answer_request(table_with(kKeysOfALongDay), kSourceDisk, kEpoch, request);
  cr_assert_eq(response.keys.size(), static_cast<std::size_t>(kKeysOfALongDay));
  cr_assert_not(response.has_more);
}

namespace {

/// A new disk and the disks that it copies; messages are delivered when a test says so.
struct Copying {
  static std::size_t constexpr kMajority = 5;
  explicit Copying(int keys) {
    for (int i = 0; i < 8; ++i) {
      addresses.push_back("10.0.0." + std::to_string(i + 1));
      sources.push_back(table_with(keys));
    }
  }
  void ask(Seconds now) {
    for (KeyBackfill::Question const& question : backfill.questions_due(addresses, kEpoch, kMajority, now)) {
      ++requests[question.ip];
      under_way.push_back(question);
    }
  }
  KeyTable& source(std::string const& ip) {
    return sources[static_cast<std::size_t>(std::find(addresses.begin(), addresses.end(), ip) - addresses.begin())];
  }
  /// The pages with which a disk answers.
  std::vector<KeyCopyResponse> pages_of(KeyBackfill::Question const& question) {
    std::vector<KeyCopyResponse> pages;
    KeyCopyRequest request = question.request;
    for (u32 i = 0; i < question.request.pages; ++i) {
      pages.push_back(KeyBackfill::answer_request(source(question.ip), kSourceDisk, source_epoch, request));
      if (!pages.back().has_more) break;
      request.after = pages.back().keys.back().key;
    }
    return pages;
  }
  void take(std::string const& ip, KeyCopyResponse const& response, Seconds now) {
    KeyBackfill::Progress const progress =
        backfill.on_response(ip, response, {kSourceDisk, kEpoch, kMajority}, table, now);
    stored += progress.keys_to_store.size();
    has_majority = has_majority || progress.has_majority;
  }
  void deliver_first(Seconds now) {
    KeyBackfill::Question const question = under_way.front();
    under_way.erase(under_way.begin());
    for (KeyCopyResponse const& page : pages_of(question))
      take(question.ip, page, now);
  }

  std::vector<std::string> addresses;
  std::vector<KeyTable> sources;
  Epoch source_epoch = kEpoch;
  KeyBackfill backfill;
  KeyTable table{false};
  std::vector<KeyBackfill::Question> under_way;
  std::map<std::string, int> requests;
  std::size_t stored = 0;
  bool has_majority = false;
};

}  // namespace

// The incident of 2026-12-02: each of eight disks was asked for all its keys each 0.7 s until its answer had been taken
// in, and packed them anew each time, while two disks were filled.
Test(key_backfill, no_disk_is_asked_again_while_its_answer_is_on_its_way) {
  Copying copying(kKeysOfALongDay);
  for (Seconds now = 0; now < 2.9; now += 0.1)
    copying.ask(now);
  cr_assert_eq(copying.under_way.size(), Copying::kMajority, "no more disks than a majority takes");
  for (auto const& [ip, requests] : copying.requests)
    cr_assert_eq(requests, 1, "%s", ip.c_str());
}

Test(key_backfill, every_key_is_copied_and_written_once) {
  Copying copying(kKeysOfALongDay);
  Seconds now = 0;
  for (copying.ask(now); !copying.under_way.empty(); copying.ask(now))
    copying.deliver_first(now += 0.01);
  cr_assert(copying.has_majority);
  cr_assert_eq(copying.table.size(), static_cast<std::size_t>(kKeysOfALongDay));
  cr_assert_eq(copying.stored, static_cast<std::size_t>(kKeysOfALongDay));
  cr_assert_eq(copying.requests.size(), Copying::kMajority);
}

Test(key_backfill, silent_and_incomplete_disks_are_passed_over) {
  Copying copying(10000);
  copying.source("10.0.0.2").set_complete(false);
  auto const is_silent = [](KeyBackfill::Question const& question) {
    return question.ip == "10.0.0.1" || question.ip == "10.0.0.3";
  };
  Seconds now = 0;
  for (; now < 20 && !copying.has_majority; now += 0.1) {
    copying.ask(now);
    std::erase_if(copying.under_way, is_silent);
    if (!copying.under_way.empty()) copying.deliver_first(now);
  }
  cr_assert(copying.has_majority);
  cr_assert_leq(copying.requests["10.0.0.1"], 2);
  cr_assert_lt(now, 2 * KeyBackfill::kAnswerTimeout);
}

Test(key_backfill, page_that_is_late_twice_or_of_an_earlier_beginning_takes_no_effect) {
  Copying copying(kKeysOfALongDay);
  copying.ask(0);
  KeyBackfill::Question const question = copying.under_way.front();
  std::vector<KeyCopyResponse> const pages = copying.pages_of(question);
  cr_assert_eq(pages.size(), static_cast<std::size_t>(KeyBackfill::kPagesPerRequest));
  copying.take(question.ip, pages[1], 0.1);
  cr_assert_eq(copying.table.size(), 0u, "the first page is missing");
  copying.take(question.ip, pages[0], 0.1);
  std::size_t const first = copying.table.size();
  cr_assert_eq(first, pages[0].keys.size());
  copying.take(question.ip, pages[0], 0.2);
  cr_assert_eq(copying.stored, first, "the same page again");
  copying.backfill.restart();
  copying.take(question.ip, pages[1], 0.3);
  cr_assert_eq(copying.table.size(), first, "a page of before the restart");
  copying.source_epoch = Epoch(4);
  for (KeyCopyResponse const& page : copying.pages_of(question))
    copying.take(question.ip, page, 0.4);
  cr_assert_eq(copying.table.size(), first, "an epoch before the membership's");
}

// Keys are granted and released at a disk while it is copied: all that it had when it first answered, and still has, is
// copied, whatever comes and goes between its pages.
Test(key_backfill, keys_that_come_and_go_between_pages_hide_no_other) {
  std::mt19937 random(7);
  for (int round = 0; round < 20; ++round) {
    Copying copying(9000);
    KeyTable& source = copying.source("10.0.0.1");
    std::set<std::string> had;
    for (HeldKey const& key : source.all_keys())
      had.insert(key.key);
    KeyCopyRequest request;
    request.epoch = kEpoch;
    request.pages = 1;
    for (bool has_more = true; has_more;) {
      KeyCopyResponse const page = KeyBackfill::answer_request(source, kSourceDisk, kEpoch, request);
      copying.take("10.0.0.1", page, 0);
      request.after = page.keys.empty() ? request.after : page.keys.back().key;
      has_more = page.has_more;
      for (int i = 0; i < 200; ++i) {
        int const number = static_cast<int>(random() % 12000);
        std::string const key = "key-" + std::to_string(number);
        ReleaseRequest release;
        release.key = key;
        release.holder = static_cast<u64>(number + 1);
        if (source.release(release, 0)) had.erase(key);
        source.load(OperationId::without_tenant("new-" + std::to_string(random() % 5000)), 77, false, 0);
      }
    }
    cr_assert_not(copying.backfill.needs_copy_from("10.0.0.1"));
    std::set<std::string> copied;
    for (HeldKey const& key : copying.table.all_keys())
      copied.insert(key.key);
    for (std::string const& key : had)
      cr_assert(copied.contains(key), "%s", key.c_str());
  }
}

Test(key_backfill, failed_write_hands_all_keys_out_again) {
  Copying copying(100);
  for (copying.ask(0); !copying.under_way.empty();)
    copying.deliver_first(0.1);
  cr_assert_eq(copying.stored, 100u);
  u64 const generation = copying.backfill.generation();
  copying.backfill.on_write_failed();
  cr_assert_neq(copying.backfill.generation(), generation, "what was written for it completes nothing");
  copying.stored = 0;
  copying.ask(1);
  copying.deliver_first(1.1);
  cr_assert_eq(copying.stored, 100u);
}
