#include "proxy/shutdown_schedule.hpp"

#include <algorithm>
#include <limits>

namespace dockbend {

Seconds ShutdownSchedule::longest_request(Seconds now) const {
  if (now - started_at_ <= kFreeIntake) return std::numeric_limits<Seconds>::infinity();
  return std::max(0.0, must_end_at() - now);
}

}  // namespace dockbend
