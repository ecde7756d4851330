/// Leads each request from phase to phase, as its state machine decides.
#pragma once
#include <log4cplus/logger.h>

#include "proxy/attempt_runner.hpp"
#include "proxy/idempotency_client.hpp"
#include "proxy/key_outcome_reporter.hpp"
#include "proxy/proxy_context.hpp"
#include "proxy/quota_gate.hpp"
#include "proxy/request_flow.hpp"
#include "proxy/response_receiver.hpp"
#include "proxy/response_writer.hpp"
#include "proxy/usage_metering.hpp"

namespace dockbend {

/// Owns the parts that handle one phase each; see RequestMachine for the phases.
class RequestDriver final : public RequestFlow {
 public:
  RequestDriver(ProxyContext& context, std::string front);
  RequestDriver(RequestDriver const&) = delete;

  void carry_out(ProxiedRequest& request, RequestAction const& action) override;
  void finish(ProxiedRequest& request) override;
  void on_timer(ProxiedRequest& request) override;
  void on_client_disconnected(ProxiedRequest& request) override;
  /// Looks for disconnects that the clients' next requests hide. To be called several times a second.
  void find_hidden_disconnects();

  ResponseWriter const& writer() const { return writer_; }
  QuotaGate& quota() { return quota_; }
  IdempotencyClient& idempotency() { return idempotency_; }
  KeyOutcomeReporter& key_outcomes() { return key_outcomes_; }
  UsageMetering& usage() { return usage_; }

 private:
  /// Logs an answer of ours that stands in place of a server's, if a SIGTERM has arrived.
  void log_own_failure(ProxiedRequest const& request, RequestAction const& action) const;

  ProxyContext& context_;
  ResponseWriter writer_;
  KeyOutcomeReporter key_outcomes_;
  UsageMetering usage_;
  QuotaGate quota_;
  IdempotencyClient idempotency_;
  AttemptRunner attempts_;
  ResponseReceiver receiver_;
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("proxy");
};

}  // namespace dockbend
