/// Chooses servers, and handles retries, late attempts and deadlines.
#pragma once
#include <log4cplus/logger.h>

#include "load_balancing/load_balancer.hpp"
#include "proxy/proxy_context.hpp"
#include "proxy/request_flow.hpp"
#include "proxy/upstream_sender.hpp"
#include "proxy/usage_metering.hpp"

namespace dockbend {

/// A request is here from RequestAction::Step::choose_server until a server's answer or its deadline.
class AttemptRunner {
 public:
  AttemptRunner(ProxyContext& context, RequestFlow& flow, UsageMetering& usage)
      : context_(context), flow_(flow), usage_(usage), sender_(context) {}

  /// Chooses a server and sends, or gives the request up.
  void start(ProxiedRequest& request);
  /// The attempt that is waited for ended without an answer for the client: retries, waits for a hedged one, or gives
  /// up.
  void on_failed(ProxiedRequest& request, AttemptResult result);
  /// A hedged attempt, which the request no longer has, ended so. was_kept as for report_failure().
  void on_hedged_failed(ProxiedRequest& request, Attempt const& attempt, AttemptResult result, bool was_kept);
  /// No further attempt can be made: waits for the newest hedged one.
  void resume_hedged(ProxiedRequest& request);
  /// The request has its answer, or its deadline has come: ends all attempts that are still at work.
  void abandon_all(ProxiedRequest& request);
  /// Ends the request, or lets its run go on, as its state machine says.
  void on_client_disconnected(ProxiedRequest& request);
  /// The request's timer fired: its deadline, a connect that takes too long, or an attempt that is late.
  void on_timer(ProxiedRequest& request);
  /// Counts an attempt that had been sent and is over without an answer; after a SIGTERM also logs it by itself.
  /// cause: a literal.
  void record_failure(ProxiedRequest const& request, Attempt const& attempt, char const* cause);

 private:
  EndpointQuery query_of(ProxiedRequest const& request) const;
  void send(ProxiedRequest& request, ServerIndex server, Seconds now);
  /// No server can take it. If it has not run, the reply says when to come back.
  void give_up(ProxiedRequest& request, char const* reason);
  /// Sends to one more server beside the late attempt at work, once all that the retry needs is had. Nothing else runs
  /// between the choice of the server and the send to it. False: nothing has changed.
  bool hedge_late_attempt(ProxiedRequest& request, Seconds now);
  /// Takes a token for a retry, if the service's retry budget has one.
  bool spend_retry_budget(ProxiedRequest const& request, Seconds now);
  void expire(ProxiedRequest& request, Seconds now);
  /// Arms the timer for what comes next of the attempt that is waited for.
  void set_timer(ProxiedRequest& request, Seconds now);
  /// Has no byte of it been acknowledged yet, and might its server be slow to read it?
  bool awaits_acknowledgement(ProxiedRequest const& request) const;
  /// Tells the load balancer of the attempts at work, which are to be broken off for nobody waits for them.
  void report_cancelled(ProxiedRequest const& request, Seconds now);
  /// Breaks off the attempt that is waited for, if there is one.
  void abort_awaited(ProxiedRequest& request);
  /// Tells the load balancer how an attempt ended. was_kept: its connection had served another request before.
  void report_failure(ServerIndex server, AttemptResult result, bool was_kept, Seconds attempt_started_at, Seconds now);

  ProxyContext& context_;
  RequestFlow& flow_;
  UsageMetering& usage_;
  UpstreamSender sender_;
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("proxy");
};

}  // namespace dockbend
