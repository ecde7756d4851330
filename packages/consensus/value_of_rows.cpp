#include "item_order.hpp"
#include "row_codecs.hpp"

namespace dockbend {
namespace {
/// A list whose elements arrive in any order, each with its position.
template <class T>
class PositionedList {
 public:
  void read(StateRow const& row) {
    PositionedRow const positioned = codec::unpack<PositionedRow>(row.body);
    elements_.push_back({positioned.at, codec::unpack<T>(positioned.body)});
  }
  /// Throws codec::MalformedMessage unless each position is there once.
  std::vector<T> take() {
    std::sort(elements_.begin(), elements_.end(),
              [](Element const& a, Element const& b) { return a.position < b.position; });
    std::vector<T> list;
    list.reserve(elements_.size());
    for (Element& element : elements_) {
      if (element.position != list.size()) throw codec::MalformedMessage("rows are missing");
      list.push_back(std::move(element.record));
    }
    return list;
  }

 private:
  struct Element {
    u32 position = 0;
    T record{};
  };
  std::vector<Element> elements_;
};

/// Collects the rows of one value.
class RowReader {
 public:
  void read(StateRow const& row);
  ReplicatedState take(VoteHeader const& header);

 private:
  ReplicatedState state_;
  PositionedList<Evacuation> evacuations_;
  PositionedList<Member> members_, previous_members_;
  PositionedList<RetiredMember> retired_;
  PositionedList<Lease> leases_;
  PositionedList<DrainRun> drain_runs_;
  PositionedList<DrainUnit> drain_units_;
  std::map<std::string, u64> lease_counters_;                               // by the lease's name
  std::map<std::string, std::vector<InitialServerCount>> initial_servers_;  // by the run's number in digits
};

void RowReader::read(StateRow const& row) {
  if (row.key.size() < kRowPrefixLength || row.key[1] != '/') throw codec::MalformedMessage("a row of unknown kind");
  std::string const name = row.key.substr(kRowPrefixLength);
  switch (kind_of(row.key)) {
    case RowKind::item: {
      ConfigItem item = codec::unpack<ConfigItem>(row.body);
      item.key = name;
      state_.items.push_back(std::move(item));
      return;
    }
    case RowKind::evacuation: return evacuations_.read(row);
    case RowKind::member: return members_.read(row);
    case RowKind::previous_member: return previous_members_.read(row);
    case RowKind::retired_member: return retired_.read(row);
    case RowKind::lease: return leases_.read(row);
    case RowKind::lease_counter: lease_counters_[name] = codec::unpack<CounterRow>(row.body).n; return;
    case RowKind::frozen_report: state_.fixed.push_back(codec::unpack<FrozenUsageReport>(row.body)); return;
    case RowKind::drain_run: return drain_runs_.read(row);
    case RowKind::initial_servers: initial_servers_[name] = codec::unpack<DrainRun>(row.body).had; return;
    case RowKind::drain_unit: return drain_units_.read(row);
  }
  throw codec::MalformedMessage("a row of unknown kind");
}

ReplicatedState RowReader::take(VoteHeader const& header) {
  std::sort(state_.items.begin(), state_.items.end(), by_item_key);
  std::sort(state_.fixed.begin(), state_.fixed.end(),
            [](FrozenUsageReport const& a, FrozenUsageReport const& b) { return a.window < b.window; });
  state_.evacuations = evacuations_.take();
  state_.membership = members_.take();
  state_.previous_membership = previous_members_.take();
  state_.retired = retired_.take();
  state_.duties = leases_.take();
  state_.passes = drain_runs_.take();
  state_.units = drain_units_.take();
  for (Lease& lease : state_.duties)
    lease.counter = lease_counters_[lease.duty];
  for (DrainRun& run : state_.passes)
    run.had = std::move(initial_servers_[digits(run.id)]);
  state_.ballot = header.ballot;
  state_.epoch = header.epoch;
  state_.open = header.open;
  state_.to_fix = header.to_fix;
  state_.largest_membership = header.largest_membership;
  return std::move(state_);
}
}  // namespace

ReplicatedState value_from_rows(VoteHeader const& header, std::vector<StateRow> const& rows) {
  RowChecksum checksum;
  for (StateRow const& row : rows)
    checksum.add(row);
  if (!(checksum == RowChecksum{header.sum, header.count}))
    throw codec::MalformedMessage("the rows do not have the checksum of their header");
  RowReader reader;
  for (StateRow const& row : rows)
    reader.read(row);
  return reader.take(header);
}

}  // namespace dockbend
