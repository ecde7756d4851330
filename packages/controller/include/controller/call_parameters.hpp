/// Parameters in the paths of control API calls.
#pragma once
#include <optional>
#include <string>

#include "base/types.hpp"

namespace dockbend {

/// The number of a rollout or drain run; none if `text` is empty or goes on after the digits.
std::optional<u64> parse_id(std::string const& text);

}  // namespace dockbend
