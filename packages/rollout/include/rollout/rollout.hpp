// Brings one manifest change to the nodes in stages: they hold it first, and it
// is committed only once every stage has settled. No I/O.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "configuration/configuration.hpp"
#include "settings/settings.hpp"

namespace dockbend {

enum class RolloutPhase : u8 {
  holding = 1,     // a stage is being brought out
  paused = 2,      // too few of the stage answered so far; goes on by itself
  stopped = 3,     // the operator said pause
  committing = 4,  // every stage settled: the register decides
  done = 5,
  fell_back = 6,  // its time was up before every stage settled
  aborted = 7,    // the operator said abort
  overtaken = 8,  // higher versions stand: nothing is left to bring
};
char const* phase_str(RolloutPhase p);
bool is_over(RolloutPhase p);

enum class RolloutCommand : u8 { pause = 1, resume = 2, abort = 3 };

// Invariants: the commit is asked for exactly once, and only after every stage
// settled; nothing is withdrawn after it was asked for; before it, the end of a
// rollout drops what is held and changes nothing of how errands are handled.
class Rollout {
 public:
  Rollout(u64 id, RolloutOptions const& plan, Seconds now);

  struct Actions {
    std::vector<std::string> send;  // sites that shall hold it (again)
    bool commit = false;            // ask the register now
    bool drop = false;              // tell every site that was asked to drop it
  };
  // in_touch: site -> zone of the nodes that carry lanes and are heard from. Only
  // they count, so dead, frozen and cut-off nodes hold nothing up for long.
  Actions step(Seconds now, std::map<std::string, std::string> const& in_touch);
  void heard(std::string const& site, bool holds);
  void lost(std::string const& site);  // its life ended: what it held is gone
  bool pause();
  bool resume(Seconds now);
  bool abort();
  // An operator's order: true if it is taken now, or was before and is sent again.
  bool heed(RolloutCommand o, Seconds now);
  void overtaken();
  void committed(bool stands);  // what the register said

  u64 id() const { return id_; }
  RolloutPhase phase() const { return phase_; }
  std::size_t stage() const { return stage_; }
  std::size_t stages() const { return plan_.stages.size(); }
  std::size_t wanted() const { return wanted_; }  // of the stage at hand
  std::size_t holding() const { return holding_; }
  std::set<std::string> const& asked() const { return asked_; }
  Seconds until() const { return until_; }

 private:
  u64 id_;
  RolloutOptions plan_;
  RolloutPhase phase_ = RolloutPhase::holding;
  std::size_t stage_ = 0, wanted_ = 0, holding_ = 0;
  Seconds since_, until_;
  bool drop_due_ = false;
  std::set<RolloutCommand> heeded_;
  std::set<std::string> asked_, held_, refused_;
  std::map<std::string, Seconds> sent_;
};

// A node's side: what it holds, and until when. Invariant: without a word from the
// one who leads, nothing is held past its time, so a dead leader leaves nothing.
class StagedChanges {
 public:
  void hold(u64 id, Seconds until) { m_[id] = until; }
  void drop(u64 id) { m_.erase(id); }
  bool holds(u64 id) const { return m_.count(id) > 0; }
  void expire(Seconds now) {
    std::erase_if(m_, [now](auto const& x) { return x.second < now; });
  }

 private:
  std::map<u64, Seconds> m_;
};

// An order of the sites in which every prefix is spread over the zones.
std::vector<std::string> spread_order(std::map<std::string, std::string> const& site_zone);

// Wire messages.
struct StageRequest {
  DB_RECORD(StageRequest, (u64, id), (bool, drop), (u32, for_ms), (std::vector<ConfigItem>, items));
};
// To the directory that the named sites registered with: it passes the change on.
struct StageForwardRequest {
  DB_RECORD(StageForwardRequest, (std::vector<std::string>, sites), (std::string, hold));
};
struct StageResponse {
  DB_RECORD(StageResponse, (u64, id), (bool, holds), (std::string, front));
};
// What mates tell each other of their rollouts.
struct RolloutStatusNotice {
  DB_RECORD(RolloutStatusNotice, (u64, id), (std::string, at), (RolloutPhase, phase), (u32, stage), (u32, stages),
            (u32, wanted), (u32, holding), (std::vector<std::string>, items), (double, age));
};

}  // namespace dockbend
