/// Reports to the agent how loaded the proxy is and how its drain goes on.
#pragma once
#include "proxy/front_listener.hpp"
#include "proxy/proxy_context.hpp"

namespace dockbend {

class LoadReporter {
 public:
  LoadReporter(ProxyContext& context, FrontListener const& front, std::string front_address)
      : context_(context), front_(front), front_address_(std::move(front_address)) {}
  /// Sends a ProxyLoadReport; without an agent it only updates the load.
  void report();

 private:
  void update_load(Seconds now);
  ProxyDrainStatus drain_status(Seconds now);
  ProxyContext& context_;
  FrontListener const& front_;
  std::string front_address_;
  double load_ = 0;  // share of what this proxy can bear, smoothed
  Seconds updated_at_ = 0;
  Seconds cpu_seconds_ = 0;  // used by this process until updated_at_
};

}  // namespace dockbend
