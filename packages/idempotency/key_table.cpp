#include "idempotency/key_table.hpp"

#include <limits>
#include <utility>

namespace dockbend {
namespace {
double constexpr kMillisecondsPerSecond = 1000.0;
/// What a key takes in a message besides its own bytes, at most.
std::size_t constexpr kHeldKeyOverheadBytes = 24;
u32 constexpr kLastSplit = std::numeric_limits<u32>::max();
}  // namespace

ClaimVote KeyTable::claim(ClaimRequest const& request, Epoch epoch, Seconds now, ClaimResponse& response) {
  response.epoch = epoch;
  response.holder = request.holder;
  if (!is_complete_) return response.vote = ClaimVote::unready;
  if (request.epoch != epoch) return response.vote = ClaimVote::epoch;
  if (released_holders_.count(request.holder) > 0) {
    ++claims_after_release_;
    return response.vote = ClaimVote::held;
  }
  OperationId const operation = operation_of(request);
  if (Entry const* const holding = find_holding(operation); holding != nullptr) {
    if (holding->holder == request.holder && !holding->is_sealed) return response.vote = ClaimVote::granted;
    response.in_progress = now < holding->work_until;
    response.held_by = holding->holder;
    return response.vote = ClaimVote::held;
  }
  ClaimNames const names = claim_names(operation, request.client);
  if (Entry const* const excluding = find_excluding(names, request.holder); excluding != nullptr) {
    response.held_by = excluding->holder;
    return response.vote = ClaimVote::held;
  }
  enter(operation, request.holder, now, now + request.work_ms / kMillisecondsPerSecond);
  for (OperationId const& mark : names.marks)
    enter_mark(mark, request.holder, now);
  return response.vote = ClaimVote::granted;
}

KeyTable::Entry const* KeyTable::find_excluding(ClaimNames const& names, u64 holder) const {
  for (OperationId const& name : names.excluded)
    if (auto const entry = entries_.find(name); entry != entries_.end() && entry->second.holder != holder)
      return &entry->second;
  return nullptr;
}

void KeyTable::enter(OperationId const& operation, u64 holder, Seconds now, Seconds work_until) {
  Entry& entry = entries_[operation];
  entry.holder = holder;
  entry.granted_at = now;
  entry.work_until = work_until;
}

/// Of a tenant's operations several may have one mark, of the same client: the first one's stays, and lasts as long as
/// the youngest.
void KeyTable::enter_mark(OperationId const& mark, u64 holder, Seconds now) {
  if (auto const present = entries_.find(mark); present != entries_.end())
    present->second.granted_at = now;
  else
    enter(mark, holder, now, now);
}

std::vector<OperationId> KeyTable::names_of(OperationId const& operation, std::string const& client, u64 holder) const {
  ClaimNames const names = claim_names(operation, client);
  std::vector<OperationId> held = names.marks;
  held.push_back(operation);
  std::erase_if(held, [&](OperationId const& name) {
    auto const entry = entries_.find(name);
    return entry == entries_.end() || entry->second.holder != holder;
  });
  return held;
}

KeyTable::Entry* KeyTable::find_holding(OperationId const& operation) {
  if (auto const own = entries_.find(operation); own != entries_.end()) return &own->second;
  auto candidate = entries_.lower_bound(OperationId::of_text(operation.text(), 0));
  for (; candidate != entries_.end() && candidate->first.text() == operation.text(); ++candidate)
    if (candidate->first.may_equal(operation)) return &candidate->second;
  return nullptr;
}

bool KeyTable::confirm_durable(OperationId const& operation, u64 holder, bool was_written) {
  auto const found = entries_.find(operation);
  if (found == entries_.end() || found->second.holder != holder) return false;
  if (was_written)
    found->second.is_durable = true;
  else if (!found->second.is_durable)
    entries_.erase(found);
  return was_written;
}

void KeyTable::end_work(OperationId const& operation, u64 holder) {
  Entry* const holding = find_holding(operation);
  if (holding != nullptr && holding->holder == holder) holding->work_until = 0;
}

bool KeyTable::release(ReleaseRequest const& request, Seconds now) {
  if (request.holder == kNobody) return false;
  remember_released(request.holder, now);
  std::vector<OperationId> const names = names_of(operation_of(request), request.client, request.holder);
  for (OperationId const& name : names)
    entries_.erase(name);
  return !names.empty();
}

void KeyTable::remember_released(u64 holder, Seconds now) {
  if (released_holders_.insert(holder).second) released_order_.push_back({holder, now});
  while (now - released_order_.front().at > kReleasedKeptSeconds) {
    released_holders_.erase(released_order_.front().holder);
    released_order_.pop_front();
  }
}

KeyTable::SealedEntry KeyTable::seal(OperationId const& operation, u64 holder, Seconds now) {
  auto const [place, is_new] = entries_.try_emplace(operation);
  Entry& entry = place->second;
  bool is_changed = is_new || !entry.is_sealed;
  if (is_new) {
    entry.holder = holder;
    entry.granted_at = now;
  } else if (entry.holder != holder && entry.holder != kNobody) {
    entry.holder = kNobody;
    is_changed = true;
  }
  entry.is_sealed = true;
  entry.is_durable = true;
  return {entry.holder, is_changed};
}

void KeyTable::load(OperationId const& operation, u64 holder, bool is_sealed, Seconds now) {
  // How long the process was away is not known, so the age of the key starts anew.
  entries_[operation] = Entry{holder, is_sealed, true, now, now};
}

std::vector<OperationId> KeyTable::forget_older_than(Seconds age, Seconds now, std::size_t limit) {
  std::vector<OperationId> forgotten;
  for (auto entry = entries_.begin(); entry != entries_.end() && forgotten.size() < limit;) {
    if (entry->second.is_durable && now - entry->second.granted_at > age) {
      forgotten.push_back(entry->first);
      entry = entries_.erase(entry);
    } else {
      ++entry;
    }
  }
  return forgotten;
}

u64 KeyTable::holder_of(OperationId const& operation) {
  Entry const* const holding = find_holding(operation);
  return holding == nullptr ? kNobody : holding->holder;
}

KeyTable::Page KeyTable::keys_after(std::string const& after, std::size_t max_bytes) const {
  Page page;
  std::size_t bytes = 0;
  auto const first = after.empty() ? entries_.begin() : entries_.upper_bound(OperationId::of_text(after, kLastSplit));
  for (auto entry = first; entry != entries_.end(); ++entry) {
    bytes += entry->first.text().size() + kHeldKeyOverheadBytes;
    if (bytes > max_bytes && !page.keys.empty() && page.keys.back().key != entry->first.text()) {
      page.has_more = true;
      break;
    }
    HeldKey held;
    set_operation(held, entry->first);
    held.holder = entry->second.holder;
    page.keys.push_back(std::move(held));
  }
  return page;
}

std::vector<HeldKey> KeyTable::all_keys() const {
  return keys_after("", std::numeric_limits<std::size_t>::max()).keys;
}

}  // namespace dockbend
