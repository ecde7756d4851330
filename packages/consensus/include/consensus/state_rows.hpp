/// The replicated value as rows of a table: what one change writes, and what tells a complete value from a torn one.
/// No I/O.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "consensus/state_delta.hpp"

namespace dockbend {

/// One row to write, or to delete if `gone`.
struct StateRow {
  DB_RECORD(StateRow, (std::string, key), (std::string, body), (bool, gone));
};

/// What is stored beside the rows, in the same transaction.
///
/// Invariants:
/// - `sum` and `count` are those of all rows on disk with it;
/// - `seq` rises with every vote written in this incarnation;
/// - promised >= ballot.
struct VoteHeader {
  DB_RECORD(VoteHeader, (Incarnation, incarnation), (Ballot, promised), (bool, has_value), (Ballot, ballot),
            (Epoch, epoch), (Ballot, open), (u64, to_fix), (u64, sum), (u64, count), (u64, seq),
            (u32, largest_membership));
};

/// A checksum over rows in any order: the sum of the rows' hashes (it wraps) and their number.
struct RowChecksum {
  u64 sum = 0, count = 0;
  void add(StateRow const& row);
  void remove(StateRow const& row);
  friend bool operator==(RowChecksum const&, RowChecksum const&) = default;
};

/// The rows to write and delete so that one value becomes another.
struct RowDiff {
  std::vector<StateRow> rows;
  RowChecksum checksum;  ///< to be added to the checksum of the old value; wraps
};

std::vector<StateRow> rows_of(ReplicatedState const& state);
/// from: nullptr stands for no value.
RowDiff rows_between(ReplicatedState const* from, ReplicatedState const& to);
/// As apply(), and also what it did to the rows; costs the size of the change, not of the value. None if `state` is
/// not the delta's base.
std::optional<RowDiff> apply_rows(ReplicatedState& state, StateDelta const& delta);
/// The value that header and rows make. Throws codec::MalformedMessage unless the rows are all of it and no others.
ReplicatedState value_from_rows(VoteHeader const& header, std::vector<StateRow> const& rows);

/// The key of a drain unit's row, and the part of it that names the drain run.
std::string drain_unit_row_key(DrainUnit const& unit);
std::string drain_run_digits(u64 run);

/// A record with its hash in front, for what is read back alone.
std::string sealed(std::string const& body);
/// The record again; none if it does not have its hash.
std::optional<std::string> unsealed(std::string const& sealed_record);

}  // namespace dockbend
