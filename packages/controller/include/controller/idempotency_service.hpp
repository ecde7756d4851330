// The desk of the keys: this disk's votes on them, first answers, and filling a new disk.
#pragma once
#include <deque>
#include <set>

#include "controller/controller_context.hpp"
#include "idempotency/key_backfill.hpp"

namespace dockbend {

class IdempotencyService {
 public:
  // filled: the membership in which the disk's keys became whole, plus one; 0: they are not.
  // A disk that left the roster since is not whole, and no write has to say so.
  IdempotencyService(ControllerContext& h, u64 filled);

  // A new disk copies the keys of a majority of the others before it votes.
  void rebuild(Seconds now);

  void rebuilt(std::string const& ip, KeyCopyResponse const& r);

  void claim(ConnectionPtr const& ch, u32 tag, ClaimRequest const& c);

  // A first answer goes to disk; nobody waits for it. Its first keeper hands one
  // copy to another home disk, a near one if there is one.
  void store(std::string_view body, bool relay);

  sigc::signal<void()> on_whole;  // our disk votes on keys from now on

  void load(std::vector<StoredKey> const& keys, std::vector<StoredAnswerSize> const& rets);
  void release(ReleaseRequest const& r);
  void fetch(ConnectionPtr const& ch, u32 tag, FetchAnswerRequest const& f);
  KeyCopyResponse copy_for(KeyCopyRequest const& q);
  void roster_changed();
  // Hands our first answers to that mate, the newest first, some at each call; true once
  // all are on their way.
  bool hand_on(std::string const& ip);
  void forget_old(Seconds now);
  KeyTable const& ledger() const;

 private:
  // The membership of our disk in that roster.
  u64 since_in(ReplicatedState const& s) const;
  // Whole is what was filled in this very membership.
  void fit(std::optional<ReplicatedState> const& s);

  struct Kept {
    std::string key;
    Seconds at = 0;
    std::size_t bytes = 0;
  };

  ControllerContext& context_;
  KeyTable ledger_;
  KeyBackfill copying_;
  std::deque<Kept> ret_order_;  // oldest first
  std::size_t ret_bytes_ = 0;   // of all in it
  bool filling_ = false;
  Epoch fit_at_{~0ULL};  // the epoch for which that was last looked at
  std::string handing_;  // to whom our first answers go
  std::size_t hand_ix_ = 0;
  Seconds rebuild_at_ = 0;
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("controller");
};

}  // namespace dockbend
