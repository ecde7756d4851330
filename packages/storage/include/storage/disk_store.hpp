/// The disk's file: SQLite, one table for each kind of record. Blocks; has no thread of its own.
#pragma once
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "consensus/vote_writer.hpp"
#include "storage/store_operation.hpp"

namespace dockbend {

/// A claimed key as it was stored, under the operation's storage key.
struct StoredKey {
  std::string key;
  u64 holder = 0;
  bool sealed = false;  ///< copied, and never granted again
};
/// A stored answer, without its bytes: DiskStore::answers() reads them. `key`: as AnswerId::storage_key() makes it.
struct StoredAnswerSize {
  std::string key;
  std::size_t bytes = 0;
};

/// The file is not what was written: torn, cut off, with flipped bits, or older than what was acknowledged.
struct StorageCorruption : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// What a disk holds when it is opened. Invariant: `value` is complete, as `head` says.
struct StoredState {
  bool is_fresh = false;  ///< nothing was ever written here
  std::optional<VoteHeader> head;
  std::optional<ReplicatedState> value;
  u64 keys_filled = 0;  ///< the membership in which the keys became complete, plus one; 0: they are not
  std::vector<StoredKey> keys;
  std::vector<std::string> servers;
  std::vector<StoredAnswerSize> answers;
  std::string sites;
};

/// Invariants: a write is on disk completely or not at all, and reported as written only after it was synced; the mark
/// beside the file never names a vote that the file did not hold synced.
class DiskStore {
 public:
  /// The number of the table layout that this program writes.
  static int constexpr kLayout = 3;

  /// Operations, and possibly a vote, that are written together.
  struct Write {
    std::vector<StoreOperation> operations;
    std::optional<VoteWrite> vote;
    bool is_written = false;
  };

  /// The value of the meta row `whole`, once the disk holds all keys of that membership (StoredState::keys_filled). It
  /// has a hash, so that no flipped bit makes one.
  static std::string complete_keys_word(u64 keys_filled);

  /// Opens (or makes) the file in the directory. Throws StorageCorruption; SettingsError if a newer program wrote it,
  /// and then changes nothing; std::runtime_error if the disk refuses.
  explicit DiskStore(std::string const& directory);
  ~DiskStore();
  DiskStore(DiskStore const&) = delete;
  DiskStore& operator=(DiskStore const&) = delete;

  /// Only before the first commit. Throws StorageCorruption.
  StoredState load();
  /// Writes all or none in one transaction, and sets each is_written. A vote whose base the file does not hold is left
  /// out, and its write is not reported as written.
  void commit(std::vector<Write*> const& writes);
  /// The stored answers of all operations that have that text, of any holder.
  std::vector<std::string> answers(std::string const& text);

  /// Durably renames an unreadable file, and then its log: without the log the file would be an older one. Throws
  /// std::runtime_error.
  static void set_aside(std::string const& directory);

 private:
  struct Handles;
  bool write_operations(std::vector<Write*> const& writes, u64& seq, Incarnation& incarnation);
  bool put(StoreOperation const& operation);
  bool put_vote(VoteWrite const& vote);
  void load_keys(StoredState& stored) const;
  void load_answers(StoredState& stored) const;
  void load_value(StoredState& stored, std::string const& sealed_header) const;
  std::vector<StateRow> value_rows() const;

  std::string directory_;
  std::unique_ptr<Handles> handles_;
  u64 seq_ = 0;  // of the vote in the file
};

}  // namespace dockbend
