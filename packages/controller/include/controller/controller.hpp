/// The controller program: control API, consensus, server registry and directory. One runs on every core machine.
#pragma once
#include "controller/contact_prober.hpp"
#include "controller/control_api.hpp"
#include "controller/controller_services.hpp"
#include "controller/digest_gossip.hpp"
#include "controller/former_key_service.hpp"
#include "controller/http_listener.hpp"
#include "controller/inbound_sessions.hpp"
#include "controller/outbound_peers.hpp"
#include "transport/listener.hpp"
#include "transport/periodic_timer.hpp"

namespace dockbend {

/// Owns all services of one controller, wires them to one another and runs their periodic work. Everything here runs
/// on the event loop's thread. `run_daemon` makes one and calls `settings` and `term`.
class Controller {
 public:
  /// Opens the disk and all listeners. Throws std::runtime_error if an address can't be bound.
  /// `loop` must outlive the controller.
  Controller(event_base* loop, Settings const& settings);
  Controller(Controller const&) = delete;
  Controller& operator=(Controller const&) = delete;

  /// The settings file changed: takes over what may change while the process runs.
  void settings(Settings const& changed);
  /// SIGTERM: leaves in order, then breaks the loop. Calls after the first do nothing.
  void term();

 private:
  ControllerServices services();
  /// Reads what the disk holds into all services.
  std::unique_ptr<IdempotencyService> load_disk();
  void connect_signals();
  void connect_to_seeds();
  /// Null if the settings bind no such listener.
  std::unique_ptr<HttpListener> listen(char const* name, HttpListener::Handler handler);

  void on_state_committed(bool membership_changed);
  void on_contact_changed(bool is_in_contact);

  // Periodic work: tick() runs every kTickSeconds, run_slow_steps() every kSlowStepSeconds.
  void tick();
  void run_fast_steps(Seconds now);
  void run_slow_steps(Seconds now);
  void forgive_own_stall(Seconds now);
  void expire_old_entries(Seconds now);
  void warn_of_few_members(Seconds now);
  void log_counters(Seconds now);
  void end_if_left(Seconds now);
  /// What the end after a SIGTERM still waits for, in words; empty: nothing.
  std::string unfinished_work(Seconds now) const;

  // Services hold references to those above them: the order matters.
  ControllerContext context_;
  RegistryService registry_;
  DirectoryService directory_;
  RolloutService rollouts_;
  LeaseService leases_;
  UsageService usage_;
  QuotaService quotas_;
  SurveyService surveys_;
  DrainService drains_;
  ConsensusService consensus_;
  FormerKeyService former_keys_;
  Listener session_listener_;
  std::unique_ptr<IdempotencyService> idempotency_;  // by pointer: made of what the disk holds
  MembershipService membership_;
  ContactProber prober_;
  DigestGossip gossip_;
  OutboundPeers peers_;
  InboundSessions sessions_;
  ControlApi control_api_;
  std::unique_ptr<HttpListener> control_listener_, directory_listener_;
  std::unique_ptr<PeriodicTimer> timer_;

  Seconds started_at_ = 0, last_tick_at_ = 0, last_slow_step_at_ = 0, counters_logged_at_ = 0;
  bool has_warned_of_few_members_ = false;
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("controller");
};

}  // namespace dockbend
