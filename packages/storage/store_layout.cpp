#include "store_layout.hpp"

#include <cstdlib>
#include <stdexcept>
#include <vector>

#include "consensus/acceptor.hpp"
#include "storage/disk_store.hpp"

namespace dockbend {
namespace {
int constexpr kFirstLayoutWithValues = 2;

void require_written(bool is_written) {
  if (!is_written) throw std::runtime_error("disk: the old layout could not be taken over");
}

void put_blob(SqliteStatement& statement, std::string const& key, std::string const& value) {
  statement.bind_text(1, key);
  statement.bind_blob(2, value);
  require_written(statement.run());
}

u64 to_number(std::string const& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

void create_tables(SqliteDatabase const& database) {
  database.execute("CREATE TABLE IF NOT EXISTS meta(k TEXT PRIMARY KEY, v BLOB) WITHOUT ROWID");
  database.execute(
      "CREATE TABLE IF NOT EXISTS claim(k TEXT PRIMARY KEY, holder INTEGER, sealed INTEGER) WITHOUT ROWID");
  database.execute("CREATE TABLE IF NOT EXISTS server(k TEXT PRIMARY KEY, v BLOB) WITHOUT ROWID");
  database.execute("CREATE TABLE IF NOT EXISTS ret(k TEXT PRIMARY KEY, v BLOB) WITHOUT ROWID");
  database.execute("CREATE TABLE value(k TEXT PRIMARY KEY, v BLOB) WITHOUT ROWID");
}

/// Layout 1 kept the complete value in one meta row.
std::optional<ReplicatedState> value_of_layout_1(SqliteDatabase const& database) {
  std::string const bytes = database.meta("state");
  if (bytes.empty()) return std::nullopt;
  try {
    return codec::unpack<ReplicatedState>(bytes);
  } catch (codec::MalformedMessage const&) {
    throw StorageCorruption("disk: the value of layout 1 is malformed");
  }
}

void migrate_value(SqliteDatabase const& database, Incarnation incarnation) {
  std::optional<ReplicatedState> const state = value_of_layout_1(database);
  VoteHeader header = Acceptor(incarnation, Ballot(to_number(database.meta("promised"))), state).vote_header();
  header.seq = 1;
  SqliteStatement put_row = database.prepare("INSERT INTO value VALUES(?,?)");
  if (state)
    for (StateRow const& row : rows_of(*state))
      put_blob(put_row, row.key, row.body);
  SqliteStatement put_meta = database.prepare("INSERT OR REPLACE INTO meta VALUES(?,?)");
  put_blob(put_meta, "head", sealed(codec::pack(header)));
  bool const has_all_keys = database.meta("whole") == "1";
  database.execute("DELETE FROM meta WHERE k IN ('life','promised','state','whole')");
  if (has_all_keys) put_blob(put_meta, "whole", DiskStore::complete_keys_word(1));  // memberships had no number then
}

/// Layout 1 had no check beside a key.
void migrate_keys(SqliteDatabase const& database) {
  std::vector<StoredKey> keys;
  database.for_each_row("SELECT k,holder,sealed FROM claim", [&](SqliteStatement const& row) {
    keys.push_back({row.text(0), static_cast<u64>(row.integer(1)), row.integer(2) != 0});
  });
  SqliteStatement update = database.prepare("UPDATE claim SET sealed=? WHERE k=?");
  for (StoredKey const& key : keys) {
    update.bind_integer(1, sealed_column(key.key, key.holder, key.sealed));
    update.bind_text(2, key.key);
    require_written(update.run());
  }
}

void create_or_migrate_tables(SqliteDatabase& database) {
  create_tables(database);
  std::string const incarnation = database.meta("life");
  if (incarnation.empty()) return;
  migrate_value(database, Incarnation(to_number(incarnation)));
  migrate_keys(database);
}
}  // namespace

u32 key_check(std::string const& key, u64 holder) {
  return static_cast<u32>(hash64(key, holder) >> 33);
}

i64 sealed_column(std::string const& key, u64 holder, bool is_sealed) {
  return static_cast<i64>(key_check(key, holder)) << 1 | (is_sealed ? 1 : 0);
}

void create_or_migrate(SqliteDatabase& database, int from, int layout) {
  bool const has_values = database.number("SELECT count(*) FROM sqlite_master WHERE name='value'") != 0;
  if (has_values != (from == kFirstLayoutWithValues)) throw StorageCorruption("disk: the layout's number is gone");
  database.execute("BEGIN IMMEDIATE");
  // Layout 3 differs from 2 in the keys of operations alone: those of 2 don't state a tenant's name (OperationId).
  if (!has_values) create_or_migrate_tables(database);
  database.execute("PRAGMA user_version=" + std::to_string(layout));
  database.execute("COMMIT");
}

}  // namespace dockbend
