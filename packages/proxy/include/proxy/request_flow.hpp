/// What the parts of the proxy call when a request is to go on. It breaks the cycle between the parts, each of which
/// handles one phase of a request, and the driver that leads a request from phase to phase.
#pragma once
#include "request/request_machine.hpp"

namespace dockbend {

struct ProxiedRequest;

/// Implemented by RequestDriver. Every call may end the request: after it, the caller must not use the request again
/// unless the call's comment says so.
class RequestFlow {
 public:
  RequestFlow() = default;
  RequestFlow(RequestFlow const&) = delete;
  virtual ~RequestFlow() = default;
  /// Does what the request's state machine decided. With wait, pass and repeat the request still exists afterwards;
  /// for pass and repeat the caller writes the answer and then calls finish().
  virtual void carry_out(ProxiedRequest& request, RequestAction const& action) = 0;
  /// The client's answer has been written: removes the request.
  virtual void finish(ProxiedRequest& request) = 0;
  /// The request's timer fired.
  virtual void on_timer(ProxiedRequest& request) = 0;
  /// The request's client has disconnected.
  virtual void on_client_disconnected(ProxiedRequest& request) = 0;
};

}  // namespace dockbend
