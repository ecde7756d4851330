/// Acts on a SIGTERM and on an operator's drain for maintenance.
#pragma once
#include <log4cplus/logger.h>

#include "proxy/front_listener.hpp"
#include "proxy/load_reporter.hpp"
#include "proxy/proxy_context.hpp"
#include "proxy/usage_metering.hpp"

namespace dockbend {

/// After a SIGTERM the proxy first reports itself as draining while it still takes connections, so that the directories
/// can send clients elsewhere; then it stops accepting; and it ends once nothing has been open for a while, no request
/// is being read and no answer waits to be sent, or the grace period is over (ShutdownSchedule).
class ShutdownSequence {
 public:
  ShutdownSequence(ProxyContext& context, FrontListener& front, LoadReporter& load, UsageMetering& usage)
      : context_(context), front_(front), load_(load), usage_(usage) {}
  /// A SIGTERM; a second one changes nothing.
  void begin();
  void on_drain_instruction(DrainInstruction const& instruction);
  /// Breaks the event loop when the proxy may end.
  void tick(Seconds now);

 private:
  /// Would the end of the process cut something off, or may something begin?
  bool is_busy() const;
  /// What the end of the process cuts off.
  void log_end(Seconds now) const;
  ProxyContext& context_;
  FrontListener& front_;
  LoadReporter& load_;
  UsageMetering& usage_;
  Seconds busy_at_ = 0;         // when something was open last
  Seconds last_report_at_ = 0;  // when the last usage report was sent; 0: not yet
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("proxy");
};

}  // namespace dockbend
