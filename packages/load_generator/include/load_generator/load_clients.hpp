/// \file
/// The clients of a generated load.
#pragma once
#include <event2/http.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "load_generation/load_report.hpp"
#include "load_generation/report_rendering.hpp"
#include "load_generator/options.hpp"
#include "load_generator/proxy_resolver.hpp"
#include "load_generator/single_requests.hpp"
#include "transport/event_owners.hpp"

namespace dockbend {

/// Sends each request when it is due, whether or not earlier ones were answered, and counts what comes of it. Ends the
/// event loop when the last request is answered or given up.
class LoadClients {
 public:
  /// @param loop must outlive the clients
  LoadClients(event_base* loop, LoadOptions options);
  LoadClients(LoadClients const&) = delete;
  LoadClients& operator=(LoadClients const&) = delete;
  ~LoadClients();

  /// Lets the first requests arrive; with directories after their first answers had time to come.
  void start();
  LoadReport report() const;

 private:
  /// One kind of request with its arrivals and results.
  struct KindState {
    LoadKind kind;
    Arrivals arrivals;
    KindResults results;
  };
  struct Proxy {
    Address address;
    std::vector<HttpConnectionOwner> idle_connections;
    Seconds avoided_until = 0;  // after a request that got no answer
    Seconds named_until = 0;    // by a directory; no end if by the command line
  };
  /// One request with all its tries.
  struct Call {
    LoadClients* clients;
    KindState* kind;
    Seconds due_at;
    Seconds sent_at = 0;  // the last try
    std::size_t proxy = 0;
    int retries = 0;
    std::string operation_key;  // the same for all tries
    HttpConnectionOwner connection;
  };

  void on_proxy_named(Address const& address);
  void schedule_next(KindState* kind);
  void begin(KindState* kind, Seconds due_at);
  void attempt(Call* call);
  std::size_t choose_proxy(Seconds now);
  HttpConnectionOwner take_connection(Proxy& proxy);
  evhttp_request* make_request(Call* call);
  static void on_answer(evhttp_request* answer, void* call);
  void finish_attempt(Call* call, int code, bool can_keep_connection);
  void release_connection(Call* call, bool can_keep_connection);
  bool can_retry(Call const& call, int code, Seconds now) const;
  void finish(Call* call, int code, Seconds now);
  void end_loop_if_done();

  event_base* loop_;
  LoadOptions options_;
  std::vector<std::unique_ptr<KindState>> kinds_;
  std::vector<Proxy> proxies_;
  std::size_t proxy_turn_ = 0;
  std::map<std::string, BudgetUsage> budget_usage_;  // by token, of the tenants that have a budget
  std::map<Call*, std::unique_ptr<Call>> calls_;
  std::size_t opened_connections_ = 0;
  std::size_t arriving_kinds_ = 0;  // kinds of which further requests arrive
  u64 attempts_ = 0;
  Seconds started_at_ = 0;
  RetiredConnections retired_;
  std::optional<ProxyResolver> resolver_;
  bool is_closing_ = false;  // while the destructor frees connections, which may call back
};

}  // namespace dockbend
