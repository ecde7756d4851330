/// \file
/// dockbend-model-check: explores what replicas of the state, the idempotency keys and the leases may come to,
/// whatever is lost, repeated or restarted, and compares it with what is promised of them.
#include <cstdio>
#include <fstream>
#include <sstream>

#include "model_checking/command_line.hpp"
#include "model_checking/report.hpp"
#include "model_checking/trace_text.hpp"

using namespace dockbend;
using namespace dockbend::model_checking;

namespace {
int constexpr kNoBreach = 0, kBreach = 1, kWrongUsage = 2;

void print(std::string const& text, FILE* file = stdout) {
  std::fputs(text.c_str(), file);
}

int print_report(Report const& report, bool as_json) {
  print(as_json ? report_as_json(report) : report_as_text(report));
  return report.result.breach.empty() ? kNoBreach : kBreach;
}

int explore(CommandLine const& line) {
  if (find(line.argument, kNoFault) == nullptr) throw UsageError("no such model: " + line.argument);
  Case const* const chosen = find(line.argument, line.fault);
  if (chosen == nullptr) throw UsageError("no such fault of " + line.argument + ": " + line.fault);
  bool const is_walk = line.action == CommandLine::Action::walk;
  Bounds const bounds = read_bounds(line.bounds, chosen->bounds);
  SearchResult const result = is_walk ? chosen->walk(bounds, line.walks) : chosen->search(bounds, line.search);
  if (!line.trace_file.empty() && !result.breach.empty()) {
    std::ofstream file(line.trace_file);
    file << write_trace(RecordedTrace{chosen, bounds, result.seed, result.breach, result.trace});
    if (!file.flush()) print("dockbend-model-check: can't write " + line.trace_file + "\n", stderr);
  }
  return print_report({chosen, bounds, result, is_walk, line.trace_file}, line.as_json);
}

int replay(CommandLine const& line) {
  std::ifstream file(line.argument);
  if (!file) throw UsageError("can't read " + line.argument);
  std::stringstream text;
  text << file.rdbuf();
  RecordedTrace const recorded = read_trace(text.str());
  Replay const played = recorded.of->play(recorded.bounds, recorded.trace);
  SearchResult result;
  result.breach = played.breach;
  result.settled = played.settled;
  result.trace = recorded.trace;
  result.seed = recorded.seed;
  result.steps = recorded.trace.size();
  return print_report({recorded.of, recorded.bounds, result, false, ""}, line.as_json);
}

int run(CommandLine const& line) {
  switch (line.action) {
    case CommandLine::Action::list: print(line.as_json ? list_as_json() : list_as_text()); return kNoBreach;
    case CommandLine::Action::search:
    case CommandLine::Action::walk: return explore(line);
    case CommandLine::Action::replay: return replay(line);
    case CommandLine::Action::help: print(usage_text()); return kNoBreach;
    case CommandLine::Action::version: print("dockbend-model-check (dockbend) 0.2.0\n"); return kNoBreach;
    case CommandLine::Action::usage: break;
  }
  print(usage_text(), stderr);
  return kWrongUsage;
}
}  // namespace

int main(int argc, char** argv) {
  try {
    return run(read_command_line(argc, argv));
  } catch (std::exception const& error) {
    std::fprintf(stderr, "dockbend-model-check: %s\n", error.what());
    return kWrongUsage;
  }
}
