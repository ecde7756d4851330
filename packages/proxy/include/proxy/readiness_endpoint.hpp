/// The socket at which GET /-/readiness says whether the proxy takes requests.
#pragma once
#include "proxy/proxy_context.hpp"
#include "transport/event_owners.hpp"

namespace dockbend {

class ReadinessEndpoint {
 public:
  /// Listens at once; throws std::runtime_error if it can't.
  ReadinessEndpoint(ProxyContext const& context, Address const& address);
  ReadinessEndpoint(ReadinessEndpoint const&) = delete;

 private:
  static void on_request(evhttp_request* request, void* endpoint);
  ProxyContext const& context_;
  HttpServerOwner server_;
};

}  // namespace dockbend
