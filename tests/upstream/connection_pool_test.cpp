// Connections to servers against a bare socket in the same process and the same loop.
#include <criterion/criterion.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <unistd.h>

#include <functional>

#include "transport/periodic_timer.hpp"
#include "upstream/connection_pool.hpp"

using namespace dockbend;

namespace {

// A server's bare socket on loopback: counts what it got, answers and closes on demand.
struct Sink {
  event_base* loop = precise();
  evconnlistener* ls = nullptr;
  std::vector<bufferevent*> conns;
  std::size_t bytes = 0;
  u32 port = 0;
  static event_base* precise() {
    event_config* const c = event_config_new();
    event_config_set_flag(c, EVENT_BASE_FLAG_PRECISE_TIMER);
    event_base* const b = event_base_new_with_config(c);
    event_config_free(c);
    return b;
  }
  Sink() {
    sockaddr_in sa{};
    sa.sin_family = AF_INET;
    sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ls = evconnlistener_new_bind(
        loop,
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* p) {
          Sink* const s = static_cast<Sink*>(p);
          bufferevent* const b = bufferevent_socket_new(s->loop, fd, BEV_OPT_CLOSE_ON_FREE);
          bufferevent_setcb(
              b,
              [](bufferevent* x, void* q) {
                static_cast<Sink*>(q)->bytes += evbuffer_get_length(bufferevent_get_input(x));
              },
              nullptr, [](bufferevent*, short, void*) {}, s);
          bufferevent_enable(b, EV_READ | EV_WRITE);
          s->conns.push_back(b);
        },
        this, LEV_OPT_CLOSE_ON_FREE, 8, reinterpret_cast<sockaddr*>(&sa), sizeof sa);
    cr_assert(ls != nullptr);
    socklen_t n = sizeof sa;
    getsockname(evconnlistener_get_fd(ls), reinterpret_cast<sockaddr*>(&sa), &n);
    port = ntohs(sa.sin_port);
  }
  ~Sink() {
    for (bufferevent* b : conns)
      bufferevent_free(b);
    evconnlistener_free(ls);
    event_base_free(loop);
  }
  void turn(int n) {
    for (int i = 0; i < n; ++i)
      event_base_loop(loop, EVLOOP_NONBLOCK);
  }
  template <class F>
  void until(F f) {
    for (int i = 0; i < 100000 && !f(); ++i)
      turn(1);
    cr_assert(f());
  }
  // Runs f in one turn with what the sockets hold by then: behind their events, before
  // what these put off to the end of the turn.
  void within_the_turn(
      std::function<void()> f, std::function<void()> first = [] {}) {
    bool ran = false;
    after(loop, 1e-5, [&] {
      ran = true;
      f();
    });
    for (Seconds const t = steady_now(); steady_now() - t < 0.001;) {
    }
    first();
    turn(1);
    cr_assert(ran);
  }
  void answer(std::string const& a) {
    bufferevent_write(conns.at(0), a.data(), a.size());
    turn(1);
  }
  void close() {
    shutdown(bufferevent_getfd(conns.at(0)), SHUT_RDWR);
    bufferevent_free(conns.at(0));
    conns.clear();
  }
};

Settings settings() {
  Settings st;
  st.zone = "elm";
  st.region = "east";
  st.zones["elm"] = "east";
  return st;
}

struct PoolWithServer {
  Sink sink;
  Settings st = settings();
  LoadBalancer as{st};
  ConnectionPool pool{sink.loop, as};
  int returns = 0;
  bool is_complete = false;
  PoolWithServer() {
    LoadBalancer::ServerUpdate s;
    s.id = "s1";
    s.service = "p";
    s.address = "127.0.0.1:" + std::to_string(sink.port);
    s.zone = "elm";
    s.ready = true;
    as.replace_servers({s}, 0);
    pool.on_return.connect([this](UpstreamConnection&, evhttp_request* r) {
      ++returns;
      is_complete = r != nullptr && evhttp_request_get_response_code(r) == 200;
    });
  }
  UpstreamConnection& send(Seconds now) {
    UpstreamConnection& c = pool.acquire(ServerIndex(0), 60, now, nullptr);
    evhttp_request* const u = pool.new_request(c);
    evhttp_add_header(evhttp_request_get_output_headers(u), "Connection", "keep-alive");
    cr_assert(pool.send(c, u, EVHTTP_REQ_GET, "/x", 1000));
    return c;
  }
};

}  // namespace

// Retired at each turn of the loop from the connect to the first byte, and within the turn in which the connect comes
// up: as long as the connection says that nothing was sent, nothing ever is.
Test(connection_pool, a_connection_retired_before_the_first_byte_sends_none_later) {
  int before = 0;
  for (int turns = -1; turns < 8; ++turns) {
    PoolWithServer d;
    UpstreamConnection& c = d.send(0);
    bool left = false;
    auto const retire = [&] {
      left = c.has_sent;
      d.pool.abort(c);
    };
    if (turns < 0) {
      d.sink.within_the_turn(retire);
    } else {
      d.sink.turn(turns);
      retire();
    }
    d.sink.turn(20);
    if (left) break;
    ++before;
    cr_assert_eq(d.sink.bytes, 0u, "after %d turns", turns);
    cr_assert_eq(d.returns, 0);
  }
  cr_assert_gt(before, 1);
}

// A kept connection that its server closes in the very turn in which a request is made on it: libevent neither sends it
// again nor elsewhere, and the bytes that it throws away do not count as sent.
Test(connection_pool, a_close_met_by_a_send_is_known_to_have_sent_nothing) {
  PoolWithServer d;
  UpstreamConnection& c = d.send(0);
  d.sink.until([&] { return d.sink.bytes > 0; });
  cr_assert(c.has_sent);
  d.sink.answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  d.sink.until([&] { return d.returns == 1; });
  cr_assert(d.is_complete);
  d.pool.release_idle(c, 4, 1);
  d.sink.bytes = 0;
  bool same = false;
  d.sink.within_the_turn([&] { same = &d.send(1.1) == &c; }, [&] { d.sink.close(); });
  cr_assert(same);
  d.sink.turn(20);
  cr_assert_eq(d.returns, 2);
  cr_assert_not(d.is_complete || c.has_sent);
  cr_assert(d.sink.conns.empty() && d.sink.bytes == 0);
}

// After the first byte a close proves nothing about whether the request ran; and it is not sent again.
Test(connection_pool, a_close_after_the_first_byte_proves_nothing_and_sends_nothing_again) {
  PoolWithServer d;
  UpstreamConnection& c = d.send(0);
  d.sink.until([&] { return d.sink.bytes > 0; });
  std::size_t const n = d.sink.bytes;
  d.sink.answer("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok");
  d.sink.close();
  d.sink.until([&] { return d.returns == 1; });
  cr_assert(c.has_sent && !d.is_complete, "an answer that ends early is none");
  d.sink.turn(20);
  cr_assert(d.sink.conns.empty() && d.sink.bytes == n);
}

namespace {
// An event that comes in the loop's next turn, before those that are waited for only later.
struct EarlyEvent {
  EarlyEvent(event_base* loop, std::function<void()> callback) : run(std::move(callback)) {
    cr_assert_eq(pipe(ends), 0);
    cr_assert_eq(write(ends[1], "x", 1), 1);
    event_ = event_new(
        loop, ends[0], EV_READ, [](evutil_socket_t, short, void* self) { static_cast<EarlyEvent*>(self)->run(); },
        this);
    event_add(event_, nullptr);
  }
  ~EarlyEvent() {
    event_free(event_);
    close(ends[0]);
    close(ends[1]);
  }
  std::function<void()> run;
  int ends[2] = {-1, -1};
  event* event_ = nullptr;
};
}  // namespace

// Its socket takes bytes, and the loop knows it already, when the connection is retired.
Test(connection_pool, a_kept_connection_retired_in_the_turn_of_its_write_sends_nothing) {
  PoolWithServer d;
  UpstreamConnection& c = d.send(0);
  d.sink.until([&] { return d.sink.bytes > 0; });
  d.sink.answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  d.sink.until([&] { return d.returns == 1; });
  d.pool.release_idle(c, 4, 1);
  d.sink.turn(3);
  d.sink.bytes = 0;
  bool had_sent = true;
  EarlyEvent const retire(d.sink.loop, [&] {
    had_sent = c.has_sent;
    d.pool.abort(c);
  });
  cr_assert_eq(&d.send(1.1), &c);
  d.sink.turn(20);
  cr_assert_not(had_sent);
  cr_assert_eq(d.sink.bytes, 0u);
}

namespace {
// The error at the server's side of its newest connection, once that has ended; 0: it was closed.
int error_at_server(PoolWithServer& d) {
  bool has_ended = false;
  bufferevent* const socket = d.sink.conns.back();
  bufferevent_setcb(
      socket, nullptr, nullptr, [](bufferevent*, short, void* ended) { *static_cast<bool*>(ended) = true; },
      &has_ended);
  d.sink.until([&] { return has_ended; });
  int error = 0;
  socklen_t length = sizeof error;
  cr_assert_eq(getsockopt(bufferevent_getfd(socket), SOL_SOCKET, SO_ERROR, &error, &length), 0);
  return error;
}
}  // namespace

// A server may take a close for a half-close, and work on.
Test(connection_pool, an_exchange_that_is_broken_off_is_reset_and_an_idle_connection_is_closed) {
  PoolWithServer broken_off;
  UpstreamConnection& at_work = broken_off.send(0);
  broken_off.sink.until([&] { return broken_off.sink.bytes > 0; });
  broken_off.pool.abort(at_work);
  cr_assert_neq(error_at_server(broken_off), 0);

  PoolWithServer complete;
  UpstreamConnection& idle = complete.send(0);
  complete.sink.until([&] { return complete.sink.bytes > 0; });
  complete.sink.answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  complete.sink.until([&] { return complete.returns == 1; });
  complete.pool.release_idle(idle, 4, 1);
  complete.pool.retire_expired(6);
  cr_assert_eq(error_at_server(complete), 0);
}

namespace {
// How long until libevent gives up on silence at this socket; < 0: there is no such limit.
struct SilenceLimit {
  evutil_socket_t fd;
  Seconds left = -1;
};
Seconds silence_limit(event_base* loop, UpstreamConnection& c) {
  SilenceLimit l{bufferevent_getfd(evhttp_connection_get_bufferevent(c.http.get()))};
  event_base_foreach_event(
      loop,
      [](event_base const*, event const* e, void* p) {
        SilenceLimit& x = *static_cast<SilenceLimit*>(p);
        timeval at{}, now{};
        if (event_get_fd(e) != x.fd || (event_get_events(e) & EV_READ) == 0 || event_pending(e, EV_TIMEOUT, &at) == 0)
          return 0;
        // event_pending speaks of the wall clock.
        evutil_gettimeofday(&now, nullptr);
        x.left = static_cast<Seconds>(at.tv_sec - now.tv_sec) + static_cast<Seconds>(at.tv_usec - now.tv_usec) * 1e-6;
        return 0;
      },
      &l);
  return l.left;
}
}  // namespace

// The deadline of a request comes from the configuration: the connection has no shorter limit of its own.
Test(connection_pool, a_servers_silence_ends_no_request) {
  PoolWithServer d;
  UpstreamConnection* c = &d.send(0);
  for (int i = 0; i < 2; ++i) {  // on a new connection and on a kept one
    std::size_t const before = d.sink.bytes;
    d.sink.until([&] { return d.sink.bytes > before; });
    d.sink.turn(3);
    cr_assert_gt(silence_limit(d.sink.loop, *c), 1e9);
    d.sink.answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    d.sink.until([&] { return d.returns == i + 1; });
    cr_assert(d.is_complete);
    d.pool.release_idle(*c, 30, 0);
    d.sink.turn(3);
    cr_assert_lt(silence_limit(d.sink.loop, *c), 61);
    if (i == 0) {
      UpstreamConnection& again = d.send(1);
      cr_assert_eq(&again, c);
    }
  }
}
