#include "model_checking/commit_judge.hpp"

#include "model_checking/model_values.hpp"

namespace dockbend::model_checking {

void CommitJudge::fail(std::string const& breach) {
  if (breach_.empty()) breach_ = breach;
}

void CommitJudge::note_value(ReplicatedState const& value) {
  u64 const digest = mixed(value.ballot.v, codec::pack(value));
  auto const [it, is_new] = value_digests_.try_emplace(value.ballot.v, digest);
  if (!is_new && it->second != digest) fail("two values under one ballot");
}

void CommitJudge::note_on_disk(Ballot ballot, u32 node, Incarnation incarnation) {
  on_disk_.insert({ballot.v, node, incarnation.v});
}

void CommitJudge::note_committed(ReplicatedState const& value) {
  note_value(value);
  auto const at = std::lower_bound(committed_.begin(), committed_.end(), value.ballot,
                                   [](StatePointer const& s, Ballot ballot) { return s->ballot < ballot; });
  if (at != committed_.end() && (*at)->ballot == value.ballot) return;
  check_on_majorities(value, at != committed_.begin() ? (at - 1)->get() : nullptr);
  auto const here = committed_.insert(at, std::make_shared<ReplicatedState const>(value));
  for (auto it = committed_.begin(); it != committed_.end(); ++it) {
    if (it < here) check_order(**it, value);
    if (it > here) check_order(value, **it);
  }
}

void CommitJudge::check_on_majorities(ReplicatedState const& value, ReplicatedState const* committed_before) {
  if (value.ballot == Ballot(0)) return;
  auto const is_on_majority = [&](std::vector<Member> const& membership) {
    auto const count = std::count_if(membership.begin(), membership.end(), [&](Member const& member) {
      return on_disk_.contains({value.ballot.v, node_at(member.ip), member.incarnation.v});
    });
    return static_cast<std::size_t>(count) > membership.size() / 2;
  };
  if (!is_on_majority(value.membership)) fail("won on too few disks of its roster");
  if (committed_before != nullptr && !is_on_majority(committed_before->membership))
    fail("won on too few disks of the roster before");
}

void CommitJudge::check_order(ReplicatedState const& earlier, ReplicatedState const& later) {
  auto const items_before = earlier.by_key(), items = later.by_key();
  for (auto const& [key, item] : items_before) {
    auto const it = items.find(key);
    if (it == items.end()) return fail("what was won is lost");
    if (it->second.gen < item.gen) return fail("what was won went back");
    if (it->second.gen == item.gen && it->second.body != item.body) return fail("two outcomes for one number");
  }
  if (later.epoch < earlier.epoch) fail("the roster went back");
}

u64 CommitJudge::digest(u64 seed) const {
  for (StatePointer const& state : committed_)
    seed = mixed(seed, state->ballot.v);
  for (auto const& [ballot, digest] : value_digests_)
    seed = mixed(seed, digest);
  return seed;
}

}  // namespace dockbend::model_checking
