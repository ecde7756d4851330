#include "load_generator/options.hpp"

#include <getopt.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>

namespace dockbend {
namespace {

double constexpr kMillisecondsPerSecond = 1000;

option const kOptions[] = {{"to", required_argument, nullptr, 't'},
                           {"host", required_argument, nullptr, 'o'},
                           {"kind", required_argument, nullptr, 'k'},
                           {"for", required_argument, nullptr, 'f'},
                           {"time-left", required_argument, nullptr, 'l'},
                           {"seed", required_argument, nullptr, 's'},
                           {"json", no_argument, nullptr, 'j'},
                           {"at", required_argument, nullptr, 'a'},
                           {"id", required_argument, nullptr, 'i'},
                           {"work-ms", required_argument, nullptr, 'w'},
                           {"upload-ms", required_argument, nullptr, 'u'},
                           {"capacity", required_argument, nullptr, 'c'},
                           {"beat", required_argument, nullptr, 'b'},
                           {"service", required_argument, nullptr, 'S'},
                           {"zone", required_argument, nullptr, 'z'},
                           {"budget", required_argument, nullptr, 'B'},
                           {"resolve", required_argument, nullptr, 'r'},
                           {"from", required_argument, nullptr, 'F'},
                           {"retries", required_argument, nullptr, 'R'},
                           {"help", no_argument, nullptr, 'h'},
                           {"version", no_argument, nullptr, 'v'},
                           {nullptr, 0, nullptr, 0}};

/// @throws LoadOptionError that names `what` if the text is no number from `least` to `most`
double read_number(std::string const& text, char const* what, double least, double most) {
  char* end = nullptr;
  double const number = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || !(number >= least) || number > most)
    throw LoadOptionError(std::string(what) + ": not a fitting number: '" + text + "'");
  return number;
}

ClientPlace read_place(std::string const& text) {
  auto const colon = text.find(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == text.size())
    throw LoadOptionError("--from: wants ZONE:REGION, not '" + text + "'");
  return {text.substr(0, colon), text.substr(colon + 1)};
}

BudgetOption read_budget(std::string const& text) {
  auto const equals = text.find('=');
  auto const colon = text.find(':', equals == std::string::npos ? 0 : equals);
  if (equals == std::string::npos || colon == std::string::npos)
    throw LoadOptionError("--budget: wants TOKEN=RATE:BURST, not '" + text + "'");
  double const rate = read_number(text.substr(equals + 1, colon - equals - 1), "--budget: RATE", 0.001, 1e9);
  return {text.substr(0, equals), rate, read_number(text.substr(colon + 1), "--budget: BURST", 1, 1e9)};
}

/// Keeps the budgets sorted by token; a later budget of the same token replaces the earlier.
void set_budget(std::vector<BudgetOption>& budgets, BudgetOption budget) {
  auto const at =
      std::lower_bound(budgets.begin(), budgets.end(), budget,
                       [](BudgetOption const& left, BudgetOption const& right) { return left.token < right.token; });
  if (at != budgets.end() && at->token == budget.token)
    *at = std::move(budget);
  else
    budgets.insert(at, std::move(budget));
}

/// @return whether `letter` is an option of the load
bool read_load_option(LoadOptions& load, int letter, char const* value) {
  switch (letter) {
    case 't': load.proxies.push_back(parse_addr(value, "--to")); return true;
    case 'r': load.directories.push_back(parse_addr(value, "--resolve")); return true;
    case 'R': load.retries = static_cast<int>(read_number(value, "--retries", 0, 100)); return true;
    case 'F': load.places.push_back(read_place(value)); return true;
    case 'B': set_budget(load.budgets, read_budget(value)); return true;
    case 'o': load.host = value; return true;
    case 'k': load.kinds.push_back(parse_kind(value)); return true;
    case 'f': load.duration = read_number(value, "--for", 0.01, 86400); return true;
    case 'l': load.time_left = read_number(value, "--time-left", 0.01, 3600); return true;
    case 's': load.seed = static_cast<u64>(read_number(value, "--seed", 0, 1e15)); return true;
    case 'j': load.print_json = true; return true;
    default: return false;
  }
}

/// @return whether `letter` is an option of the stand-in server
bool read_stand_in_option(StandInOptions& stand_in, int letter, char const* value) {
  switch (letter) {
    case 'a': stand_in.address = parse_addr(value, "--at"); return true;
    case 'i': stand_in.id = value; return true;
    case 'w': stand_in.work_time = read_number(value, "--work-ms", 0, 1e6) / kMillisecondsPerSecond; return true;
    case 'u': stand_in.upload_time = read_number(value, "--upload-ms", 0, 1e6) / kMillisecondsPerSecond; return true;
    case 'c': stand_in.capacity = static_cast<u32>(read_number(value, "--capacity", 1, 1e6)); return true;
    case 'b': stand_in.heartbeat_target = parse_addr(value, "--beat"); return true;
    case 'S': stand_in.service = value; return true;
    case 'z': stand_in.zone = value; return true;
    default: return false;
  }
}

bool is_complete(StandInOptions const& stand_in) {
  return stand_in.address && (!stand_in.heartbeat_target || (!stand_in.service.empty() && !stand_in.zone.empty()));
}

bool is_complete(LoadOptions const& load) {
  bool const has_target = load.directories.empty() ? !load.proxies.empty() : !load.places.empty();
  return has_target && !load.host.empty() && !load.kinds.empty();
}

}  // namespace

Options read_options(int argc, char** argv) {
  using enum Options::Action;
  Options options;
  for (int letter = 0; (letter = getopt_long(argc, argv, "hv", kOptions, nullptr)) != -1;) {
    if (letter == 'h' || letter == 'v') {
      options.action = letter == 'h' ? show_help : show_version;
      return options;
    }
    if (!read_load_option(options.load, letter, optarg) && !read_stand_in_option(options.stand_in, letter, optarg))
      return options;
  }
  bool const is_serve = optind + 1 == argc && std::strcmp(argv[optind], "serve") == 0;
  if (is_serve)
    options.action = is_complete(options.stand_in) ? serve : reject;
  else if (optind == argc && is_complete(options.load))
    options.action = generate_load;
  return options;
}

}  // namespace dockbend
