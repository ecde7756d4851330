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
sockaddr_in sa_of(Addr const& a) {
  sockaddr_in sa{};
  sa.sin_family = AF_INET;
  sa.sin_port = htons(static_cast<uint16_t>(a.port));
  inet_pton(AF_INET, a.ip.c_str(), &sa.sin_addr);
  return sa;
}
u64 next_id = 1;
Sent counted[256];
}  // namespace

std::string sent_by_kind() {
  std::string out;
  for (int k = 0; k < 256; ++k) {
    if (counted[k].letters == 0) continue;
    out += (out.empty() ? "" : ", ") + std::to_string(k) + " " + std::to_string(counted[k].letters) + "/" +
           std::to_string(counted[k].bytes);
    counted[k] = Sent{};
  }
  return out;
}

namespace {
std::size_t const share_from = 4096;  // shorter ones are copied
std::size_t const zip_from = 1500;    // shorter ones fill one packet as they are

}  // namespace

Parcel parcel(Kind k, std::string body) {
  auto made = [](Kind kind, std::string b) { return Parcel{kind, std::make_shared<std::string const>(std::move(b))}; };
  if (body.size() < zip_from) return made(k, std::move(body));
  std::string z = frame::deflate(static_cast<u8>(k), body);
  return z.empty() ? made(k, std::move(body)) : made(Kind::zipped, std::move(z));
}

void tune_socket(evutil_socket_t fd, int user_timeout_ms) {
  if (fd < 0) return;
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  unsigned int t = static_cast<unsigned int>(user_timeout_ms);
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &t, sizeof t);
}

ChannelP Channel::dial(event_base* eb, Addr const& to) {
  ChannelP c(new Channel);
  c->arm(eb, -1);
  sockaddr_in sa = sa_of(to);
  if (bufferevent_socket_connect(c->bev_, reinterpret_cast<sockaddr*>(&sa), sizeof sa) < 0) {
    c->close();
    return c;
  }
  tune_socket(bufferevent_getfd(c->bev_), 2000);
  c->near_ = to.ip.rfind("127.", 0) == 0;
  return c;
}

ChannelP Channel::take(event_base* eb, evutil_socket_t fd) {
  ChannelP c(new Channel);
  tune_socket(fd, 2000);
  c->arm(eb, fd);
  sockaddr_in sa{};
  socklen_t len = sizeof sa;
  c->near_ = getpeername(fd, reinterpret_cast<sockaddr*>(&sa), &len) == 0 && (ntohl(sa.sin_addr.s_addr) >> 24) == 127;
  c->up_ = true;
  return c;
}

void Channel::arm(event_base* eb, evutil_socket_t fd) {
  id_ = next_id++;
  bev_ = bufferevent_socket_new(eb, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb(bev_, read_cb, nullptr, event_cb, this);
  bufferevent_enable(bev_, EV_READ | EV_WRITE);
  heard_ = sent_ = now_s();
}

Channel::~Channel() {
  close();
}

void Channel::close() {
  if (bev_ != nullptr) {
    bufferevent_free(bev_);
    bev_ = nullptr;
  }
  up_ = false;
}

void Channel::drop() {
  ChannelP const self = shared_from_this();
  close();
  on_down.emit(*this);
}

void Channel::send(Kind k, u32 tag, std::string_view body) {
  if (!up_) return;
  if (near_ || body.size() < zip_from) return put(k, tag, body);
  Parcel const p = parcel(k, std::string(body));
  send(p, tag);
}

void Channel::send(Parcel const& p, u32 tag) {
  if (!up_) return;
  if (p.body().size() < share_from) return put(p.kind, tag, p.body());
  head(p.kind, tag, p.body().size());
  auto* const keep = new std::shared_ptr<std::string const>(p.bytes);
  evbuffer_add_reference(
      bufferevent_get_output(bev_), p.body().data(), p.body().size(),
      [](void const*, std::size_t, void* x) { delete static_cast<std::shared_ptr<std::string const>*>(x); }, keep);
}

void Channel::head(Kind k, u32 tag, std::size_t n) {
  if (!near_) {
    ++counted[static_cast<u8>(k)].letters;
    counted[static_cast<u8>(k)].bytes += frame::head_len + n;
  }
  u8 h[frame::head_len];
  frame::write_head(h, frame::Head{static_cast<u32>(n), static_cast<u8>(k), tag});
  evbuffer_add(bufferevent_get_output(bev_), h, frame::head_len);
  sent_ = now_s();
}

void Channel::put(Kind k, u32 tag, std::string_view body) {
  if (!up_) return;
  evbuffer* const out = bufferevent_get_output(bev_);
  evbuffer_expand(out, frame::head_len + body.size());  // one piece, one packet
  head(k, tag, body.size());
  evbuffer_add(out, body.data(), body.size());
}

struct Channel::Input {  // a frame::Source: what the socket has brought
  Channel& c;
  evbuffer* in;
  bool open() const { return c.bev_ != nullptr; }
  std::size_t size() const { return evbuffer_get_length(in); }
  void peek(u8* p) const { evbuffer_copyout(in, p, frame::head_len); }
  void take(std::string& body) const {
    evbuffer_drain(in, frame::head_len);
    if (!body.empty()) evbuffer_remove(in, body.data(), body.size());
  }
};

void Channel::read_cb(bufferevent* bev, void* p) {
  Channel* const c = static_cast<Channel*>(p);
  ChannelP const self = c->shared_from_this();
  c->heard_ = now_s();
  auto const bad =
      frame::each(Input{*c, bufferevent_get_input(bev)}, [c](frame::Head const& h, std::string const& body) {
        Kind const k = static_cast<Kind>(h.kind);
        if (k != Kind::ping) return c->on_letter.emit(*c, Letter{k, h.tag, body});
        if (h.tag == 0) c->send(Kind::ping, 1, std::string_view());
      });
  if (!bad) {
    // A long letter on a slow link: its sender's pings wait behind it, and would get no answer in time.
    if (c->bev_ != nullptr && evbuffer_get_length(bufferevent_get_input(bev)) > 0 && c->heard_ - c->sent_ > 0.5)
      c->send(Kind::ping, 1, std::string_view());
    return;
  }
  c->refuse(*bad);
  if (c->bev_ != nullptr) c->drop();
}

// Counted always, logged at most once a second.
void Channel::refuse(std::string const& why) {
  DB_LOG("courier");
  static Secs logged = -1e9;
  ++bad_input().channels;
  Secs const now = now_s();
  if (now - logged < 1.0) return;
  logged = now;
  sockaddr_in sa{};
  socklen_t len = sizeof sa;
  char from[INET_ADDRSTRLEN] = "nowhere";
  if (bev_ != nullptr && getpeername(bufferevent_getfd(bev_), reinterpret_cast<sockaddr*>(&sa), &len) == 0)
    inet_ntop(AF_INET, &sa.sin_addr, from, sizeof from);
  LOG4CPLUS_WARN(lg, "Ended a channel with " << from << ": " << why << ". " << bad_input().channels << " such so far.");
}

BadInput& bad_input() {
  static BadInput b;
  return b;
}

void say_bad_input() {
  DB_LOG("courier");
  static u64 said = 0;
  BadInput const& b = bad_input();
  if (u64 const n = b.channels + b.letters + b.calls; n == said)
    return;
  else
    said = n;
  LOG4CPLUS_INFO(lg, "Bad input so far: " << b.channels << " channels ended, " << b.letters << " letters ignored, "
                                          << b.calls << " calls refused.");
}

void Channel::event_cb(bufferevent*, short what, void* p) {
  Channel* const c = static_cast<Channel*>(p);
  ChannelP const self = c->shared_from_this();
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    c->up_ = true;
    c->heard_ = now_s();
    tune_socket(bufferevent_getfd(c->bev_), 2000);
    c->on_up.emit(*c);
    return;
  }
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) c->drop();
}

Ticker::Ticker(event_base* eb, Secs every, std::function<void()> f) : f_(std::move(f)) {
  ev_ = event_new(
      eb, -1, EV_PERSIST, [](evutil_socket_t, short, void* p) { static_cast<Ticker*>(p)->f_(); }, this);
  timeval tv{static_cast<time_t>(every),
             static_cast<suseconds_t>((every - static_cast<double>(static_cast<time_t>(every))) * 1e6)};
  event_add(ev_, &tv);
}
Ticker::~Ticker() {
  event_free(ev_);
}

void after(event_base* eb, Secs t, std::function<void()> f) {
  auto* const box = new std::function<void()>(std::move(f));
  t = std::max(t, 0.0);
  timeval tv{static_cast<time_t>(t), static_cast<suseconds_t>((t - static_cast<double>(static_cast<time_t>(t))) * 1e6)};
  event_base_once(
      eb, -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void* p) {
        std::unique_ptr<std::function<void()>> const b(static_cast<std::function<void()>*>(p));
        (*b)();
      },
      box, &tv);
}

Door::Door(event_base* eb, Addr const& at) : eb_(eb) {
  sockaddr_in sa = sa_of(at);
  ls_ = evconnlistener_new_bind(
      eb,
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* p) {
        Door* const d = static_cast<Door*>(p);
        d->on_channel.emit(Channel::take(d->eb_, fd));
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, 128, reinterpret_cast<sockaddr*>(&sa),
      sizeof sa);
  if (ls_ == nullptr) throw std::runtime_error("can't listen at " + at.str());
}
Door::~Door() {
  if (ls_ != nullptr) evconnlistener_free(ls_);
}

Link::Link(event_base* eb, Addr const& to, Secs ping_s, Secs quiet_s)
    : eb_(eb), to_(to), ping_s_(ping_s), quiet_s_(quiet_s) {}
Link::~Link() {
  if (ch_) ch_->close();
  if (probe_) probe_->close();
}

void Link::dial() {
  if (ch_) ch_->close();
  std::vector<Addr> const r = relays_ ? relays_() : std::vector<Addr>();
  std::optional<std::size_t> const relay = ways_.next(r.size());
  via_ = waiting_ = relay.has_value();
  ch_ = Channel::dial(eb_, relay ? r[*relay] : to_);
  dialled_ = now_s();
  wire();
}

void Link::wire() {
  ch_->on_up.connect([this](Channel& c) {
    if (via_) {
      ViaAsk a;
      a.ip = to_.ip;
      c.send(Kind::via, 0, a);
      return;
    }
    back_ = 0.1;
    wait_ = 0.4;
    ways_.direct();
    on_up.emit(*this);
  });
  ch_->on_down.connect([this](Channel&) { gone(); });
  ch_->on_letter.connect([this](Channel&, Letter const& l) {
    if (waiting_) {
      if (l.kind != Kind::viaR) return;
      waiting_ = false;
      back_ = 0.1;
      wait_ = 0.4;
      probed_ = now_s();
      on_up.emit(*this);
      return;
    }
    on_letter.emit(*this, l);
  });
}

void Link::gone() {
  ways_.failed();
  next_ = now_s() + back_ * (0.5 + random01());
  back_ = std::min(back_ * 1.5, 0.3);
  on_down.emit(*this);
}

void Link::tick(Secs now) {
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
    probe_ = Channel::dial(eb_, to_);
    probe_->on_up.connect([this](Channel&) {
      // Out of the probe's own callback: it becomes the channel.
      after(eb_, 0, [this, p = probe_] {
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
  if (now - ch_->sent() > ping_s_) ch_->send(Kind::ping, 0, std::string_view());
}

Relay::Relay(event_base* eb, Addr const& at, u32 port, std::function<bool(std::string const&)> known)
    : eb_(eb), port_(port), known_(std::move(known)), door_(eb, at) {
  door_.on_channel.connect([this](ChannelP c) { took(std::move(c)); });
}

void Relay::took(ChannelP c) {
  u64 const id = c->id();
  pipes_[id].down = c;
  pipes_[id].since = now_s();
  c->on_letter.connect([this, id](Channel& ch, Letter const& l) {
    auto const it = pipes_.find(id);
    if (it == pipes_.end()) return;
    Pipe& p = it->second;
    if (p.up) {
      p.up->send(l.kind, l.tag, l.body);
      return;
    }
    if (l.kind != Kind::via || !known_(l.as<ViaAsk>().ip)) {
      shut(id);
      return;
    }
    p.up = Channel::dial(eb_, Addr{l.as<ViaAsk>().ip, port_});
    p.up->on_up.connect([w = ch.weak_from_this()](Channel&) {
      ViaR r;
      r.ok = true;
      if (auto const d = w.lock()) d->send(Kind::viaR, 0, r);
    });
    p.up->on_letter.connect([w = ch.weak_from_this()](Channel&, Letter const& x) {
      if (auto const d = w.lock()) d->send(x.kind, x.tag, x.body);
    });
    p.up->on_down.connect([this, id](Channel&) { shut(id); });
  });
  c->on_down.connect([this, id](Channel&) { shut(id); });
}

void Relay::shut(u64 id) {
  after(eb_, 0, [this, id] {
    auto const it = pipes_.find(id);
    if (it == pipes_.end()) return;
    it->second.down->close();
    if (it->second.up) it->second.up->close();
    pipes_.erase(it);
  });
}

void Relay::tick(Secs now) {
  for (auto& [id, p] : pipes_) {
    bool const dead = p.up ? (p.up->up() ? now - p.up->heard() > 1.5 : now - p.since > 2.5) : now - p.since > 2.0;
    if (dead || now - p.down->heard() > 3.0)
      shut(id);
    else if (p.up && p.up->up() && now - p.up->sent() > 0.5)
      p.up->send(Kind::ping, 0, std::string_view());
  }
}

}  // namespace dockbend
