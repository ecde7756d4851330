/// \file
/// Idempotency at a controller: this disk's votes on keys, stored answers, and the backfill of a new disk.
#pragma once
#include "controller/controller_context.hpp"
#include "idempotency/key_backfill.hpp"
#include "idempotency/stored_answers.hpp"

namespace dockbend {

/// Invariants: a grant is answered only once it is on disk; a claim to another incarnation than our disk's is ignored,
/// and one of another epoch than our accepted value's is refused; nothing is granted while the keys are incomplete.
class IdempotencyService {
 public:
  /// filled: the number of the membership in which the disk's keys became complete (KeyBackfill::membership_id); 0:
  /// they are not. The keys of a disk that has left the membership since are incomplete, and no write is needed to
  /// record that.
  IdempotencyService(ControllerContext& h, u64 filled);

  /// If the keys are incomplete: asks the other members for theirs. A new disk copies those of a majority before it
  /// votes.
  void rebuild(Seconds now);

  /// A member sent a page of its keys.
  void rebuilt(std::string const& ip, KeyCopyResponse const& response);

  /// Votes on a claim over ch, once the vote is on disk. Claims to another incarnation are fenced here;
  /// KeyTable::claim fences those of another epoch.
  void claim(ConnectionPtr const& ch, u32 tag, ClaimRequest const& c);

  /// Stores a first answer, without confirmation. relay: send a copy to one other controller of the answer's home
  /// regions, of our own region if there is one.
  void store(std::string_view body, bool relay);

  sigc::signal<void()> on_whole;  ///< the keys are complete: our disk votes on claims from now on

  /// Takes over the keys and the sizes of the stored answers that are on disk at the start.
  void load(std::vector<StoredKey> const& keys, std::vector<StoredAnswerSize> const& rets);
  /// The holder gives the key back.
  void release(ReleaseRequest const& r);
  /// Sends the stored answer of a key over ch, or that there is none.
  void fetch(ConnectionPtr const& ch, u32 tag, FetchAnswerRequest const& f);
  /// Sends pages of our keys over the connection, for a disk that fills itself; one that is not ok if ours are
  /// incomplete or our epoch is older than its own.
  void answer_copy_request(Connection& connection, u32 tag, KeyCopyRequest request);
  /// The committed membership has changed.
  void roster_changed();
  /// Sends our stored answers to that peer, the newest first, at most 100 at each call; true once all are sent.
  bool hand_on(std::string const& ip);
  /// Drops keys and stored answers older than key_binding_time().
  void forget_old(Seconds now);
  KeyTable const& ledger() const;  ///< this disk's keys

 private:
  // The number of our disk's membership in that state (KeyBackfill::membership_id); 0: it is no member.
  u64 since_in(ReplicatedState const& s) const;
  // Updates whether the keys are complete: they are if they were filled in the membership that s names.
  void fit(std::optional<ReplicatedState> const& s);

  /// The other members that can be reached, those of our region first.
  std::vector<std::string> copy_candidates() const;
  void store_copied(KeyBackfill::Progress const& progress);
  /// Writes the last keys of a backfill, and then counts the table as complete.
  void complete_backfill(std::vector<StoreOperation> operations);

  void send_stored(AnswerId const& id, std::string const& ip);
  void forget_old_answers(Seconds now);
  Seconds horizon() const;

  ControllerContext& context_;
  KeyTable ledger_;
  KeyBackfill backfill_;
  StoredAnswers answers_;
  bool is_completing_ = false;                // the last keys of a backfill are being written
  Epoch fit_at_{~0ULL};                       // the epoch for which fit() was last called
  std::string handing_;                       // the peer that gets our stored answers
  StoredAnswers::Number handed_down_to_ = 0;  // it has those from this one on
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("controller");
};

}  // namespace dockbend
