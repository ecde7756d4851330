/// One TCP connection that carries framed messages (wire/frame.hpp).
#pragma once
#include <event2/bufferevent.h>
#include <sigc++/sigc++.h>

#include <memory>
#include <string_view>

#include "settings/settings.hpp"
#include "transport/event_owners.hpp"
#include "transport/message.hpp"

namespace dockbend {

/// Owns one socket. Belongs to the event loop's thread. Keeps itself alive during its own callbacks, so a slot may drop
/// the last pointer to it. A message that can't be read ends it; so does whatever a slot of on_message throws.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  sigc::signal<void(Connection&, Message const&)> on_message;  // all but pings
  sigc::signal<void(Connection&)> on_down;                     // ended, but not by close()
  sigc::signal<void(Connection&)> on_up;                       // dialled and connected

  /// Begins to connect. The connection is not open() if that failed at once.
  static std::shared_ptr<Connection> dial(event_base* loop, Address const& to);
  /// Takes over an accepted socket.
  static std::shared_ptr<Connection> take(event_base* loop, evutil_socket_t socket);
  ~Connection();
  Connection(Connection const&) = delete;
  Connection& operator=(Connection const&) = delete;

  /// Sends a message, deflated if it is large and leaves the machine. Without effect unless up().
  void send(MessageType type, u32 tag, std::string_view body);
  /// Sends what was encoded before; a large body is shared, not copied.
  void send(EncodedMessage const& message, u32 tag = 0);
  template <codec::Record T>
  void send(MessageType type, u32 tag, T const& record) {
    send(type, tag, std::string_view(codec::pack(record)));
  }

  /// Ends the connection without a signal.
  void close();
  /// Ends the connection and emits on_down.
  void end();

  bool up() const { return up_; }                // connected
  bool open() const { return bev_ != nullptr; }  // connecting or connected
  Seconds heard() const { return heard_at_; }    // when bytes last came, or it was made
  Seconds sent() const { return sent_at_; }      // when a message was last sent, or it was made
  u64 id() const { return id_; }                 // no second one of this process has it

 private:
  struct Input;
  Connection() = default;
  void attach(event_base* loop, evutil_socket_t socket);
  void write_copy(MessageType type, u32 tag, std::string_view body);
  void write_header(MessageType type, u32 tag, std::size_t body_bytes);
  void read_available();
  void keep_slow_sender_alive();
  void log_unreadable(std::string const& why);
  static void read_callback(bufferevent*, void* self);
  static void event_callback(bufferevent*, short events, void* self);

  BufferedSocketOwner bev_;
  bool up_ = false;
  bool is_loopback_ = false;  // the peer is on this machine, where bytes cost nothing
  Seconds heard_at_ = 0, sent_at_ = 0;
  u64 id_ = 0;
};
using ConnectionPtr = std::shared_ptr<Connection>;

}  // namespace dockbend
