/// A listening HTTP server of the controller.
#pragma once
#include <functional>

#include "settings/settings.hpp"
#include "transport/event_owners.hpp"

namespace dockbend {

/// Owns one evhttp server, which listens from the constructor to the destructor. Runs on the event loop's thread.
class HttpListener {
 public:
  using Handler = std::function<void(evhttp_request*)>;

  /// Throws std::runtime_error, naming the address, if it can't be bound. `handler` gets every request and must
  /// answer it, at once or later.
  HttpListener(event_base* loop, Address const& address, Handler handler);
  HttpListener(HttpListener const&) = delete;
  HttpListener& operator=(HttpListener const&) = delete;

 private:
  static void on_request(evhttp_request* request, void* self);

  Handler handler_;
  HttpServerOwner server_;
};

}  // namespace dockbend
