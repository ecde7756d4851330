#include "model_checking/consensus_world.hpp"

#include <algorithm>

namespace dockbend::model_checking {
namespace {
/// Incarnations of disks that join or replace a lost one; a founder's first is 1.
u64 constexpr kFirstSpareIncarnation = 10;

Action make_action(ConsensusWorld::Event event, u32 a = 0, u32 b = 0, u32 c = 0, u64 message = 0) {
  return Action{static_cast<u8>(event), static_cast<u8>(a), static_cast<u8>(b), static_cast<u8>(c), message};
}
Action make_proposal(u32 node, ConsensusWorld::Proposal proposal, u32 argument = 0) {
  return make_action(ConsensusWorld::Event::propose, node, static_cast<u32>(proposal), argument);
}
/// "A" for node 0.
std::string node_letter(u64 node) {
  return std::string(1, static_cast<char>('A' + node));
}
}  // namespace

bool ConsensusWorld::Node::has_unwritten() const {
  return !waiting_responses.empty() || disk.promised != acceptor.promised() ||
         (acceptor.state() && (!disk.state || disk.state->ballot != acceptor.state()->ballot));
}

ReplicatedState const* ConsensusWorld::Node::newest() const {
  ReplicatedState const* newest = committed.get();
  if (acceptor.state() && (newest == nullptr || acceptor.state()->ballot > newest->ballot)) newest = &*acceptor.state();
  return newest;
}

Member ConsensusWorld::member(u32 node, Incarnation incarnation) {
  Member member;
  member.ip = address(node);
  member.incarnation = incarnation;
  member.whole = true;  // keys are another model
  return member;
}

StatePointer ConsensusWorld::founding_state(Bounds const& bounds) {
  ReplicatedState founding;
  for (u32 i = 0; i < bounds.nodes; ++i)
    founding.membership.push_back(member(i, Incarnation(1)));
  return std::make_shared<ReplicatedState const>(founding);
}

ConsensusWorld::ConsensusWorld(Bounds const& bounds) : left_(bounds), judge_(founding_state(bounds)) {
  StatePointer const founding = judge_.committed().front();
  for (u32 i = 0; i < bounds.nodes + bounds.spares; ++i) {
    bool const is_founder = i < bounds.nodes;
    Incarnation const incarnation(is_founder ? 1 : kFirstSpareIncarnation + i);
    nodes_.emplace_back(
        Acceptor(incarnation, Ballot(), is_founder ? std::optional<ReplicatedState>(*founding) : std::nullopt),
        Proposer(address(i)));
    Node& node = nodes_.back();
    node.disk = Disk{incarnation, Ballot(), node.acceptor.state()};
    if (is_founder) node.committed = founding;
  }
}

u32 ConsensusWorld::weight(Action const& action) {
  static constexpr std::array<u32, words.size()> weights{10, 60, 6, 5, 2, 2, 2, 3, 5, 5};
  return weights[action.what];
}

// ---- what may happen next ----------------------------------------------------------------

void ConsensusWorld::actions(std::vector<Action>& list) const {
  add_delivery_actions(list);
  for (u32 i = 0; i < node_count(); ++i) {
    add_proposal_actions(i, list);
    if (nodes_[i].has_unwritten()) list.push_back(make_action(Event::sync, i));
    if (left_.restarts > 0) list.push_back(make_action(Event::restart, i));
    if (left_.wipes > 0 && may_wipe(i)) list.push_back(make_action(Event::wipe, i));
    for (u32 k = 0; k < node_count(); ++k)
      if (k != i) add_connection_actions(i, k, list);
  }
}

void ConsensusWorld::add_delivery_actions(std::vector<Action>& list) const {
  for (MessagePointer const& message : network_.in_flight()) {
    auto const deliver = [&](Delivery how) {
      list.push_back(make_action(Event::deliver, message->from, message->to, static_cast<u32>(how), message->id));
    };
    deliver(Delivery::at_once);
    if (message->is_request() && left_.holds > 0) deliver(Delivery::answer_waits);
    if (message->is_request() && left_.lates > 0) deliver(Delivery::write_waits);
    if (left_.repeats > 0) deliver(Delivery::twice);
    if (left_.drops > 0) list.push_back(make_action(Event::drop, message->from, message->to, 0, message->id));
  }
}

void ConsensusWorld::add_proposal_actions(u32 node, std::vector<Action>& list) const {
  ReplicatedState const* const newest = nodes_[node].newest();
  if (newest == nullptr || node >= left_.proposers || left_.proposals == 0) return;
  StatePointer const& committed = nodes_[node].committed;
  if (!committed || newest->ballot > committed->ballot) list.push_back(make_proposal(node, Proposal::finish));
  for (u32 version = 1; version <= left_.items; ++version)
    list.push_back(make_proposal(node, Proposal::item, version));
  add_membership_proposals(node, *newest, list);
}

void ConsensusWorld::add_membership_proposals(u32 node, ReplicatedState const& newest,
                                              std::vector<Action>& list) const {
  u32 outsiders = 0;
  for (u32 x = 0; x < node_count(); ++x) {
    Member const* const present = newest.member(address(x));
    bool const is_member = present != nullptr && present->incarnation == nodes_[x].acceptor.incarnation();
    if (!is_member) {
      ++outsiders;
      if (left_.joins > 0) list.push_back(make_proposal(node, Proposal::join, x));
      for (u32 y = 0; left_.swaps > 0 && y < node_count(); ++y)
        if (y != x && newest.member(address(y)) != nullptr && may_leave(newest, y))
          list.push_back(make_proposal(node, Proposal::swap, x << 4 | y));
    }
    if (present != nullptr && left_.leaves > 0 && newest.membership.size() > 2 && may_leave(newest, x))
      list.push_back(make_proposal(node, Proposal::leave, x));
  }
  if (outsiders > 1 && left_.joins > 1) list.push_back(make_proposal(node, Proposal::join_all));
}

bool ConsensusWorld::can_hear(u32 from, u32 to) const {
  Node const& teller = nodes_[from];
  Node const& hearer = nodes_[to];
  return teller.disk.state && hearer.acceptor.state() &&
         (!hearer.committed || hearer.acceptor.state()->ballot > hearer.committed->ballot) &&
         hearer.heard[from] != HeardValue{teller.disk.incarnation, teller.disk.state->ballot};
}

void ConsensusWorld::add_connection_actions(u32 from, u32 to, std::vector<Action>& list) const {
  if (network_.is_cut(from, to)) {
    list.push_back(make_action(Event::heal, from, to));
    return;
  }
  if (left_.cuts > 0) list.push_back(make_action(Event::cut, from, to));
  StatePointer const& theirs = nodes_[from].committed;
  StatePointer const& own = nodes_[to].committed;
  if (theirs && (!own || theirs->ballot > own->ballot)) list.push_back(make_action(Event::learn, from, to));
  if (left_.tells > 0 && can_hear(from, to)) list.push_back(make_action(Event::tell, from, to));
}

// ---- disks and processes -----------------------------------------------------------------

void ConsensusWorld::flush(u32 node) {
  Node& n = nodes_[node];
  n.disk.promised = n.acceptor.promised();
  if (n.acceptor.state() && (!n.disk.state || n.disk.state->ballot != n.acceptor.state()->ballot)) {
    n.disk.state = n.acceptor.state();
    judge_.note_value(*n.disk.state);
    judge_.note_on_disk(n.disk.state->ballot, node, n.disk.incarnation);
  }
  for (MessagePointer const& response : std::exchange(n.orphaned_responses, {}))
    judge_.note_on_disk(response->ballot(), node, n.disk.incarnation);
  for (MessagePointer const& response : std::exchange(n.waiting_responses, {})) {
    // A value that another one has followed was on disk all the same.
    if (response->is_accept_vote()) judge_.note_on_disk(response->ballot(), node, n.disk.incarnation);
    network_.put(response);
  }
}

void ConsensusWorld::start(u32 node, Ballot promised) {
  Node& n = nodes_[node];
  n.acceptor = Acceptor(n.disk.incarnation, promised, n.disk.state);
  n.proposer = Proposer(address(node));
  n.proposer.observe_ballot(promised);
  n.committed.reset();
  if (n.disk.state && n.disk.state->ballot == Ballot(0))
    n.committed = std::make_shared<ReplicatedState const>(*n.disk.state);
  n.waiting_responses.clear();
  n.orphaned_responses.clear();
  n.heard = {};
  n.has_open_round = false;
  // Answers come over the connection that asked, and that is gone. Safety depends on it: a proposer that is no member
  // has no promise of its own, and may use a ballot again.
  network_.remove_responses_to(node);
  for (Node& other : nodes_) {
    auto const first_lost = std::stable_partition(other.waiting_responses.begin(), other.waiting_responses.end(),
                                                  [&](MessagePointer const& m) { return m->to != node; });
    // The write goes on, though its answer reaches nobody.
    std::copy_if(first_lost, other.waiting_responses.end(), std::back_inserter(other.orphaned_responses),
                 [](MessagePointer const& m) { return m->is_accept_vote(); });
    other.waiting_responses.erase(first_lost, other.waiting_responses.end());
  }
}

bool ConsensusWorld::can_bear_loss(std::vector<Member> const& membership, u32 lost) const {
  auto const left = std::count_if(membership.begin(), membership.end(), [&](Member const& member) {
    u32 const node = node_at(member.ip);
    return node != lost && nodes_[node].disk.incarnation == member.incarnation;
  });
  return membership.empty() || static_cast<std::size_t>(left) > membership.size() / 2;
}

bool ConsensusWorld::may_wipe(u32 node) const {
  auto const can_bear = [&](ReplicatedState const& state) {
    return can_bear_loss(state.membership, node) && can_bear_loss(state.previous_membership, node);
  };
  for (Node const& n : nodes_) {
    if (n.disk.state && !can_bear(*n.disk.state)) return false;
    if (ReplicatedState const* const newest = n.newest(); newest != nullptr && !can_bear(*newest)) return false;
  }
  return can_bear_loss(last_committed()->membership, node);
}

bool ConsensusWorld::may_leave(ReplicatedState const& state, u32 node) const {
  std::vector<Member> others = state.membership;
  std::erase_if(others, [&](Member const& member) { return member.ip == address(node); });
  return can_bear_loss(others, node);
}

void ConsensusWorld::learn(u32 node, ReplicatedState const& state) {
  Node& n = nodes_[node];
  if (n.committed && n.committed->ballot >= state.ballot) return;
  n.committed = std::make_shared<ReplicatedState const>(state);
  n.proposer.observe_ballot(state.ballot);
  if (n.acceptor.learn(state).is_needed) flush(node);
}

bool ConsensusWorld::learn_from(u32 from, u32 to) {
  Node& n = nodes_[to];
  StatePointer const state = nodes_[from].committed;
  if (!state || network_.is_cut(from, to) || (n.committed && n.committed->ballot >= state->ballot)) return false;
  if (n.acceptor.state() && n.acceptor.state()->ballot == state->ballot) {
    learn(to, ReplicatedState(*n.acceptor.state()));
    return true;
  }
  if (n.committed) {
    ReplicatedState changed = *n.committed;
    if (!apply(changed, codec::unpack<StateDelta>(codec::pack(delta_of(*n.committed, *state)))) ||
        codec::pack(changed) != codec::pack(*state))
      judge_.fail("a delta gives another value");
  }
  learn(to, *state);
  return true;
}

// ---- identity and words ------------------------------------------------------------------

u64 ConsensusWorld::digest_node(u64 seed, Node const& node) {
  auto const add = [&seed](u64 number) { seed = mixed(seed, number); };
  add(node.acceptor.incarnation().v);
  add(node.acceptor.promised().v);
  add(node.acceptor.state() ? node.acceptor.state()->ballot.v + 1 : 0);
  add(node.disk.promised.v);
  add(node.disk.state ? node.disk.state->ballot.v + 1 : 0);
  add(node.committed ? node.committed->ballot.v + 1 : 0);
  add(static_cast<u64>(node.proposer.phase()));
  add(node.proposer.counter());
  if (!node.proposer.is_idle()) {
    add(node.proposer.ballot().v);
    add(node.proposer.base().ballot.v);
    add(static_cast<u64>(node.proposal) << 8 | node.proposal_argument);
    for (std::string const& disk : node.proposer.promised())
      seed = mixed(seed, disk);
    add(1);
    for (std::string const& disk : node.proposer.accepted())
      seed = mixed(seed, disk);
  }
  for (MessagePointer const& response : node.waiting_responses)
    add(response->id);
  for (HeardValue const& heard : node.heard) {
    add(heard.incarnation.v);
    add(heard.ballot.v);
  }
  return seed;
}

u64 ConsensusWorld::digest() const {
  u64 digest = 0;
  for (Node const& node : nodes_)
    digest = digest_node(digest, node);
  for (MessagePointer const& message : network_.in_flight())
    digest = mixed(digest, message->id);
  for (auto const& [from, to] : network_.cut_directions())
    digest = mixed(digest, from << 8 | to);
  for (BoundsField const& field : kBoundsFields)
    digest = mixed(digest, left_.*field.at);
  return judge_.digest(digest);
}

std::string ConsensusWorld::describe_proposal(Action const& action) const {
  static constexpr std::array<char const*, 6> proposals{"finish", "item", "join", "leave", "join all", "swap"};
  std::string const text =
      node_letter(action.a) + " begins a round: " + proposals[std::min<std::size_t>(action.b, proposals.size() - 1)];
  switch (static_cast<Proposal>(action.b)) {
    case Proposal::item: return text + " generation " + std::to_string(action.c);
    case Proposal::swap: return text + " " + node_letter(action.c >> 4) + " for " + node_letter(action.c & 15);
    case Proposal::join:
    case Proposal::leave: return text + " " + node_letter(action.c);
    default: return text;
  }
}

std::string ConsensusWorld::describe_message(Action const& action) const {
  static constexpr std::array<char const*, 4> deliveries{"", ", answer waits", ", write waits", ", comes again"};
  static constexpr std::array<char const*, 4> kinds{"prepare", "promise", "accept", "accepted"};
  MessagePointer const message = network_.find(action.m);
  if (message == nullptr) return "nothing there";
  u64 const ballot = message->ballot().v;
  return std::string(kinds[message->content.index()]) + " " + std::to_string(ballot >> 32) + "." +
         node_letter((ballot & 255) - 1) + " from " + node_letter(message->from) + " to " + node_letter(message->to) +
         (static_cast<Event>(action.what) == Event::drop
              ? " is lost"
              : deliveries[std::min<std::size_t>(action.c, deliveries.size() - 1)]);
}

std::string ConsensusWorld::describe(Action const& action) const {
  std::string const a = node_letter(action.a), b = node_letter(action.b);
  switch (static_cast<Event>(action.what)) {
    case Event::propose: return describe_proposal(action);
    case Event::deliver:
    case Event::drop: return describe_message(action);
    case Event::learn: return b + " is told " + a + "'s newest value";
    case Event::tell: return b + " hears what is on " + a + "'s disk";
    case Event::restart: return a + " restarts";
    case Event::wipe: return a + " loses its disk";
    case Event::cut: return a + " to " + b + " is cut";
    case Event::heal: return a + " to " + b + " is whole again";
    case Event::sync: return a + "'s disk takes what waits";
  }
  return "";
}

}  // namespace dockbend::model_checking
