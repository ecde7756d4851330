/// Brings one batch of changes through a consensus round: promises from a majority, the change, accepts from a majority
/// of the old membership and of the new one. No I/O.
#pragma once
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "consensus/messages.hpp"
#include "consensus/replicated_state.hpp"
#include "consensus/state_delta.hpp"

namespace dockbend {

/// A request that the caller sends to the member at `to_ip`, which may be this node itself.
struct OutgoingMessage {
  std::string to_ip;
  std::variant<PrepareRequest, AcceptRequest> request;
};

/// Invariant: the membership changes only on top of a membership change that is known to be committed. On top of one
/// that is not, both its memberships count, for promises and for accepts; the round then writes the value that it found
/// once more and applies no change.
class Proposer {
 public:
  /// Changes the value in place; false if nothing needs writing.
  using Change = std::function<bool(ReplicatedState&)>;
  /// What leads from the value of ballot `have` to that of `ballot`, if our own disk knows.
  using FindDelta = std::function<std::optional<StateDelta>(Ballot have, Ballot ballot)>;
  using Messages = std::vector<OutgoingMessage>;
  enum class Phase { idle, preparing, accepting };

  explicit Proposer(std::string const& own_ip, FindDelta find_delta = nullptr);

  /// Begins a round. newest: the newest value known here, committed or not; committed_epoch: the epoch of the newest
  /// value known to be committed. Returns the prepare requests.
  Messages begin_round(ReplicatedState const& newest, Change change, Seconds now, std::optional<Epoch> committed_epoch);
  /// Each returns what is to be sent next. Both throw codec::MalformedMessage for a response that can't be read.
  Messages on_prepare_response(std::string const& from_ip, PrepareResponse const& response);
  Messages on_accept_response(std::string const& from_ip, AcceptResponse const& response);
  /// What to send once more after the connection to a member was made again.
  Messages resend_to(std::string const& ip) const;
  void abandon() { phase_ = Phase::idle; }
  /// A ballot was seen elsewhere: the next round's is higher.
  void observe_ballot(Ballot ballot) { counter_ = std::max(counter_, ballot.v >> kNodeBits); }

  bool is_idle() const { return phase_ == Phase::idle; }
  /// The round has ended, committed or not.
  bool is_over() const { return is_over_; }
  bool is_committed() const { return is_committed_; }
  /// False: the round only completed another proposer's membership change.
  bool has_applied_change() const { return is_base_membership_committed(); }
  ReplicatedState const& value() const { return next_; }  ///< valid once committed
  ReplicatedState const& base() const { return base_; }
  std::string const& delta() const { return delta_; }  ///< from base to value; empty if the base is a founding value
  Seconds began_at() const { return began_at_; }
  Phase phase() const { return phase_; }
  Ballot ballot() const { return ballot_; }
  u64 counter() const { return counter_; }
  std::set<std::string> const& promised() const { return promised_; }  ///< "ip/incarnation" of each disk
  std::set<std::string> const& accepted() const { return accepted_; }  ///< "ip/incarnation" of each disk

 private:
  /// A ballot is the round's counter above, the node's IPv4 address in the lower bits.
  static int constexpr kNodeBits = 32;

  /// Is the base no membership change, or one that is known to be committed?
  bool is_base_membership_committed() const {
    return base_.previous_membership.empty() || committed_epoch_ == base_.epoch;
  }
  /// The ballot of the value that prepare requests say we have.
  Ballot announced_ballot() const { return announced_ ? announced_->ballot : base_.ballot; }
  /// Every disk whose vote this round may need, once each.
  std::vector<Member> voters() const;
  Messages send_prepares();
  Messages send_accepts();
  void make_next_value();
  void mark_membership_change();
  bool has_newer_value(PrepareResponse const& response) const;
  /// The value in the response; none if its delta does not begin at what we announced.
  std::optional<ReplicatedState> read_value(PrepareResponse const& response) const;
  bool has_quorum_of_accepts() const;
  void end_round(bool is_committed);
  AcceptRequest accept_request(Member const& member) const;
  /// For a member that could not use the delta and holds the value of `have` (0: none).
  AcceptRequest accept_request_for_lagging(Member const& member, Ballot have) const;
  std::optional<StateDelta> delta_from(Ballot have) const;

  u64 node_;
  FindDelta find_delta_;
  u64 counter_ = 0;
  Phase phase_ = Phase::idle;
  bool is_over_ = false, is_committed_ = false;
  Seconds began_at_ = 0;
  Ballot ballot_;
  std::optional<Epoch> committed_epoch_;
  ReplicatedState base_, next_;
  std::optional<ReplicatedState> announced_;  // what members were told that we have, once base_ is newer
  Change change_;
  std::string delta_;               // from base_ to next_, encoded once for all members
  std::set<std::string> asked_;     // "ip/incarnation" of disks asked for a promise
  std::set<std::string> promised_;  // of those that promised ballot_
  std::set<std::string> accepted_;  // of those that accepted ballot_
};

}  // namespace dockbend
