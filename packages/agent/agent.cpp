#include "agent/agent.hpp"

#include <log4cplus/loggingmacros.h>

#include <utility>

#include "transport/counters.hpp"

namespace dockbend {
namespace {
Seconds constexpr kTickInterval = 0.08;
/// Between two ticks lies more than this only if the process stood still: the directories may have dropped the proxy.
Seconds constexpr kStandstill = 1.0;
/// Shorter than Sinfonia's 5 s and three misses: a proxy's machine may fail at any moment, and a client list that still
/// names it costs its zone all requests.
Seconds constexpr kHeartbeatInterval = 0.6;
Seconds constexpr kUsageInterval = 0.5;
Seconds constexpr kLogInterval = 10;
Seconds constexpr kGoneServerMemory = 90;
/// The process ends so long before the grace period does; without a proxy so long after the SIGTERM.
Seconds constexpr kEndMargin = 0.2, kEndWithoutProxy = 0.5;
}  // namespace

Agent::Agent(event_base* loop, Settings const& settings)
    : context_(loop, settings),
      proxy_(context_),
      controllers_(context_, proxy_),
      claims_(context_, controllers_, proxy_),
      controller_messages_(context_, controllers_, proxy_, claims_),
      proxy_requests_(context_, controllers_, proxy_, claims_),
      listener_(loop, Address{"127.0.0.1", settings.agent()}) {
  connect_signals();
  for (Address const& seed : context_.settings.seeds)
    controllers_.open(seed.ip);
  start_relay();
  tick_timer_ = std::make_unique<PeriodicTimer>(loop, kTickInterval, [this] { tick(); });
}

void Agent::connect_signals() {
  listener_.on_channel.connect([this](ConnectionPtr connection) { accept_proxy(std::move(connection)); });
  proxy_.on_message.connect(
      [this](Connection& connection, Message const& message) { proxy_requests_.on_message(connection, message); });
  proxy_.on_ended.connect([this] {
    context_.claims.set_proxy_connection(0);
    claims_.send_all();
    controllers_.send_heartbeats();
  });
  controllers_.on_message.connect(
      [this](ControllerLink& from, Message const& message) { controller_messages_.on_message(from, message); });
  controllers_.on_up.connect([this](ControllerLink& controller) {
    context_.claims.on_disk_connected(controller.ip, controller.link->connection(), controller.link->relayed());
    claims_.send_all();
  });
  controllers_.on_down.connect([this](ControllerLink& controller) {
    context_.claims.on_disk_disconnected(controller.ip);
    claims_.send_all();
  });
  controllers_.on_primary_changed.connect([this] { owes_all_usage_ = true; });
}

void Agent::start_relay() {
  Settings const& settings = context_.settings;
  if (settings.relay() == 0) return;
  try {
    relay_ = std::make_unique<Relay>(context_.loop, Address{settings.ip, settings.relay()}, settings.innerFirst,
                                     [this](std::string const& ip) { return controllers_.find(ip) != nullptr; });
  } catch (std::exception const& error) {
    LOG4CPLUS_WARN(logger_, "Relays for nobody: " << error.what() << ".");
  }
}

void Agent::settings(Settings const& changed) {
  context_.settings.seeds = changed.seeds;
  context_.settings.bounds = changed.bounds;
  for (Address const& seed : context_.settings.seeds)
    controllers_.open(seed.ip);
}

void Agent::term() {
  if (is_shutting_down_) return;
  is_shutting_down_ = true;
  shutdown_started_at_ = steady_now();
  controllers_.begin_shutdown();
  controllers_.send_heartbeats();
}

void Agent::accept_proxy(ConnectionPtr connection) {
  u64 const id = connection->id();
  proxy_.accept(std::move(connection));
  context_.claims.set_proxy_connection(id);
  claims_.send_all();
  proxy_.send_state(nullptr);
  DrainInstruction const& instruction = proxy_.drain_instruction();
  if (instruction.stage > 0) proxy_.send(MessageType::drain_instruction, 0, instruction);
  proxy_.send_proxy_counts(controllers_.proxies_by_zone());
}

void Agent::tick() {
  Seconds const now = steady_now();
  if (now - ticked_at_ > kStandstill && ticked_at_ > 0) controllers_.send_heartbeats();
  ticked_at_ = now;
  context_.clock.on_own_reading(now, wall_clock_now());
  controllers_.tick(now);
  if (relay_) relay_->tick(now);
  proxy_.send_servers(now);
  proxy_.send_clock(now);
  send_usage(now);
  context_.claims.tick(now);
  claims_.send_all();
  log_activity(now);
  if (now - heartbeats_sent_at_ > kHeartbeatInterval) tick_heartbeat(now);
  controllers_.update_subscriptions();
  if (may_end(now)) event_base_loopbreak(context_.loop);
}

void Agent::tick_heartbeat(Seconds now) {
  heartbeats_sent_at_ = now;
  controllers_.send_heartbeats();
  context_.stage_replies.expire(now);
  context_.survey_replies.expire(now);
  controllers_.probe_contacts();
  context_.servers.forget_gone(kGoneServerMemory, now);
}

void Agent::send_usage(Seconds now) {
  ControllerLink* const primary = controllers_.primary();
  if (now - usage_sent_at_ < kUsageInterval || primary == nullptr) return;
  usage_sent_at_ = now;
  UsageUpdate const update = context_.usage.take_update(owes_all_usage_ ? UsageRows::all : UsageRows::changed);
  owes_all_usage_ = false;
  if (!update.rows.empty()) primary->link->send(MessageType::usage_update, 0, update);
}

void Agent::log_activity(Seconds now) {
  if (now - logged_at_ <= kLogInterval) return;
  logged_at_ = now;
  log_rejected_input();
  if (std::string const counts = sent_by_kind(); !counts.empty())
    LOG4CPLUS_INFO(logger_, "Sent by kind, letters/bytes: " << counts << ".");
  if (std::string const counts = context_.claims.unmatched().news(); !counts.empty())
    LOG4CPLUS_INFO(logger_, "Dropped, for no open question fits: " << counts << ".");
}

bool Agent::may_end(Seconds now) const {
  if (!is_shutting_down_) return false;
  Seconds const since = now - shutdown_started_at_;
  return (!proxy_.is_connected() && since > kEndWithoutProxy) ||
         since > context_.settings.bounds.gracePeriodS - kEndMargin;
}

}  // namespace dockbend
