/// What a service does as the one holder of a lease.
#pragma once
#include "consensus/replicated_state.hpp"
#include "controller/json_writer.hpp"

namespace dockbend {

/// Names of the singleton roles, as they are on the wire and on disk.
inline constexpr char const* kUsageRole = "usage";
inline constexpr char const* kQuotaRole = "allowance";
inline constexpr char const* kDrainRole = "drain";

/// Work that one controller at a time carries out. LeaseService takes, renews and hands over its lease; the
/// service that does the work implements this and may act only while LeaseService::may_act() says so.
class SingletonRole {
 public:
  SingletonRole() = default;
  SingletonRole(SingletonRole const&) = delete;  // LeaseService refers to it
  SingletonRole& operator=(SingletonRole const&) = delete;
  virtual ~SingletonRole() = default;

  /// There is work, so somebody should hold the lease. Asked only while a committed value is known.
  virtual bool is_wanted() const = 0;
  /// A call made under the lease has not ended, so the lease is not handed over yet.
  virtual bool has_call_in_flight() const { return false; }
  /// Adds to a change of the lease what may go along with it. May be called more than once for one change.
  virtual void amend_lease_change(ReplicatedState&) {}
  virtual void on_lease_acquired(Seconds /*now*/) {}
  virtual void on_lease_lost() {}
  /// Members that the role adds to its lease in `/-/Duty.Status` and `/-/Status`.
  virtual void write_status(JsonWriter&, ReplicatedState const&) const {}
};

}  // namespace dockbend
