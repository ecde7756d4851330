#pragma once
#include <concepts>
#include <string>

#include "idempotency/proxy_messages.hpp"

/// \file
/// The checks of a ClaimCoordinator that tests replace by faulty ones, to prove that they would notice.

namespace dockbend {

template <class P>
concept ClaimPolicy = requires(u64 number, std::string const& ip, KeyOutcome outcome, bool is_granted) {
  { P::same_connection(number, number) } -> std::same_as<bool>;
  { P::same_holder(number, number) } -> std::same_as<bool>;
  { P::voter(ip) } -> std::same_as<std::string>;
  { P::has_not_run(outcome) } -> std::same_as<bool>;
  { P::may_release(is_granted) } -> std::same_as<bool>;
};

/// The checks of production.
struct StrictClaimPolicy {
  /// A response counts only on the connection that its request went over.
  static bool same_connection(u64 requested_on, u64 received_on) { return requested_on == received_on; }
  /// A response counts only for the holder that it names.
  static bool same_holder(u64 requested, u64 answered) { return requested == answered; }
  /// Whose vote it is: one disk has one.
  static std::string voter(std::string const& ip) { return ip; }
  /// The key of a request that no server has run is released; any other stays held.
  static bool has_not_run(KeyOutcome outcome) { return outcome == KeyOutcome::not_run; }
  /// When the proxy's connection ends: a request whose key was granted may be running.
  static bool may_release(bool is_granted) { return !is_granted; }
};

}  // namespace dockbend
