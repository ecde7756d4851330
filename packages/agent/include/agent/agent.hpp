/// The agent beside each proxy. See README.md for its parts.
#pragma once
#include <log4cplus/logger.h>

#include <memory>

#include "agent/agent_context.hpp"
#include "agent/claim_sender.hpp"
#include "agent/controller_links.hpp"
#include "agent/controller_messages.hpp"
#include "agent/proxy_requests.hpp"
#include "agent/proxy_session.hpp"
#include "transport/listener.hpp"
#include "transport/periodic_timer.hpp"
#include "transport/relay.hpp"

namespace dockbend {

/// Wires the parts together. Members are constructed in the order of their dependencies.
class Agent {
 public:
  /// Listens at once. Throws std::runtime_error if it can't.
  Agent(event_base* loop, Settings const& settings);
  Agent(Agent const&) = delete;

  /// A SIGTERM: breaks the event loop once the proxy has ended, or at the end of the grace period.
  void term();
  /// The settings file changed: only seeds and bounds are taken over.
  void settings(Settings const& changed);

 private:
  void connect_signals();
  /// Relays for other agents; an agent that can't does without.
  void start_relay();
  void accept_proxy(ConnectionPtr connection);
  void tick();
  /// What is due with each heartbeat.
  void tick_heartbeat(Seconds now);
  /// Usage counts go to the primary, which passes them on to the holder of the usage lease.
  void send_usage(Seconds now);
  void log_activity(Seconds now);
  bool may_end(Seconds now) const;

  AgentContext context_;
  ProxySession proxy_;
  ControllerLinks controllers_;
  ClaimSender claims_;
  ControllerMessages controller_messages_;
  ProxyRequests proxy_requests_;
  Listener listener_;
  std::unique_ptr<Relay> relay_;
  std::unique_ptr<PeriodicTimer> tick_timer_;
  bool is_shutting_down_ = false, owes_all_usage_ = false;
  Seconds shutdown_started_at_ = 0, ticked_at_ = 0, heartbeats_sent_at_ = 0, usage_sent_at_ = 0, logged_at_ = 0;
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("agent");
};

}  // namespace dockbend
