// One call at a time to the platform. A task that owns its socket.
#pragma once
#include <event2/event.h>
#include <event2/http.h>

#include <functional>

#include "settings/settings.hpp"

namespace dockbend {

// Invariants: at most one call is on its way; at its deadline, or when it is called
// off, its connection is reset, so that no byte of it leaves later.
class PlatformClient {
 public:
  // code 0: no answer. retry_after < 0: not said.
  using Done = std::function<void(int code, Seconds retry_after)>;
  PlatformClient(event_base* loop, Address to) : loop_(loop), to_(std::move(to)) {}
  ~PlatformClient() { reset(); }
  PlatformClient(PlatformClient const&) = delete;

  bool busy() const { return ec_ != nullptr; }
  void post(std::string const& path, std::vector<std::pair<std::string, std::string>> const& heads,
            std::string const& body, Seconds within, Done done);
  void reset();  // the call's Done is not called

 private:
  void over(int code, Seconds retry_after);
  event_base* loop_;
  Address to_;
  struct Tag {
    PlatformClient* e = nullptr;  // null once the call is over
  };
  evhttp_connection* ec_ = nullptr;
  Tag* tag_ = nullptr;
  event* timer_ = nullptr;
  Done done_;
};

}  // namespace dockbend
