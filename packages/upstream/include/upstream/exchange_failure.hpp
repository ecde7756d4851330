/// Why an exchange with a server brought no complete response, as the socket tells it. No I/O.
#pragma once
#include "base/types.hpp"

namespace dockbend {

enum class ExchangeFailure : u8 {
  none,            ///< it did not fail, or the cause is not known
  unacknowledged,  ///< the server's machine acknowledged nothing for the connection's acknowledgement timeout
  reset,           ///< the connection was reset, or refused
  closed,          ///< the server closed the connection before its response was complete
  unreadable,      ///< what came is no HTTP response
  other,
};

/// The name in log lines.
char const* exchange_failure_name(ExchangeFailure failure);

}  // namespace dockbend
