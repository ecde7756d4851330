/// \file
/// What a node keeps for routes, tenants and servers, and what a request's choice costs.
#pragma once
#include <string>

#include "hollow_nodes/change_cost.hpp"
#include "hollow_nodes/options.hpp"

namespace dockbend {

/// The costs of the libraries at a size.
struct LibraryCost {
  std::size_t state_bytes = 0, deflated_bytes = 0;  // the packed state, and its message
  double state_heap_bytes = 0, configuration_heap_bytes = 0, balancer_heap_bytes = 0;
  Seconds choose_time = 0, find_time = 0;  // processor time of one call
  std::size_t hits = 0;                    // calls that found something
  ChangeCosts changes;
};

/// @throws std::runtime_error as measure_change_costs does
LibraryCost measure_library_cost(LibraryOptions const& options);

/// The costs as one line of JSON.
std::string render_as_json(LibraryOptions const& options, LibraryCost const& cost);

}  // namespace dockbend
