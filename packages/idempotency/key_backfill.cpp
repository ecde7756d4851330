#include "idempotency/key_backfill.hpp"

#include <algorithm>
#include <utility>

namespace dockbend {

KeyCopyResponse KeyBackfill::answer_request(KeyTable const& table, Incarnation incarnation, std::optional<Epoch> epoch,
                                            KeyCopyRequest const& request) {
  KeyCopyResponse response;
  response.incarnation = incarnation;
  response.after = request.after;
  response.ok = table.is_complete() && epoch && *epoch >= request.epoch;
  if (!response.ok) return response;
  response.epoch = *epoch;
  if (request.pages == 0) {
    response.keys = table.all_keys();
    return response;
  }
  KeyTable::Page page = table.keys_after(request.after, kPageBytes);
  response.keys = std::move(page.keys);
  response.has_more = page.has_more;
  return response;
}

bool KeyBackfill::needs_copy_from(std::string const& ip) const {
  auto const copy = copies_.find(ip);
  return copy == copies_.end() || !copy->second.is_complete;
}

std::size_t KeyBackfill::copied_disks() const {
  return static_cast<std::size_t>(
      std::count_if(copies_.begin(), copies_.end(), [](auto const& entry) { return entry.second.is_complete; }));
}

bool KeyBackfill::is_awaited(Copy const& copy, Seconds now) {
  return copy.pages_awaited > 0 && now - copy.asked_at <= kAnswerTimeout;
}

std::vector<KeyBackfill::Question> KeyBackfill::questions_due(std::vector<std::string> const& candidates, Epoch epoch,
                                                              std::size_t majority, Seconds now) {
  std::size_t const copied = copied_disks();
  std::vector<std::string> order;
  for (std::string const& ip : candidates)
    if (needs_copy_from(ip)) order.push_back(ip);
  std::stable_sort(order.begin(), order.end(), [this](std::string const& a, std::string const& b) {
    return copies_[a].failures < copies_[b].failures;
  });
  std::vector<Question> due;
  std::size_t missing = majority > copied ? majority - copied : 0;
  for (std::string const& ip : order) {
    if (missing == 0) break;
    Copy& copy = copies_[ip];
    if (copy.not_before > now) continue;
    --missing;
    if (is_awaited(copy, now)) continue;
    if (copy.pages_awaited > 0) ++copy.failures;
    copy.pages_awaited = kPagesPerRequest;
    copy.asked_at = now;
    KeyCopyRequest request;
    request.epoch = epoch;
    request.after = copy.after;
    request.pages = kPagesPerRequest;
    due.push_back({ip, std::move(request)});
  }
  return due;
}

KeyBackfill::Progress KeyBackfill::on_response(std::string const& ip, KeyCopyResponse const& response,
                                               Source const& source, KeyTable& table, Seconds now) {
  Progress progress;
  if (table.is_complete()) return progress;
  Copy& copy = copies_[ip];
  if (copy.is_complete || response.after != copy.after) return progress;
  bool const is_usable = response.ok && source.incarnation == response.incarnation && response.epoch >= source.epoch;
  if (!is_usable) {
    copy.pages_awaited = 0;
    copy.not_before = now + kRetryInterval;
    ++copy.failures;
    return progress;
  }
  if (copy.pages_awaited > 0) --copy.pages_awaited;
  for (HeldKey const& key : response.keys) {
    KeyTable::SealedEntry const sealed = table.seal(operation_of(key), key.holder, now);
    if (!sealed.is_changed && !stores_all_) continue;
    HeldKey to_store = key;
    to_store.holder = sealed.holder;
    progress.keys_to_store.push_back(std::move(to_store));
  }
  if (!response.keys.empty()) copy.after = response.keys.back().key;
  copy.is_complete = !response.has_more;
  progress.has_majority = copied_disks() >= source.majority;
  return progress;
}

void KeyBackfill::restart() {
  copies_.clear();
  ++generation_;
}

void KeyBackfill::on_write_failed() {
  restart();
  stores_all_ = true;
}

}  // namespace dockbend
