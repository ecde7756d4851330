// The disk's files as older programs wrote them, against golden files: directories of layouts 1 to 3
// are copied, opened and read; a newly written one has the golden schema and rows, byte for byte.
#include <criterion/criterion.h>
#include <sqlite3.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>

#include "base/operation_id.hpp"
#include "consensus/acceptor.hpp"
#include "idempotency/stored_answers.hpp"
#include "storage/disk_store.hpp"
#include "support/golden_fields.hpp"
#include "support/golden_file.hpp"
#include "support/temporary_directory.hpp"

using namespace dockbend;
using namespace dockbend::test;
namespace fs = std::filesystem;

namespace {
char const* const kStoreFiles[] = {"register.db", "register.db-wal", "register.mark"};

// A value with every field of every list set; a drain with its units is among them.
ReplicatedState whole_value() {
  ReplicatedState value = filled<ReplicatedState>();
  value.items[0].key = "r/route-1";
  value.items[1].key = "s/service-1";
  value.duties[0].duty = "drain";
  value.duties[1].duty = "usage";
  for (std::size_t i = 0; i < value.units.size(); ++i)
    value.units[i].pass = value.passes[0].id;
  return value;
}
ReplicatedState founding_value() {
  ReplicatedState value;
  value.membership.push_back(filled<Member>());
  return value;
}
Incarnation constexpr kLife{77};
Ballot constexpr kPromised{~0ULL >> 2};

StoreOperation operation(StoreOperation::Kind kind, std::string key, std::string value = "") {
  StoreOperation op;
  op.kind = kind;
  op.key = std::move(key);
  op.value = std::move(value);
  return op;
}
StoreOperation lease(std::string key, u64 holder, bool sealed) {
  StoreOperation op = operation(StoreOperation::Kind::put_key, std::move(key));
  op.holder = holder;
  op.is_sealed = sealed;
  return op;
}
std::string sites_word() {
  StateUpdate word;
  word.sites = filled<StateUpdate>().sites;
  return codec::pack(word);
}

// Two commits of two votes, so that both slots of the mark are used, and one row of each table dropped.
void write_store(std::string const& directory) {
  using Kind = StoreOperation::Kind;
  DiskStore store(directory);
  cr_assert(store.load().is_fresh);
  Acceptor const founding(kLife, Ballot(1), founding_value());
  DiskStore::Write first;
  first.vote.emplace();
  first.vote->rows = rows_of(*founding.state());
  first.vote->head = founding.vote_header();
  first.vote->head.seq = 1;
  first.operations = {lease("key-dropped", 9, true), operation(Kind::put_server, "server-dropped", "x"),
                      operation(Kind::put_answer, "key-dropped", "x")};
  store.commit({&first});
  cr_assert(first.is_written);
  Acceptor const later(kLife, kPromised, whole_value());
  DiskStore::Write second;
  second.vote.emplace();
  second.vote->rows = rows_between(&*founding.state(), whole_value()).rows;
  second.vote->head = later.vote_header();
  second.vote->head.seq = 2;
  second.vote->base = 1;
  second.operations = {
      operation(Kind::delete_key, "key-dropped"),
      operation(Kind::delete_server, "server-dropped"),
      operation(Kind::delete_answer, "key-dropped"),
      lease("key-claimed", 0x8123456789abcdefULL, false),
      lease("key-sealed", 0x0123456789abcdefULL, true),
      lease(OperationId::of_tenant("tenant", "key-of-tenant").storage_key(), 11, false),
      operation(Kind::put_server, filled<ServerRecord>().id, codec::pack(filled<ServerRecord>())),
      operation(Kind::put_answer,
                AnswerId{operation_of(filled<StoredAnswer>()), filled<StoredAnswer>().holder}.storage_key(),
                codec::pack(filled<StoredAnswer>())),
      StoreOperation::put_meta("sites", sites_word()),
      StoreOperation::put_meta("whole", DiskStore::complete_keys_word(12))};
  store.commit({&second});
  cr_assert(second.is_written);
}

// Layout 1 as a program of that time wrote it: the value whole in one row, leases without a check.
void write_store_of_layout_1(std::string const& directory) {
  sqlite3* database = nullptr;
  cr_assert_eq(sqlite3_open((directory + "/register.db").c_str(), &database), SQLITE_OK);
  auto run = [&](std::string const& sql) {
    cr_assert_eq(sqlite3_exec(database, sql.c_str(), nullptr, nullptr, nullptr), SQLITE_OK, "%s", sql.c_str());
  };
  run("PRAGMA journal_mode=WAL");
  run("CREATE TABLE meta(k TEXT PRIMARY KEY, v BLOB) WITHOUT ROWID");
  run("CREATE TABLE claim(k TEXT PRIMARY KEY, holder INTEGER, sealed INTEGER) WITHOUT ROWID");
  run("CREATE TABLE server(k TEXT PRIMARY KEY, v BLOB) WITHOUT ROWID");
  run("CREATE TABLE ret(k TEXT PRIMARY KEY, v BLOB) WITHOUT ROWID");
  auto blob = [](std::string const& bytes) { return "x'" + to_hex(bytes) + "'"; };
  run("INSERT INTO meta VALUES('life','77'),('whole','1')");
  run("INSERT INTO meta VALUES('promised','" + std::to_string(kPromised.v) + "')");
  run("INSERT INTO meta VALUES('state'," + blob(codec::pack(whole_value())) + ")");
  run("INSERT INTO meta VALUES('sites'," + blob(sites_word()) + ")");
  run("INSERT INTO claim VALUES('key-claimed',7,0),('key-sealed',8,1)");
  run("INSERT INTO server VALUES('" + filled<ServerRecord>().id + "'," + blob(codec::pack(filled<ServerRecord>())) +
      ")");
  run("INSERT INTO ret VALUES('" + filled<StoredAnswer>().key + "'," + blob(codec::pack(filled<StoredAnswer>())) + ")");
  run("PRAGMA user_version=1");
  sqlite3_close(database);
}

void copy_store(std::string const& from, std::string const& to) {
  fs::create_directories(to);
  for (char const* name : kStoreFiles) {
    if (fs::exists(from + "/" + name)) {
      fs::copy_file(from + "/" + name, to + "/" + name, fs::copy_options::overwrite_existing);
    }
  }
}

// A key as one line of a golden file.
std::string one_line(std::string text) {
  for (std::size_t at = 0; (at = text.find('\n', at)) != std::string::npos; at += 2)
    text.replace(at, 1, "\\n");
  return text;
}

// What the class reads, in the order of the keys.
void check_loaded(GoldenFile& file, std::string const& directory) {
  DiskStore store(directory);
  StoredState const disk = store.load();
  cr_assert(!disk.is_fresh && disk.head && disk.value);
  file.check("head", to_hex(codec::pack(*disk.head)));
  file.check("value", to_hex(codec::pack(*disk.value)));
  cr_expect(codec::pack(*disk.value) == codec::pack(whole_value()), "the value is not what was written");
  file.check("keys-filled", std::to_string(disk.keys_filled));
  for (StoredKey const& key : disk.keys) {
    file.check("key/" + one_line(key.key), std::to_string(key.holder) + (key.sealed ? " sealed" : " open"));
  }
  std::size_t number = 0;
  for (std::string const& server : disk.servers)
    file.check("server/" + std::to_string(++number), to_hex(server));
  for (auto const& [key, size] : disk.answers) {
    std::vector<std::string> const answers = store.answers(AnswerId::of_storage_key(key).operation.text());
    cr_assert_eq(answers.size(), 1u);
    file.check("answer/" + one_line(key), std::to_string(size) + " " + to_hex(answers[0]));
  }
  file.check("sites", to_hex(disk.sites));
}

// Schema and rows as they are in the tables, each row with its key and the bytes of its other columns.
void check_tables(GoldenFile& file, std::string const& directory) {
  sqlite3* database = nullptr;
  cr_assert_eq(sqlite3_open((directory + "/register.db").c_str(), &database), SQLITE_OK);
  auto each = [&](std::string const& sql, auto visit) {
    sqlite3_stmt* statement = nullptr;
    cr_assert_eq(sqlite3_prepare_v2(database, sql.c_str(), -1, &statement, nullptr), SQLITE_OK, "%s", sql.c_str());
    while (sqlite3_step(statement) == SQLITE_ROW)
      visit(statement);
    sqlite3_finalize(statement);
  };
  auto column = [](sqlite3_stmt* statement, int i) {
    auto const* const bytes = static_cast<char const*>(sqlite3_column_blob(statement, i));
    auto const size = static_cast<std::size_t>(sqlite3_column_bytes(statement, i));
    return bytes == nullptr ? std::string() : std::string(bytes, size);
  };
  each("PRAGMA user_version", [&](sqlite3_stmt* s) { file.check("layout", column(s, 0)); });
  std::vector<std::string> tables;
  each("SELECT name,sql FROM sqlite_master ORDER BY name", [&](sqlite3_stmt* s) {
    tables.push_back(column(s, 0));
    file.check("schema-" + std::to_string(tables.size()), column(s, 1));
  });
  for (std::size_t t = 0; t < tables.size(); ++t) {
    std::size_t row = 0;
    each("SELECT * FROM " + tables[t] + " ORDER BY 1", [&](sqlite3_stmt* s) {
      std::string text = one_line(column(s, 0));
      for (int i = 1; i < sqlite3_column_count(s); ++i) {
        text += " " + (sqlite3_column_type(s, i) == SQLITE_BLOB ? to_hex(column(s, i)) : column(s, i));
      }
      file.check("row-" + std::to_string(t + 1) + "-" + std::to_string(++row), text);
    });
  }
  sqlite3_close(database);
}
}  // namespace

Test(golden_store, a_directory_of_layout_3_is_read) {
  std::string const golden = golden_path("store-layout-3");
  TemporaryDirectory const directory;
  if (writes_golden()) {
    write_store(directory.path);
    fs::remove_all(golden);
    copy_store(directory.path, golden);
  }
  for (char const* name : kStoreFiles)
    cr_assert(fs::exists(golden + "/" + name), "golden file is missing: %s", name);
  copy_store(golden, directory.path);
  GoldenFile file("store-layout-3.txt");
  check_loaded(file, directory.path);
  file.finish();
}

// No program writes it any more: the golden directory stays.
Test(golden_store, a_directory_of_layout_2_is_taken_over) {
  TemporaryDirectory const directory;
  copy_store(golden_path("store-layout-2"), directory.path);
  GoldenFile file("store-layout-2.txt");
  check_loaded(file, directory.path);
  file.finish();
}

// The golden mark counts: without the log the file is older than the mark says, and is neither read as
// a value nor taken for a first start.
Test(golden_store, a_directory_of_layout_3_without_its_log_is_no_value) {
  if (writes_golden()) return;
  TemporaryDirectory const directory;
  copy_store(golden_path("store-layout-3"), directory.path);
  fs::remove(directory.path + "/register.db-wal");
  try {
    StoredState const disk = DiskStore(directory.path).load();
    cr_expect(!disk.is_fresh && !disk.head && !disk.value);
  } catch (StorageCorruption const&) {
    // refused altogether
  }
}

Test(golden_store, a_directory_of_layout_1_is_taken_over) {
  std::string const golden = golden_path("store-layout-1");
  TemporaryDirectory const directory;
  if (writes_golden()) {
    write_store_of_layout_1(directory.path);
    fs::remove_all(golden);
    copy_store(directory.path, golden);
  }
  cr_assert(fs::exists(golden + "/register.db"), "golden file is missing: register.db");
  copy_store(golden, directory.path);
  GoldenFile file("store-layout-1.txt");
  check_loaded(file, directory.path);
  file.finish();
}

Test(golden_store, a_new_directory_has_the_schema_and_rows) {
  TemporaryDirectory const directory;
  write_store(directory.path);
  GoldenFile file("store-new.txt");
  std::vector<std::string> names;
  for (auto const& entry : fs::directory_iterator(directory.path))
    names.push_back(entry.path().filename().string());
  std::sort(names.begin(), names.end());
  for (std::size_t i = 0; i < names.size(); ++i)
    file.check("file-" + std::to_string(i + 1), names[i]);
  std::ifstream in(directory.path + "/register.mark", std::ios::binary);
  std::stringstream mark;
  mark << in.rdbuf();
  file.check("mark", to_hex(mark.str()));
  check_tables(file, directory.path);
  file.finish();
}
