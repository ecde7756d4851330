#include "controller/rollout_service.hpp"

#include "controller/api_calls.hpp"

#include <algorithm>
#include <cmath>

#include "controller/call_parameters.hpp"

namespace dockbend {

namespace {

/// Large changes take their time on narrow links: staged again too soon, they would only fill them.
double constexpr kResendBytesPerSecond = 200e3;
double constexpr kStageBytesPerSecond = 400e3;
/// Proxies keep a staged change for this long after the rollout's own deadline.
Seconds constexpr kStagedMargin = 1.0;
/// A proxy that is connected here counts as in touch until two of its heartbeats in a row are missing.
Seconds constexpr kMaxSilenceHere = 1.3;
/// What another controller tells of its proxies is older by its way here.
Seconds constexpr kMaxSilenceElsewhere = 1.6;
/// An ended rollout is shown for this long.
Seconds constexpr kEndedShownFor = 600;
std::size_t constexpr kMaxLedElsewhere = 64;
Seconds constexpr kForwardedRequestLifetime = 60;
/// The first letter of the item keys of routes.
char constexpr kRouteKeyPrefix = 'r';

RolloutOptions options_for(RolloutOptions options, ConfigChange const& change) {
  double bytes = 0;
  for (ConfigItem const& item : change.items)
    bytes += static_cast<double>(item.body.size() + item.key.size());
  options.resendS += bytes / kResendBytesPerSecond;
  options.stageS += bytes / kStageBytesPerSecond;
  return options;
}

/// The last part of the path of a command's call, without the id.
char const* call_of(RolloutCommand command) {
  switch (command) {
    case RolloutCommand::pause: return "Pause/";
    case RolloutCommand::resume: return "Resume/";
    case RolloutCommand::abort: break;
  }
  return "Abort/";
}

StageRequest stage_request_for(Rollout const& rollout, std::vector<ConfigItem> const& items, Seconds now) {
  StageRequest request;
  request.id = rollout.id();
  request.for_ms = static_cast<u32>((rollout.falls_back_at() - now + kStagedMargin) * 1000);
  request.items = items;
  return request;
}

StageRequest drop_request_for(Rollout const& rollout) {
  StageRequest request;
  request.id = rollout.id();
  request.drop = true;
  return request;
}

double rounded_to_ms(Seconds duration) {
  return std::round(duration * 1000) / 1000;
}

void write_rollout(JsonWriter& json, u64 id, RolloutStatusNotice const& notice) {
  write_object(json, [&] {
    write_member(json, "id", std::to_string(id));
    write_member(json, "state", phase_name(notice.phase));
    write_member(json, "stage", std::to_string(notice.stage) + "/" + std::to_string(notice.stages));
    write_member(json, "holding", notice.holding);
    write_member(json, "enough", notice.wanted);
    write_member(json, "ledBy", notice.at);
    write_member(json, "ageS", rounded_to_ms(notice.age));
    write_array(json, "items", [&] {
      for (std::string const& item : notice.items)
        json.String(item.c_str());
    });
  });
}

}  // namespace

RolloutService::RolloutService(ControllerContext& context, DirectoryService& directory_service)
    : context_(context), directory_service_(directory_service) {}

// Beginning

void RolloutService::amend_configuration(evhttp_request* http_request, std::string const& body) {
  ConfigChange change;
  try {
    change = read_amend(body);
  } catch (json::Fault const& e) {
    return context_.api.write(http_request, error_response(400, e.what()));
  }
  if (context_.leaving_since > 0) return context_.api.write(http_request, error_response(503, "leaving"));
  AmendConfiguration const command(change, context_.known());
  if (!context_.settings.staged || !is_worth_staging(change)) return run_command(context_, http_request, command);
  begin(http_request, command);
}

void RolloutService::begin(evhttp_request* http_request, AmendConfiguration const& change) {
  u64 const id = (random64() >> 16) | 1;
  Seconds const now = steady_now();
  Rollout rollout(id, options_for(context_.settings.rollout, change.change()), now);
  LedRollout& led =
      led_.emplace(id, LedRollout{std::move(rollout), change, http_request, now, {}, {}, {}}).first->second;
  LOG4CPLUS_INFO(logger_, "Rollout " << id << " of " << change.change().items.size() << " items begins.");
  advance(led, now);
}

/// Only changes of routes that proxies already serve by are staged. A first configuration has no earlier
/// version to fall back to; a change that changes nothing or is faulty is decided by consensus at once.
bool RolloutService::is_worth_staging(ConfigChange const& change) const {
  if (!context_.committed || directory_service_.catalog().entries().empty()) return false;
  if (!serves_routes() || !brings_news(context_.committed->items, change)) return false;
  std::map<std::string, ConfigItem> items = context_.committed->by_key();
  std::string faulty_field;
  return join(items, change, faulty_field) == MergeResult::changed;
}

bool RolloutService::serves_routes() const {
  return std::any_of(context_.committed->items.begin(), context_.committed->items.end(),
                     [](ConfigItem const& item) { return item.key[0] == kRouteKeyPrefix && !item.gone; });
}

// Moving on

void RolloutService::tick(Seconds now) {
  for (auto& [id, led] : led_)
    if (!is_over(led.rollout.phase())) advance(led, now);
  std::erase_if(led_, [now](auto const& entry) {
    LedRollout const& led = entry.second;
    return is_over(led.rollout.phase()) && led.http_request == nullptr && now - led.started_at > kEndedShownFor;
  });
  while (led_elsewhere_.size() > kMaxLedElsewhere)
    led_elsewhere_.erase(led_elsewhere_.begin());
}

void RolloutService::advance(LedRollout& led, Seconds now) {
  end_if_overtaken(led);
  Rollout::Actions const actions = led.rollout.advance(now, zones_of_proxies_in_touch(now));
  if (!actions.stage_on.empty())
    stage_on_proxies(actions.stage_on, stage_request_for(led.rollout, led.change.change().items, now));
  if (actions.withdraw)
    stage_on_proxies({led.rollout.asked_proxies().begin(), led.rollout.asked_proxies().end()},
                     drop_request_for(led.rollout));
  if (actions.commit) commit(led);
  answer_if_ended(led);
  announce_if_changed(led, now);
}

/// Once the committed value has all of the change or newer versions of it, there is nothing left to bring out.
void RolloutService::end_if_overtaken(LedRollout& led) {
  if (!context_.committed || is_over(led.rollout.phase()) || led.rollout.phase() == RolloutPhase::committing) return;
  if (led.compared_with == context_.committed->ballot) return;
  led.compared_with = context_.committed->ballot;
  if (!brings_news(context_.committed->items, led.change.change())) led.rollout.on_overtaken();
}

void RolloutService::commit(LedRollout& led) {
  execute_command(context_.submit, led.change, context_.patience(),
                  [this, id = led.rollout.id()](CommandResult const& outcome) { on_commit_outcome(id, outcome); });
}

void RolloutService::on_commit_outcome(u64 rollout_id, CommandResult const& outcome) {
  auto const it = led_.find(rollout_id);
  if (it == led_.end()) return;
  it->second.rollout.on_commit_result(outcome.status == CommandStatus::accepted);
  answer(it->second, answer_of(outcome));
  advance(it->second, steady_now());
}

void RolloutService::answer_if_ended(LedRollout& led) {
  switch (led.rollout.phase()) {
    case RolloutPhase::fell_back: return answer(led, error_response(503, "rollout fell back: too few nodes hold it"));
    case RolloutPhase::aborted: return answer(led, error_response(503, "rollout was aborted by the operator"));
    case RolloutPhase::overtaken: return commit_unstaged(led);
    default: return;
  }
}

/// An overtaken change is submitted as it is, so that its call gets the answer that consensus gives.
void RolloutService::commit_unstaged(LedRollout& led) {
  if (led.http_request == nullptr) return;
  evhttp_request* const http_request = led.http_request;
  led.http_request = nullptr;
  execute_command(context_.submit, led.change, context_.patience(), [this, http_request](CommandResult const& outcome) {
    context_.api.write(http_request, answer_of(outcome));
  });
}

void RolloutService::answer(LedRollout& led, ApiResponse const& response) {
  if (led.http_request == nullptr) return;
  context_.api.write(led.http_request, response);
  led.http_request = nullptr;
}

// Telling other controllers

void RolloutService::announce_if_changed(LedRollout& led, Seconds now) {
  RolloutPhase const phase = led.rollout.phase();
  bool const is_new_phase = led.announced_phase != phase;
  if (!is_new_phase && led.announced_stage == led.rollout.stage()) return;
  if (is_new_phase && phase != RolloutPhase::holding && phase != RolloutPhase::committing) log_phase(led);
  led.announced_phase = phase;
  led.announced_stage = led.rollout.stage();
  RolloutStatusNotice const notice = notice_of(led, now);
  for (auto& [ip, peer] : context_.controllers)
    if (peer.link) peer.link->send(MessageType::rollout_status, 0, notice);
}

void RolloutService::log_phase(LedRollout const& led) const {
  Rollout const& rollout = led.rollout;
  LOG4CPLUS_INFO(logger_, "Rollout " << rollout.id() << " is now " << phase_name(rollout.phase()) << ", at stage "
                                     << rollout.stage() + 1 << " of " << rollout.stage_count() << "; staged on "
                                     << rollout.staged_proxies() << " proxies, " << rollout.required_proxies()
                                     << " needed.");
}

RolloutStatusNotice RolloutService::notice_of(LedRollout const& led, Seconds now) const {
  RolloutStatusNotice notice;
  notice.id = led.rollout.id();
  notice.at = context_.settings.ip;
  notice.phase = led.rollout.phase();
  notice.stage = static_cast<u32>(led.rollout.stage() + 1);
  notice.stages = static_cast<u32>(led.rollout.stage_count());
  notice.wanted = static_cast<u32>(led.rollout.required_proxies());
  notice.holding = static_cast<u32>(led.rollout.staged_proxies());
  notice.age = now - led.started_at;
  for (ConfigItem const& item : led.change.change().items)
    notice.items.push_back(item.key + "@" + json::gen_str(item.gen));
  return notice;
}

void RolloutService::on_status_notice(RolloutStatusNotice notice) {
  u64 const id = notice.id;
  led_elsewhere_[id] = std::move(notice);
}

// Calls of operators

void RolloutService::command_call(evhttp_request* http_request, std::string const& id_text, RolloutCommand command) {
  std::optional<u64> const id = parse_id(id_text);
  if (!id) return context_.api.write(http_request, error_response(400, "id: wants a number"));
  if (auto const it = led_.find(*id); it != led_.end()) return command_led(http_request, it->second, command);
  redirect_to_leader(http_request, *id, std::string("/-/Rollout.") + call_of(command) + id_text);
}

void RolloutService::command_led(evhttp_request* http_request, LedRollout& led, RolloutCommand command) {
  Seconds const now = steady_now();
  if (!led.rollout.apply_command(command, now)) {
    std::string const why = std::string("rollout is ") + phase_name(led.rollout.phase());
    return context_.api.write(http_request, error_response(409, why));
  }
  advance(led, now);
  context_.api.write(http_request, ApiResponse{200, "{}"});
}

/// Only the leader knows what became of a rollout. One that is not known here may be under way elsewhere,
/// so the answer must not be final: 503, not 404.
void RolloutService::redirect_to_leader(evhttp_request* http_request, u64 id, std::string const& path) {
  auto const it = led_elsewhere_.find(id);
  if (it == led_elsewhere_.end())
    return context_.api.write(http_request, error_response(503, "id: no such rollout is known here"));
  Member const* leader = context_.committed ? context_.committed->member(it->second.at) : nullptr;
  if (leader == nullptr || leader->ip == context_.settings.ip || !context_.peers.is_up(leader->ip))
    return context_.api.write(http_request, error_response(503, "the node that leads it is not in touch"));
  std::string const location = "http://" + Address{leader->ip, leader->control}.str() + path;
  evhttp_add_header(evhttp_request_get_output_headers(http_request), "Location", location.c_str());
  context_.api.write(http_request, ApiResponse{307, "{}"});
}

std::string RolloutService::status_json() const {
  std::map<u64, RolloutStatusNotice> notices = led_elsewhere_;
  Seconds const now = steady_now();
  for (auto const& [id, led] : led_)
    notices[id] = notice_of(led, now);
  return json_object([&](JsonWriter& json) {
    write_member(json, "staged", context_.settings.staged);
    write_array(json, "rollouts", [&] {
      for (auto const& [id, notice] : notices)
        write_rollout(json, id, notice);
    });
  });
}

// Proxies

/// Proxies that are connected here get the request from us; the others through their own controllers, so
/// that it is sent once to each.
void RolloutService::stage_on_proxies(std::vector<std::string> const& fronts, StageRequest const& request) {
  std::string const packed = codec::pack(request);
  EncodedMessage const message = encode_message(MessageType::stage_request, packed);
  std::map<std::string, StageForwardRequest> elsewhere;  // by the controller's address
  for (std::string const& front : fronts) {
    auto const it = directory_service_.catalog().entries().find(front);
    if (it == directory_service_.catalog().entries().end()) continue;
    if (it->second.channel != 0)
      send_to_session(it->second.channel, message);
    else
      elsewhere[it->second.via].sites.push_back(front);
  }
  for (auto& [ip, forward] : elsewhere) {
    auto const peer = context_.controllers.find(ip);
    if (peer == context_.controllers.end() || !peer->second.link) continue;
    forward.hold = packed;
    peer->second.link->send(MessageType::stage_forward_request, 0, forward);
  }
}

void RolloutService::on_stage_forward_request(std::string const& leader_ip, StageForwardRequest const& request) {
  StageRequest const inner = codec::unpack<StageRequest>(request.hold);
  forwarded_[inner.id] = ForwardedRequest{leader_ip, steady_now()};
  EncodedMessage const message = encode_message(MessageType::stage_request, request.hold);
  for (std::string const& front : request.sites) {
    auto const it = directory_service_.catalog().entries().find(front);
    if (it != directory_service_.catalog().entries().end()) send_to_session(it->second.channel, message);
  }
}

/// Nothing is sent if the connection has ended.
void RolloutService::send_to_session(u64 session_id, EncodedMessage const& message) {
  auto const it = context_.sessions.find(session_id);
  if (it != context_.sessions.end()) it->second.ch->send(message);
}

void RolloutService::on_stage_response(StageResponse const& response, Seconds now) {
  if (auto const it = led_.find(response.id); it != led_.end()) {
    it->second.rollout.on_stage_response(response.front, response.holds);
    if (!is_over(it->second.rollout.phase())) advance(it->second, now);
    return;
  }
  auto const forwarded = forwarded_.find(response.id);
  if (forwarded == forwarded_.end()) return;
  PeerController const& leader = context_.controller(forwarded->second.leader_ip);
  if (leader.link) leader.link->send(MessageType::stage_response, 0, response);
}

void RolloutService::on_session_ended(u64 session_id) {
  for (auto& [id, led] : led_)
    for (auto const& [front, proxy] : directory_service_.catalog().entries())
      if (proxy.channel == session_id) led.rollout.on_proxy_lost(front);
}

void RolloutService::forget_forwarded(Seconds now) {
  std::erase_if(forwarded_,
                [now](auto const& entry) { return now - entry.second.forwarded_at > kForwardedRequestLifetime; });
}

/// A frozen proxy must not use up the time that a rollout has, so it is left out.
std::map<std::string, std::string> RolloutService::zones_of_proxies_in_touch(Seconds now) const {
  std::map<std::string, std::string> zone_of;
  for (auto const& [front, proxy] : directory_service_.catalog().entries())
    if (is_in_touch(proxy, now)) zone_of[front] = proxy.zone;
  return zone_of;
}

bool RolloutService::is_in_touch(ProxyEntry const& proxy, Seconds now) const {
  if (proxy.channel != 0) return context_.sessions.count(proxy.channel) > 0 && now - proxy.heard < kMaxSilenceHere;
  return context_.peers.is_up(proxy.via) && now - proxy.heard < kMaxSilenceElsewhere;
}

}  // namespace dockbend
