#include "proxy/client_watch.hpp"

#include <event2/buffer.h>
#include <event2/event.h>

#include <utility>

#include "transport/socket_options.hpp"

namespace dockbend {
namespace {
/// So many bytes of next requests are read while one is in flight.
std::size_t constexpr kMostBytesOfNextRequests = 64 << 10;
}  // namespace

void ClientWatch::start(evhttp_request* client_request, int idle_timeout_seconds, OnDeparture on_departure,
                        void* argument) {
  connection_ = evhttp_request_get_connection(client_request);
  if (connection_ == nullptr) return;
  socket_ = evhttp_connection_get_bufferevent(connection_);
  idle_timeout_seconds_ = idle_timeout_seconds;
  on_departure_ = on_departure;
  argument_ = argument;
  bufferevent_getcb(socket_, nullptr, &evhttp_on_write_, &evhttp_on_event_, &evhttp_argument_);
  bufferevent_setcb(socket_, nullptr, nullptr, on_event, this);
  bufferevent_set_timeouts(socket_, nullptr, nullptr);
  bufferevent_setwatermark(socket_, EV_READ, 0, kMostBytesOfNextRequests);
  bufferevent_enable(socket_, EV_READ);
}

void ClientWatch::stop() {
  if (socket_ == nullptr) return;
  // evhttp sets its read callback again once it wants to read.
  bufferevent_setcb(socket_, nullptr, evhttp_on_write_, evhttp_on_event_, evhttp_argument_);
  bufferevent_setwatermark(socket_, EV_READ, 0, 0);
  evhttp_connection_set_timeout(connection_, idle_timeout_seconds_);
  socket_ = nullptr;
}

bool ClientWatch::has_left_unseen() const {
  return socket_ != nullptr && !has_left_ &&
         evbuffer_get_length(bufferevent_get_input(socket_)) >= kMostBytesOfNextRequests &&
         has_peer_left(bufferevent_getfd(socket_));
}

void ClientWatch::on_event(bufferevent*, short what, void* watch) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) static_cast<ClientWatch*>(watch)->report_departure();
}

void ClientWatch::report_departure() {
  if (socket_ == nullptr || std::exchange(has_left_, true)) return;
  on_departure_(argument_);
}

bool has_client_left(evhttp_request* client_request) {
  evhttp_connection* const connection = evhttp_request_get_connection(client_request);
  return connection == nullptr || has_peer_left(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)));
}

}  // namespace dockbend
