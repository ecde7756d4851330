#include "transport/dial_strategy.hpp"

namespace dockbend {
namespace {
constexpr std::size_t kDirectFailuresBeforeRelays = 2;
constexpr std::size_t kDirectEvery = 3;  // dials
}  // namespace

std::optional<std::size_t> DialStrategy::next(std::size_t relay_count) {
  if (relay_count == 0 || failures_ < kDirectFailuresBeforeRelays || failures_ % kDirectEvery == 0) return std::nullopt;
  return next_relay_++ % relay_count;
}

}  // namespace dockbend
