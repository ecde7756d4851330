#include "proxy/front_listener.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "proxy/request_intake.hpp"

namespace dockbend {
namespace {
/// libevent refuses heads over this by itself. Those up to here get our own answer, see docs/style.md.
ev_ssize_t head_limit_of(LimitsConfig const& limits) {
  std::size_t constexpr kExtraBytes = 128 << 10;
  return static_cast<ev_ssize_t>(limits.header_bytes * 2 + kExtraBytes);
}
}  // namespace

int idle_timeout_seconds(LimitsConfig const& limits) {
  return std::max(1, static_cast<int>(std::ceil(limits.idle)));
}

FrontListener::FrontListener(event_base* loop, Address const& address, LimitsConfig const& limits,
                             RequestIntake& intake)
    : intake_(intake), connections_(loop), server_(evhttp_new(loop)) {
  evhttp_set_allowed_methods(server_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                                                EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
  evhttp_set_gencb(server_.get(), on_request, this);
  connections_.watch(server_.get());
  set_limits(limits);
  socket_ = evhttp_bind_socket_with_handle(server_.get(), address.ip.c_str(), static_cast<ev_uint16_t>(address.port));
  if (socket_ == nullptr) throw std::runtime_error("can't listen at " + address.str());
}

void FrontListener::on_request(evhttp_request* client_request, void* listener) {
  auto* const self = static_cast<FrontListener*>(listener);
  Seconds const reading_time = self->connections_.request_completed(client_request);
  self->intake_.on_request(client_request, reading_time);
}

void FrontListener::set_limits(LimitsConfig const& limits) {
  connections_.set_limits(
      {head_limit_of(limits), static_cast<ev_ssize_t>(limits.body_bytes), idle_timeout_seconds(limits)});
}

void FrontListener::stop_accepting() {
  evhttp_del_accept_socket(server_.get(), socket_);
  socket_ = nullptr;
}

}  // namespace dockbend
