/// Receives what comes back from servers: checks it, learns from it, and forwards it or has the request retried.
#pragma once
#include <optional>

#include "proxy/attempt_runner.hpp"
#include "proxy/key_outcome_reporter.hpp"
#include "proxy/proxy_context.hpp"
#include "proxy/request_flow.hpp"
#include "proxy/response_writer.hpp"
#include "proxy/usage_metering.hpp"

namespace dockbend {

class ResponseReceiver {
 public:
  ResponseReceiver(ProxyContext& context, RequestFlow& flow, AttemptRunner& attempts, UsageMetering& usage,
                   KeyOutcomeReporter& key_outcomes, ResponseWriter const& writer)
      : context_(context),
        flow_(flow),
        attempts_(attempts),
        usage_(usage),
        key_outcomes_(key_outcomes),
        writer_(writer) {}

  /// The exchange on a connection ended. upstream_request: null or without a code if no complete answer came; libevent
  /// frees it after the call.
  void on_return(UpstreamConnection& connection, evhttp_request* upstream_request);

 private:
  // hedged: the attempt that ended, taken out of the request's hedged ones; none: it is the one that is waited for.
  void on_no_response(ProxiedRequest& request, UpstreamConnection& connection, std::optional<Attempt> const& hedged,
                      Seconds now);
  void on_failed(ProxiedRequest& request, UpstreamConnection& connection, std::optional<Attempt> const& hedged,
                 AttemptResult result);
  UpstreamResponse read_response(ProxiedRequest const& request, evhttp_request* upstream_request) const;
  void count_bytes(UpstreamResponse const& response, ServerIndex server);
  void learn_warm_up(UpstreamResponse const& response, ServerIndex server, Seconds now);
  /// Keeps the connection of a complete exchange for another request, or retires it.
  void release_connection(UpstreamConnection& connection, UpstreamResponse const& response, bool has_surplus,
                          Seconds now);
  /// attempt: the one that brought the response.
  void forward(ProxiedRequest& request, Attempt const& attempt, bool is_hedged, evhttp_request* upstream_request,
               UpstreamResponse const& response, Seconds now);

  ProxyContext& context_;
  RequestFlow& flow_;
  AttemptRunner& attempts_;
  UsageMetering& usage_;
  KeyOutcomeReporter& key_outcomes_;
  ResponseWriter const& writer_;
};

}  // namespace dockbend
