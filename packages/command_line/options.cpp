#include "command_line/options.hpp"

#include <getopt.h>

#include <cmath>
#include <cstdlib>

#include "command_line/exit_codes.hpp"

namespace dockbend::command_line {
namespace {

char const* const kUsage =
    "dockbend: looks at a running system and steers it\n\n"
    "usage: dockbend [--at HOST:PORT] [--json] [--timeout S] COMMAND\n\n"
    "  status                    members, configuration, servers, directory rows\n"
    "  configuration read        the whole configuration, as JSON\n"
    "  configuration amend FILE  sends a change; - reads standard input\n"
    "  evacuation begin ZONE     nothing more goes to the zone's servers\n"
    "  evacuation finish ZONE    takes that back\n"
    "  evacuation preview ZONE.. who would take over; changes nothing\n"
    "  evacuation compare FILE   a saved preview against what the proxies receive now\n"
    "  member list               the controllers: state, since when, what may be lost\n"
    "  member remove ADDRESS     takes one out for good; refused where that would harm\n"
    "  member add ADDRESS        lets one that was taken out come back\n"
    "  lease status              who holds the singleton roles\n"
    "  lease hand-over ROLE NODE moves a role to another controller\n"
    "  quota list                the tenants' rate limits\n"
    "  quota show TENANT         one of them, with what each proxy has leased\n"
    "  rollout status            the rollouts under way\n"
    "  rollout pause ID          settles no further stage\n"
    "  rollout resume ID         goes on\n"
    "  rollout abort ID          falls back to the version in force\n"
    "  drain plan NAME..         waves in which proxies can go out; changes nothing\n"
    "  drain start NAME..        takes them out in these waves; NAME: node, address, zone, region\n"
    "  rotation plan NAME..      the order in which servers would leave; changes nothing\n"
    "  rotation start NAME..     takes them out in order; NAME: id, service, generation, zone\n"
    "  drain|rotation status     drain runs, and what each unit still holds\n"
    "  drain|rotation pause ID, resume ID, abort ID, return ID UNIT\n\n"
    "  --at HOST:PORT  a control address (default: the settings' own, then its seeds)\n"
    "  --json          print the answer as JSON\n"
    "  --timeout S     how long to wait for an answer (default 5)\n"
    "  --save FILE     keep a preview for a later compare\n"
    "  --if-fits       with evacuation begin: only if the preview fits\n"
    "  --tolerance X   with evacuation compare: the share that may differ (default 0.15)\n"
    "  --headroom X    with drain and rotation: the share that stays free (default 0.2)\n"
    "  --max-unavailable N  with rotation: servers of a service out at once (default 1)\n"
    "  --patience S    after this long a unit that is not empty is reported (default 60)\n"
    "  --not-replaced  with rotation: nothing comes in the place of what leaves\n"
    "  --help          this text\n"
    "  --version       the version\n\n"
    "exit codes: 0 done (a preview or plan: fits), 1 not reached or refused, 2 wrong usage,\n"
    "3 no order keeps the headroom, a preview that would overload something or leave it homeless, or a compare that\n"
    "is off by more than the tolerance\n";

option const kOptions[] = {{"at", required_argument, nullptr, 'a'},
                           {"json", no_argument, nullptr, 'j'},
                           {"timeout", required_argument, nullptr, 't'},
                           {"help", no_argument, nullptr, 'h'},
                           {"version", no_argument, nullptr, 'v'},
                           {"save", required_argument, nullptr, 's'},
                           {"if-fits", no_argument, nullptr, 'f'},
                           {"tolerance", required_argument, nullptr, 'T'},
                           {"headroom", required_argument, nullptr, 'H'},
                           {"max-unavailable", required_argument, nullptr, 'm'},
                           {"patience", required_argument, nullptr, 'p'},
                           {"not-replaced", no_argument, nullptr, 'n'},
                           {nullptr, 0, nullptr, 0}};

// Not a number where the text is none: no check lets that pass.
double parse_number(char const* text) {
  char* end = nullptr;
  double const number = std::strtod(text, &end);
  return end == text || *end != '\0' ? std::nan("") : number;
}

int fail_usage(char const* message) {
  std::fprintf(stderr, "dockbend: %s\n", message);
  return kWrongUsage;
}

// Takes one option over. Returns an exit code if the program is to end at once. Throws SettingsError.
std::optional<int> apply_option(int option_letter, Options& options) {
  switch (option_letter) {
    case 'a': options.control_addresses.push_back(parse_addr(optarg, "--at")); break;
    case 'j': options.as_json = true; break;
    case 't': options.timeout_seconds = std::atoi(optarg); break;
    case 's': options.save_path = optarg; break;
    case 'f': options.only_if_fits = true; break;
    case 'H': options.headroom = parse_number(optarg); break;
    case 'm': options.max_unavailable = std::atoi(optarg); break;
    case 'p': options.patience_seconds = parse_number(optarg); break;
    case 'n': options.replaced = false; break;
    case 'T': options.tolerance = std::atof(optarg); break;
    case 'h': print_usage(stdout); return kDone;
    case 'v': std::printf("dockbend 0.2.0\n"); return kDone;
    default: print_usage(stderr); return kWrongUsage;
  }
  return std::nullopt;
}

std::optional<int> check_ranges(Options const& options) {
  if (options.timeout_seconds < 1) return fail_usage("--timeout: wants a whole number of seconds above 0");
  if (!(options.headroom >= 0 && options.headroom < 1))
    return fail_usage("--headroom: wants a share from 0 to below 1");
  if (options.max_unavailable < 1) return fail_usage("--max-unavailable: wants a whole number above 0");
  if (!(options.patience_seconds > 0)) return fail_usage("--patience: wants seconds above 0");
  if (!(options.tolerance > 0)) return fail_usage("--tolerance: wants a share above 0");
  return std::nullopt;
}

}  // namespace

void print_usage(std::FILE* stream) {
  std::fputs(kUsage, stream);
}

ParsedCommandLine parse_options(int argc, char** argv) {
  ParsedCommandLine parsed;
  Options& options = parsed.command_line.options;
  try {
    for (int letter = 0; (letter = getopt_long(argc, argv, "a:jt:hv", kOptions, nullptr)) != -1;) {
      parsed.exit_code = apply_option(letter, options);
      if (parsed.exit_code) return parsed;
    }
  } catch (SettingsError const& error) {
    parsed.exit_code = fail_usage(error.what());
    return parsed;
  }
  parsed.exit_code = check_ranges(options);
  parsed.command_line.words.assign(argv + optind, argv + argc);
  return parsed;
}

std::optional<int> add_default_addresses(Options& options) {
  if (!options.control_addresses.empty()) return std::nullopt;
  try {
    Settings const settings = load_settings(settings_path());
    if (auto const own = settings.bind.find("control"); own != settings.bind.end())
      options.control_addresses.push_back(own->second);
    options.control_addresses.insert(options.control_addresses.end(), settings.seeds.begin(), settings.seeds.end());
  } catch (SettingsError const& error) {
    std::fprintf(stderr, "dockbend: settings: %s (or give --at)\n", error.what());
    return kWrongUsage;
  }
  return std::nullopt;
}

}  // namespace dockbend::command_line
