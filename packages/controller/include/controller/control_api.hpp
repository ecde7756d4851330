/// The control API: which HTTP call goes to which service.
#pragma once
#include <event2/http.h>

#include <string>
#include <string_view>

#include "controller/controller_services.hpp"
#include "controller/status_report.hpp"

namespace dockbend {

/// Reads a request of the control listener, finds its route and runs the route's handler. Handlers answer through the
/// context, at once or once consensus has decided.
class ControlApi {
 public:
  explicit ControlApi(ControllerServices const& services)
      : services_(services), context_(services.context), status_(services) {}

  /// Any request of the control listener.
  void handle(evhttp_request* request);

 private:
  /// One request, read.
  struct Call {
    evhttp_request* request;
    evhttp_cmd_type method;
    std::string path;  // without a query
    std::string rest;  // the path after the route's prefix
    std::string body;
  };
  enum class PathMatch { exact, prefix };
  enum class Method { any, get, post };
  enum class Contact { not_needed, needed };
  /// Calls that change something, and reads whose answer or refusal must not be old, need contact with a majority. The
  /// others answer with what this controller has; /-/Status says how fresh that is.
  struct Route {
    std::string_view path;
    PathMatch match;
    Method method;
    Contact contact;
    void (*handler)(ControlApi&, Call const&);
  };
  static Route const kRoutes[];

  static Call read_call(evhttp_request* request);
  static Route const* find_route(std::string const& path);
  void respond(Call const& call, ApiResponse const& response);
  /// Answers the call later.
  RegistryService::Respond responder(Call const& call);

  void heartbeat(Call const& call);
  void read_configuration(Call const& call);
  void set_evacuation(Call const& call, bool is_on);

  ControllerServices services_;
  ControllerContext& context_;
  StatusReport status_;
};

}  // namespace dockbend
