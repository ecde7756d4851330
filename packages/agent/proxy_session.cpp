#include "agent/proxy_session.hpp"

#include <utility>

#include "server_registry/update_messages.hpp"
#include "transport/periodic_timer.hpp"
#include "usage/median_clock.hpp"

namespace dockbend {
namespace {
/// A proxy that says nothing for so long does not count as ready.
Seconds constexpr kReportMemory = 2.0;
Seconds constexpr kClockInterval = 1.0;
}  // namespace

void ProxySession::accept(ConnectionPtr connection) {
  if (connection_) connection_->close();
  connection_ = std::move(connection);
  connection_->on_message.connect([this](Connection& from, Message const& message) { on_message.emit(from, message); });
  connection_->on_down.connect([this](Connection& ended) { end(ended); });
  told_ballot_.reset();
  owes_all_servers_ = true;
  report_.drain = ProxyDrainStatus();
  told_proxy_counts_.clear();
  clock_sent_at_ = 0;
}

void ProxySession::end(Connection& connection) {
  if (connection_.get() != &connection) return;
  report_.ready = false;
  // Released from the loop: the signal still runs in a function of the connection.
  after(context_.loop, 0, [this, ended = connection_] {
    if (connection_ == ended) connection_.reset();
  });
  on_ended.emit();
}

bool ProxySession::take_report(ProxyLoadReport const& report) {
  bool const was_ready = report_.ready;
  report_ = report;
  return was_ready != report_.ready;
}

bool ProxySession::is_ready(Seconds now) const {
  return report_.ready && now - heard_at_ < kReportMemory;
}

void ProxySession::send_state(StateDelta const* difference) {
  if (!connection_ || !context_.state) return;
  StateUpdate update;
  if (difference != nullptr && told_ballot_ == difference->base)
    update.delta = codec::pack(*difference);
  else
    update.state = codec::pack(*context_.state);
  told_ballot_ = context_.state->ballot;
  connection_->send(MessageType::state_update, 0, update);
}

void ProxySession::send_servers(Seconds now) {
  if (!connection_ || (changed_servers_.empty() && !owes_all_servers_)) return;
  StateUpdate update;
  update.rows_full = owes_all_servers_;
  if (owes_all_servers_) {
    for (ServerRecord& record : context_.servers.records(now))
      if (record.state != ServerState::gone) update.rows.push_back(std::move(record));
  } else {
    for (std::string const& id : changed_servers_)
      if (auto record = context_.servers.find(id, now)) update.rows.push_back(std::move(*record));
  }
  changed_servers_.clear();
  owes_all_servers_ = false;
  connection_->send(MessageType::state_update, 0, update);
}

void ProxySession::send_clock(Seconds now) {
  if (!connection_ || now - clock_sent_at_ < kClockInterval) return;
  clock_sent_at_ = now;
  ClockReading reading;
  reading.wall = context_.clock.wall_time_at(steady_now());
  connection_->send(MessageType::clock_reading, 0, reading);
}

void ProxySession::send_proxy_counts(std::map<std::string, u32> const& proxies_by_zone) {
  if (proxies_by_zone.empty() || proxies_by_zone == told_proxy_counts_ || !connection_) return;
  told_proxy_counts_ = proxies_by_zone;
  StateUpdate update;
  for (auto const& [zone, count] : proxies_by_zone) {
    ZoneProxyCount& entry = update.sites.emplace_back();
    entry.zone = zone;
    entry.n = count;
  }
  connection_->send(MessageType::state_update, 0, update);
}

void ProxySession::set_drain_instruction(DrainInstruction const& instruction) {
  drain_instruction_ = instruction;
  send(MessageType::drain_instruction, 0, instruction);
}

}  // namespace dockbend
