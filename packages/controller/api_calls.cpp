#include "controller/api_calls.hpp"

namespace dockbend {

ApiResponse redirect_to_controller_in_contact(ControllerContext const& context, std::string const& uri) {
  Member const* const member =
      context.committed ? context.committed->member(context.contact.member_in_contact(steady_now())) : nullptr;
  if (member == nullptr || member->control == 0) return error_response(503, "not in contact with a majority");
  return {307, "{}", "http://" + Address{member->ip, member->control}.str() + uri};
}

}  // namespace dockbend
