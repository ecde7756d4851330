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

using Heads = std::vector<std::pair<std::string, std::string>>;

bool same_letters(std::string_view a, std::string_view b);  // of equal length
inline bool same_name(std::string_view a, std::string_view b) {
  return a.size() == b.size() && same_letters(a, b);
}
std::string const* find_head(Heads const& h, std::string_view name);
// Headers that concern one channel only and do not go along.
bool hop_only(std::string_view name);

// How a message says where its body ends.
enum class Framing { none, length, chunked, ambiguous };
// Ambiguous: two lengths, a length and a coding, a coding other than chunked, or
// a length that is no plain number.
Framing framing_of(Heads const& h, u64& length);

// May a request with these go on? Not if a next reader could see another request in the same
// bytes: a name that is no token, a target with a space or control character, two ids of one attempt.
bool well_formed(Heads const& h);
bool well_formed_target(std::string_view uri);

// How one try at a server ended.
enum class End {
  whole,        // an answer to this errand, whole
  not_run,      // the server says it has not run
  misdirected,  // another server has the address; not run
  unsent,       // no byte of it left: not run
  broken,       // sent, then a reset, a close or garbage: may have run
  silent,       // sent, no answer in time: may have run
};
bool surely_not_run(End e);

struct Reply {
  int code = 0;
  Heads heads;
  std::size_t body = 0;
  bool head = false;  // to a HEAD: it names a length and has no body
};
struct Judged {
  End end = End::broken;
  std::optional<Drop> why;  // what kept it out
};
// What a whole answer on the wire means for the request with this id. Only an answer that
// bears the id proves anything, be it that the request ran or that it did not.
Judged examine(Reply const& r, std::string_view attempt_id);
inline End judge(Reply const& r, std::string_view attempt_id) {
  return examine(r, attempt_id).end;
}

// What the proxy says of its own. One place writes it.
struct Verdict {
  int code = 503;
  char const* reason = "Service Unavailable";
  Secs retry_after = -1;  // < 0: none
  bool close = false;
};
// May a server's code go to the client as it is? 429, 503, 408 and 421 promise
// that nothing ran; without X-Not-Run the server promised no such thing.
bool promise_code(int code);
char const* reason_of(int code);
inline Verdict verdict_of(int code, Secs retry_after = -1, bool close = false) {
  return Verdict{code, reason_of(code), retry_after, close};
}

}  // namespace dockbend
