#pragma once
#include <string>
#include <vector>

#include "idempotency/claim_messages.hpp"
#include "server_registry/server_registry.hpp"

/// \file
/// The records that a proxy and its agent exchange over loopback: keys, and the proxy's load.

namespace dockbend {

/// What a proxy may do with a keyed request.
enum class AcquireResult : u8 {
  run = 1,         ///< forward it: the key is granted to this holder
  repeat = 2,      ///< answer it with the stored answer of its first run
  at_work = 3,     ///< another holder works on it
  lost = 4,        ///< it may have run before, and nobody knows its answer
  unavailable = 5  ///< no majority could be asked in time; it has not run
};

/// Asks for the key of a request. `holder` names the request, chosen by the proxy and never used twice;
/// `work_ms`: for how long it may take, milliseconds; `client`: as in ClaimRequest.
struct AcquireKeyRequest {
  DB_RECORD(AcquireKeyRequest, (std::string, key), (u64, holder), (u32, work_ms), (std::vector<std::string>, homes),
            (u32, split), (std::string, client));
};

/// `holder` names whose request this answers: the frame's tag alone may be another's by now.
/// `stored_answer`: an encoded StoredAnswer if the result is `repeat`.
struct AcquireKeyResponse {
  DB_RECORD(AcquireKeyResponse, (AcquireResult, result, leave), (std::string, stored_answer, ret), (u64, holder));
};

/// How a request ended that was granted its key, or whose time ran out before it was.
enum class KeyOutcome : u8 {
  not_run = 1,   ///< no server has run it: the key is free again
  returned = 2,  ///< it ran, and its answer is to be stored
  lost = 3       ///< it may have run
};

/// `stored_answer`: an encoded StoredAnswer if the outcome is `returned`. `client`: as in ClaimRequest, if it is
/// `not_run`.
struct KeyOutcomeNotice {
  DB_RECORD(KeyOutcomeNotice, (std::string, key), (u64, holder), (KeyOutcome, outcome),
            (std::vector<std::string>, homes), (std::string, stored_answer, ret), (u32, split), (std::string, client));
};

/// The notice for a request that has this answer: `returned`, or `lost` if it is too long to be stored.
KeyOutcomeNotice notice_of_answer(StoredAnswer const& answer);

/// What is stored in place of an answer that is not known, or may not be stored there: that the request has ended.
StoredAnswer lost_answer_of(KeyOutcomeNotice const& notice);

/// A proxy's regular report to its agent. `front`: the address that it serves clients on.
struct ProxyLoadReport {
  DB_RECORD(ProxyLoadReport, (bool, ready), (double, load), (bool, draining), (std::string, front),
            (ProxyDrainStatus, drain));
};

}  // namespace dockbend
