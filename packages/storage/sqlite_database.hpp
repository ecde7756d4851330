/// Package-private: RAII owners of an SQLite database and its statements.
#pragma once
#include <sqlite3.h>

#include <memory>
#include <string>
#include <utility>

#include "base/types.hpp"

namespace dockbend {

/// A prepared statement. Parameters and columns are numbered as in SQLite: parameters from 1, columns from 0.
class SqliteStatement {
 public:
  SqliteStatement() = default;
  explicit SqliteStatement(sqlite3_stmt* statement) : statement_(statement) {}

  /// The text or bytes must live until the statement was run.
  void bind_text(int parameter, std::string const& text);
  void bind_blob(int parameter, std::string const& bytes);
  void bind_integer(int parameter, i64 number);

  /// Runs a statement that returns no rows and makes it ready for the next run; false if it failed.
  bool run();
  /// Goes on to the next row; false at the end and at an error (last_result()).
  bool next_row();
  int last_result() const { return last_result_; }
  void reset();

  std::string text(int column) const;
  i64 integer(int column) const;

 private:
  struct Finalize {
    void operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }
  };
  std::unique_ptr<sqlite3_stmt, Finalize> statement_;
  int last_result_ = SQLITE_OK;
};

/// An open database. Its statements must be destroyed before it. What is not said to return an outcome throws
/// StorageCorruption if the file is not what was written, std::runtime_error if the disk refuses.
class SqliteDatabase {
 public:
  /// Opens or creates the file. Closing it leaves the log as it is.
  explicit SqliteDatabase(std::string const& path);

  void execute(std::string const& sql) const;
  SqliteStatement prepare(std::string const& sql) const;
  /// Calls on_row(SqliteStatement const&) for each row.
  template <class OnRow>
  void for_each_row(std::string const& sql, OnRow on_row) const {
    SqliteStatement statement = prepare(sql);
    while (statement.next_row())
      on_row(std::as_const(statement));
    if (statement.last_result() != SQLITE_DONE) fail(statement.last_result());
  }
  /// The first column of the last row; 0 if there is none.
  int number(std::string const& sql) const;
  /// The row of that name in the table meta; empty if there is none.
  std::string meta(std::string const& name) const;
  /// Ends a transaction that failed, if one is open.
  void roll_back();

 private:
  [[noreturn]] void fail(int result) const;

  struct Close {
    void operator()(sqlite3* database) const { sqlite3_close(database); }
  };
  std::unique_ptr<sqlite3, Close> database_;
};

}  // namespace dockbend
