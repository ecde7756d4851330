// The disk's file: SQLite, one table a kind. Blocks; has no thread.
#pragma once
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "consensus/vote_writer.hpp"

struct sqlite3_stmt;

namespace dockbend {

struct StoredKey {
  std::string key;
  u64 holder = 0;
  bool sealed = false;
};

// The file is not what was written: torn, cut off, bits turned over, or older than what was said.
struct StorageCorruption : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// What a disk holds when it is opened. Invariant: value is there only whole, as head says.
struct StoredState {
  bool fresh = false;  // nothing was ever written here
  std::optional<VoteHeader> head;
  std::optional<ReplicatedState> value;
  u64 keys_filled = 0;  // the membership in which the keys became whole, plus one; 0: they are not
  std::vector<StoredKey> keys;
  std::vector<std::string> servers;
  std::vector<std::pair<std::string, std::size_t>> answers;  // key, bytes
  std::string sites;
};

// Invariants: a write is on disk whole or not at all, and said to be only once it was synced;
// the mark beside the file never names a vote that the file did not hold synced.
class DiskStore {
 public:
  static int constexpr layout = 2;
  struct Op {
    enum class What {
      meta,
      put_key,
      drop_key,
      put_row,
      drop_row,
      put_ret,
      drop_ret,
      put_value,
      drop_value
    } what = What::meta;
    std::string k, v;
    u64 holder = 0;
    bool sealed = false;
  };
  static Op put_meta(std::string k, std::string v) {
    Op o;
    o.k = std::move(k);
    o.v = std::move(v);
    return o;
  }
  // Meta `whole` once the disk holds all keys of that membership (StoredState::keys_filled); no flip
  // of a bit makes it.
  static std::string whole_word(u64 filled) { return sealed(std::to_string(filled)); }
  struct Write {
    std::vector<Op> ops;
    std::optional<VoteWrite> vote;
    bool ok = false;
  };

  // Opens (or makes) the file in dir. Throws Unreadable; SettingsError if a newer program wrote
  // it, and touches nothing then; std::runtime_error if the disk won't have it.
  explicit DiskStore(std::string const& dir);
  ~DiskStore();
  DiskStore(DiskStore const&) = delete;

  StoredState load();  // before the first commit; throws Unreadable
  // All or none, and sets each ok; a vote whose base the file does not hold is left out.
  void commit(std::vector<Write*> const& all);
  std::string answer(std::string const& key);  // "" if there is none

  // Durably puts an unreadable file out of the way. Its log goes after it: without the log
  // the file would be an older one. Throws std::runtime_error.
  static void set_aside(std::string const& dir);

 private:
  void make_or_migrate(bool empty);
  bool put(Op const& o);
  bool put_vote(VoteWrite const& v);
  struct Db;
  std::string dir_;
  std::unique_ptr<Db> db_;
  u64 seq_ = 0;  // of the vote in the file
};

}  // namespace dockbend
