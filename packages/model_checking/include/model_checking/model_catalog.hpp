// The models by name, with their planted faults and the bounds they are run in; and
// traces as text. No I/O.
#pragma once
#include <stdexcept>

#include "model_checking/explore.hpp"

namespace dockbend::collation {

struct Played {
  std::string breach;
  bool settled = false;            // it showed only at the end
  std::vector<std::string> lines;  // what happened, step by step
};

// One model under one policy. plan, walks: bounds in which a planted fault is found, and
// in which the sound policy is run in CI.
struct Case {
  std::string model, fault, what;
  Plan plan;
  Walks walks;
  Outcome (*search)(Plan const&, Search const&);
  Outcome (*walk)(Plan const&, Walks const&);
  Played (*play)(Plan const&, Trace const&);
  std::vector<char const*> words;  // of the model's actions
};
inline constexpr char const* no_fault = "none";
std::vector<Case> const& cases();
Case const* find(std::string const& model, std::string const& fault);

struct BadTrace : std::runtime_error {
  using std::runtime_error::runtime_error;
};
struct Recorded {
  Case const* of = nullptr;
  Plan plan;
  u64 seed = 0;
  std::string breach;
  Trace trace;
};
std::string write_trace(Recorded const& r);
Recorded read_trace(std::string const& text);  // throws BadTrace

// "nodes=4 joins=2" or the same with commas, on top of what p says; throws BadTrace.
Plan read_plan(std::string const& text, Plan p);
std::string write_plan(Plan const& p);

}  // namespace dockbend::collation
