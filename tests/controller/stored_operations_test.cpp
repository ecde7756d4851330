// What a disk of the release before holds of keyed operations binds after the upgrade: a key that was answered is
// repeated, and none runs again.
#include <criterion/criterion.h>
#include <sqlite3.h>

#include "consensus/acceptor.hpp"
#include "idempotency/key_table.hpp"
#include "idempotency/stored_answers.hpp"
#include "storage/disk_store.hpp"
#include "support/temporary_directory.hpp"

using namespace dockbend;
using namespace dockbend::test;

namespace {
Epoch constexpr kEpoch{1};
u64 constexpr kHolder = 7, kRepeat = 8;

std::string stored_answer(OperationId const& operation, std::string const& body) {
  StoredAnswer answer;
  set_operation(answer, operation);
  answer.holder = kHolder;
  answer.code = 200;
  answer.body = body;
  return codec::pack(answer);
}

void put(DiskStore& store, OperationId const& operation, std::string const& body) {
  // The release before named an answer by its operation's text alone.
  AnswerId const id{operation, operation.is_exact() ? kHolder : 0};
  DiskStore::Write write;
  write.operations = {StoreOperation::put_key(operation.storage_key(), kHolder, false),
                      StoreOperation::put_answer(id.storage_key(), stored_answer(operation, body))};
  store.commit({&write});
  cr_assert(write.is_written);
}

/// A disk without a vote counts as empty.
void put_vote(DiskStore& store) {
  Acceptor const acceptor(Incarnation(77), Ballot(1), ReplicatedState());
  DiskStore::Write write;
  write.vote.emplace();
  write.vote->rows = rows_of(*acceptor.state());
  write.vote->head = acceptor.vote_header();
  write.vote->head.seq = 1;
  store.commit({&write});
  cr_assert(write.is_written);
}

/// The number that the release before wrote.
void mark_as_layout_2(std::string const& directory) {
  sqlite3* database = nullptr;
  cr_assert_eq(sqlite3_open((directory + "/register.db").c_str(), &database), SQLITE_OK);
  cr_assert_eq(sqlite3_exec(database, "PRAGMA user_version=2", nullptr, nullptr, nullptr), SQLITE_OK);
  sqlite3_close(database);
}

/// A disk's table as it is after a start.
KeyTable table_of(StoredState const& stored) {
  KeyTable table(true);
  for (StoredKey const& key : stored.keys)
    table.load(OperationId::of_storage_key(key.key), key.holder, key.sealed, 0);
  return table;
}

ClaimVote vote_on(KeyTable& table, OperationId const& operation) {
  ClaimRequest claim;
  set_operation(claim, operation);
  claim.holder = kRepeat;
  claim.epoch = kEpoch;
  ClaimResponse response;
  return table.claim(claim, kEpoch, 0, response);
}

/// The body that a repeat gets; empty: none is stored for it. holders: of whom it is asked for; none: a program of the
/// release before asks.
std::string body_for(DiskStore& store, OperationId const& operation, std::vector<u64> const& holders = {}) {
  std::vector<std::string> const answers = store.answers(operation.text());
  std::string const* const chosen = choose_answer(answers, operation, holders);
  return chosen == nullptr ? "" : codec::unpack<StoredAnswer>(*chosen).body;
}
}  // namespace

Test(stored_operations, an_answer_of_the_release_before_is_repeated_after_the_upgrade) {
  TemporaryDirectory directory;
  {
    DiskStore store(directory.path);
    store.load();
    put_vote(store);
    put(store, OperationId::of_text("ada/key-1", 0), "first");
    put(store, OperationId::of_text("key-2", 0), "second");
  }
  mark_as_layout_2(directory.path);
  DiskStore store(directory.path);
  KeyTable table = table_of(store.load());
  cr_assert_eq(table.size(), 2u);
  OperationId const of_ada = OperationId::of_tenant("ada", "key-1"), of_nobody = OperationId::without_tenant("key-2");
  cr_assert(vote_on(table, of_ada) == ClaimVote::held);
  cr_assert(vote_on(table, of_nobody) == ClaimVote::held);
  cr_assert(body_for(store, of_ada) == "first");
  cr_assert(body_for(store, of_nobody) == "second");
  std::vector<u64> const holder{kHolder}, another{kRepeat};
  cr_assert(body_for(store, of_ada, holder) == "first");
  cr_assert(body_for(store, of_ada, another).empty());
  cr_assert(body_for(store, OperationId::of_text("ada/key-1", 0)) == "first", "an agent of the release before");
  cr_assert(vote_on(table, OperationId::of_tenant("ada", "key-2")) == ClaimVote::granted);
  cr_assert(body_for(store, OperationId::of_tenant("ada", "key-2")).empty());
}

// Failure: a tenant got the answer of another one, whose name and key joined to the same text.
Test(stored_operations, operations_that_share_a_text_have_answers_of_their_own) {
  OperationId const of_print = OperationId::of_tenant("print", "budapest/1");
  OperationId const of_budapest = OperationId::of_tenant("print/budapest", "1");
  TemporaryDirectory directory;
  DiskStore store(directory.path);
  store.load();
  put(store, of_print, "print's");
  cr_assert(body_for(store, of_print) == "print's");
  cr_assert(body_for(store, of_budapest).empty());
  cr_assert(body_for(store, OperationId::of_text(of_print.text(), 0)) == "print's", "the only one that it can be");
  put(store, of_budapest, "budapest's");
  cr_assert(body_for(store, of_print) == "print's");
  cr_assert(body_for(store, of_budapest) == "budapest's");
  cr_assert(body_for(store, OperationId::of_text(of_print.text(), 0)).empty(), "it may be either");
  put(store, OperationId::of_tenant("print", "budapest/1\t2"), "another text");
  cr_assert_eq(store.answers(of_print.text()).size(), 2u);
}
