// Forecasts and plans as text.
#pragma once
#include <vector>

#include "planning/drain_orders.hpp"
#include "planning/drain_waves.hpp"
#include "planning/forecast.hpp"

namespace dockbend::command_line {

/// What an evacuation would bring: requests by zone and route, slots by zone and service, what finds no server.
void print_forecast(EvacuationForecast const& forecast);

/// The waves in which proxies can leave, with each region's load after it.
void print_drain_waves(DrainWavePlan const& plan);

/// The order in which servers would leave.
void print_rotation(RotationPlan const& plan);

/// How far each route's requests are from a forecast. difference: the sum as a share of all that was predicted.
void print_comparison(std::vector<ForecastDifference> const& differences, FleetSnapshot const& snapshot,
                      double difference, double tolerance);

}  // namespace dockbend::command_line
