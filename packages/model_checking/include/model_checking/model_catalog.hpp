// The models by name, with their planted faults and the bounds they are run in; and
// traces as text. No I/O.
#pragma once
#include <stdexcept>

#include "model_checking/explore.hpp"

namespace dockbend::model_checking {

struct Replay {
  std::string breach;
  bool settled = false;            // it showed only at the end
  std::vector<std::string> lines;  // what happened, step by step
};

// One model under one policy. plan, walks: bounds in which a planted fault is found, and
// in which the sound policy is run in CI.
struct Case {
  std::string model, error_response, what;
  Bounds plan;
  WalkLimits walks;
  SearchResult (*search)(Bounds const&, SearchLimits const&);
  SearchResult (*walk)(Bounds const&, WalkLimits const&);
  Replay (*play)(Bounds const&, Trace const&);
  std::vector<char const*> words;  // of the model's actions
};
inline constexpr char const* kNoFault = "none";
std::vector<Case> const& cases();
Case const* find(std::string const& model, std::string const& error_response);

struct TraceError : std::runtime_error {
  using std::runtime_error::runtime_error;
};
struct RecordedTrace {
  Case const* of = nullptr;
  Bounds plan;
  u64 seed = 0;
  std::string breach;
  Trace trace;
};
std::string write_trace(RecordedTrace const& r);
RecordedTrace read_trace(std::string const& text);  // throws BadTrace

// "nodes=4 joins=2" or the same with commas, on top of what p says; throws BadTrace.
Bounds read_plan(std::string const& text, Bounds p);
std::string write_plan(Bounds const& p);

}  // namespace dockbend::model_checking
