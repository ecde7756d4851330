/// \file
/// The command line of dockbend-loadgen.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "load_generation/load_report.hpp"
#include "settings/settings.hpp"

namespace dockbend {

/// Where clients are, as a directory is asked for them.
struct ClientPlace {
  std::string zone, region;
};

/// A budget that a tenant's grants are compared with.
struct BudgetOption {
  std::string token;
  double rate = 0;   // requests a second
  double burst = 0;  // requests
};

/// What load to generate, and whereto.
struct LoadOptions {
  std::vector<Address> proxies, directories;
  std::vector<ClientPlace> places;
  std::vector<LoadKind> kinds;
  std::vector<BudgetOption> budgets;  // at most one a token, by token
  std::string host;
  int retries = 0;
  Seconds duration = 10;  // how long requests arrive
  Seconds time_left = 2;  // what each request says it will wait
  u64 seed = 1;
  bool print_json = false;
};

/// How the stand-in server behaves.
struct StandInOptions {
  std::optional<Address> address, heartbeat_target;
  std::string id = "stand-in", service, zone;
  Seconds work_time = 0.02;
  Seconds upload_time = 0;  // for a large body; 0: the same as others
  u32 capacity = 4;         // requests at once; as many again may wait
};

/// A command line that has been read.
struct Options {
  enum class Action { generate_load, serve, show_help, show_version, reject };
  Action action = Action::reject;
  LoadOptions load;
  StandInOptions stand_in;
};

/// Reads the command line. getopt_long prints what it doesn't know itself; the action is `reject` then, as it is if
/// something needed is missing.
/// @throws std::exception with a text that names the option whose value can't be used
Options read_options(int argc, char** argv);

/// The help text.
extern char const* const kUsageText;

}  // namespace dockbend
