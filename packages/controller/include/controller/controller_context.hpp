// What the desks of one core node share: its channels, its disk, the value in force.
#pragma once
#include <event2/buffer.h>
#include <event2/http.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "base/unmatched_messages.hpp"
#include "consensus/acceptor.hpp"
#include "logging/log.hpp"
#include "operator_commands/operator_commands.hpp"
#include "process/program.hpp"
#include "quorum_contact/quorum_contact.hpp"
#include "request/headers.hpp"
#include "server_registry/server_registry.hpp"
#include "storage/async_store.hpp"

namespace dockbend {

// What a call is answered with. One place writes it.
struct CallRet {
  int code = 200;
  std::string body;
  std::string location = {};  // of a 307
};

inline CallRet fault(int code, std::string const& what) {
  schema::FaultRet f;
  f.fault = what;
  return {code, json::render(f)};
}

// What an operator's order is answered with.
inline CallRet answer_of(Outcome const& o) {
  int const code = status_of(o.ruling);
  if (code != 200) return fault(code, o.what);
  return {code, o.id == 0 ? std::string("{}") : "{\"id\":\"" + std::to_string(o.id) + "\"}"};
}

struct Mate {
  std::unique_ptr<Link> link;  // null: ourselves
  Mismatch off;
  Secs pulled = 0, digest_sent = 0;
  u32 digests = 0;   // names the newest; an answer to an earlier one tells no time
  bool fit = false;  // may take a duty over at once
  std::string node;
  std::vector<std::string> told_known;  // mates we named to it last
  Secs heard = 0;
  Life life;        // of the disk that said so
  Ballot accepted;  // the newest value it says it holds on disk
};

struct Peer {  // an incoming channel
  ChannelP ch;
  Hello hello;
  bool feeding = false, primary = false;
  u64 counts_told = 0, beats = 0;
  std::string front;  // of the site that registered over it
};

// Invariants: committed is the newest value known to stand on a majority; view is its
// part that proxies and agents go by; partners has that view's customers. Desks read
// them; only the node's own loop changes them.
struct House {
  event_base* eb = nullptr;
  Settings st;
  std::unique_ptr<Vellum> vellum;
  std::unique_ptr<Acceptor> acceptor;
  std::optional<State> committed;
  Contact<> contact;
  State view;
  Compiled partners;
  std::map<std::string, Mate> mates;
  std::map<u64, Peer> peers;
  std::map<std::string, Unit> out;  // units of passes that are cordoned or further, not back, by name
  bool born = false;                // our disk's life is on disk
  Strays strays;                    // what was dropped here because no open question fits it
  Secs leaving = 0;                 // since when; 0: we stay
  // Brings a change to the register; done gets the value, or null if it is not known
  // to stand.
  std::function<void(std::function<bool(State&)>, std::function<void(State const*)>, Secs)> submit;
  std::function<Mate&(std::string const&)> mate;  // made if new

  State const* known() const { return committed ? &*committed : nullptr; }
  bool up(std::string const& ip) const {
    if (ip == st.ip) return true;
    auto const it = mates.find(ip);
    return it != mates.end() && it->second.link && it->second.link->up();
  }
  // In contact with a majority of the roster, ourselves counted: fresh answers, not channels
  // that are up, for these stay up for a while in a silent cut.
  bool in_contact() const { return committed && contact.in_contact(now_s()); }
  // What a call gets that may be answered only in contact: where to go instead, if a member
  // is in contact for certain, and else to come back.
  CallRet elsewhere(std::string const& uri) const {
    Member const* m = committed ? committed->member(contact.other(now_s())) : nullptr;
    if (m == nullptr || m->control == 0) return fault(503, "not in contact with a majority");
    return {307, "{}", "http://" + Addr{m->ip, m->control}.str() + uri};
  }
  std::size_t mates_up() const {
    std::size_t n = 0;
    for (auto const& [ip, m] : mates)
      n += m.link && m.link->up() ? 1 : 0;
    return n;
  }
  // With more mates than this nobody tells all of them everything.
  static constexpr std::size_t few = 8;
  std::string region_of_mate(std::string const& ip) const {
    Member const* m = committed ? committed->member(ip) : nullptr;
    return m == nullptr ? std::string() : m->region;
  }
  // Of our region, or of one that is not known yet.
  bool is_near(std::string const& ip) const {
    std::string const g = region_of_mate(ip);
    return g.empty() || g == st.region;
  }
  Secs patience() const { return std::max(0.5, st.bounds.ackBoundS * 0.8); }
  // Brings an order to the register and answers its call.
  template <Accession O>
  void order(evhttp_request* r, O o) {
    if (leaving > 0) return write(r, fault(503, "leaving"));
    carry(submit, std::move(o), patience(), [this, r](Outcome const& x) { write(r, answer_of(x)); });
  }
  evhttp_request const* answered = nullptr;  // the newest call that was, for answer() alone
  // One call from outside: whatever its handler throws ends this call, not the process.
  template <class F>
  void answer(evhttp_request* r, F f) {
    answered = nullptr;
    try {
      f(r);
    } catch (std::exception const& e) {
      DB_LOG("archivist");
      LOG4CPLUS_WARN(lg, "A call to " << evhttp_request_get_uri(r) << " could not be handled: " << e.what() << ".");
      if (answered != r) write(r, fault(500, e.what()));
    }
  }
  void write(evhttp_request* r, CallRet const& c) {
    answered = r;
    if (c.code == 400) ++bad_input().calls;
    evkeyvalq* out = evhttp_request_get_output_headers(r);
    evhttp_add_header(out, "Content-Type", "application/json");
    if (leaving > 0) evhttp_add_header(out, "Connection", "close");
    if (!c.location.empty()) evhttp_add_header(out, "Location", c.location.c_str());
    if (c.code == 503) evhttp_add_header(out, "Retry-After", "0.3");
    evbuffer* b = evbuffer_new();
    evbuffer_add(b, c.body.data(), c.body.size());
    evhttp_send_reply(r, c.code, reason_of(c.code), b);
    evbuffer_free(b);
  }
};

}  // namespace dockbend
