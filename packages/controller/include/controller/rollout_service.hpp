// The desk of the manifest changes: checked, brought out in stages, committed.
#pragma once
#include <set>

#include "controller/directory_service.hpp"
#include "rollout/rollout.hpp"

namespace dockbend {

class RolloutService {
 public:
  RolloutService(ControllerContext& h, DirectoryService& s);

  void amend(evhttp_request* r, std::string const& body);

  void hold_for(std::string const& leader, StageForwardRequest const& f);

  void rollouts(Seconds now);

  void order_call(evhttp_request* r, std::string const& text, RolloutCommand o);

  std::string rollout_status() const;

  void held(StageResponse const& r, Seconds now);
  // A site whose agent's life may have ended holds nothing for certain.
  void lost_channel(u64 id);
  void forget(Seconds now);
  void note(RolloutStatusNotice n);

 private:
  struct Staged {
    Rollout ro;
    AmendConfiguration o;
    evhttp_request* r = nullptr;  // the operator's call, until it is answered
    Seconds start = 0;
    RolloutPhase told{};
    std::size_t told_stage = 99;
    Ballot seen;  // of the value it was last set against
  };

  // Only what changes lanes that nodes already serve by is brought out in stages:
  // a first manifest has no version that anyone trusts, and what changes nothing or
  // is faulty goes to the register at once, whose word is final.
  bool worth_staging(ConfigChange const& a) const;

  // Nodes whose last two keepalives did not both fail: a frozen one must not use up
  // the time that a rollout has.
  std::map<std::string, std::string> in_touch(Seconds now) const;

  void stage_on(Staged& g, Seconds now);

  void answer_rollout(Staged& g, ApiResponse const& c);

  // Sites that registered here get it from us; the others from their own directory,
  // so that it crosses to each zone once.
  void to_sites(std::vector<std::string> const& fronts, StageRequest const& h);

  RolloutStatusNotice note_of(Staged const& g, Seconds now) const;

  Ballot ballot() const;
  ControllerContext& context_;
  DirectoryService& directory_service_;
  std::map<u64, Staged> rollouts_;                           // led from here
  std::map<u64, RolloutStatusNotice> notes_;                 // led elsewhere, as told
  std::map<u64, std::pair<std::string, Seconds>> held_for_;  // passed on for a mate: who leads them
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("controller");
};

}  // namespace dockbend
