/// Consensus nodes in one process: their messages wait in a bag and are taken out in an order that a seed decides; any
/// of them may be lost or delayed.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>

#include "consensus/acceptor.hpp"
#include "consensus/proposer.hpp"

namespace dockbend::test {

/// A node with its disk.
struct SimulatedNode {
  std::string ip;
  std::unique_ptr<Acceptor> acceptor;
  std::unique_ptr<Proposer> proposer;
  std::optional<ReplicatedState> committed;
  // What the disk holds; a power loss goes back to it.
  Ballot promised_on_disk;
  std::optional<ReplicatedState> state_on_disk;
  bool is_up = true;
  bool can_vote = true;
  /// The newest value known here, committed or not; nullptr if none is.
  ReplicatedState const* newest() const {
    ReplicatedState const* newest = committed ? &*committed : nullptr;
    if (acceptor->state() && (newest == nullptr || acceptor->state()->ballot > newest->ballot))
      newest = &*acceptor->state();
    return newest;
  }
};

struct SimulatedMessage {
  enum class Kind { prepare_request, prepare_response, accept_request, accept_response, commit };
  std::string from, to;
  Kind kind = Kind::prepare_request;
  std::string body;
};

inline Member member(std::string const& ip, Incarnation incarnation) {
  Member member;
  member.ip = ip;
  member.incarnation = incarnation;
  return member;
}

class SimulatedNetwork {
 public:
  using Kind = SimulatedMessage::Kind;

  explicit SimulatedNetwork(unsigned seed, int founders) : random(seed) {
    for (int i = 0; i < founders; ++i)
      founding.membership.push_back(member(name(i), Incarnation(1)));
    for (int i = 0; i < founders; ++i)
      add(i, Incarnation(1), true);
  }
  /// The address of node i, from 0.
  static std::string name(int i) { return "10.0.0." + std::to_string(i + 1); }

  SimulatedNode& add(int i, Incarnation incarnation, bool knows_founding_value) {
    SimulatedNode& node = nodes[name(i)];
    node = SimulatedNode{};
    node.ip = name(i);
    std::optional<ReplicatedState> state;
    if (knows_founding_value) state = founding;
    node.acceptor = std::make_unique<Acceptor>(incarnation, Ballot(), state);
    node.state_on_disk = state;
    node.proposer = std::make_unique<Proposer>(node.ip);
    if (knows_founding_value) node.committed = founding;
    return node;
  }

  void propose(std::string const& ip, Proposer::Change change) {
    SimulatedNode& node = nodes.at(ip);
    ReplicatedState const* const newest = node.newest();
    if (newest == nullptr) return;
    node.proposer->observe_ballot(node.acceptor->promised());
    send(node, node.proposer->begin_round(*newest, std::move(change), 0,
                                          node.committed ? std::optional<Epoch>(node.committed->epoch) : std::nullopt));
  }

  /// Takes one message out and delivers it; false if none is left.
  bool step(double loss_probability = 0) {
    if (bag.empty()) return false;
    std::size_t const i = random() % bag.size();
    SimulatedMessage const message = bag[i];
    bag.erase(bag.begin() + static_cast<long>(i));
    if (std::uniform_real_distribution<>(0, 1)(random) < loss_probability) return true;
    auto const it = nodes.find(message.to);
    if (it == nodes.end() || !it->second.is_up || cut.contains({message.from, message.to})) return true;
    deliver(it->second, message);
    return true;
  }
  /// Until no message is left.
  void run() {
    while (step()) {
    }
  }

  void deliver(SimulatedNode& node, SimulatedMessage const& message) {
    switch (message.kind) {
      case Kind::prepare_request: return on_prepare_request(node, message);
      case Kind::prepare_response: return on_prepare_response(node, message);
      case Kind::accept_request: return on_accept_request(node, message);
      case Kind::accept_response: return on_accept_response(node, message);
      case Kind::commit: return learn(node, codec::unpack<ReplicatedState>(message.body));
    }
  }

  /// Power goes and comes back: memory is lost, the disk stays.
  void reboot(std::string const& ip) {
    SimulatedNode& node = nodes.at(ip);
    node.acceptor = std::make_unique<Acceptor>(node.acceptor->incarnation(), node.promised_on_disk, node.state_on_disk);
    node.proposer = std::make_unique<Proposer>(ip);
    node.proposer->observe_ballot(node.promised_on_disk);
    node.committed.reset();
    node.is_up = true;
  }
  /// The disk is lost: a new incarnation that knows nothing.
  void wipe(std::string const& ip, Incarnation incarnation) {
    SimulatedNode& node = nodes.at(ip);
    node.acceptor = std::make_unique<Acceptor>(incarnation, Ballot(), std::nullopt);
    node.proposer = std::make_unique<Proposer>(ip);
    node.committed.reset();
    node.promised_on_disk = Ballot();
    node.state_on_disk.reset();
    node.is_up = true;
  }

  std::function<void(SimulatedNode&)> on_round_over;  // committed or not
  std::mt19937 random;
  ReplicatedState founding;
  std::map<std::string, SimulatedNode> nodes;
  std::vector<SimulatedMessage> bag;
  std::vector<ReplicatedState> history;               // committed values, in the order their proposers saw it
  std::set<std::pair<std::string, std::string>> cut;  // from, to

 private:
  void send(SimulatedNode& node, Proposer::Messages const& messages) {
    for (OutgoingMessage const& message : messages) {
      bool const is_prepare = std::holds_alternative<PrepareRequest>(message.request);
      std::string body = std::visit([](auto const& request) { return codec::pack(request); }, message.request);
      bag.push_back({node.ip, message.to_ip, is_prepare ? Kind::prepare_request : Kind::accept_request, body});
    }
  }
  static void save(SimulatedNode& node) {
    node.promised_on_disk = node.acceptor->promised();
    node.state_on_disk = node.acceptor->state();
  }
  void on_prepare_request(SimulatedNode& node, SimulatedMessage const& message) {
    if (!node.can_vote) return;
    PrepareResponse response;
    if (node.acceptor->prepare(codec::unpack<PrepareRequest>(message.body), response).is_needed) save(node);
    bag.push_back({node.ip, message.from, Kind::prepare_response, codec::pack(response)});
  }
  void on_accept_request(SimulatedNode& node, SimulatedMessage const& message) {
    if (!node.can_vote) return;
    AcceptResponse response;
    if (node.acceptor->accept(codec::unpack<AcceptRequest>(message.body), response).is_needed) save(node);
    bag.push_back({node.ip, message.from, Kind::accept_response, codec::pack(response)});
  }
  void on_prepare_response(SimulatedNode& node, SimulatedMessage const& message) {
    bool const was_over = node.proposer->is_over();
    send(node, node.proposer->on_prepare_response(message.from, codec::unpack<PrepareResponse>(message.body)));
    if (!was_over && node.proposer->is_over() && on_round_over) on_round_over(node);
  }
  void on_accept_response(SimulatedNode& node, SimulatedMessage const& message) {
    bool const was_over = node.proposer->is_over();
    send(node, node.proposer->on_accept_response(message.from, codec::unpack<AcceptResponse>(message.body)));
    if (was_over || !node.proposer->is_over()) return;
    if (node.proposer->is_committed()) on_committed(node);
    if (on_round_over) on_round_over(node);
  }
  void on_committed(SimulatedNode& node) {
    ReplicatedState const value = node.proposer->value();
    history.push_back(value);
    learn(node, value);
    for (auto& [ip, other] : nodes)
      if (ip != node.ip) bag.push_back({node.ip, ip, Kind::commit, codec::pack(value)});
  }
  static void learn(SimulatedNode& node, ReplicatedState const& value) {
    if (!node.committed || value.ballot > node.committed->ballot) node.committed = value;
    node.acceptor->learn(value);
  }
};

/// Sets one item, if its version is newer.
inline Proposer::Change put_item(std::string key, u64 version, std::string body) {
  return [=](ReplicatedState& state) {
    auto items = state.by_key();
    ConfigChange change;
    change.items.push_back(ConfigItem{key, Generation(version), false, body});
    std::string refusal;
    if (join(items, change, refusal) != MergeResult::changed) return false;
    state.items.clear();
    for (auto& [_, item] : items)
      state.items.push_back(item);
    return true;
  };
}

/// Adds a member, or a new disk at a member's address, without the rules of ReplicatedState::admit.
inline Proposer::Change join_member(std::string ip, Incarnation incarnation) {
  return [=](ReplicatedState& state) {
    for (Member& present : state.membership)
      if (present.ip == ip) {
        if (present.incarnation == incarnation) return false;
        present.incarnation = incarnation;
        return true;
      }
    state.membership.push_back(member(ip, incarnation));
    return true;
  };
}

}  // namespace dockbend::test
