#include "transport/transport.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include <algorithm>

#include "logging/log.hpp"
#include "wire/frame.hpp"

namespace dockbend {
namespace {
sockaddr_in sa_of(Address const& a) {
  sockaddr_in sa{};
  sa.sin_family = AF_INET;
  sa.sin_port = htons(static_cast<uint16_t>(a.port));
  inet_pton(AF_INET, a.ip.c_str(), &sa.sin_addr);
  return sa;
}
u64 next_id = 1;
SentCounters counted[256];
}  // namespace

std::string sent_by_kind() {
  std::string out;
  for (int k = 0; k < 256; ++k) {
    if (counted[k].letters == 0) continue;
    out += (out.empty() ? "" : ", ") + std::to_string(k) + " " + std::to_string(counted[k].letters) + "/" +
           std::to_string(counted[k].bytes);
    counted[k] = SentCounters{};
  }
  return out;
}

namespace {
std::size_t const share_from = 4096;  // shorter ones are copied
std::size_t const zip_from = 1500;    // shorter ones fill one packet as they are

}  // namespace

EncodedMessage encode_message(MessageType k, std::string body) {
  auto made = [](MessageType kind, std::string b) {
    return EncodedMessage{kind, std::make_shared<std::string const>(std::move(b))};
  };
  if (body.size() < zip_from) return made(k, std::move(body));
  std::string z = frame::deflate(static_cast<u8>(k), body);
  return z.empty() ? made(k, std::move(body)) : made(MessageType::deflated, std::move(z));
}

void tune_socket(evutil_socket_t fd, int user_timeout_ms) {
  if (fd < 0) return;
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  unsigned int t = static_cast<unsigned int>(user_timeout_ms);
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &t, sizeof t);
}

ConnectionPtr Connection::dial(event_base* loop, Address const& to) {
  ConnectionPtr c(new Connection);
  c->arm(loop, -1);
  sockaddr_in sa = sa_of(to);
  if (bufferevent_socket_connect(c->bev_.get(), reinterpret_cast<sockaddr*>(&sa), sizeof sa) < 0) {
    c->close();
    return c;
  }
  tune_socket(bufferevent_getfd(c->bev_.get()), 2000);
  c->near_ = to.ip.rfind("127.", 0) == 0;
  return c;
}

ConnectionPtr Connection::take(event_base* loop, evutil_socket_t fd) {
  ConnectionPtr c(new Connection);
  tune_socket(fd, 2000);
  c->arm(loop, fd);
  sockaddr_in sa{};
  socklen_t len = sizeof sa;
  c->near_ = getpeername(fd, reinterpret_cast<sockaddr*>(&sa), &len) == 0 && (ntohl(sa.sin_addr.s_addr) >> 24) == 127;
  c->up_ = true;
  return c;
}

void Connection::arm(event_base* loop, evutil_socket_t fd) {
  id_ = next_id++;
  bev_.reset(bufferevent_socket_new(loop, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  bufferevent_setcb(bev_.get(), read_cb, nullptr, event_cb, this);
  bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
  heard_ = sent_ = steady_now();
}

Connection::~Connection() {
  close();
}

void Connection::close() {
  bev_.reset();
  up_ = false;
}

void Connection::drop() {
  ConnectionPtr const self = shared_from_this();
  close();
  on_down.emit(*this);
}

void Connection::send(MessageType k, u32 tag, std::string_view body) {
  if (!up_) return;
  if (near_ || body.size() < zip_from) return put(k, tag, body);
  EncodedMessage const p = encode_message(k, std::string(body));
  send(p, tag);
}

void Connection::send(EncodedMessage const& p, u32 tag) {
  if (!up_) return;
  if (p.body().size() < share_from) return put(p.kind, tag, p.body());
  head(p.kind, tag, p.body().size());
  auto* const keep = new std::shared_ptr<std::string const>(p.bytes);
  evbuffer_add_reference(
      bufferevent_get_output(bev_.get()), p.body().data(), p.body().size(),
      [](void const*, std::size_t, void* x) { delete static_cast<std::shared_ptr<std::string const>*>(x); }, keep);
}

void Connection::head(MessageType k, u32 tag, std::size_t n) {
  if (!near_) {
    ++counted[static_cast<u8>(k)].letters;
    counted[static_cast<u8>(k)].bytes += frame::kHeaderLength + n;
  }
  u8 h[frame::kHeaderLength];
  frame::write_head(h, frame::Header{static_cast<u32>(n), static_cast<u8>(k), tag});
  evbuffer_add(bufferevent_get_output(bev_.get()), h, frame::kHeaderLength);
  sent_ = steady_now();
}

void Connection::put(MessageType k, u32 tag, std::string_view body) {
  if (!up_) return;
  evbuffer* const out = bufferevent_get_output(bev_.get());
  evbuffer_expand(out, frame::kHeaderLength + body.size());  // one piece, one packet
  head(k, tag, body.size());
  evbuffer_add(out, body.data(), body.size());
}

struct Connection::Input {  // a frame::Source: what the socket has brought
  Connection& c;
  evbuffer* in;
  bool open() const { return c.bev_ != nullptr; }
  std::size_t size() const { return evbuffer_get_length(in); }
  void peek(u8* p) const { evbuffer_copyout(in, p, frame::kHeaderLength); }
  void take(std::string& body) const {
    evbuffer_drain(in, frame::kHeaderLength);
    if (!body.empty()) evbuffer_remove(in, body.data(), body.size());
  }
};

void Connection::read_cb(bufferevent* bev, void* p) {
  Connection* const c = static_cast<Connection*>(p);
  ConnectionPtr const self = c->shared_from_this();
  c->heard_ = steady_now();
  auto const bad =
      frame::each(Input{*c, bufferevent_get_input(bev)}, [c](frame::Header const& h, std::string const& body) {
        MessageType const k = static_cast<MessageType>(h.kind);
        if (k != MessageType::ping) return c->on_message.emit(*c, Message{k, h.tag, body});
        if (h.tag == 0) c->send(MessageType::ping, 1, std::string_view());
      });
  if (!bad) {
    // A long letter on a slow link: its sender's pings wait behind it, and would get no answer in time.
    if (c->bev_ != nullptr && evbuffer_get_length(bufferevent_get_input(bev)) > 0 && c->heard_ - c->sent_ > 0.5)
      c->send(MessageType::ping, 1, std::string_view());
    return;
  }
  c->refuse(*bad);
  if (c->bev_ != nullptr) c->drop();
}

// Counted always, logged at most once a second.
void Connection::refuse(std::string const& why) {
  DB_LOG("courier");
  static Seconds logged = -1e9;
  ++rejected_input().channels;
  Seconds const now = steady_now();
  if (now - logged < 1.0) return;
  logged = now;
  sockaddr_in sa{};
  socklen_t len = sizeof sa;
  char from[INET_ADDRSTRLEN] = "nowhere";
  if (bev_ != nullptr && getpeername(bufferevent_getfd(bev_.get()), reinterpret_cast<sockaddr*>(&sa), &len) == 0)
    inet_ntop(AF_INET, &sa.sin_addr, from, sizeof from);
  LOG4CPLUS_WARN(
      logger, "Ended a channel with " << from << ": " << why << ". " << rejected_input().channels << " such so far.");
}

RejectedInput& rejected_input() {
  static RejectedInput b;
  return b;
}

void log_rejected_input() {
  DB_LOG("courier");
  static u64 said = 0;
  RejectedInput const& b = rejected_input();
  if (u64 const n = b.channels + b.letters + b.calls; n == said)
    return;
  else
    said = n;
  LOG4CPLUS_INFO(logger, "Bad input so far: " << b.channels << " channels ended, " << b.letters << " letters ignored, "
                                              << b.calls << " calls refused.");
}

void Connection::event_cb(bufferevent*, short what, void* p) {
  Connection* const c = static_cast<Connection*>(p);
  ConnectionPtr const self = c->shared_from_this();
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    c->up_ = true;
    c->heard_ = steady_now();
    tune_socket(bufferevent_getfd(c->bev_.get()), 2000);
    c->on_up.emit(*c);
    return;
  }
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) c->drop();
}

PeriodicTimer::PeriodicTimer(event_base* loop, Seconds every, std::function<void()> f) : f_(std::move(f)) {
  ev_.reset(event_new(
      loop, -1, EV_PERSIST, [](evutil_socket_t, short, void* p) { static_cast<PeriodicTimer*>(p)->f_(); }, this));
  timeval tv{static_cast<time_t>(every),
             static_cast<suseconds_t>((every - static_cast<double>(static_cast<time_t>(every))) * 1e6)};
  event_add(ev_.get(), &tv);
}

void after(event_base* loop, Seconds t, std::function<void()> f) {
  auto* const box = new std::function<void()>(std::move(f));
  t = std::max(t, 0.0);
  timeval tv{static_cast<time_t>(t), static_cast<suseconds_t>((t - static_cast<double>(static_cast<time_t>(t))) * 1e6)};
  event_base_once(
      loop, -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void* p) {
        std::unique_ptr<std::function<void()>> const b(static_cast<std::function<void()>*>(p));
        (*b)();
      },
      box, &tv);
}

Listener::Listener(event_base* loop, Address const& at) : loop_(loop) {
  sockaddr_in sa = sa_of(at);
  ls_.reset(evconnlistener_new_bind(
      loop,
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* p) {
        Listener* const d = static_cast<Listener*>(p);
        d->on_channel.emit(Connection::take(d->loop_, fd));
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, 128, reinterpret_cast<sockaddr*>(&sa),
      sizeof sa));
  if (ls_ == nullptr) throw std::runtime_error("can't listen at " + at.str());
}

PeerLink::PeerLink(event_base* loop, Address const& to, Seconds ping_s, Seconds quiet_s)
    : loop_(loop), to_(to), ping_s_(ping_s), quiet_s_(quiet_s) {}
PeerLink::~PeerLink() {
  if (ch_) ch_->close();
  if (probe_) probe_->close();
}

void PeerLink::dial() {
  if (ch_) ch_->close();
  std::vector<Address> const r = relays_ ? relays_() : std::vector<Address>();
  std::optional<std::size_t> const relay = ways_.next(r.size());
  via_ = waiting_ = relay.has_value();
  ch_ = Connection::dial(loop_, relay ? r[*relay] : to_);
  dialled_ = steady_now();
  wire();
}

void PeerLink::wire() {
  ch_->on_up.connect([this](Connection& c) {
    if (via_) {
      RelayRequest a;
      a.ip = to_.ip;
      c.send(MessageType::relay_request, 0, a);
      return;
    }
    back_ = 0.1;
    wait_ = 0.4;
    ways_.direct();
    on_up.emit(*this);
  });
  ch_->on_down.connect([this](Connection&) { gone(); });
  ch_->on_message.connect([this](Connection&, Message const& l) {
    if (waiting_) {
      if (l.kind != MessageType::relay_response) return;
      waiting_ = false;
      back_ = 0.1;
      wait_ = 0.4;
      probed_ = steady_now();
      on_up.emit(*this);
      return;
    }
    on_message.emit(*this, l);
  });
}

void PeerLink::gone() {
  ways_.failed();
  next_ = steady_now() + back_ * (0.5 + random01());
  back_ = std::min(back_ * 1.5, 0.3);
  on_down.emit(*this);
}

void PeerLink::tick(Seconds now) {
  if (!ch_ || !ch_->open()) {
    if (now >= next_) dial();
    return;
  }
  if (!up()) {
    if (now - dialled_ > wait_) {
      ways_.failed();
      wait_ = std::min(wait_ * 1.5, 2.0);  // a far mate may need longer than we first give it
      dial();
    }
    return;
  }
  if (via_ && now - probed_ > 2.0) {
    probed_ = now;
    if (probe_) probe_->close();
    probe_ = Connection::dial(loop_, to_);
    probe_->on_up.connect([this](Connection&) {
      // Out of the probe's own callback: it becomes the channel.
      after(loop_, 0, [this, p = probe_] {
        if (!p || p != probe_ || !p->up() || !via_) return;
        probe_.reset();
        on_down.emit(*this);
        ch_->close();
        ch_ = p;
        ch_->on_up.clear();
        via_ = waiting_ = false;
        ways_.direct();
        wire();
        on_up.emit(*this);
      });
    });
  }
  if (now - ch_->heard() > quiet_s_) {
    ch_->close();
    ways_.failed();
    next_ = now;
    on_down.emit(*this);
    return;
  }
  if (now - ch_->sent() > ping_s_) ch_->send(MessageType::ping, 0, std::string_view());
}

Relay::Relay(event_base* loop, Address const& at, u32 port, std::function<bool(std::string const&)> known)
    : loop_(loop), port_(port), known_(std::move(known)), door_(loop, at) {
  door_.on_channel.connect([this](ConnectionPtr c) { took(std::move(c)); });
}

void Relay::took(ConnectionPtr c) {
  u64 const id = c->id();
  pipes_[id].down = c;
  pipes_[id].since = steady_now();
  c->on_message.connect([this, id](Connection& ch, Message const& l) {
    auto const it = pipes_.find(id);
    if (it == pipes_.end()) return;
    Pipe& p = it->second;
    if (p.up) {
      p.up->send(l.kind, l.tag, l.body);
      return;
    }
    if (l.kind != MessageType::relay_request || !known_(l.as<RelayRequest>().ip)) {
      shut(id);
      return;
    }
    p.up = Connection::dial(loop_, Address{l.as<RelayRequest>().ip, port_});
    p.up->on_up.connect([w = ch.weak_from_this()](Connection&) {
      RelayResponse r;
      r.ok = true;
      if (auto const d = w.lock()) d->send(MessageType::relay_response, 0, r);
    });
    p.up->on_message.connect([w = ch.weak_from_this()](Connection&, Message const& x) {
      if (auto const d = w.lock()) d->send(x.kind, x.tag, x.body);
    });
    p.up->on_down.connect([this, id](Connection&) { shut(id); });
  });
  c->on_down.connect([this, id](Connection&) { shut(id); });
}

void Relay::shut(u64 id) {
  after(loop_, 0, [this, id] {
    auto const it = pipes_.find(id);
    if (it == pipes_.end()) return;
    it->second.down->close();
    if (it->second.up) it->second.up->close();
    pipes_.erase(it);
  });
}

void Relay::tick(Seconds now) {
  for (auto& [id, p] : pipes_) {
    bool const dead = p.up ? (p.up->up() ? now - p.up->heard() > 1.5 : now - p.since > 2.5) : now - p.since > 2.0;
    if (dead || now - p.down->heard() > 3.0)
      shut(id);
    else if (p.up && p.up->up() && now - p.up->sent() > 0.5)
      p.up->send(MessageType::ping, 0, std::string_view());
  }
}

}  // namespace dockbend
