/// Package-private: how each kind of row is made of its part of the value.
#pragma once
#include <string>

#include "consensus/state_rows.hpp"
#include "row_kinds.hpp"

namespace dockbend {

/// The body of a row whose position in its list is stored with it.
struct PositionedRow {
  DB_RECORD(PositionedRow, (u32, at), (std::string, body));
};
/// The body of a lease_counter row.
struct CounterRow {
  DB_RECORD(CounterRow, (u64, n));
};

/// Twenty decimal digits, so that keys sort as the numbers do.
std::string digits(u64 number);

template <class T>
StateRow positioned_row(std::string key, T const& record, std::size_t position) {
  PositionedRow row;
  row.at = static_cast<u32>(position);
  row.body = codec::pack(record);
  return StateRow{std::move(key), codec::pack(row), false};
}

// Each has key(element) and row(element, position in its list).

struct ItemRows {
  static std::string key(ConfigItem const& item) { return row_key(RowKind::item, item.key); }
  static StateRow row(ConfigItem const& item, std::size_t) {
    ConfigItem without_key = item;
    without_key.key.clear();
    return {key(item), codec::pack(without_key), false};
  }
};

struct EvacuationRows {
  static std::string key(Evacuation const& evacuation) { return row_key(RowKind::evacuation, evacuation.zone); }
  static StateRow row(Evacuation const& evacuation, std::size_t position) {
    return positioned_row(key(evacuation), evacuation, position);
  }
};

template <RowKind kKind>
struct MemberRowsOf {
  static std::string key(Member const& member) { return row_key(kKind, member.ip); }
  static StateRow row(Member const& member, std::size_t position) {
    return positioned_row(key(member), member, position);
  }
};
using MemberRows = MemberRowsOf<RowKind::member>;
using PreviousMemberRows = MemberRowsOf<RowKind::previous_member>;

struct RetiredMemberRows {
  static std::string key(RetiredMember const& member) {
    return row_key(RowKind::retired_member, member.ip + "/" + digits(member.incarnation.v));
  }
  static StateRow row(RetiredMember const& member, std::size_t position) {
    return positioned_row(key(member), member, position);
  }
};

struct LeaseRows {
  static std::string key(Lease const& lease) { return row_key(RowKind::lease, lease.duty); }
  static StateRow row(Lease const& lease, std::size_t position) {
    Lease without_counter = lease;
    without_counter.counter = 0;
    return positioned_row(key(lease), without_counter, position);
  }
};

struct LeaseCounterRows {
  static std::string key(Lease const& lease) { return row_key(RowKind::lease_counter, lease.duty); }
  static StateRow row(Lease const& lease, std::size_t) {
    return {key(lease), codec::pack(CounterRow{lease.counter}), false};
  }
};

struct FrozenReportRows {
  static std::string key(FrozenUsageReport const& report) {
    return row_key(RowKind::frozen_report, digits(report.window));
  }
  static StateRow row(FrozenUsageReport const& report, std::size_t) {
    return {key(report), codec::pack(report), false};
  }
};

struct DrainRunRows {
  static std::string key(DrainRun const& run) { return row_key(RowKind::drain_run, digits(run.id)); }
  static StateRow row(DrainRun const& run, std::size_t position) {
    DrainRun without_servers = run;
    without_servers.had.clear();
    return positioned_row(key(run), without_servers, position);
  }
};

struct InitialServerRows {
  static std::string key(DrainRun const& run) { return row_key(RowKind::initial_servers, digits(run.id)); }
  static StateRow row(DrainRun const& run, std::size_t) {
    DrainRun servers_only;
    servers_only.had = run.had;
    return {key(run), codec::pack(servers_only), false};
  }
};

struct DrainUnitRows {
  static std::string key(DrainUnit const& unit) { return drain_unit_row_key(unit); }
  static StateRow row(DrainUnit const& unit, std::size_t position) { return positioned_row(key(unit), unit, position); }
};

}  // namespace dockbend
