#pragma once
#include <string>
#include <vector>

#include "model_checking/explore.hpp"

/// \file
/// The models by name, each with one of its faults or none, and the bounds in which they are run.

namespace dockbend::model_checking {

/// What playing a recorded trace showed.
struct Replay {
  std::string breach;
  bool settled = false;            ///< it showed only at the end
  std::vector<std::string> lines;  ///< what happened, step by step
};

/// One model with one fault.
struct Case {
  std::string model, fault, description;
  Bounds bounds;     ///< in which the fault is found, and in which CI runs the sound model
  WalkLimits walks;  ///< likewise; count 0: too rare for walks, a test has a trace of it
  SearchResult (*search)(Bounds const&, SearchLimits const&);
  SearchResult (*walk)(Bounds const&, WalkLimits const&);
  Replay (*play)(Bounds const&, Trace const&);
  std::vector<char const*> words;  ///< the names of the model's actions, by Action::what
};

/// The name of the sound behaviour.
inline constexpr char const* kNoFault = "none";

std::vector<Case> const& cases();
/// Null if there is none.
Case const* find(std::string const& model, std::string const& fault);

}  // namespace dockbend::model_checking
