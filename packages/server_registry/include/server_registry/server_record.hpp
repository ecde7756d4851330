/// One server as controllers, agents and proxies pass it on to each other.
#pragma once
#include <string>

#include "base/record.hpp"
#include "base/types.hpp"
#include "wire/codec.hpp"

namespace dockbend {

/// The state of one run of a server. It only rises within one sequence number.
enum class ServerState : u8 { ready = 1, draining = 2, gone = 3 };

/// One run of a server process. Invariants: an id names one run for ever; of two records of one id the one with the
/// higher sequence number `seq` is valid, at equal numbers the one with the higher state; a record with
/// kDepartedSequence is final.
/// - `capacity`: requests it runs at once
/// - `seq`: rises with each heartbeat that the server sends
/// - `cold_left`: seconds until it is warmed up, counted from the moment the record was sent
/// - `owner`: the controller that receives the server's heartbeats
/// - `generation`: the release that the server runs, as it states it
struct ServerRecord {
  DB_RECORD(ServerRecord, (std::string, id), (std::string, service), (std::string, address), (std::string, zone),
            (double, capacity), (ServerState, state), (u64, seq), (double, cold_left), (std::string, owner),
            (std::string, generation));
};

/// The sequence number of a server that has left by its own word: no heartbeat reaches it.
u64 constexpr kDepartedSequence = ~0ULL >> 1;

/// Has the server left by its own word?
inline bool has_left(ServerRecord const& record) {
  return record.state == ServerState::gone && record.seq == kDepartedSequence;
}

/// Does the server get no more requests by its own word?
inline bool is_departure(ServerRecord const& record) {
  return record.state == ServerState::draining || has_left(record);
}

}  // namespace dockbend
