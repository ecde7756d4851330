/// Acquires the idempotency keys of keyed requests through the agent.
#pragma once
#include "idempotency/proxy_messages.hpp"
#include "proxy/proxy_context.hpp"
#include "proxy/request_flow.hpp"
#include "proxy/response_writer.hpp"

namespace dockbend {

/// A keyed request waits here between RequestAction::Step::acquire_key and the agent's answer, its own deadline or the
/// end of the agent's connection.
class IdempotencyClient {
 public:
  IdempotencyClient(ProxyContext& context, RequestFlow& flow, ResponseWriter const& writer)
      : context_(context), flow_(flow), writer_(writer) {}

  /// Asks the agent for the request's key. Without an agent the request is refused.
  void acquire(ProxiedRequest& request);
  /// The agent's answer. Throws codec::MalformedMessage if the stored answer in it can't be read; the client has had
  /// its answer by then.
  void on_response(u32 tag, AcquireKeyResponse const& response);
  /// The agent is gone. Whether a key was granted meanwhile can't be known: it is given back once there is an agent
  /// again.
  void on_agent_down();

 private:
  void refuse(ProxiedRequest& request, LocalReply const& reply, char const* reason = nullptr);
  void repeat(ProxiedRequest& request, StoredAnswer const& answer);
  ProxyContext& context_;
  RequestFlow& flow_;
  ResponseWriter const& writer_;
};

}  // namespace dockbend
