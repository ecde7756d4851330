// Sparing logs: short sentences, a fixed prefix for each part.
#pragma once
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace dockbend {
// Call once in main, before the first log line.
void start_log();
}  // namespace dockbend

#define DB_LOG(part) static log4cplus::Logger const logger = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT(part))
