#include "leases/lease_client.hpp"

#include <algorithm>

namespace dockbend {
namespace {

Seconds constexpr kMaxJitter = 0.3;
Seconds constexpr kMinHolderProposalInterval = 0.2;
Seconds constexpr kMinCandidateProposalInterval = 0.3;
double constexpr kMaxMarginShare = 0.2;  // of the lease's duration
double constexpr kMinRenewalsPerLease = 3;

bool is_older(Lease const& lease, Lease const& other) {
  return lease.fence < other.fence || (lease.fence == other.fence && lease.counter < other.counter);
}

bool is_same(Lease const& lease, Lease const& other) {
  return lease.fence == other.fence && lease.counter == other.counter && lease.next == other.next;
}

}  // namespace

LeaseClient::LeaseClient(std::string role, std::string node, std::string ip, LeaseOptions options, Seconds now)
    : role_(std::move(role)),
      node_(std::move(node)),
      ip_(std::move(ip)),
      options_(options),
      lease_changed_at_(now),
      started_at_(now),
      takeover_jitter_(kMaxJitter * random01()) {
  options_.margin = std::min(options_.margin, kMaxMarginShare * options_.duration);
  options_.renewal_interval = std::min(options_.renewal_interval, options_.duration / kMinRenewalsPerLease);
}

void LeaseClient::observe(Lease const* lease, Seconds now) {
  if (lease == nullptr || is_older(*lease, newest_lease_)) return;
  if (!is_same(*lease, newest_lease_)) {
    newest_lease_ = *lease;
    lease_changed_at_ = now;
    takeover_jitter_ = kMaxJitter * random01();
  }
  if (!is_holder_) return;
  if (newest_lease_.fence != fence_ || newest_lease_.holder != node_) {
    stop_holding(now);
  } else if (is_handing_over_ && !newest_lease_.next.empty()) {
    // The hand-over was committed although its result never arrived.
    stop_holding(now);
    has_handed_over_ = true;
  }
}

LeaseClient::Action LeaseClient::next_action_as_holder(Seconds now) const {
  bool const proposed_recently = now - proposed_at_ < kMinHolderProposalInterval;
  if (is_handing_over_) return has_handed_over_ || proposed_recently ? Action::none : Action::hand_over;
  // Without a renewal for a whole duration others may take the lease over; until they do, this node stays the holder
  // of record and goes on renewing.
  return now - renewed_at_ >= options_.renewal_interval && !proposed_recently ? Action::renew : Action::none;
}

LeaseClient::Action LeaseClient::next_action(Seconds now, bool is_eligible) const {
  if (is_proposal_open_) return Action::none;
  if (is_holder_) return next_action_as_holder(now);
  if (!is_eligible || now - proposed_at_ < kMinCandidateProposalInterval) return Action::none;
  Seconds const unchanged_for = now - lease_changed_at_;
  if (newest_lease_.fence == 0) return unchanged_for >= takeover_jitter_ ? Action::acquire : Action::none;
  // The holder of record is an earlier process of this node: it goes on under that fence.
  if (newest_lease_.holder == node_ && newest_lease_.next.empty()) return Action::renew;
  if (!could_act_at_once(now)) return Action::none;
  bool const is_successor = newest_lease_.next == node_;
  return is_successor || unchanged_for >= takeover_delay() + takeover_jitter_ ? Action::acquire : Action::none;
}

LeaseClient::Proposal LeaseClient::propose(Action action, Seconds now) {
  is_proposal_open_ = true;
  proposed_at_ = now;
  is_first_acquisition_ = action == Action::acquire && newest_lease_.fence == 0;
  Proposal proposal;
  proposal.action = action;
  proposal.fence = newest_lease_.fence;
  proposal.counter = newest_lease_.counter;
  proposal.proposed_at = now;
  proposal.successor = successor_;
  return proposal;
}

bool LeaseClient::apply(ReplicatedState& state, Proposal const& proposal) const {
  auto lease =
      std::find_if(state.duties.begin(), state.duties.end(), [&](Lease const& row) { return row.duty == role_; });
  if (lease == state.duties.end()) {
    if (proposal.action != Action::acquire || proposal.fence != 0) return false;
    lease = state.duties.emplace(state.duties.end());
    lease->duty = role_;
  }
  if (lease->fence != proposal.fence || lease->counter != proposal.counter) return false;
  switch (proposal.action) {
    case Action::acquire:
      lease->holder = node_;
      lease->ip = ip_;
      lease->next.clear();
      ++lease->fence;
      lease->counter = 0;
      return true;
    case Action::renew:
    case Action::hand_over:
      if (lease->holder != node_ || !lease->next.empty()) return false;
      ++lease->counter;
      if (proposal.action == Action::hand_over) lease->next = proposal.successor;
      return true;
    case Action::none: break;
  }
  return false;
}

void LeaseClient::on_result(Proposal const& proposal, bool is_committed, Seconds now) {
  is_proposal_open_ = false;
  if (!is_committed) return;
  switch (proposal.action) {
    case Action::acquire:
    case Action::renew: on_held(proposal, now); break;
    case Action::hand_over:
      stop_holding(now);
      has_handed_over_ = true;
      break;
    case Action::none: break;
  }
}

void LeaseClient::on_held(Proposal const& proposal, Seconds now) {
  if (!is_holder_) {
    is_holder_ = true;
    is_handing_over_ = has_handed_over_ = false;
    holder_since_ = now;
    fence_ = proposal.action == Action::acquire ? proposal.fence + 1 : proposal.fence;
  }
  renewed_at_ = proposal.proposed_at;
  may_act_until_ = proposal.proposed_at + options_.duration - options_.margin;
}

void LeaseClient::stop_holding(Seconds now) {
  is_holder_ = is_handing_over_ = false;
  lost_lease_at_ = now;
}

bool LeaseClient::hand_over(std::string const& successor) {
  if (!is_holder_ || is_handing_over_) return false;
  is_handing_over_ = true;
  successor_ = successor;
  return true;
}

bool LeaseClient::could_act_at_once(Seconds now) const {
  return now - lost_lease_at_ >= takeover_delay() && now - started_at_ >= takeover_delay();
}

bool LeaseClient::may_act(Seconds now, Seconds call_duration) const {
  if (!is_holder_ || is_handing_over_ || now + call_duration > may_act_until_) return false;
  // An earlier process of this node, or an earlier lease of this one, may have acted a moment ago, unless nobody ever
  // held the lease before.
  bool const is_first_lease = fence_ == 1 && is_first_acquisition_;
  return is_first_lease || could_act_at_once(now);
}

}  // namespace dockbend
