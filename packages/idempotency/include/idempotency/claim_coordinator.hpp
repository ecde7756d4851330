#pragma once
#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/unmatched_messages.hpp"
#include "idempotency/answer_delivery.hpp"
#include "idempotency/claim_actions.hpp"
#include "idempotency/claim_disks.hpp"
#include "idempotency/claim_policy.hpp"
#include "idempotency/pending_claim.hpp"
#include "idempotency/unconfirmed_releases.hpp"

/// \file
/// The agent's part in idempotency: claims the keys of its proxy's requests on a majority of the controllers'
/// disks. No I/O: what is to be sent is handed out by take_actions(), and the owner of the connections calls
/// the on_ functions with what arrives.
///
/// One key goes through these steps: acquire() claims it on a majority of the nearest disks, and on all of
/// them if one of these refuses, is not ready or keeps us waiting ("widening"). A majority of grants
/// lets the proxy run the request; if a majority can't be had, the claim is released and the stored answer of
/// the first run is fetched. on_outcome() ends it: the answer is stored, or the key released.

namespace dockbend {

/// Invariants:
/// - a proxy's request is answered at most once, over the connection that it came on;
/// - `run` is answered only if a majority of one membership's disks granted the key to this holder, over
///   the connections that they were asked on;
/// - a tag names one pending claim, and no other one in the life of a connection: tags repeat after 2^32
///   requests, and a claim is pending for seconds;
/// - a stored answer is repeated only if its holder is the one whose operation binds the key (ClaimQuorum::Standing);
/// - a key is released only while `run` was not answered, or once the proxy says that its request did
///   not run; the holder claims nothing after that.
template <ClaimPolicy Policy = StrictClaimPolicy>
class ClaimCoordinator {
 public:
  /// Where the agent runs; see ClaimDisks.
  ClaimCoordinator(std::string zone, std::string region, std::string node)
      : disks_(std::move(zone), std::move(region), std::move(node)) {}
  ClaimCoordinator(ClaimCoordinator const&) = delete;

  /// \name Disks
  /// \{
  /// A controller's connection is up; releases and claims that the one before may have lost are sent again.
  /// is_relayed: the connection leads through another agent, of any region.
  void on_disk_connected(std::string const& ip, u64 connection, bool is_relayed = false);
  void on_disk_disconnected(std::string const& ip);
  void set_round_trip(std::string const& ip, Seconds round_trip) { disks_.set_round_trip(ip, round_trip); }
  /// The newest committed value. A new epoch restarts all claims that are not decided.
  void set_membership(ReplicatedState const& state, Seconds now);
  /// \}

  /// \name The proxy
  /// \{
  /// The number of its connection; 0: none. What came over the one before and was not answered has not run
  /// and never will.
  void set_proxy_connection(u64 connection);
  /// The proxy wants the key of a request.
  void acquire(u64 asker, u32 tag, AcquireKeyRequest const& request, Seconds now);
  /// How the request ended, or that its time ran out before it was answered.
  void on_outcome(KeyOutcomeNotice const& notice);
  /// \}

  /// \name Responses of disks
  /// Those that match no request of ours are counted in unmatched() and ignored.
  /// \{
  void on_claim_response(std::string const& ip, u64 connection, u32 tag, ClaimResponse const& response, Seconds now);
  /// Throws codec::MalformedMessage if the stored answer can't be read.
  void on_fetch_response(std::string const& ip, u64 connection, u32 tag, FetchAnswerResponse const& response);
  /// \}

  /// Ends and widens what is due. To be called several times a second.
  void tick(Seconds now);

  /// What is to be sent now, in this order; it is handed out once.
  std::vector<ClaimAction> take_actions() { return std::exchange(outgoing_actions_, {}); }
  std::size_t pending_count() const { return pending_claims_.size(); }
  std::size_t granted_count() const { return granted_claims_.size(); }
  UnmatchedMessages& unmatched() { return unmatched_; }
  UnmatchedMessages const& unmatched() const { return unmatched_; }

 private:
  using PendingClaims = std::unordered_map<u32, PendingClaim>;
  using PendingPlace = typename PendingClaims::iterator;

  static Seconds constexpr kMaxPendingTime = 2.0;
  static double constexpr kMaxShareOfWorkTime = 0.7;  ///< of a request's time that its claim may take
  static Seconds constexpr kWidenDelay = 0.06;        ///< on top of the round trips
  static double constexpr kWidenRoundTrips = 1.5;
  static Seconds constexpr kFetchDelay = 0.1;  ///< on top of the round trips
  static double constexpr kFetchRoundTrips = 2;
  static Seconds constexpr kSweepPeriod = 0.6;
  static Seconds constexpr kGrantKept = 60;  ///< a proxy that says nothing for so long may have ended

  u32 next_tag();
  static Seconds time_for(AcquireKeyRequest const& request);
  /// asked: disks, and over which connection each.
  static bool is_asked_on(std::map<std::string, u64> const& asked, std::string const& ip, u64 connection);
  std::optional<UnmatchedReason> why_unmatched(PendingClaim const& claim, std::string const& ip, u64 connection,
                                               ClaimResponse const& response) const;

  void begin(u32 tag, PendingClaim& claim, Seconds now);
  void send_claim(u32 tag, PendingClaim& claim, std::string const& ip);
  void widen(u32 tag, PendingClaim& claim);
  void grant(PendingPlace place, Seconds now);
  void fetch_answer(PendingPlace place, Seconds now);
  void review_answers(PendingPlace place);
  bool is_due(PendingClaim const& claim, Seconds now) const;
  bool may_miss_answer(PendingClaim const& claim) const;
  void end_without_answer(PendingPlace place);
  void end_undecided(PendingPlace place);
  void respond(PendingClaim const& claim, AcquireResult result, std::string stored_answer = "");
  void end(PendingPlace place);
  void release(PendingClaim const& claim) {
    release(operation_of(claim.request), claim.request.client, claim.request.holder, claim.may_hold);
  }
  void release(OperationId const& operation, std::string const& client, u64 holder, std::set<std::string> const& ips);
  std::set<std::string> take_granted(u64 holder);

  ClaimDisks disks_;
  AnswerDelivery answers_{disks_};
  Epoch epoch_;
  bool has_membership_ = false;
  PendingClaims pending_claims_;                          ///< by our tag, which the disks answer with
  std::unordered_map<u64, u32> tag_by_holder_;            ///< of pending_claims_
  std::unordered_map<u64, GrantedClaim> granted_claims_;  ///< by holder
  UnconfirmedReleases unconfirmed_releases_;
  std::vector<ClaimAction> outgoing_actions_;
  u64 proxy_connection_ = 0;
  u32 last_tag_ = 0;
  Seconds last_tick_ = 0, last_sweep_ = 0;
  UnmatchedMessages unmatched_;
};

// ---- disks ---------------------------------------------------------------------------

template <ClaimPolicy Policy>
void ClaimCoordinator<Policy>::on_disk_connected(std::string const& ip, u64 connection, bool is_relayed) {
  disks_.connect(ip, connection, is_relayed);
  for (ReleaseRequest& release : unconfirmed_releases_.resend(ip, last_tick_))
    outgoing_actions_.emplace_back(SendRelease{ip, std::move(release)});
  for (auto& [tag, claim] : pending_claims_)
    if (!claim.is_fetching && claim.is_widened && claim.asked.count(ip) == 0) send_claim(tag, claim, ip);
  answers_.send_held(outgoing_actions_);
}

template <ClaimPolicy Policy>
void ClaimCoordinator<Policy>::on_disk_disconnected(std::string const& ip) {
  disks_.disconnect(ip);
  std::vector<u32> concerned;
  for (auto& [tag, claim] : pending_claims_) {
    bool const was_asked = claim.asked.erase(ip) > 0;
    if (was_asked && !claim.is_fetching) claim.widen_at = 0;  // at the next tick
    if (claim.search.on_disconnected(ip)) concerned.push_back(tag);
  }
  for (u32 const tag : concerned)
    review_answers(pending_claims_.find(tag));
}

template <ClaimPolicy Policy>
void ClaimCoordinator<Policy>::set_membership(ReplicatedState const& state, Seconds now) {
  bool const is_new = !has_membership_ || state.epoch != epoch_;
  has_membership_ = true;
  epoch_ = state.epoch;
  unconfirmed_releases_.keep_members(state);
  disks_.set_members(state.membership);
  answers_.send_held(outgoing_actions_);
  if (!is_new) return;
  for (auto& [tag, claim] : pending_claims_)
    if (!claim.is_fetching) begin(tag, claim, now);
}

// ---- the proxy -----------------------------------------------------------------------

template <ClaimPolicy Policy>
void ClaimCoordinator<Policy>::set_proxy_connection(u64 connection) {
  if (connection == proxy_connection_) return;
  proxy_connection_ = connection;
  for (auto const& [tag, claim] : pending_claims_) {
    release(claim);
    tag_by_holder_.erase(claim.request.holder);
  }
  pending_claims_.clear();
  // Granted requests may be running; only the proxy knows, and it tells us when it comes back.
  if (!Policy::may_release(true)) return;
  for (auto const& [holder, granted] : granted_claims_)
    release(granted.operation, granted.client, holder, granted.may_hold);
  granted_claims_.clear();
}

template <ClaimPolicy Policy>
void ClaimCoordinator<Policy>::acquire(u64 asker, u32 tag, AcquireKeyRequest const& request, Seconds now) {
  if (asker != proxy_connection_) return unmatched_.drop(UnmatchedReason::connection);
  if (tag_by_holder_.count(request.holder) > 0 || granted_claims_.count(request.holder) > 0)
    return unmatched_.drop(UnmatchedReason::twice);
  u32 const our_tag = next_tag();
  PendingClaim& claim = pending_claims_[our_tag];
  claim.request = request;
  claim.asker = asker;
  claim.proxy_tag = tag;
  claim.end_at = now + time_for(request);
  tag_by_holder_[request.holder] = our_tag;
  if (has_membership_) return begin(our_tag, claim, now);
  respond(claim, AcquireResult::unavailable);
  end(pending_claims_.find(our_tag));
}

template <ClaimPolicy Policy>
void ClaimCoordinator<Policy>::on_outcome(KeyOutcomeNotice const& notice) {
  if (auto const pending = tag_by_holder_.find(notice.holder); pending != tag_by_holder_.end()) {
    auto const place = pending_claims_.find(pending->second);
    respond(place->second, AcquireResult::unavailable);
    release(place->second);
    return end(place);
  }
  std::set<std::string> const may_hold = take_granted(notice.holder);
  if (Policy::has_not_run(notice.outcome)) return release(operation_of(notice), notice.client, notice.holder, may_hold);
  if (!answers_.store(notice, may_hold, last_tick_, outgoing_actions_)) unmatched_.drop(UnmatchedReason::undelivered);
}

/// The disks that may hold a granted key of this holder; all members if we know nothing of it, as after a
/// restart of the agent.
template <ClaimPolicy Policy>
std::set<std::string> ClaimCoordinator<Policy>::take_granted(u64 holder) {
  std::set<std::string> may_hold;
  if (auto const granted = granted_claims_.find(holder); granted != granted_claims_.end()) {
    may_hold = std::move(granted->second.may_hold);
    granted_claims_.erase(granted);
  } else {
    for (Member const& member : disks_.members())
      may_hold.insert(member.ip);
  }
  return may_hold;
}

// ---- responses of disks --------------------------------------------------------------

template <ClaimPolicy Policy>
void ClaimCoordinator<Policy>::on_claim_response(std::string const& ip, u64 connection, u32 tag,
                                                 ClaimResponse const& response, Seconds now) {
  auto const place = pending_claims_.find(tag);
  if (place == pending_claims_.end()) return unmatched_.drop(UnmatchedReason::no_question);
  PendingClaim& claim = place->second;
  if (auto const reason = why_unmatched(claim, ip, connection, response)) return unmatched_.drop(*reason);
  std::string const voter = Policy::voter(ip);
  bool const is_vote = response.vote == ClaimVote::granted || response.vote == ClaimVote::held;
  if (is_vote && !claim.voted.insert(voter).second) return unmatched_.drop(UnmatchedReason::twice);
  ClaimQuorum::Result const result = claim.quorum.count(voter, response);
  if (claim.is_fetching) return review_answers(place);
  switch (result) {
    case ClaimQuorum::Result::granted: return grant(place, now);
    case ClaimQuorum::Result::held:
      claim.is_in_progress = claim.quorum.is_in_progress();
      release(claim);
      return fetch_answer(place, now);
    case ClaimQuorum::Result::open: break;
  }
  bool const is_first_refusal = response.vote == ClaimVote::held && claim.quorum.refusals() == 1;
  if (is_first_refusal || (response.vote == ClaimVote::unready && !claim.is_widened)) widen(tag, claim);
  if (response.vote == ClaimVote::epoch && response.epoch > epoch_) outgoing_actions_.emplace_back(SendCatchUp{ip});
}

template <ClaimPolicy Policy>
std::optional<UnmatchedReason> ClaimCoordinator<Policy>::why_unmatched(PendingClaim const& claim, std::string const& ip,
                                                                       u64 connection,
                                                                       ClaimResponse const& response) const {
  if (!is_asked_on(claim.asked, ip, connection)) return UnmatchedReason::connection;
  if (!Policy::same_holder(claim.request.holder, response.holder)) return UnmatchedReason::other_key;
  Member const* const member = disks_.member(ip);
  if (member == nullptr || member->incarnation != response.incarnation) return UnmatchedReason::disk_life;
  bool const is_vote = response.vote == ClaimVote::granted || response.vote == ClaimVote::held;
  if (is_vote && response.epoch != epoch_) return UnmatchedReason::epoch;
  return std::nullopt;
}

template <ClaimPolicy Policy>
void ClaimCoordinator<Policy>::on_fetch_response(std::string const& ip, u64 connection, u32 tag,
                                                 FetchAnswerResponse const& response) {
  auto const place = pending_claims_.find(tag);
  if (place == pending_claims_.end() || !place->second.is_fetching)
    return unmatched_.drop(UnmatchedReason::no_question);
  PendingClaim& claim = place->second;
  if (claim.search.asked().count(ip) == 0) return unmatched_.drop(UnmatchedReason::twice);
  if (!is_asked_on(claim.search.asked(), ip, connection)) return unmatched_.drop(UnmatchedReason::connection);
  if (response.found) {
    StoredAnswer const answer = codec::unpack<StoredAnswer>(response.stored_answer);
    if (!operation_of(answer).may_equal(operation_of(claim.request)))
      return unmatched_.drop(UnmatchedReason::other_key);
    claim.search.on_found(ip, {answer.holder, answer.lost, response.stored_answer});
  } else {
    claim.search.on_none(ip);
  }
  review_answers(place);
}

/// Repeats an answer once it is known to be the binding operation's, and drops those that are not.
template <ClaimPolicy Policy>
void ClaimCoordinator<Policy>::review_answers(PendingPlace place) {
  PendingClaim& claim = place->second;
  unmatched_.drop(UnmatchedReason::other_holder, claim.search.drop_lapsed(claim.quorum));
  FoundAnswer const* const binding = claim.search.binding(claim.quorum);
  if (binding != nullptr && !binding->is_lost) {
    respond(claim, AcquireResult::repeat, binding->encoded);
    return end(place);
  }
  bool const waits_for_votes = claim.search.has_answers() && binding == nullptr;
  if (claim.search.asked().empty() && !waits_for_votes) end_without_answer(place);
}

template <ClaimPolicy Policy>
bool ClaimCoordinator<Policy>::is_asked_on(std::map<std::string, u64> const& asked, std::string const& ip,
                                           u64 connection) {
  auto const disk = asked.find(ip);
  return disk != asked.end() && Policy::same_connection(disk->second, connection);
}

// ---- time ----------------------------------------------------------------------------

template <ClaimPolicy Policy>
bool ClaimCoordinator<Policy>::is_due(PendingClaim const& claim, Seconds now) const {
  if (now > claim.end_at) return true;
  if (claim.is_fetching) return now > claim.answers_due_at && !may_miss_answer(claim);
  return !claim.is_widened && now > claim.widen_at;
}

template <ClaimPolicy Policy>
void ClaimCoordinator<Policy>::tick(Seconds now) {
  last_tick_ = now;
  std::vector<u32> due;
  for (auto const& [tag, claim] : pending_claims_)
    if (is_due(claim, now)) due.push_back(tag);
  for (u32 const tag : due) {
    auto const place = pending_claims_.find(tag);
    if (place->second.is_fetching)
      end_without_answer(place);
    else if (now > place->second.end_at)
      end_undecided(place);
    else
      widen(tag, place->second);
  }
  if (now - last_sweep_ < kSweepPeriod) return;
  last_sweep_ = now;
  unconfirmed_releases_.drop_received(now, [this](std::string const& ip) { return disks_.is_connected(ip); });
  // The disks keep the key of a request whose outcome we never hear of.
  std::erase_if(granted_claims_, [&](auto const& entry) { return now - entry.second.granted_at > kGrantKept; });
  answers_.drop_old(now);
}

// ---- steps of one claim --------------------------------------------------------------

template <ClaimPolicy Policy>
u32 ClaimCoordinator<Policy>::next_tag() {
  do
    ++last_tag_;
  while (last_tag_ == 0 || pending_claims_.count(last_tag_) > 0);
  return last_tag_;
}

template <ClaimPolicy Policy>
Seconds ClaimCoordinator<Policy>::time_for(AcquireKeyRequest const& request) {
  return std::min(kMaxPendingTime, request.work_ms / 1000.0 * kMaxShareOfWorkTime);
}

/// Claims on a majority of the nearest disks. The others are asked only if these do not decide it, for
/// traffic between regions is expensive.
template <ClaimPolicy Policy>
void ClaimCoordinator<Policy>::begin(u32 tag, PendingClaim& claim, Seconds now) {
  claim.quorum = ClaimQuorum(disks_.members().size(), epoch_);
  claim.is_widened = false;
  claim.asked.clear();
  claim.voted.clear();
  auto const& nearest = disks_.nearest_first();
  std::size_t const count = std::min(nearest.size(), disks_.majority());
  Seconds longest = 0;
  for (std::size_t i = 0; i < count; ++i) {
    send_claim(tag, claim, nearest[i]);
    longest = std::max(longest, disks_.round_trip(nearest[i]));
  }
  claim.widen_at = now + kWidenDelay + kWidenRoundTrips * longest;
}

template <ClaimPolicy Policy>
void ClaimCoordinator<Policy>::send_claim(u32 tag, PendingClaim& claim, std::string const& ip) {
  Member const* const member = disks_.member(ip);
  if (member == nullptr) return;
  ClaimRequest request;
  set_operation(request, operation_of(claim.request));
  request.client = claim.request.client;
  request.holder = claim.request.holder;
  request.epoch = epoch_;
  request.incarnation = member->incarnation;
  request.work_ms = claim.request.work_ms;
  claim.may_hold.insert(ip);
  claim.asked[ip] = disks_.connection(ip);
  outgoing_actions_.emplace_back(SendClaim{ip, tag, std::move(request)});
}

/// Claims on all disks that were not asked yet.
template <ClaimPolicy Policy>
void ClaimCoordinator<Policy>::widen(u32 tag, PendingClaim& claim) {
  claim.is_widened = true;
  for (std::string const& ip : disks_.nearest_first())
    if (claim.asked.count(ip) == 0) send_claim(tag, claim, ip);
}

template <ClaimPolicy Policy>
void ClaimCoordinator<Policy>::grant(PendingPlace place, Seconds now) {
  PendingClaim& claim = place->second;
  respond(claim, AcquireResult::run);
  granted_claims_[claim.request.holder] =
      GrantedClaim{operation_of(claim.request), claim.request.client, std::move(claim.may_hold), now};
  end(place);
}

/// Asks every disk that may have the stored answer.
template <ClaimPolicy Policy>
void ClaimCoordinator<Policy>::fetch_answer(PendingPlace place, Seconds now) {
  auto& [tag, claim] = *place;
  claim.is_fetching = true;
  OperationId const operation = operation_of(claim.request);
  if (UndeliveredAnswers::Answer const* const held = answers_.find_held(operation))
    claim.search.add({held->holder, false, held->encoded});
  if (claim.search.binding(claim.quorum) != nullptr) return review_answers(place);
  Seconds longest = 0;
  for (std::string const& ip : disks_.nearest_first()) {
    if (!disks_.may_send_body(ip, claim.request.homes)) continue;
    longest = std::max(longest, disks_.round_trip(ip));
    claim.search.ask(ip, disks_.connection(ip));
    SendFetch action;
    action.to = ip;
    action.tag = tag;
    set_operation(action.fetch, operation);
    action.fetch.holders = claim.quorum.holders();
    outgoing_actions_.emplace_back(std::move(action));
  }
  claim.answers_due_at = now + kFetchDelay + kFetchRoundTrips * longest;
  claim.end_at = std::max(claim.end_at, claim.answers_due_at);
  review_answers(place);
}

/// Whether the answer may be at a disk that has not said, or among those of disputed standing.
template <ClaimPolicy Policy>
bool ClaimCoordinator<Policy>::may_miss_answer(PendingClaim const& claim) const {
  bool const is_disputed = claim.search.has_answers() && claim.search.binding(claim.quorum) == nullptr;
  return is_disputed || claim.search.may_be_missed(disks_.members(), claim.request.homes);
}

/// The key is held and its first run's answer was not found: it is at work, or lost, as far as that is known.
template <ClaimPolicy Policy>
void ClaimCoordinator<Policy>::end_without_answer(PendingPlace place) {
  PendingClaim const& claim = place->second;
  bool const has_ended = claim.search.has_answers() || !claim.is_in_progress;
  AcquireResult const known = has_ended ? AcquireResult::lost : AcquireResult::at_work;
  respond(claim, may_miss_answer(claim) ? AcquireResult::unavailable : known);
  end(place);
}

/// Too few disks have voted in time.
template <ClaimPolicy Policy>
void ClaimCoordinator<Policy>::end_undecided(PendingPlace place) {
  release(place->second);
  respond(place->second, AcquireResult::unavailable);
  end(place);
}

template <ClaimPolicy Policy>
void ClaimCoordinator<Policy>::respond(PendingClaim const& claim, AcquireResult result, std::string stored_answer) {
  SendAnswer action;
  action.asker = claim.asker;
  action.tag = claim.proxy_tag;
  action.answer.holder = claim.request.holder;
  action.answer.result = result;
  action.answer.stored_answer = std::move(stored_answer);
  outgoing_actions_.emplace_back(std::move(action));
}

template <ClaimPolicy Policy>
void ClaimCoordinator<Policy>::end(PendingPlace place) {
  tag_by_holder_.erase(place->second.request.holder);
  pending_claims_.erase(place);
}

template <ClaimPolicy Policy>
void ClaimCoordinator<Policy>::release(OperationId const& operation, std::string const& client, u64 holder,
                                       std::set<std::string> const& ips) {
  ReleaseRequest release;
  set_operation(release, operation);
  release.client = client;
  release.holder = holder;
  for (std::string const& ip : ips) {
    bool const is_connected = disks_.is_connected(ip);
    if (is_connected) outgoing_actions_.emplace_back(SendRelease{ip, release});
    bool const has_room = unconfirmed_releases_.add(ip, release, last_tick_);
    if (!has_room && !is_connected) unmatched_.drop(UnmatchedReason::owed);
  }
}

}  // namespace dockbend
