/// The network of the consensus model: messages in flight and connections that are cut, as plain data.
#pragma once
#include <memory>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "consensus/messages.hpp"
#include "consensus/state_delta.hpp"
#include "model_checking/model_values.hpp"

namespace dockbend::model_checking {

/// A request or response between two nodes. Its id is a digest of its ends and content.
struct ConsensusMessage {
  enum class Kind : u8 { prepare_request, prepare_response, accept_request, accept_response };
  u32 from = 0, to = 0;
  std::variant<PrepareRequest, PrepareResponse, AcceptRequest, AcceptResponse> content;
  u64 id = 0;

  Kind kind() const { return static_cast<Kind>(content.index()); }
  bool is_request() const { return kind() == Kind::prepare_request || kind() == Kind::accept_request; }
  /// Is it the answer that a disk accepted the value?
  bool is_accept_vote() const;
  Ballot ballot() const;
};
using MessagePointer = std::shared_ptr<ConsensusMessage const>;

template <class Record>
MessagePointer make_message(u32 from, u32 to, Record const& record) {
  auto message = std::make_shared<ConsensusMessage>();
  message->from = from;
  message->to = to;
  message->content = record;
  message->id = mixed(mixed(from << 8 | to, message->content.index()), codec::pack(record));
  return message;
}

class ConsensusNetwork {
 public:
  using Direction = std::pair<u32, u32>;  // from, to

  /// Nothing happens if the direction is cut or the same message is in flight already.
  void put(MessagePointer message);
  /// nullptr if it is not in flight.
  MessagePointer find(u64 id) const;
  bool remove(u64 id);
  void remove_all() { in_flight_.clear(); }
  /// Answers come over the connection that asked, and are lost with it.
  void remove_responses_to(u32 node);

  /// Cuts one direction, and loses what was in flight there; false if it is cut already.
  bool cut(u32 from, u32 to);
  bool heal(u32 from, u32 to) { return cut_.erase({from, to}) > 0; }
  void heal_all() { cut_.clear(); }
  bool is_cut(u32 from, u32 to) const { return cut_.contains({from, to}); }

  std::vector<MessagePointer> const& in_flight() const { return in_flight_; }
  std::set<Direction> const& cut_directions() const { return cut_; }

 private:
  std::vector<MessagePointer> in_flight_;  // by id, each once
  std::set<Direction> cut_;
};

}  // namespace dockbend::model_checking
