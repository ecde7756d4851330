#include "model_checking/consensus_network.hpp"

#include <algorithm>

namespace dockbend::model_checking {

bool ConsensusMessage::is_accept_vote() const {
  auto const* const response = std::get_if<AcceptResponse>(&content);
  return response != nullptr && response->is_accepted;
}

Ballot ConsensusMessage::ballot() const {
  return std::visit([](auto const& record) { return record.ballot; }, content);
}

void ConsensusNetwork::put(MessagePointer message) {
  if (is_cut(message->from, message->to)) return;
  auto const at = std::lower_bound(in_flight_.begin(), in_flight_.end(), message->id,
                                   [](MessagePointer const& m, u64 id) { return m->id < id; });
  if (at == in_flight_.end() || (*at)->id != message->id) in_flight_.insert(at, std::move(message));
}

MessagePointer ConsensusNetwork::find(u64 id) const {
  for (MessagePointer const& message : in_flight_)
    if (message->id == id) return message;
  return nullptr;
}

bool ConsensusNetwork::remove(u64 id) {
  return std::erase_if(in_flight_, [&](MessagePointer const& m) { return m->id == id; }) > 0;
}

void ConsensusNetwork::remove_responses_to(u32 node) {
  std::erase_if(in_flight_, [&](MessagePointer const& m) { return m->to == node && !m->is_request(); });
}

bool ConsensusNetwork::cut(u32 from, u32 to) {
  if (!cut_.insert({from, to}).second) return false;
  std::erase_if(in_flight_, [&](MessagePointer const& m) { return m->from == from && m->to == to; });
  return true;
}

}  // namespace dockbend::model_checking
