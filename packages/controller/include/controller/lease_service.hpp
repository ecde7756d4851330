/// The leases of the singleton roles: taken, renewed, handed over and shown.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "controller/controller_context.hpp"
#include "controller/json_writer.hpp"
#include "controller/singleton_role.hpp"
#include "leases/lease_client.hpp"

namespace dockbend {

/// This controller's part in every singleton role. Runs on the event loop; refers to its context and to the
/// roles, and owns neither.
class LeaseService {
 public:
  explicit LeaseService(ControllerContext& context);

  /// Begins to take part in the role `name`. `role` must outlive the last call of this object.
  void add_role(std::string const& name, SingletonRole& role);

  /// A new value was committed.
  void on_committed(Seconds now);
  void tick(Seconds now);

  /// This controller holds the lease of the role, as far as it knows.
  bool holds(std::string const& role) const { return leases_.at(role).client.is_holder(); }
  /// This controller may begin a call in that role that ends within `call_duration`.
  bool may_act(std::string const& role, Seconds now, Seconds call_duration) const;
  /// The fencing token under which it acts.
  u64 fence(std::string const& role) const { return leases_.at(role).client.fence(); }
  /// When it acquired the lease, by the steady clock.
  Seconds held_since(std::string const& role) const { return leases_.at(role).client.holder_since(); }
  /// This controller could act at once if a lease were handed to it.
  bool can_take_over_now() const;

  /// This controller shuts down: names a successor for each lease that it holds.
  void hand_over_all();
  /// Some lease is being handed over, and consensus has not confirmed it yet.
  bool is_handing_over() const;
  /// Another controller passes on an operator's order to hand a lease over.
  void on_hand_over_command(HandOverCommand const& command);

  /// `/-/Duty.HandOver/ROLE/NODE`; `rest` is ROLE/NODE. Answered once the lease is where it was ordered to.
  void hand_over_call(evhttp_request* http_request, std::string const& rest);
  /// The answer of `/-/Duty.Status`.
  std::string status_json() const;
  /// The member `duties`: all leases of the committed value.
  void write_leases(JsonWriter& json) const;

 private:
  struct RoleLease {
    LeaseClient client;
    SingletonRole& role;
  };
  /// An operator's order whose lease has not arrived yet.
  struct PendingHandOver {
    HandOverLease order;
    evhttp_request* http_request = nullptr;
    Seconds deadline_at = 0;
  };

  void step(std::string const& name, Seconds now);
  void submit_proposal(std::string const& name, LeaseClient::Proposal const& proposal);
  void on_proposal_outcome(std::string const& name, LeaseClient::Proposal const& proposal, bool is_committed);
  void report_change(std::string const& name, bool held_before, Seconds now);
  bool can_hold_leases() const;

  void start_hand_over(PendingHandOver pending);
  std::optional<std::string> request_hand_over(HandOverLease const& order);
  bool is_connected_node(std::string const& node) const;
  void answer_hand_overs(Seconds now);

  std::string successor() const;
  bool can_succeed(Member const& member) const;
  int distance_tier(Member const& member) const;

  void write_lease(JsonWriter& json, Lease const& lease) const;

  ControllerContext& context_;
  std::map<std::string, RoleLease> leases_;  ///< by role
  std::vector<PendingHandOver> hand_overs_;
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("controller");
};

}  // namespace dockbend
