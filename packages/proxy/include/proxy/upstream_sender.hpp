/// Sends one attempt to a chosen server.
#pragma once
#include "proxy/proxy_context.hpp"

namespace dockbend {

class UpstreamSender {
 public:
  explicit UpstreamSender(ProxyContext& context) : context_(context) {}

  enum class Outcome {
    sent,    ///< on its way
    failed,  ///< libevent did not take it; the attempt has begun and is now to be ended as unsent
    over,    ///< the attempt or the whole request ended within the call; the request may not exist any more
  };
  /// Begins the attempt in the state machine, takes a connection and hands the request to libevent.
  Outcome send(ProxiedRequest& request, ServerIndex server, Seconds now);

 private:
  void add_headers(evhttp_request* upstream_request, ProxiedRequest const& request, std::string const& server_id,
                   Seconds now) const;
  int acknowledgement_timeout_ms(ProxiedRequest const& request, bool is_remote) const;
  Seconds connect_limit(ServerIndex server, ProxiedRequest const& request) const;
  ProxyContext& context_;
};

}  // namespace dockbend
