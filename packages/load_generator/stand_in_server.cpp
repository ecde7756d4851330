#include "load_generator/stand_in_server.hpp"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <cstring>
#include <utility>

#include "configuration/json.hpp"
#include "configuration/schema.hpp"

namespace dockbend {
namespace {

Seconds constexpr kHeartbeatPeriod = 1;
std::size_t constexpr kLargeBodyBytes = 100000;
int constexpr kMisdirected = 421;

void add_header(evhttp_request* request, char const* name, std::string const& value) {
  evhttp_add_header(evhttp_request_get_output_headers(request), name, value.c_str());
}

char const* find_header(evhttp_request* request, char const* name) {
  return evhttp_find_header(evhttp_request_get_input_headers(request), name);
}

}  // namespace

StandInServer::StandInServer(event_base* loop, StandInOptions options)
    : loop_(loop), options_(std::move(options)), heartbeat_requests_(loop), http_server_(evhttp_new(loop)) {
  evhttp_set_gencb(
      http_server_.get(),
      [](evhttp_request* request, void* server) { static_cast<StandInServer*>(server)->on_request(request); }, this);
}

bool StandInServer::start() {
  Address const& address = *options_.address;
  if (evhttp_bind_socket(http_server_.get(), address.ip.c_str(), static_cast<ev_uint16_t>(address.port)) != 0)
    return false;
  if (options_.heartbeat_target) {
    send_heartbeat();
    heartbeat_timer_.emplace(loop_, kHeartbeatPeriod, [this] { send_heartbeat(); });
  }
  return true;
}

void StandInServer::on_request(evhttp_request* request) {
  char const* const uri = evhttp_request_get_uri(request);
  if (std::strcmp(uri, "/health") == 0) return answer_health(request);
  if (std::strcmp(uri, "/counts") == 0) return answer_counts(request);
  admit(request);
}

void StandInServer::answer_health(evhttp_request* request) const {
  add_header(request, "X-Server-Id", options_.id);
  evhttp_send_reply(request, HTTP_OK, "OK", nullptr);
}

void StandInServer::answer_counts(evhttp_request* request) const {
  BufferOwner const body(evbuffer_new());
  evbuffer_add_printf(body.get(), "{\"id\":\"%s\",\"runs\":%llu,\"keys\":%zu,\"keysRunTwice\":%llu}\n",
                      options_.id.c_str(), static_cast<unsigned long long>(finished_), operation_keys_.size(),
                      static_cast<unsigned long long>(keys_run_twice_));
  evhttp_send_reply(request, HTTP_OK, "OK", body.get());
}

/// Runs the request, lets it wait, or refuses it.
void StandInServer::admit(evhttp_request* request) {
  char const* const attempt_id = find_header(request, "X-Attempt-Id");
  if (attempt_id != nullptr) add_header(request, "X-Attempt-Id", attempt_id);
  char const* const target = find_header(request, "X-Target-Server");
  bool const is_busy = running_ >= options_.capacity;
  if (target != nullptr && options_.id != target) {
    add_header(request, "X-Server-Id", options_.id);
    evhttp_send_reply(request, kMisdirected, "Misdirected Request", nullptr);
  } else if (attempt_id == nullptr || (is_busy && waiting_.size() >= options_.capacity)) {
    add_header(request, "X-Not-Run", "1");
    evhttp_send_reply(request, attempt_id == nullptr ? HTTP_BADREQUEST : HTTP_SERVUNAVAIL, "Not Run", nullptr);
  } else if (is_busy) {
    waiting_.push_back(request);
  } else {
    run(request);
  }
}

void StandInServer::run(evhttp_request* request) {
  ++running_;
  if (char const* const key = find_header(request, "X-Operation-Key"); key != nullptr)
    keys_run_twice_ += operation_keys_.insert(key).second ? 0 : 1;
  bool const is_large = evbuffer_get_length(evhttp_request_get_input_buffer(request)) > kLargeBodyBytes;
  Seconds const work_time = is_large && options_.upload_time > 0 ? options_.upload_time : options_.work_time;
  after(loop_, work_time, [this, request] { finish(request); });
}

void StandInServer::finish(evhttp_request* request) {
  --running_;
  ++finished_;
  add_header(request, "X-Server-Seal", options_.id + "." + std::to_string(finished_));
  BufferOwner const body(evbuffer_new());
  evbuffer_add_printf(body.get(), "run %llu\n", static_cast<unsigned long long>(finished_));
  evhttp_send_reply(request, HTTP_OK, "OK", body.get());
  if (waiting_.empty()) return;
  evhttp_request* const next = waiting_.front();
  waiting_.pop_front();
  run(next);
}

void StandInServer::send_heartbeat() {
  schema::Heartbeat heartbeat{};
  heartbeat.service = options_.service;
  heartbeat.address = options_.address->str();
  heartbeat.zone = options_.zone;
  heartbeat.generation = "v1";
  heartbeat.capacity = options_.capacity;
  heartbeat.state = "ready";
  heartbeat.coldLeftS = 0;
  heartbeat.callSeq = ++heartbeats_;
  heartbeat_requests_.send(*options_.heartbeat_target,
                           {EVHTTP_REQ_POST, "/-/Servers.Heartbeat/" + options_.id, json::render(heartbeat)},
                           [](evhttp_request*) {});
}

}  // namespace dockbend
