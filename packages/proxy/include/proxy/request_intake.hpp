/// Takes a client's request from the front listener: admission, routing, and the first step of its way.
#pragma once
#include "proxy/proxy_context.hpp"
#include "proxy/quota_gate.hpp"
#include "proxy/request_flow.hpp"
#include "proxy/response_writer.hpp"
#include "proxy/service_routing.hpp"

namespace dockbend {

class RequestIntake {
 public:
  RequestIntake(ProxyContext& context, RequestFlow& flow, ServiceRouting& routing, QuotaGate& quota,
                ResponseWriter const& writer)
      : context_(context), flow_(flow), routing_(routing), quota_(quota), writer_(writer) {}

  /// The request is complete, body included. reading_time: how long ago its first byte came, in seconds.
  void on_request(evhttp_request* client_request, Seconds reading_time);

 private:
  /// May the request still be at work when this process, which got a SIGTERM, must end?
  bool outlasts_shutdown(AdmittedRequest const& request, Seconds now) const;
  void refuse(evhttp_request* client_request, AdmissionResult const& result);
  ProxiedRequest& open(evhttp_request* client_request, AdmissionResult&& result, Seconds now);
  ProxyContext& context_;
  RequestFlow& flow_;
  ServiceRouting& routing_;
  QuotaGate& quota_;
  ResponseWriter const& writer_;
};

}  // namespace dockbend
