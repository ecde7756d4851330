/// One node's part in one singleton role: work that a single controller carries out at a time.
///
/// The lease itself is a row of the replicated state (consensus `Lease`). A LeaseClient decides when to acquire, renew
/// or hand over that row and until when this node may act under it. It performs no I/O: the caller submits the
/// proposals to the consensus group and reports their results.
#pragma once
#include <string>

#include "consensus/replicated_state.hpp"

namespace dockbend {

/// Durations of a lease, in seconds.
struct LeaseOptions {
  Seconds duration = 3;          // setting leaseTermS
  Seconds margin = 0.4;          // for timers that fire late, on either side; at most a fifth of the duration
  Seconds renewal_interval = 1;  // at most a third of the duration
};

/// An operator's order to the holder of one fencing token: hand the role over to that node.
struct HandOverCommand {
  DB_RECORD(HandOverCommand, (std::string, duty), (std::string, node), (u64, fence));
};

/// One node's part in one singleton role.
///
/// Invariants:
/// - it acts only under a renewal that a majority holds, and only while the steady clock, counted from before that
///   renewal was proposed, leaves room for the whole call before duration - margin;
/// - it takes a lease over only after it saw the same fence and counter unchanged for duration + margin in this
///   process, or as the successor whom the holder named;
/// - if it held the lease before, or has just started, it does not act again before duration + margin have passed
///   since: no node returns within one lease (A, B, A);
/// - once it has handed the lease over it acts no more under that fence.
class LeaseClient {
 public:
  /// @param role name of the singleton role
  /// @param node, ip this node's name and address, as written into the lease
  /// @param now steady clock; the process counts as started then
  LeaseClient(std::string role, std::string node, std::string ip, LeaseOptions options, Seconds now);

  /// Takes note of the lease as the replicated state has it now; nullptr: nobody ever acquired it. A lease older than
  /// the newest known one is ignored.
  void observe(Lease const* lease, Seconds now);

  enum class Action { none, acquire, renew, hand_over };
  /// What to propose now.
  /// @param is_eligible this node may carry out the role at all
  Action next_action(Seconds now, bool is_eligible) const;

  /// One proposed change of the lease. It applies only if the lease still has this fence and counter.
  struct Proposal {
    Action action = Action::none;
    u64 fence = 0, counter = 0;
    Seconds proposed_at = 0;
    std::string successor;  // of a hand-over
  };
  /// Makes the proposal for that action; no other is made before on_result().
  Proposal propose(Action action, Seconds now);
  /// Applies the proposal to a replicated state. False: the lease has changed meanwhile, nothing was applied.
  bool apply(ReplicatedState& state, Proposal const& proposal) const;
  /// The result of a proposal.
  /// @param is_committed true only if the change is known to be committed
  void on_result(Proposal const& proposal, bool is_committed, Seconds now);

  /// Stops acting and offers the lease to the node of that name; false if this node does not hold it.
  bool hand_over(std::string const& successor);
  /// True between hand_over() and the commit of it.
  bool is_handing_over() const { return is_handing_over_; }

  /// May a call that ends within `call_duration` seconds be sent now?
  bool may_act(Seconds now, Seconds call_duration) const;
  /// If this node acquired the lease now, could it act at once? False for a while after it held the lease or started.
  bool could_act_at_once(Seconds now) const;
  bool is_holder() const { return is_holder_ && !is_handing_over_; }
  /// The fencing token of the newest lease that this node held; 0: none.
  u64 fence() const { return fence_; }
  std::string const& role() const { return role_; }
  /// Since when it has held its newest lease without a break.
  Seconds holder_since() const { return holder_since_; }

 private:
  /// Nobody can still act under a lease that was not renewed for this long.
  Seconds takeover_delay() const { return options_.duration + options_.margin; }
  Action next_action_as_holder(Seconds now) const;
  void stop_holding(Seconds now);
  void on_held(Proposal const& proposal, Seconds now);

  std::string role_, node_, ip_, successor_;
  LeaseOptions options_;
  Lease newest_lease_;            // newest seen
  Seconds lease_changed_at_ = 0;  // when its fence, counter or successor was last seen to change
  Seconds started_at_;
  Seconds takeover_jitter_ = 0;  // added to waits, so that candidates do not propose at the same moment
  Seconds proposed_at_ = kLongAgo;
  Seconds renewed_at_ = kLongAgo;  // when the newest committed acquisition or renewal was proposed
  Seconds may_act_until_ = 0;
  Seconds holder_since_ = 0;
  Seconds lost_lease_at_ = kLongAgo;  // when it last ceased to hold the lease
  u64 fence_ = 0;
  bool is_holder_ = false;
  bool is_handing_over_ = false;
  bool has_handed_over_ = false;
  bool is_proposal_open_ = false;
  bool is_first_acquisition_ = false;  // the newest proposal was to acquire a lease that nobody ever held

  static constexpr Seconds kLongAgo = -1e9;
};

}  // namespace dockbend
