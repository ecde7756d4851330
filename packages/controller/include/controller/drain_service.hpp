/// The singleton role `drain`: drain runs over proxies (`/-/Drain.*`) and servers (`/-/Rotation.*`).
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "controller/json_writer.hpp"
#include "controller/lease_service.hpp"
#include "controller/open_work_collector.hpp"
#include "controller/registry_service.hpp"
#include "controller/singleton_role.hpp"
#include "controller/survey_service.hpp"
#include "drain/proxy_drain.hpp"
#include "drain/server_drain.hpp"
#include "leases/platform_client.hpp"

namespace dockbend {

/// Moves the drain runs on. Their state is part of the replicated state; the holder of the role's lease works
/// out the next steps and submits them, and whoever takes the lease over goes on from there. Runs on the
/// event loop; refers to its context and to the other services, and owns none.
class DrainService : public SingletonRole {
 public:
  /// Adds itself to `leases`.
  DrainService(ControllerContext& context, DirectoryService& directory_service, RegistryService& registry,
               SurveyService& surveys, LeaseService& leases);

  /// A new value was committed: publishes the units that are out to the directory and the registry.
  void on_committed();
  void tick(Seconds now);
  /// The settings of the context have other bounds now.
  void on_settings_changed();

  /// All calls under `/-/Drain.` and, if `servers`, `/-/Rotation.`; `what` is the rest of the path.
  void call(evhttp_request* http_request, std::string const& what, bool servers, bool is_post, std::string const& body);

  /// Some run is not over.
  bool is_wanted() const override;

 private:
  static ProxyDrainOptions proxy_options(Settings const& settings);
  static ServerDrainOptions server_options(Settings const& settings);

  void start_call(evhttp_request* http_request, bool servers, std::string const& body);
  void command_call(evhttp_request* http_request, DrainCommand command, std::string const& parameters);

  void stop_acting();
  void plan_steps(Seconds now);
  bool has_server_run() const;
  void ask_open_work(Seconds now);
  Seconds longest_request();
  std::vector<ProxyObservation> proxy_observations(Seconds now) const;
  std::vector<ServerObservation> server_observations(Seconds now) const;
  void submit_actions(DrainActions const& actions);
  bool apply_under_fence(ReplicatedState& state, DrainActions const& actions, u64 fence) const;
  void log_transitions(DrainActions const& actions) const;

  void call_release_hook(Seconds now);
  DrainUnit const* next_to_release() const;
  void post_release(DrainUnit const& unit);
  void on_release_answer(DrainUnit const& unit, int code);

  std::string status_json(bool servers) const;
  void write_runs(JsonWriter& json, bool servers) const;
  void write_units(JsonWriter& json, bool servers, Seconds now) const;
  void write_unit(JsonWriter& json, DrainUnit const& unit, bool servers, Seconds now) const;
  void write_proxy_work(JsonWriter& json, std::string const& front) const;
  void write_server_work(JsonWriter& json, DrainUnit const& unit, Seconds now) const;

  ControllerContext& context_;
  DirectoryService& directory_service_;
  RegistryService& registry_;
  LeaseService& leases_;
  OpenWorkCollector open_work_;
  ProxyDrainPlanner proxy_planner_;
  ServerDrainPlanner server_planner_;
  std::unique_ptr<PlatformClient> release_hook_;  ///< null if the settings name none
  Ballot longest_request_of_;                     ///< the view that longest_request_ was worked out from
  Seconds longest_request_ = 0;
  Seconds planned_at_ = 0, asked_at_ = 0, next_hook_call_at_ = 0;
  bool was_acting_ = false;     ///< the lease let this controller act at the last tick
  bool is_submitting_ = false;  ///< steps are on their way to consensus
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("controller");
};

}  // namespace dockbend
