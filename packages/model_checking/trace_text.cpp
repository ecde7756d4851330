#include "model_checking/trace_text.hpp"

#include <algorithm>
#include <sstream>

namespace dockbend::model_checking {
namespace {
u64 constexpr kMaxBound = 1000000;

u64 number(std::string const& text, std::string const& name, u64 most) {
  std::size_t end = 0;
  u64 value = 0;
  try {
    if (!text.empty() && text[0] != '-') value = std::stoull(text, &end);
  } catch (std::exception const&) {
    end = 0;
  }
  if (text.empty() || end != text.size() || value > most)
    throw TraceError(name + ": wants a number up to " + std::to_string(most));
  return value;
}
}  // namespace

// ---- bounds --------------------------------------------------------------------------

std::string write_bounds(Bounds const& bounds) {
  std::string text;
  for (BoundsField const& field : kBoundsFields)
    text += (text.empty() ? "" : " ") + std::string(field.name) + "=" + std::to_string(bounds.*field.at);
  return text;
}

Bounds read_bounds(std::string const& text, Bounds bounds) {
  std::string spaced = text;
  std::replace(spaced.begin(), spaced.end(), ',', ' ');
  std::istringstream in(spaced);
  for (std::string word; in >> word;) {
    auto const equals = word.find('=');
    std::string const name = word.substr(0, equals);
    auto const field = std::find_if(kBoundsFields.begin(), kBoundsFields.end(),
                                    [&](BoundsField const& candidate) { return name == candidate.name; });
    if (equals == std::string::npos || field == kBoundsFields.end()) throw TraceError("plan: no such bound: " + word);
    bounds.*field->at = static_cast<u32>(number(word.substr(equals + 1), "plan: " + name, kMaxBound));
  }
  if (bounds.nodes < 2 || bounds.nodes + bounds.spares > 8)
    throw TraceError("plan: wants 2 founders at least, 8 nodes at most");
  if (bounds.proposers < 1 || bounds.proposers > 8) throw TraceError("plan: wants 1 to 8 proposers");
  return bounds;
}

// ---- traces --------------------------------------------------------------------------

std::string write_trace(RecordedTrace const& recorded) {
  std::ostringstream out;
  out << "model " << recorded.of->model << "\nfault " << recorded.of->fault << "\nplan "
      << write_bounds(recorded.bounds) << "\nseed " << recorded.seed << "\nbreach " << recorded.breach << "\n";
  Replay const replay = recorded.of->play(recorded.bounds, recorded.trace);
  for (std::size_t i = 0; i < recorded.trace.size(); ++i) {
    Action const& action = recorded.trace[i];
    out << "step " << recorded.of->words.at(action.what) << " " << int{action.a} << " " << int{action.b} << " "
        << int{action.c} << " " << action.m;
    if (i < replay.lines.size()) out << "  # " << replay.lines[i];
    out << "\n";
  }
  return out.str();
}

namespace {
/// Reads a trace line by line.
class TraceReader {
 public:
  RecordedTrace read(std::string const& text) {
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
      ++line_number_;
      if (auto const comment = line.find("  #"); comment != std::string::npos) line.erase(comment);
      read_line(line);
    }
    if (recorded_.of == nullptr) recorded_.of = find(model_, fault_);
    if (recorded_.of == nullptr) throw TraceError("names no known model and fault");
    return recorded_;
  }

 private:
  void read_line(std::string const& line) {
    std::istringstream in(line);
    std::string word, rest;
    if (!(in >> word) || word[0] == '#') return;
    std::getline(in >> std::ws, rest);
    if (word == "model")
      model_ = rest;
    else if (word == "fault")
      fault_ = rest;
    else if (word == "seed")
      recorded_.seed = number(rest, place(), ~0ULL);
    else if (word == "breach")
      recorded_.breach = rest;
    else if (word == "plan")
      recorded_.bounds = read_bounds(rest, Bounds{});
    else if (word == "step")
      read_step(rest);
    else
      throw TraceError(place() + ": unknown word: " + word);
  }
  void read_step(std::string const& text) {
    if (recorded_.of == nullptr) recorded_.of = find(model_, fault_);
    if (recorded_.of == nullptr) throw TraceError(place() + ": no such model and fault before the first step");
    std::istringstream in(text);
    std::string what, a, b, c, m, more;
    in >> what >> a >> b >> c >> m;
    auto const& words = recorded_.of->words;
    auto const word = std::find(words.begin(), words.end(), what);
    if (word == words.end()) throw TraceError(place() + ": no such step: " + what);
    if (in >> more) throw TraceError(place() + ": too many words");
    Action action;
    action.what = static_cast<u8>(word - words.begin());
    action.a = static_cast<u8>(number(a, place(), 255));
    action.b = static_cast<u8>(number(b, place(), 255));
    action.c = static_cast<u8>(number(c, place(), 255));
    action.m = number(m, place(), ~0ULL);
    recorded_.trace.push_back(action);
  }
  std::string place() const { return "line " + std::to_string(line_number_); }

  RecordedTrace recorded_;
  std::string model_, fault_;
  int line_number_ = 0;
};
}  // namespace

RecordedTrace read_trace(std::string const& text) {
  return TraceReader().read(text);
}

}  // namespace dockbend::model_checking
