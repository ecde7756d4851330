/// RAII owners of libevent's objects. Each frees its object with libevent's own function. libevent objects must be
/// freed before the event_base that they belong to: declare the base's owner first, so that it is destroyed last.
#pragma once
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

#include <memory>

namespace dockbend {

/// Deleter for std::unique_ptr that calls a libevent function. It has no state, so an owner is as small as a pointer.
/// @tparam Object libevent's type
/// @tparam free_function the function that frees an Object; never called with null
template <class Object, void (*free_function)(Object*)>
struct LibeventDeleter {
  void operator()(Object* object) const noexcept { free_function(object); }
};

/// Owns an event loop. The loop must not be running when the owner is destroyed.
using EventBaseOwner = std::unique_ptr<event_base, LibeventDeleter<event_base, event_base_free>>;

/// Owns a timer, signal or descriptor event; freeing it also removes it from the loop, so its callback can't run later.
using EventOwner = std::unique_ptr<event, LibeventDeleter<event, event_free>>;

/// Owns an HTTP server with its listening sockets and the connections that it accepted. Requests that the server still
/// holds are freed with it.
using HttpServerOwner = std::unique_ptr<evhttp, LibeventDeleter<evhttp, evhttp_free>>;

/// Owns an HTTP client connection. Freeing it frees the requests that are queued on it; their callbacks may run with a
/// null request meanwhile.
using HttpConnectionOwner =
    std::unique_ptr<evhttp_connection, LibeventDeleter<evhttp_connection, evhttp_connection_free>>;

/// Owns a byte buffer. Never hold one that belongs to a bufferevent or an evhttp_request: those free their own.
using BufferOwner = std::unique_ptr<evbuffer, LibeventDeleter<evbuffer, evbuffer_free>>;

/// Owns a listening socket; the socket is closed too if the listener has LEV_OPT_CLOSE_ON_FREE.
using ConnectionListenerOwner = std::unique_ptr<evconnlistener, LibeventDeleter<evconnlistener, evconnlistener_free>>;

/// Owns a buffered socket; the socket is closed too if it has BEV_OPT_CLOSE_ON_FREE. It may be freed from inside its
/// own callbacks: libevent keeps the memory until they have returned, and calls none afterwards.
using BufferedSocketOwner = std::unique_ptr<bufferevent, LibeventDeleter<bufferevent, bufferevent_free>>;

}  // namespace dockbend
