#include "proxy/proxy.hpp"

namespace dockbend {
namespace {
Seconds constexpr kTickInterval = 0.1;
Seconds constexpr kLoadReportInterval = 0.5;
}  // namespace

Proxy::Proxy(event_base* loop, Settings const& settings)
    : context_(loop, settings),
      front_address_(context_.bind_address("front").str()),
      driver_(context_, front_address_),
      routing_(context_),
      intake_(context_, driver_, routing_, driver_.quota(), driver_.writer()),
      front_(loop, context_.bind_address("front"), context_.configuration.limits(), intake_),
      readiness_(context_, context_.bind_address("ready")),
      load_(context_, front_, front_address_),
      state_(context_, front_, routing_, driver_.quota(), driver_.usage()),
      shutdown_(context_, front_, load_, driver_.usage()),
      agent_(context_, driver_, state_, load_, shutdown_, front_address_),
      activity_log_(context_),
      tick_timer_(std::make_unique<PeriodicTimer>(loop, kTickInterval, [this] { tick(); })),
      load_timer_(std::make_unique<PeriodicTimer>(loop, kLoadReportInterval, [this] { load_.report(); })) {
  front_.on_connection_ended().connect(
      [this](evhttp_connection const* connection) { context_.response_flushes.forget(connection); });
  context_.response_flushes.on_answered.connect(
      [this](evhttp_connection const* connection) { front_.request_answered(connection); });
}

void Proxy::tick() {
  Seconds const now = steady_now();
  front_.tick();
  agent_.tick(now);
  driver_.usage().tick(now);
  driver_.find_hidden_disconnects();
  driver_.quota().request_lease(now);
  context_.connections.retire_expired(now);
  activity_log_.tick(now);
  shutdown_.tick(now);
}

}  // namespace dockbend
