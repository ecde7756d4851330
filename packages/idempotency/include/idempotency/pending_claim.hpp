#pragma once
#include <map>
#include <set>
#include <string>

#include "idempotency/answer_search.hpp"
#include "idempotency/claim_quorum.hpp"
#include "idempotency/proxy_messages.hpp"

/// \file
/// What a ClaimCoordinator keeps of each request of its proxy.

namespace dockbend {

/// A request of the proxy that is not answered yet.
struct PendingClaim {
  AcquireKeyRequest request;
  u64 asker = 0;  ///< the proxy's connection that it came on
  u32 proxy_tag = 0;
  ClaimQuorum quorum{0, Epoch()};
  std::set<std::string> may_hold;    ///< every disk that may hold a grant of this holder
  std::set<std::string> voted;       ///< under the present membership
  std::map<std::string, u64> asked;  ///< disks in this claim: over which connection
  AnswerSearch search;               ///< while fetching
  Seconds widen_at = 0;              ///< when all disks are asked
  Seconds end_at = 0;                ///< when it is answered without a decision
  Seconds answers_due_at = 0;        ///< while fetching: by when disks are likely to have said
  bool is_fetching = false;          ///< the key is held; its stored answer is looked for
  bool is_in_progress = false;       ///< while fetching: the other holder may still be at work
  bool is_widened = false;
};

/// A request that was answered with `run` and whose outcome is not known yet.
struct GrantedClaim {
  OperationId operation;
  std::string client;  ///< as in ClaimRequest
  std::set<std::string> may_hold;
  Seconds granted_at = 0;
};

}  // namespace dockbend
