/// Answers of the control API that depend on the controller's state.
#pragma once
#include <string>
#include <utility>

#include "controller/controller_context.hpp"

namespace dockbend {

/// For a call that may be answered only in contact with a majority, while there is none: a redirect to a member that is
/// in contact for certain, or else a 503, after which the client comes back.
ApiResponse redirect_to_controller_in_contact(ControllerContext const& context, std::string const& uri);

/// Brings an operator's command into the replicated state and answers its call. `context` must outlive the call.
template <OperatorCommand Command>
void run_command(ControllerContext& context, evhttp_request* request, Command command) {
  if (context.leaving_since > 0) return context.api.write(request, error_response(503, "leaving"));
  execute_command(context.submit, std::move(command), context.patience(),
                  [&context, request](CommandResult const& result) { context.api.write(request, answer_of(result)); });
}

}  // namespace dockbend
