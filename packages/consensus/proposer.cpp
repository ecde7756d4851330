#include "consensus/proposer.hpp"

#include <algorithm>
#include <cstdio>

namespace dockbend {
namespace {
std::string disk_name(std::string const& ip, Incarnation incarnation) {
  return ip + "/" + std::to_string(incarnation.v);
}
std::string disk_name(Member const& member) {
  return disk_name(member.ip, member.incarnation);
}

u64 ipv4_number(std::string const& ip) {
  unsigned a = 0, b = 0, c = 0, d = 0;
  std::sscanf(ip.c_str(), "%u.%u.%u.%u", &a, &b, &c, &d);
  return static_cast<u64>(a) << 24 | b << 16 | c << 8 | d;
}

/// Have enough of the value's voters voted? Its previous membership counts too, unless the membership change is known
/// to be committed.
bool has_quorum(ReplicatedState const& value, std::set<std::string> const& voted, bool is_membership_committed) {
  auto const has_voted = [&](Member const& member) { return voted.contains(disk_name(member)); };
  if (!is_membership_committed) return value.is_held_by_quorum(has_voted);
  auto const votes = std::count_if(value.membership.begin(), value.membership.end(), has_voted);
  return static_cast<std::size_t>(votes) >= value.majority();
}
}  // namespace

Proposer::Proposer(std::string const& own_ip, FindDelta find_delta)
    : node_(ipv4_number(own_ip)), find_delta_(std::move(find_delta)) {}

Proposer::Messages Proposer::begin_round(ReplicatedState const& newest, Change change, Seconds now,
                                         std::optional<Epoch> committed_epoch) {
  base_ = newest;
  committed_epoch_ = committed_epoch;
  announced_.reset();
  change_ = std::move(change);
  observe_ballot(newest.ballot);
  ballot_ = Ballot(++counter_ << kNodeBits | node_);
  phase_ = Phase::preparing;
  is_over_ = is_committed_ = false;
  began_at_ = now;
  asked_.clear();
  promised_.clear();
  accepted_.clear();
  return send_prepares();
}

std::vector<Member> Proposer::voters() const {
  std::vector<std::vector<Member> const*> memberships{&base_.membership};
  if (!is_base_membership_committed()) memberships.push_back(&base_.previous_membership);
  if (phase_ == Phase::accepting || is_committed_) memberships.push_back(&next_.membership);
  std::vector<Member> disks;
  std::set<std::string> names;
  for (auto const* membership : memberships)
    for (Member const& member : *membership)
      if (names.insert(disk_name(member)).second) disks.push_back(member);
  return disks;
}

Proposer::Messages Proposer::send_prepares() {
  Messages messages;
  for (Member const& member : voters())
    if (asked_.insert(disk_name(member)).second)
      messages.push_back({member.ip, PrepareRequest{ballot_, announced_ballot(), member.incarnation}});
  return messages;
}

bool Proposer::has_newer_value(PrepareResponse const& response) const {
  return (response.has_complete_state || !response.delta.empty()) && response.accepted > base_.ballot;
}

std::optional<ReplicatedState> Proposer::read_value(PrepareResponse const& response) const {
  ReplicatedState value;
  if (response.has_complete_state) {
    value = read_state(response.state);
  } else {
    value = announced_ ? *announced_ : base_;
    if (!apply(value, read_delta(response.delta))) return std::nullopt;
  }
  if (value.ballot != response.accepted) throw codec::MalformedMessage("a value under another ballot");
  return value;
}

Proposer::Messages Proposer::on_prepare_response(std::string const& from_ip, PrepareResponse const& response) {
  if (phase_ != Phase::preparing || response.ballot != ballot_) return {};
  check_ballot(response.promised);
  observe_ballot(response.promised);
  if (!response.is_promised) {
    if (response.promised > ballot_) end_round(false);  // another proposer is ahead: give way
    return {};
  }
  Messages messages;
  if (has_newer_value(response)) {
    std::optional<ReplicatedState> value = read_value(response);
    if (!value) return {};
    if (!announced_) announced_ = std::move(base_);
    base_ = std::move(*value);
    messages = send_prepares();
  }
  promised_.insert(disk_name(from_ip, response.incarnation));  // only now: its value could be read
  if (has_quorum(base_, promised_, is_base_membership_committed())) {
    Messages accepts = send_accepts();
    std::move(accepts.begin(), accepts.end(), std::back_inserter(messages));
  }
  return messages;
}

void Proposer::make_next_value() {
  next_ = base_;
  if (is_base_membership_committed()) {
    next_.previous_membership.clear();
    change_(next_);
  }
  // Even with nothing to change, the value found is written again: only so is it known to be on a majority before
  // anyone is told that it is.
  next_.ballot = ballot_;
  mark_membership_change();
  if (!is_same_view(base_, next_)) next_.open = ballot_;
}

void Proposer::mark_membership_change() {
  Epoch const epoch{ballot_.v};
  bool has_changed = next_.membership.size() != base_.membership.size();
  for (Member& member : next_.membership) {
    Member const* const before = base_.member(member.ip);
    if (before != nullptr && before->same_disk(member) && before->since == member.since) continue;
    has_changed = true;
    member.since = epoch;
  }
  if (!has_changed) return;
  next_.epoch = epoch;
  next_.previous_membership = base_.membership;
}

Proposer::Messages Proposer::send_accepts() {
  make_next_value();
  delta_ = base_.ballot == Ballot(0) ? std::string() : codec::pack(delta_of(base_, next_));
  phase_ = Phase::accepting;
  Messages messages;
  for (Member const& member : voters())
    messages.push_back({member.ip, accept_request(member)});
  return messages;
}

AcceptRequest Proposer::accept_request(Member const& member) const {
  AcceptRequest request;
  request.ballot = ballot_;
  request.incarnation = member.incarnation;
  if (base_.ballot == Ballot(0))
    request.state = codec::pack(next_);
  else
    request.delta = delta_;
  return request;
}

AcceptRequest Proposer::accept_request_for_lagging(Member const& member, Ballot have) const {
  AcceptRequest request;
  request.ballot = ballot_;
  request.incarnation = member.incarnation;
  if (auto const delta = delta_from(have))
    request.delta = codec::pack(*delta);
  else
    request.state = codec::pack(next_);
  return request;
}

std::optional<StateDelta> Proposer::delta_from(Ballot have) const {
  if (have == Ballot()) return std::nullopt;
  if (announced_ && announced_->ballot == have) {
    // Our own earlier value may never have been committed, and have what this value lacks; a delta can't say that.
    StateDelta delta = delta_of(*announced_, next_);
    ReplicatedState value = *announced_;
    if (apply(value, delta) && codec::pack(value) == codec::pack(next_)) return delta;
  }
  if (!find_delta_) return std::nullopt;
  if (auto delta = find_delta_(have, ballot_)) return delta;
  // Our own disk has not taken this value, but may have the one that it is made from.
  auto to_base = find_delta_(have, base_.ballot);
  if (!to_base) return std::nullopt;
  return join_deltas(std::move(*to_base), delta_of(base_, next_));
}

bool Proposer::has_quorum_of_accepts() const {
  return has_quorum(base_, accepted_, is_base_membership_committed()) && has_quorum(next_, accepted_, false);
}

void Proposer::end_round(bool is_committed) {
  phase_ = Phase::idle;
  is_over_ = true;
  is_committed_ = is_committed;
}

Proposer::Messages Proposer::on_accept_response(std::string const& from_ip, AcceptResponse const& response) {
  if (response.ballot != ballot_) return {};
  // A member that comes late to a committed round is still sent what it lacks.
  if (phase_ != Phase::accepting && !(is_committed_ && response.needs_complete_state)) return {};
  check_ballot(response.promised);
  observe_ballot(response.promised);
  if (response.is_accepted) {
    accepted_.insert(disk_name(from_ip, response.incarnation));
    if (has_quorum_of_accepts()) end_round(true);
    return {};
  }
  if (response.needs_complete_state) {
    for (Member const& member : voters())
      if (member.ip == from_ip && member.incarnation == response.incarnation)
        return {{from_ip, accept_request_for_lagging(member, response.have)}};
    return {};
  }
  // Whether the value stands after all, the next round will see.
  if (response.promised > ballot_) end_round(false);
  return {};
}

Proposer::Messages Proposer::resend_to(std::string const& ip) const {
  Messages messages;
  if (phase_ == Phase::idle) return messages;
  for (Member const& member : voters()) {
    if (member.ip != ip) continue;
    if (phase_ == Phase::preparing)
      messages.push_back({ip, PrepareRequest{ballot_, announced_ballot(), member.incarnation}});
    else
      messages.push_back({ip, accept_request_for_lagging(member, Ballot())});
  }
  return messages;
}

}  // namespace dockbend
