/// Process-wide counts of what was sent and of what was refused. Used by the event loop's thread only.
#pragma once
#include <string>

#include "base/types.hpp"
#include "wire/message_type.hpp"

namespace dockbend {

/// Counts a message sent to another machine.
/// @param bytes with its frame header
void count_sent(MessageType type, std::size_t bytes);

/// What was sent since the last call, as "type messages/bytes" joined by ", "; for measurements.
std::string sent_by_kind();

/// Input from outside that was not taken, since the start of the process.
struct RejectedInput {
  u64 channels = 0;  // connections ended for a frame that could not be read
  u64 letters = 0;   // messages of a type that nobody here waits for: ignored
  u64 calls = 0;     // calls of the control API and requests refused as malformed
};
RejectedInput& rejected_input();

/// Logs the counts of rejected input if they have risen since the last time.
void log_rejected_input();

}  // namespace dockbend
