#include "controller/consensus_service.hpp"

#include <sys/stat.h>

#include <algorithm>

namespace dockbend {

namespace {

constexpr std::size_t kChunkBytes = 256 * 1024;
constexpr double kDefaultLinkMbps = 10;
constexpr double kBytesPerMegabit = 1e6 / 8;
constexpr Seconds kCatchUpIntervalSeconds = 0.25;  // between two requests to one peer
constexpr Seconds kChunkPatienceSeconds = 1.0;     // while chunks come, nobody else is asked
constexpr Seconds kFinishPatienceSeconds = 1.5;
constexpr int kMaxBackoffFactor = 6;
constexpr Incarnation kFounderIncarnation{1};

}  // namespace

ConsensusService::ConsensusService(ControllerContext& context)
    : context_(context),
      publisher_(context),
      proposer_(context.settings.ip, [this](Ballot have, Ballot ballot) { return history_since(have, ballot); }),
      timeout_((context.settings.linkMbps > 0 ? context.settings.linkMbps : kDefaultLinkMbps) * kBytesPerMegabit) {}

// ---- start ----------------------------------------------------------------------------------------------------

StoredState ConsensusService::open() {
  Settings const& settings = context_.settings;
  StoredState stored = load_disk(settings.dataDir.empty() ? std::string("/tmp") : settings.dataDir);
  bool const is_first_start = !stored.head;
  // An empty disk is a new member, unless the system itself begins here.
  bool const is_founder = stored.is_fresh && settings.bootstrap && is_seed();
  Incarnation const incarnation = stored.head  ? stored.head->incarnation
                                  : is_founder ? kFounderIncarnation
                                               : Incarnation((random64() >> 2) | 2);
  if (is_first_start) stored.keys_filled = is_founder ? 1 : 0;  // a founder is of membership 0
  if (!stored.value && stored.is_fresh && settings.bootstrap) stored.value = founding_state();
  // Only at the very first start is the founding state known to be the newest.
  if (is_first_start && stored.value) context_.committed = stored.value;
  context_.acceptor =
      std::make_unique<Acceptor>(incarnation, stored.head ? stored.head->promised : Ballot(), stored.value);
  writer_ = std::make_unique<VoteWriter<AsyncStore>>(*context_.disk, stored.head ? stored.head->seq : 0);
  if (is_first_start) {
    write_first_vote(stored, is_founder);
    return stored;
  }
  proposer_.observe_ballot(stored.head->promised);
  if (stored.value) durable_ = stored.value->ballot;
  context_.is_incarnation_durable = true;
  return stored;
}

StoredState ConsensusService::load_disk(std::string const& directory) {
  ::mkdir(directory.c_str(), 0755);
  try {
    context_.disk = std::make_unique<AsyncStore>(context_.loop, directory);
    return context_.disk->load();
  } catch (StorageCorruption const& error) {
    LOG4CPLUS_ERROR(logger_, "The state in " << directory << " can't be read completely (" << error.what()
                                             << "); this disk begins a new incarnation.");
  }
  context_.disk.reset();
  DiskStore::set_aside(directory);
  context_.disk = std::make_unique<AsyncStore>(context_.loop, directory);
  return context_.disk->load();
}

bool ConsensusService::is_seed() const {
  auto const& seeds = context_.settings.seeds;
  return std::any_of(seeds.begin(), seeds.end(), [&](Address const& seed) { return seed.ip == context_.settings.ip; });
}

ReplicatedState ConsensusService::founding_state() const {
  ReplicatedState state;
  for (Address const& seed : context_.settings.seeds) {
    Member member;
    member.ip = seed.ip;
    member.incarnation = kFounderIncarnation;
    member.control = seed.port;
    member.whole = true;
    state.membership.push_back(member);
  }
  std::sort(state.membership.begin(), state.membership.end(),
            [](Member const& a, Member const& b) { return a.ip < b.ip; });
  return state;
}

void ConsensusService::write_first_vote(StoredState const& stored, bool is_founder) {
  if (is_founder)
    context_.disk->submit_lazily(
        {StoreOperation::put_meta("whole", DiskStore::complete_keys_word(stored.keys_filled))});
  write_vote(stored.value ? rows_of(*stored.value) : std::vector<StateRow>(), [this](bool is_written) {
    if (!is_written) on_first_write_failed.emit();
    context_.is_incarnation_durable = is_written;
  });
}

void ConsensusService::publish_restored() {
  if (!context_.committed) return;
  publisher_.publish(nullptr, *context_.committed);
  on_committed.emit(false);
}

// ---- state ----------------------------------------------------------------------------------------------------

Ballot ConsensusService::ballot() const {
  return context_.committed ? context_.committed->ballot : Ballot();
}

Ballot ConsensusService::accepted() const {
  return context_.acceptor->state() ? context_.acceptor->state()->ballot : Ballot();
}

std::size_t ConsensusService::tolerated_disk_losses() const {
  std::size_t const members = context_.committed ? context_.committed->membership.size() : 0;
  return members == 0 ? 0 : (members - 1) / 2;
}

ReplicatedState const* ConsensusService::newest_state() const {
  ReplicatedState const* const committed = context_.known();
  auto const& accepted_state = context_.acceptor->state();
  if (!accepted_state) return committed;
  return committed == nullptr || accepted_state->ballot > committed->ballot ? &*accepted_state : committed;
}

/// Our own copy of the state that a delta starts from; null: we don't have it.
ReplicatedState const* ConsensusService::delta_base(Ballot base) const {
  if (base == ballot() && context_.committed) return &*context_.committed;
  if (base == accepted() && context_.acceptor->state()) return &*context_.acceptor->state();
  return nullptr;
}

/// What changed after `have`, if our acceptor's history reaches back to it and ends at `committed`.
std::optional<StateDelta> ConsensusService::history_since(Ballot have, Ballot committed) const {
  return accepted() == committed ? context_.acceptor->changes_since(have) : std::nullopt;
}

CatchUpRequest ConsensusService::own_catch_up_request() const {
  ReplicatedState const* const newest = newest_state();
  return CatchUpRequest{newest != nullptr ? newest->ballot : Ballot(), ballot(), chunks_.have(), chunks_.after()};
}

void ConsensusService::request_catch_up(std::string const& ip) {
  auto const peer = context_.controllers.find(ip);
  if (peer != context_.controllers.end() && peer->second.link)
    peer->second.link->send(MessageType::catch_up_request, 0, own_catch_up_request());
}

void ConsensusService::commit(ReplicatedState const& state) {
  if (context_.committed && state.ballot <= context_.committed->ballot) return;
  std::optional<ReplicatedState> const previous = std::move(context_.committed);
  context_.committed = state;
  proposer_.observe_ballot(state.ballot);
  if (state.ballot >= yielding_to_ && yield_until_ > 0) {
    yield_until_ = 0;
    after(context_.loop, 0.02 * random01(), [this] { begin_round_if_due(); });
  }
  if (Acceptor::PendingWrite write = context_.acceptor->learn(state); write.is_needed)
    write_vote(std::move(write.rows), [this, written = state.ballot](bool is_written) {
      if (is_written) durable_ = std::max(durable_, written);
    });
  for (Member const& member : state.membership)
    context_.controller(member.ip);  // connects to it, if it is new
  publisher_.publish(previous ? &*previous : nullptr, state);
  bool const membership_changed = !previous || previous->epoch != state.epoch;
  if (membership_changed) LOG4CPLUS_INFO(logger_, "Membership of " << state.membership.size() << ".");
  on_committed.emit(membership_changed);
}

// ---- what peers send --------------------------------------------------------------------------------------------

void ConsensusService::on_peer_state(std::string const& ip, Incarnation incarnation, Ballot peer_accepted) {
  PeerController& peer = context_.controller(ip);
  peer.incarnation = incarnation;
  peer.accepted = peer_accepted;
  if (!context_.acceptor->state() || accepted() <= ballot()) return;
  ReplicatedState const& state = *context_.acceptor->state();
  if (state.is_held_by_quorum([&](Member const& member) { return is_on_disk_at(member, state.ballot); }))
    commit(ReplicatedState(state));
}

bool ConsensusService::is_on_disk_at(Member const& member, Ballot ballot) const {
  if (member.ip == context_.settings.ip)
    return durable_ >= ballot && member.incarnation == context_.acceptor->incarnation();
  auto const peer = context_.controllers.find(member.ip);
  return peer != context_.controllers.end() && peer->second.incarnation == member.incarnation &&
         peer->second.accepted == ballot;
}

void ConsensusService::on_link_up(std::string const& ip, PeerLink& link) {
  for (auto& message : proposer_.resend_to(ip))
    send(message);
  link.send(MessageType::catch_up_request, 0, own_catch_up_request());
}

void ConsensusService::on_peer_ballot(PeerController& peer, Ballot peer_ballot, Seconds now) {
  if (peer_ballot <= ballot()) return;
  if (context_.acceptor->state() && accepted() == peer_ballot) {
    commit(*context_.acceptor->state());
  } else if (now - peer.catch_up_requested_at > kCatchUpIntervalSeconds && now - chunk_at_ > kChunkPatienceSeconds) {
    peer.catch_up_requested_at = now;
    peer.link->send(MessageType::catch_up_request, 0, own_catch_up_request());
  }
}

void ConsensusService::on_state_chunk(std::string const& ip, StateChunk const& chunk, Seconds now) {
  if (chunk.part.ballot <= ballot()) return;
  check_ballot(chunk.part.ballot);
  ChunkAssembler::Result const taken = chunks_.take(chunk);
  if (taken.complete) {
    check_value(*taken.complete);
    return commit(*taken.complete);
  }
  if (!taken.is_used) return;
  chunk_at_ = now;
  request_catch_up(ip);
}

void ConsensusService::on_prepare_response(std::string const& ip, PrepareResponse const& response) {
  timeout_.answered(ip, steady_now());
  send_all(proposer_.on_prepare_response(ip, response));
}

void ConsensusService::on_accept_response(std::string const& ip, AcceptResponse const& response) {
  timeout_.answered(ip, steady_now());
  send_all(proposer_.on_accept_response(ip, response));
}

void ConsensusService::on_prepare_request(InboundSession& session, u32 tag, PrepareRequest const& request,
                                          Seconds now) {
  if (!context_.is_incarnation_durable) return;
  PrepareResponse response;
  Acceptor::PendingWrite write = context_.acceptor->prepare(request, response);
  if (response.is_promised) yield_to(response.ballot, now);
  respond_when_durable(session.ch, MessageType::prepare_response, tag, response, std::move(write));
}

void ConsensusService::on_accept_request(InboundSession& session, u32 tag, AcceptRequest const& request) {
  if (!context_.is_incarnation_durable) return;
  AcceptResponse response;
  Acceptor::PendingWrite write = context_.acceptor->accept(request, response);
  respond_when_durable(session.ch, MessageType::accept_response, tag, response, std::move(write));
}

void ConsensusService::on_catch_up_request(InboundSession& session, CatchUpRequest const& request) {
  if (!context_.committed) return;
  ReplicatedState const& committed = *context_.committed;
  if (session.hello.role == kAgentRole) {
    Ballot const view = context_.view.ballot;
    if (view > request.have || view.v == 0) session.ch->send(view_missing_since(request.have));
    return;
  }
  if (committed.ballot < request.committed || (committed.ballot == request.committed && committed.ballot.v != 0))
    return;
  CommitNotice notice;
  notice.ballot = committed.ballot;
  // Who has this state already needs to hear only that it is committed.
  if (request.have != committed.ballot || request.have == Ballot(0)) {
    if (auto const delta = history_since(request.have, committed.ballot)) {
      notice.delta = codec::pack(*delta);
    } else {
      auto const since = [&](Ballot base) { return history_since(base, committed.ballot); };
      RowChecksum const checksum =
          accepted() == committed.ballot ? context_.acceptor->checksum() : rows_between(nullptr, committed).checksum;
      StateChunk const chunk =
          next_chunk(committed, checksum, request.chunk_ballot, request.chunk_after, since, kChunkBytes);
      if (chunk.base != Ballot(0) || !chunk.last) return session.ch->send(MessageType::state_chunk, 0, chunk);
      notice.state = codec::pack(committed);
    }
  }
  session.ch->send(MessageType::catch_up_response, 0, notice);
}

void ConsensusService::on_commit(CommitNotice const& notice, std::string const& from) {
  if (notice.ballot <= ballot()) return;
  if (!notice.state.empty()) {
    ReplicatedState const state = read_state(notice.state);
    if (state.ballot != notice.ballot) throw codec::MalformedMessage("a state under another ballot");
    return commit(state);
  }
  if (context_.acceptor->state() && accepted() == notice.ballot) return commit(*context_.acceptor->state());
  if (!notice.delta.empty()) {
    StateDelta const delta = read_delta(notice.delta);
    if (ReplicatedState const* const base = delta_base(delta.base); base != nullptr) {
      ReplicatedState state = *base;
      apply(state, delta);
      return commit(state);
    }
  }
  request_catch_up(from);
}

// ---- rounds -----------------------------------------------------------------------------------------------------

void ConsensusService::submit(Change change, Outcome done, Seconds patience) {
  queue_.push_back(QueuedChange{std::move(change), std::move(done), steady_now() + patience});
  begin_round_if_due();
}

void ConsensusService::schedule_first_finish(Seconds now) {
  next_finish_at_ = now + 0.2 + 0.6 * random01();
}

void ConsensusService::tick(Seconds now) {
  if (!proposer_.is_idle() && now - proposer_.began_at() > round_timeout()) {
    proposer_.abandon();
    requeue(std::exchange(batch_, {}));
  }
  begin_round_if_due();
}

void ConsensusService::finish_open_state(Seconds now) {
  if (!context_.acceptor->state() || (context_.committed && accepted() <= ballot())) {
    next_finish_at_ = 0;
    return;
  }
  if (next_finish_at_ == 0) next_finish_at_ = now + 0.8 + 0.8 * random01();
  if (now <= next_finish_at_ || !queue_.empty() || !proposer_.is_idle()) return;
  next_finish_at_ = now + 1.0 + random01();
  submit([](ReplicatedState&) { return false; }, [](ReplicatedState const*) {}, kFinishPatienceSeconds);
}

/// Another controller's round is under way: two that outbid each other would both be late. The wait is only courtesy;
/// safety never rests on it.
void ConsensusService::yield_to(Ballot ballot, Seconds now) {
  yielding_to_ = ballot;
  yield_until_ = now + 0.4 + 0.2 * random01();
}

void ConsensusService::begin_round_if_due() {
  Seconds const now = steady_now();
  if (!proposer_.is_idle() || now < next_round_at_ || now < yield_until_ || !context_.is_incarnation_durable) return;
  drop_expired_changes(now);
  ReplicatedState const* const base = newest_state();
  if (queue_.empty() || base == nullptr) return;
  batch_.assign(std::make_move_iterator(queue_.begin()), std::make_move_iterator(queue_.end()));
  queue_.clear();
  auto const apply_batch = [this](ReplicatedState& state) {
    bool has_changed = false;
    for (QueuedChange& queued : batch_)
      has_changed = queued.change(state) || has_changed;
    return has_changed;
  };
  proposer_.observe_ballot(context_.acceptor->promised());
  timeout_.begin();
  send_all(proposer_.begin_round(*base, apply_batch, now,
                                 context_.committed ? std::optional<Epoch>(context_.committed->epoch) : std::nullopt));
}

void ConsensusService::drop_expired_changes(Seconds now) {
  while (!queue_.empty() && queue_.front().until < now) {
    QueuedChange const expired = std::move(queue_.front());
    queue_.pop_front();
    expired.done(nullptr);
  }
}

/// Puts changes back before those submitted later.
void ConsensusService::requeue(std::vector<QueuedChange> changes) {
  queue_.insert(queue_.begin(), std::make_move_iterator(changes.begin()), std::make_move_iterator(changes.end()));
}

Seconds ConsensusService::round_timeout() const {
  std::vector<std::string> others;
  for (Member const& member : proposer_.base().membership)
    if (member.ip != context_.settings.ip) others.push_back(member.ip);
  return timeout_.timeout(others);
}

void ConsensusService::send_all(Proposer::Messages const& messages) {
  for (auto const& message : messages)
    send(message);
  end_round_if_decided();
}

void ConsensusService::send(OutgoingMessage const& message) {
  auto const* const prepare = std::get_if<PrepareRequest>(&message.request);
  auto const* const accept = std::get_if<AcceptRequest>(&message.request);
  if (message.to_ip == context_.settings.ip) {
    if (!context_.is_incarnation_durable) return;
    return prepare != nullptr ? prepare_at_own_disk(*prepare) : accept_at_own_disk(*accept);
  }
  PeerController& peer = context_.controller(message.to_ip);
  if (!peer.link) return;
  timeout_.asked(message.to_ip, accept == nullptr ? 0 : accept->state.size() + accept->delta.size(), steady_now());
  if (prepare != nullptr)
    peer.link->send(MessageType::prepare_request, 0, *prepare);
  else
    peer.link->send(MessageType::accept_request, 0, *accept);
}

void ConsensusService::prepare_at_own_disk(PrepareRequest const& request) {
  PrepareResponse response;
  Acceptor::PendingWrite write = context_.acceptor->prepare(request, response);
  auto const answer = [this, response] { send_all(proposer_.on_prepare_response(context_.settings.ip, response)); };
  if (!write.is_needed) return after(context_.loop, 0, answer);
  write_vote(std::move(write.rows), [answer](bool is_written) {
    if (is_written) answer();
  });
}

void ConsensusService::accept_at_own_disk(AcceptRequest const& request) {
  AcceptResponse response;
  Acceptor::PendingWrite write = context_.acceptor->accept(request, response);
  auto const answer = [this, response] { send_all(proposer_.on_accept_response(context_.settings.ip, response)); };
  if (!write.is_needed) return after(context_.loop, 0, answer);
  write_vote(std::move(write.rows), [this, answer, written = accepted()](bool is_written) {
    if (!is_written) return;
    durable_ = std::max(durable_, written);
    answer();
  });
}

void ConsensusService::end_round_if_decided() {
  if (!proposer_.is_over() || batch_.empty()) return;
  std::vector<QueuedChange> changes = std::exchange(batch_, {});
  Seconds const now = steady_now();
  if (proposer_.is_committed()) {
    ReplicatedState const base = proposer_.base();
    ReplicatedState const state = proposer_.value();
    lost_in_a_row_ = 0;
    announce_won_round(base, state);
    commit(state);
    if (proposer_.has_applied_change())
      for (QueuedChange& queued : changes)
        queued.done(&state);
    else  // the round first ended another controller's membership change
      requeue(std::move(changes));
  } else {
    ++lost_in_a_row_;
    next_round_at_ = now + (0.05 + 0.15 * random01()) * std::min(lost_in_a_row_, kMaxBackoffFactor);
    requeue(std::move(changes));
  }
  after(context_.loop, std::max(0.0, next_round_at_ - now), [this] { begin_round_if_due(); });
}

void ConsensusService::announce_won_round(ReplicatedState const& base, ReplicatedState const& state) {
  CommitNotice notice;
  notice.ballot = state.ballot;
  notice.delta = proposer_.delta().empty() ? codec::pack(delta_of(base, state)) : proposer_.delta();
  EncodedMessage const message = encode_message(MessageType::commit_notice, codec::pack(notice));
  for (auto& [ip, peer] : context_.controllers)
    if (peer.link) peer.link->send(message);
}

/// Writes the acceptor's vote as it is now, with those rows of the state that it changed.
void ConsensusService::write_vote(std::vector<StateRow> rows, std::function<void(bool is_written)> done) {
  writer_->write(context_.acceptor->vote_header(), std::move(rows), std::move(done));
}

/// Sends the acceptor's response once what it promises is on disk. A disk that fails to write does not vote.
template <class Response>
void ConsensusService::respond_when_durable(ConnectionPtr const& connection, MessageType type, u32 tag,
                                            Response const& response, Acceptor::PendingWrite write) {
  if (!write.is_needed) return connection->send(type, tag, response);
  std::weak_ptr<Connection> const weak_connection = connection;
  write_vote(std::move(write.rows),
             [this, weak_connection, type, tag, response, written = accepted()](bool is_written) {
               if (!is_written) return;
               durable_ = std::max(durable_, written);
               if (auto const open_connection = weak_connection.lock()) open_connection->send(type, tag, response);
             });
}

}  // namespace dockbend
