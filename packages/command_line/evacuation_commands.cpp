#include "command_line/evacuation_commands.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <vector>

#include "command_line/exit_codes.hpp"
#include "command_line/plan_printer.hpp"
#include "configuration/json.hpp"

namespace dockbend::command_line {
namespace {

// A comparison as JSON.
struct ComparisonReport {
  DB_RECORD(ComparisonReport, (double, difference, off), (double, tolerance), (bool, is_within, within),
            (std::vector<ForecastDifference>, differences));
};

int check_zones(FleetSnapshot const& snapshot, std::set<std::string> const& zones) {
  for (std::string const& name : zones) {
    bool const is_known = std::any_of(snapshot.zones.begin(), snapshot.zones.end(),
                                      [&](ZoneSnapshot const& zone) { return zone.zone == name; });
    if (is_known) continue;
    std::fprintf(stderr, "dockbend: no such zone: %s\n", name.c_str());
    return kFailed;
  }
  return kDone;
}

int save_text(std::string const& path, std::string const& text) {
  std::ofstream file(path);
  file << text << "\n";
  if (file) return kDone;
  std::fprintf(stderr, "dockbend: can't write %s\n", path.c_str());
  return kFailed;
}

int read_preview(std::string const& path, EvacuationForecast& forecast) {
  std::ifstream file(path);
  std::string const text{std::istreambuf_iterator<char>(file), {}};
  try {
    forecast = json::parse_as<EvacuationForecast>(text);
  } catch (json::Fault const& error) {
    std::fprintf(stderr, "dockbend: %s is no preview: %s\n", path.c_str(), error.what());
    return kWrongUsage;
  }
  return kDone;
}

}  // namespace

int fetch_snapshot(ControlClient const& client, FleetSnapshot& snapshot) {
  ApiReply const reply = client.send({ApiCall::Method::get, "/-/Survey", ""});
  if (int const failure = client.report_failure(reply)) return failure;
  try {
    snapshot = json::parse_as<FleetSnapshot>(reply.body);
  } catch (json::Fault const& error) {
    std::fprintf(stderr, "dockbend: an answer that can't be read: %s\n", error.what());
    return kFailed;
  }
  return kDone;
}

int preview_evacuation(ControlClient const& client, Options const& options, std::set<std::string> const& zones,
                       bool as_text) {
  FleetSnapshot snapshot;
  if (int const failure = fetch_snapshot(client, snapshot)) return failure;
  if (int const failure = check_zones(snapshot, zones)) return failure;
  EvacuationForecast const predicted = forecast_evacuation(snapshot, zones, ForecastOptions{});
  std::string const text = json::render(predicted);
  if (!options.save_path.empty())
    if (int const failure = save_text(options.save_path, text)) return failure;
  if (options.as_json && !as_text)
    std::printf("%s\n", text.c_str());
  else
    print_forecast(predicted);
  return predicted.fits ? kDone : kDoesNotFit;
}

int compare_evacuation(ControlClient const& client, Options const& options, std::string const& preview_path) {
  EvacuationForecast predicted;
  if (int const failure = read_preview(preview_path, predicted)) return failure;
  FleetSnapshot snapshot;
  if (int const failure = fetch_snapshot(client, snapshot)) return failure;
  ComparisonReport report;
  ForecastComparison comparison = compare_forecast(predicted, snapshot);
  report.difference = comparison.deviation;
  report.differences = std::move(comparison.differences);
  report.tolerance = options.tolerance;
  report.is_within = report.difference <= options.tolerance;
  if (options.as_json)
    std::printf("%s\n", json::render(report).c_str());
  else
    print_comparison(report.differences, snapshot, report.difference, options.tolerance);
  return report.is_within ? kDone : kDoesNotFit;
}

}  // namespace dockbend::command_line
