#include "proxy/agent_client.hpp"
#include "transport/counters.hpp"

namespace dockbend {
namespace {
/// Keys of limits' items begin with this. They compile to nothing that CompiledConfiguration::size() counts.
char constexpr kLimitsKeyPrefix = 'l';
}  // namespace

AgentClient::AgentClient(ProxyContext& context, RequestDriver& driver, StateApplier& state, LoadReporter& load,
                         ShutdownSequence& shutdown, std::string front_address)
    : context_(context),
      driver_(driver),
      state_(state),
      load_(load),
      shutdown_(shutdown),
      survey_(context, front_address),
      front_address_(std::move(front_address)) {
  context_.agent.on_message.connect([this](PeerLink&, Message const& message) { on_message(message); });
  context_.agent.on_down.connect([this](PeerLink&) { driver_.idempotency().on_agent_down(); });
  context_.agent.on_up.connect([this](PeerLink&) {
    load_.report();
    driver_.usage().report_all_next();
  });
}

void AgentClient::tick(Seconds now) {
  context_.agent.tick(now);
  staged_changes_.expire(now);
}

void AgentClient::on_message(Message const& message) {
  switch (message.kind) {
    case MessageType::state_update: return on_state_update(message.as<StateUpdate>());
    case MessageType::acquire_key_response:
      return driver_.idempotency().on_response(message.tag, message.as<AcquireKeyResponse>());
    case MessageType::stage_request: return on_stage_request(message.as<StageRequest>());
    case MessageType::clock_reading: return driver_.usage().on_clock_reading(message.as<ClockReading>().wall);
    case MessageType::quota_lease_response: return driver_.quota().on_lease(message.as<QuotaLeaseResponse>());
    case MessageType::survey_request: return survey_.on_request(message.tag, message.as<SurveyRequest>());
    case MessageType::drain_instruction: return shutdown_.on_drain_instruction(message.as<DrainInstruction>());
    default: ++rejected_input().letters;
  }
}

void AgentClient::on_state_update(StateUpdate const& update) {
  Seconds const now = steady_now();
  // An agent that sends a complete state knows whom to notify of key outcomes.
  if (!update.state.empty()) driver_.key_outcomes().send_held_back();
  state_.apply(update, now);
}

void AgentClient::on_stage_request(StageRequest const& request) {
  if (request.drop) return staged_changes_.withdraw(request.id);
  std::size_t items = 0;
  for (ConfigItem const& item : request.items)
    items += !item.gone && item.key[0] != kLimitsKeyPrefix ? 1 : 0;
  StageResponse response;
  response.id = request.id;
  response.holds = staged_changes_.is_staged(request.id) || CompiledConfiguration::from(request.items).size() == items;
  response.front = front_address_;
  if (response.holds) staged_changes_.stage(request.id, steady_now() + request.for_ms / 1000.0);
  context_.agent.send(MessageType::stage_response, 0, response);
}

}  // namespace dockbend
