#include "load_generation/report_rendering.hpp"

#include <cstdarg>
#include <cstdio>
#include <utility>

#include "configuration/json.hpp"

namespace dockbend {
namespace {

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

double constexpr kMillisecondsPerSecond = 1e3;

/// As std::sprintf, into a string of any length.
[[gnu::format(printf, 1, 2)]] std::string formatted(char const* format, ...) {
  std::va_list arguments, again;
  va_start(arguments, format);
  va_copy(again, arguments);
  std::string text(static_cast<std::size_t>(std::vsnprintf(nullptr, 0, format, arguments)), '\0');
  std::vsnprintf(text.data(), text.size() + 1, format, again);
  va_end(again);
  va_end(arguments);
  return text;
}

/// "200:12 503:1"; a request without an answer counts under "none".
std::string answers_as_text(KindResults const& results) {
  std::string text;
  for (auto const& [code, count] : results.codes) {
    if (!text.empty()) text += ' ';
    text += (code == 0 ? std::string("none") : std::to_string(code)) + ":" + std::to_string(count);
  }
  return text;
}

std::string kind_as_text(KindReport const& kind) {
  KindResults const& results = kind.results;
  auto const quantile = [&](double share) { return results.times.quantile(share) * kMillisecondsPerSecond; };
  return formatted("%-14s %8llu %8llu %6llu %9.1f %9.1f %9.1f %9.1f  %s\n", kind.name.c_str(),
                   static_cast<unsigned long long>(results.due), static_cast<unsigned long long>(results.times.count()),
                   static_cast<unsigned long long>(results.late), quantile(0.5), quantile(0.9), quantile(0.99),
                   results.times.most() * kMillisecondsPerSecond, answers_as_text(results).c_str());
}

std::string budget_as_text(BudgetReport const& budget) {
  double const worst = budget.usage.worst();
  return formatted("budget %s: at most %.0f over rate x time; the burst is %.0f: %s\n", budget.token.c_str(), worst,
                   budget.burst, worst <= budget.burst ? "held" : "BROKEN");
}

void write_kind(JsonWriter& writer, KindReport const& kind) {
  KindResults const& results = kind.results;
  writer.StartObject();
  writer.Key("kind");
  writer.String(kind.name.c_str());
  writer.Key("due");
  writer.Uint64(results.due);
  writer.Key("good");
  writer.Uint64(results.times.count());
  writer.Key("late");
  writer.Uint64(results.late);
  for (auto const& [name, share] : {std::pair{"p50Ms", 0.5}, {"p90Ms", 0.9}, {"p99Ms", 0.99}, {"p999Ms", 0.999}}) {
    writer.Key(name);
    writer.Double(results.times.quantile(share) * kMillisecondsPerSecond);
  }
  writer.Key("mostMs");
  writer.Double(results.times.most() * kMillisecondsPerSecond);
  writer.Key("answers");
  writer.StartObject();
  for (auto const& [code, count] : results.codes) {
    writer.Key(std::to_string(code).c_str());
    writer.Uint64(count);
  }
  writer.EndObject();
  writer.EndObject();
}

void write_budget(JsonWriter& writer, BudgetReport const& budget) {
  writer.StartObject();
  writer.Key("token");
  writer.String(budget.token.c_str());
  writer.Key("mostOverRate");
  writer.Double(budget.usage.worst());
  writer.Key("burst");
  writer.Double(budget.burst);
  writer.EndObject();
}

}  // namespace

u64 LoadReport::successes() const {
  u64 sum = 0;
  for (KindReport const& kind : kinds)
    sum += kind.results.times.count();
  return sum;
}

std::string render_as_text(LoadReport const& report) {
  std::string text = formatted("%-14s %8s %8s %6s %9s %9s %9s %9s  %s\n", "kind", "due", "good", "late", "p50 ms",
                               "p90 ms", "p99 ms", "most ms", "answers");
  for (KindReport const& kind : report.kinds)
    text += kind_as_text(kind);
  for (BudgetReport const& budget : report.budgets)
    text += budget_as_text(budget);
  return text;
}

std::string render_as_json(LoadReport const& report) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  writer.Key("channels");
  writer.Uint64(report.opened_connections);
  writer.Key("kinds");
  writer.StartArray();
  for (KindReport const& kind : report.kinds)
    write_kind(writer, kind);
  writer.EndArray();
  writer.Key("budgets");
  writer.StartArray();
  for (BudgetReport const& budget : report.budgets)
    write_budget(writer, budget);
  writer.EndArray();
  writer.EndObject();
  return buffer.GetString() + std::string("\n");
}

}  // namespace dockbend
