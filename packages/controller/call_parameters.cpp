#include "controller/call_parameters.hpp"

#include <cstdlib>

namespace dockbend {

std::optional<u64> parse_id(std::string const& text) {
  char* end = nullptr;
  u64 const id = std::strtoull(text.c_str(), &end, 10);
  if (text.empty() || *end != '\0') return std::nullopt;
  return id;
}

}  // namespace dockbend
