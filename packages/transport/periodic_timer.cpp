#include "transport/periodic_timer.hpp"

#include <algorithm>
#include <memory>

namespace dockbend {
namespace {
constexpr double kMicrosecondsPerSecond = 1e6;

timeval timeval_of(Seconds duration) {
  auto const seconds = static_cast<time_t>(duration);
  return {seconds, static_cast<suseconds_t>((duration - static_cast<double>(seconds)) * kMicrosecondsPerSecond)};
}
}  // namespace

PeriodicTimer::PeriodicTimer(event_base* loop, Seconds period, std::function<void()> callback)
    : callback_(std::move(callback)) {
  auto const on_timeout = [](evutil_socket_t, short, void* self) { static_cast<PeriodicTimer*>(self)->callback_(); };
  event_.reset(event_new(loop, -1, EV_PERSIST, on_timeout, this));
  timeval const interval = timeval_of(period);
  event_add(event_.get(), &interval);
}

void after(event_base* loop, Seconds delay, std::function<void()> callback) {
  using Callback = std::function<void()>;
  auto owned = std::make_unique<Callback>(std::move(callback));
  auto const on_timeout = [](evutil_socket_t, short, void* given) {
    std::unique_ptr<Callback> const taken(static_cast<Callback*>(given));
    (*taken)();
  };
  timeval const interval = timeval_of(std::max(delay, 0.0));
  if (event_base_once(loop, -1, EV_TIMEOUT, on_timeout, owned.get(), &interval) == 0)
    static_cast<void>(owned.release());  // on_timeout has it now
}

}  // namespace dockbend
