// The value as rows of a table: what one change writes, and what tells a whole value from
// a torn one. No I/O.
#pragma once
#include "consensus/replicated_state.hpp"

namespace dockbend {

struct ValueRow {
  DB_RECORD(ValueRow, (std::string, key), (std::string, body), (bool, gone));
};

// What stands beside the rows, in the same transaction. Invariants: sum and count are those
// of all rows on disk with it; seq rises with every vote written in this life; promised >= bal.
struct Head {
  DB_RECORD(Head, (Life, life), (Ballot, promised), (bool, has), (Ballot, bal), (Epoch, epoch), (Ballot, open),
            (u64, to_fix), (u64, sum), (u64, count), (u64, seq), (u32, widest));
};

// A sum over rows in any order: each row counts with a hash of its own.
struct RowSum {
  u64 sum = 0, count = 0;
  void add(ValueRow const& r);
  void drop(ValueRow const& r);
  friend bool operator==(RowSum const&, RowSum const&) = default;
};

// Rows to put and drop so that a value becomes another, and how the sum moves by it.
struct RowDiff {
  std::vector<ValueRow> rows;
  RowSum sum;  // to be added; wraps
};

std::vector<ValueRow> rows_of(State const& s);
RowDiff rows_between(State const* from, State const& to);
// As apply(), and what it did to the rows; costs the change, not the value.
std::optional<RowDiff> apply_rows(State& st, Delta const& d);
// The value that head and rows are. Throws codec::Malformed unless they are one: all
// rows of it, none besides.
State value_of(Head const& h, std::vector<ValueRow> rows);

// The key of a unit's row, and the part of it that names the pass.
std::string unit_row(Unit const& u);
std::string unit_row_pass(u64 pass);

// A record with a hash before it, for what is read back alone.
std::string sealed(std::string const& body);
std::optional<std::string> unsealed(std::string const& s);

}  // namespace dockbend
