#include "upstream/connection_pool.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <cerrno>

#include "transport/periodic_timer.hpp"
#include "transport/socket_options.hpp"

namespace dockbend {
namespace {

// libevent's own limits on silence. A request is ended by its deadline alone, so its limit is longer than any deadline
// that a configuration may name.
int constexpr kIdleTimeoutSeconds = 60, kRequestTimeoutSeconds = 2000000000;
double constexpr kMillisecondsPerSecond = 1000, kMostMilliseconds = 2e9;
/// Else a head without an end would be kept until the deadline.
ev_ssize_t constexpr kMostHeadBytes = 256 << 10;
/// Nobody listens there; stands for an address that can't be read.
u32 constexpr kDiscardPort = 9;

void on_close(evhttp_connection*, void* argument) {
  auto* const connection = static_cast<UpstreamConnection*>(argument);
  if (!connection->is_busy) connection->pool->retire(*connection);
}

// Bytes leave the buffer by being written, or by being thrown away after the socket was taken from it: the second sends
// nothing.
void on_output(evbuffer*, evbuffer_cb_info const* info, void* argument) {
  auto* const connection = static_cast<UpstreamConnection*>(argument);
  if (info->n_deleted == 0) return;
  if (bufferevent_getfd(evhttp_connection_get_bufferevent(connection->http.get())) < 0) return;
  connection->has_sent = true;
  connection->written_bytes += info->n_deleted;
}

void on_done(evhttp_request* request, void* argument) {
  auto* const connection = static_cast<UpstreamConnection*>(argument);
  if (!connection->is_retired && connection->is_busy)
    connection->pool->on_return.emit(*connection, request);
  else if (request != nullptr && evhttp_request_get_response_code(request) != 0)
    ++connection->pool->late_responses;
}

// libevent refuses a response without a length that says its connection stays open, though its body ends with the
// connection whatever that header says (RFC 9112, 6.3).
int on_headers(evhttp_request* response, void*) {
  evkeyvalq* const headers = evhttp_request_get_input_headers(response);
  char const* const persistence = evhttp_find_header(headers, "Connection");
  bool const has_framing = evhttp_find_header(headers, "Content-Length") != nullptr ||
                           evhttp_find_header(headers, "Transfer-Encoding") != nullptr;
  if (!has_framing && persistence != nullptr && evutil_ascii_strcasecmp(persistence, "close") != 0)
    evhttp_remove_header(headers, "Connection");
  return 0;
}

// libevent calls this before on_done, while the socket's error is still at hand.
void on_exchange_failed(evhttp_request_error error, void* argument) {
  auto* const connection = static_cast<UpstreamConnection*>(argument);
  int const socket_error = EVUTIL_SOCKET_ERROR();
  switch (error) {
    case EVREQ_HTTP_EOF: connection->failure = ExchangeFailure::closed; return;
    case EVREQ_HTTP_INVALID_HEADER:
    case EVREQ_HTTP_DATA_TOO_LONG: connection->failure = ExchangeFailure::unreadable; return;
    case EVREQ_HTTP_BUFFER_ERROR:
      connection->failure = socket_error == ETIMEDOUT ? ExchangeFailure::unacknowledged
                            : socket_error == ECONNRESET || socket_error == ECONNREFUSED ? ExchangeFailure::reset
                                                                                         : ExchangeFailure::other;
      return;
    default: connection->failure = ExchangeFailure::other;
  }
}

Address address_of(Endpoint const& endpoint) {
  try {
    return parse_addr(endpoint.address, "address");
  } catch (SettingsError const&) {
    return Address{"127.0.0.1", kDiscardPort};
  }
}

}  // namespace

bool ConnectionPool::is_current(UpstreamConnection const& connection) const {
  return load_balancer_.endpoint(connection.server).uses == connection.endpoint_uses;
}

UpstreamConnection& ConnectionPool::acquire(ServerIndex server, Seconds max_idle_time, Seconds now, void* owner) {
  UpstreamConnection* const idle = take_idle(server, max_idle_time, now);
  UpstreamConnection& connection = idle != nullptr ? *idle : open(server);
  connection.is_busy = true;
  connection.has_sent = false;
  connection.is_acknowledged = false;
  connection.written_bytes = 0;
  connection.had_stray_response = false;
  connection.failure = ExchangeFailure::none;
  connection.owner = owner;
  return connection;
}

// The connection used last is the least likely to have been closed meanwhile.
UpstreamConnection* ConnectionPool::take_idle(ServerIndex server, Seconds max_idle_time, Seconds now) {
  std::vector<UpstreamConnection*>& idle = idle_[server.v];
  while (!idle.empty()) {
    UpstreamConnection& connection = *idle.back();
    Seconds const idle_time = now - connection.idle_since;
    if (is_current(connection) && idle_time <= std::min(connection.idle_limit, max_idle_time)) {
      remove_idle(connection);
      connection.idle_before = idle_time;
      return &connection;
    }
    retire(connection);
  }
  return nullptr;
}

evhttp_request* ConnectionPool::new_request(UpstreamConnection& connection) {
  evhttp_request* const request = evhttp_request_new(on_done, &connection);
  evhttp_request_set_error_cb(request, on_exchange_failed);
  evhttp_request_set_header_cb(request, on_headers);
  return request;
}

bool ConnectionPool::send(UpstreamConnection& connection, evhttp_request* request, evhttp_cmd_type method,
                          char const* target, int acknowledgement_timeout_ms) {
  evhttp_connection* const http = connection.http.get();
  evhttp_connection_set_timeout(http, kRequestTimeoutSeconds);
  if (evhttp_make_request(http, request, method, target) != 0) return false;
  tune_socket(bufferevent_getfd(evhttp_connection_get_bufferevent(http)), acknowledgement_timeout_ms);
  return true;
}

bool ConnectionPool::check_acknowledged(UpstreamConnection& connection, Seconds work_limit) {
  if (connection.is_acknowledged) return true;
  evutil_socket_t const socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection.http.get()));
  int unacknowledged_bytes = 0;
  if (socket < 0) return false;
  bool const is_known = ioctl(socket, SIOCOUTQ, &unacknowledged_bytes) == 0;
  connection.is_acknowledged = !is_known || static_cast<u64>(unacknowledged_bytes) < connection.written_bytes;
  if (is_known && connection.is_acknowledged)
    tune_socket(socket, static_cast<int>(std::min(work_limit * kMillisecondsPerSecond, kMostMilliseconds)));
  return connection.is_acknowledged;
}

// libevent reads a response only behind a request. So it is given one, whose bytes are taken out of the buffer before
// any of them is written.
bool ConnectionPool::await_next_response(UpstreamConnection& connection, evhttp_cmd_type method) {
  evhttp_connection* const http = connection.http.get();
  bufferevent* const socket = evhttp_connection_get_bufferevent(http);
  if (bufferevent_getfd(socket) < 0) return false;
  if (evhttp_make_request(http, new_request(connection), method, "/") != 0) return false;
  evbuffer* const output = bufferevent_get_output(socket);
  evbuffer_unfreeze(output, 1);
  evbuffer_drain(output, evbuffer_get_length(output));
  evbuffer_freeze(output, 1);
  connection.had_stray_response = true;
  return true;
}

UpstreamConnection& ConnectionPool::open(ServerIndex server) {
  Endpoint& endpoint = load_balancer_.endpoint(server);
  auto owner = std::make_unique<UpstreamConnection>();
  UpstreamConnection& connection = *owner;
  connections_.emplace(&connection, std::move(owner));
  connection.pool = this;
  connection.server = server;
  connection.endpoint_uses = endpoint.uses;
  Address const address = address_of(endpoint);
  bufferevent* const socket = bufferevent_socket_new(loop_, -1, BEV_OPT_DEFER_CALLBACKS);
  connection.http.reset(evhttp_connection_base_bufferevent_new(loop_, nullptr, socket, address.ip.c_str(),
                                                               static_cast<ev_uint16_t>(address.port)));
  evhttp_connection* const http = connection.http.get();
  evhttp_connection_set_timeout(http, kIdleTimeoutSeconds);
  evhttp_connection_set_max_headers_size(http, kMostHeadBytes);
  evhttp_connection_set_closecb(http, on_close, &connection);
  evbuffer_add_cb(bufferevent_get_output(socket), on_output, &connection);
  ++endpoint.connections;
  return connection;
}

void ConnectionPool::remove_idle(UpstreamConnection& connection) {
  auto const it = idle_.find(connection.server.v);
  if (it == idle_.end() || std::erase(it->second, &connection) == 0) return;
  Endpoint& endpoint = load_balancer_.endpoint(connection.server);
  if (is_current(connection) && endpoint.idle_connections > 0) --endpoint.idle_connections;
}

void ConnectionPool::retire(UpstreamConnection& connection) {
  if (connection.is_retired) return;
  connection.is_retired = true;
  remove_idle(connection);
  Endpoint& endpoint = load_balancer_.endpoint(connection.server);
  if (is_current(connection) && endpoint.connections > 0) --endpoint.connections;
  evhttp_connection* const http = connection.http.get();
  evhttp_connection_set_closecb(http, nullptr, nullptr);
  bufferevent* const socket = evhttp_connection_get_bufferevent(http);
  bufferevent_setcb(socket, nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(socket, EV_READ | EV_WRITE);
  after(loop_, 0, [this, retired = &connection] { connections_.erase(retired); });
}

void ConnectionPool::abort(UpstreamConnection& connection) {
  connection.is_busy = false;
  if (connection.has_sent) reset_on_close(bufferevent_getfd(evhttp_connection_get_bufferevent(connection.http.get())));
  retire(connection);
}

void ConnectionPool::release_idle(UpstreamConnection& connection, Seconds idle_limit, Seconds now) {
  connection.is_busy = false;
  connection.owner = nullptr;
  connection.idle_since = now;
  connection.idle_limit = idle_limit;
  evhttp_connection_set_timeout(connection.http.get(), kIdleTimeoutSeconds);
  idle_[connection.server.v].push_back(&connection);
  if (is_current(connection)) ++load_balancer_.endpoint(connection.server).idle_connections;
}

void ConnectionPool::retire_expired(Seconds now) {
  std::vector<UpstreamConnection*> expired;
  for (auto const& [server, connections] : idle_)
    for (UpstreamConnection* const connection : connections)
      if (now - connection->idle_since > connection->idle_limit || !is_current(*connection))
        expired.push_back(connection);
  for (UpstreamConnection* const connection : expired)
    retire(*connection);
}

void ConnectionPool::retire_idle_of(std::vector<ServerIndex> const& servers) {
  for (ServerIndex const server : servers) {
    auto const it = idle_.find(server.v);
    if (it == idle_.end()) continue;
    std::vector<UpstreamConnection*> const connections = it->second;  // retire() changes the list
    for (UpstreamConnection* const connection : connections)
      retire(*connection);
  }
}

}  // namespace dockbend
