/// Socket addresses and options that all our connections share.
#pragma once
#include <event2/util.h>
#include <netinet/in.h>

#include "settings/settings.hpp"

namespace dockbend {

/// The address as the socket calls take it.
sockaddr_in socket_address(Address const& address);

/// The address of the socket's peer; none if it has no IPv4 peer.
std::optional<sockaddr_in> peer_address(evutil_socket_t socket);

/// Sends small messages at once, and lets the system end the connection when sent bytes stay unacknowledged.
/// @param unacknowledged_ms for how long, in milliseconds
void tune_socket(evutil_socket_t socket, int unacknowledged_ms);

/// A close of the socket resets its connection, and discards what is not sent yet. Without effect on no socket.
void reset_on_close(evutil_socket_t socket);

/// Has the peer closed, half-closed or reset the connection, whatever of it is still unread? False for no socket.
bool has_peer_disconnected(evutil_socket_t socket);

}  // namespace dockbend
