#include "proxy/service_routing.hpp"

namespace dockbend {

ServiceIndex ServiceRouting::index_of(std::string const& service) {
  if (services_.insert(service).second) {
    context_.load_balancer.service_index(service);
    set_limits(service);
  }
  return context_.load_balancer.service_index(service);
}

void ServiceRouting::update_limits() {
  for (std::string const& service : services_)
    set_limits(service);
}

void ServiceRouting::set_limits(std::string const& service) {
  ServiceConfig const* const config = context_.configuration.pool(service);
  if (config == nullptr) return;
  ServiceLimits const limits{static_cast<double>(config->conn_limit), config->cold_rate, config->cold_s};
  context_.load_balancer.set_limits(context_.load_balancer.service_index(service), limits);
}

}  // namespace dockbend
