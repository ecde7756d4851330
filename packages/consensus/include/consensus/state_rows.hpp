// The value as rows of a table: what one change writes, and what tells a whole value from
// a torn one. No I/O.
#pragma once
#include "consensus/replicated_state.hpp"

namespace dockbend {

struct StateRow {
  DB_RECORD(StateRow, (std::string, key), (std::string, body), (bool, gone));
};

// What stands beside the rows, in the same transaction. Invariants: sum and count are those
// of all rows on disk with it; seq rises with every vote written in this life; promised >= bal.
struct VoteHeader {
  DB_RECORD(VoteHeader, (Incarnation, incarnation), (Ballot, promised), (bool, has), (Ballot, ballot), (Epoch, epoch),
            (Ballot, open), (u64, to_fix), (u64, sum), (u64, count), (u64, seq), (u32, largest_membership));
};

// A sum over rows in any order: each row counts with a hash of its own.
struct RowChecksum {
  u64 sum = 0, count = 0;
  void add(StateRow const& r);
  void drop(StateRow const& r);
  friend bool operator==(RowChecksum const&, RowChecksum const&) = default;
};

// Rows to put and drop so that a value becomes another, and how the sum moves by it.
struct RowDiff {
  std::vector<StateRow> rows;
  RowChecksum sum;  // to be added; wraps
};

std::vector<StateRow> rows_of(ReplicatedState const& s);
RowDiff rows_between(ReplicatedState const* from, ReplicatedState const& to);
// As apply(), and what it did to the rows; costs the change, not the value.
std::optional<RowDiff> apply_rows(ReplicatedState& st, StateDelta const& d);
// The value that head and rows are. Throws codec::Malformed unless they are one: all
// rows of it, none besides.
ReplicatedState value_of(VoteHeader const& h, std::vector<StateRow> rows);

// The key of a unit's row, and the part of it that names the pass.
std::string unit_row(DrainUnit const& u);
std::string unit_row_pass(u64 pass);

// A record with a hash before it, for what is read back alone.
std::string sealed(std::string const& body);
std::optional<std::string> unsealed(std::string const& s);

}  // namespace dockbend
