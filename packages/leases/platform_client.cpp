#include "leases/platform_client.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <cstdlib>

#include "transport/transport.hpp"

namespace dockbend {

void PlatformClient::post(std::string const& path, std::vector<std::pair<std::string, std::string>> const& heads,
                          std::string const& body, Seconds within, Done done) {
  reset();
  done_ = std::move(done);
  bufferevent* bev = bufferevent_socket_new(loop_, -1, BEV_OPT_DEFER_CALLBACKS);
  ec_ = evhttp_connection_base_bufferevent_new(loop_, nullptr, bev, to_.ip.c_str(), static_cast<ev_uint16_t>(to_.port));
  tag_ = new Tag{this};
  evhttp_request* r = evhttp_request_new(
      [](evhttp_request* q, void* p) {
        PlatformClient* const e = static_cast<Tag*>(p)->e;
        if (e == nullptr) return;
        int const code = q == nullptr ? 0 : evhttp_request_get_response_code(q);
        Seconds wait = -1;
        if (code != 0)
          if (char const* ra = evhttp_find_header(evhttp_request_get_input_headers(q), "Retry-After"); ra != nullptr)
            wait = std::strtod(ra, nullptr);
        e->over(code, wait);
      },
      tag_);
  evkeyvalq* out = evhttp_request_get_output_headers(r);
  evhttp_add_header(out, "Host", to_.str().c_str());
  evhttp_add_header(out, "Content-Type", "application/json");
  evhttp_add_header(out, "Connection", "close");
  for (auto const& [k, v] : heads)
    evhttp_add_header(out, k.c_str(), v.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(r), body.data(), body.size());
  timer_ = evtimer_new(
      loop_, [](evutil_socket_t, short, void* p) { static_cast<PlatformClient*>(p)->over(0, -1); }, this);
  timeval const tv{static_cast<time_t>(within),
                   static_cast<suseconds_t>((within - static_cast<double>(static_cast<time_t>(within))) * 1e6)};
  evtimer_add(timer_, &tv);
  if (evhttp_make_request(ec_, r, EVHTTP_REQ_POST, path.c_str()) != 0) {
    after(loop_, 0, [this, ec = ec_] {
      if (ec_ == ec) over(0, -1);
    });
    return;
  }
  tune_socket(bufferevent_getfd(bev), static_cast<int>(within * 1000));
}

void PlatformClient::over(int code, Seconds retry_after) {
  Done d;
  d.swap(done_);
  // libevent may still be inside this connection's callback.
  evhttp_connection* const ec = ec_;
  Tag* const tag = tag_;
  ec_ = nullptr;
  tag_ = nullptr;
  if (timer_ != nullptr) event_free(timer_);
  timer_ = nullptr;
  if (ec != nullptr) {
    tag->e = nullptr;
    bufferevent* const bev = evhttp_connection_get_bufferevent(ec);
    bufferevent_disable(bev, EV_READ | EV_WRITE);
    if (evutil_socket_t const fd = bufferevent_getfd(bev); fd >= 0) {
      linger const hard{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    }
    after(loop_, 0, [ec, tag] {
      evhttp_connection_free(ec);
      delete tag;
    });
  }
  if (d) d(code, retry_after);
}

void PlatformClient::reset() {
  done_ = nullptr;
  if (ec_ != nullptr) over(0, -1);
}

}  // namespace dockbend
