#include "storage/disk_store.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cstdio>

#include "consensus/acceptor.hpp"
#include "settings/settings.hpp"
#include "sqlite_database.hpp"
#include "store_files.hpp"
#include "store_layout.hpp"
#include "vote_mark_file.hpp"

namespace dockbend {
namespace {
using Kind = StoreOperation::Kind;

/// In the name of a stored answer behind the text of its operation; texts have none.
char constexpr kNameSeparator = '\n', kBehindNameSeparator = kNameSeparator + 1;

bool is_name_of(std::string const& answer_name, std::string const& text) {
  return answer_name.size() == text.size() || answer_name[text.size()] == kNameSeparator;
}

[[noreturn]] void refuse_newer_layout(unsigned layout) {
  throw SettingsError("dataDir", "register.db is of layout " + std::to_string(layout) + ", this program knows " +
                                     std::to_string(DiskStore::kLayout) + " and below");
}

char const* sql_of(Kind kind) {
  switch (kind) {
    case Kind::put_meta: return "INSERT OR REPLACE INTO meta VALUES(?,?)";
    case Kind::put_key: return "INSERT OR REPLACE INTO claim VALUES(?,?,?)";
    case Kind::delete_key: return "DELETE FROM claim WHERE k=?";
    case Kind::put_server: return "INSERT OR REPLACE INTO server VALUES(?,?)";
    case Kind::delete_server: return "DELETE FROM server WHERE k=?";
    case Kind::put_answer: return "INSERT OR REPLACE INTO ret VALUES(?,?)";
    case Kind::delete_answer: return "DELETE FROM ret WHERE k=?";
    case Kind::put_value_row: return "INSERT OR REPLACE INTO value VALUES(?,?)";
    case Kind::delete_value_row: return "DELETE FROM value WHERE k=?";
  }
  return "";
}

/// A log without its file would be applied to the new one.
void remove_stray_log(std::string const& path) {
  std::string const log = path + kLogSuffix;
  if (!file_exists(path) && file_exists(log) && ::unlink(log.c_str()) != 0)
    throw std::runtime_error("disk: can't remove an old log");
}

SqliteDatabase open_database(std::string const& path) {
  // The header is looked at first: opening a file may change it.
  unsigned const layout_in_header = layout_in_file_header(path);
  if (layout_in_header > static_cast<unsigned>(DiskStore::kLayout)) refuse_newer_layout(layout_in_header);
  remove_stray_log(path);
  SqliteDatabase database(path);
  database.execute("PRAGMA locking_mode=EXCLUSIVE");
  int const layout = database.number("PRAGMA user_version");  // the log may have a newer one
  if (layout > DiskStore::kLayout) refuse_newer_layout(static_cast<unsigned>(layout));
  database.execute("PRAGMA cell_size_check=ON");
  database.execute("PRAGMA journal_mode=WAL");
  database.execute("PRAGMA synchronous=FULL");
  database.execute("PRAGMA cache_size=-512");
  if (layout < DiskStore::kLayout) create_or_migrate(database, layout, DiskStore::kLayout);
  return database;
}
}  // namespace

/// Destroyed from the last to the first: statements before their database.
struct DiskStore::Handles {
  explicit Handles(std::string const& directory) : database(open_database(directory + kStoreFileName)) {
    for (std::size_t i = 0; i < statements.size(); ++i)
      statements[i] = database.prepare(sql_of(static_cast<Kind>(i)));
    begin = database.prepare("BEGIN IMMEDIATE");
    commit = database.prepare("COMMIT");
    // The names of answers to operations that share a text begin with it, see AnswerId::storage_key().
    find_answers = database.prepare("SELECT k,v FROM ret WHERE k>=? AND k<?");
    mark.emplace(directory);
  }
  SqliteDatabase database;
  std::array<SqliteStatement, StoreOperation::kKinds> statements;  // by kind
  SqliteStatement begin, commit, find_answers;
  std::optional<VoteMarkFile> mark;  // opened once the database is known to be ours
};

DiskStore::DiskStore(std::string const& directory)
    : directory_(directory), handles_(std::make_unique<Handles>(directory)) {}

DiskStore::~DiskStore() = default;

std::string DiskStore::complete_keys_word(u64 keys_filled) {
  return sealed(std::to_string(keys_filled));
}

// ---- reading -----------------------------------------------------------------------------

std::vector<StateRow> DiskStore::value_rows() const {
  std::vector<StateRow> rows;
  handles_->database.for_each_row("SELECT k,v FROM value", [&](SqliteStatement const& row) {
    rows.push_back(StateRow{row.text(0), row.text(1), false});
  });
  return rows;
}

void DiskStore::load_keys(StoredState& stored) const {
  handles_->database.for_each_row("PRAGMA quick_check('claim')", [&](SqliteStatement const& row) {
    if (row.text(0) != "ok") throw StorageCorruption("disk: the table of keys is damaged");
  });
  handles_->database.for_each_row("SELECT k,holder,sealed FROM claim", [&](SqliteStatement const& row) {
    i64 const column = row.integer(2);
    StoredKey key{row.text(0), static_cast<u64>(row.integer(1)), (column & 1) != 0};
    if (column >> 1 != key_check(key.key, key.holder)) throw StorageCorruption("disk: a key is not as it was written");
    stored.keys.push_back(std::move(key));
  });
  auto const filled = unsealed(handles_->database.meta("whole"));
  if (filled) stored.keys_filled = std::strtoull(filled->c_str(), nullptr, 10);
}

void DiskStore::load_answers(StoredState& stored) const {
  handles_->database.for_each_row("SELECT k,length(v) FROM ret", [&](SqliteStatement const& row) {
    stored.answers.push_back({row.text(0), static_cast<std::size_t>(row.integer(1))});
  });
}

void DiskStore::load_value(StoredState& stored, std::string const& sealed_header) const {
  auto const header = unsealed(sealed_header);
  if (!header) throw StorageCorruption("disk: the head is not as it was written");
  stored.head = codec::unpack<VoteHeader>(*header);
  for (VoteMark const& mark : handles_->mark->read())
    if (mark.incarnation == stored.head->incarnation && mark.seq > stored.head->seq)
      throw StorageCorruption("disk: the last votes are gone");
  std::vector<StateRow> const rows = value_rows();
  if (!stored.head->has_value) {
    if (!rows.empty()) throw StorageCorruption("disk: rows without a value");
    return;
  }
  try {
    stored.value = value_from_rows(*stored.head, rows);
  } catch (codec::MalformedMessage const& malformed) {
    throw StorageCorruption(std::string("disk: ") + malformed.what());
  }
}

StoredState DiskStore::load() {
  SqliteDatabase const& database = handles_->database;
  StoredState stored;
  load_keys(stored);
  database.for_each_row("SELECT v FROM server",
                        [&](SqliteStatement const& row) { stored.servers.push_back(row.text(0)); });
  load_answers(stored);
  stored.sites = database.meta("sites");
  std::string const header = database.meta("head");
  if (header.empty()) {
    if (!value_rows().empty() || !stored.keys.empty()) throw StorageCorruption("disk: rows without a head");
    // If the file is empty although something was acknowledged before, this is not the first start.
    stored.is_fresh = handles_->mark->read().empty() && !file_exists(directory_ + kSetAsideFileName);
    return stored;
  }
  load_value(stored, header);
  seq_ = stored.head->seq;
  return stored;
}

std::vector<std::string> DiskStore::answers(std::string const& text) {
  SqliteStatement& find = handles_->find_answers;
  std::string const behind = text + kBehindNameSeparator;
  find.bind_text(1, text);
  find.bind_text(2, behind);
  std::vector<std::string> answers;
  while (find.next_row())
    if (is_name_of(find.text(0), text)) answers.push_back(find.text(1));
  find.reset();
  return answers;
}

// ---- writing -----------------------------------------------------------------------------

bool DiskStore::put(StoreOperation const& operation) {
  SqliteStatement& statement = handles_->statements[static_cast<std::size_t>(operation.kind)];
  statement.reset();
  statement.bind_text(1, operation.key);
  switch (operation.kind) {
    case Kind::put_meta:
    case Kind::put_server:
    case Kind::put_answer:
    case Kind::put_value_row: statement.bind_blob(2, operation.value); break;
    case Kind::put_key:
      statement.bind_integer(2, static_cast<i64>(operation.holder));
      statement.bind_integer(3, sealed_column(operation.key, operation.holder, operation.is_sealed));
      break;
    default: break;
  }
  return statement.run();
}

bool DiskStore::put_vote(VoteWrite const& vote) {
  for (StateRow const& row : vote.rows) {
    bool const is_written = put(row.gone ? StoreOperation::remove(Kind::delete_value_row, row.key)
                                         : StoreOperation::put(Kind::put_value_row, row.key, row.body));
    if (!is_written) return false;
  }
  return put(StoreOperation::put_meta("head", sealed(codec::pack(vote.head))));
}

bool DiskStore::write_operations(std::vector<Write*> const& writes, u64& seq, Incarnation& incarnation) {
  for (Write* write : writes) {
    for (StoreOperation const& operation : write->operations)
      if (!put(operation)) return false;
    if (!write->vote) continue;
    if (write->vote->base != seq) {
      write->is_written = false;
      continue;
    }
    if (!put_vote(*write->vote)) return false;
    seq = write->vote->head.seq;
    incarnation = write->vote->head.incarnation;
  }
  return true;
}

void DiskStore::commit(std::vector<Write*> const& writes) {
  bool has_content = false;
  for (Write* write : writes) {
    write->is_written = true;
    has_content = has_content || !write->operations.empty() || write->vote;
  }
  if (!has_content) return;
  u64 seq = seq_;
  Incarnation incarnation;
  if (!handles_->begin.run() || !write_operations(writes, seq, incarnation) || !handles_->commit.run()) {
    handles_->database.roll_back();
    for (Write* write : writes)
      write->is_written = false;
    return;
  }
  if (seq == seq_) return;
  seq_ = seq;
  VoteMark mark;
  mark.incarnation = incarnation;
  mark.seq = seq;
  handles_->mark->write(mark);
}

void DiskStore::set_aside(std::string const& directory) {
  std::string const path = directory + kStoreFileName, aside = directory + kSetAsideFileName;
  if (file_exists(path) && ::rename(path.c_str(), aside.c_str()) != 0)
    throw std::runtime_error("disk: can't put the unreadable file aside");
  if (!file_exists(aside)) {  // the file was gone already: an empty one says that this is not the first start
    FileDescriptor const file(::open(aside.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644));
    if (!file.is_open() || ::fsync(file.get()) != 0)
      throw std::runtime_error("disk: can't note that the file was unreadable");
  }
  sync_directory(directory);
  std::string const log = path + kLogSuffix, log_aside = aside + kLogSuffix;
  if (file_exists(log) && ::rename(log.c_str(), log_aside.c_str()) != 0)
    throw std::runtime_error("disk: can't put the unreadable log aside");
  sync_directory(directory);
}

}  // namespace dockbend
