// Calls of the control API, with another address tried when one does not answer.
#pragma once
#include <optional>
#include <string>

#include "command_line/options.hpp"

namespace dockbend::command_line {

/// An answer of the control API.
struct ApiReply {
  int status = 0;        ///< HTTP status; 0: no answer
  std::string body;      ///< JSON
  std::string location;  ///< of a redirect
};

/// One call of the control API.
struct ApiCall {
  enum class Method { get, post } method = Method::post;
  std::string path;
  std::string body;  ///< JSON, or empty
};

/// Asks the control addresses of the options in their order. Each call blocks until its answer or time-out.
class ControlClient {
 public:
  /// options must outlive the client.
  explicit ControlClient(Options const& options) : options_(options) {}

  /// The first answer below 500, following up to two redirects from each address; else the last answer.
  ApiReply send(ApiCall const& call) const;

  /// kDone for a 200; else prints one line that says why not and returns the exit code.
  int report_failure(ApiReply const& reply) const;

 private:
  ApiReply send_to(Address const& address, ApiCall const& call) const;
  ApiReply follow_redirects(ApiReply reply, ApiCall const& call) const;

  Options const& options_;
};

}  // namespace dockbend::command_line
