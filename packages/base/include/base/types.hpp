/// \file
/// Strong typedefs, clocks, hashing and random numbers that every package uses.
#pragma once
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace dockbend {

using u8 = std::uint8_t;
using u32 = std::uint32_t;
using u64 = std::uint64_t;
using i64 = std::int64_t;

/// A value of T that does not convert to or from values with another Tag.
template <class T, class Tag>
struct Strong {
  T v{};
  using Raw = T;
  constexpr Strong() = default;
  constexpr explicit Strong(T x) : v(std::move(x)) {}
  friend auto operator<=>(Strong const&, Strong const&) = default;
};

using Generation = Strong<u64, struct GenerationTag>;    ///< version of one configuration item
using Ballot = Strong<u64, struct BallotTag>;            ///< counter << 32 | node; 0: the initial state
using Epoch = Strong<u64, struct EpochTag>;              ///< ballot of the last membership change
using Incarnation = Strong<u64, struct IncarnationTag>;  ///< of a disk; 1: the first disk of an initial member
using RouteIndex = Strong<u32, struct RouteTag>;
using ServiceIndex = Strong<u32, struct ServiceTag>;
using ServerIndex = Strong<u32, struct ServerTag>;
using LocationIndex = Strong<u32, struct LocationTag>;  ///< a zone or a region, by table

/// A duration, or a time point of the steady clock. Wall-clock time decides only in which usage window a
/// request is counted.
using Seconds = double;
Seconds steady_now();
double wall_clock_now();  ///< wall-clock time, in seconds since the start of 1970

/// Whether it contains a control character, which could end a line or a text early.
inline bool has_control(std::string_view s) {
  for (char const c : s)
    if (static_cast<u8>(c) < 0x20 || c == 0x7f) return true;
  return false;
}

/// Not cryptographic; the same on every machine.
u64 hash64(std::string_view s, u64 seed = 0);
u64 next64(u64& state);  ///< the next number of the pseudo-random sequence whose state is `state`
u64 random64();          ///< seeded from the system's random source, the time and the process id
double random01();       ///< 0 to below 1

}  // namespace dockbend

template <class T, class Tag>
struct std::hash<dockbend::Strong<T, Tag>> {
  std::size_t operator()(dockbend::Strong<T, Tag> const& x) const { return std::hash<T>{}(x.v); }
};
