// No two operations are taken for one, whatever separators their names hold.
#include <criterion/criterion.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/operation_id.hpp"

using namespace dockbend;

namespace {
/// A tenant's name, if there is a tenant, and a key.
using Pair = std::pair<std::optional<std::string>, std::string>;

OperationId operation_of_pair(Pair const& pair) {
  return pair.first ? OperationId::of_tenant(*pair.first, pair.second) : OperationId::without_tenant(pair.second);
}

/// All texts of up to three pieces, of which some are what programs separate names with.
std::vector<std::string> texts() {
  std::vector<std::string> const pieces{"a", "1", "/", "|", "%", "@", ":", ",", ".", "-", " ", "\t", "2F", "\\"};
  std::vector<std::string> all = pieces;
  for (std::size_t begin = 0, length = 1; length < 3; ++length) {
    std::size_t const end = all.size();
    for (; begin < end; ++begin)
      for (std::string const& piece : pieces)
        all.push_back(all[begin] + piece);
  }
  return all;
}
}  // namespace

// Failure: tenant print with key budapest/1 and tenant print/budapest with key 1 were one operation.
Test(operation_id, no_two_pairs_are_one_operation) {
  std::vector<std::string> const all = texts();
  std::map<OperationId, Pair> pair_by_operation;
  std::set<std::string> storage_keys;
  std::size_t pairs = 0;
  for (std::size_t i = 0; i < all.size(); ++i)
    for (std::size_t j = i % 7; j < all.size(); j += 7) {
      Pair const pair{i == 0 ? std::nullopt : std::optional<std::string>(all[i]), all[j]};
      OperationId const operation = operation_of_pair(pair);
      auto const [known, is_new] = pair_by_operation.emplace(operation, pair);
      cr_assert(is_new, "%s and %s", known->second.second.c_str(), pair.second.c_str());
      cr_assert(storage_keys.insert(operation.storage_key()).second);
      cr_assert(OperationId::of_storage_key(operation.storage_key()) == operation);
      cr_assert(OperationId::of_text(operation.text(), operation.split()) == operation);
      ++pairs;
    }
  cr_assert_gt(pairs, 500'000u);
  for (auto entry = pair_by_operation.begin(); std::next(entry) != pair_by_operation.end(); ++entry)
    cr_assert_not(entry->first.may_equal(std::next(entry)->first));
}

// What a program of before 2026-12-04 writes is read as it is, and may be any operation of its text.
Test(operation_id, an_older_programs_operation_may_be_any_of_its_text) {
  OperationId const older = OperationId::of_text("print/budapest/1", 0);
  cr_assert_not(older.is_exact());
  cr_assert(older.storage_key() == "print/budapest/1");
  cr_assert(OperationId::of_storage_key("print/budapest/1") == older);
  for (OperationId const& exact :
       {OperationId::of_tenant("print", "budapest/1"), OperationId::of_tenant("print/budapest", "1"),
        OperationId::without_tenant("print/budapest/1")}) {
    cr_assert(exact.is_exact());
    cr_assert(exact.may_equal(older) && older.may_equal(exact));
  }
  cr_assert_not(older.may_equal(OperationId::of_tenant("print", "budapest/2")));
}
