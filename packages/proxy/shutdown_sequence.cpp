#include "proxy/shutdown_sequence.hpp"

#include <event2/event.h>
#include <log4cplus/loggingmacros.h>

namespace dockbend {
namespace {
/// Part of the grace period in which connections are still accepted.
double constexpr kAcceptingPart = 0.45;
/// Accepted connections may still hand in a request for so long.
Seconds constexpr kQuietBeforeEnd = 0.3;
/// The process ends so long before the grace period does.
Seconds constexpr kEndMargin = 0.4;
}  // namespace

void ShutdownSequence::begin() {
  if (context_.drain.is_shutting_down()) return;
  context_.drain.begin_shutdown(steady_now());
  load_.report();
  LOG4CPLUS_INFO(logger_, "Shutting down. " << context_.requests.size() << " requests in flight.");
}

void ShutdownSequence::on_drain_instruction(DrainInstruction const& instruction) {
  if (context_.drain.maintenance().on_instruction(instruction, steady_now()))
    LOG4CPLUS_INFO(logger_, (context_.drain.is_draining_for_maintenance() ? "Draining for maintenance. "
                                                                          : "No longer draining for maintenance. ")
                                << context_.requests.size() << " requests in flight.");
  load_.report();
}

void ShutdownSequence::tick(Seconds now) {
  if (!context_.drain.is_shutting_down()) return;
  Seconds const grace_period = context_.settings.bounds.gracePeriodS;
  Seconds const elapsed = now - context_.drain.shutdown_started_at();
  if (front_.is_accepting() && elapsed > grace_period * kAcceptingPart) {
    front_.stop_accepting();
    stopped_accepting_at_ = now;
  }
  bool const is_idle =
      !front_.is_accepting() && context_.requests.size() == 0 && now - stopped_accepting_at_ > kQuietBeforeEnd;
  if (!is_idle && elapsed <= grace_period - kEndMargin) return;
  usage_.report_immediately(now);
  log_end(now);
  event_base_loopbreak(context_.loop);
}

void ShutdownSequence::log_end(Seconds now) const {
  LOG4CPLUS_INFO(logger_, "Shut down after " << now - context_.drain.shutdown_started_at() << " s. "
                                             << context_.requests.size() << " requests in flight, "
                                             << context_.response_flushes.unflushed() << " answers not sent wholly.");
  context_.requests.for_each([&](ProxiedRequest const& request) {
    Seconds const at_work = request.connection != nullptr ? now - request.retry_state().attempt_started_at() : 0;
    LOG4CPLUS_WARN(logger_, "Cut at the end of the grace period: "
                                << request.machine.attempt_id() << ", taken "
                                << request.arrived_at - context_.drain.shutdown_started_at()
                                << " s after the SIGTERM, at its server for " << at_work << " s.");
  });
}

}  // namespace dockbend
