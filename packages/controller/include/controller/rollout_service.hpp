/// Configuration changes of operators: checked, staged on the proxies step by step, then committed.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "controller/directory_service.hpp"
#include "controller/json_writer.hpp"
#include "rollout/rollout.hpp"
#include "rollout/rollout_messages.hpp"

namespace dockbend {

/// Leads the rollouts that operators begin at this controller, passes those of other controllers on to the
/// proxies connected here, and shows the state of all. A rollout lives only in the memory of the controller
/// that leads it: if that one ends, the staged changes expire on the proxies and nothing was changed.
/// Runs on the event loop; refers to its context and to the directory, and owns neither.
class RolloutService {
 public:
  RolloutService(ControllerContext& context, DirectoryService& directory_service);

  /// `/-/Config.Amend`: answered once the change is committed, or its rollout ended without.
  void amend_configuration(evhttp_request* http_request, std::string const& body);
  /// `/-/Rollout.Pause`, `.Resume` and `.Abort`. `id_text` is the decimal id; a rollout that another
  /// controller leads is answered with a redirect there.
  void command_call(evhttp_request* http_request, std::string const& id_text, RolloutCommand command);
  /// The answer of `/-/Rollout.Status`: rollouts led here and those that other controllers told of.
  std::string status_json() const;

  /// The controller at `leader_ip` asks to stage a change on proxies that are connected here.
  /// Throws codec::MalformedMessage if the inner request can't be read.
  void on_stage_forward_request(std::string const& leader_ip, StageForwardRequest const& request);
  /// A proxy's answer; passed on to the leader if that is another controller.
  void on_stage_response(StageResponse const& response, Seconds now);
  void on_status_notice(RolloutStatusNotice notice);
  /// A proxy's connection ended, and its agent with it perhaps: it may have lost what it staged.
  void on_session_ended(u64 session_id);

  /// Moves each rollout on by the time that has passed.
  void tick(Seconds now);
  /// Drops what is remembered of forwarded requests that are long over.
  void forget_forwarded(Seconds now);

 private:
  /// A rollout that this controller leads.
  struct LedRollout {
    Rollout rollout;
    AmendConfiguration change;
    evhttp_request* http_request = nullptr;  ///< the operator's call; null once it is answered
    Seconds started_at = 0;
    std::optional<RolloutPhase> announced_phase;  ///< as other controllers were last told
    std::optional<std::size_t> announced_stage;
    Ballot compared_with;  ///< ballot of the committed value that the change was last compared with
  };
  /// A stage request that another controller had us pass on.
  struct ForwardedRequest {
    std::string leader_ip;
    Seconds forwarded_at = 0;
  };

  void begin(evhttp_request* http_request, AmendConfiguration const& change);
  bool is_worth_staging(ConfigChange const& change) const;
  bool serves_routes() const;

  void advance(LedRollout& led, Seconds now);
  void end_if_overtaken(LedRollout& led);
  void commit(LedRollout& led);
  void on_commit_outcome(u64 rollout_id, CommandResult const& outcome);
  void answer_if_ended(LedRollout& led);
  void commit_unstaged(LedRollout& led);
  void answer(LedRollout& led, ApiResponse const& response);

  void announce_if_changed(LedRollout& led, Seconds now);
  void log_phase(LedRollout const& led) const;
  RolloutStatusNotice notice_of(LedRollout const& led, Seconds now) const;

  void command_led(evhttp_request* http_request, LedRollout& led, RolloutCommand command);
  void redirect_to_leader(evhttp_request* http_request, u64 id, std::string const& path);

  void stage_on_proxies(std::vector<std::string> const& fronts, StageRequest const& request);
  void send_to_session(u64 session_id, EncodedMessage const& message);
  std::map<std::string, std::string> zones_of_proxies_in_touch(Seconds now) const;
  bool is_in_touch(ProxyEntry const& proxy, Seconds now) const;

  ControllerContext& context_;
  DirectoryService& directory_service_;
  std::map<u64, LedRollout> led_;                     ///< by rollout id; ended ones for a while
  std::map<u64, RolloutStatusNotice> led_elsewhere_;  ///< by rollout id, as their leaders last told
  std::map<u64, ForwardedRequest> forwarded_;         ///< by rollout id
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("controller");
};

}  // namespace dockbend
