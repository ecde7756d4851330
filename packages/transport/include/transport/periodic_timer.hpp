/// Timers on the event loop.
#pragma once
#include <event2/event.h>

#include <functional>

#include "base/types.hpp"
#include "transport/event_owners.hpp"

namespace dockbend {

/// Calls a function again and again until it is destroyed, first after one period.
class PeriodicTimer {
 public:
  PeriodicTimer(event_base* loop, Seconds period, std::function<void()> callback);
  PeriodicTimer(PeriodicTimer const&) = delete;
  PeriodicTimer& operator=(PeriodicTimer const&) = delete;

 private:
  std::function<void()> callback_;
  EventOwner event_;
};

/// Calls a function once after `delay`, from the event loop also if the delay is 0 or less. Can't be cancelled: what it
/// refers to must outlive it or be checked by it.
void after(event_base* loop, Seconds delay, std::function<void()> callback);

}  // namespace dockbend
