/// The state of the consensus model, and what may happen next in it; independent of the fault that is planted.
#pragma once
#include <array>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "consensus/acceptor.hpp"
#include "consensus/proposer.hpp"
#include "model_checking/commit_judge.hpp"
#include "model_checking/consensus_network.hpp"
#include "model_checking/explore.hpp"

namespace dockbend::model_checking {

/// A few nodes with the real Acceptor and Proposer; network, disks and what a controller does between them are data.
class ConsensusWorld {
 public:
  /// The kinds of actions. Their words stand in trace files.
  enum class Event : u8 { propose, deliver, learn, tell, restart, wipe, cut, heal, drop, sync };
  static constexpr std::array<char const*, 10> words{"propose", "deliver", "learn", "tell", "restart",
                                                     "wipe",    "cut",     "heal",  "drop", "sync"};
  /// propose: Action::a the node, b what it proposes, c whom or which version.
  enum class Proposal : u8 { finish, item, join, leave, join_all, swap };
  /// deliver: Action::c how.
  enum class Delivery : u8 { at_once, answer_waits, write_waits, twice };

  /// How often a random walk draws an action of this kind.
  static u32 weight(Action const& action);
  /// Appends all that may happen next.
  void actions(std::vector<Action>& list) const;
  std::string describe(Action const& action) const;
  u64 digest() const;
  std::string const& breach() const { return judge_.breach(); }
  std::vector<StatePointer> const& won() const { return judge_.committed(); }

 protected:
  struct Disk {
    Incarnation incarnation;
    Ballot promised;
    std::optional<ReplicatedState> state;
  };
  /// The newest value that another node said to have on its disk.
  struct HeardValue {
    Incarnation incarnation;
    Ballot ballot;
    friend bool operator==(HeardValue const&, HeardValue const&) = default;
  };
  static constexpr std::size_t kMostNodes = 8;
  struct Node {
    Node(Acceptor a, Proposer p) : acceptor(std::move(a)), proposer(std::move(p)) {}
    Acceptor acceptor;
    Proposer proposer;
    StatePointer committed;
    Disk disk;
    std::vector<MessagePointer> waiting_responses;   // sent once the disk has what waits
    std::vector<MessagePointer> orphaned_responses;  // the same, but the node that asked is gone
    std::array<HeardValue, kMostNodes> heard{};      // by node
    Proposal proposal = Proposal::finish;
    u8 proposal_argument = 0;
    bool has_open_round = false;
    bool has_unwritten() const;
    /// The newest value known here, committed or not; nullptr if none is.
    ReplicatedState const* newest() const;
  };

  explicit ConsensusWorld(Bounds const& bounds);
  static Member member(u32 node, Incarnation incarnation);
  u32 node_count() const { return static_cast<u32>(nodes_.size()); }
  StatePointer const& last_committed() const { return judge_.committed().back(); }

  /// All that waits is on disk now, in order, and its answers are sent.
  void flush(u32 node);
  /// The process starts again with what is on its disk. promised: as it is read back.
  void start(u32 node, Ballot promised);
  /// Would a majority of that membership be left, if `lost` were lost as well? (node_count(): nobody)
  bool can_bear_loss(std::vector<Member> const& membership, u32 lost) const;
  /// Only as many disks are lost as any membership on a disk can bear.
  bool may_wipe(u32 node) const;
  /// Who removes a member has checked that the others are up.
  bool may_leave(ReplicatedState const& state, u32 node) const;
  void learn(u32 node, ReplicatedState const& state);
  /// `to` learns the newest committed value of `from`: as a delta if it has a base.
  bool learn_from(u32 from, u32 to);

  Bounds left_;  // what may still happen
  std::vector<Node> nodes_;
  ConsensusNetwork network_;
  CommitJudge judge_;
  u64 wiped_disks_ = 0;

 private:
  static StatePointer founding_state(Bounds const& bounds);
  bool can_hear(u32 from, u32 to) const;
  void add_delivery_actions(std::vector<Action>& list) const;
  void add_proposal_actions(u32 node, std::vector<Action>& list) const;
  void add_membership_proposals(u32 node, ReplicatedState const& newest, std::vector<Action>& list) const;
  void add_connection_actions(u32 from, u32 to, std::vector<Action>& list) const;
  std::string describe_proposal(Action const& action) const;
  std::string describe_message(Action const& action) const;
  static u64 digest_node(u64 seed, Node const& node);
};

}  // namespace dockbend::model_checking
