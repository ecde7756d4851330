/// Reports to the agent what became of idempotency keys, and keeps reports while there is no agent.
#pragma once
#include <deque>
#include <string>

#include "idempotency/proxy_messages.hpp"
#include "proxy/proxied_request.hpp"
#include "transport/peer_link.hpp"

namespace dockbend {

/// Invariant: the reports held back take at most kHeldBackBytes; the oldest are dropped for newer ones.
class KeyOutcomeReporter {
 public:
  explicit KeyOutcomeReporter(PeerLink& agent) : agent_(agent) {}
  /// Of a request without an answer of its server. While the agent is away the report is kept for the next one: a key
  /// that nobody releases stays taken for long.
  void report(ProxiedRequest const& request, KeyOutcome outcome);
  /// Of a request with this answer, which is to be stored.
  void report_answer(StoredAnswer const& answer) { send(notice_of_answer(answer)); }
  /// Sends what was held back, to an agent that has just sent its state and so knows whom to notify.
  void send_held_back();

 private:
  void send(KeyOutcomeNotice const& notice);
  static std::size_t constexpr kHeldBackBytes = 4 << 20;
  PeerLink& agent_;
  std::deque<std::string> held_back_;  // packed notices, oldest first
  std::size_t held_back_bytes_ = 0;    // sum of their sizes
};

}  // namespace dockbend
