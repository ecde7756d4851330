#include "command_line/commands.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <limits>
#include <string_view>

#include "command_line/drain_commands.hpp"
#include "command_line/evacuation_commands.hpp"
#include "command_line/exit_codes.hpp"
#include "command_line/printer.hpp"

namespace dockbend::command_line {
namespace {

constexpr std::size_t kAnyNumber = std::numeric_limits<std::size_t>::max();

using Operands = std::vector<std::string>;

// What a handler works with. It adds the default addresses before its first call, after its own operands are read.
struct Invocation {
  Options& options;
  ControlClient const& client;
  Operands const& operands;
};

// One command. Its handler is null for a plain call: `path` with the operands behind it, each after a slash.
struct Command {
  std::string_view family;
  std::string_view verb;  // empty: the family is the whole command
  std::size_t min_operands;
  std::size_t max_operands;
  ApiCall::Method method;
  std::string_view path;
  int (*handler)(Command const& command, Invocation const& invocation);
};

int call_and_print(Invocation const& invocation, ApiCall const& call) {
  if (std::optional<int> const failure = add_default_addresses(invocation.options)) return *failure;
  ApiReply const reply = invocation.client.send(call);
  if (int const failure = invocation.client.report_failure(reply)) return failure;
  print_reply(reply.body, invocation.options.as_json);
  return kDone;
}

int run_plain_call(Command const& command, Invocation const& invocation) {
  ApiCall call{command.method, std::string(command.path), ""};
  for (std::size_t i = 0; i < invocation.operands.size(); ++i)
    call.path += (i == 0 ? "" : "/") + invocation.operands[i];
  return call_and_print(invocation, call);
}

int read_configuration(Command const& command, Invocation const& invocation) {
  invocation.options.as_json = true;  // it is only ever shown as it is
  return run_plain_call(command, invocation);
}

int amend_configuration(Command const& command, Invocation const& invocation) {
  ApiCall call{command.method, std::string(command.path), ""};
  std::string const& path = invocation.operands[0];
  if (path == "-") {
    call.body.assign(std::istreambuf_iterator<char>(std::cin), {});
    return call_and_print(invocation, call);
  }
  std::ifstream file(path);
  if (!file) {
    std::fprintf(stderr, "dockbend: can't read %s\n", path.c_str());
    return kWrongUsage;
  }
  call.body.assign(std::istreambuf_iterator<char>(file), {});
  return call_and_print(invocation, call);
}

int begin_evacuation(Command const& command, Invocation const& invocation) {
  if (invocation.options.only_if_fits) {
    if (std::optional<int> const failure = add_default_addresses(invocation.options)) return *failure;
    std::set<std::string> const zones{invocation.operands[0]};
    if (int const unfit = preview_evacuation(invocation.client, invocation.options, zones, true)) return unfit;
  }
  return run_plain_call(command, invocation);
}

int preview(Command const&, Invocation const& invocation) {
  if (std::optional<int> const failure = add_default_addresses(invocation.options)) return *failure;
  std::set<std::string> const zones(invocation.operands.begin(), invocation.operands.end());
  return preview_evacuation(invocation.client, invocation.options, zones, false);
}

int compare_preview(Command const&, Invocation const& invocation) {
  if (std::optional<int> const failure = add_default_addresses(invocation.options)) return *failure;
  return compare_evacuation(invocation.client, invocation.options, invocation.operands[0]);
}

int plan_or_start(Command const& command, Invocation const& invocation) {
  if (std::optional<int> const failure = add_default_addresses(invocation.options)) return *failure;
  DrainTarget const target = command.family == "rotation" ? DrainTarget::servers : DrainTarget::proxies;
  return plan_drain(invocation.client, invocation.options, target, command.verb == "start", invocation.operands);
}

constexpr auto kGet = ApiCall::Method::get;
constexpr auto kPost = ApiCall::Method::post;

constexpr Command kCommands[] = {
    {"status", "", 0, 0, kGet, "/-/Status", run_plain_call},
    {"configuration", "read", 0, 0, kGet, "/-/Config.Read", read_configuration},
    {"configuration", "amend", 1, 1, kPost, "/-/Config.Amend", amend_configuration},
    {"evacuation", "begin", 1, 1, kPost, "/-/Evacuation.Begin/", begin_evacuation},
    {"evacuation", "finish", 1, 1, kPost, "/-/Evacuation.Finish/", run_plain_call},
    {"evacuation", "preview", 1, kAnyNumber, kGet, "", preview},
    {"evacuation", "compare", 1, 1, kGet, "", compare_preview},
    {"member", "list", 0, 0, kGet, "/-/Member.List", run_plain_call},
    {"member", "remove", 1, 1, kPost, "/-/Member.Remove/", run_plain_call},
    {"member", "add", 1, 1, kPost, "/-/Member.Add/", run_plain_call},
    {"lease", "status", 0, 0, kGet, "/-/Duty.Status", run_plain_call},
    {"lease", "hand-over", 2, 2, kPost, "/-/Duty.HandOver/", run_plain_call},
    {"quota", "list", 0, 0, kGet, "/-/Allowance.List", run_plain_call},
    {"quota", "show", 1, 1, kGet, "/-/Allowance.Show/", run_plain_call},
    {"rollout", "status", 0, 0, kGet, "/-/Rollout.Status", run_plain_call},
    {"rollout", "pause", 1, 1, kPost, "/-/Rollout.Pause/", run_plain_call},
    {"rollout", "resume", 1, 1, kPost, "/-/Rollout.Resume/", run_plain_call},
    {"rollout", "abort", 1, 1, kPost, "/-/Rollout.Abort/", run_plain_call},
    {"drain", "plan", 1, kAnyNumber, kGet, "", plan_or_start},
    {"drain", "start", 1, kAnyNumber, kPost, "", plan_or_start},
    {"drain", "status", 0, 0, kGet, "/-/Drain.Status", run_plain_call},
    {"drain", "pause", 1, 1, kPost, "/-/Drain.Pause/", run_plain_call},
    {"drain", "resume", 1, 1, kPost, "/-/Drain.Resume/", run_plain_call},
    {"drain", "abort", 1, 1, kPost, "/-/Drain.Abort/", run_plain_call},
    {"drain", "return", 2, 2, kPost, "/-/Drain.Return/", run_plain_call},
    {"rotation", "plan", 1, kAnyNumber, kGet, "", plan_or_start},
    {"rotation", "start", 1, kAnyNumber, kPost, "", plan_or_start},
    {"rotation", "status", 0, 0, kGet, "/-/Rotation.Status", run_plain_call},
    {"rotation", "pause", 1, 1, kPost, "/-/Rotation.Pause/", run_plain_call},
    {"rotation", "resume", 1, 1, kPost, "/-/Rotation.Resume/", run_plain_call},
    {"rotation", "abort", 1, 1, kPost, "/-/Rotation.Abort/", run_plain_call},
    {"rotation", "return", 2, 2, kPost, "/-/Rotation.Return/", run_plain_call},
};

// Families that had another word before; it goes on working.
struct FormerWord {
  std::string_view former;
  std::string_view current;
};
constexpr std::array<FormerWord, 3> kFormerWords{
    {{"manifest", "configuration"}, {"duty", "lease"}, {"allowance", "quota"}}};

// The current word of a family; none if the word given is not a former one.
std::optional<std::string_view> current_word(std::string const& family) {
  for (FormerWord const& word : kFormerWords)
    if (family == word.former) return word.current;
  return std::nullopt;
}

Command const* find_command(std::vector<std::string> const& words) {
  if (words.empty()) return nullptr;
  for (Command const& command : kCommands) {
    std::size_t const command_words = command.verb.empty() ? 1 : 2;
    if (words[0] != command.family || words.size() < command_words) continue;
    if (command_words == 2 && words[1] != command.verb) continue;
    std::size_t const operands = words.size() - command_words;
    if (operands >= command.min_operands && operands <= command.max_operands) return &command;
  }
  return nullptr;
}

}  // namespace

int run_command(CommandLine command_line) {
  Options& options = command_line.options;
  std::vector<std::string>& words = command_line.words;
  std::string const given_family = words.empty() ? std::string() : words[0];
  std::optional<std::string_view> const renamed_to = current_word(given_family);
  if (renamed_to) words[0] = *renamed_to;
  Command const* const command = find_command(words);
  if (command == nullptr) {
    print_usage(stderr);
    return kWrongUsage;
  }
  if (renamed_to)
    std::fprintf(stderr, "dockbend: \"%s\" is now called \"%s\"\n", given_family.c_str(), words[0].c_str());
  if (options.only_if_fits && command->handler != begin_evacuation) {
    std::fprintf(stderr, "dockbend: --if-fits goes with evacuation begin\n");
    return kWrongUsage;
  }
  std::size_t const command_words = command->verb.empty() ? 1 : 2;
  Operands const operands(words.begin() + static_cast<std::ptrdiff_t>(command_words), words.end());
  ControlClient const client(options);
  return command->handler(*command, {options, client, operands});
}

}  // namespace dockbend::command_line
