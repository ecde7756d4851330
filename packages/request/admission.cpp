#include "request/admission.hpp"

#include <algorithm>
#include <cctype>
#include <cstdlib>

#include "request/client_identity.hpp"

namespace dockbend {
namespace {

using schema::RouteKind;

Seconds constexpr kRetryAfterWithoutConfiguration = 0.3, kRetryAfterDraining = 0.05, kRetryAfterNoHome = 1.0;

/// What is read of the headers: the first value of each, and the number of those that must come at most once.
struct KnownHeaders {
  std::string const *attempt_id = nullptr, *key = nullptr, *host = nullptr, *time_left = nullptr,
                    *authorization = nullptr;
  std::size_t keys = 0, hosts = 0;
};

KnownHeaders read_known(Headers const& headers) {
  KnownHeaders known;
  auto const keep_first = [](std::string const*& slot, std::string const& value) {
    if (slot == nullptr) slot = &value;
  };
  for (auto const& [name, value] : headers) {
    if (same_header_name(name, "X-Attempt-Id"))
      keep_first(known.attempt_id, value);
    else if (same_header_name(name, "X-Operation-Key"))
      keep_first(known.key, value), ++known.keys;
    else if (same_header_name(name, "Host"))
      keep_first(known.host, value), ++known.hosts;
    else if (same_header_name(name, "X-Time-Left"))
      keep_first(known.time_left, value);
    else if (same_header_name(name, "Authorization"))
      keep_first(known.authorization, value);
  }
  return known;
}

bool has_sound_frame(IncomingRequest const& incoming) {
  u64 length = 0;
  switch (body_framing(incoming.headers, length)) {
    case BodyFraming::none: return incoming.body_bytes == 0;
    case BodyFraming::length: return length == incoming.body_bytes;
    case BodyFraming::chunked: return incoming.may_be_chunked;
    case BodyFraming::ambiguous: break;
  }
  return false;
}

/// The host without its port, in lower case.
std::string host_name_of(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return name;
}

/// Picks among the route's services by their weights.
std::string const* pick_service(Route const& route, double draw) {
  double sum = 0;
  for (auto const& [service, weight] : route.to)
    sum += weight;
  double rest = draw * sum;
  for (auto const& [service, weight] : route.to) {
    if (weight > 0 && rest < weight) return &service;
    rest -= weight;
  }
  return &route.to.back().first;
}

/// If both the route and the tenant have homes, both bind. None: they have none in common.
std::optional<std::vector<std::string>> common_homes(Route const& route, Tenant const* tenant) {
  if (tenant == nullptr || tenant->homes.empty()) return route.homes;
  if (route.homes.empty()) return tenant->homes;
  std::vector<std::string> common;
  for (std::string const& home : route.homes)
    if (std::find(tenant->homes.begin(), tenant->homes.end(), home) != tenant->homes.end()) common.push_back(home);
  if (common.empty()) return std::nullopt;
  return common;
}

struct Refusal {
  LocalReply reply;
  char const* reason = nullptr;
};

/// What the request's bytes alone decide.
std::optional<Refusal> check_form(IncomingRequest const& incoming, KnownHeaders const& known,
                                  LimitsConfig const& limits) {
  // Two names for one request: the proxy would go by the one and the server by the other.
  if (!has_sound_frame(incoming) || known.hosts != 1 || known.keys > 1 || !are_well_formed(incoming.headers))
    return Refusal{make_local_reply(400, -1, true)};
  if (size_of(incoming.headers) + incoming.target.size() > limits.header_bytes)
    return Refusal{make_local_reply(431, -1, true)};
  if (incoming.body_bytes > limits.body_bytes) return Refusal{make_local_reply(413, -1, true)};
  if (incoming.target.empty() || incoming.target[0] != '/' || !is_well_formed_target(incoming.target))
    return Refusal{make_local_reply(400, -1, true)};
  return std::nullopt;
}

/// The client's time runs from its request's first byte, the route's from its last one.
Seconds time_left_of(Route const& route, KnownHeaders const& known, Seconds reading_time) {
  if (known.time_left != nullptr)
    if (double const milliseconds = std::strtod(known.time_left->c_str(), nullptr); milliseconds > 0)
      return std::clamp(milliseconds / 1000.0 - reading_time, 0.0, route.deadline);
  return route.deadline;
}

/// Fills the request; the route is set.
std::optional<Refusal> fill(AdmittedRequest& request, IncomingRequest const& incoming, KnownHeaders const& known,
                            CompiledConfiguration const& configuration, bool is_draining, double draw) {
  Route const& route = *request.route;
  bool const is_keyed = route.kind == RouteKind::keyed;
  request.is_upload = route.kind == RouteKind::inflow || incoming.body_bytes > kUploadBytes;
  if (is_draining && (is_keyed || request.is_upload))
    return Refusal{make_local_reply(503, kRetryAfterDraining, true), "draining"};
  ClientIdentity const client = identify_client(known.authorization, route, configuration);
  if (!client.is_admitted) return Refusal{make_local_reply(401)};
  request.tenant = client.tenant;
  request.has_tenants = configuration.has_tenants();
  request.rank = request.tenant && request.tenant->rank ? *request.tenant->rank : route.rank;
  request.time_left = time_left_of(route, known, incoming.reading_time);
  request.service = pick_service(route, draw);
  ServiceConfig const* const service = configuration.pool(*request.service);
  request.is_repeatable = route.kind == RouteKind::idempotent || (is_keyed && service != nullptr && service->dedupes);
  if (is_keyed) {
    if (known.key == nullptr || known.key->empty()) return Refusal{make_local_reply(400)};
    request.operation = operation_of_client(client, *known.key);
    request.client = client.fingerprint;
  }
  std::optional<std::vector<std::string>> homes = common_homes(route, request.tenant.get());
  if (!homes) return Refusal{make_local_reply(503, kRetryAfterNoHome), "homes have nothing in common"};
  request.homes = std::move(*homes);
  return std::nullopt;
}

}  // namespace

std::size_t size_of(Headers const& headers) {
  std::size_t constexpr kSeparators = 4;  // ": " and the line's end
  std::size_t bytes = 0;
  for (auto const& [name, value] : headers)
    bytes += name.size() + value.size() + kSeparators;
  return bytes;
}

AdmissionResult admit(IncomingRequest const& incoming, CompiledConfiguration const* configuration,
                      LimitsConfig const& limits, bool is_draining, double draw) {
  KnownHeaders const known = read_known(incoming.headers);
  AdmissionResult result;
  if (known.attempt_id != nullptr) result.attempt_id = *known.attempt_id;
  auto const refuse = [&result](Refusal const& refusal) {
    result.refusal = refusal.reply;
    result.reason = refusal.reason;
    return std::move(result);
  };
  if (std::optional<Refusal> const refusal = check_form(incoming, known, limits)) return refuse(*refusal);
  if (configuration == nullptr) return refuse({make_local_reply(503, kRetryAfterWithoutConfiguration)});
  AdmittedRequest request;
  request.route = configuration->find(host_name_of(*known.host), incoming.target.substr(0, incoming.target.find('?')));
  if (!request.route) return refuse({make_local_reply(404)});
  if (result.attempt_id.empty()) return refuse({make_local_reply(400)});
  if (std::optional<Refusal> const refusal = fill(request, incoming, known, *configuration, is_draining, draw))
    return refuse(*refusal);
  result.request = std::move(request);
  return result;
}

}  // namespace dockbend
