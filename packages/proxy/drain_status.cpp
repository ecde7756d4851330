#include "proxy/drain_status.hpp"

#include "process/signals.hpp"

namespace dockbend {

void DrainStatus::begin_shutdown(Seconds now) {
  is_shutting_down_ = true;
  shutdown_started_at_ = now;
}

bool DrainStatus::is_terminating() const {
  return is_shutting_down_ || term_arrived();
}

}  // namespace dockbend
