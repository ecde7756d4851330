/// The proxy's connection, what the proxy reported over it, and what it was told.
#pragma once
#include <sigc++/sigc++.h>

#include <map>
#include <optional>
#include <set>
#include <string>

#include "agent/agent_context.hpp"
#include "consensus/state_delta.hpp"
#include "idempotency/proxy_messages.hpp"
#include "transport/connection.hpp"

namespace dockbend {

/// Invariants: one connection is served, the newest; the proxy gets the complete state and all servers first on each
/// connection, and then only what changed.
class ProxySession {
 public:
  sigc::signal<void(Connection&, Message const&)> on_message;
  sigc::signal<void()> on_ended;

  explicit ProxySession(AgentContext& context) : context_(context) {}
  ProxySession(ProxySession const&) = delete;

  /// Serves this connection from now on, in place of the one before.
  void accept(ConnectionPtr connection);
  bool is_connected() const { return connection_ != nullptr; }
  /// Does the id name the connection that is served?
  bool is_on(u64 connection_id) const { return connection_ && connection_->id() == connection_id; }

  template <codec::Record T>
  void send(MessageType type, u32 tag, T const& record) {
    if (connection_) connection_->send(type, tag, record);
  }
  void forward(MessageType type, u32 tag, std::string_view body) {
    if (connection_) connection_->send(type, tag, body);
  }

  // ---- what it reported ----
  void note_heard(Seconds now) { heard_at_ = now; }
  /// True if its readiness has changed.
  bool take_report(ProxyLoadReport const& report);
  ProxyLoadReport const& report() const { return report_; }
  /// Ready by its last report, which is not old.
  bool is_ready(Seconds now) const;

  // ---- what it is told ----
  /// The complete state, or the difference to the one that it was told last; null: the complete one.
  void send_state(StateDelta const* difference);
  void server_changed(std::string const& id) { changed_servers_.insert(id); }
  /// Servers that have changed since the last call; all of them on a new connection.
  void send_servers(Seconds now);
  void send_clock(Seconds now);
  void send_proxy_counts(std::map<std::string, u32> const& proxies_by_zone);
  void set_drain_instruction(DrainInstruction const& instruction);
  DrainInstruction const& drain_instruction() const { return drain_instruction_; }

 private:
  void end(Connection& connection);
  AgentContext& context_;
  ConnectionPtr connection_;
  ProxyLoadReport report_;
  Seconds heard_at_ = 0;
  std::optional<Ballot> told_ballot_;  // of the state last sent over this connection
  std::set<std::string> changed_servers_;
  bool owes_all_servers_ = true;
  std::map<std::string, u32> told_proxy_counts_;
  Seconds clock_sent_at_ = 0;
  DrainInstruction drain_instruction_;  // of the primary controller
};

}  // namespace dockbend
