/// \file
/// What a generated load came to, and its two printed forms. No I/O.
#pragma once
#include <string>
#include <vector>

#include "load_generation/load_report.hpp"

namespace dockbend {

/// The results of one kind of request.
struct KindReport {
  std::string name;
  KindResults results;
};

/// What one tenant was granted, against its budget.
struct BudgetReport {
  std::string token;
  double burst = 0;  // requests
  BudgetUsage usage{0};
};

/// The results of a whole load.
struct LoadReport {
  std::size_t opened_connections = 0;
  std::vector<KindReport> kinds;
  std::vector<BudgetReport> budgets;

  /// The number of requests that were answered with success.
  u64 successes() const;
};

/// A table with a line for each kind and one for each budget; times are in milliseconds.
std::string render_as_text(LoadReport const& report);

/// One line of JSON.
std::string render_as_json(LoadReport const& report);

}  // namespace dockbend
