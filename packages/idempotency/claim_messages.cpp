#include "idempotency/claim_messages.hpp"

#include <optional>

namespace dockbend {
namespace {
/// Whose answer it is.
struct AnswerName {
  OperationId operation;
  u64 holder = 0;
};

/// None: the answer can't be read.
std::optional<AnswerName> name_in(std::string const& encoded_answer) {
  try {
    StoredAnswer const answer = codec::unpack<StoredAnswer>(encoded_answer);
    return AnswerName{operation_of(answer), answer.holder};
  } catch (codec::MalformedMessage const&) {
    return std::nullopt;
  }
}

std::string const* choose_of_any_holder(std::vector<std::string> const& encoded_answers, OperationId const& operation) {
  std::string const* possible = nullptr;
  std::size_t possible_answers = 0;
  for (std::string const& encoded : encoded_answers) {
    std::optional<AnswerName> const name = name_in(encoded);
    if (!name || !name->operation.may_equal(operation)) continue;
    if (name->operation == operation) return &encoded;
    possible = &encoded;
    ++possible_answers;
  }
  return possible_answers == 1 ? possible : nullptr;
}
}  // namespace

std::string const* choose_answer(std::vector<std::string> const& encoded_answers, OperationId const& operation,
                                 std::vector<u64> const& holders) {
  if (holders.empty()) return choose_of_any_holder(encoded_answers, operation);
  for (u64 const holder : holders)
    for (std::string const& encoded : encoded_answers) {
      std::optional<AnswerName> const name = name_in(encoded);
      if (name && name->holder == holder && name->operation.may_equal(operation)) return &encoded;
    }
  return nullptr;
}

}  // namespace dockbend
