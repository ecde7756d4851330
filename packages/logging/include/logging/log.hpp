/// \file
/// Logging by log4cplus to standard error: short sentences, prefixed with the name of the logger.
#pragma once
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace dockbend {
/// Configures the root logger. To be called once in main, before the first log line.
void start_log();
}  // namespace dockbend

/// Defines `logger` in the scope: the logger named `part`.
#define DB_LOG(part) static log4cplus::Logger const logger = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT(part))
