#include "proxy/proxied_request.hpp"

#include <event2/event.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>

namespace dockbend {
namespace {
Seconds constexpr kShortestTimer = 0.0005;
}  // namespace

ProxiedRequest::ProxiedRequest(event_base* loop, RequestFlow& flow)
    : flow_(flow), timer_(event_new(loop, -1, 0, timer_fired, this)) {}

bool ProxiedRequest::has_attempt_on(UpstreamConnection const* upstream) const {
  return upstream == awaited.connection ||
         std::any_of(hedged_attempts.begin(), hedged_attempts.end(),
                     [&](Attempt const& hedged) { return hedged.connection == upstream; });
}

std::optional<Attempt> ProxiedRequest::take_hedged_attempt(UpstreamConnection const* upstream) {
  auto const found = std::find_if(hedged_attempts.begin(), hedged_attempts.end(),
                                  [&](Attempt const& hedged) { return hedged.connection == upstream; });
  if (found == hedged_attempts.end()) return std::nullopt;
  Attempt const taken = *found;
  hedged_attempts.erase(found);
  return taken;
}

void ProxiedRequest::timer_fired(evutil_socket_t, short, void* request) {
  auto* const self = static_cast<ProxiedRequest*>(request);
  self->flow_.on_timer(*self);
}

void ProxiedRequest::client_disconnected(void* request) {
  auto* const self = static_cast<ProxiedRequest*>(request);
  self->flow_.on_client_disconnected(*self);
}

void ProxiedRequest::monitor_client() {
  disconnect_monitor.start(client_request, client_disconnected, this);
}

void ProxiedRequest::set_timer(Seconds at) {
  Seconds const delay = std::max(kShortestTimer, at - steady_now());
  auto const whole_seconds = static_cast<time_t>(delay);
  timeval const interval{whole_seconds, static_cast<suseconds_t>((delay - static_cast<double>(whole_seconds)) * 1e6)};
  event_add(timer_.get(), &interval);
}

void ProxiedRequest::cancel_timer() {
  event_del(timer_.get());
}

bool method_has_body(evhttp_cmd_type method) {
  return method == EVHTTP_REQ_POST || method == EVHTTP_REQ_PUT || method == EVHTTP_REQ_PATCH;
}

Headers headers_of(evkeyvalq* list) {
  Headers headers;
  for (evkeyval* entry = list->tqh_first; entry != nullptr; entry = entry->next.tqe_next)
    headers.emplace_back(entry->key, entry->value);
  return headers;
}

}  // namespace dockbend
