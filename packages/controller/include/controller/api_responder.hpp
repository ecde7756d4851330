/// Answers the HTTP calls of the control API and the directory.
#pragma once
#include <event2/http.h>

#include <exception>
#include <string>
#include <unordered_map>

#include "logging/log.hpp"
#include "operator_commands/operator_commands.hpp"

namespace dockbend {

/// The answer to a call, before it is written.
struct ApiResponse {
  int code = 200;
  std::string body;
  std::string location = {};  // of a redirect
};

ApiResponse error_response(int code, std::string const& what);
/// What an operator's command is answered with.
ApiResponse answer_of(CommandResult const& result);

/// The one place that writes answers.
class ApiResponder {
 public:
  /// Answers a call. Must be called once for each; the request is libevent's again afterwards.
  void write(evhttp_request* request, ApiResponse const& response);
  /// A call has arrived. Its answer is logged if it comes late or tells of a failure here.
  void begin(evhttp_request const* request) { began_at_[request] = steady_now(); }
  /// Runs the handler of a call from outside: whatever it throws ends this call with a 500, not the process.
  template <class Handler>
  void guard(evhttp_request* request, Handler const& handler) {
    last_answered_ = nullptr;
    try {
      handler(request);
    } catch (std::exception const& error) {
      on_handler_failed(request, error);
    }
  }
  /// From now on each answer closes its connection: this controller leaves.
  void close_connections() { closes_connections_ = true; }

 private:
  void on_handler_failed(evhttp_request* request, std::exception const& error);
  void log_if_late_or_failed(evhttp_request* request, int code);

  evhttp_request const* last_answered_ = nullptr;  // the newest request that was; for `guard` alone
  bool closes_connections_ = false;
  std::unordered_map<evhttp_request const*, Seconds> began_at_;  // of calls that are not answered yet
};

}  // namespace dockbend
