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
struct ApiResponse {
  int code = 200;
  std::string body;
  std::string location = {};  // of a 307
};

inline ApiResponse error_response(int code, std::string const& what) {
  schema::ErrorResponse f;
  f.error_response = what;
  return {code, json::render(f)};
}

// What an operator's order is answered with.
inline ApiResponse answer_of(CommandResult const& o) {
  int const code = status_of(o.ruling);
  if (code != 200) return error_response(code, o.what);
  return {code, o.id == 0 ? std::string("{}") : "{\"id\":\"" + std::to_string(o.id) + "\"}"};
}

struct PeerController {
  std::unique_ptr<PeerLink> link;  // null: ourselves
  DigestMismatchDetector off;
  Seconds pulled = 0, digest_sent = 0;
  u32 digests = 0;   // names the newest; an answer to an earlier one tells no time
  bool fit = false;  // may take a duty over at once
  std::string node;
  std::vector<std::string> told_known;  // mates we named to it last
  Seconds heard = 0;
  Incarnation incarnation;  // of the disk that said so
  Ballot accepted;          // the newest value it says it holds on disk
};

struct InboundSession {  // an incoming channel
  ConnectionPtr ch;
  HandshakeRequest hello;
  bool feeding = false, primary = false;
  u64 counts_told = 0, beats = 0;
  std::string front;  // of the site that registered over it
};

// Invariants: committed is the newest value known to stand on a majority; view is its
// part that proxies and agents go by; partners has that view's customers. Desks read
// them; only the node's own loop changes them.
struct ControllerContext {
  event_base* loop = nullptr;
  Settings settings;
  std::unique_ptr<AsyncStore> disk;
  std::unique_ptr<Acceptor> acceptor;
  std::optional<ReplicatedState> committed;
  QuorumContact<> contact;
  ReplicatedState view;
  CompiledConfiguration tenants;
  std::map<std::string, PeerController> controllers;
  std::map<u64, InboundSession> sessions;
  std::map<std::string, DrainUnit> out;  // units of passes that are cordoned or further, not back, by name
  bool born = false;                     // our disk's life is on disk
  UnmatchedMessages unmatched;           // what was dropped here because no open question fits it
  Seconds leaving_since = 0;             // since when; 0: we stay
  // Brings a change to the register; done gets the value, or null if it is not known
  // to stand.
  std::function<void(std::function<bool(ReplicatedState&)>, std::function<void(ReplicatedState const*)>, Seconds)>
      submit;
  std::function<PeerController&(std::string const&)> controller;  // made if new

  ReplicatedState const* known() const { return committed ? &*committed : nullptr; }
  bool up(std::string const& ip) const {
    if (ip == settings.ip) return true;
    auto const it = controllers.find(ip);
    return it != controllers.end() && it->second.link && it->second.link->up();
  }
  // In contact with a majority of the roster, ourselves counted: fresh answers, not channels
  // that are up, for these stay up for a while in a silent cut.
  bool in_contact() const { return committed && contact.in_contact(steady_now()); }
  // What a call gets that may be answered only in contact: where to go instead, if a member
  // is in contact for certain, and else to come back.
  ApiResponse redirect_to_controller_in_contact(std::string const& uri) const {
    Member const* m = committed ? committed->member(contact.other(steady_now())) : nullptr;
    if (m == nullptr || m->control == 0) return error_response(503, "not in contact with a majority");
    return {307, "{}", "http://" + Address{m->ip, m->control}.str() + uri};
  }
  std::size_t connected_controllers() const {
    std::size_t n = 0;
    for (auto const& [ip, m] : controllers)
      n += m.link && m.link->up() ? 1 : 0;
    return n;
  }
  // This controller and those whose links are up.
  std::vector<std::string> connected_addresses() const {
    std::vector<std::string> addresses{settings.ip};
    for (auto const& [ip, m] : controllers)
      if (m.link && m.link->up()) addresses.push_back(ip);
    return addresses;
  }
  // With more mates than this nobody tells all of them everything.
  static constexpr std::size_t kMaxFullMesh = 8;
  std::string region_of_controller(std::string const& ip) const {
    Member const* m = committed ? committed->member(ip) : nullptr;
    return m == nullptr ? std::string() : m->region;
  }
  // Of our region, or of one that is not known yet.
  bool is_near(std::string const& ip) const {
    std::string const g = region_of_controller(ip);
    return g.empty() || g == settings.region;
  }
  Seconds patience() const { return std::max(0.5, settings.bounds.ackBoundS * 0.8); }
  // Brings an order to the register and answers its call.
  template <OperatorCommand O>
  void order(evhttp_request* r, O o) {
    if (leaving_since > 0) return write(r, error_response(503, "leaving"));
    carry(submit, std::move(o), patience(), [this, r](CommandResult const& x) { write(r, answer_of(x)); });
  }
  evhttp_request const* answered = nullptr;  // the newest call that was, for answer() alone
  // One call from outside: whatever its handler throws ends this call, not the process.
  template <class F>
  void answer(evhttp_request* r, F f) {
    answered = nullptr;
    try {
      f(r);
    } catch (std::exception const& e) {
      DB_LOG("controller");
      LOG4CPLUS_WARN(logger, "A call to " << evhttp_request_get_uri(r) << " could not be handled: " << e.what() << ".");
      if (answered != r) write(r, error_response(500, e.what()));
    }
  }
  void write(evhttp_request* r, ApiResponse const& c) {
    answered = r;
    if (c.code == 400) ++rejected_input().calls;
    evkeyvalq* out = evhttp_request_get_output_headers(r);
    evhttp_add_header(out, "Content-Type", "application/json");
    if (leaving_since > 0) evhttp_add_header(out, "Connection", "close");
    if (!c.location.empty()) evhttp_add_header(out, "Location", c.location.c_str());
    if (c.code == 503) evhttp_add_header(out, "Retry-After", "0.3");
    evbuffer* b = evbuffer_new();
    evbuffer_add(b, c.body.data(), c.body.size());
    evhttp_send_reply(r, c.code, reason_phrase(c.code), b);
    evbuffer_free(b);
  }
};

}  // namespace dockbend
