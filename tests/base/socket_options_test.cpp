// A peer that has left is noticed, however it left and whatever it sent before.
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/socket_options.hpp"

using namespace dockbend;

namespace {
/// Two ends of one TCP connection on loopback.
struct ConnectionPair {
  ConnectionPair() {
    int const listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    cr_assert_eq(bind(listener, reinterpret_cast<sockaddr*>(&address), length), 0);
    cr_assert_eq(listen(listener, 1), 0);
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
    client = socket(AF_INET, SOCK_STREAM, 0);
    cr_assert_eq(connect(client, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    server = accept(listener, nullptr, nullptr);
    close(listener);
  }
  ~ConnectionPair() {
    if (client >= 0) close(client);
    close(server);
  }
  void close_client() {
    close(client);
    client = -1;
  }
  void reset_client() {
    reset_on_close(client);
    close_client();
  }
  void send_from_client() { cr_assert_eq(write(client, "next request", 12), 12); }
  int client = -1, server = -1;
};
}  // namespace

Test(has_peer_disconnected, not_while_the_peer_is_there) {
  ConnectionPair connection;
  cr_assert_not(has_peer_disconnected(connection.server));
  connection.send_from_client();
  cr_assert_not(has_peer_disconnected(connection.server));
}

Test(has_peer_disconnected, by_a_close) {
  ConnectionPair connection;
  connection.close_client();
  cr_assert(has_peer_disconnected(connection.server));
}

Test(has_peer_disconnected, by_a_half_close) {
  ConnectionPair connection;
  shutdown(connection.client, SHUT_WR);
  cr_assert(has_peer_disconnected(connection.server));
}

Test(has_peer_disconnected, by_a_reset) {
  ConnectionPair connection;
  connection.reset_client();
  cr_assert(has_peer_disconnected(connection.server));
}

Test(has_peer_disconnected, behind_bytes_that_nobody_has_read) {
  ConnectionPair connection;
  connection.send_from_client();
  connection.close_client();
  cr_assert(has_peer_disconnected(connection.server));
}

Test(has_peer_disconnected, not_from_no_socket) {
  cr_assert_not(has_peer_disconnected(-1));
}
