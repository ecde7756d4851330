// What a client's request is, as far as its head and the configuration say: refused with an
// answer of our own, or a request with its route, partner, homes and service. No I/O.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/configuration.hpp"
#include "request/headers.hpp"

namespace dockbend {

struct IncomingRequest {
  Headers const& heads;
  std::string_view target;
  std::size_t body = 0;
  bool chunks = false;  // its method may come with a body in chunks
};

struct AdmittedRequest {
  RoutePtr route;
  TenantPtr tenant;                      // null: the lane is keyless, or there are no customers
  bool gated = false;                    // there are customers: the client's key stays here
  std::string key;                       // of the operation; two partners may use the same words
  std::string const* service = nullptr;  // of the lane
  std::vector<std::string> homes;
  bool repeatable = false, upload = false;
  u32 rank = 0;
  Seconds left = 0;
};

// Bodies over this are uploads: dear to carry far, and not begun on the way out.
constexpr std::size_t kUploadBytes = 16384;

struct AdmissionResult {
  std::string id;  // of the attempt, as far as it is known
  LocalReply no;   // if not ok
  char const* why = nullptr;
  std::optional<AdmittedRequest> ok;
};
// drains: on its way out for maintenance; draw: 0 to 1, picks among a lane's services. The
// configuration is null until there is one.
AdmissionResult admit(IncomingRequest const& a, CompiledConfiguration const* man, LimitsConfig const& limits,
                      bool drains, double draw);

// The bytes of the head's fields.
std::size_t size_of(Headers const& h);

}  // namespace dockbend
