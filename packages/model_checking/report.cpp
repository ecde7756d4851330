#include "model_checking/report.hpp"

#include <cstdlib>
#include <utility>

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "model_checking/trace_text.hpp"

namespace dockbend::model_checking {
namespace {
using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

void write_field(JsonWriter& writer, char const* name, std::string const& value) {
  writer.Key(name);
  writer.String(value.c_str());
}
/// The lines of a breach's trace; none without a breach.
Replay replay_of(Report const& report) {
  return report.result.breach.empty() ? Replay{} : report.of->play(report.bounds, report.result.trace);
}
/// `text` padded with spaces on the right or, if `width` is negative, on the left.
std::string padded(std::string const& text, int width) {
  std::size_t const size = static_cast<std::size_t>(std::abs(width));
  std::string const spaces(text.size() < size ? size - text.size() : 0, ' ');
  return width < 0 ? spaces + text : text + spaces;
}
int constexpr kModelWidth = 10, kFaultWidth = 26, kBoundsIndent = 37, kLineNumberWidth = 3;
}  // namespace

std::string list_as_text() {
  std::string text;
  for (Case const& listed : cases()) {
    text +=
        padded(listed.model, kModelWidth) + " " + padded(listed.fault, kFaultWidth) + " " + listed.description + "\n";
    if (listed.fault == kNoFault) text += padded("", kBoundsIndent) + " " + write_bounds(listed.bounds) + "\n";
  }
  return text;
}

std::string list_as_json() {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartArray();
  for (Case const& listed : cases()) {
    writer.StartObject();
    write_field(writer, "model", listed.model);
    write_field(writer, "fault", listed.fault);
    write_field(writer, "what", listed.description);
    write_field(writer, "plan", write_bounds(listed.bounds));
    writer.EndObject();
  }
  writer.EndArray();
  return buffer.GetString() + std::string("\n");
}

std::string report_as_text(Report const& report) {
  SearchResult const& result = report.result;
  std::string text = report.of->model + ", fault " + report.of->fault + ": " + std::to_string(result.states) +
                     " states, " + std::to_string(result.steps) + " steps, ";
  if (report.is_walk)
    text += std::to_string(result.walks) + " walks, longest " + std::to_string(result.depth) + "\n";
  else
    text +=
        "depth " + std::to_string(result.depth) + (result.complete ? ", all there is within the bounds" : "") + "\n";
  if (result.breach.empty()) return text + "no breach\n";
  text += std::string("BREACH") + (result.settled ? " at the end" : "") + ": " + result.breach + "\n";
  if (report.is_walk) text += "seed " + std::to_string(result.seed) + ", made shorter\n";
  Replay const replay = replay_of(report);
  for (std::size_t i = 0; i < replay.lines.size(); ++i)
    text += padded(std::to_string(i + 1), -kLineNumberWidth) + ". " + replay.lines[i] + "\n";
  if (report.trace_file.empty())
    return text + "again: the same call with --out FILE, then dockbend-model-check replay FILE\n";
  return text + "again: dockbend-model-check replay " + report.trace_file + "\n";
}

std::string report_as_json(Report const& report) {
  SearchResult const& result = report.result;
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  write_field(writer, "model", report.of->model);
  write_field(writer, "fault", report.of->fault);
  write_field(writer, "plan", write_bounds(report.bounds));
  for (auto const& [name, count] : {std::pair{"states", result.states},
                                    {"steps", result.steps},
                                    {"walks", result.walks},
                                    {"depth", u64{result.depth}},
                                    {"seed", result.seed}}) {
    writer.Key(name);
    writer.Uint64(count);
  }
  writer.Key("complete");
  writer.Bool(result.complete);
  write_field(writer, "breach", result.breach);
  writer.Key("atTheEnd");
  writer.Bool(result.settled);
  writer.Key("trace");
  writer.StartArray();
  for (std::string const& line : replay_of(report).lines)
    writer.String(line.c_str());
  writer.EndArray();
  writer.EndObject();
  return buffer.GetString() + std::string("\n");
}

}  // namespace dockbend::model_checking
