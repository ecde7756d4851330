/// \file
/// Clients' look-ups of proxies through directories.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "load_generator/options.hpp"
#include "load_generator/single_requests.hpp"
#include "transport/periodic_timer.hpp"

namespace dockbend {

/// Asks a directory, by turns, for the proxies of each place that clients are at: at the start and every second.
class ProxyResolver {
 public:
  using ProxyHandler = std::function<void(Address const&)>;

  /// @param on_proxy called for each proxy that an answer names
  ProxyResolver(event_base* loop, LoadOptions const& options, ProxyHandler on_proxy);

 private:
  void resolve();
  void on_answer(evhttp_request* answer) const;

  std::string host_;
  std::vector<Address> directories_;
  std::vector<ClientPlace> places_;
  ProxyHandler on_proxy_;
  std::size_t asked_ = 0;  // the number of questions so far
  SingleRequests requests_;
  PeriodicTimer timer_;
};

}  // namespace dockbend
