// One call at a time to the platform. A task that owns its socket.
#pragma once
#include <event2/event.h>
#include <event2/http.h>

#include <functional>

#include "settings/settings.hpp"

namespace dockbend {

// Invariants: at most one call is on its way; at its deadline, or when it is called
// off, its connection is reset, so that no byte of it leaves later.
class Envoy {
 public:
  // code 0: no answer. retry_after < 0: not said.
  using Done = std::function<void(int code, Secs retry_after)>;
  Envoy(event_base* eb, Addr to) : eb_(eb), to_(std::move(to)) {}
  ~Envoy() { reset(); }
  Envoy(Envoy const&) = delete;

  bool busy() const { return ec_ != nullptr; }
  void post(std::string const& path, std::vector<std::pair<std::string, std::string>> const& heads,
            std::string const& body, Secs within, Done done);
  void reset();  // the call's Done is not called

 private:
  void over(int code, Secs retry_after);
  event_base* eb_;
  Addr to_;
  struct Tag {
    Envoy* e = nullptr;  // null once the call is over
  };
  evhttp_connection* ec_ = nullptr;
  Tag* tag_ = nullptr;
  event* timer_ = nullptr;
  Done done_;
};

}  // namespace dockbend
