/// Sends what the claim coordinator wants sent.
#pragma once
#include "agent/agent_context.hpp"
#include "agent/controller_links.hpp"
#include "agent/proxy_session.hpp"

namespace dockbend {

class ClaimSender {
 public:
  ClaimSender(AgentContext& context, ControllerLinks& controllers, ProxySession& proxy)
      : context_(context), controllers_(controllers), proxy_(proxy) {}
  /// To be called after each event that the coordinator was told.
  void send_all();

 private:
  void send(SendClaim const& action);
  void send(SendRelease const& action);
  void send(SendFetch const& action);
  void send(SendStore const& action);
  void send(SendCatchUp const& action);
  void send(SendAnswer const& action);
  template <class T>
  void send_to(std::string const& ip, MessageType type, u32 tag, T const& record);
  AgentContext& context_;
  ControllerLinks& controllers_;
  ProxySession& proxy_;
};

}  // namespace dockbend
