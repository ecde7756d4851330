#include "model_checking/idempotency_world.hpp"

#include <algorithm>
#include <optional>

#include "model_checking/model_values.hpp"

namespace dockbend::model_checking {
namespace {
u64 constexpr kNoKey = 1000;  // in a digest

bool spend(u32& left) {
  return left > 0 && left-- > 0;
}
u64 ballot_number(std::shared_ptr<ReplicatedState const> const& state) {
  return state ? state->ballot.v + 1 : 0;
}
std::string node_name(u32 node) {
  return std::string(1, static_cast<char>('A' + node));
}
std::string claimant_name(u32 claimant) {
  return "holder " + std::to_string(claimant + 1);
}
}  // namespace

IdempotencyWorld::IdempotencyWorld(Bounds const& bounds, IdempotencyFaults const& faults)
    : faults_(faults), left_(bounds) {
  ReplicatedState founders;
  for (u32 node = 0; node < bounds.nodes; ++node) {
    Member member;
    member.ip = address(node);
    member.incarnation = Incarnation(1);
    member.whole = true;
    founders.membership.push_back(member);
  }
  committed_ = std::make_shared<ReplicatedState const>(founders);
  for (u32 index = 0; index < bounds.nodes + bounds.spares; ++index) {
    bool const is_founder = index < bounds.nodes;
    Node node;
    node.disk.incarnation = node.incarnation = is_founder ? Incarnation(1) : Incarnation(10 + index);
    node.disk.completed_in = is_founder ? 1 : 0;
    node.backfill = KeyBackfill(node.disk.completed_in);
    if (is_founder) node.disk.accepted = node.accepted = node.committed = committed_;
    node.table.set_complete(is_founder);
    nodes_.push_back(node);
  }
  claimants_.resize(bounds.proposers);
  for (Claimant& claimant : claimants_)
    open_claim(claimant);
}

u32 IdempotencyWorld::weight(Action const& action) {
  static constexpr std::array<u32, kEventCount> weights{8, 10, 1, 25, 12, 4, 10, 6, 1, 6, 20, 6, 2, 4, 4};
  return weights[action.what];
}

// ---- what may happen next ------------------------------------------------------------

namespace {
void add(std::vector<Action>& possible, IdempotencyWorld::Event event, u32 a = 0, u32 b = 0, u32 c = 0) {
  possible.push_back(Action{static_cast<u8>(event), static_cast<u8>(a), static_cast<u8>(b), static_cast<u8>(c), 0});
}
}  // namespace

void IdempotencyWorld::actions(std::vector<Action>& possible) const {
  for (u32 node = 0; node < node_count(); ++node)
    add_node_actions(node, possible);
  add_round_actions(possible);
  for (u32 claimant = 0; claimant < claimants_.size(); ++claimant)
    add_claimant_actions(claimant, possible);
  for (u32 answer = 0; answer < waiting_answers_.size(); ++answer)
    add(possible, Event::hear, answer);
  for (u32 copy = 0; copy < waiting_copies_.size(); ++copy)
    add(possible, Event::copied, copy);
}

void IdempotencyWorld::add_node_actions(u32 index, std::vector<Action>& possible) const {
  Node const& node = nodes_[index];
  if (left_.joins > 0 && may_ask_in(index)) add(possible, Event::ask_in, index);
  if (!proposed_ && left_.leaves > 0 && committed_->member(address(index)) != nullptr)
    add(possible, Event::step, 1, index);
  if (may_accept(index)) {
    add(possible, Event::move, index, 0);
    if (left_.lates > 0) add(possible, Event::move, index, 1);
  }
  if (node.committed != committed_ && node.committed_epoch() <= committed_->epoch) add(possible, Event::learn, index);
  for (u32 from = 0; from < node_count(); ++from)
    if (node.accepted && from != index && needs_copy(index, from) && node.committed->member(address(from)) != nullptr) {
      add(possible, Event::copy, index, from, 0);
      if (left_.holds > 0) add(possible, Event::copy, index, from, 1);
    }
  if (left_.restarts > 0) add(possible, Event::restart, index);
  if (left_.wipes > 0 && may_wipe(index)) add(possible, Event::wipe, index);
  if (node.has_unwritten_state()) add(possible, Event::sync, index);
}

void IdempotencyWorld::add_round_actions(std::vector<Action>& possible) const {
  if (!proposed_)
    for (u32 request = 0; request < requests_.size(); ++request)
      add(possible, Event::step, 0, request);
  else if (left_.drops > 0)
    add(possible, Event::abandon);
}

void IdempotencyWorld::add_claimant_actions(u32 index, std::vector<Action>& possible) const {
  Claimant const& claimant = claimants_[index];
  if (claimant.is_over) {
    for (u32 node = 0; node < node_count(); ++node)
      if (claimant.sent_to >> node & 1) add(possible, Event::release, index, node);
    return;
  }
  if (claimant.view != committed_) add(possible, Event::view, index);
  for (Member const& member : claimant.view->membership) {
    u32 const node = node_at(member.ip);
    if (claimant.asked >> node & 1) continue;
    add(possible, Event::claim, index, node, 0);
    if (left_.holds > 0) add(possible, Event::claim, index, node, 1);
  }
  if (left_.repeats > 0 && !claimant.has_won) add(possible, Event::give_up, index);
}

// ---- what happens --------------------------------------------------------------------

bool IdempotencyWorld::step(Action const& action) {
  if (action.what >= words.size() || !breach_.empty()) return false;
  u32 const a = action.a, b = action.b;
  bool const a_is_node = a < node_count(), b_is_node = b < node_count(), a_is_claimant = a < claimants_.size();
  auto const spend_if = [](bool needed, u32& left) { return !needed || spend(left); };
  switch (static_cast<Event>(action.what)) {
    case Event::ask_in: return a_is_node && may_ask_in(a) && spend(left_.joins) && ask_in(a);
    case Event::step: return a == 0 ? begin_requested(b) : b_is_node && begin_removal(b);
    case Event::abandon: return proposed_ && spend(left_.drops) && abandon_round();
    case Event::move: return a_is_node && may_accept(a) && spend_if(b != 0, left_.lates) && accept(a, b != 0);
    case Event::learn: return a_is_node && learn(a);
    case Event::view: return a_is_claimant && see_membership(a);
    case Event::claim:
      return a_is_claimant && b_is_node && spend_if(action.c != 0, left_.holds) && claim(a, b, action.c != 0);
    case Event::hear: return deliver_answer(a);
    case Event::give_up: return a_is_claimant && give_up(a);
    case Event::release: return a_is_claimant && b_is_node && release(a, b);
    case Event::copy:
      return a_is_node && b_is_node && spend_if(action.c != 0, left_.holds) && copy(a, b, action.c != 0);
    case Event::copied: return deliver_copy(a);
    case Event::restart: return a_is_node && spend(left_.restarts) && restart(a);
    case Event::wipe: return a_is_node && may_wipe(a) && spend(left_.wipes) && wipe(a);
    case Event::sync:
      if (!a_is_node || !nodes_[a].has_unwritten_state()) return false;
      write(a);
      return true;
  }
  return false;
}

// ---- the state as a number and in words ----------------------------------------------

u64 IdempotencyWorld::digest() const {
  auto const number_of = [](ClaimAnswer const& answer) {
    return mixed(answer.disk << 8 | answer.claimant, codec::pack(answer.response));
  };
  u64 digest = mixed(committed_->ballot.v, proposed_ ? proposed_->ballot.v : 0);
  for (auto const& [node, incarnation] : accepted_by_)
    digest = mixed(digest, node << 20 | incarnation);
  for (Node const& node : nodes_)
    add_to_digest(node, digest);
  for (Claimant const& claimant : claimants_) {
    digest = mixed(digest, claimant.view->ballot.v);
    digest = mixed(digest,
                   u64{claimant.sent_to} << 40 | u64{claimant.asked} << 20 | claimant.is_over << 1 | claimant.has_won);
    digest = mixed(digest, claimant.quorum.grants() << 8 | claimant.quorum.refusals());
  }
  for (ClaimAnswer const& answer : waiting_answers_)
    digest = mixed(digest, number_of(answer));
  for (CopyAnswer const& copy : waiting_copies_)
    digest = mixed(mixed(digest, copy.from << 8 | copy.to), codec::pack(copy.response));
  for (Member const& request : requests_)
    digest = mixed(digest, codec::pack(request));
  for (BoundsField const& field : kBoundsFields)
    digest = mixed(digest, left_.*field.at);
  return digest;
}

void IdempotencyWorld::add_to_digest(Node const& node, u64& digest) const {
  for (u64 const number : {node.incarnation.v, ballot_number(node.accepted), ballot_number(node.committed),
                           ballot_number(node.disk.accepted), node.disk.completed_in, node.backfill.completed_in(),
                           u64{node.table.is_complete()}})
    digest = mixed(digest, number);
  for (auto const* key : {&node.key, &node.disk.key})
    digest = mixed(digest, *key ? (*key)->holder << 1 | (*key)->is_sealed : kNoKey);
  for (u32 from = 0; from < node_count(); ++from)
    digest = mixed(digest, node.backfill.needs_copy_from(address(from)));
}

std::string IdempotencyWorld::describe(Action const& action) const {
  std::string const a_node = node_name(action.a), b_node = node_name(action.b), claimant = claimant_name(action.a);
  std::string const waits = action.c != 0 ? ", answer waits" : "";
  switch (static_cast<Event>(action.what)) {
    case Event::ask_in: return a_node + " asks to be taken in, or says that it is whole";
    case Event::step:
      if (action.a != 0) return "a round begins that takes " + b_node + " out";
      if (action.b >= requests_.size()) return "";
      return "a round begins with what " + node_name(node_at(requests_[action.b].ip)) + " asked";
    case Event::abandon: return "the round is given up";
    case Event::move: return a_node + " accepts the step" + (action.b != 0 ? ", write waits" : "");
    case Event::learn: return a_node + " learns the newest value won";
    case Event::view: return claimant + " sees the newest roster";
    case Event::claim: return claimant + " claims on " + b_node + waits;
    case Event::hear: return "an answer on its way arrives";
    case Event::give_up: return claimant + " gives up";
    case Event::release: return claimant + "'s release reaches " + b_node;
    case Event::copy: return a_node + " copies from " + b_node + waits;
    case Event::copied: return "a copy on its way arrives";
    case Event::restart: return a_node + " restarts";
    case Event::wipe: return a_node + " loses its disk";
    case Event::sync: return a_node + "'s disk takes what waits";
  }
  return "";
}

}  // namespace dockbend::model_checking
