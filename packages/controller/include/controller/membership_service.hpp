/// Joining and leaving the membership, and replacing members that are gone.
#pragma once
#include <memory>
#include <optional>
#include <string>

#include "consensus/failure_margin.hpp"
#include "consensus/membership_monitor.hpp"
#include "controller/idempotency_service.hpp"
#include "controller/json_writer.hpp"

namespace dockbend {

/// Invariants: this controller asks to join only while it is not leaving and was not removed by an operator. A SIGTERM
/// counts as leaving for good only if another controller of our zone joined, or asks to, in our place, and as a restart
/// otherwise.
class MembershipService {
 public:
  MembershipService(ControllerContext& context, IdempotencyService& idempotency, Seconds now);

  void tick(Seconds now);
  /// The settings of the context have other bounds now.
  void on_settings_changed();
  /// The keys are complete: asks at the next tick that the membership says so.
  void update_own_entry_soon() { next_join_at_ = 0; }
  /// Brings a controller's wish to join, its own or another's, into the replicated state.
  void admit(Member const& member);

  /// Whether the end of this process has to wait until it has left the membership.
  bool is_leave_pending(Seconds now) const;
  /// SIGTERM came.
  void on_term(Seconds now);

  // Calls of the control API: Member.List, Member.Remove and Member.Add.
  std::string list() const;
  void remove(evhttp_request* request, std::string const& ip);
  /// Lets a controller that was removed come back; it then joins by itself.
  void add(evhttp_request* request, std::string const& ip);

  /// Writes "members", "removed" and "bears" of the status report.
  void write_members(JsonWriter& json) const;

 private:
  static MembershipMonitorOptions monitor_options(Bounds const& bounds);
  static void forget_larger_memberships(ReplicatedState& state, std::optional<Epoch> const& settled);
  FailureTolerance tolerance() const;
  Member const* own_entry() const;
  char const* state_name(Member const& member) const;
  void write_entry(JsonWriter& json, Member const& member, Seconds now) const;

  void on_membership_changed(Seconds now);
  std::string admitting_member() const;
  bool has_successor(Seconds now) const;
  Member wanted_own_entry() const;

  // What is brought about, step by step, at each tick.
  void join_if_due(Seconds now);
  void replace_silent_member(Seconds now);
  void leave_if_replaced(Seconds now);
  void submit_leave(Seconds now);

  ControllerContext& context_;
  IdempotencyService& idempotency_;
  MembershipMonitor monitor_;
  Epoch seen_epoch_;
  bool has_seen_membership_ = false;
  bool is_member_ = false;
  bool has_asked_admitting_member_ = false;
  bool is_replacing_ = false;        // a round to replace a member runs
  bool is_leave_submitted_ = false;  // a round to leave runs
  bool is_leave_settled_ = false;    // out, or refused: then it is a restart
  Seconds next_join_at_ = 0, last_tick_at_ = 0;
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("controller");
};

}  // namespace dockbend
