#include "idempotency/stored_answers.hpp"

#include <cstdlib>

namespace dockbend {
namespace {
char constexpr kHolderSeparator = '\n';
int constexpr kDecimal = 10;
}  // namespace

std::string AnswerId::storage_key() const {
  bool const is_of_older_release = holder == 0 && !operation.is_exact();
  return is_of_older_release ? operation.text() : operation.storage_key() + kHolderSeparator + std::to_string(holder);
}

AnswerId AnswerId::of_storage_key(std::string const& storage_key) {
  std::size_t const separator = storage_key.rfind(kHolderSeparator);
  if (separator == std::string::npos) return {OperationId::of_storage_key(storage_key), 0};
  u64 const holder = std::strtoull(storage_key.c_str() + separator + 1, nullptr, kDecimal);
  return {OperationId::of_storage_key(storage_key.substr(0, separator)), holder};
}

void StoredAnswers::add(AnswerId const& id, std::size_t bytes, Seconds now) {
  auto const [place, is_new] = answers_.try_emplace(id);
  Entry& entry = place->second;
  if (is_new) {
    in_order_[++last_] = &place->first;
    entry.at = now;
  }
  bytes_ += bytes - entry.bytes;
  entry.bytes = bytes;
}

std::vector<AnswerId> StoredAnswers::remove_old(Seconds max_age, std::size_t max_bytes, Seconds now,
                                                std::size_t limit) {
  std::vector<AnswerId> removed;
  while (!answers_.empty() && removed.size() < limit) {
    auto const oldest = answers_.find(*in_order_.begin()->second);
    if (now - oldest->second.at <= max_age && bytes_ <= max_bytes) break;
    bytes_ -= oldest->second.bytes;
    removed.push_back(oldest->first);
    in_order_.erase(in_order_.begin());
    answers_.erase(oldest);
  }
  return removed;
}

std::optional<std::pair<StoredAnswers::Number, AnswerId>> StoredAnswers::newest_before(Number number) const {
  auto const behind = in_order_.lower_bound(number);
  if (behind == in_order_.begin()) return std::nullopt;
  auto const newest = std::prev(behind);
  return std::pair(newest->first, *newest->second);
}

}  // namespace dockbend
