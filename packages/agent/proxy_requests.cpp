#include "agent/proxy_requests.hpp"

#include "planning/traffic_survey.hpp"
#include "quota/quota_messages.hpp"
#include "rollout/rollout_messages.hpp"
#include "transport/counters.hpp"

namespace dockbend {
namespace {
char constexpr kQuotaRole[] = "allowance";
}  // namespace

ProxyRequests::ProxyRequests(AgentContext& context, ControllerLinks& controllers, ProxySession& proxy,
                             ClaimSender& claims)
    : context_(context),
      controllers_(controllers),
      proxy_(proxy),
      claims_(claims),
      handlers_{
          {MessageType::proxy_load, &ProxyRequests::on_load_report},
          {MessageType::acquire_key_request, &ProxyRequests::on_acquire_key_request},
          {MessageType::key_outcome, &ProxyRequests::on_key_outcome},
          {MessageType::usage_update, &ProxyRequests::on_usage_update},
          {MessageType::quota_lease_request, &ProxyRequests::on_quota_lease_request},
          {MessageType::survey_response, &ProxyRequests::on_survey_response},
          {MessageType::stage_response, &ProxyRequests::on_stage_response},
      } {}

void ProxyRequests::on_message(Connection& connection, Message const& message) {
  proxy_.note_heard(steady_now());
  auto const handler = handlers_.find(message.kind);
  if (handler == nullptr) {
    ++rejected_input().letters;
    return;
  }
  (this->*handler)(connection, message);
}

void ProxyRequests::on_load_report(Connection&, Message const& message) {
  if (proxy_.take_report(message.as<ProxyLoadReport>())) controllers_.send_heartbeats();
}

void ProxyRequests::on_acquire_key_request(Connection& connection, Message const& message) {
  context_.claims.acquire(connection.id(), message.tag, message.as<AcquireKeyRequest>(), steady_now());
  claims_.send_all();
}

void ProxyRequests::on_key_outcome(Connection&, Message const& message) {
  context_.claims.on_outcome(message.as<KeyOutcomeNotice>());
  claims_.send_all();
}

void ProxyRequests::on_usage_update(Connection&, Message const& message) {
  for (UsageRow const& row : message.as<UsageUpdate>().rows)
    context_.usage.merge(row);
}

void ProxyRequests::on_quota_lease_request(Connection&, Message const& message) {
  Lease const* const lease = context_.state ? context_.state->term(kQuotaRole) : nullptr;
  if (lease != nullptr) forward(&lease->ip, MessageType::quota_lease_request, 0, message);
}

// To the controller that requested this survey; another one may have requested one meanwhile.
void ProxyRequests::on_survey_response(Connection&, Message const& message) {
  std::string const* const ip = context_.survey_replies.find(message.as<TrafficSurvey>().id);
  forward(ip, MessageType::survey_response, message.tag, message);
}

void ProxyRequests::on_stage_response(Connection&, Message const& message) {
  std::string const* const ip = context_.stage_replies.find(message.as<StageResponse>().id);
  forward(ip, MessageType::stage_response, 0, message);
}

void ProxyRequests::forward(std::string const* ip, MessageType type, u32 tag, Message const& message) {
  ControllerLink* const controller = ip == nullptr ? nullptr : controllers_.find(*ip);
  if (controller != nullptr && controller->link->up())
    controller->link->ch()->send(type, tag, std::string_view(message.body));
}

}  // namespace dockbend
