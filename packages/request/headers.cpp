#include "request/headers.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace dockbend {

bool same_letters(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
    return std::tolower(static_cast<unsigned char>(x)) == std::tolower(static_cast<unsigned char>(y));
  });
}

std::string const* find_head(Headers const& h, std::string_view name) {
  for (auto const& [k, v] : h)
    if (same_name(k, name)) return &v;
  return nullptr;
}

bool hop_only(std::string_view name) {
  for (char const* n : {"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE", "Trailer", "Upgrade",
                        "Content-Length", "Expect", "Proxy-Authenticate", "Proxy-Authorization"})
    if (same_name(name, n)) return true;
  return false;
}

BodyFraming framing_of(Headers const& h, u64& length) {
  std::string const *len = nullptr, *enc = nullptr;
  for (auto const& [k, v] : h) {
    if (same_name(k, "Content-Length")) {
      if (len != nullptr) return BodyFraming::ambiguous;
      len = &v;
    } else if (same_name(k, "Transfer-Encoding")) {
      if (enc != nullptr) return BodyFraming::ambiguous;
      enc = &v;
    }
  }
  if (len != nullptr && enc != nullptr) return BodyFraming::ambiguous;
  if (enc != nullptr) return same_name(*enc, "chunked") ? BodyFraming::chunked : BodyFraming::ambiguous;
  if (len == nullptr) return BodyFraming::none;
  if (len->empty() || len->size() > 15) return BodyFraming::ambiguous;
  length = 0;
  for (char const c : *len) {
    if (c < '0' || c > '9') return BodyFraming::ambiguous;
    length = length * 10 + static_cast<u64>(c - '0');
  }
  return BodyFraming::length;
}

namespace {
// RFC 9110, 5.6.2
bool is_token(std::string_view s) {
  static auto const table = [] {
    std::array<bool, 256> t{};
    for (char const* c = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"; *c != '\0';
         ++c)
      t[static_cast<u8>(*c)] = true;
    return t;
  }();
  for (char const c : s)
    if (!table[static_cast<u8>(c)]) return false;
  return !s.empty();
}
}  // namespace

bool well_formed(Headers const& h) {
  std::size_t ids = 0;
  for (auto const& [k, v] : h) {
    if (!is_token(k) || v.find('\r') != std::string::npos) return false;
    ids += same_name(k, "X-Attempt-Id") ? 1 : 0;
  }
  return ids < 2;
}

bool well_formed_target(std::string_view uri) {
  return uri.find(' ') == std::string_view::npos && !has_control(uri);
}

bool surely_not_run(AttemptResult e) {
  return e == AttemptResult::not_run || e == AttemptResult::misdirected || e == AttemptResult::unsent;
}

char const* reason_of(int code) {
  switch (code) {
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

bool promise_code(int code) {
  return code == 429 || code == 503 || code == 408 || code == 421;
}

ResponseCheck examine(UpstreamResponse const& r, std::string_view attempt_id) {
  u64 len = 0;
  BodyFraming const f = framing_of(r.heads, len);
  bool const bodiless = r.code == 204 || r.code == 304 || r.head;
  if (f == BodyFraming::ambiguous || (f == BodyFraming::none && !bodiless))
    return {AttemptResult::broken, ResponseRejection::broken_frame};
  if (f == BodyFraming::length && !bodiless && len != r.body)
    return {AttemptResult::broken, ResponseRejection::broken_frame};
  if (r.code < 200 || r.code > 599) return {AttemptResult::broken, ResponseRejection::broken_frame};
  bool named = false, not_run = false, sealed = false;
  for (auto const& [k, v] : r.heads) {
    if (same_name(k, "X-Attempt-Id")) {
      if (v != attempt_id)
        return {AttemptResult::broken, named ? ResponseRejection::two_ids : ResponseRejection::other_id};
      named = true;
    } else if (same_name(k, "X-Not-Run")) {
      not_run = true;
    } else if (same_name(k, "X-Server-Seal")) {
      sealed = true;
    }
  }
  // A refusal without an id may be a surplus one, of a request that went before.
  if (!named) return {AttemptResult::broken, ResponseRejection::no_id};
  if (r.code == 421) return {AttemptResult::misdirected, std::nullopt};
  if (not_run && r.code >= 400) return {AttemptResult::not_run, std::nullopt};
  if (r.code < 300 && !sealed) return {AttemptResult::broken, ResponseRejection::no_seal};
  if (promise_code(r.code) || not_run) return {AttemptResult::broken, ResponseRejection::bare_promise};
  return {AttemptResult::whole, std::nullopt};
}

}  // namespace dockbend
