#include "proxy/activity_log.hpp"

#include <log4cplus/loggingmacros.h>
#include "transport/counters.hpp"

namespace dockbend {
namespace {
Seconds constexpr kLogInterval = 10;

/// `name n, name n`; the counts begin anew.
std::string take_summary(std::map<std::string, u64>& counts) {
  std::string line;
  for (auto const& [name, count] : counts)
    line += (line.empty() ? "" : ", ") + name + " " + std::to_string(count);
  counts.clear();
  return line;
}
}  // namespace

void ActivityLog::tick(Seconds now) {
  log_remote_traffic(now);
  for (; context_.connections.late_responses > 0; --context_.connections.late_responses)
    context_.requests.filter().count_discard(ResponseRejection::late_answer);
  log_discards(now);
  log_rejections(now);
  log_given_up(now);
  log_failed_attempts(now);
  log_runs_without_client(now);
}

void ActivityLog::log_remote_traffic(Seconds now) {
  if (now - remote_logged_at_ <= kLogInterval) return;
  remote_logged_at_ = now;
  TrafficCounters& traffic = context_.traffic;
  if (traffic.remote_attempts > 0)
    LOG4CPLUS_INFO(logger_, "Sent to other regions: " << traffic.remote_attempts << " attempts, "
                                                      << static_cast<u64>(traffic.remote_bytes_out) << " bytes out, "
                                                      << static_cast<u64>(traffic.remote_bytes_in) << " in.");
  traffic.remote_bytes_out = traffic.remote_bytes_in = 0;
  traffic.remote_attempts = 0;
}

void ActivityLog::log_discards(Seconds now) {
  if (now - discards_logged_at_ <= kLogInterval) return;
  discards_logged_at_ = now;
  if (std::string const counts = context_.requests.filter().summary_since_last(); !counts.empty())
    LOG4CPLUS_INFO(logger_, "Dropped as not the answer that was waited for: " << counts << ".");
}

void ActivityLog::log_rejections(Seconds now) {
  if (now - rejections_logged_at_ <= kLogInterval) return;
  rejections_logged_at_ = now;
  log_rejected_input();
}

void ActivityLog::log_given_up(Seconds now) {
  if (now - given_up_logged_at_ <= kLogInterval || context_.given_up.empty()) return;
  given_up_logged_at_ = now;
  LOG4CPLUS_INFO(logger_, "Requests given up: " << take_summary(context_.given_up) << ".");
}

void ActivityLog::log_failed_attempts(Seconds now) {
  if (now - failed_attempts_logged_at_ <= kLogInterval) return;
  failed_attempts_logged_at_ = now;
  if (!context_.failed_attempts.empty())
    LOG4CPLUS_INFO(logger_, "Attempts without an answer: " << take_summary(context_.failed_attempts) << ".");
  if (context_.hedged_attempts > 0)
    LOG4CPLUS_INFO(logger_, "Late attempts hedged: " << context_.hedged_attempts << ".");
  context_.hedged_attempts = 0;
}

void ActivityLog::log_runs_without_client(Seconds now) {
  if (now - runs_without_client_logged_at_ <= kLogInterval || context_.runs_without_client == 0) return;
  runs_without_client_logged_at_ = now;
  LOG4CPLUS_INFO(logger_,
                 "Runs that went on after their clients had disconnected: " << context_.runs_without_client << ".");
  context_.runs_without_client = 0;
}

}  // namespace dockbend
