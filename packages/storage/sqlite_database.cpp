#include "sqlite_database.hpp"

#include <stdexcept>
#include <utility>

#include "storage/disk_store.hpp"

namespace dockbend {
namespace {
/// The primary code of an extended result code.
int constexpr kPrimaryCode = 0xff;

bool is_failed_read(int extended_result) {
  return extended_result == SQLITE_IOERR_READ || extended_result == SQLITE_IOERR_SHORT_READ ||
         extended_result == SQLITE_IOERR_DATA || extended_result == SQLITE_IOERR_CORRUPTFS;
}

/// A disk that is full or busy may well hold the file intact; any other error says that it is not what we wrote.
bool says_that_disk_refuses(int result, int extended_result) {
  switch (result & kPrimaryCode) {
    case SQLITE_IOERR: return !is_failed_read(extended_result);
    case SQLITE_FULL:
    case SQLITE_BUSY:
    case SQLITE_LOCKED:
    case SQLITE_NOMEM:
    case SQLITE_CANTOPEN:
    case SQLITE_PERM: return true;
    default: return false;
  }
}
}  // namespace

void SqliteStatement::bind_text(int parameter, std::string const& text) {
  sqlite3_bind_text(statement_.get(), parameter, text.data(), static_cast<int>(text.size()), SQLITE_STATIC);
}

void SqliteStatement::bind_blob(int parameter, std::string const& bytes) {
  sqlite3_bind_blob(statement_.get(), parameter, bytes.data(), static_cast<int>(bytes.size()), SQLITE_STATIC);
}

void SqliteStatement::bind_integer(int parameter, i64 number) {
  sqlite3_bind_int64(statement_.get(), parameter, number);
}

bool SqliteStatement::run() {
  bool const is_done = sqlite3_step(statement_.get()) == SQLITE_DONE;
  reset();
  return is_done;
}

bool SqliteStatement::next_row() {
  last_result_ = sqlite3_step(statement_.get());
  return last_result_ == SQLITE_ROW;
}

void SqliteStatement::reset() {
  sqlite3_reset(statement_.get());
}

std::string SqliteStatement::text(int column) const {
  auto const* const bytes = static_cast<char const*>(sqlite3_column_blob(statement_.get(), column));
  if (bytes == nullptr) return "";
  return std::string(bytes, static_cast<std::size_t>(sqlite3_column_bytes(statement_.get(), column)));
}

i64 SqliteStatement::integer(int column) const {
  return sqlite3_column_int64(statement_.get(), column);
}

SqliteDatabase::SqliteDatabase(std::string const& path) {
  static int const is_configured = sqlite3_config(SQLITE_CONFIG_MEMSTATUS, 0);
  static_cast<void>(is_configured);
  sqlite3* database = nullptr;
  int const result = sqlite3_open_v2(path.c_str(), &database,
                                     SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX, nullptr);
  database_.reset(database);
  if (result != SQLITE_OK) fail(result);
  sqlite3_db_config(database, SQLITE_DBCONFIG_NO_CKPT_ON_CLOSE, 1, nullptr);
}

void SqliteDatabase::fail(int result) const {
  std::string const message = std::string("disk: ") + sqlite3_errmsg(database_.get());
  if (says_that_disk_refuses(result, sqlite3_extended_errcode(database_.get()))) throw std::runtime_error(message);
  throw StorageCorruption(message);
}

void SqliteDatabase::execute(std::string const& sql) const {
  int const result = sqlite3_exec(database_.get(), sql.c_str(), nullptr, nullptr, nullptr);
  if (result != SQLITE_OK) fail(result);
}

SqliteStatement SqliteDatabase::prepare(std::string const& sql) const {
  sqlite3_stmt* statement = nullptr;
  int const result = sqlite3_prepare_v2(database_.get(), sql.c_str(), -1, &statement, nullptr);
  if (result != SQLITE_OK) fail(result);
  return SqliteStatement(statement);
}

int SqliteDatabase::number(std::string const& sql) const {
  int number = 0;
  for_each_row(sql, [&](SqliteStatement const& row) { number = static_cast<int>(row.integer(0)); });
  return number;
}

std::string SqliteDatabase::meta(std::string const& name) const {
  std::string value;
  for_each_row("SELECT v FROM meta WHERE k='" + name + "'", [&](SqliteStatement const& row) { value = row.text(0); });
  return value;
}

void SqliteDatabase::roll_back() {
  if (sqlite3_get_autocommit(database_.get()) == 0)
    sqlite3_exec(database_.get(), "ROLLBACK", nullptr, nullptr, nullptr);
}

}  // namespace dockbend
