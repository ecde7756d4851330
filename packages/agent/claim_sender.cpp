#include "agent/claim_sender.hpp"

#include <variant>

namespace dockbend {
namespace {
/// Of a stored answer that its first disk is to copy to another one.
u32 constexpr kCopyTag = 1;
Seconds constexpr kCatchUpInterval = 0.05;
}  // namespace

void ClaimSender::send_all() {
  for (ClaimAction const& each : context_.claims.take_actions())
    std::visit([this](auto const& action) { send(action); }, each);
}

template <class T>
void ClaimSender::send_to(std::string const& ip, MessageType type, u32 tag, T const& record) {
  if (ControllerLink* const controller = controllers_.find(ip)) controller->link->send(type, tag, record);
}

void ClaimSender::send(SendClaim const& action) {
  send_to(action.to, MessageType::claim_request, action.tag, action.claim);
}

void ClaimSender::send(SendRelease const& action) {
  send_to(action.to, MessageType::release_request, 0, action.release);
}

void ClaimSender::send(SendFetch const& action) {
  send_to(action.to, MessageType::fetch_answer_request, action.tag, action.fetch);
}

void ClaimSender::send(SendStore const& action) {
  ControllerLink* const controller = controllers_.find(action.to);
  if (controller == nullptr || !controller->link->up()) return;
  controller->link->ch()->send(MessageType::store_answer, kCopyTag, std::string_view(action.answer));
}

void ClaimSender::send(SendCatchUp const& action) {
  if (ControllerLink* const controller = controllers_.find(action.to))
    controllers_.request_catch_up(*controller, steady_now(), kCatchUpInterval);
}

void ClaimSender::send(SendAnswer const& action) {
  if (proxy_.is_on(action.asker)) proxy_.send(MessageType::acquire_key_response, action.tag, action.answer);
}

}  // namespace dockbend
