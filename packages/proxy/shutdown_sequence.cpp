#include "proxy/shutdown_sequence.hpp"

#include <event2/event.h>
#include <log4cplus/loggingmacros.h>

namespace dockbend {
namespace {
/// What is sent last gets out meanwhile.
Seconds constexpr kLastReportFlush = 0.05;
/// A request that is being read is waited for until nothing has come of it for so many ticks of the listener.
u64 constexpr kReadIdleTicks = 10;
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
  ShutdownSchedule const schedule = context_.shutdown_schedule();
  if (front_.is_accepting() && !schedule.accepts_connections(now)) front_.stop_accepting();
  if (is_busy()) busy_at_ = now;
  if (now - busy_at_ <= ShutdownSchedule::kQuietBeforeEnd && now <= schedule.must_end_at()) return;
  if (last_report_at_ == 0) {
    last_report_at_ = now;
    return usage_.report_immediately(now);
  }
  if (now - last_report_at_ <= kLastReportFlush) return;
  log_end(now);
  event_base_loopbreak(context_.loop);
}

bool ShutdownSequence::is_busy() const {
  return front_.is_accepting() || context_.requests.size() > 0 || context_.response_flushes.unflushed() > 0 ||
         front_.open_body_reads(kReadIdleTicks) > 0;
}

void ShutdownSequence::log_end(Seconds now) const {
  LOG4CPLUS_INFO(logger_, "Shut down after " << now - context_.drain.shutdown_started_at() << " s. "
                                             << context_.requests.size() << " requests in flight, "
                                             << context_.response_flushes.unflushed() << " answers not sent wholly.");
  context_.requests.for_each([&](ProxiedRequest const& request) {
    Seconds const at_work = request.awaited.connection != nullptr ? now - request.awaited.started_at : 0;
    LOG4CPLUS_WARN(logger_, "Cut at the end of the grace period: "
                                << request.machine.attempt_id() << ", taken "
                                << request.arrived_at - context_.drain.shutdown_started_at()
                                << " s after the SIGTERM, at its server for " << at_work << " s.");
  });
}

}  // namespace dockbend
