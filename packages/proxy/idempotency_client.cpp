#include "proxy/idempotency_client.hpp"

#include <algorithm>
#include <optional>

namespace dockbend {
namespace {
Seconds constexpr kRetryAfterAgentLoss = 0.3;
}  // namespace

void IdempotencyClient::refuse(ProxiedRequest& request, LocalReply const& reply, char const* reason) {
  flow_.carry_out(request, request.machine.on_key_refused(reply, reason));
}

void IdempotencyClient::acquire(ProxiedRequest& request) {
  if (!context_.agent.up()) return refuse(request, make_local_reply(503, kRetryAfterAgentLoss));
  request.key_holder = random64() | 1;
  u32 const tag = context_.requests.open_key_request(request);
  AcquireKeyRequest message;
  set_operation(message, request.operation);
  message.client = request.client;
  message.holder = request.key_holder;
  message.work_ms = static_cast<u32>(std::max(0.0, request.deadline() - steady_now()) * 1000);
  message.homes = request.homes;
  context_.agent.send(MessageType::acquire_key_request, tag, message);
  request.set_timer(request.deadline());
}

void IdempotencyClient::on_response(u32 tag, AcquireKeyResponse const& response) {
  ProxiedRequest* const request = context_.requests.close_key_request(
      tag, [&](ProxiedRequest const& candidate) { return response.holder == candidate.key_holder; });
  if (request == nullptr) return;
  // A stored answer that can't be read ends the agent's connection, but its client gets an answer before that.
  std::optional<StoredAnswer> stored;
  if (response.result == AcquireResult::repeat) {
    try {
      stored = codec::unpack<StoredAnswer>(response.stored_answer);
    } catch (codec::MalformedMessage const&) {
      refuse(*request, make_local_reply(502));
      throw;
    }
    if (stored->code < 200 || stored->code > 599) return refuse(*request, make_local_reply(502));
  }
  switch (response.result) {
    case AcquireResult::run: return flow_.carry_out(*request, request->machine.on_key_granted());
    case AcquireResult::repeat: return repeat(*request, *stored);
    case AcquireResult::at_work:
      return refuse(*request, make_local_reply(409, 0.1 + 0.3 * request->route->latency_target));
    case AcquireResult::lost: return refuse(*request, make_local_reply(502));
    case AcquireResult::unavailable:
      return refuse(*request, make_local_reply(503, 0.2 + 0.2 * random01()), "key not granted");
    default:
      return refuse(*request, make_local_reply(502));  // a result that this release doesn't know promises nothing
  }
}

void IdempotencyClient::repeat(ProxiedRequest& request, StoredAnswer const& answer) {
  if (!operation_of(answer).may_equal(request.operation)) {
    context_.requests.filter().count_discard(ResponseRejection::other_key);
    return refuse(request, make_local_reply(502));
  }
  flow_.carry_out(request, request.machine.on_stored_answer());
  writer_.write_stored_answer(request, answer);
  flow_.finish(request);
}

void IdempotencyClient::on_agent_down() {
  context_.requests.close_all_key_requests([this](ProxiedRequest& request) {
    flow_.carry_out(request, request.machine.on_agent_lost(kRetryAfterAgentLoss));
  });
}

}  // namespace dockbend
