// One disk's part of the keys: who holds a key. First come, and only one.
#pragma once
#include <deque>
#include <unordered_map>
#include <unordered_set>
#include "base/record.hpp"

#include "wire/codec.hpp"

namespace dockbend {

enum class ClaimVote : u8 { granted = 1, held = 2, epoch = 3, unready = 4 };

struct ClaimRequest {
  DB_RECORD(ClaimRequest, (std::string, key), (u64, holder), (Epoch, epoch), (Incarnation, incarnation),
            (u32, work_ms));
};
// holder: whose claim this answers.
struct ClaimResponse {
  DB_RECORD(ClaimResponse, (ClaimVote, say), (u64, holder), (Epoch, epoch), (Incarnation, incarnation),
            (bool, at_work));
};
struct ReleaseRequest {
  DB_RECORD(ReleaseRequest, (std::string, key), (u64, holder));
};
// A first answer, kept in the key's home regions only.
struct StoredAnswer {
  DB_RECORD(StoredAnswer, (std::string, key), (u64, holder), (u32, code), (std::string, reason),
            (std::vector<std::string>, heads), (std::string, body), (bool, lost), (std::vector<std::string>, homes));
};
struct FetchAnswerRequest {
  DB_RECORD(FetchAnswerRequest, (std::string, key));
};
struct FetchAnswerResponse {
  DB_RECORD(FetchAnswerResponse, (bool, have), (std::string, ret));
};
struct KeyCopyRequest {
  DB_RECORD(KeyCopyRequest, (Epoch, epoch), (u32, part));
};
struct HeldKey {
  DB_RECORD(HeldKey, (std::string, key), (u64, holder));
};
struct KeyCopyResponse {
  // epoch: of the disk that was copied; nothing was granted under an earlier one after that.
  DB_RECORD(KeyCopyResponse, (bool, ok), (Incarnation, incarnation), (std::vector<HeldKey>, keys), (Epoch, epoch));
};

// Invariants: a key has one holder until released by that holder or forgotten
// after the horizon; a sealed entry (copied from others) is never granted again,
// not even to its own holder; one that was copied with two holders is nobody's, and no
// holder's release frees it, for the other may have run; nothing is granted before the ledger is whole.
class KeyTable {
 public:
  struct Entry {
    u64 holder = 0;
    bool sealed = false;
    bool durable = false;
    Seconds since = 0, work_until = 0;
  };
  explicit KeyTable(bool whole) : whole_(whole) {}

  // granted: put it on disk, then call durable() and reply.
  ClaimVote claim(ClaimRequest const& c, Epoch mine, Seconds now, ClaimResponse& r);
  // The write of this holder's entry came to its end; true: the grant stands and may be
  // said. It may have been released, and given to another, while it was written.
  bool written(std::string const& key, u64 holder, bool ok);
  // Whoever released claims no more: a claim of it that comes later was overtaken.
  bool release(ReleaseRequest const& r);
  u64 late() const { return late_; }  // claims that their release had overtaken
  static constexpr u64 nobody = 0;
  // The holder to keep on disk.
  u64 seal(std::string const& key, u64 holder, Seconds now);
  // Drops what is older than the horizon; the names dropped are returned.
  std::vector<std::string> forget(Seconds horizon, Seconds now, std::size_t most);
  void load(std::string const& key, u64 holder, bool sealed, Seconds now);
  std::vector<HeldKey> all() const;
  bool whole() const { return whole_; }
  void set_whole(bool w = true) { whole_ = w; }
  std::size_t size() const { return m_.size(); }

 private:
  static constexpr std::size_t most_given_up = 4096;
  bool whole_;
  std::unordered_map<std::string, Entry> m_;
  std::unordered_set<u64> given_up_;  // holders that released lately, the newest of them
  std::deque<u64> given_up_order_;
  u64 late_ = 0;
};

// The asker's side: counts grants until a majority of one epoch's roster holds.
class ClaimQuorum {
 public:
  enum class Result { open, granted, held, failed };
  ClaimQuorum(std::size_t membership, Epoch e) : n_(membership), epoch_(e) {}
  // from: "ip/life" as in the roster. A say of another epoch does not count.
  Result hear(std::string const& from, ClaimResponse const& r);
  bool at_work() const { return at_work_; }
  bool stale() const { return stale_; }
  Epoch epoch() const { return epoch_; }
  std::size_t grants() const { return yes_.size(); }
  std::size_t refusals() const { return no_.size(); }

 private:
  std::size_t n_;
  Epoch epoch_;
  bool at_work_ = false, stale_ = false;
  std::vector<std::string> yes_, no_;
};

}  // namespace dockbend
