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
#include "wire/codec.hpp"

namespace dockbend {

// The kinds of letters. Values are wire format: never reused.
enum class Kind : u8 {
  ping = 1,
  hello = 2,
  helloR = 3,
  beat = 4,
  beatR = 5,
  feed = 6,
  news = 7,
  prep = 10,
  prepR = 11,
  acc = 12,
  accR = 13,
  commit = 14,
  pull = 15,
  commitR = 16,
  piece = 17,
  claim = 20,
  claimR = 21,
  release = 22,
  store = 23,
  fetch = 24,
  fetchR = 25,
  rebuild = 26,
  rebuildR = 27,
  rows = 30,
  digest = 31,
  digestR = 32,
  ask = 40,
  askR = 41,
  done = 42,
  load = 43,
  leaving = 44,
  hold = 50,
  holdR = 51,
  rollNote = 52,
  holdFor = 54,
  sites = 60,
  clock = 61,
  tally = 62,
  loan = 63,
  loanR = 64,
  dutyCmd = 65,
  survey = 66,
  surveyR = 67,
  drain = 68,
  via = 70,
  viaR = 71,
  sitesAsk = 72,
  join = 73,
  probe = 80,
  probeR = 81,
  zipped = 255,
};

// A letter's body made ready once, for many receivers; large ones are deflated. The bytes
// are shared by all channels that they wait in, so they cost memory once.
struct Parcel {
  Kind kind{};
  std::shared_ptr<std::string const> bytes;
  std::string const& body() const { return *bytes; }
  bool empty() const { return !bytes || bytes->empty(); }
};
Parcel parcel(Kind k, std::string body);

struct Letter {
  Kind kind{};
  u32 tag = 0;
  std::string_view body;
  template <codec::Record T>
  T as() const {
    return codec::unpack<T>(body);
  }
};

// What this process sent, by kind of letter, since it was last asked; for measuring.
struct Sent {
  u64 letters = 0, bytes = 0;
};
std::string sent_by_kind();

// What this process was given from outside and did not take, since its start.
struct BadInput {
  u64 channels = 0;  // ended for a frame that could not be read
  u64 letters = 0;   // of a kind that nobody here waits for: ignored
  u64 calls = 0;     // calls of the control API and requests refused as malformed
};
BadInput& bad_input();
void say_bad_input();  // a log line, if there is more than the last time

class Channel : public std::enable_shared_from_this<Channel> {
 public:
  sigc::signal<void(Channel&, Letter const&)> on_letter;
  sigc::signal<void(Channel&)> on_down;
  sigc::signal<void(Channel&)> on_up;

  static std::shared_ptr<Channel> dial(event_base* eb, Addr const& to);
  static std::shared_ptr<Channel> take(event_base* eb, evutil_socket_t fd);
  ~Channel();
  Channel(Channel const&) = delete;

  void send(Kind k, u32 tag, std::string_view body);
  void send(Parcel const& p, u32 tag = 0);
  template <codec::Record T>
  void send(Kind k, u32 tag, T const& x) {
    send(k, tag, std::string_view(codec::pack(x)));
  }
  void close();           // no signal
  void end() { drop(); }  // with its signal
  bool up() const { return up_; }
  bool open() const { return bev_ != nullptr; }
  Secs heard() const { return heard_; }
  Secs sent() const { return sent_; }
  u64 id() const { return id_; }

 private:
  Channel() = default;
  void put(Kind k, u32 tag, std::string_view body);
  void head(Kind k, u32 tag, std::size_t n);
  void arm(event_base* eb, evutil_socket_t fd);
  void drop();
  void refuse(std::string const& why);  // bytes that can't be read
  struct Input;
  static void read_cb(bufferevent*, void* p);
  static void event_cb(bufferevent*, short what, void* p);
  bufferevent* bev_ = nullptr;
  bool up_ = false, near_ = false;  // near: over loopback, where bytes cost nothing
  Secs heard_ = 0, sent_ = 0;
  u64 id_ = 0;
};
using ChannelP = std::shared_ptr<Channel>;

// A repeating timer that calls f.
class Ticker {
 public:
  Ticker(event_base* eb, Secs every, std::function<void()> f);
  ~Ticker();
  Ticker(Ticker const&) = delete;

 private:
  std::function<void()> f_;
  event* ev_;
};

// Runs f once after some time, at the event loop.
void after(event_base* eb, Secs t, std::function<void()> f);

class Door {
 public:
  sigc::signal<void(ChannelP)> on_channel;
  Door(event_base* eb, Addr const& at);
  ~Door();
  Door(Door const&) = delete;

 private:
  event_base* eb_;
  evconnlistener* ls_;
};

// Asks a relay to pass all further letters to a core node, and its answer once it can.
struct ViaAsk {
  DB_RECORD(ViaAsk, (std::string, ip));
};
struct ViaR {
  DB_RECORD(ViaR, (bool, ok));
};

// Which way to dial next: directly; once that failed twice, through relays in turn, with
// the direct way tried again between them. Invariant: of any three dials that failed one
// after the other, one was direct, and no relay is tried twice before each was tried once.
class Ways {
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
class Link {
 public:
  sigc::signal<void(Link&)> on_up;
  sigc::signal<void(Link&)> on_down;
  sigc::signal<void(Link&, Letter const&)> on_letter;
  Link(event_base* eb, Addr const& to, Secs ping_s, Secs quiet_s);
  ~Link();
  Link(Link const&) = delete;

  bool up() const { return ch_ && ch_->up() && !waiting_; }
  bool relayed() const { return up() && via_; }
  // Where else to try; asked anew each time.
  void relays(std::function<std::vector<Addr>()> f) { relays_ = std::move(f); }
  Channel* ch() { return up() ? ch_.get() : nullptr; }
  u64 connection() const { return ch_ ? ch_->id() : 0; }  // no second one in this process has it
  Addr const& to() const { return to_; }
  template <codec::Record T>
  void send(Kind k, u32 tag, T const& x) {
    if (up()) ch_->send(k, tag, x);
  }
  void send(Parcel const& p, u32 tag = 0) {
    if (up()) ch_->send(p, tag);
  }
  void tick(Secs now);
  // How often our silence is broken, and how long the mate's is borne.
  void pace(Secs ping_s, Secs quiet_s) {
    ping_s_ = ping_s;
    quiet_s_ = quiet_s;
  }
  Secs heard() const { return up() ? ch_->heard() : 0; }

 private:
  void dial();
  void wire();
  void gone();
  event_base* eb_;
  Addr to_;
  Secs ping_s_, quiet_s_;
  ChannelP ch_, probe_;  // probe_: tries the direct way while a relay serves
  std::function<std::vector<Addr>()> relays_;
  bool via_ = false, waiting_ = false;  // waiting_: for the relay's word
  Ways ways_;
  Secs probed_ = 0;
  Secs next_ = 0, dialled_ = 0, back_ = 0.1, wait_ = 0.4;
};

// Passes letters between a node that is cut off from the core and the core nodes it
// names. Invariants: a pipe joins one channel to one core node that we know ourselves;
// when either side ends, so does the other.
class Relay {
 public:
  Relay(event_base* eb, Addr const& at, u32 port, std::function<bool(std::string const&)> known);
  Relay(Relay const&) = delete;
  void tick(Secs now);

 private:
  struct Pipe {
    ChannelP down, up;
    Secs since = 0;
  };
  void took(ChannelP c);
  void shut(u64 id);
  event_base* eb_;
  u32 port_;
  std::function<bool(std::string const&)> known_;
  std::unordered_map<u64, Pipe> pipes_;
  Door door_;
};

void tune_socket(evutil_socket_t fd, int user_timeout_ms);

}  // namespace dockbend
