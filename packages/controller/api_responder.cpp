#include "controller/api_responder.hpp"

#include "request/headers.hpp"
#include "transport/counters.hpp"
#include "transport/event_owners.hpp"
#include "transport/http_reply.hpp"

namespace dockbend {

namespace {
constexpr char kRetryAfterSeconds[] = "0.3";
constexpr Seconds kLateAnswerSeconds = 1.0;  // operators then ask another controller
constexpr int kFirstServerError = 500;

/// Servers and clients call too often for a line each.
bool is_operator_call(std::string_view uri) {
  return uri.starts_with("/-/") && !uri.starts_with("/-/Servers.") && !uri.starts_with("/-/resolve");
}
}  // namespace

ApiResponse error_response(int code, std::string const& what) {
  schema::ErrorResponse error;
  error.error_response = what;
  return {code, json::render(error)};
}

ApiResponse answer_of(CommandResult const& result) {
  int const code = http_status_of(result.status);
  if (code != 200) return error_response(code, result.reason);
  return {code, result.run_id == 0 ? std::string("{}") : "{\"id\":\"" + std::to_string(result.run_id) + "\"}"};
}

void ApiResponder::write(evhttp_request* request, ApiResponse const& response) {
  last_answered_ = request;
  log_if_late_or_failed(request, response.code);
  if (response.code == 400) ++rejected_input().calls;
  evkeyvalq* const headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Content-Type", "application/json");
  if (closes_connections_) evhttp_add_header(headers, "Connection", "close");
  if (!response.location.empty()) evhttp_add_header(headers, "Location", response.location.c_str());
  if (response.code == 503) evhttp_add_header(headers, "Retry-After", kRetryAfterSeconds);
  BufferOwner const body(evbuffer_new());
  evbuffer_add(body.get(), response.body.data(), response.body.size());
  send_reply(request, response.code, reason_phrase(response.code), body.get());
}

void ApiResponder::log_if_late_or_failed(evhttp_request* request, int code) {
  auto const call = began_at_.find(request);
  if (call == began_at_.end()) return;
  Seconds const elapsed = steady_now() - call->second;
  began_at_.erase(call);
  if (code < kFirstServerError && elapsed <= kLateAnswerSeconds) return;
  std::string_view const uri = evhttp_request_get_uri(request);
  if (!is_operator_call(uri)) return;
  DB_LOG("controller");
  LOG4CPLUS_INFO(logger, "A call to " << uri << " was answered with " << code << " after " << elapsed << " s.");
}

void ApiResponder::on_handler_failed(evhttp_request* request, std::exception const& error) {
  DB_LOG("controller");
  LOG4CPLUS_WARN(logger,
                 "A call to " << evhttp_request_get_uri(request) << " could not be handled: " << error.what() << ".");
  if (last_answered_ != request) write(request, error_response(500, error.what()));
}

}  // namespace dockbend
