#include "logging/log.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>

#include <cstdlib>
#include <memory>

namespace dockbend {
namespace {
log4cplus::Initializer* init = nullptr;  // never freed: its threads end with the process
}

void start_log() {
  if (init == nullptr) init = new log4cplus::Initializer;
  log4cplus::SharedAppenderPtr app(new log4cplus::ConsoleAppender(true, true));
  app->setLayout(std::unique_ptr<log4cplus::Layout>(new log4cplus::PatternLayout(LOG4CPLUS_TEXT("%c: %m%n"))));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.addAppender(app);
  root.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}
}  // namespace dockbend
