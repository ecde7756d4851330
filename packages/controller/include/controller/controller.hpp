// The controller: control API, consensus, registry and directory. One runs on every core machine.
#pragma once
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <map>
#include <set>

#include "controller/consensus_service.hpp"
#include "controller/directory_service.hpp"
#include "controller/drain_service.hpp"
#include "controller/idempotency_service.hpp"
#include "controller/lease_service.hpp"
#include "controller/membership_service.hpp"
#include "controller/quota_service.hpp"
#include "controller/registry_service.hpp"
#include "controller/rollout_service.hpp"
#include "controller/survey_service.hpp"
#include "controller/usage_service.hpp"

namespace dockbend {

class Controller {
 public:
  Controller(event_base* loop, Settings const& st);

  void settings(Settings const& s);
  void term();

 private:
  static ControllerContext make_context(event_base* loop, Settings const& st);

  void open_disk();

  // ---- mates -----------------------------------------------------------------------
  PeerController& controller(std::string const& ip);

  u32 control_port() const;
  Ballot ballot() const;

  // Answers to what we asked over our own link.
  void from_controller(std::string const& ip, Message const& l);

  void digest(std::string const& ip, GossipDigest const& d);

  // ---- incoming channels -------------------------------------------------------------
  void took(ConnectionPtr c);

  void from_session(InboundSession& p, Message const& l);

  ProxyHeartbeatResponse beat_answer(InboundSession const& p) const;

  // ---- contact -------------------------------------------------------------------------
  Seconds contact_left(Seconds now) const;
  void sees_members();
  void ask_contact(std::string const& ip, PeerLink& l, Seconds now);
  // A digest is a question too; who is due besides is asked with nothing else in the letter.
  void probe(Seconds now);
  // Those we feed hear at once whether we are in contact: they choose others while we are not.
  void contact_changed(Seconds now);

  std::vector<std::string> known() const;

  // ---- register ----------------------------------------------------------------------
  void submit(std::function<bool(ReplicatedState&)> change, std::function<void(ReplicatedState const*)> done,
              Seconds patience);

  // ---- HTTP ----------------------------------------------------------------------------
  evhttp* serve(char const* what, void (*cb)(evhttp_request*, void*));

  void answer(evhttp_request* r, void (Controller::*f)(evhttp_request*));
  void directory(evhttp_request* r);

  // The generic handler: a call and its answer are a pair of types.
  template <class Req>
  void call(evhttp_request* r, std::string const& body, std::function<ApiResponse(Req const&)> f) {
    ApiResponse c;
    try {
      c = f(json::parse_as<Req>(body));
    } catch (json::Fault const& e) {
      c = error_response(400, e.what());
    }
    context_.write(r, c);
  }

  // Calls that change something, and reads whose answer or refusal must not be old. The others
  // answer with what this node has; /-/Status says how fresh that is.
  static bool only_in_contact(std::string const& uri);

  void control(evhttp_request* r);

  void read(evhttp_request* r);

  void evacuate(evhttp_request* r, std::string const& zone, bool on);

  // Disks that may be lost at once with a majority left.
  std::size_t bears() const;

  std::string status() const;

  GossipDigest own_digest(bool with_mates) const;

  // All mates are told if they are few; of many, some near ones by turns and a far one.
  void tell_digests(Seconds now, bool many);

  // ---- loops -----------------------------------------------------------------------------
  void tick();

  static constexpr Seconds kSilentSessionSeconds = 30;
  ControllerContext context_;
  RegistryService registry_;
  DirectoryService directory_service_;
  RolloutService rollouts_;
  LeaseService leases_;
  UsageService usage_;
  QuotaService quotas_;
  SurveyService surveys_;
  DrainService drains_;
  std::unique_ptr<IdempotencyService> idempotency_;
  std::unique_ptr<MembershipService> members_;
  ConsensusService consensus_;
  Listener door_;
  evhttp *control_ = nullptr, *directory_ = nullptr;
  std::unique_ptr<PeriodicTimer> tick_;
  Seconds measured_ = 0;
  bool warned_ = false;
  bool was_in_contact_ = false;  // as those we feed were told last
  Seconds start_ = 0, slow_at_ = 0, last_tick_ = 0;
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("controller");
};

}  // namespace dockbend
