/// \file
/// The server that the load generator is tried on.
#pragma once
#include <event2/http.h>

#include <deque>
#include <optional>
#include <set>
#include <string>

#include "load_generator/options.hpp"
#include "load_generator/single_requests.hpp"
#include "transport/event_owners.hpp"
#include "transport/periodic_timer.hpp"

namespace dockbend {

/// A stand-in for a service's server: takes a fixed time for each request, seals its answers, refuses when it is full,
/// answers health checks and sends heartbeats. Invariant: running_ and waiting_.size() are at most the capacity.
class StandInServer {
 public:
  /// @param loop must outlive the server
  /// @param options with an address
  StandInServer(event_base* loop, StandInOptions options);
  StandInServer(StandInServer const&) = delete;
  StandInServer& operator=(StandInServer const&) = delete;

  /// Listens, and sends the first heartbeat if there is a target.
  /// @return false if it can't listen
  bool start();

 private:
  void on_request(evhttp_request* request);
  void answer_health(evhttp_request* request) const;
  void answer_counts(evhttp_request* request) const;
  void admit(evhttp_request* request);
  void run(evhttp_request* request);
  void finish(evhttp_request* request);
  void send_heartbeat();

  event_base* loop_;
  StandInOptions options_;
  u32 running_ = 0;
  std::deque<evhttp_request*> waiting_;  // owned by http_server_
  u64 heartbeats_ = 0, finished_ = 0;
  std::set<std::string> operation_keys_;  // of the keyed requests run
  u64 keys_run_twice_ = 0;
  SingleRequests heartbeat_requests_;
  std::optional<PeriodicTimer> heartbeat_timer_;
  HttpServerOwner http_server_;
};

}  // namespace dockbend
