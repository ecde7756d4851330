/// \file
/// Agents and servers that exist only as their messages to a real controller.
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "consensus/acceptor.hpp"
#include "hollow_nodes/options.hpp"
#include "hollow_nodes/process_usage.hpp"
#include "transport/connection.hpp"
#include "transport/event_owners.hpp"
#include "transport/message.hpp"
#include "transport/peer_link.hpp"
#include "transport/periodic_timer.hpp"

namespace dockbend {

/// What went to and fro while it was counted.
struct SimulationCounts {
  u64 messages_in = 0, bytes_in = 0, messages_out = 0, bytes_out = 0;
  u64 heartbeats_answered = 0, heartbeats_failed = 0;
  u64 claims_granted = 0, claims_refused = 0;
};

/// What a simulation came to.
struct SimulationReport {
  SimulationCounts counts;
  u64 connected_agents = 0;  // at the end
  Seconds counted_time = 0;
  Seconds controller_processor_time = 0;  // while it was counted
  double controller_megabytes = 0;        // at the end

  /// Whether the controller was reached at all.
  bool is_reached() const { return connected_agents > 0 || counts.heartbeats_answered > 0; }
};

/// Agents that register, keep alive, claim keys and are sent the state, and servers that send heartbeats; all in one
/// process and one thread.
class SimulatedNodes {
 public:
  /// @param loop must outlive the nodes
  /// @param options with both addresses
  SimulatedNodes(event_base* loop, SimulationOptions options);
  SimulatedNodes(SimulatedNodes const&) = delete;
  SimulatedNodes& operator=(SimulatedNodes const&) = delete;

  /// Runs the loop for the whole duration.
  SimulationReport run();

 private:
  struct Agent {
    std::unique_ptr<PeerLink> link;
    std::string front;
  };

  void connect_agents();
  void open_heartbeat_connections();
  template <codec::Record T>
  void send(Agent& agent, MessageType type, u32 tag, T const& record);
  void on_agent_up(Agent& agent);
  void on_message(Message const& message);
  void send_due_messages();
  void send_agent_heartbeat(Agent& agent);
  void send_server_heartbeat(std::size_t server);
  void send_claim();

  event_base* loop_;
  SimulationOptions options_;
  SimulationCounts counts_;
  u64 connected_agents_ = 0;
  u64 heartbeat_sequence_ = 0;
  Incarnation incarnation_;
  Epoch epoch_;
  double due_claims_ = 0;
  std::size_t agent_turn_ = 0, server_turn_ = 0;
  // Freed first, because their callbacks refer to the members above.
  std::vector<Agent> agents_;  // never resized after the links refer to them
  std::vector<HttpConnectionOwner> heartbeat_connections_;
};

/// The report as one line of JSON.
std::string render_as_json(SimulationOptions const& options, SimulationReport const& report);

}  // namespace dockbend
