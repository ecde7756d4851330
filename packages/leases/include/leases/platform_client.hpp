/// Calls the users' platform over HTTP, one call at a time.
///
/// Runs on the event loop's thread; the loop must outlive the client.
#pragma once
#include <event2/event.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "leases/platform_response.hpp"
#include "settings/settings.hpp"

namespace dockbend {

/// Invariant: at most one call is in flight; at its deadline, or when it is cancelled, its connection is reset, so that
/// no byte of it is sent later.
class PlatformClient {
 public:
  struct Header {
    std::string name, value;
  };
  using ResponseHandler = std::function<void(PlatformResponse const&)>;

  PlatformClient(event_base* loop, Address platform);
  ~PlatformClient();
  PlatformClient(PlatformClient const&) = delete;
  PlatformClient& operator=(PlatformClient const&) = delete;

  bool is_busy() const { return call_ != nullptr; }
  /// Posts a JSON body; a call that is still in flight is cancelled first.
  /// @param deadline seconds for the whole call
  /// @param on_response called once, unless the call is cancelled; it may start the next call
  void post(std::string const& path, std::vector<Header> const& headers, std::string const& body, Seconds deadline,
            ResponseHandler on_response);
  /// Resets the connection of the call in flight, if any; its handler is not called.
  void cancel();

 private:
  /// One call with its connection and timer. libevent's callbacks get a pointer to it.
  struct Call;
  void start_deadline(Seconds deadline);
  void finish(PlatformResponse const& response);

  event_base* loop_;
  Address platform_;
  std::shared_ptr<Call> call_;
};

}  // namespace dockbend
