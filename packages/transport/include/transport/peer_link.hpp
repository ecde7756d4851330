/// A connection to one peer that is dialled again whenever it ends.
#pragma once
#include <sigc++/sigc++.h>

#include <functional>
#include <vector>

#include "transport/connection.hpp"
#include "transport/dial_strategy.hpp"

namespace dockbend {

/// Keeps one peer dialled. Our own silence is broken by pings; a peer that is silent for too long loses the connection.
/// Where the peer can't be reached directly and there are relays, it is reached through one of them, and directly again
/// once that works. Belongs to the event loop's thread. Invariant: up only while messages get through to the peer
/// itself, as far as is known.
class PeerLink {
 public:
  sigc::signal<void(PeerLink&)> on_up;
  sigc::signal<void(PeerLink&)> on_down;
  sigc::signal<void(PeerLink&, Message const&)> on_message;

  /// Dials nothing before the first tick().
  /// @param ping_interval after this long without a message of ours a ping is sent, in seconds
  /// @param silence_bound after this long without bytes of the peer the connection ends, in seconds
  PeerLink(event_base* loop, Address const& to, Seconds ping_interval, Seconds silence_bound);
  ~PeerLink();
  PeerLink(PeerLink const&) = delete;
  PeerLink& operator=(PeerLink const&) = delete;

  /// Dials, pings and ends as the time demands; to be called several times a second.
  void tick(Seconds now);

  /// Gives the relays that may be used; asked anew at each dial.
  void relays(std::function<std::vector<Address>()> addresses) { relays_ = std::move(addresses); }
  /// Changes what the constructor was given.
  void pace(Seconds ping_interval, Seconds silence_bound);

  bool up() const { return connection_ && connection_->up() && !awaits_relay_; }
  bool relayed() const { return up() && is_relayed_; }
  /// Null unless up().
  Connection* ch() { return up() ? connection_.get() : nullptr; }
  /// The id of the current connection, 0 if there is none.
  u64 connection() const { return connection_ ? connection_->id() : 0; }
  Address const& to() const { return to_; }
  /// When bytes last came; 0 unless up().
  Seconds heard() const { return up() ? connection_->heard() : 0; }

  /// Sends to the peer; without effect unless up().
  template <codec::Record T>
  void send(MessageType type, u32 tag, T const& record) {
    if (up()) connection_->send(type, tag, record);
  }
  void send(EncodedMessage const& message, u32 tag = 0) {
    if (up()) connection_->send(message, tag);
  }

 private:
  void dial();
  void connect_slots();
  void on_connection_up(Connection& connection);
  void on_connection_down();
  void on_connection_message(Message const& message);
  void tick_down(Seconds now);
  void tick_up(Seconds now);
  void probe_direct(Seconds now);
  void replace_by(ConnectionPtr const& probe);
  void reset_backoff();

  event_base* loop_;
  Address to_;
  Seconds ping_interval_, silence_bound_;
  ConnectionPtr connection_;
  ConnectionPtr probe_;  // tries the direct way while a relay serves
  std::function<std::vector<Address>()> relays_;
  bool is_relayed_ = false;
  bool awaits_relay_ = false;  // connected to the relay, which has not answered yet
  DialStrategy strategy_;
  Seconds probed_at_ = 0, dialled_at_ = 0, next_dial_at_ = 0;
  Seconds backoff_;       // mean wait before the next dial
  Seconds dial_timeout_;  // after this a dial that is not up is given up
};

}  // namespace dockbend
