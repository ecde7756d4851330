#include "transport/connection.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>

#include "logging/log.hpp"
#include "transport/counters.hpp"
#include "transport/socket_options.hpp"
#include "wire/frame.hpp"

namespace dockbend {
namespace {
constexpr int kUnacknowledgedMs = 2000;
constexpr std::size_t kShareFromBytes = 4096;  // shorter bodies are copied
constexpr Seconds kSlowSenderSilence = 0.5;
constexpr Seconds kLogInterval = 1.0;
constexpr u32 kLoopbackNetwork = 127;
constexpr u32 kPingRequestTag = 0;
constexpr u32 kPingAnswerTag = 1;

u64 next_id = 1;
}  // namespace

/// A frame::Source: what the socket has brought.
struct Connection::Input {
  Connection& connection;
  evbuffer* buffer;

  bool open() const { return connection.open(); }
  std::size_t size() const { return evbuffer_get_length(buffer); }
  void peek(u8* header) const { evbuffer_copyout(buffer, header, frame::kHeaderLength); }
  void take(std::string& body) const {
    evbuffer_drain(buffer, frame::kHeaderLength);
    if (!body.empty()) evbuffer_remove(buffer, body.data(), body.size());
  }
};

ConnectionPtr Connection::dial(event_base* loop, Address const& to) {
  ConnectionPtr connection(new Connection);
  connection->attach(loop, -1);
  sockaddr_in address = socket_address(to);
  bufferevent* const bev = connection->bev_.get();
  if (bufferevent_socket_connect(bev, reinterpret_cast<sockaddr*>(&address), sizeof address) < 0) {
    connection->close();
    return connection;
  }
  tune_socket(bufferevent_getfd(bev), kUnacknowledgedMs);
  connection->is_loopback_ = to.ip.rfind("127.", 0) == 0;
  return connection;
}

ConnectionPtr Connection::take(event_base* loop, evutil_socket_t socket) {
  ConnectionPtr connection(new Connection);
  tune_socket(socket, kUnacknowledgedMs);
  connection->attach(loop, socket);
  auto const peer = peer_address(socket);
  connection->is_loopback_ = peer && (ntohl(peer->sin_addr.s_addr) >> 24) == kLoopbackNetwork;
  connection->up_ = true;
  return connection;
}

void Connection::attach(event_base* loop, evutil_socket_t socket) {
  id_ = next_id++;
  bev_.reset(bufferevent_socket_new(loop, socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  bufferevent_setcb(bev_.get(), read_callback, nullptr, event_callback, this);
  bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
  heard_at_ = sent_at_ = steady_now();
}

Connection::~Connection() {
  close();
}

void Connection::close() {
  bev_.reset();
  up_ = false;
}

void Connection::end() {
  ConnectionPtr const self = shared_from_this();
  close();
  on_down.emit(*this);
}

void Connection::send(MessageType type, u32 tag, std::string_view body) {
  if (!up_) return;
  if (is_loopback_ || body.size() < kDeflateFromBytes)
    write_copy(type, tag, body);
  else
    send(encode_message(type, std::string(body)), tag);
}

void Connection::send(EncodedMessage const& message, u32 tag) {
  if (!up_) return;
  std::string const& body = message.body();
  if (body.size() < kShareFromBytes) return write_copy(message.kind, tag, body);
  write_header(message.kind, tag, body.size());
  using Bytes = std::shared_ptr<std::string const>;
  auto reference = std::make_unique<Bytes>(message.bytes);  // libevent gives it back once the bytes are written
  auto const give_back = [](void const*, std::size_t, void* given) {
    std::unique_ptr<Bytes> const taken(static_cast<Bytes*>(given));
  };
  if (evbuffer_add_reference(bufferevent_get_output(bev_.get()), body.data(), body.size(), give_back,
                             reference.get()) == 0)
    static_cast<void>(reference.release());
}

void Connection::write_header(MessageType type, u32 tag, std::size_t body_bytes) {
  if (!is_loopback_) count_sent(type, frame::kHeaderLength + body_bytes);
  u8 header[frame::kHeaderLength];
  frame::write_head(header, frame::Header{static_cast<u32>(body_bytes), static_cast<u8>(type), tag});
  evbuffer_add(bufferevent_get_output(bev_.get()), header, frame::kHeaderLength);
  sent_at_ = steady_now();
}

void Connection::write_copy(MessageType type, u32 tag, std::string_view body) {
  evbuffer* const output = bufferevent_get_output(bev_.get());
  evbuffer_expand(output, frame::kHeaderLength + body.size());  // one piece, one packet
  write_header(type, tag, body.size());
  evbuffer_add(output, body.data(), body.size());
}

void Connection::read_callback(bufferevent*, void* self) {
  ConnectionPtr const connection = static_cast<Connection*>(self)->shared_from_this();
  connection->read_available();
}

void Connection::read_available() {
  heard_at_ = steady_now();
  auto const fault = frame::each(Input{*this, bufferevent_get_input(bev_.get())},
                                 [this](frame::Header const& header, std::string const& body) {
                                   auto const type = static_cast<MessageType>(header.kind);
                                   if (type != MessageType::ping)
                                     on_message.emit(*this, Message{type, header.tag, body});
                                   else if (header.tag == kPingRequestTag)
                                     send(MessageType::ping, kPingAnswerTag, std::string_view());
                                 });
  if (!fault) return keep_slow_sender_alive();
  log_unreadable(*fault);
  if (open()) end();
}

// A long message on a slow connection: its sender's pings wait behind it and would get no answer in time.
void Connection::keep_slow_sender_alive() {
  if (!open() || evbuffer_get_length(bufferevent_get_input(bev_.get())) == 0) return;
  if (heard_at_ - sent_at_ > kSlowSenderSilence) send(MessageType::ping, kPingAnswerTag, std::string_view());
}

// Counted always, logged at most once in kLogInterval.
void Connection::log_unreadable(std::string const& why) {
  DB_LOG("transport");
  static Seconds logged_at = -1e9;
  ++rejected_input().channels;
  Seconds const now = steady_now();
  if (now - logged_at < kLogInterval) return;
  logged_at = now;
  char from[INET_ADDRSTRLEN] = "unknown";
  if (open())
    if (auto const peer = peer_address(bufferevent_getfd(bev_.get())))
      inet_ntop(AF_INET, &peer->sin_addr, from, sizeof from);
  LOG4CPLUS_WARN(logger, "Ended a channel with " << from << ": " << why << ". " << rejected_input().channels
                                                    << " such so far.");
}

void Connection::event_callback(bufferevent*, short events, void* self) {
  ConnectionPtr const connection = static_cast<Connection*>(self)->shared_from_this();
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    connection->up_ = true;
    connection->heard_at_ = steady_now();
    tune_socket(bufferevent_getfd(connection->bev_.get()), kUnacknowledgedMs);
    connection->on_up.emit(*connection);
  } else if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
    connection->end();
  }
}

}  // namespace dockbend
