#include "idempotency/claim_messages.hpp"

#include <optional>

namespace dockbend {
namespace {
/// None: the answer can't be read.
std::optional<u64> holder_in(std::string const& encoded_answer) {
  try {
    return codec::unpack<StoredAnswer>(encoded_answer).holder;
  } catch (codec::MalformedMessage const&) {
    return std::nullopt;
  }
}
}  // namespace

std::string const* choose_answer(std::vector<std::string> const& encoded_answers, std::vector<u64> const& holders) {
  if (holders.empty()) return encoded_answers.empty() ? nullptr : &encoded_answers.back();
  for (u64 const holder : holders)
    for (std::string const& encoded : encoded_answers)
      if (holder_in(encoded) == holder) return &encoded;
  return nullptr;
}

}  // namespace dockbend
