// A duty that one node at a time carries out, held by a term in the register. No I/O.
#pragma once
#include <optional>

#include "consensus/replicated_state.hpp"

namespace dockbend {

struct LeaseOptions {
  Seconds lease = 3;     // leaseTermS
  Seconds margin = 0.4;  // for timers that fire late, on either side
  Seconds renew = 1.0;
};

struct HandOverCommand {  // an operator's word to the holder of that fence
  DB_RECORD(HandOverCommand, (std::string, duty), (std::string, node), (u64, fence));
};

// One node's part in one duty. Invariants:
// - it acts only under a renewal that a majority holds, and only while the steady
//   clock, counted from before that renewal was asked for, leaves room for the whole
//   of the call before lease - margin;
// - it takes a term over only after it saw the same fence and counter stand for
//   lease + margin in this life, or as the one whom the holder named;
// - having held it before, or just begun, it does not act again before lease + margin
//   have passed since: nobody comes back inside a term (A, B, A);
// - once it has handed over it acts no more under that fence.
class LeaseClient {
 public:
  LeaseClient(std::string duty, std::string node, std::string ip, LeaseOptions p, Seconds now);

  // The term as the register has it.
  void seen(Lease const* t, Seconds now);

  enum class Action { none, take, renew, hand };
  // What to ask of the register now; fit: this node may carry the duty out at all.
  Action step(Seconds now, bool fit);
  // The change for that move. True if it applied; the term in s is ours then.
  struct Proposal {
    Action move = Action::none;
    u64 fence = 0, counter = 0;  // what it rests on
    Seconds at = 0;              // when it was asked
    std::string next;
  };
  Proposal ask(Action m, Seconds now);
  bool apply(ReplicatedState& s, Proposal const& a) const;
  // How the register answered: stood is true only if the change is known to stand.
  void answered(Proposal const& a, bool stood, Seconds now);

  // Gives it to `next` (a node's name); false if this node does not hold it.
  bool hand_over(std::string const& next);
  // Between hand_over() and the register's word.
  bool handing() const { return handing_; }

  // May a call that ends within `need` be sent now?
  bool may_act(Seconds now, Seconds need) const;
  // Would it be let act at once if the duty were handed to it?
  bool free(Seconds now) const { return now - left_ >= still() && now - born_ >= still(); }
  bool holds() const { return held_ && !handing_; }
  u64 fence() const { return fence_; }
  std::string const& name() const { return duty_; }
  Seconds since() const { return held_since_; }

 private:
  Seconds still() const { return p_.lease + p_.margin; }
  std::string duty_, node_, ip_, next_;
  LeaseOptions p_;
  Lease term_;           // newest seen
  Seconds term_at_ = 0;  // when its fence, counter or next last changed in our sight
  Seconds born_, wait_ = 0, asked_ = -1e9, held_since_ = 0;
  Seconds until_ = 0;       // acts until then
  Seconds left_ = -1e9;     // when it last ceased to hold
  Seconds renewed_ = -1e9;  // when the newest renewal that stood was asked
  u64 fence_ = 0;
  bool held_ = false, handing_ = false, handed_ = false, asking_ = false, first_ = false;
};

}  // namespace dockbend
