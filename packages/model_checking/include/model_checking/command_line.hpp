#pragma once
#include <stdexcept>
#include <string>

#include "model_checking/explore.hpp"
#include "model_checking/model_catalog.hpp"

/// \file
/// The options of dockbend-model-check.

namespace dockbend::model_checking {

/// Wrong usage; the message says what was expected.
struct UsageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct CommandLine {
  enum class Action { usage, help, version, list, search, walk, replay };
  Action action = Action::usage;  ///< usage: what was given is no command
  std::string argument;           ///< the model, or the trace file to replay
  std::string fault = kNoFault;
  std::string bounds;  ///< on top of the model's own
  SearchLimits search{200000, 100};
  WalkLimits walks{1, 1000, 200};
  std::string trace_file;
  bool as_json = false;
};

/// Throws UsageError for an option whose value is out of range; prints getopt's message for one that is unknown.
CommandLine read_command_line(int argc, char** argv);
std::string usage_text();

}  // namespace dockbend::model_checking
