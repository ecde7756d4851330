#include "load_generator/single_requests.hpp"

#include <utility>

#include "transport/periodic_timer.hpp"

namespace dockbend {
namespace {
int constexpr kAnswerTimeoutSeconds = 1;
}

void RetiredConnections::retire(HttpConnectionOwner connection) {
  if (connection == nullptr) return;
  connections_->push_back(std::move(connection));
  after(loop_, 0, [weak = std::weak_ptr(connections_)] {
    if (auto const connections = weak.lock()) connections->clear();
  });
}

SingleRequests::~SingleRequests() {
  is_closing_ = true;
  pending_.clear();
}

void SingleRequests::send(Address const& target, SingleRequest const& request, AnswerHandler on_answer) {
  auto owned = std::make_unique<Pending>();
  Pending* const pending = owned.get();
  pending_.emplace(pending, std::move(owned));
  pending->owner = this;
  pending->on_answer = std::move(on_answer);
  pending->connection.reset(
      evhttp_connection_base_new(loop_, nullptr, target.ip.c_str(), static_cast<ev_uint16_t>(target.port)));
  evhttp_connection* const connection = pending->connection.get();
  evhttp_connection_set_timeout(connection, kAnswerTimeoutSeconds);
  evhttp_request* const sent = evhttp_request_new(
      [](evhttp_request* answer, void* argument) {
        auto* const answered = static_cast<Pending*>(argument);
        answered->owner->on_answer(answered, answer);
      },
      pending);
  evkeyvalq* const headers = evhttp_request_get_output_headers(sent);
  evhttp_add_header(headers, "Host", target.str().c_str());
  if (!request.json_body.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(sent), request.json_body.data(), request.json_body.size());
  }
  evhttp_make_request(connection, sent, request.method, request.path.c_str());
}

void SingleRequests::on_answer(Pending* pending, evhttp_request* answer) {
  if (is_closing_) return;
  pending->on_answer(answer);
  retired_.retire(std::move(pending->connection));
  pending_.erase(pending);
}

}  // namespace dockbend
