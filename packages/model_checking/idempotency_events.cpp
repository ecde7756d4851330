// What each event of the idempotency model does.
#include <algorithm>

#include "model_checking/idempotency_world.hpp"
#include "model_checking/model_values.hpp"

namespace dockbend::model_checking {
namespace {
char constexpr kKey[] = "k";

std::optional<Incarnation> incarnation_of(Member const* member) {
  return member == nullptr ? std::nullopt : std::optional<Incarnation>(member->incarnation);
}
template <class T>
T take_at(std::vector<T>& waiting, u32 index) {
  T const taken = waiting[index];
  waiting.erase(waiting.begin() + index);
  return taken;
}
}  // namespace

/// The node's disk as a member; null if it is none.
Member const* IdempotencyWorld::member_of(ReplicatedState const& state, u32 node) const {
  Member const* const member = state.member(address(node));
  return member != nullptr && member->incarnation == nodes_[node].incarnation ? member : nullptr;
}

u64 IdempotencyWorld::membership_id(ReplicatedState const& state, u32 node) const {
  Member const* const member = member_of(state, node);
  return KeyBackfill::membership_id(member == nullptr ? std::nullopt : std::optional<Epoch>(member->since));
}

// ---- the membership ------------------------------------------------------------------

/// The request that the controller's membership service makes.
Member IdempotencyWorld::request_of(u32 index) const {
  Node const& node = nodes_[index];
  Member const* const known = node.committed ? member_of(*node.committed, index) : nullptr;
  Member request;
  request.ip = address(index);
  request.incarnation = node.incarnation;
  request.whole = node.table.is_complete() && known != nullptr;
  if (known != nullptr) request.since = known->since;
  return request;
}

bool IdempotencyWorld::may_ask_in(u32 node) const {
  bool const is_member_unknowingly = !nodes_[node].committed && member_of(*committed_, node) != nullptr;
  if (is_member_unknowingly) return false;
  std::string const request = codec::pack(request_of(node));
  return std::none_of(requests_.begin(), requests_.end(),
                      [&](Member const& other) { return codec::pack(other) == request; });
}

bool IdempotencyWorld::ask_in(u32 node) {
  requests_.push_back(request_of(node));
  return true;
}

bool IdempotencyWorld::begin_requested(u32 request) {
  if (request >= requests_.size() || proposed_) return false;
  ReplicatedState state = *committed_;
  return state.admit(requests_[request]) && begin_round(std::move(state));
}

bool IdempotencyWorld::begin_removal(u32 node) {
  Member const* const member = committed_->member(address(node));
  if (proposed_ || member == nullptr || left_.leaves == 0) return false;
  ReplicatedState state = *committed_;
  if (faults_.removes_members_freely) state.largest_membership = 0;
  if (!state.remove_member(member->ip, Incarnation(member->incarnation))) return false;
  --left_.leaves;
  return begin_round(std::move(state));
}

/// As the proposer does it: the ballot becomes the epoch of new members.
bool IdempotencyWorld::begin_round(ReplicatedState state) {
  state.ballot = Ballot(++last_ballot_);
  bool changes_members = state.membership.size() != committed_->membership.size();
  for (Member& member : state.membership)
    if (member.since == kUnassignedEpoch) {
      member.since = Epoch(state.ballot.v);
      changes_members = true;
    }
  if (changes_members) {
    state.epoch = Epoch(state.ballot.v);
    proposed_ = std::make_shared<ReplicatedState const>(std::move(state));
  } else {
    committed_ = std::make_shared<ReplicatedState const>(std::move(state));  // what one member reports of itself
  }
  return true;
}

bool IdempotencyWorld::abandon_round() {
  proposed_.reset();
  accepted_by_.clear();
  return true;
}

bool IdempotencyWorld::may_accept(u32 node) const {
  return proposed_ && nodes_[node].accepted != proposed_ &&
         (member_of(*proposed_, node) != nullptr || member_of(*committed_, node) != nullptr);
}

bool IdempotencyWorld::accept(u32 node, bool write_waits) {
  nodes_[node].accepted = proposed_;
  if (!write_waits) write(node);
  return true;
}

bool IdempotencyWorld::learn(u32 index) {
  Node& node = nodes_[index];
  if (node.committed == committed_) return false;
  bool const is_other_epoch = !node.committed || node.committed->epoch != committed_->epoch;
  node.committed = committed_;
  if (!node.accepted || node.accepted->ballot < committed_->ballot) node.accepted = committed_;
  if (is_other_epoch) node.backfill.restart();
  update_completeness(index);
  write(index);
  return true;
}

// ---- disks ---------------------------------------------------------------------------

void IdempotencyWorld::update_completeness(u32 index) {
  Node& node = nodes_[index];
  if (!node.accepted) return;
  if (faults_.returns_as_complete)
    node.table.set_complete(node.backfill.completed_in() != 0);
  else
    node.backfill.update_completeness(membership_id(*node.accepted, index), node.table);
}

/// All that waits is written, in order.
void IdempotencyWorld::write(u32 index) {
  Node& node = nodes_[index];
  node.disk.accepted = node.accepted;
  node.disk.key = node.key;
  if (!proposed_ || node.accepted != proposed_) return;
  accepted_by_.insert({index, node.incarnation.v});
  commit_if_accepted();
}

void IdempotencyWorld::commit_if_accepted() {
  ReplicatedState state = *proposed_;
  state.previous_membership = committed_->membership;
  auto const has_accepted = [&](Member const& member) {
    return accepted_by_.count({node_at(member.ip), member.incarnation.v}) > 0;
  };
  if (!state.is_held_by_quorum(has_accepted)) return;
  committed_ = proposed_;
  proposed_.reset();
  accepted_by_.clear();
}

bool IdempotencyWorld::restart(u32 node) {
  start(node);
  return true;
}

/// A disk may be lost as long as a majority of complete disks is left, in the committed and the proposed value.
bool IdempotencyWorld::may_wipe(u32 node) const {
  for (StatePointer const& state : {committed_, proposed_}) {
    if (!state) continue;
    auto const stays_complete = [&](Member const& member) {
      u32 const index = node_at(member.ip);
      Disk const& disk = nodes_[index].disk;
      return index != node && disk.incarnation == member.incarnation &&
             disk.completed_in == KeyBackfill::membership_id(member.since);
    };
    auto const& members = state->membership;
    auto const complete = std::count_if(members.begin(), members.end(), stays_complete);
    if (static_cast<std::size_t>(complete) < state->majority()) return false;
  }
  return true;
}

bool IdempotencyWorld::wipe(u32 node) {
  nodes_[node].disk = Disk{};
  nodes_[node].disk.incarnation = Incarnation(100 + next_incarnation_++);
  start(node);
  return true;
}

void IdempotencyWorld::start(u32 index) {
  Node& node = nodes_[index];
  Disk const disk = node.disk;
  node = Node();
  node.disk = disk;
  node.incarnation = disk.incarnation;
  node.accepted = disk.accepted;
  node.key = disk.key;
  node.backfill = KeyBackfill(disk.completed_in);
  if (disk.key) node.table.load(OperationId::without_tenant(kKey), disk.key->holder, disk.key->is_sealed, 0);
  update_completeness(index);
}

// ---- claims --------------------------------------------------------------------------

void IdempotencyWorld::open_claim(Claimant& claimant) {
  claimant.view = committed_;
  claimant.quorum = ClaimQuorum(committed_->membership.size(), committed_->epoch);
  claimant.asked = 0;
}

bool IdempotencyWorld::see_membership(u32 claimant) {
  if (claimants_[claimant].is_over || claimants_[claimant].view == committed_) return false;
  open_claim(claimants_[claimant]);
  return true;
}

bool IdempotencyWorld::claim(u32 index, u32 node, bool answer_waits) {
  Claimant& claimant = claimants_[index];
  Member const* const member = claimant.view->member(address(node));
  if (claimant.is_over || claimant.has_won || member == nullptr || (claimant.asked >> node & 1)) return false;
  claimant.sent_to |= 1U << node;
  claimant.asked |= 1U << node;
  if (member->incarnation != nodes_[node].incarnation || !nodes_[node].accepted) return true;
  ClaimAnswer const answer{node, index, vote(index, node, *member, claimant.view->epoch)};
  if (answer_waits)
    waiting_answers_.push_back(answer);
  else
    on_answer(answer);
  return true;
}

ClaimResponse IdempotencyWorld::vote(u32 claimant, u32 index, Member const& member, Epoch view_epoch) {
  Node& node = nodes_[index];
  ClaimRequest request;
  set_operation(request, OperationId::without_tenant(kKey));
  request.holder = holder_of(claimant);
  request.epoch = faults_.ignores_epoch ? node.accepted->epoch : view_epoch;
  request.incarnation = member.incarnation;
  ClaimResponse response;
  response.incarnation = node.incarnation;
  update_completeness(index);
  if (faults_.votes_before_complete) node.table.set_complete();
  if (node.table.claim(request, node.accepted->epoch, 0, response) == ClaimVote::granted) {
    node.table.confirm_durable(OperationId::without_tenant(kKey), request.holder, true);
    node.key = KeyEntry{request.holder, false};
    write(index);
  }
  if (faults_.ignores_epoch) response.epoch = view_epoch;
  return response;
}

bool IdempotencyWorld::deliver_answer(u32 index) {
  if (index >= waiting_answers_.size()) return false;
  on_answer(take_at(waiting_answers_, index));
  return true;
}

void IdempotencyWorld::on_answer(ClaimAnswer const& answer) {
  Claimant& claimant = claimants_[answer.claimant];
  Member const* const member = claimant.view->member(address(answer.disk));
  if (claimant.is_over || claimant.has_won) return;
  if (member == nullptr || member->incarnation != answer.response.incarnation) return;
  ClaimQuorum::Result const result = claimant.quorum.count(address(answer.disk), answer.response);
  if (result == ClaimQuorum::Result::held) claimant.is_over = true;
  if (result != ClaimQuorum::Result::granted) return;
  claimant.has_won = true;
  auto const winners =
      std::count_if(claimants_.begin(), claimants_.end(), [](Claimant const& other) { return other.has_won; });
  if (winners > 1) breach_ = "two holders have won one key";
}

bool IdempotencyWorld::give_up(u32 index) {
  Claimant& claimant = claimants_[index];
  if (claimant.is_over || claimant.has_won || left_.repeats == 0) return false;
  --left_.repeats;
  claimant.is_over = true;
  return true;
}

bool IdempotencyWorld::release(u32 index, u32 node) {
  Claimant& claimant = claimants_[index];
  if (!claimant.is_over || !(claimant.sent_to >> node & 1)) return false;
  claimant.sent_to &= ~(1U << node);
  ReleaseRequest request;
  set_operation(request, OperationId::without_tenant(kKey));
  request.holder = holder_of(index);
  if (nodes_[node].table.release(request, 0)) nodes_[node].key.reset();  // it is on disk with the next write
  return true;
}

// ---- copies --------------------------------------------------------------------------

bool IdempotencyWorld::needs_copy(u32 index, u32 from) const {
  Node const& node = nodes_[index];
  return node.committed && !node.table.is_complete() && member_of(*node.committed, index) != nullptr &&
         node.backfill.needs_copy_from(address(from));
}

bool IdempotencyWorld::copy(u32 index, u32 from, bool answer_waits) {
  if (!needs_copy(index, from)) return false;
  Epoch const epoch = nodes_[index].committed->epoch;
  KeyCopyRequest request;
  request.epoch = faults_.copies_under_old_epoch ? Epoch(0) : epoch;
  request.pages = 1;
  if (!faults_.copies_unwritten_state) write(from);  // an answer waits for all writes before it
  update_completeness(from);
  Node const& source = nodes_[from];
  std::optional<Epoch> const source_epoch =
      source.accepted ? std::optional<Epoch>(source.accepted->epoch) : std::nullopt;
  CopyAnswer answer{from, index, KeyBackfill::answer_request(source.table, source.incarnation, source_epoch, request)};
  if (faults_.copies_under_old_epoch) answer.response.epoch = epoch;
  if (answer_waits)
    waiting_copies_.push_back(answer);
  else
    on_copy(answer);
  return true;
}

bool IdempotencyWorld::deliver_copy(u32 index) {
  if (index >= waiting_copies_.size()) return false;
  on_copy(take_at(waiting_copies_, index));
  return true;
}

void IdempotencyWorld::on_copy(CopyAnswer const& answer) {
  Node& node = nodes_[answer.to];
  if (!node.committed) return;
  std::size_t const majority = node.committed->majority() - (faults_.copies_from_too_few ? 1 : 0);
  KeyBackfill::Source const source{incarnation_of(node.committed->member(address(answer.from))), node.committed->epoch,
                                   majority};
  KeyBackfill::Progress const progress =
      node.backfill.on_response(address(answer.from), answer.response, source, node.table, 0);
  for (HeldKey const& key : progress.keys_to_store)
    node.key = KeyEntry{key.holder, true};
  if (progress.has_majority) {
    node.disk.completed_in = membership_id(*node.committed, answer.to);
    node.backfill.set_completed(node.disk.completed_in);
    update_completeness(answer.to);
  }
  write(answer.to);
}

}  // namespace dockbend::model_checking
