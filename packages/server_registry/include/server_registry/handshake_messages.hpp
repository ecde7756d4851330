/// The first messages on a connection between our processes: who is calling, and who answers.
#pragma once
#include <string>
#include <vector>

#include "base/record.hpp"
#include "base/types.hpp"
#include "wire/codec.hpp"

namespace dockbend {

/// The kinds of process that dial, as HandshakeRequest names them.
inline constexpr u32 kControllerRole = 1, kAgentRole = 2;

/// Sent by the process that dialled. `role`: the kind of process; `ip`, `zone`, `region`: where it runs; `front`: a
/// proxy's front address; `control`: the port it can be dialled at; `accepted`: the newest value it has accepted.
struct HandshakeRequest {
  DB_RECORD(HandshakeRequest, (u32, role), (std::string, ip), (std::string, zone), (std::string, region),
            (std::string, front), (u32, control), (Incarnation, incarnation), (std::string, node), (Ballot, accepted));
};

/// A controller's answer. `controllers`: all whose addresses it knows; `ballot`: of the configuration in force;
/// `accepted`: the newest value it has accepted; `wall`: its wall-clock time in seconds.
struct HandshakeResponse {
  DB_RECORD(HandshakeResponse, (std::vector<std::string>, controllers), (Ballot, ballot), (Incarnation, incarnation),
            (Ballot, accepted), (double, wall));
};

}  // namespace dockbend
