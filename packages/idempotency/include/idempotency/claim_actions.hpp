#pragma once
#include <string>
#include <variant>

#include "idempotency/proxy_messages.hpp"

/// \file
/// What a ClaimCoordinator wants sent. The owner of the connections sends it, in this order.

namespace dockbend {

/// To the disk of the controller at `to`. The response comes back with the same tag.
struct SendClaim {
  std::string to;
  u32 tag = 0;
  ClaimRequest claim;
};
/// To a disk; there is no response.
struct SendRelease {
  std::string to;
  ReleaseRequest release;
};
/// To a disk. The response comes back with the same tag.
struct SendFetch {
  std::string to;
  u32 tag = 0;
  FetchAnswerRequest fetch;
};
/// To a disk. `answer`: an encoded StoredAnswer.
struct SendStore {
  std::string to, answer;
};
/// Ask the controller at `to` for the membership: it knows a newer one.
struct SendCatchUp {
  std::string to;
};
/// To the proxy, over the connection that `asker` names.
struct SendAnswer {
  u64 asker = 0;
  u32 tag = 0;
  AcquireKeyResponse answer;
};
using ClaimAction = std::variant<SendClaim, SendRelease, SendFetch, SendStore, SendCatchUp, SendAnswer>;

}  // namespace dockbend
