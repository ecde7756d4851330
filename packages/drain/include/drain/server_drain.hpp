// Servers out of service, in order: who leaves next. No I/O.
#pragma once
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "drain/drain_run.hpp"

namespace dockbend {

// What one proxy has open at one server. bytes: sent of bodies still open; age: of the
// oldest of them.
struct OpenWork {
  DB_RECORD(OpenWork, (std::string, id), (u32, uploads), (double, bytes), (double, age), (u32, keyed), (u32, sessions));
  // What another proxy holds there.
  void add(OpenWork const& o) {
    uploads += o.uploads;
    bytes += o.bytes;
    age = std::max(age, o.age);
    keyed += o.keyed;
    sessions += o.sessions;
  }
};

// A server as the holder of the duty knows it.
struct ServerObservation {
  std::string id, service, zone, region;
  bool present = false, ready = false;  // ready: it may get new work
  double slots = 1;                     // that it bears: a cold one fewer
  OpenWork held;                        // over all proxies
  bool told = false;                    // every proxy that may have sent to it said what it holds
};

// What leaves first: those with least that would be lost. A report that is missing counts
// as busy.
bool leaves_before(ServerObservation const& a, ServerObservation const& b);

struct ServerDrainOptions {
  Seconds spread = 3.5;  // after this long no proxy sends it anything new
  Seconds settle = 0.8;
  std::size_t window = 32;  // units that wait whose holdings are asked for at once
};

// Invariants:
// - of a service no more than max_out servers that it had are missing at once, be they
//   drained, lost or not yet replaced;
// - a server leaves `waiting` only while its service, in its region, keeps the headroom
//   without it;
// - it is `empty` only when every proxy that may hold something there says that it does
//   not, twice, `settle` apart, and after `spread`;
// - the order is worked out anew at each step.
class ServerDrainPlanner {
 public:
  explicit ServerDrainPlanner(ServerDrainOptions p) : p_(p) {}
  DrainActions step(ReplicatedState const& s, std::vector<ServerObservation> const& servers, Seconds now);
  // Whose holdings have to be known now: of all that drain, and of a few that wait, others each
  // time. What a rotation costs must not grow as proxies x servers.
  std::vector<std::string> interest(ReplicatedState const& s);
  // Since when a unit is in its stage, in this holder's sight; < 0: not known.
  Seconds since(u64 pass, std::string const& name) const;
  void forget() { at_.clear(); }

 private:
  struct Mark {
    DrainStage stage = DrainStage::waiting;
    Seconds since = 0, quiet_since = -1;
  };
  ServerDrainOptions p_;
  std::size_t cursor_ = 0;  // among the units that wait
  std::map<std::pair<u64, std::string>, Mark> at_;
};

}  // namespace dockbend
