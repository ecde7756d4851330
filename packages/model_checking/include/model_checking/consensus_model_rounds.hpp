/// The rounds of ConsensusModel: how requests, responses and proposals are carried out under a fault policy. Included
/// by consensus_model.hpp.
#pragma once
#include "model_checking/consensus_model.hpp"

namespace dockbend::model_checking {

template <class Fault>
bool ConsensusModel<Fault>::deliver(u64 message_id, Delivery how) {
  MessagePointer const message = network_.find(message_id);
  if (message == nullptr) return false;
  if (how == Delivery::twice) {
    if (left_.repeats == 0) return false;
    --left_.repeats;
  } else {
    network_.remove(message_id);
  }
  if (how == Delivery::answer_waits || how == Delivery::write_waits) {
    u32& left = how == Delivery::answer_waits ? left_.holds : left_.lates;
    if (left == 0 || !message->is_request()) return false;
    --left;
  }
  if (message->is_request())
    on_request(*message, how);
  else
    on_response(*message);
  return true;
}

// ---- the acceptor's side -----------------------------------------------------------------

template <class Fault>
Acceptor::PendingWrite ConsensusModel<Fault>::prepare(u32 node, PrepareRequest request, PrepareResponse& response) {
  Acceptor& acceptor = nodes_[node].acceptor;
  Incarnation const meant = request.incarnation;
  if (Fault::votes_for_other_life) request.incarnation = acceptor.incarnation();
  Acceptor::PendingWrite write = acceptor.prepare(request, response);
  if (Fault::votes_for_other_life) response.incarnation = meant;
  return write;
}

template <class Fault>
Acceptor::PendingWrite ConsensusModel<Fault>::accept(u32 node, AcceptRequest request, AcceptResponse& response) {
  Acceptor& acceptor = nodes_[node].acceptor;
  Incarnation const meant = request.incarnation;
  if (Fault::votes_for_other_life) request.incarnation = acceptor.incarnation();
  if (Fault::accepts_below_promise)
    acceptor = Acceptor(acceptor.incarnation(), std::min(acceptor.promised(), request.ballot), acceptor.state());
  if (Fault::applies_on_any_base && !request.delta.empty() && acceptor.state()) {
    StateDelta delta = codec::unpack<StateDelta>(request.delta);
    delta.base = acceptor.state()->ballot;
    request.delta = codec::pack(delta);
  }
  Acceptor::PendingWrite write = acceptor.accept(request, response);
  if (Fault::votes_for_other_life) response.incarnation = meant;
  return write;
}

template <class Fault>
void ConsensusModel<Fault>::on_request(ConsensusMessage const& message, Delivery how) {
  Acceptor::PendingWrite write;
  MessagePointer answer;
  if (auto const* const request = std::get_if<PrepareRequest>(&message.content)) {
    PrepareResponse response;
    write = prepare(message.to, *request, response);
    answer = make_message(message.to, message.from, response);
  } else {
    AcceptResponse response;
    write = accept(message.to, std::get<AcceptRequest>(message.content), response);
    answer = make_message(message.to, message.from, response);
  }
  if (write.is_needed && how == Delivery::write_waits) {
    nodes_[message.to].waiting_responses.push_back(answer);
    return;
  }
  if (write.is_needed && !Fault::replies_before_write) flush(message.to);
  if (!breach().empty() || network_.is_cut(answer->from, answer->to)) return;
  if (how == Delivery::answer_waits)
    network_.put(answer);
  else
    on_response(*answer);
}

// ---- the proposer's side -----------------------------------------------------------------

template <class Fault>
void ConsensusModel<Fault>::send(u32 from, Proposer::Messages const& messages) {
  for (OutgoingMessage const& outgoing : messages) {
    u32 const to = node_at(outgoing.to_ip);
    MessagePointer const message =
        std::visit([&](auto const& request) { return make_message(from, to, request); }, outgoing.request);
    if (to == from)
      on_request(*message, Delivery::at_once);
    else
      network_.put(message);
  }
}

template <class Fault>
void ConsensusModel<Fault>::on_response(ConsensusMessage const& message) {
  Node& node = nodes_[message.to];
  std::string const from_ip = address(message.from);
  if (auto const* const received = std::get_if<PrepareResponse>(&message.content)) {
    PrepareResponse response = *received;
    if (Fault::adopts_nothing) {
      response.has_complete_state = false;
      response.state.clear();
    }
    send(message.to, node.proposer.on_prepare_response(from_ip, response));
  } else {
    send(message.to, node.proposer.on_accept_response(from_ip, std::get<AcceptResponse>(message.content)));
    forge_votes(node);
  }
  if (!node.has_open_round || !node.proposer.is_over()) return;
  node.has_open_round = false;
  if (!node.proposer.is_committed()) return;
  ReplicatedState const value = node.proposer.value();
  judge_.note_committed(value);
  learn(message.to, value);
}

template <class Fault>
bool ConsensusModel<Fault>::has_enough_to_forge(Proposer const& proposer) const {
  auto const missing_votes = [&](ReplicatedState const& state) {
    std::size_t votes = 0;
    for (Member const& member : state.membership)
      votes += proposer.accepted().count(member.ip + "/" + std::to_string(member.incarnation.v));
    return votes >= state.majority() ? 0 : state.majority() - votes;
  };
  if (Fault::counts_new_roster_only) return missing_votes(proposer.value()) == 0;
  if (Fault::counts_old_roster_only) return missing_votes(proposer.base()) == 0;
  return missing_votes(proposer.value()) <= 1 && missing_votes(proposer.base()) <= 1;
}

template <class Fault>
void ConsensusModel<Fault>::forge_votes(Node& node) {
  if constexpr (Fault::counts_new_roster_only || Fault::counts_old_roster_only || Fault::wins_by_one_too_few) {
    if (node.proposer.phase() != Proposer::Phase::accepting || !has_enough_to_forge(node.proposer)) return;
    ReplicatedState const base = node.proposer.base(), value = node.proposer.value();
    for (auto const* membership : {&base.membership, &value.membership, &value.previous_membership})
      for (Member const& member : *membership) {
        AcceptResponse vote;
        vote.is_accepted = true;
        vote.ballot = node.proposer.ballot();
        vote.incarnation = member.incarnation;
        node.proposer.on_accept_response(member.ip, vote);
      }
  }
}

template <class Fault>
bool ConsensusModel<Fault>::propose(u32 node, Proposal proposal, u8 argument) {
  Node& n = nodes_[node];
  ReplicatedState const* const newest = n.newest();
  if (newest == nullptr || left_.proposals == 0) return false;
  std::optional<Proposer::Change> const change = make_change(node, proposal, argument);
  if (!change) return false;
  --left_.proposals;
  n.proposal = proposal;
  n.proposal_argument = argument;
  n.has_open_round = true;
  n.proposer.abandon();
  // Answers to a round that is over say nothing to a proposer.
  network_.remove_responses_to(node);
  n.proposer.observe_ballot(n.acceptor.promised());
  std::optional<Epoch> committed_epoch = n.committed ? std::optional<Epoch>(n.committed->epoch) : std::nullopt;
  if (Fault::steps_on_unwon_step) committed_epoch = newest->epoch;
  send(node, n.proposer.begin_round(ReplicatedState(*newest), *change, 0, committed_epoch));
  return true;
}

template <class Fault>
std::optional<Proposer::Change> ConsensusModel<Fault>::make_change(u32 node, Proposal proposal, u8 argument) {
  ReplicatedState const& newest = *nodes_[node].newest();
  switch (proposal) {
    case Proposal::finish: return [](ReplicatedState&) { return false; };
    case Proposal::item: return make_item_change(node, argument);
    case Proposal::join: return make_join(argument);
    case Proposal::leave: return make_leave(newest, argument);
    case Proposal::join_all: return make_join_all(newest);
    case Proposal::swap: return make_swap(newest, argument);
  }
  return std::nullopt;
}

template <class Fault>
std::optional<Proposer::Change> ConsensusModel<Fault>::make_item_change(u32 node, u8 version) const {
  if (version == 0 || version > left_.items) return std::nullopt;
  return [node, version](ReplicatedState& state) {
    auto items = state.by_key();
    ConfigChange change;
    change.items.push_back(ConfigItem{"r/k", Generation(version), false, address(node)});
    std::string refusal;
    if (dockbend::join(items, change, refusal) != MergeResult::changed) return false;
    state.items.clear();
    for (auto& [key, item] : items)
      state.items.push_back(item);
    return true;
  };
}

template <class Fault>
Proposer::Change ConsensusModel<Fault>::admission(u32 node) const {
  return [joining = member(node, nodes_[node].acceptor.incarnation())](ReplicatedState& state) {
    return state.admit(joining);
  };
}

template <class Fault>
Proposer::Change ConsensusModel<Fault>::removal(u32 node, Incarnation incarnation) {
  return [ip = address(node), incarnation](ReplicatedState& state) {
    auto const is_leaving = [&](Member const& m) { return m.ip == ip && m.incarnation == incarnation; };
    return state.membership.size() > 2 && std::erase_if(state.membership, is_leaving) > 0;
  };
}

template <class Fault>
std::optional<Proposer::Change> ConsensusModel<Fault>::make_join(u8 node) {
  if (left_.joins == 0 || node >= node_count()) return std::nullopt;
  --left_.joins;
  return admission(node);
}

template <class Fault>
std::optional<Proposer::Change> ConsensusModel<Fault>::make_leave(ReplicatedState const& newest, u8 node) {
  Member const* const leaving = node < node_count() ? newest.member(address(node)) : nullptr;
  if (left_.leaves == 0 || leaving == nullptr || !may_leave(newest, node)) return std::nullopt;
  --left_.leaves;
  return removal(node, leaving->incarnation);
}

template <class Fault>
std::optional<Proposer::Change> ConsensusModel<Fault>::make_join_all(ReplicatedState const& newest) {
  std::vector<Proposer::Change> admissions;
  for (u32 i = 0; i < node_count(); ++i) {
    Member const* const present = newest.member(address(i));
    if (present == nullptr || present->incarnation != nodes_[i].acceptor.incarnation())
      admissions.push_back(admission(i));
  }
  if (left_.joins < admissions.size() || admissions.empty()) return std::nullopt;
  left_.joins -= static_cast<u32>(admissions.size());
  return [admissions](ReplicatedState& state) {
    bool has_changed = false;
    for (auto const& admit : admissions)
      has_changed = admit(state) || has_changed;
    return has_changed;
  };
}

template <class Fault>
std::optional<Proposer::Change> ConsensusModel<Fault>::make_swap(ReplicatedState const& newest, u8 argument) {
  u32 const joining = argument >> 4, leaving = argument & 15;
  Member const* const present = leaving < node_count() ? newest.member(address(leaving)) : nullptr;
  if (left_.swaps == 0 || joining >= node_count() || present == nullptr || !may_leave(newest, leaving))
    return std::nullopt;
  --left_.swaps;
  return [admit = admission(joining), remove = removal(leaving, present->incarnation)](ReplicatedState& state) {
    return admit(state) && remove(state);
  };
}

}  // namespace dockbend::model_checking
