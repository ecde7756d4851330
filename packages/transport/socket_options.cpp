#include "transport/socket_options.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace dockbend {

sockaddr_in socket_address(Address const& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<u_int16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

std::optional<sockaddr_in> peer_address(evutil_socket_t socket) {
  sockaddr_in peer{};
  socklen_t length = sizeof peer;
  if (getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &length) != 0) return std::nullopt;
  return peer;
}

void tune_socket(evutil_socket_t socket, int unacknowledged_ms) {
  if (socket < 0) return;
  int const on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  auto const timeout = static_cast<unsigned int>(unacknowledged_ms);
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

void reset_on_close(evutil_socket_t socket) {
  linger const no_wait{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &no_wait, sizeof no_wait);
}

bool has_peer_disconnected(evutil_socket_t socket) {
  pollfd entry{socket, POLLRDHUP, 0};
  return socket >= 0 && poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace dockbend
