// Strong typedefs and the few words every package shares.
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

// A value of T that mixes with no other kind of T.
template <class T, class Tag>
struct Strong {
  T v{};
  using Raw = T;
  constexpr Strong() = default;
  constexpr explicit Strong(T x) : v(std::move(x)) {}
  friend auto operator<=>(Strong const&, Strong const&) = default;
};

using Generation = Strong<u64, struct GenerationTag>;    // an item's own generation
using Ballot = Strong<u64, struct BallotTag>;            // counter << 32 | node; 0 = the founding state
using Epoch = Strong<u64, struct EpochTag>;              // ballot of the last change of roster
using Incarnation = Strong<u64, struct IncarnationTag>;  // a disk's incarnation; 1 = a founder's first disk
using RouteIndex = Strong<u32, struct RouteTag>;
using ServiceIndex = Strong<u32, struct ServiceTag>;
using ServerIndex = Strong<u32, struct ServerTag>;
using LocationIndex = Strong<u32, struct LocationTag>;  // a zone or a region, by table

// Seconds on the steady clock. The time of day decides nothing but which window an
// errand is counted in.
using Seconds = double;
Seconds steady_now();
double wall_clock_now();  // the machine's time of day, in seconds since the start of 1970

// Is there anything in it that could end a line or a text early?
inline bool has_control(std::string_view s) {
  for (char const c : s)
    if (static_cast<u8>(c) < 0x20 || c == 0x7f) return true;
  return false;
}

u64 hash64(std::string_view s, u64 seed = 0);
u64 next64(u64& state);  // the next draw of a sequence that `state` stands for
u64 random64();
double random01();

}  // namespace dockbend

template <class T, class Tag>
struct std::hash<dockbend::Strong<T, Tag>> {
  std::size_t operator()(dockbend::Strong<T, Tag> const& x) const { return std::hash<T>{}(x.v); }
};
