// The desk of the register: our disk's vote, our own rounds, the value in force and
// who is told of it.
#pragma once
#include <sys/stat.h>

#include <algorithm>
#include <deque>

#include "consensus/proposer.hpp"
#include "consensus/round_timeout.hpp"
#include "consensus/state_chunk.hpp"
#include "controller/controller_context.hpp"

namespace dockbend {

// Invariants: nothing is said in a life's name before that life is on disk; durable is
// the ballot of the newest value on our own disk; calls wait in their order, and those of
// a round that was lost come before the ones that came later.
class ConsensusService {
 public:
  explicit ConsensusService(ControllerContext& h);

  sigc::signal<void()> on_view;          // the view changed; before the nodes we feed hear of it
  sigc::signal<void(bool)> on_value;     // a value is in force; true: its roster is another
  sigc::signal<void()> on_first_failed;  // the disk took no first write

  // Opens the disk and reads back what it holds. A disk that can't be read whole is as one
  // that was lost: it begins a new life, and has no vote until the roster names that.
  StoredState open();
  // What was read back and is known to stand is in force from the start.
  void show_first();

  Ballot ballot() const;
  Ballot accepted() const;
  Ballot durable() const;
  bool quiet() const;
  // Disks that may be lost at once with a majority left.
  std::size_t tolerated_disk_losses() const;

  void submit(std::function<bool(ReplicatedState&)> change, std::function<void(ReplicatedState const*)> done,
              Seconds patience);

  // ---- other members -----------------------------------------------------------------
  // What mates say of the value they hold on disk. Once a majority holds ours, it
  // is committed; after a start of the whole core nobody else could tell us.
  void holds(std::string const& ip, Incarnation incarnation, Ballot acc);
  // The way to a mate is up: what it missed of our round, and what we may have missed.
  void reached(std::string const& ip, PeerLink& l);
  // A mate has the value of b in force.
  void ahead(PeerController& m, Ballot b, Seconds now);
  // A piece of the value in force at a mate; the next is asked of the same one.
  void piece(std::string const& ip, StateChunk const& x, Seconds now);
  void on_prepare_response(std::string const& ip, PrepareResponse const& r);
  void on_accept_response(std::string const& ip, AcceptResponse const& r);
  void prep(InboundSession& p, u32 tag, PrepareRequest const& q, Seconds now);
  void acc(InboundSession& p, u32 tag, AcceptRequest const& a);
  void pull(InboundSession& p, CatchUpRequest const& q);
  // What a node that has the view of `have` lacks of ours.
  EncodedMessage lacking(Ballot have);

  void commit(CommitNotice const& c, std::string const& from);

  // ---- time --------------------------------------------------------------------------
  void begin(Seconds now);
  void tick(Seconds now);
  // A value accepted but not known to be committed is brought to an end.
  void finish(Seconds now);

 private:
  static std::size_t constexpr piece_bytes = 256 * 1024;
  struct Call {
    std::function<bool(ReplicatedState&)> change;
    std::function<void(ReplicatedState const*)> done;  // null: not known to stand
    Seconds until = 0;
  };

  CatchUpRequest lacks() const;

  // Our vote as it is now, with what it changed of the value.
  void vote(std::vector<StateRow> rows, std::function<void(bool)> done);

  template <class R>
  void reply_after(ConnectionPtr const& ch, MessageType k, u32 tag, R const& r, Acceptor::PendingWrite s) {
    if (!s.is_needed) {
      ch->send(k, tag, r);
      return;
    }
    std::weak_ptr<Connection> const w = ch;
    vote(std::move(s.rows), [this, w, k, tag, r, b = accepted()](bool ok) {
      if (!ok) return;  // a disk that takes nothing does not vote
      durable_ = std::max(durable_, b);
      if (auto const c = w.lock()) c->send(k, tag, r);
    });
  }

  ReplicatedState const* best() const;

  // Another's round is under way: two that outbid each other would both be late.
  // The wait is only courtesy; safety never rests on it.
  void give_way(Ballot b, Seconds now);

  void pump();

  Seconds round_patience() const;

  void outs(Proposer::Messages const& v);

  void send_out(OutgoingMessage const& message);

  // A request of our own proposer to our own acceptor.
  void prepare_here(PrepareRequest const& request);
  void accept_here(AcceptRequest const& request);

  void round_over();

  // Takes a committed value: in force from now on.
  void learn(ReplicatedState const& s);

  // Tells the nodes we feed what they go by, if it changed, and remembers when each
  // item did, so that who missed some gets just those.
  void show(ReplicatedState const* old, ReplicatedState const& s);

  void see_partner(ConfigItem const& i);

  ControllerContext& context_;
  Proposer proposer_;
  RoundTimeout patience_;
  ChunkAssembler gather_;  // of a value that comes in pieces
  Seconds piece_at_ = -1;  // when the last one came
  std::unique_ptr<VoteWriter<AsyncStore>> writer_;
  std::deque<Call> calls_;
  std::vector<Call> batch_;
  EncodedMessage whole_;  // the whole view, ready to send
  Ballot whole_of_;
  Ballot changed_since_;                   // from here on `changed_` is whole
  std::map<std::string, Ballot> changed_;  // item -> view that last changed it
  Ballot durable_;                         // of the newest value on our own disk
  int losses_ = 0;
  Ballot way_for_;
  Seconds way_until_ = 0, finish_at_ = 0, next_round_ = 0;
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("controller");
};

}  // namespace dockbend
