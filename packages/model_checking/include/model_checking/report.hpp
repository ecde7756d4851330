#pragma once
#include <string>

#include "model_checking/model_catalog.hpp"

/// \file
/// What the model checker prints, as text or as one line of JSON.

namespace dockbend::model_checking {

/// The cases with their bounds.
std::string list_as_text();
std::string list_as_json();

/// What a search, a set of walks or a replay found.
struct Report {
  Case const* of = nullptr;
  Bounds bounds;
  SearchResult result;
  bool is_walk = false;
  std::string trace_file;  ///< where the trace of a breach was written; "": nowhere
};
std::string report_as_text(Report const& report);
std::string report_as_json(Report const& report);

}  // namespace dockbend::model_checking
