#include "consensus/state_chunk.hpp"

#include <algorithm>

namespace dockbend {

StateChunk piece_of(ReplicatedState const& s, RowChecksum sum, Ballot have, std::string const& after,
                    std::function<std::optional<StateDelta>(Ballot)> const& since, std::size_t most) {
  StateChunk p;
  p.sum = sum.sum;
  p.count = sum.count;
  p.part.ballot = s.ballot;
  p.part.epoch = s.epoch;
  p.part.open = s.open;
  p.part.to_fix = s.to_fix;
  p.part.evacuations = s.evacuations;
  p.part.membership = s.membership;
  p.part.previous_membership = s.previous_membership;
  p.part.largest_membership = s.largest_membership;
  p.part.retired = s.retired;
  p.part.duties = s.duties;
  p.part.fixed = s.fixed;
  p.part.passes = s.passes;
  p.part.units = s.units;
  if (have == s.ballot && have != Ballot(0)) {
    p.base = have;
  } else if (have != Ballot(0)) {
    if (auto const d = since(have)) {
      p.base = have;
      for (ConfigItem const& i : d->items)
        if (i.key <= after) p.part.items.push_back(i);
    }
  }
  if (p.base != Ballot(0)) p.after = after;
  p.upto = p.after;
  std::size_t bytes = 0;
  auto const by_key = [](std::string const& k, ConfigItem const& i) { return k < i.key; };
  auto it = p.base == Ballot(0) ? s.items.begin() : std::upper_bound(s.items.begin(), s.items.end(), p.after, by_key);
  for (; it != s.items.end() && bytes < most; ++it) {
    bytes += it->key.size() + it->body.size() + 16;
    p.upto = it->key;
    p.part.items.push_back(*it);
  }
  p.last = it == s.items.end();
  return p;
}

ChunkAssembler::Took ChunkAssembler::take(StateChunk const& p) {
  if (p.base == Ballot(0)) {
    if (have_ != Ballot(0) && p.part.ballot <= have_) return {};  // several were asked for the first
    items_.clear();
  } else if (p.base != have_ || p.after != after_) {
    return {};  // sent twice, or for another place than ours
  }
  for (ConfigItem const& i : p.part.items)
    items_[i.key] = i;
  have_ = p.part.ballot;
  after_ = p.upto;
  if (!p.last) return {true, std::nullopt};
  ReplicatedState s = p.part;
  s.items.clear();
  for (auto const& [k, i] : items_)
    s.items.push_back(i);
  items_.clear();
  have_ = Ballot();
  after_.clear();
  if (!(rows_between(nullptr, s).sum == RowChecksum{p.sum, p.count})) return {true, std::nullopt};
  return {true, std::move(s)};
}

}  // namespace dockbend
