// Header rules of an errand and of a server's return, as values. No I/O.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/types.hpp"
#include "request/response_filter.hpp"

namespace dockbend {

using Headers = std::vector<std::pair<std::string, std::string>>;

bool same_letters(std::string_view a, std::string_view b);  // of equal length
inline bool same_name(std::string_view a, std::string_view b) {
  return a.size() == b.size() && same_letters(a, b);
}
std::string const* find_head(Headers const& h, std::string_view name);
// Headers that concern one channel only and do not go along.
bool hop_only(std::string_view name);

// How a message says where its body ends.
enum class BodyFraming { none, length, chunked, ambiguous };
// Ambiguous: two lengths, a length and a coding, a coding other than chunked, or
// a length that is no plain number.
BodyFraming framing_of(Headers const& h, u64& length);

// May a request with these go on? Not if a next reader could see another request in the same
// bytes: a name that is no token, a target with a space or control character, two ids of one attempt.
bool well_formed(Headers const& h);
bool well_formed_target(std::string_view uri);

// How one try at a server ended.
enum class AttemptResult {
  whole,        // an answer to this errand, whole
  not_run,      // the server says it has not run
  misdirected,  // another server has the address; not run
  unsent,       // no byte of it left: not run
  broken,       // sent, then a reset, a close or garbage: may have run
  silent,       // sent, no answer in time: may have run
};
bool surely_not_run(AttemptResult e);

struct UpstreamResponse {
  int code = 0;
  Headers heads;
  std::size_t body = 0;
  bool head = false;  // to a HEAD: it names a length and has no body
};
struct ResponseCheck {
  AttemptResult end = AttemptResult::broken;
  std::optional<ResponseRejection> why;  // what kept it out
};
// What a whole answer on the wire means for the request with this id. Only an answer that
// bears the id proves anything, be it that the request ran or that it did not.
ResponseCheck examine(UpstreamResponse const& r, std::string_view attempt_id);
inline AttemptResult judge(UpstreamResponse const& r, std::string_view attempt_id) {
  return examine(r, attempt_id).end;
}

// What the proxy says of its own. One place writes it.
struct LocalReply {
  int code = 503;
  char const* reason = "Service Unavailable";
  Seconds retry_after = -1;  // < 0: none
  bool close = false;
};
// May a server's code go to the client as it is? 429, 503, 408 and 421 promise
// that nothing ran; without X-Not-Run the server promised no such thing.
bool promise_code(int code);
char const* reason_of(int code);
inline LocalReply verdict_of(int code, Seconds retry_after = -1, bool close = false) {
  return LocalReply{code, reason_of(code), retry_after, close};
}

}  // namespace dockbend
