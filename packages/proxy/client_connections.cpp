#include "proxy/client_connections.hpp"

#include <algorithm>
#include <utility>

#include "transport/http_reply.hpp"

namespace dockbend {
namespace {

/// The argument of a socket's callbacks: evhttp's connection, unless a DisconnectMonitor watches in its place.
void* callback_argument_of(bufferevent* socket) {
  bufferevent_data_cb on_read = nullptr, on_write = nullptr;
  bufferevent_event_cb on_event = nullptr;
  void* argument = nullptr;
  bufferevent_getcb(socket, &on_read, &on_write, &on_event, &argument);
  return argument;
}

void apply_sizes(evhttp_connection* connection, ConnectionLimits const& limits) {
  evhttp_connection_set_max_headers_size(connection, limits.head_bytes);
  evhttp_connection_set_max_body_size(connection, limits.body_bytes);
}

}  // namespace

ClientConnections::ClientConnections(event_base* loop) : accepted_event_(event_new(loop, -1, 0, on_accepted, this)) {}

ClientConnections::~ClientConnections() = default;

void ClientConnections::watch(evhttp* server) {
  server_ = server;
  evhttp_set_bevcb(server, create_socket, this);
}

void ClientConnections::set_limits(ConnectionLimits const& limits) {
  // A timeout that is set anew begins anew: connections must not be kept open by changes of other settings.
  if (limits == limits_) return;
  bool const is_idle_limit_changed = limits.idle_seconds != limits_.idle_seconds;
  limits_ = limits;
  evhttp_set_max_headers_size(server_, limits.head_bytes);
  evhttp_set_max_body_size(server_, limits.body_bytes);
  evhttp_set_timeout(server_, limits.idle_seconds);
  for (auto const& [key, open] : open_) {
    evhttp_connection* const connection = open->connection;
    apply_sizes(connection, limits);
    bool const is_monitored = callback_argument_of(open->socket) != connection;
    if (is_idle_limit_changed && !is_monitored) evhttp_connection_set_timeout(connection, limits.idle_seconds);
  }
}

Seconds ClientConnections::request_completed(evhttp_request* request) {
  auto const open = open_.find(evhttp_request_get_connection(request));
  if (open == open_.end()) return 0;
  open->second->has_complete_request = true;
  // No bytes: they came together with the request before, and nobody knows when.
  return std::exchange(open->second->bytes, 0) > 0 ? steady_now() - open->second->first_byte_at : 0;
}

void ClientConnections::request_answered(evhttp_connection const* connection) {
  auto const open = open_.find(connection);
  if (open != open_.end()) open->second->has_complete_request = false;
}

u32 ClientConnections::open_reads(u64 idle_ticks) const {
  return static_cast<u32>(std::count_if(open_.begin(), open_.end(), [&](auto const& entry) {
    return entry.second->bytes > 0 && ticks_ - entry.second->last_read_tick <= idle_ticks;
  }));
}

/// evhttp makes its connection right after this, and says nothing about it: the event finds it in the same turn of the
/// loop, before a byte can be read.
bufferevent* ClientConnections::create_socket(event_base* loop, void* connections) {
  auto* const self = static_cast<ClientConnections*>(connections);
  auto accepted = std::make_unique<OpenConnection>();
  accepted->owner = self;
  accepted->socket = bufferevent_socket_new(loop, -1, 0);
  accepted->input_callback = evbuffer_add_cb(bufferevent_get_input(accepted->socket), on_input, accepted.get());
  accepted->output_callback = evbuffer_add_cb(bufferevent_get_output(accepted->socket), on_output, accepted.get());
  self->accepted_.push_back(std::move(accepted));
  event_active(self->accepted_event_.get(), EV_TIMEOUT, 0);
  return self->accepted_.back()->socket;
}

void ClientConnections::on_accepted(evutil_socket_t, short, void* connections) {
  static_cast<ClientConnections*>(connections)->adopt_accepted();
}

void ClientConnections::adopt_accepted() {
  for (std::unique_ptr<OpenConnection>& accepted : std::exchange(accepted_, {})) {
    auto* const connection = static_cast<evhttp_connection*>(callback_argument_of(accepted->socket));
    evhttp_connection_set_closecb(connection, on_closed, this);
    accepted->connection = connection;
    open_[connection] = std::move(accepted);
  }
}

void ClientConnections::on_closed(evhttp_connection* connection, void* connections) {
  auto* const self = static_cast<ClientConnections*>(connections);
  auto const open = self->open_.find(connection);
  if (open == self->open_.end()) return;
  evbuffer_remove_cb_entry(bufferevent_get_input(open->second->socket), open->second->input_callback);
  evbuffer_remove_cb_entry(bufferevent_get_output(open->second->socket), open->second->output_callback);
  self->open_.erase(open);
  self->on_ended.emit(connection);
}

void ClientConnections::on_input(evbuffer*, evbuffer_cb_info const* info, void* connection) {
  if (info->n_added == 0) return;
  auto& open = *static_cast<OpenConnection*>(connection);
  if (open.bytes == 0) open.first_byte_at = steady_now();
  open.bytes += info->n_added;
  open.last_read_tick = open.owner->ticks_;
}

void ClientConnections::on_output(evbuffer* output, evbuffer_cb_info const* info, void* connection) {
  if (info->n_added == 0) return;
  if (!static_cast<OpenConnection*>(connection)->has_complete_request) trim_own_reply(output);
}

}  // namespace dockbend
