/// Messages from the agent, given to the parts that they concern.
#pragma once
#include "proxy/load_reporter.hpp"
#include "proxy/proxy_context.hpp"
#include "proxy/request_driver.hpp"
#include "proxy/shutdown_sequence.hpp"
#include "proxy/state_applier.hpp"
#include "proxy/survey_responder.hpp"
#include "rollout/rollout_messages.hpp"
#include "rollout/staged_changes.hpp"

namespace dockbend {

/// Connects itself to the agent's link. Exceptions for malformed messages are caught by the connection, which ends.
class AgentClient {
 public:
  AgentClient(ProxyContext& context, RequestDriver& driver, StateApplier& state, LoadReporter& load,
              ShutdownSequence& shutdown, std::string front_address);
  AgentClient(AgentClient const&) = delete;
  /// Keeps the link up, and drops staged changes whose time is over.
  void tick(Seconds now);

 private:
  void on_message(Message const& message);
  void on_state_update(StateUpdate const& update);
  /// A change that is being rolled out must compile here completely. What is staged changes nothing of how requests
  /// are handled; in force is only what has been committed.
  void on_stage_request(StageRequest const& request);

  ProxyContext& context_;
  RequestDriver& driver_;
  StateApplier& state_;
  LoadReporter& load_;
  ShutdownSequence& shutdown_;
  SurveyResponder survey_;
  std::string front_address_;
  StagedChanges staged_changes_;
};

}  // namespace dockbend
