#include "request/headers.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace dockbend {
namespace {

/// Digits of a Content-Length that is still believed.
std::size_t constexpr kMostLengthDigits = 15;

/// A token as in RFC 9110, 5.6.2.
bool is_token(std::string_view text) {
  static auto const is_token_character = [] {
    std::array<bool, 256> table{};
    for (char const c :
         std::string_view("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"))
      table[static_cast<u8>(c)] = true;
    return table;
  }();
  for (char const c : text)
    if (!is_token_character[static_cast<u8>(c)]) return false;
  return !text.empty();
}

bool read_length(std::string const& text, u64& length) {
  if (text.empty() || text.size() > kMostLengthDigits) return false;
  length = 0;
  for (char const c : text) {
    if (c < '0' || c > '9') return false;
    length = length * 10 + static_cast<u64>(c - '0');
  }
  return true;
}

bool has_no_body(UpstreamResponse const& response) {
  return response.status == 204 || response.status == 304 || response.answers_head_request;
}

bool has_sound_frame(UpstreamResponse const& response) {
  u64 length = 0;
  BodyFraming const framing = body_framing(response.headers, length);
  if (framing == BodyFraming::ambiguous) return false;
  if (framing == BodyFraming::length && !has_no_body(response) && length != response.body_bytes) return false;
  return response.status >= 200 && response.status <= 599;
}

ResponseCheck rejected(ResponseRejection cause) {
  return {AttemptResult::broken, cause};
}

}  // namespace

bool equal_ignoring_case(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), [](char left, char right) {
    return std::tolower(static_cast<unsigned char>(left)) == std::tolower(static_cast<unsigned char>(right));
  });
}

std::string const* find_header(Headers const& headers, std::string_view name) {
  for (auto const& [candidate, value] : headers)
    if (same_header_name(candidate, name)) return &value;
  return nullptr;
}

bool is_hop_by_hop(std::string_view name) {
  for (char const* candidate : {"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE", "Trailer",
                                "Upgrade", "Content-Length", "Expect", "Proxy-Authenticate", "Proxy-Authorization"})
    if (same_header_name(name, candidate)) return true;
  return false;
}

BodyFraming body_framing(Headers const& headers, u64& length) {
  std::string const *length_text = nullptr, *coding = nullptr;
  for (auto const& [name, value] : headers) {
    if (same_header_name(name, "Content-Length")) {
      if (length_text != nullptr) return BodyFraming::ambiguous;
      length_text = &value;
    } else if (same_header_name(name, "Transfer-Encoding")) {
      if (coding != nullptr) return BodyFraming::ambiguous;
      coding = &value;
    }
  }
  if (length_text != nullptr && coding != nullptr) return BodyFraming::ambiguous;
  if (coding != nullptr) return same_header_name(*coding, "chunked") ? BodyFraming::chunked : BodyFraming::ambiguous;
  if (length_text == nullptr) return BodyFraming::none;
  return read_length(*length_text, length) ? BodyFraming::length : BodyFraming::ambiguous;
}

bool ends_with_connection(UpstreamResponse const& response) {
  u64 length = 0;
  return !has_no_body(response) && body_framing(response.headers, length) == BodyFraming::none;
}

bool are_well_formed(Headers const& headers) {
  std::size_t attempt_ids = 0;
  for (auto const& [name, value] : headers) {
    if (!is_token(name) || value.find('\r') != std::string::npos) return false;
    attempt_ids += same_header_name(name, "X-Attempt-Id") ? 1 : 0;
  }
  return attempt_ids < 2;
}

bool is_well_formed_target(std::string_view target) {
  return target.find(' ') == std::string_view::npos && !has_control(target);
}

bool proves_not_run(AttemptResult result) {
  return result == AttemptResult::not_run || result == AttemptResult::misdirected || result == AttemptResult::unsent;
}

char const* reason_phrase(int status) {
  switch (status) {
    case 200: return "OK";
    case 400: return "Bad Request";
    case 401: return "Unauthorized";
    case 404: return "Not Found";
    case 405: return "Method Not Allowed";
    case 409: return "Conflict";
    case 413: return "Content Too Large";
    case 429: return "Too Many Requests";
    case 431: return "Request Header Fields Too Large";
    case 502: return "Bad Gateway";
    case 503: return "Service Unavailable";
    case 504: return "Gateway Timeout";
    default: return "Answer";
  }
}

LocalReply make_local_reply(int status, Seconds retry_after, bool closes_connection) {
  return LocalReply{status, reason_phrase(status), retry_after, closes_connection};
}

bool promises_not_run(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

ResponseCheck check_response(UpstreamResponse const& response, std::string_view attempt_id) {
  if (!has_sound_frame(response)) return rejected(ResponseRejection::broken_frame);
  bool has_id = false, says_not_run = false, is_sealed = false;
  for (auto const& [name, value] : response.headers) {
    if (same_header_name(name, "X-Attempt-Id")) {
      if (value != attempt_id) return rejected(has_id ? ResponseRejection::two_ids : ResponseRejection::other_id);
      has_id = true;
    } else if (same_header_name(name, "X-Not-Run")) {
      says_not_run = true;
    } else if (same_header_name(name, "X-Server-Seal")) {
      is_sealed = true;
    }
  }
  // A refusal without an id may be a surplus one, of a request that went before.
  if (!has_id) return rejected(ResponseRejection::no_id);
  if (response.status == 421) return {AttemptResult::misdirected, std::nullopt};
  if (says_not_run && response.status >= 400) return {AttemptResult::not_run, std::nullopt};
  if (response.status < 300 && !is_sealed) return rejected(ResponseRejection::no_seal);
  if (promises_not_run(response.status) || says_not_run) return rejected(ResponseRejection::bare_promise);
  return {AttemptResult::complete, std::nullopt};
}

}  // namespace dockbend
