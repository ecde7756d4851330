/// Which services the load balancer knows, and with which limits.
#pragma once
#include <set>
#include <string>

#include "proxy/proxy_context.hpp"

namespace dockbend {

/// Invariant: every service that a request was routed to has the limits of the configuration in force.
class ServiceRouting {
 public:
  explicit ServiceRouting(ProxyContext& context) : context_(context) {}
  /// The service's index; at its first use its limits are set too.
  ServiceIndex index_of(std::string const& service);
  /// Sets the limits of all services in use, after a change of the configuration.
  void update_limits();

 private:
  void set_limits(std::string const& service);
  ProxyContext& context_;
  std::set<std::string> services_;  // in use
};

}  // namespace dockbend
