#pragma once
#include <stdexcept>
#include <string>

#include "model_checking/model_catalog.hpp"

/// \file
/// Traces and bounds as text.

namespace dockbend::model_checking {

/// A text that can't be read; the message names the line or bound, and what was expected.
struct TraceError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A trace with all that it takes to play it again.
struct RecordedTrace {
  Case const* of = nullptr;
  Bounds bounds;
  u64 seed = 0;  ///< of the walk that found it
  std::string breach;
  Trace trace;
};

std::string write_trace(RecordedTrace const& recorded);
/// Throws TraceError.
RecordedTrace read_trace(std::string const& text);

/// Reads "nodes=4 joins=2", or the same with commas; bounds that are not named are those of `defaults`. Throws
/// TraceError.
Bounds read_bounds(std::string const& text, Bounds defaults);
std::string write_bounds(Bounds const& bounds);

}  // namespace dockbend::model_checking
