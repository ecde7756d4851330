/// Admission: decides from a client request's head and the configuration whether the proxy refuses it with an answer of
/// its own, or takes it on with its route, tenant, homes and service. No I/O.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/operation_id.hpp"
#include "configuration/configuration.hpp"
#include "request/headers.hpp"

namespace dockbend {

/// A client's request as it arrived. Refers to the caller's data.
struct IncomingRequest {
  Headers const& headers;
  std::string_view target;
  std::size_t body_bytes = 0;
  bool may_be_chunked = false;  ///< its method may come with a body in chunks
  Seconds reading_time = 0;     ///< from its first byte until now; the client's time has run since
};

/// What is known of a request that was taken on.
struct AdmittedRequest {
  RoutePtr route;
  TenantPtr tenant;                      ///< null: the route needs none, or there are none
  bool has_tenants = false;              ///< the configuration has tenants: the client's credentials are not forwarded
  OperationId operation;                 ///< empty: not keyed
  std::string client;                    ///< of a keyed one; see ClientIdentity::fingerprint
  std::string const* service = nullptr;  ///< owned by the route
  std::vector<std::string> homes;        ///< regions that may serve it; empty: any
  bool is_repeatable = false;            ///< its route is idempotent, or it is keyed and its service deduplicates
  bool is_upload = false;                ///< costly to send far, and not begun while draining
  u32 rank = 0;                          ///< priority; lower ranks are shed last
  Seconds time_left = 0;                 ///< until its deadline
};

/// Bodies over this are uploads.
constexpr std::size_t kUploadBytes = 16384;

struct AdmissionResult {
  std::string attempt_id;        ///< as far as it is known
  LocalReply refusal;            ///< if there is no request
  char const* reason = nullptr;  ///< of the refusal, for the log; null: it is not counted
  std::optional<AdmittedRequest> request;
};
/// configuration: null until there is one. is_draining: for maintenance, so what may not be interrupted is not begun.
/// draw: 0 to 1, picks among a route's services.
AdmissionResult admit(IncomingRequest const& incoming, CompiledConfiguration const* configuration,
                      LimitsConfig const& limits, bool is_draining, double draw);

/// The bytes of the headers on the wire.
std::size_t size_of(Headers const& headers);

}  // namespace dockbend
