// The desk of the drains: passes over proxies and servers. Their state is wanted state in
// the register; the holder of the duty `drain` works out the next step, and whoever takes
// the duty over goes on from there.
#pragma once
#include <cmath>
#include <cstring>

#include "controller/lease_service.hpp"
#include "controller/registry_service.hpp"
#include "controller/survey_service.hpp"
#include "drain/proxy_drain.hpp"
#include "drain/server_drain.hpp"

namespace dockbend {

class DrainService {
 public:
  DrainService(ControllerContext& h, DirectoryService& si, RegistryService& se, SurveyService& su, LeaseService& d);

  // The register has something new: whom it has out is kept at hand for directory and roll.
  void see();

  void tick(Seconds now);

  // ---- calls of operators ------------------------------------------------------------
  // Everything under Drain. and Rotation.
  void call(evhttp_request* r, std::string const& what, bool servers, bool post, std::string const& body);

  ApiResponse check_call(DrainOrder const& o) const;

  void command_call(evhttp_request* r, std::string const& id, DrainCommand o, std::string const& unit);

  std::string status(bool servers) const;

  bool wanted() const;

 private:
  static ProxyDrainOptions node_plan(Settings const& st);
  static ServerDrainOptions server_plan(Settings const& st);
  bool rotating() const;

  std::vector<ProxyObservation> seen_nodes(Seconds now) const;

  // Every second all proxies say what they hold at the servers of the pass. What one of
  // them said holds for 2.5 s; who is silent for longer than any request may last has
  // nothing there any more.
  void ask_holdings(Seconds now);
  // The longest that a request may be held, by the routes in force.
  Seconds kMaxBodyBytes();

  std::vector<ServerObservation> seen_servers(Seconds now) const;

  template <class W>
  void write_held(W& w, DrainUnit const& u, Seconds now) const {
    OpenWork t;
    std::size_t silent = 0;
    for (auto const& [f, x] : heard_) {
      silent += now - x.at < 2.5 ? 0 : 1;
      for (OpenWork const& h : x.held)
        if (h.id == u.name) t.add(h);
    }
    w.Key("uploads");
    w.Uint(t.uploads);
    w.Key("bytes");
    w.Double(t.bytes);
    w.Key("keyed");
    w.Uint(t.keyed);
    w.Key("sessions");
    w.Uint(t.sessions);
    w.Key("notHeard");
    w.Uint64(silent);
    if (Seconds const s = rotation_.since(u.pass, u.name); s >= 0) {
      w.Key("sinceS");
      w.Double(std::round((now - s) * 10) / 10);
    }
  }

  // Steps are brought to the register under the fence they were worked out under.
  void bring(DrainActions const& m);

  // A node that is empty is named to the operator's hook, which restarts it. The call carries
  // the fence; one that got no clear answer is repeated.
  void call_hook(Seconds now);

  struct Heard {
    Seconds at = -1e9, known = -1e9;
    bool had_any = false;
    std::vector<OpenWork> held;
  };
  ControllerContext& context_;
  DirectoryService& directory_service_;
  RegistryService& registry_;
  SurveyService& surveys_;
  LeaseService& leases_;
  ProxyDrainPlanner nodes_;
  ServerDrainPlanner rotation_;
  std::unique_ptr<PlatformClient> hook_;
  std::map<std::string, Seconds> asked_at_;  // servers whose holdings were asked for lately
  std::map<std::string, Heard> heard_;       // by proxy; joined by replacing, so repeats add nothing
  Ballot longest_of_;                        // the view that longest_ was worked out from
  Seconds longest_ = 0;
  Seconds stepped_ = 0, asked_ = 0, hook_at_ = 0;
  bool held_ = false, busy_ = false;
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("controller");
};

}  // namespace dockbend
