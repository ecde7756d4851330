#include "consensus/state_chunk.hpp"

#include "item_order.hpp"

namespace dockbend {
namespace {
/// What an item needs besides its key and body.
std::size_t constexpr kItemOverheadBytes = 16;

ReplicatedState without_items(ReplicatedState const& state) {
  ReplicatedState copy;
  copy.ballot = state.ballot;
  copy.epoch = state.epoch;
  copy.open = state.open;
  copy.to_fix = state.to_fix;
  copy.evacuations = state.evacuations;
  copy.membership = state.membership;
  copy.previous_membership = state.previous_membership;
  copy.largest_membership = state.largest_membership;
  copy.retired = state.retired;
  copy.duties = state.duties;
  copy.fixed = state.fixed;
  copy.passes = state.passes;
  copy.units = state.units;
  return copy;
}

/// If what the receiver has is of use: names it as the chunk's base, and adds what changed of it.
void continue_from(StateChunk& chunk, Ballot have, std::string const& after, ChangesSince const& changes_since) {
  if (have == Ballot(0)) return;
  if (have != chunk.part.ballot) {
    auto const delta = changes_since(have);
    if (!delta) return;
    for (ConfigItem const& item : delta->items)
      if (item.key <= after) chunk.part.items.push_back(item);
  }
  chunk.base = have;
  chunk.after = after;
}
}  // namespace

StateChunk next_chunk(ReplicatedState const& state, RowChecksum checksum, Ballot have, std::string const& after,
                      ChangesSince const& changes_since, std::size_t most_bytes) {
  StateChunk chunk;
  chunk.sum = checksum.sum;
  chunk.count = checksum.count;
  chunk.part = without_items(state);
  continue_from(chunk, have, after, changes_since);
  chunk.upto = chunk.after;
  std::size_t bytes = 0;
  auto item = chunk.base == Ballot(0)
                  ? state.items.begin()
                  : std::upper_bound(state.items.begin(), state.items.end(), chunk.after,
                                     [](std::string const& key, ConfigItem const& i) { return key < i.key; });
  for (; item != state.items.end() && bytes < most_bytes; ++item) {
    bytes += item->key.size() + item->body.size() + kItemOverheadBytes;
    chunk.upto = item->key;
    chunk.part.items.push_back(*item);
  }
  chunk.last = item == state.items.end();
  return chunk;
}

bool ChunkAssembler::is_next(StateChunk const& chunk) const {
  // Several members may have been asked for the first chunk; an older value's first chunk is of no use.
  if (chunk.base == Ballot(0)) return have_ == Ballot(0) || chunk.part.ballot > have_;
  return chunk.base == have_ && chunk.after == after_;  // else it came twice, or is for another position
}

ChunkAssembler::Result ChunkAssembler::take(StateChunk const& chunk) {
  if (!is_next(chunk)) return {};
  if (chunk.base == Ballot(0)) items_.clear();
  for (ConfigItem const& item : chunk.part.items)
    items_[item.key] = item;
  have_ = chunk.part.ballot;
  after_ = chunk.upto;
  if (!chunk.last) return {true, std::nullopt};
  return {true, finish(chunk)};
}

std::optional<ReplicatedState> ChunkAssembler::finish(StateChunk const& last) {
  ReplicatedState state = last.part;
  state.items.clear();
  for (auto const& [key, item] : items_)
    state.items.push_back(item);
  items_.clear();
  have_ = Ballot();
  after_.clear();
  if (!(rows_between(nullptr, state).checksum == RowChecksum{last.sum, last.count})) return std::nullopt;
  return state;
}

}  // namespace dockbend
