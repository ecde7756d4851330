#include "idempotency/key_table.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "idempotency/claim_quorum.hpp"

using namespace dockbend;

namespace {
OperationId const kOperation = OperationId::of_tenant("t", "k");

ClaimRequest claim_of(u64 holder, u64 epoch = 1, OperationId const& operation = kOperation) {
  ClaimRequest claim{};
  set_operation(claim, operation);
  claim.holder = holder;
  claim.epoch = Epoch(epoch);
  claim.work_ms = 1000;
  return claim;
}
ReleaseRequest release_of(u64 holder) {
  ReleaseRequest release{};
  set_operation(release, kOperation);
  release.holder = holder;
  return release;
}
// The vote of a disk in the first epoch.
ClaimVote vote_on(KeyTable& table, u64 holder, Seconds now = 0) {
  ClaimResponse response{};
  return table.claim(claim_of(holder), Epoch(1), now, response);
}
ClaimVote vote_on(KeyTable& table, u64 holder, OperationId const& operation) {
  ClaimResponse response{};
  return table.claim(claim_of(holder, 1, operation), Epoch(1), 0, response);
}
}  // namespace

Test(key_table, grants_a_key_to_its_first_holder_only) {
  KeyTable table(true);
  ClaimResponse response{};
  cr_assert(table.claim(claim_of(7), Epoch(1), 0, response) == ClaimVote::granted);
  cr_assert(table.claim(claim_of(7), Epoch(1), 0, response) == ClaimVote::granted, "the same holder may ask again");
  cr_assert(table.claim(claim_of(8), Epoch(1), 0.5, response) == ClaimVote::held);
  cr_assert(response.in_progress);
  cr_assert(table.claim(claim_of(8), Epoch(1), 1.5, response) == ClaimVote::held);
  cr_assert_not(response.in_progress, "its time is up");
  cr_assert_not(table.release(release_of(8), 0), "only its holder releases it");
  cr_assert(table.release(release_of(7), 0));
  cr_assert(table.claim(claim_of(8), Epoch(1), 2, response) == ClaimVote::held, "who released is granted nothing");
  cr_assert_eq(table.claims_after_release(), 1u);
  cr_assert(table.claim(claim_of(9), Epoch(1), 2, response) == ClaimVote::granted);
}

// Failure: a tenant's operation was taken for another tenant's, for both were joined to one text.
Test(key_table, operations_that_share_a_text_are_granted_each_by_itself) {
  OperationId const operations[] = {OperationId::of_tenant("print", "budapest/1"),
                                    OperationId::of_tenant("print/budapest", "1"),
                                    OperationId::without_tenant("print/budapest/1")};
  KeyTable table(true);
  u64 holder = 0;
  for (OperationId const& operation : operations) {
    cr_assert(operation.text() == operations[0].text());
    cr_assert(vote_on(table, ++holder, operation) == ClaimVote::granted);
    cr_assert(table.confirm_durable(operation, holder, true));
  }
  for (OperationId const& operation : operations)
    cr_assert(vote_on(table, 100, operation) == ClaimVote::held);
  ReleaseRequest release{};
  set_operation(release, operations[1]);
  release.holder = 2;
  cr_assert(table.release(release, 0));
  cr_assert(vote_on(table, 101, operations[1]) == ClaimVote::granted);
  cr_assert(vote_on(table, 102, operations[0]) == ClaimVote::held);
}

// During an upgrade: what an older program names may be any operation of its text, so neither runs beside it.
Test(key_table, an_operation_of_an_older_program_excludes_all_that_share_its_text) {
  OperationId const exact = OperationId::of_tenant("print", "1"), other = OperationId::of_tenant("print", "2");
  OperationId const older = OperationId::of_text("print/1", 0);
  KeyTable first_older(true);
  cr_assert(vote_on(first_older, 1, older) == ClaimVote::granted);
  cr_assert(vote_on(first_older, 2, exact) == ClaimVote::held);
  cr_assert(vote_on(first_older, 3, other) == ClaimVote::granted);
  KeyTable first_exact(true);
  cr_assert(vote_on(first_exact, 1, exact) == ClaimVote::granted);
  cr_assert(vote_on(first_exact, 2, older) == ClaimVote::held);
}

// A disk that copies pages goes on behind the last one's text: operations that share it are in one page.
Test(key_table, a_page_ends_behind_all_operations_of_its_last_text) {
  KeyTable table(true);
  u64 holder = 0;
  for (char const* text : {"a/b/c", "a/b/d"})
    for (u32 split = 0; split <= 5; ++split)
      table.load(OperationId::of_text(text, split), ++holder, false, 0);
  KeyTable::Page const first = table.keys_after("", 1);
  cr_assert_eq(first.keys.size(), 6u);
  cr_assert(first.has_more);
  KeyTable::Page const second = table.keys_after(first.keys.back().key, 1);
  cr_assert_eq(second.keys.size(), 6u);
  cr_assert_not(second.has_more);
}

// Claimed twice by one holder; the first write fails, another holder gets the key, and only then the second
// write ends.
Test(key_table, grant_is_not_confirmed_once_another_holder_has_the_key) {
  KeyTable table(true);
  vote_on(table, 7);
  vote_on(table, 7);
  cr_assert_not(table.confirm_durable(kOperation, 7, false));
  cr_assert(vote_on(table, 8) == ClaimVote::granted);
  cr_assert_not(table.confirm_durable(kOperation, 7, true));
  cr_assert(table.confirm_durable(kOperation, 8, true));
}

Test(key_table, failed_write_grants_nothing_and_leaves_what_is_on_disk) {
  KeyTable table(true);
  vote_on(table, 7);
  table.confirm_durable(kOperation, 7, false);
  cr_assert(vote_on(table, 8) == ClaimVote::granted);
  table.confirm_durable(kOperation, 8, true);
  table.confirm_durable(kOperation, 8, false);
  cr_assert(vote_on(table, 9) == ClaimVote::held, "what is on disk stays");
}

Test(key_table, does_not_vote_under_another_epoch_or_while_incomplete) {
  ClaimResponse response{};
  KeyTable complete(true);
  cr_assert(complete.claim(claim_of(7, 1), Epoch(2), 0, response) == ClaimVote::epoch);
  KeyTable copied(false);
  cr_assert(vote_on(copied, 7) == ClaimVote::unready);
  copied.seal(kOperation, 7, 0);
  copied.set_complete();
  cr_assert(vote_on(copied, 7) == ClaimVote::held, "a sealed key is not granted, not even to its holder");
}

Test(key_table, forgets_keys_past_their_age_which_begins_anew_with_a_restart) {
  KeyTable table(true);
  table.load(kOperation, 7, false, 100);
  cr_assert(table.forget_older_than(60, 159, 10).empty());
  cr_assert(vote_on(table, 8, 159) == ClaimVote::held);
  cr_assert_eq(table.forget_older_than(60, 161, 10).size(), 1u);
  cr_assert(vote_on(table, 8, 161) == ClaimVote::granted);
}

// A new disk copied a key from a disk where one holder had it for a moment, then from those whose holder ran
// its request. The first one's release must not free what the other ran.
Test(key_table, sealed_key_with_two_holders_is_freed_by_neither) {
  u64 constexpr kRan = 7, kLost = 9;
  for (bool const lost_first : {true, false}) {
    KeyTable table(false);
    table.seal(kOperation, lost_first ? kLost : kRan, 1);
    table.seal(kOperation, lost_first ? kRan : kLost, 1);
    table.set_complete();
    for (u64 const holder : {kLost, kRan, KeyTable::kNobody})
      cr_assert_not(table.release(release_of(holder), 0));
    ClaimResponse response;
    cr_assert(table.claim(claim_of(11, 3), Epoch(3), 2, response) == ClaimVote::held);
  }
  KeyTable agreed(false);
  agreed.seal(kOperation, 5, 1);
  agreed.seal(kOperation, 5, 1);
  cr_assert(agreed.release(release_of(5), 0), "with one holder only, its release frees it");
}

Test(claim_quorum, ignores_votes_of_another_epoch) {
  ClaimQuorum quorum(3, Epoch(2));
  ClaimResponse response{};
  response.epoch = Epoch(1);
  for (ClaimVote const vote : {ClaimVote::held, ClaimVote::granted})
    for (char const* disk : {"a", "b", "c"}) {
      response.vote = vote;
      cr_assert(quorum.count(disk, response) == ClaimQuorum::Result::open);
    }
  cr_assert_eq(quorum.grants() + quorum.refusals(), 0u);
}

namespace {
// Two holders claim one key on the disks in any order, with losses; meanwhile one disk is replaced by an empty
// one that copies from a majority of the others.
class TwoHolders {
 public:
  explicit TwoHolders(unsigned seed) : random_(seed), count_(3 + random_() % 4), majority_(count_ / 2 + 1) {
    disks_.resize(count_);
    for (u64 const holder : kHolders) {
      quorums_.emplace(holder, ClaimQuorum(count_, Epoch(1)));
      for (std::size_t disk = 0; disk < count_; ++disk)
        claims_.push_back({holder, disk, 1});
    }
    std::shuffle(claims_.begin(), claims_.end(), random_);
  }

  // How many of the two were granted the key.
  std::size_t run() {
    std::size_t const replaced = random_() % count_, replaced_at = random_() % claims_.size();
    for (std::size_t i = 0; i < claims_.size(); ++i) {
      if (i == replaced_at) replace(replaced, i);
      Claim const claim = claims_[i];
      bool const is_lost = random_() % 10 == 0;
      if (!is_lost && winners_.count(claim.holder) == 0) deliver(claim);
    }
    return winners_.size();
  }

 private:
  static constexpr u64 kHolders[] = {7, 8};
  struct Claim {
    u64 holder;
    std::size_t disk;
    u64 epoch;
  };
  struct Disk {
    KeyTable table{true};
    u64 epoch = 1;
    Incarnation incarnation{1};
  };

  void deliver(Claim const& claim) {
    Disk& disk = disks_[claim.disk];
    ClaimResponse response{};
    if (disk.table.claim(claim_of(claim.holder, claim.epoch), Epoch(disk.epoch), 0, response) == ClaimVote::granted)
      disk.table.confirm_durable(kOperation, claim.holder, true);
    ClaimQuorum& quorum = quorums_.at(claim.holder);
    std::string const voter = std::to_string(claim.disk) + "/" + std::to_string(disk.incarnation.v);
    if (quorum.epoch() == Epoch(claim.epoch) && quorum.count(voter, response) == ClaimQuorum::Result::granted)
      winners_.insert(claim.holder);
  }
  void replace(std::size_t replaced, std::size_t at) {
    disks_[replaced].table = KeyTable(false);
    disks_[replaced].incarnation = Incarnation(99);
    std::vector<std::size_t> others;
    for (std::size_t disk = 0; disk < count_; ++disk) {
      disks_[disk].epoch = 2;
      if (disk != replaced) others.push_back(disk);
    }
    std::shuffle(others.begin(), others.end(), random_);
    for (std::size_t i = 0; i < std::min(majority_, others.size()); ++i)
      for (HeldKey const& held : disks_[others[i]].table.all_keys())
        disks_[replaced].table.seal(operation_of(held), held.holder, 0);
    if (others.size() >= majority_) disks_[replaced].table.set_complete();
    claim_again();
    std::shuffle(claims_.begin() + static_cast<long>(at) + 1, claims_.end(), random_);
  }
  // Whoever has not won begins anew under the new epoch.
  void claim_again() {
    for (u64 const holder : kHolders) {
      if (winners_.count(holder) > 0) continue;
      quorums_.insert_or_assign(holder, ClaimQuorum(count_, Epoch(2)));
      for (std::size_t disk = 0; disk < count_; ++disk)
        claims_.push_back({holder, disk, 2});
    }
  }

  std::mt19937 random_;
  std::size_t count_, majority_;
  std::vector<Disk> disks_;
  std::vector<Claim> claims_;
  std::map<u64, ClaimQuorum> quorums_;
  std::set<u64> winners_;
};
}  // namespace

Test(claim_quorum, two_holders_are_never_both_granted_one_key) {
  for (unsigned seed = 1; seed <= 3000; ++seed)
    cr_assert(TwoHolders(seed).run() <= 1, "seed %u: both hold the key", seed);
}

Test(key_table, request_that_has_ended_is_not_at_work_and_keeps_its_key) {
  KeyTable table(true);
  vote_on(table, 7);
  ClaimResponse response{};
  OperationId const operation = operation_of(claim_of(7));
  table.end_work(operation, 8);
  table.claim(claim_of(8), Epoch(1), 0.5, response);
  cr_assert(response.in_progress, "another's end is not its own");
  table.end_work(operation, 7);
  response = {};
  cr_assert(table.claim(claim_of(8), Epoch(1), 0.5, response) == ClaimVote::held);
  cr_assert_not(response.in_progress);
  cr_assert_eq(response.held_by, 7u);
}

namespace {
std::string const kClient = "0123456789abcdef0123456789abcdef";

ClaimVote vote_for_client(KeyTable& table, u64 holder, OperationId const& operation,
                          std::string const& client = kClient) {
  ClaimRequest claim = claim_of(holder, 1, operation);
  claim.client = client;
  ClaimResponse response{};
  return table.claim(claim, Epoch(1), 0, response);
}
}  // namespace

// Failure: one machine knew a client's API key, another one did not, and the client's operation ran at both.
Test(key_table, an_operation_runs_once_though_not_all_machines_know_its_client) {
  OperationId const of_tenant = OperationId::of_tenant("ada", "k");
  OperationId const of_nobody = OperationId::without_tenant("k");
  for (auto const& [first, second] : {std::pair(of_tenant, of_nobody), std::pair(of_nobody, of_tenant)}) {
    KeyTable table(true);
    cr_assert(vote_for_client(table, 7, first) == ClaimVote::granted);
    cr_assert(vote_for_client(table, 8, second) == ClaimVote::held);
    cr_assert(vote_for_client(table, 9, OperationId::of_tenant("ada", "other")) == ClaimVote::granted);
    cr_assert(vote_for_client(table, 10, OperationId::without_tenant("another"), "another client") ==
              ClaimVote::granted);
  }
}

// A key may be given to another tenant, whose operations are its own.
Test(key_table, operations_of_two_known_tenants_exclude_each_other_never) {
  KeyTable table(true);
  cr_assert(vote_for_client(table, 7, OperationId::of_tenant("ada", "k")) == ClaimVote::granted);
  cr_assert(vote_for_client(table, 8, OperationId::of_tenant("bob", "k")) == ClaimVote::granted);
  cr_assert(vote_for_client(table, 9, OperationId::without_tenant("k")) == ClaimVote::held);
}

Test(key_table, marks_are_released_written_and_copied_with_their_operation) {
  OperationId const operation = OperationId::of_tenant("ada", "k");
  KeyTable table(true);
  vote_for_client(table, 7, operation);
  std::vector<OperationId> const names = table.names_of(operation, kClient, 7);
  cr_assert_eq(names.size(), 2u);
  for (OperationId const& name : names)
    cr_assert(table.confirm_durable(name, 7, true));

  KeyTable copy(false);
  for (HeldKey const& held : table.all_keys())
    copy.seal(operation_of(held), held.holder, 0);
  copy.set_complete();
  cr_assert(vote_for_client(copy, 8, OperationId::without_tenant("k")) == ClaimVote::held);

  KeyTable started(true);
  for (OperationId const& name : names)
    started.load(OperationId::of_storage_key(name.storage_key()), 7, false, 0);
  cr_assert(vote_for_client(started, 8, OperationId::without_tenant("k")) == ClaimVote::held);

  ReleaseRequest release{};
  set_operation(release, operation);
  release.holder = 7;
  release.client = kClient;
  cr_assert(table.release(release, 0));
  cr_assert_eq(table.size(), 0u);
  cr_assert(vote_for_client(table, 8, OperationId::without_tenant("k")) == ClaimVote::granted);
}

// Machines know of each API key's tenant at random, and so claim under this name or that; disks are lost and filled
// anew, one at a time. Of one client's operation at most one claim wins.
Test(key_table, whatever_machines_know_of_a_client_its_operation_is_won_once) {
  for (unsigned seed = 1; seed <= 500; ++seed) {
    std::mt19937 draw(seed);
    std::vector<KeyTable> disks(3, KeyTable(true));
    unsigned wins = 0;
    for (u64 holder = 1; holder <= 8; ++holder) {
      bool const is_known = draw() % 2 == 0;
      OperationId const operation = is_known ? OperationId::of_tenant("ada", "k") : OperationId::without_tenant("k");
      ClaimQuorum quorum(disks.size(), Epoch(1));
      bool has_won = false;
      for (unsigned i = 0; i < 2 + draw() % 2; ++i) {
        unsigned const disk = (static_cast<unsigned>(holder) + i) % 3;
        ClaimRequest claim = claim_of(holder, 1, operation);
        claim.client = kClient;
        ClaimResponse response{};
        disks[disk].claim(claim, Epoch(1), 0, response);
        has_won = quorum.count(std::to_string(disk), response) == ClaimQuorum::Result::granted || has_won;
      }
      wins += has_won ? 1 : 0;
      if (draw() % 4 != 0) continue;
      unsigned const lost = draw() % 3;
      KeyTable filled(false);
      for (unsigned disk = 0; disk < 3; ++disk)
        if (disk != lost)
          for (HeldKey const& held : disks[disk].all_keys())
            filled.seal(operation_of(held), held.holder, 0);
      filled.set_complete();
      disks[lost] = std::move(filled);
    }
    cr_assert_leq(wins, 1u, "seed %u", seed);
  }
}

// Failure: after 4096 other releases, however soon they came, a claim that arrived late got the key of a request that
// had ended: nobody ran it, and repeats were told that it may have run.
Test(key_table, who_released_gets_nothing_however_many_release_after_it) {
  KeyTable table(true);
  u64 const first = 7;
  cr_assert_not(table.release(release_of(first), 0));
  for (u64 holder = 100; holder < 20'100; ++holder)
    table.release(release_of(holder), 1);
  cr_assert(vote_on(table, first, 1) == ClaimVote::held);
  table.release(release_of(8), 60);
  cr_assert(vote_on(table, 9, 60) == ClaimVote::granted);
  cr_assert(vote_on(table, 8, 60) == ClaimVote::held, "it released just now");
}
