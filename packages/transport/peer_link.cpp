#include "transport/peer_link.hpp"

#include <algorithm>

#include "transport/periodic_timer.hpp"
#include "transport/relay.hpp"

namespace dockbend {
namespace {
constexpr Seconds kFirstBackoff = 0.1;
constexpr Seconds kLongestBackoff = 0.3;
constexpr Seconds kFirstDialTimeout = 0.4;
constexpr Seconds kLongestDialTimeout = 2.0;
constexpr double kGrowth = 1.5;  // of back-off and dial time-out, for each failure
constexpr Seconds kProbeInterval = 2.0;
}  // namespace

PeerLink::PeerLink(event_base* loop, Address const& to, Seconds ping_interval, Seconds silence_bound)
    : loop_(loop),
      to_(to),
      ping_interval_(ping_interval),
      silence_bound_(silence_bound),
      backoff_(kFirstBackoff),
      dial_timeout_(kFirstDialTimeout) {}

PeerLink::~PeerLink() {
  if (connection_) connection_->close();
  if (probe_) probe_->close();
}

void PeerLink::pace(Seconds ping_interval, Seconds silence_bound) {
  ping_interval_ = ping_interval;
  silence_bound_ = silence_bound;
}

void PeerLink::reset_backoff() {
  backoff_ = kFirstBackoff;
  dial_timeout_ = kFirstDialTimeout;
}

void PeerLink::dial() {
  if (connection_) connection_->close();
  std::vector<Address> const relays = relays_ ? relays_() : std::vector<Address>();
  std::optional<std::size_t> const relay = strategy_.next(relays.size());
  is_relayed_ = awaits_relay_ = relay.has_value();
  connection_ = Connection::dial(loop_, relay ? relays[*relay] : to_);
  dialled_at_ = steady_now();
  connect_slots();
}

void PeerLink::connect_slots() {
  connection_->on_up.connect([this](Connection& connection) { on_connection_up(connection); });
  connection_->on_down.connect([this](Connection&) { on_connection_down(); });
  connection_->on_message.connect([this](Connection&, Message const& message) { on_connection_message(message); });
}

void PeerLink::on_connection_up(Connection& connection) {
  if (is_relayed_) {
    RelayRequest request;
    request.ip = to_.ip;
    connection.send(MessageType::relay_request, 0, request);
    return;
  }
  reset_backoff();
  strategy_.direct();
  on_up.emit(*this);
}

void PeerLink::on_connection_down() {
  strategy_.failed();
  next_dial_at_ = steady_now() + backoff_ * (0.5 + random01());
  backoff_ = std::min(backoff_ * kGrowth, kLongestBackoff);
  on_down.emit(*this);
}

void PeerLink::on_connection_message(Message const& message) {
  if (!awaits_relay_) {
    on_message.emit(*this, message);
    return;
  }
  if (message.kind != MessageType::relay_response) return;
  awaits_relay_ = false;
  reset_backoff();
  probed_at_ = steady_now();
  on_up.emit(*this);
}

void PeerLink::tick(Seconds now) {
  if (up())
    tick_up(now);
  else
    tick_down(now);
}

void PeerLink::tick_down(Seconds now) {
  if (!connection_ || !connection_->open()) {
    if (now >= next_dial_at_) dial();
  } else if (now - dialled_at_ > dial_timeout_) {
    strategy_.failed();
    dial_timeout_ = std::min(dial_timeout_ * kGrowth, kLongestDialTimeout);  // a distant peer may need longer
    dial();
  }
}

void PeerLink::tick_up(Seconds now) {
  if (is_relayed_ && now - probed_at_ > kProbeInterval) probe_direct(now);
  if (now - connection_->heard() > silence_bound_) {
    connection_->close();
    strategy_.failed();
    next_dial_at_ = now;
    on_down.emit(*this);
  } else if (now - connection_->sent() > ping_interval_) {
    connection_->send(MessageType::ping, 0, std::string_view());
  }
}

void PeerLink::probe_direct(Seconds now) {
  probed_at_ = now;
  if (probe_) probe_->close();
  probe_ = Connection::dial(loop_, to_);
  // From the loop, not from the probe's own callback, in which its slots could not be replaced.
  probe_->on_up.connect([this](Connection&) { after(loop_, 0, [this, probe = probe_] { replace_by(probe); }); });
}

void PeerLink::replace_by(ConnectionPtr const& probe) {
  if (!probe || probe != probe_ || !probe->up() || !is_relayed_) return;
  probe_.reset();
  on_down.emit(*this);
  connection_->close();
  connection_ = probe;
  connection_->on_up.clear();
  is_relayed_ = awaits_relay_ = false;
  strategy_.direct();
  connect_slots();
  on_up.emit(*this);
}

}  // namespace dockbend
