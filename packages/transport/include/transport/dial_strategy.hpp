/// Chooses how a peer is dialled next.
#pragma once
#include <cstddef>
#include <optional>

namespace dockbend {

/// Directly; once that failed twice, through relays in turn, with a direct attempt between them. Invariant: of any
/// three dials that failed one after the other one was direct, and no relay is tried twice before each was tried once.
class DialStrategy {
 public:
  /// The index of the relay to dial through, below `relay_count`; none: dial directly.
  std::optional<std::size_t> next(std::size_t relay_count);
  /// The last dial, or the connection that it gave, failed.
  void failed() { ++failures_; }
  /// A direct connection is up.
  void direct() { failures_ = 0; }

 private:
  std::size_t failures_ = 0;    // since a direct connection was up
  std::size_t next_relay_ = 0;  // modulo the number of relays
};

}  // namespace dockbend
