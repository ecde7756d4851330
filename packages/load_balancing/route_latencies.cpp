#include "load_balancing/route_latencies.hpp"

#include <algorithm>
#include <cmath>

namespace dockbend {
namespace {
double constexpr kSmoothing = 0.01;
/// What was seen fades to 1/e within.
Seconds constexpr kMemory = 10;
/// Until the usual latency has risen by 1 - 1/e of the distance to newer responses.
Seconds constexpr kUsualMemory = 120;
/// Enough responses that their mean says what a response of the route takes.
u32 constexpr kBlockSize = 20;
/// For how long a route that is not asked for is remembered.
Seconds constexpr kUnusedMemory = 600;
}  // namespace

void RouteLatencies::learn(std::string const& route, Seconds latency, bool is_busy, Seconds now) {
  if (estimates_.size() >= forget_at_size_) forget_unused(now);
  Estimate& estimate = estimates_[route];
  Seconds const recent = estimate.responses > 0 ? this->recent(route, now) : latency;
  estimate.responses += 1;
  // The first responses count alike, or a first guess would outlast hundreds of them.
  double const weight = std::max(kSmoothing, 1 / estimate.responses);
  estimate.recent = recent * (1 - weight) + latency * weight;
  estimate.seen_at = now;
  if (is_busy) return;
  estimate.block_sum += latency;
  if (++estimate.block_size >= kBlockSize) end_block(estimate, now);
}

void RouteLatencies::end_block(Estimate& estimate, Seconds now) {
  Seconds const block = estimate.block_sum / estimate.block_size;
  double const rise = 1 - std::exp(-(now - estimate.usual_at) / kUsualMemory);
  bool const is_first = estimate.usual <= 0;
  estimate.usual = is_first ? block : std::min(block, estimate.usual + (block - estimate.usual) * rise);
  estimate.usual_at = now;
  estimate.block_sum = 0;
  estimate.block_size = 0;
}

Seconds RouteLatencies::recent(std::string const& route, Seconds now) const {
  auto const found = estimates_.find(route);
  if (found == estimates_.end()) return 0;
  Estimate const& estimate = found->second;
  Seconds const usual = this->usual(route);
  return usual + (estimate.recent - usual) * std::exp(-(now - estimate.seen_at) / kMemory);
}

Seconds RouteLatencies::usual(std::string const& route) const {
  auto const found = estimates_.find(route);
  if (found == estimates_.end()) return 0;
  Estimate const& estimate = found->second;
  if (estimate.usual > 0 || estimate.block_size == 0) return estimate.usual;
  return estimate.block_sum / estimate.block_size;
}

void RouteLatencies::forget_unused(Seconds now) {
  std::erase_if(estimates_, [&](auto const& entry) { return now - entry.second.seen_at > kUnusedMemory; });
  forget_at_size_ = std::max(forget_at_size_, 2 * estimates_.size());
}

}  // namespace dockbend
