/// How a forecast is made.
#pragma once
#include "base/types.hpp"

namespace dockbend {

/// Length, limits and random seed of the simulation behind a forecast.
struct ForecastOptions {
  Seconds seconds = 20;              // simulated time that counts
  Seconds warm = 6;                  // simulated time before it, in which queues and latencies settle
  std::size_t max_requests = 60000;  // less time is simulated if there would be more
  double overload = 0.85;            // a service in a zone is overloaded above this share of its slots
  double max_lost = 0.01;            // share of a route's requests that may find no server
  u64 seed = 1;                      // of the random numbers: equal seeds give equal forecasts
};

}  // namespace dockbend
