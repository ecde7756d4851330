#pragma once
#include <array>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "consensus/replicated_state.hpp"
#include "idempotency/claim_quorum.hpp"
#include "idempotency/key_backfill.hpp"
#include "model_checking/explore.hpp"

/// \file
/// The state of the idempotency model: disks, claimants and the messages between them, all of it a value.

namespace dockbend::model_checking {

/// What is done wrong, if anything; see faults.hpp.
struct IdempotencyFaults {
  bool votes_before_complete = false;
  bool ignores_epoch = false;
  bool copies_from_too_few = false;
  bool copies_under_old_epoch = false;
  bool copies_unwritten_state = false;
  bool removes_members_freely = false;
  bool returns_as_complete = false;
};

/// Claims on one key across membership changes. KeyTable, ClaimQuorum, KeyBackfill and the membership rules of
/// ReplicatedState are the real ones; the consensus on a membership change is reduced to who has accepted it
/// (ConsensusModel has it in full).
///
/// Judged: no two holders ever win the key.
class IdempotencyWorld {
 public:
  /// The kinds of events. Their order is that of `words`, of weights and of recorded traces.
  enum class Event : u8 {
    ask_in,   ///< a disk asks to become a member, or reports that its keys are complete
    step,     ///< a round begins: a = 0, with what was asked (b); a = 1, to remove a member (b)
    abandon,  ///< the round is given up
    move,     ///< a disk (a) accepts the membership change; b = 1: its write waits
    learn,    ///< a disk learns the newest committed value
    view,     ///< a claimant sees the newest membership
    claim,    ///< a claimant (a) claims on a disk (b); c = 1: the answer waits
    hear,     ///< an answer that waited arrives
    give_up,  ///< a claimant gives up
    release,  ///< the release of a claimant (a) reaches a disk (b)
    copy,     ///< a disk (a) copies the keys of another one (b); c = 1: the answer waits
    copied,   ///< a copy that waited arrives
    restart,  ///< a disk's process restarts: it has what was written
    wipe,     ///< a disk is lost and replaced by an empty one
    sync      ///< a disk writes what waits
  };
  static constexpr std::size_t kEventCount = 15;
  static constexpr std::array<char const*, kEventCount> words{"ask_in", "step",   "abandon", "move",    "learn",
                                                              "view",   "claim",  "hear",    "give_up", "release",
                                                              "copy",   "copied", "restart", "wipe",    "sync"};

  IdempotencyWorld(Bounds const& bounds, IdempotencyFaults const& faults);

  /// \name What explore.hpp asks of a model
  /// \{
  std::string const& breach() const { return breach_; }
  static u32 weight(Action const& action);
  void settle() {}  ///< the judgement holds at any time
  void actions(std::vector<Action>& possible) const;
  bool step(Action const& action);
  u64 digest() const;
  std::string describe(Action const& action) const;
  /// \}

 private:
  using StatePointer = std::shared_ptr<ReplicatedState const>;
  struct KeyEntry {
    u64 holder = 0;
    bool is_sealed = false;
  };
  struct ClaimAnswer {
    u32 disk = 0, claimant = 0;
    ClaimResponse response;
  };
  struct CopyAnswer {
    u32 from = 0, to = 0;
    KeyCopyResponse response;
  };
  /// What was written.
  struct Disk {
    Incarnation incarnation;
    StatePointer accepted;
    u64 completed_in = 0;  ///< see KeyBackfill::membership_id()
    std::optional<KeyEntry> key;
  };
  /// A controller's process and its disk.
  struct Node {
    Incarnation incarnation;
    StatePointer accepted;   ///< perhaps not written yet
    StatePointer committed;  ///< known here to be
    KeyTable table{false};
    KeyBackfill backfill{0};
    std::optional<KeyEntry> key;  ///< what the table has
    Disk disk;
    Epoch committed_epoch() const { return committed ? committed->epoch : Epoch(0); }
    bool has_unwritten_state() const { return disk.accepted != accepted; }
  };
  struct Claimant {
    StatePointer view;  ///< the value whose membership it claims under
    ClaimQuorum quorum{1, Epoch(0)};
    u32 sent_to = 0;  ///< a bit for each disk that may hold its claim
    u32 asked = 0;    ///< a bit for each disk asked under this view
    bool is_over = false, has_won = false;
  };

  u32 node_count() const { return static_cast<u32>(nodes_.size()); }
  static u64 holder_of(u32 claimant) { return 11 + claimant; }
  Member const* member_of(ReplicatedState const& state, u32 node) const;
  u64 membership_id(ReplicatedState const& state, u32 node) const;
  bool needs_copy(u32 node, u32 from) const;

  void add_node_actions(u32 node, std::vector<Action>& possible) const;
  void add_round_actions(std::vector<Action>& possible) const;
  void add_claimant_actions(u32 claimant, std::vector<Action>& possible) const;
  void add_to_digest(Node const& node, u64& digest) const;

  // The membership.
  bool may_ask_in(u32 node) const;
  bool may_accept(u32 node) const;
  bool may_wipe(u32 node) const;
  Member request_of(u32 node) const;
  bool ask_in(u32 node);
  bool begin_requested(u32 request);
  bool begin_removal(u32 node);
  bool begin_round(ReplicatedState state);
  bool abandon_round();
  bool accept(u32 node, bool write_waits);
  bool learn(u32 node);
  void commit_if_accepted();

  // Disks.
  void update_completeness(u32 node);
  void write(u32 node);
  bool restart(u32 node);
  bool wipe(u32 node);
  void start(u32 node);

  // Claims.
  void open_claim(Claimant& claimant);
  bool see_membership(u32 claimant);
  bool claim(u32 claimant, u32 node, bool answer_waits);
  ClaimResponse vote(u32 claimant, u32 node, Member const& member, Epoch view_epoch);
  bool deliver_answer(u32 index);
  void on_answer(ClaimAnswer const& answer);
  bool give_up(u32 claimant);
  bool release(u32 claimant, u32 node);

  // Copies.
  bool copy(u32 node, u32 from, bool answer_waits);
  bool deliver_copy(u32 index);
  void on_copy(CopyAnswer const& answer);

  IdempotencyFaults faults_;
  Bounds left_;  ///< how much of everything may still happen
  StatePointer committed_, proposed_;
  std::set<std::pair<u32, u64>> accepted_by_;  ///< node and incarnation: who has written the proposed value
  std::vector<Node> nodes_;
  std::vector<Claimant> claimants_;
  std::vector<ClaimAnswer> waiting_answers_;
  std::vector<CopyAnswer> waiting_copies_;
  std::vector<Member> requests_;  ///< to be taken in; each may be repeated and stay for any time
  u64 last_ballot_ = 0, next_incarnation_ = 0;
  std::string breach_;
};

}  // namespace dockbend::model_checking
