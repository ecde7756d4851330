// Brings one batch of changes through: promises from a majority, change, accepts
// from a majority of the old roster and of the new one. No I/O.
//
// Invariant: the roster moves only upon a step that is known to be won. Upon one that
// is not, both its rosters count, for promises and for accepts, and the round writes
// the value found again and changes nothing.
#pragma once
#include <functional>
#include <set>

#include "consensus/replicated_state.hpp"

namespace dockbend {

class Proposer {
 public:
  // Changes the value in place; false if nothing needs writing.
  using Change = std::function<bool(ReplicatedState&)>;
  struct Out {
    std::string ip;
    bool is_prep = true;
    PrepareRequest prep;
    AcceptRequest acc;
  };
  enum class Phase { idle, preparing, accepting };

  // What leads from the value of one ballot to that of another, if our own disk knows.
  using Leads = std::function<std::optional<StateDelta>(Ballot have, Ballot ballot)>;
  explicit Proposer(std::string const& my_ip, Leads leads = nullptr);

  // best: the newest value known here, won or not; known: the epoch of the newest value
  // known to be won. Begins a round with every change queued.
  std::vector<Out> begin(ReplicatedState const& best, Change change, Seconds now, std::optional<Epoch> known);
  std::vector<Out> on_prep(std::string const& from, PrepareResponse const& r);
  std::vector<Out> on_acc(std::string const& from, AcceptResponse const& r);
  std::vector<Out> resend(std::string const& ip);  // after the channel to ip came back

  bool idle() const { return phase_ == Phase::idle; }
  void abandon() { phase_ = Phase::idle; }
  // Set once the round is over.
  bool done() const { return done_; }
  bool won() const { return won_; }
  // False: the round only brought another's step of the roster to its end.
  bool changed() const { return settled(); }
  ReplicatedState const& value() const { return next_; }  // valid once won
  ReplicatedState const& base() const { return best_; }
  std::string const& delta() const { return delta_; }  // empty: founding value, no base
  Seconds since() const { return since_; }
  Phase phase() const { return phase_; }
  Ballot ballot() const { return bal_; }
  u64 counter() const { return counter_; }
  std::set<std::string> const& promised() const { return promised_; }  // "ip/life" each
  std::set<std::string> const& accepted() const { return accepted_; }
  void saw(Ballot b) { counter_ = std::max(counter_, b.v >> 32); }

 private:
  // Is what was found not a step of the roster, or one known to be won?
  bool settled() const { return best_.previous_membership.empty() || known_ == best_.epoch; }
  std::vector<Out> ask_for_promises();
  std::vector<std::vector<Member> const*> voters() const;
  std::vector<Out> try_accept();
  Ballot have() const { return first_ ? first_->ballot : best_.ballot; }
  AcceptRequest acc_for(Member const& m, bool full, Ballot have = Ballot()) const;

  u64 node_;
  u64 counter_ = 0;
  Phase phase_ = Phase::idle;
  bool done_ = false, won_ = false;
  Seconds since_ = 0;
  Ballot bal_;
  std::optional<Epoch> known_;
  ReplicatedState best_, next_;
  std::optional<ReplicatedState> first_;  // what the members were told that we have, once best_ is newer
  Leads leads_;
  Change change_;
  std::string delta_;               // from best_ to next_, packed once for all
  std::set<std::string> asked_;     // "ip/life" asked for a promise
  std::set<std::string> promised_;  // "ip/life" that promised bal_
  std::set<std::string> accepted_;  // "ip/life" that accepted bal_
};

}  // namespace dockbend
