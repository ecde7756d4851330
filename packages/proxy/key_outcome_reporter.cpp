#include "proxy/key_outcome_reporter.hpp"

namespace dockbend {

void KeyOutcomeReporter::report(ProxiedRequest const& request, KeyOutcome outcome) {
  KeyOutcomeNotice notice;
  set_operation(notice, request.operation);
  notice.client = request.client;
  notice.holder = request.key_holder;
  notice.homes = request.homes;
  notice.outcome = outcome;
  send(notice);
}

void KeyOutcomeReporter::send(KeyOutcomeNotice const& notice) {
  if (agent_.up()) return agent_.send(MessageType::key_outcome, 0, notice);
  held_back_.push_back(codec::pack(notice));
  held_back_bytes_ += held_back_.back().size();
  while (held_back_bytes_ > kHeldBackBytes) {
    held_back_bytes_ -= held_back_.front().size();
    held_back_.pop_front();
  }
}

void KeyOutcomeReporter::send_held_back() {
  if (!agent_.up()) return;
  for (std::string const& notice : held_back_)
    agent_.ch()->send(MessageType::key_outcome, 0, std::string_view(notice));
  held_back_.clear();
  held_back_bytes_ = 0;
}

}  // namespace dockbend
