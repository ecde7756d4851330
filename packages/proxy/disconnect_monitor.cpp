#include "proxy/disconnect_monitor.hpp"

#include <event2/buffer.h>
#include <event2/event.h>

#include <utility>

#include "transport/socket_options.hpp"

namespace dockbend {
namespace {
/// So many bytes of next requests are read while one is in flight.
std::size_t constexpr kMostBytesOfNextRequests = 64 << 10;
}  // namespace

void DisconnectMonitor::start(evhttp_request* client_request, OnDisconnect on_disconnect, void* argument) {
  connection_ = evhttp_request_get_connection(client_request);
  if (connection_ == nullptr) return;
  socket_ = evhttp_connection_get_bufferevent(connection_);
  on_disconnect_ = on_disconnect;
  argument_ = argument;
  bufferevent_getcb(socket_, nullptr, &evhttp_on_write_, &evhttp_on_event_, &evhttp_argument_);
  bufferevent_setcb(socket_, nullptr, nullptr, on_event, this);
  bufferevent_set_timeouts(socket_, nullptr, nullptr);
  bufferevent_setwatermark(socket_, EV_READ, 0, kMostBytesOfNextRequests);
  bufferevent_enable(socket_, EV_READ);
}

void DisconnectMonitor::stop(int idle_timeout_seconds) {
  if (socket_ == nullptr) return;
  // evhttp sets its read callback again once it wants to read.
  bufferevent_setcb(socket_, nullptr, evhttp_on_write_, evhttp_on_event_, evhttp_argument_);
  bufferevent_setwatermark(socket_, EV_READ, 0, 0);
  evhttp_connection_set_timeout(connection_, idle_timeout_seconds);
  socket_ = nullptr;
}

bool DisconnectMonitor::has_hidden_disconnect() const {
  return socket_ != nullptr && !has_disconnected_ &&
         evbuffer_get_length(bufferevent_get_input(socket_)) >= kMostBytesOfNextRequests &&
         has_peer_disconnected(bufferevent_getfd(socket_));
}

void DisconnectMonitor::on_event(bufferevent*, short what, void* monitor) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) static_cast<DisconnectMonitor*>(monitor)->report_disconnect();
}

void DisconnectMonitor::report_disconnect() {
  if (socket_ == nullptr || std::exchange(has_disconnected_, true)) return;
  on_disconnect_(argument_);
}

bool has_client_disconnected(evhttp_request* client_request) {
  evhttp_connection* const connection = evhttp_request_get_connection(client_request);
  return connection == nullptr ||
         has_peer_disconnected(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)));
}

}  // namespace dockbend
