#include "stacks/log.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>

#include <cstdlib>
#include <memory>

namespace dockbend {
namespace {
std::unique_ptr<log4cplus::Initializer> init;
}

void start_log() {
  init = std::make_unique<log4cplus::Initializer>();
  log4cplus::SharedAppenderPtr app(new log4cplus::ConsoleAppender(true, true));
  app->setLayout(std::unique_ptr<log4cplus::Layout>(new log4cplus::PatternLayout(LOG4CPLUS_TEXT("%c: %m%n"))));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.addAppender(app);
  root.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}
void stop_log() { init.reset(); }
}  // namespace dockbend
