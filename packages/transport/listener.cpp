#include "transport/listener.hpp"

#include <event2/listener.h>

#include <stdexcept>

#include "transport/socket_options.hpp"

namespace dockbend {
namespace {
constexpr int kBacklog = 128;  // connections that wait to be accepted
}

Listener::Listener(event_base* loop, Address const& at) : loop_(loop) {
  auto const on_accept = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
    auto* const listener = static_cast<Listener*>(self);
    listener->on_channel.emit(Connection::take(listener->loop_, socket));
  };
  sockaddr_in address = socket_address(at);
  listener_.reset(evconnlistener_new_bind(loop, on_accept, this,
                                          LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, kBacklog,
                                          reinterpret_cast<sockaddr*>(&address), sizeof address));
  if (listener_ == nullptr) throw std::runtime_error("can't listen at " + at.str());
}

}  // namespace dockbend
