/// Log lines that sum up, at most every ten seconds each, what happens too often for a line of its own.
#pragma once
#include <log4cplus/logger.h>

#include "proxy/proxy_context.hpp"

namespace dockbend {

/// Traffic to other regions, discarded answers, rejected input, failed attempts, requests that were given up, and
/// runs without a client.
class ActivityLog {
 public:
  explicit ActivityLog(ProxyContext& context) : context_(context) {}
  void tick(Seconds now);

 private:
  void log_remote_traffic(Seconds now);
  void log_discards(Seconds now);
  void log_rejections(Seconds now);
  void log_given_up(Seconds now);
  void log_failed_attempts(Seconds now);
  void log_runs_without_client(Seconds now);
  ProxyContext& context_;
  Seconds remote_logged_at_ = 0, discards_logged_at_ = 0, rejections_logged_at_ = 0, given_up_logged_at_ = 0,
          failed_attempts_logged_at_ = 0, runs_without_client_logged_at_ = 0;
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("proxy");
};

}  // namespace dockbend
