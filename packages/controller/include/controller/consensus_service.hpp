/// This controller's part in consensus: its disk's votes, its own rounds, and the committed state.
#pragma once
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "consensus/proposer.hpp"
#include "consensus/round_timeout.hpp"
#include "consensus/state_chunk.hpp"
#include "controller/controller_context.hpp"
#include "controller/view_publisher.hpp"

namespace dockbend {

/// Owns the proposer and writes the acceptor's votes to disk. Sets `ControllerContext::committed`, and nobody else
/// does. Runs on the event loop; the disk answers there too.
///
/// Invariants: nothing is sent in the name of an incarnation before that incarnation is on disk; `durable_` is the
/// ballot of the newest state on our own disk; changes wait in their order, and those of a lost round come before the
/// ones submitted later.
class ConsensusService {
 public:
  using Change = std::function<bool(ReplicatedState&)>;         // applies it; false: nothing to change
  using Outcome = std::function<void(ReplicatedState const*)>;  // the committed state; null: not known to be committed

  explicit ConsensusService(ControllerContext& context);

  /// The view changed; emitted before the sessions hear of it.
  sigc::signal<void()>& on_view() { return publisher_.on_view; }
  /// See ViewPublisher::on_items_changed.
  auto& on_items_changed() { return publisher_.on_items_changed; }
  sigc::signal<void(bool membership_changed)> on_committed;
  /// A new disk took no first write: this controller can't vote.
  sigc::signal<void()> on_first_write_failed;

  /// Opens the disk and reads back what it holds. A disk that can't be read completely counts as lost: it begins a new
  /// incarnation and has no vote until the membership names that.
  StoredState open();
  /// Publishes what was read back, if it is known to be committed.
  void publish_restored();

  Ballot ballot() const;    // of the committed state; 0: none
  Ballot accepted() const;  // of the state that our acceptor has; 0: none
  Ballot durable() const { return durable_; }
  bool is_idle() const { return queue_.empty() && batch_.empty(); }
  /// Disks that may be lost at once with a majority left.
  std::size_t tolerated_disk_losses() const;

  /// Brings a change into the replicated state. `done` is called once, after `patience` seconds at the latest before
  /// a round with the change begins.
  void submit(Change change, Outcome done, Seconds patience);

  // ---- what peers send --------------------------------------------------------------------------------------
  /// A peer says which state it has on disk. Once a majority has ours, ours is committed: after a start of all
  /// controllers nobody else could tell us.
  void on_peer_state(std::string const& ip, Incarnation incarnation, Ballot accepted);
  /// The link to a peer is up: it gets what it missed of our round, and is asked for what we missed.
  void on_link_up(std::string const& ip, PeerLink& link);
  /// A peer has the state of that ballot committed.
  void on_peer_ballot(PeerController& peer, Ballot ballot, Seconds now);
  /// A chunk of a peer's committed state; the next one is requested from the same peer.
  void on_state_chunk(std::string const& ip, StateChunk const& chunk, Seconds now);
  void on_prepare_response(std::string const& ip, PrepareResponse const& response);
  void on_accept_response(std::string const& ip, AcceptResponse const& response);
  void on_prepare_request(InboundSession& session, u32 tag, PrepareRequest const& request, Seconds now);
  void on_accept_request(InboundSession& session, u32 tag, AcceptRequest const& request);
  void on_catch_up_request(InboundSession& session, CatchUpRequest const& request);
  /// A commit, or an answer to our catch-up request. Throws codec::MalformedMessage.
  void on_commit(CommitNotice const& notice, std::string const& from);
  /// A message with what a session that has the view `have` lacks.
  EncodedMessage view_missing_since(Ballot have) { return publisher_.missing_since(have); }

  // ---- periodic work ----------------------------------------------------------------------------------------
  /// Sets when `finish_open_state` may first start a round; by chance, so that not all controllers do.
  void schedule_first_finish(Seconds now);
  /// Abandons a round that takes too long, and begins the next one if changes wait.
  void tick(Seconds now);
  /// A state that was accepted but is not known to be committed is brought to an end by a round of its own.
  void finish_open_state(Seconds now);

 private:
  struct QueuedChange {
    Change change;
    Outcome done;
    Seconds until = 0;
  };

  // Start
  StoredState load_disk(std::string const& directory);
  bool is_seed() const;
  ReplicatedState founding_state() const;
  void write_first_vote(StoredState const& stored, bool is_founder);

  // Rounds
  void begin_round_if_due();
  void drop_expired_changes(Seconds now);
  void requeue(std::vector<QueuedChange> changes);
  Seconds round_timeout() const;
  void send_all(Proposer::Messages const& messages);
  void send(OutgoingMessage const& message);
  void prepare_at_own_disk(PrepareRequest const& request);
  void accept_at_own_disk(AcceptRequest const& request);
  void end_round_if_decided();
  void announce_won_round(ReplicatedState const& base, ReplicatedState const& state);
  void yield_to(Ballot ballot, Seconds now);

  // State
  ReplicatedState const* newest_state() const;
  ReplicatedState const* delta_base(Ballot base) const;
  std::optional<StateDelta> history_since(Ballot have, Ballot committed) const;
  bool is_on_disk_at(Member const& member, Ballot ballot) const;
  void commit(ReplicatedState const& state);
  CatchUpRequest own_catch_up_request() const;
  void request_catch_up(std::string const& ip);
  void write_vote(std::vector<StateRow> rows, std::function<void(bool is_written)> done);
  template <class Response>
  void respond_when_durable(ConnectionPtr const& connection, MessageType type, u32 tag, Response const& response,
                            Acceptor::PendingWrite write);

  ControllerContext& context_;
  ViewPublisher publisher_;
  Proposer proposer_;
  RoundTimeout timeout_;
  std::unique_ptr<VoteWriter<AsyncStore>> writer_;
  std::deque<QueuedChange> queue_;
  std::vector<QueuedChange> batch_;  // the changes of the round that runs
  ChunkAssembler chunks_;            // of a state that comes in chunks
  Seconds chunk_at_ = -1;            // when the last one came
  Ballot durable_;
  int lost_in_a_row_ = 0;
  Ballot yielding_to_;  // another controller's round, let alone until yield_until_
  Seconds yield_until_ = 0, next_finish_at_ = 0, next_round_at_ = 0;
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("controller");
};

}  // namespace dockbend
