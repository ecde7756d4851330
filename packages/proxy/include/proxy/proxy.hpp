/// The proxy: carries clients' requests to servers. See README.md for the way of a request through the files.
#pragma once
#include <memory>

#include "proxy/activity_log.hpp"
#include "proxy/agent_client.hpp"
#include "proxy/front_listener.hpp"
#include "proxy/load_reporter.hpp"
#include "proxy/proxy_context.hpp"
#include "proxy/readiness_endpoint.hpp"
#include "proxy/request_driver.hpp"
#include "proxy/request_intake.hpp"
#include "proxy/service_routing.hpp"
#include "proxy/shutdown_sequence.hpp"
#include "proxy/state_applier.hpp"
#include "transport/periodic_timer.hpp"

namespace dockbend {

/// Wires the parts together. Members are constructed in the order of their dependencies.
class Proxy {
 public:
  /// Listens at once. Throws SettingsError for a missing address and std::runtime_error for one that is taken.
  Proxy(event_base* loop, Settings const& settings);
  Proxy(Proxy const&) = delete;

  /// A SIGTERM: shuts down gracefully, and breaks the event loop at the end.
  void term() { shutdown_.begin(); }
  /// The settings file changed: only the bounds are taken over.
  void settings(Settings const& changed) {
    context_.settings.bounds = changed.bounds;
    context_.load_balancer.on_settings_changed();
  }

 private:
  void tick();
  ProxyContext context_;
  std::string front_address_;
  RequestDriver driver_;
  ServiceRouting routing_;
  RequestIntake intake_;
  FrontListener front_;
  ReadinessEndpoint readiness_;
  LoadReporter load_;
  StateApplier state_;
  ShutdownSequence shutdown_;
  AgentClient agent_;
  ActivityLog activity_log_;
  std::unique_ptr<PeriodicTimer> tick_timer_, load_timer_;
};

}  // namespace dockbend
