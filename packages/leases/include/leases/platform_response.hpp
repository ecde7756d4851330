/// The outcome of one call to the users' platform.
#pragma once
#include <optional>

#include "base/types.hpp"

namespace dockbend {

struct PlatformResponse {
  int status = 0;                      // HTTP status; 0: no answer in time
  std::optional<Seconds> retry_after;  // as the platform wrote it, not checked; nullopt: not given
};

}  // namespace dockbend
