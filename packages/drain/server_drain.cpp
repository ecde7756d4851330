#include "drain/server_drain.hpp"

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>
#include <tuple>

namespace dockbend {
namespace {

bool is_leaving(DrainUnit const& unit) {
  return unit.stage == DrainStage::draining || unit.stage == DrainStage::empty;
}

/// Slots of one service in one region.
struct SlotUsage {
  double available = 0;  // of servers that get new requests
  double used = 0;       // on all servers that are present
};

/// What is known of all servers in one step. Planning a departure lowers the capacity for those planned after it.
struct ServerView {
  std::map<std::string, ServerObservation const*> by_id;
  std::map<std::pair<std::string, std::string>, SlotUsage> slots;  // by service and region
  std::map<std::string, u32> serving;                              // servers that get new requests, by service

  ServerView(ReplicatedState const& state, std::vector<ServerObservation> const& servers) {
    std::set<std::string> leaving;
    for (DrainUnit const& unit : state.units)
      if (is_leaving(unit)) leaving.insert(unit.name);
    for (ServerObservation const& server : servers) {
      by_id[server.id] = &server;
      if (!server.is_present) continue;
      SlotUsage& usage = usage_of(server);
      usage.used += server.open_work.sessions;
      if (!server.is_ready || leaving.count(server.id) > 0) continue;
      usage.available += server.slots;
      ++serving[server.service];
    }
  }

  SlotUsage& usage_of(ServerObservation const& server) { return slots[{server.service, server.region}]; }

  /// Null if the server has left or was lost.
  ServerObservation const* find_present(std::string const& id) const {
    auto const it = by_id.find(id);
    return it == by_id.end() || !it->second->is_present ? nullptr : it->second;
  }
};

/// Plans one step of one run.
class RunStep {
 public:
  RunStep(ReplicatedState const& state, DrainRun const& run, ServerView& view, ServerDrainOptions const& options,
          UnitClock& clock, Seconds now, DrainActions& actions)
      : state_(state), run_(run), view_(view), options_(options), clock_(clock), now_(now), actions_(actions) {
    for (InitialServerCount const& count : run.had)
      initial_count_[count.service] = count.n;
  }

  void plan() {
    for (DrainUnit const& unit : state_.units)
      if (unit.pass == run_.id) plan_unit(unit);
    if (run_.state == DrainRunState::running) plan_departures();
    actions_.messages.push_back(DrainRunMessage{run_.id, message_});
  }

 private:
  void plan_unit(DrainUnit const& unit) {
    if (unit.stage == DrainStage::back) {
      ++finished_count_[unit.node];  // a server's node is its service
      return;
    }
    UnitTimes& times = clock_.observe(unit, now_);
    ServerObservation const* server = view_.find_present(unit.name);
    if (server == nullptr) return transition(unit.name, unit.stage, DrainStage::back);
    switch (unit.stage) {
      case DrainStage::waiting: candidates_.push_back(server); break;
      case DrainStage::draining: plan_draining(unit, *server, times); break;
      case DrainStage::empty: set_message(unit.name + ": empty, may be ended"); break;
      default: break;
    }
  }

  void plan_draining(DrainUnit const& unit, ServerObservation const& server, UnitTimes& times) {
    OpenWork const& open = server.open_work;
    bool const is_idle = server.is_fully_reported && open.uploads == 0 && open.keyed == 0 && open.sessions == 0;
    Seconds const draining_for = now_ - times.stage_since;
    std::optional<Seconds> const idle_for = times.observe_idle(is_idle, now_);
    if (idle_for && *idle_for >= options_.idle_confirmation && draining_for >= options_.stop_delay)
      transition(unit.name, unit.stage, DrainStage::empty);
    if (!is_idle && draining_for > run_.patience) set_message(busy_message(server));
  }

  static std::string busy_message(ServerObservation const& server) {
    if (!server.is_fully_reported) return server.id + ": not every proxy has said what it holds";
    char text[160];
    std::snprintf(text, sizeof text, "%s: not empty, %u uploads, %u keyed, %u sessions", server.id.c_str(),
                  server.open_work.uploads, server.open_work.keyed, server.open_work.sessions);
    return text;
  }

  /// Lets those waiting leave, the least busy first, as far as bounds and headroom allow.
  void plan_departures() {
    std::sort(candidates_.begin(), candidates_.end(),
              [](ServerObservation const* a, ServerObservation const* b) { return leaves_before(*a, *b); });
    for (ServerObservation const* server : candidates_) {
      u32 const missing = missing_count(server->service);
      if (missing >= run_.max_out) {
        set_message(server->service + ": " + std::to_string(missing) + " of its servers are out, no more may be");
        continue;
      }
      SlotUsage& usage = view_.usage_of(*server);
      double const remaining = usage.available - (server->is_ready ? server->slots : 0);
      bool const lacks_headroom = remaining <= 0 || usage.used > (1 - run_.headroom) * remaining;
      if (server->is_ready && lacks_headroom) {
        set_message(headroom_message(*server, usage.used, remaining));
        continue;
      }
      transition(server->id, DrainStage::waiting, DrainStage::draining);
      if (!server->is_ready) continue;
      usage.available = remaining;
      --view_.serving[server->service];
    }
  }

  /// How many of the servers that the service should have now do not serve.
  u32 missing_count(std::string const& service) {
    u32 const initial = initial_count_[service];
    u32 const removed_for_good = run_.replaced ? 0 : finished_count_[service];
    u32 const expected = initial - std::min(initial, removed_for_good);
    return expected - std::min(expected, view_.serving[service]);
  }

  std::string headroom_message(ServerObservation const& server, double used, double remaining) const {
    char text[200];
    std::snprintf(text, sizeof text, "%s in %s: %.0f of %.0f slots would be in use, headroom %.2f is wanted",
                  server.service.c_str(), server.region.c_str(), used, remaining, run_.headroom);
    return text;
  }

  void transition(std::string const& name, DrainStage from, DrainStage to) {
    actions_.transitions.push_back(StageTransition{run_.id, name, from, to, 0});
  }

  /// The first message of a step stands.
  void set_message(std::string const& text) {
    if (message_.empty()) message_ = text;
  }

  ReplicatedState const& state_;
  DrainRun const& run_;
  ServerView& view_;
  ServerDrainOptions const& options_;
  UnitClock& clock_;
  Seconds now_;
  DrainActions& actions_;
  std::map<std::string, u32> initial_count_;   // servers when the run began, by service
  std::map<std::string, u32> finished_count_;  // units that are back, by service
  std::vector<ServerObservation const*> candidates_;
  std::string message_;
};
}  // namespace

bool leaves_before(ServerObservation const& a, ServerObservation const& b) {
  auto const rank = [](ServerObservation const& server) {
    OpenWork const& open = server.open_work;
    return std::make_tuple(!server.is_fully_reported, open.uploads > 0, open.bytes, open.age, open.keyed, open.sessions,
                           server.id);
  };
  return rank(a) < rank(b);
}

DrainActions ServerDrainPlanner::step(ReplicatedState const& state, std::vector<ServerObservation> const& servers,
                                      Seconds now) {
  ServerView view(state, servers);
  DrainActions actions;
  clock_.begin_step();
  for (DrainRun const& run : state.passes)
    if (run.servers && !is_over(run.state)) RunStep(state, run, view, options_, clock_, now, actions).plan();
  clock_.end_step();
  drop_known_messages(state, actions);
  return actions;
}

std::vector<std::string> ServerDrainPlanner::servers_to_survey(ReplicatedState const& state) {
  std::vector<std::string> names, waiting;
  for (DrainUnit const& unit : state.units) {
    DrainRun const* run = state.pass(unit.pass);
    if (run == nullptr || !run->servers || unit.stage == DrainStage::back) continue;
    (unit.stage == DrainStage::waiting ? waiting : names).push_back(unit.name);
  }
  for (std::size_t i = 0; i < std::min(options_.survey_window, waiting.size()); ++i)
    names.push_back(waiting[(cursor_ + i) % waiting.size()]);
  // Windows overlap: each waiting server is asked about at several calls in a row.
  if (!waiting.empty()) cursor_ = (cursor_ + options_.survey_window / 4) % waiting.size();
  return names;
}

Seconds ServerDrainPlanner::stage_since(u64 run_id, std::string const& name) const {
  return clock_.stage_since(run_id, name).value_or(-1);
}

}  // namespace dockbend
