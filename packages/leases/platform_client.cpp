#include "leases/platform_client.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <cstdlib>
#include <utility>

#include "transport/event_owners.hpp"
#include "transport/periodic_timer.hpp"
#include "transport/socket_options.hpp"

namespace dockbend {
namespace {

timeval timeval_of(Seconds duration) {
  auto const whole_seconds = static_cast<time_t>(duration);
  return {whole_seconds, static_cast<suseconds_t>((duration - static_cast<double>(whole_seconds)) * 1e6)};
}

/// What a finished request brought; request is nullptr if there was no answer.
PlatformResponse response_of(evhttp_request* request) {
  PlatformResponse response;
  response.status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
  if (response.status == 0) return response;
  char const* const retry_after = evhttp_find_header(evhttp_request_get_input_headers(request), "Retry-After");
  if (retry_after != nullptr) response.retry_after = std::strtod(retry_after, nullptr);
  return response;
}

/// Makes the close of this connection a reset: what is still buffered is not sent.
void reset_on_close(evhttp_connection* connection) {
  bufferevent* const buffered = evhttp_connection_get_bufferevent(connection);
  bufferevent_disable(buffered, EV_READ | EV_WRITE);
  dockbend::reset_on_close(bufferevent_getfd(buffered));
}

}  // namespace

struct PlatformClient::Call {
  PlatformClient* owner = nullptr;  // nullptr once the call is over: late callbacks do nothing
  ResponseHandler on_response;
  EventOwner deadline_timer;
  HttpConnectionOwner connection;  // freed first: that may call back with this Call

  void finish(PlatformResponse const& response) const {
    if (owner != nullptr) owner->finish(response);
  }
};

PlatformClient::PlatformClient(event_base* loop, Address platform) : loop_(loop), platform_(std::move(platform)) {}

PlatformClient::~PlatformClient() {
  cancel();
}

void PlatformClient::post(std::string const& path, std::vector<Header> const& headers, std::string const& body,
                          Seconds deadline, ResponseHandler on_response) {
  cancel();
  bufferevent* const buffered = bufferevent_socket_new(loop_, -1, BEV_OPT_DEFER_CALLBACKS);
  call_ = std::make_shared<Call>();
  call_->owner = this;
  call_->on_response = std::move(on_response);
  call_->connection.reset(evhttp_connection_base_bufferevent_new(loop_, nullptr, buffered, platform_.ip.c_str(),
                                                                 static_cast<ev_uint16_t>(platform_.port)));
  evhttp_request* const request = evhttp_request_new(
      [](evhttp_request* answered, void* call) { static_cast<Call*>(call)->finish(response_of(answered)); },
      call_.get());
  evkeyvalq* const request_headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(request_headers, "Host", platform_.str().c_str());
  evhttp_add_header(request_headers, "Content-Type", "application/json");
  evhttp_add_header(request_headers, "Connection", "close");
  for (Header const& header : headers)
    evhttp_add_header(request_headers, header.name.c_str(), header.value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
  start_deadline(deadline);
  if (evhttp_make_request(call_->connection.get(), request, EVHTTP_REQ_POST, path.c_str()) != 0) {
    // Not from within post(): the caller may not be ready for it.
    after(loop_, 0, [failed = std::weak_ptr<Call>(call_)] {
      if (auto const call = failed.lock()) call->finish({});
    });
    return;
  }
  tune_socket(bufferevent_getfd(buffered), static_cast<int>(deadline * 1000));
}

void PlatformClient::start_deadline(Seconds deadline) {
  call_->deadline_timer.reset(evtimer_new(
      loop_, [](evutil_socket_t, short, void* call) { static_cast<Call*>(call)->finish({}); }, call_.get()));
  timeval const timeout = timeval_of(deadline);
  evtimer_add(call_->deadline_timer.get(), &timeout);
}

void PlatformClient::finish(PlatformResponse const& response) {
  std::shared_ptr<Call> const call = std::move(call_);
  call_ = nullptr;
  call->owner = nullptr;
  call->deadline_timer.reset();
  reset_on_close(call->connection.get());
  // libevent may still be inside this connection's callback: the reference held here lets the connection live until
  // the loop's next turn, which drops it.
  after(loop_, 0, [call] {});
  // Taken out, so that the handler and what it holds end here and not with the connection.
  ResponseHandler const on_response = std::exchange(call->on_response, nullptr);
  if (on_response) on_response(response);
}

void PlatformClient::cancel() {
  if (call_ == nullptr) return;
  call_->on_response = nullptr;
  finish({});
}

}  // namespace dockbend
