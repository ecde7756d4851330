#include "upstream/exchange_failure.hpp"

namespace dockbend {

char const* exchange_failure_name(ExchangeFailure failure) {
  switch (failure) {
    case ExchangeFailure::none: return "unknown cause";
    case ExchangeFailure::unacknowledged: return "unacknowledged";
    case ExchangeFailure::reset: return "reset";
    case ExchangeFailure::closed: return "closed";
    case ExchangeFailure::unreadable: return "unreadable";
    case ExchangeFailure::other: return "other";
  }
  return "";
}

}  // namespace dockbend
