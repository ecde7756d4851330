// Framed messages between our own processes over TCP: 4 bytes length, 1 byte
// kind, 4 bytes tag, then a nanopb body. A Channel owns one socket; a Link keeps
// dialling one mate.
#pragma once
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <sigc++/sigc++.h>

#include <memory>
#include <optional>
#include <unordered_map>

#include "settings/settings.hpp"
#include "transport/event_owners.hpp"
#include "wire/codec.hpp"

namespace dockbend {

// The kinds of letters. Values are wire format: never reused.
enum class MessageType : u8 {
  ping = 1,
  handshake_request = 2,
  handshake_response = 3,
  proxy_heartbeat = 4,
  proxy_heartbeat_response = 5,
  subscribe = 6,
  state_update = 7,
  prepare_request = 10,
  prepare_response = 11,
  accept_request = 12,
  accept_response = 13,
  commit_notice = 14,
  catch_up_request = 15,
  catch_up_response = 16,
  state_chunk = 17,
  claim_request = 20,
  claim_response = 21,
  release_request = 22,
  store_answer = 23,
  fetch_answer_request = 24,
  fetch_answer_response = 25,
  key_copy_request = 26,
  key_copy_response = 27,
  server_records = 30,
  digest = 31,
  digest_response = 32,
  acquire_key_request = 40,
  acquire_key_response = 41,
  key_outcome = 42,
  proxy_load = 43,
  leaving = 44,
  stage_request = 50,
  stage_response = 51,
  rollout_status = 52,
  stage_forward_request = 54,
  proxy_records = 60,
  clock_reading = 61,
  usage_update = 62,
  quota_lease_request = 63,
  quota_lease_response = 64,
  hand_over_command = 65,
  survey_request = 66,
  survey_response = 67,
  drain_instruction = 68,
  relay_request = 70,
  relay_response = 71,
  proxy_records_request = 72,
  join_request = 73,
  contact_probe = 80,
  contact_probe_response = 81,
  deflated = 255,
};

// A letter's body made ready once, for many receivers; large ones are deflated. The bytes
// are shared by all channels that they wait in, so they cost memory once.
struct EncodedMessage {
  MessageType kind{};
  std::shared_ptr<std::string const> bytes;
  std::string const& body() const { return *bytes; }
  bool empty() const { return !bytes || bytes->empty(); }
};
EncodedMessage encode_message(MessageType k, std::string body);

struct Message {
  MessageType kind{};
  u32 tag = 0;
  std::string_view body;
  template <codec::Record T>
  T as() const {
    return codec::unpack<T>(body);
  }
};

// What this process sent, by kind of letter, since it was last asked; for measuring.
struct SentCounters {
  u64 letters = 0, bytes = 0;
};
std::string sent_by_kind();

// What this process was given from outside and did not take, since its start.
struct RejectedInput {
  u64 channels = 0;  // ended for a frame that could not be read
  u64 letters = 0;   // of a kind that nobody here waits for: ignored
  u64 calls = 0;     // calls of the control API and requests refused as malformed
};
RejectedInput& rejected_input();
void log_rejected_input();  // a log line, if there is more than the last time

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  sigc::signal<void(Connection&, Message const&)> on_message;
  sigc::signal<void(Connection&)> on_down;
  sigc::signal<void(Connection&)> on_up;

  static std::shared_ptr<Connection> dial(event_base* loop, Address const& to);
  static std::shared_ptr<Connection> take(event_base* loop, evutil_socket_t fd);
  ~Connection();
  Connection(Connection const&) = delete;

  void send(MessageType k, u32 tag, std::string_view body);
  void send(EncodedMessage const& p, u32 tag = 0);
  template <codec::Record T>
  void send(MessageType k, u32 tag, T const& x) {
    send(k, tag, std::string_view(codec::pack(x)));
  }
  void close();           // no signal
  void end() { drop(); }  // with its signal
  bool up() const { return up_; }
  bool open() const { return bev_ != nullptr; }
  Seconds heard() const { return heard_; }
  Seconds sent() const { return sent_; }
  u64 id() const { return id_; }

 private:
  Connection() = default;
  void put(MessageType k, u32 tag, std::string_view body);
  void head(MessageType k, u32 tag, std::size_t n);
  void arm(event_base* loop, evutil_socket_t fd);
  void drop();
  void refuse(std::string const& why);  // bytes that can't be read
  struct Input;
  static void read_cb(bufferevent*, void* p);
  static void event_cb(bufferevent*, short what, void* p);
  BufferedSocketOwner bev_;
  bool up_ = false, near_ = false;  // near: over loopback, where bytes cost nothing
  Seconds heard_ = 0, sent_ = 0;
  u64 id_ = 0;
};
using ConnectionPtr = std::shared_ptr<Connection>;

// A repeating timer that calls f.
class PeriodicTimer {
 public:
  PeriodicTimer(event_base* loop, Seconds every, std::function<void()> f);
  PeriodicTimer(PeriodicTimer const&) = delete;

 private:
  std::function<void()> f_;
  EventOwner ev_;
};

// Runs f once after some time, at the event loop.
void after(event_base* loop, Seconds t, std::function<void()> f);

class Listener {
 public:
  sigc::signal<void(ConnectionPtr)> on_channel;
  Listener(event_base* loop, Address const& at);
  Listener(Listener const&) = delete;

 private:
  event_base* loop_;
  ConnectionListenerOwner ls_;
};

// Asks a relay to pass all further letters to a core node, and its answer once it can.
struct RelayRequest {
  DB_RECORD(RelayRequest, (std::string, ip));
};
struct RelayResponse {
  DB_RECORD(RelayResponse, (bool, ok));
};

// Which way to dial next: directly; once that failed twice, through relays in turn, with
// the direct way tried again between them. Invariant: of any three dials that failed one
// after the other, one was direct, and no relay is tried twice before each was tried once.
class DialStrategy {
 public:
  // The relay's place among n; none: directly.
  std::optional<std::size_t> next(std::size_t n) {
    if (n == 0 || fails_ < 2 || fails_ % 3 == 0) return std::nullopt;
    return turn_++ % n;
  }
  void failed() { ++fails_; }
  void direct() { fails_ = 0; }  // the direct way is up

 private:
  std::size_t fails_ = 0, turn_ = 0;
};

// Keeps one mate dialled. Silence of quiet_s ends the channel; silence of ours
// is broken by a ping every ping_s. Where the mate can't be reached directly and there
// are relays, it is reached through one of them, and directly again once that works.
// Invariant: up only while letters get through to the mate itself, as far as is known.
class PeerLink {
 public:
  sigc::signal<void(PeerLink&)> on_up;
  sigc::signal<void(PeerLink&)> on_down;
  sigc::signal<void(PeerLink&, Message const&)> on_message;
  PeerLink(event_base* loop, Address const& to, Seconds ping_s, Seconds quiet_s);
  ~PeerLink();
  PeerLink(PeerLink const&) = delete;

  bool up() const { return ch_ && ch_->up() && !waiting_; }
  bool relayed() const { return up() && via_; }
  // Where else to try; asked anew each time.
  void relays(std::function<std::vector<Address>()> f) { relays_ = std::move(f); }
  Connection* ch() { return up() ? ch_.get() : nullptr; }
  u64 connection() const { return ch_ ? ch_->id() : 0; }  // no second one in this process has it
  Address const& to() const { return to_; }
  template <codec::Record T>
  void send(MessageType k, u32 tag, T const& x) {
    if (up()) ch_->send(k, tag, x);
  }
  void send(EncodedMessage const& p, u32 tag = 0) {
    if (up()) ch_->send(p, tag);
  }
  void tick(Seconds now);
  // How often our silence is broken, and how long the mate's is borne.
  void pace(Seconds ping_s, Seconds quiet_s) {
    ping_s_ = ping_s;
    quiet_s_ = quiet_s;
  }
  Seconds heard() const { return up() ? ch_->heard() : 0; }

 private:
  void dial();
  void wire();
  void gone();
  event_base* loop_;
  Address to_;
  Seconds ping_s_, quiet_s_;
  ConnectionPtr ch_, probe_;  // probe_: tries the direct way while a relay serves
  std::function<std::vector<Address>()> relays_;
  bool via_ = false, waiting_ = false;  // waiting_: for the relay's word
  DialStrategy ways_;
  Seconds probed_ = 0;
  Seconds next_ = 0, dialled_ = 0, back_ = 0.1, wait_ = 0.4;
};

// Passes letters between a node that is cut off from the core and the core nodes it
// names. Invariants: a pipe joins one channel to one core node that we know ourselves;
// when either side ends, so does the other.
class Relay {
 public:
  Relay(event_base* loop, Address const& at, u32 port, std::function<bool(std::string const&)> known);
  Relay(Relay const&) = delete;
  void tick(Seconds now);

 private:
  struct Pipe {
    ConnectionPtr down, up;
    Seconds since = 0;
  };
  void took(ConnectionPtr c);
  void shut(u64 id);
  event_base* loop_;
  u32 port_;
  std::function<bool(std::string const&)> known_;
  std::unordered_map<u64, Pipe> pipes_;
  Listener door_;
};

void tune_socket(evutil_socket_t fd, int user_timeout_ms);

}  // namespace dockbend
