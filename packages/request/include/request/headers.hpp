/// Rules about the headers of requests and responses, and what a server's response proves. Values only, no I/O.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/types.hpp"
#include "request/response_filter.hpp"

namespace dockbend {

/// (name, value), in the order of arrival.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Are they equal but for upper and lower case? Both of equal length.
bool equal_ignoring_case(std::string_view a, std::string_view b);
inline bool same_header_name(std::string_view a, std::string_view b) {
  return a.size() == b.size() && equal_ignoring_case(a, b);
}
/// The value of the first header of that name; null: there is none.
std::string const* find_header(Headers const& headers, std::string_view name);
/// Does the header concern one connection only? Such headers are not forwarded.
bool is_hop_by_hop(std::string_view name);

/// How a message says where its body ends.
enum class BodyFraming { none, length, chunked, ambiguous };
/// Ambiguous: two lengths, a length and a coding, a coding other than chunked, or a length that is no plain number.
/// length: set if the framing is by length.
BodyFraming body_framing(Headers const& headers, u64& length);

/// May a request with these headers be forwarded? Not if a next reader could see another request in the same bytes: a
/// name that is no token, a carriage return in a value, two ids of one attempt.
bool are_well_formed(Headers const& headers);
/// The same of its target: no space and no control character.
bool is_well_formed_target(std::string_view target);

/// How one attempt at a server ended.
enum class AttemptResult {
  complete,     ///< a complete response to this request
  not_run,      ///< the server says that it has not run
  misdirected,  ///< another server has the address; it has not run
  unsent,       ///< no byte of it has left: it has not run
  broken,       ///< sent, then a reset, a close or garbage: may have run
  silent,       ///< sent, no response in time: may have run
  failed,       ///< the server's own failure, set aside because another attempt is at work: it has run
};
/// Is it certain that the request has not run?
bool proves_not_run(AttemptResult result);

/// A server's response as far as it is checked.
struct UpstreamResponse {
  int status = 0;
  Headers headers;
  std::size_t body_bytes = 0;
  bool answers_head_request = false;  ///< it names a length and has no body
};
/// Does its body end with its connection, for want of a length and a coding (RFC 9112, 6.3)? A response that was taken
/// for complete was then closed in order: a reset is a failed exchange.
bool ends_with_connection(UpstreamResponse const& response);
struct ResponseCheck {
  AttemptResult result = AttemptResult::broken;
  std::optional<ResponseRejection> rejection;  ///< why it was not taken for the response to this request
};
/// What a complete response on the wire means for the request with this attempt id. Only a response that bears the id
/// proves anything, be it that the request ran or that it did not.
ResponseCheck check_response(UpstreamResponse const& response, std::string_view attempt_id);

/// An answer that the proxy makes itself.
struct LocalReply {
  int status = 503;
  char const* reason = "Service Unavailable";
  Seconds retry_after = -1;  ///< < 0: none is named
  bool closes_connection = false;
};
LocalReply make_local_reply(int status, Seconds retry_after = -1, bool closes_connection = false);

/// Does the status promise that nothing ran (429, 503, 408 and 421)? A server that sends one without X-Not-Run has made
/// no such promise, so its response can't be forwarded as it is.
bool promises_not_run(int status);
char const* reason_phrase(int status);

}  // namespace dockbend
