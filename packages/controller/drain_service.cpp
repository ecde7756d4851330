#include "controller/drain_service.hpp"

#include "controller/api_calls.hpp"

#include <algorithm>
#include <cmath>

#include "controller/call_parameters.hpp"

namespace dockbend {

namespace {

/// Some clients keep a list of proxies for a multiple of the time that they are told to.
double constexpr kMaxListAgeInTtls = 3;
/// Beyond the bound for proxies to learn of a draining server.
Seconds constexpr kSpreadMargin = 0.5;
Seconds constexpr kPlanPeriod = 0.4;
Seconds constexpr kAskPeriod = 1.0;
/// How long the steps of one plan may wait for a majority.
Seconds constexpr kSubmitPatience = 1.0;
Seconds constexpr kHookCall = 1.0;
Seconds constexpr kHookPeriod = 1.0;
/// A proxy not heard from for this long is taken as dark.
Seconds constexpr kFreshFor = 2.5;
/// The least that the longest request is taken to last.
Seconds constexpr kMinLongestRequest = 5;
/// What a server bears while it warms up, as a part of its capacity.
double constexpr kWarmingPartOfCapacity = 0.25;

struct CommandPath {
  char const* prefix;
  DrainCommand command;
};
CommandPath constexpr kCommandPaths[] = {{"Pause/", DrainCommand::pause},
                                         {"Resume/", DrainCommand::resume},
                                         {"Abort/", DrainCommand::abort},
                                         {"Return/", DrainCommand::take_back}};

bool is_out(DrainUnit const& unit) {
  return unit.stage != DrainStage::waiting && unit.stage != DrainStage::back;
}

bool is_success(int http_code) {
  return http_code >= 200 && http_code <= 299;
}

double rounded_to_tenths(Seconds duration) {
  return std::round(duration * 10) / 10;
}

using UnitsByName = std::map<std::string, DrainUnit>;

UnitsByName units_out(ReplicatedState const& state) {
  UnitsByName units;
  for (DrainUnit const& unit : state.units)
    if (is_out(unit)) units.emplace(unit.name, unit);
  return units;
}

bool have_same_names(UnitsByName const& a, UnitsByName const& b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](auto const& x, auto const& y) { return x.first == y.first; });
}

ProxyObservation observation_of(ProxyEntry const& proxy, Seconds now) {
  ProxyObservation observation;
  observation.front = proxy.front;
  observation.zone = proxy.zone;
  observation.region = proxy.region;
  observation.is_ready = proxy.ready;
  observation.is_reachable = now - proxy.heard < kFreshFor;
  observation.load = proxy.load;
  observation.reported_stage =
      static_cast<DrainStage>(std::min<u32>(proxy.drain.stage, static_cast<u32>(DrainStage::back)));
  observation.open_keyed = proxy.drain.keyed;
  observation.open_uploads = proxy.drain.uploads;
  observation.incarnation = proxy.drain.incarnation;
  observation.cordoned_for = proxy.drain.incarnation != 0 ? proxy.drain.since + (now - proxy.heard) : 0;
  observation.has_current_configuration = proxy.current;
  return observation;
}

void write_run(JsonWriter& json, DrainRun const& run) {
  write_member(json, "id", std::to_string(run.id));
  write_member(json, "state", drain_run_state_name(run.state));
  write_member(json, "back", std::to_string(run.back) + "/" + std::to_string(run.total));
  write_member(json, "headroom", run.headroom);
  write_member(json, "why", run.why);
}

}  // namespace

DrainService::DrainService(ControllerContext& context, DirectoryService& directory_service, RegistryService& registry,
                           SurveyService& surveys, LeaseService& leases)
    : context_(context),
      directory_service_(directory_service),
      registry_(registry),
      leases_(leases),
      open_work_(directory_service, surveys),
      proxy_planner_(proxy_options(context.settings)),
      server_planner_(server_options(context.settings)) {
  if (context.settings.drainHook)
    release_hook_ = std::make_unique<PlatformClient>(context.loop, *context.settings.drainHook);
  leases.add_role(kDrainRole, *this);
}

ProxyDrainOptions DrainService::proxy_options(Settings const& settings) {
  ProxyDrainOptions options;
  options.max_list_age = kMaxListAgeInTtls * settings.bounds.ttlMaxS;
  return options;
}

ServerDrainOptions DrainService::server_options(Settings const& settings) {
  ServerDrainOptions options;
  options.stop_delay = settings.bounds.drainBoundS + kSpreadMargin;
  return options;
}

void DrainService::on_settings_changed() {
  proxy_planner_.set_options(proxy_options(context_.settings));
  server_planner_.set_options(server_options(context_.settings));
}

void DrainService::on_committed() {
  if (!context_.committed) return;
  UnitsByName units = units_out(*context_.committed);
  bool const has_changed = !have_same_names(units, context_.drained_units);
  context_.drained_units = std::move(units);
  if (has_changed) registry_.orders_changed();
}

bool DrainService::is_wanted() const {
  return context_.committed && std::any_of(context_.committed->passes.begin(), context_.committed->passes.end(),
                                           [](DrainRun const& run) { return !is_over(run.state); });
}

bool DrainService::has_server_run() const {
  return std::any_of(context_.committed->passes.begin(), context_.committed->passes.end(),
                     [](DrainRun const& run) { return run.servers && !is_over(run.state); });
}

// Steps

void DrainService::tick(Seconds now) {
  if (!is_wanted()) return;
  if (!leases_.may_act(kDrainRole, now, 0)) return stop_acting();
  was_acting_ = true;
  if (now - planned_at_ < kPlanPeriod || is_submitting_) return;
  planned_at_ = now;
  if (!context_.in_contact()) return;
  if (has_server_run()) ask_open_work(now);
  plan_steps(now);
  call_release_hook(now);
}

/// What was observed as the holder says nothing about a later time as the holder.
void DrainService::stop_acting() {
  if (was_acting_) {
    proxy_planner_.forget();
    server_planner_.forget();
    open_work_.forget_reports();
    if (release_hook_) release_hook_->cancel();
  }
  was_acting_ = false;
}

void DrainService::plan_steps(Seconds now) {
  DrainActions actions = proxy_planner_.step(*context_.committed, proxy_observations(now), now);
  DrainActions const more = server_planner_.step(*context_.committed, server_observations(now), now);
  actions.transitions.insert(actions.transitions.end(), more.transitions.begin(), more.transitions.end());
  actions.messages.insert(actions.messages.end(), more.messages.begin(), more.messages.end());
  if (!actions.empty()) submit_actions(actions);
}

/// Once a second, of the servers that the planner is interested in now.
void DrainService::ask_open_work(Seconds now) {
  if (now - asked_at_ < kAskPeriod) return;
  asked_at_ = now;
  open_work_.ask(server_planner_.servers_to_survey(*context_.committed), longest_request(), now);
}

/// The longest that a request may last, by the routes in force.
Seconds DrainService::longest_request() {
  if (longest_request_of_ == context_.view.ballot && longest_request_ != 0) return longest_request_;
  longest_request_of_ = context_.view.ballot;
  longest_request_ = kMinLongestRequest;
  CompiledConfiguration const configuration = CompiledConfiguration::from(context_.view.items);
  for (auto const& [key, route] : configuration.all_lanes())
    longest_request_ = std::max(longest_request_, route->deadline);
  return longest_request_;
}

std::vector<ProxyObservation> DrainService::proxy_observations(Seconds now) const {
  std::vector<ProxyObservation> observations;
  for (auto const& [front, proxy] : directory_service_.catalog().entries())
    observations.push_back(observation_of(proxy, now));
  return observations;
}

/// Empty if no run is about servers.
std::vector<ServerObservation> DrainService::server_observations(Seconds now) const {
  std::vector<ServerObservation> observations;
  if (!has_server_run()) return observations;
  OpenWorkCollector::OpenWorkByServer const open_work = open_work_.by_server();
  bool const is_complete = open_work_.is_complete(now);
  for (auto const& [id, entry] : registry_.roll().entries()) {
    ServerObservation server;
    server.id = id;
    server.service = entry.record.service;
    server.zone = entry.record.zone;
    server.region = context_.settings.region_of(entry.record.zone);
    server.is_present = entry.record.state != ServerState::gone;
    server.is_ready = entry.record.state == ServerState::ready;
    server.slots = entry.warming_until > now ? kWarmingPartOfCapacity * entry.record.capacity : entry.record.capacity;
    if (auto const it = open_work.find(id); it != open_work.end()) server.open_work = it->second;
    server.is_fully_reported = is_complete && open_work_.covers(id);
    observations.push_back(std::move(server));
  }
  return observations;
}

/// The steps count only under the fencing token that they were worked out under.
void DrainService::submit_actions(DrainActions const& actions) {
  is_submitting_ = true;
  context_.submit([this, actions, fence = leases_.fence(kDrainRole)](
                      ReplicatedState& state) { return apply_under_fence(state, actions, fence); },
                  [this, actions](ReplicatedState const* state) {
                    is_submitting_ = false;
                    if (state != nullptr) log_transitions(actions);
                  },
                  kSubmitPatience);
}

bool DrainService::apply_under_fence(ReplicatedState& state, DrainActions const& actions, u64 fence) const {
  Lease const* lease = state.term(kDrainRole);
  if (lease == nullptr || lease->fence != fence || lease->holder != context_.settings.nodeName) return false;
  return apply_actions(state, actions);
}

void DrainService::log_transitions(DrainActions const& actions) const {
  for (StageTransition const& move : actions.transitions)
    LOG4CPLUS_INFO(logger_, "Drain run " << move.run_id << ": " << move.name << " goes from "
                                         << drain_stage_name(move.from) << " to " << drain_stage_name(move.to) << ".");
}

// The operator's release hook

/// Names an empty proxy to the operator's hook, which restarts it. A call without a clear answer is repeated.
void DrainService::call_release_hook(Seconds now) {
  if (!release_hook_ || release_hook_->is_busy() || now < next_hook_call_at_) return;
  if (!leases_.may_act(kDrainRole, now, kHookCall)) return;
  DrainUnit const* unit = next_to_release();
  if (unit == nullptr) return;
  next_hook_call_at_ = now + kHookPeriod;
  post_release(*unit);
}

DrainUnit const* DrainService::next_to_release() const {
  for (DrainUnit const& unit : context_.committed->units) {
    DrainRun const* run = context_.committed->pass(unit.pass);
    if (unit.stage == DrainStage::empty && run != nullptr && !run->servers) return &unit;
  }
  return nullptr;
}

void DrainService::post_release(DrainUnit const& unit) {
  std::string const node = unit.node.empty() ? unit.name : unit.node;
  std::string const body = "{\"pass\":\"" + std::to_string(unit.pass) + "\",\"address\":\"" + unit.name + "\"}";
  release_hook_->post(
      "/release/" + node,
      {{"X-Duty-Holder", context_.settings.nodeName}, {"X-Fence-Number", std::to_string(leases_.fence(kDrainRole))}},
      body, kHookCall, [this, unit](PlatformResponse const& response) { on_release_answer(unit, response.status); });
}

void DrainService::on_release_answer(DrainUnit const& unit, int code) {
  if (!is_success(code)) return;
  DrainActions actions;
  actions.transitions.push_back(
      StageTransition{unit.pass, unit.name, DrainStage::empty, DrainStage::released, unit.incarnation});
  submit_actions(actions);
}

// Calls of operators

void DrainService::call(evhttp_request* http_request, std::string const& what, bool servers, bool is_post,
                        std::string const& body) {
  if (what == "Status") return context_.api.write(http_request, ApiResponse{200, status_json(servers)});
  if (!is_post) return context_.api.write(http_request, error_response(405, "wants POST"));
  if (what == "Start") return start_call(http_request, servers, body);
  for (auto const& [prefix, command] : kCommandPaths)
    if (what.starts_with(prefix))
      return command_call(http_request, command, what.substr(std::string_view(prefix).size()));
  context_.api.write(http_request, error_response(404, "no such call"));
}

void DrainService::start_call(evhttp_request* http_request, bool servers, std::string const& body) {
  DrainOrder order;
  try {
    order = json::parse_as<DrainOrder>(body);
    order.servers = servers;
    validate(order);
  } catch (json::Fault const& e) {
    return context_.api.write(http_request, error_response(400, e.what()));
  } catch (DrainOrderError const& e) {
    return context_.api.write(http_request, error_response(e.code, e.what()));
  }
  run_command(context_, http_request, StartDrain(order, context_.known()));
}

/// `parameters`: ID, or ID/UNIT.
void DrainService::command_call(evhttp_request* http_request, DrainCommand command, std::string const& parameters) {
  std::size_t const slash = parameters.find('/');
  std::string const unit = slash == std::string::npos ? "" : parameters.substr(slash + 1);
  std::optional<u64> const id = parse_id(parameters.substr(0, slash));
  if (!id) return context_.api.write(http_request, error_response(400, "id: wants a number"));
  run_command(context_, http_request, ControlDrain(*id, command, unit, context_.known()));
}

std::string DrainService::status_json(bool servers) const {
  Lease const* lease = context_.committed ? context_.committed->term(kDrainRole) : nullptr;
  return json_object([&](JsonWriter& json) {
    write_member(json, "holder", lease == nullptr ? std::string() : lease->holder);
    write_array(json, "passes", [&] { write_runs(json, servers); });
    write_array(json, "units", [&] { write_units(json, servers, steady_now()); });
  });
}

void DrainService::write_runs(JsonWriter& json, bool servers) const {
  if (!context_.committed) return;
  for (DrainRun const& run : context_.committed->passes)
    if (run.servers == servers) write_object(json, [&] { write_run(json, run); });
}

void DrainService::write_units(JsonWriter& json, bool servers, Seconds now) const {
  if (!context_.committed) return;
  for (DrainUnit const& unit : context_.committed->units) {
    DrainRun const* run = context_.committed->pass(unit.pass);
    if (run == nullptr || run->servers != servers) continue;
    write_object(json, [&] { write_unit(json, unit, servers, now); });
  }
}

void DrainService::write_unit(JsonWriter& json, DrainUnit const& unit, bool servers, Seconds now) const {
  write_member(json, "pass", std::to_string(unit.pass));
  write_member(json, "name", unit.name);
  write_member(json, servers ? "service" : "node", unit.node);
  write_member(json, "wave", unit.wave);
  write_member(json, "stage", drain_stage_name(unit.stage));
  if (servers)
    write_server_work(json, unit, now);
  else
    write_proxy_work(json, unit.name);
}

void DrainService::write_proxy_work(JsonWriter& json, std::string const& front) const {
  auto const it = directory_service_.catalog().entries().find(front);
  if (it == directory_service_.catalog().entries().end()) return;
  write_member(json, "keyed", it->second.drain.keyed);
  write_member(json, "uploads", it->second.drain.uploads);
}

void DrainService::write_server_work(JsonWriter& json, DrainUnit const& unit, Seconds now) const {
  OpenWork const open_work = open_work_.at_server(unit.name);
  write_member(json, "uploads", open_work.uploads);
  write_member(json, "bytes", open_work.bytes);
  write_member(json, "keyed", open_work.keyed);
  write_member(json, "sessions", open_work.sessions);
  write_member(json, "notHeard", u64{open_work_.silent_proxies(now)});
  Seconds const since = server_planner_.stage_since(unit.pass, unit.name);
  if (since >= 0) write_member(json, "sinceS", rounded_to_tenths(now - since));
}

}  // namespace dockbend
