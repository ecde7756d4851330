#include "controller/http_listener.hpp"

#include <stdexcept>

#include "transport/http_reply.hpp"

namespace dockbend {

namespace {
constexpr ev_uint16_t kAllMethods = 0xffff;  // the handler answers 405 itself
constexpr ev_ssize_t kMaxHeaderBytes = 16384;
constexpr ev_ssize_t kMaxBodyBytes = 16 << 20;
constexpr int kTimeoutSeconds = 30;
}  // namespace

HttpListener::HttpListener(event_base* loop, Address const& address, Handler handler)
    : handler_(std::move(handler)), server_(evhttp_new(loop)) {
  evhttp_set_allowed_methods(server_.get(), kAllMethods);
  evhttp_set_gencb(server_.get(), &HttpListener::on_request, this);
  evhttp_set_max_headers_size(server_.get(), kMaxHeaderBytes);
  evhttp_set_max_body_size(server_.get(), kMaxBodyBytes);
  evhttp_set_timeout(server_.get(), kTimeoutSeconds);
  trim_own_replies_of(server_.get());
  if (evhttp_bind_socket(server_.get(), address.ip.c_str(), static_cast<ev_uint16_t>(address.port)) != 0)
    throw std::runtime_error("can't listen at " + address.str());
}

void HttpListener::on_request(evhttp_request* request, void* self) {
  static_cast<HttpListener*>(self)->handler_(request);
}

}  // namespace dockbend
