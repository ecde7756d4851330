/// The model of consensus: ConsensusWorld, and what each action does to it under a fault policy (faults.hpp).
#pragma once
#include "model_checking/consensus_world.hpp"
#include "model_checking/faults.hpp"

namespace dockbend::model_checking {

/// Besides what CommitJudge judges: a delta gives the value that it was made from (learn_from), and once the faults
/// have ended, all members get the newest committed value (settle).
template <class Fault>
class ConsensusModel : public ConsensusWorld {
 public:
  explicit ConsensusModel(Bounds const& bounds) : ConsensusWorld(bounds) {}

  /// Lets the action happen; false if it can't happen now.
  bool step(Action const& action);
  /// The faults end: what was in flight is lost, all nodes are up and connected; judges what comes of it.
  void settle();

 private:
  // Faults.
  bool restart(u32 node);
  bool wipe(u32 node);
  bool cut(u32 from, u32 to);
  bool drop(u64 message_id);
  bool sync(u32 node);
  void start_from_disk(u32 node);
  // Messages.
  bool deliver(u64 message_id, Delivery how);
  void on_request(ConsensusMessage const& message, Delivery how);
  Acceptor::PendingWrite prepare(u32 node, PrepareRequest request, PrepareResponse& response);
  Acceptor::PendingWrite accept(u32 node, AcceptRequest request, AcceptResponse& response);
  void on_response(ConsensusMessage const& message);
  void send(u32 from, Proposer::Messages const& messages);
  /// Planted faults: the proposer receives votes that no disk gave.
  void forge_votes(Node& node);
  bool has_enough_to_forge(Proposer const& proposer) const;
  // Rounds.
  bool propose(u32 node, Proposal proposal, u8 argument);
  /// The change of the proposal, its cost taken from the bounds; none if it can't be made now.
  std::optional<Proposer::Change> make_change(u32 node, Proposal proposal, u8 argument);
  std::optional<Proposer::Change> make_item_change(u32 node, u8 version) const;
  std::optional<Proposer::Change> make_join(u8 node);
  std::optional<Proposer::Change> make_leave(ReplicatedState const& newest, u8 node);
  std::optional<Proposer::Change> make_join_all(ReplicatedState const& newest);
  std::optional<Proposer::Change> make_swap(ReplicatedState const& newest, u8 argument);
  Proposer::Change admission(u32 node) const;
  static Proposer::Change removal(u32 node, Incarnation incarnation);
  // Learning without a round.
  /// `to` hears what is on the disk of `from`, and learns its own value if that makes it committed.
  bool tell(u32 from, u32 to);
  // The end.
  void spread_values();
  void judge_end(Ballot committed_before);
};

template <class Fault>
bool ConsensusModel<Fault>::step(Action const& action) {
  if (action.what >= words.size() || !breach().empty()) return false;
  if (action.a >= node_count() || action.b >= 16) return false;
  bool const is_b_node = action.b < node_count();
  switch (static_cast<Event>(action.what)) {
    case Event::propose: return propose(action.a, static_cast<Proposal>(action.b), action.c);
    case Event::deliver: return deliver(action.m, static_cast<Delivery>(action.c));
    case Event::learn: return is_b_node && learn_from(action.a, action.b);
    case Event::tell: return is_b_node && tell(action.a, action.b);
    case Event::restart: return restart(action.a);
    case Event::wipe: return wipe(action.a);
    case Event::cut: return is_b_node && cut(action.a, action.b);
    case Event::heal: return network_.heal(action.a, action.b);
    case Event::drop: return drop(action.m);
    case Event::sync: return sync(action.a);
  }
  return false;
}

template <class Fault>
bool ConsensusModel<Fault>::restart(u32 node) {
  if (left_.restarts == 0) return false;
  --left_.restarts;
  start_from_disk(node);
  return true;
}

template <class Fault>
bool ConsensusModel<Fault>::wipe(u32 node) {
  static constexpr u64 kFirstReplacementIncarnation = 100;
  if (left_.wipes == 0 || !may_wipe(node)) return false;
  --left_.wipes;
  nodes_[node].disk = Disk{Incarnation(kFirstReplacementIncarnation + wiped_disks_++), Ballot(), std::nullopt};
  start_from_disk(node);
  return true;
}

template <class Fault>
bool ConsensusModel<Fault>::cut(u32 from, u32 to) {
  if (left_.cuts == 0 || !network_.cut(from, to)) return false;
  --left_.cuts;
  return true;
}

template <class Fault>
bool ConsensusModel<Fault>::drop(u64 message_id) {
  if (left_.drops == 0) return false;
  --left_.drops;
  return network_.remove(message_id);
}

template <class Fault>
bool ConsensusModel<Fault>::sync(u32 node) {
  if (!nodes_[node].has_unwritten()) return false;
  flush(node);
  return true;
}

template <class Fault>
void ConsensusModel<Fault>::start_from_disk(u32 node) {
  Disk const& disk = nodes_[node].disk;
  start(node, Fault::forgets_on_restart && disk.state ? disk.state->ballot : disk.promised);
}

template <class Fault>
bool ConsensusModel<Fault>::tell(u32 from, u32 to) {
  Node& hearer = nodes_[to];
  Disk const& disk = nodes_[from].disk;
  if (left_.tells == 0 || !disk.state || network_.is_cut(from, to)) return false;
  HeardValue const told{disk.incarnation, disk.state->ballot};
  if (hearer.heard[from] == told) return false;
  --left_.tells;
  hearer.heard[from] = told;
  std::optional<ReplicatedState> const& own = hearer.acceptor.state();
  if (!own || (hearer.committed && own->ballot <= hearer.committed->ballot)) return true;
  ReplicatedState const state = *own;
  auto const is_on_disk = [&](Member const& member) {
    u32 const node = node_at(member.ip);
    if (node != to) return hearer.heard[node] == HeardValue{member.incarnation, state.ballot};
    return hearer.disk.state && hearer.disk.state->ballot >= state.ballot &&
           member.incarnation == hearer.disk.incarnation;
  };
  ReplicatedState judged = state;
  if (Fault::learns_by_new_roster_only) judged.previous_membership.clear();
  if (!judged.is_held_by_quorum(is_on_disk)) return true;
  judge_.note_committed(state);
  learn(to, state);
  return true;
}

template <class Fault>
void ConsensusModel<Fault>::spread_values() {
  for (u32 i = 0; i < node_count(); ++i)
    for (u32 k = 0; k < node_count(); ++k)
      if (i != k) {
        tell(i, k);
        learn_from(i, k);
      }
}

template <class Fault>
void ConsensusModel<Fault>::settle() {
  if (!breach().empty()) return;
  network_.heal_all();
  left_ = Bounds{};
  left_.tells = ~0U;
  Ballot const committed_before = last_committed()->ballot;
  for (u32 i = 0; i < node_count(); ++i)
    flush(i);
  network_.remove_all();
  for (int turn = 0; turn < 3 && breach().empty(); ++turn)
    for (u32 i = 0; i < node_count() && breach().empty(); ++i) {
      spread_values();
      if (nodes_[i].newest() == nullptr) continue;
      left_.proposals = 1;
      propose(i, Proposal::finish, 0);
      while (!network_.in_flight().empty() && breach().empty())
        deliver(network_.in_flight().front()->id, Delivery::at_once);
    }
  if (!breach().empty()) return;
  spread_values();
  judge_end(committed_before);
}

template <class Fault>
void ConsensusModel<Fault>::judge_end(Ballot committed_before) {
  // A membership change that was begun before a loss may leave a membership that can't bear it. That it does not come
  // to this is up to the operator; nothing can repair it.
  if (!may_wipe(node_count())) return;
  ReplicatedState const& last = *last_committed();
  if (last.ballot <= committed_before) return judge_.fail("no round is won once the faults have ended");
  for (Member const& member : last.membership) {
    Node const& node = nodes_[node_at(member.ip)];
    if (node.acceptor.incarnation() != member.incarnation) continue;
    if (!node.committed || node.committed->ballot != last.ballot)
      judge_.fail("a member does not catch up once the faults have ended");
  }
}

}  // namespace dockbend::model_checking

#include "model_checking/consensus_model_rounds.hpp"
