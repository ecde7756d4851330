#include "load_balancing/retry_budget.hpp"

namespace dockbend {

bool RetryBudget::take(Seconds now, double share) {
  Slot& current = slot_at(now);
  double requests = 0, retries = 0;
  for (Slot const& slot : slots_) {
    // Retries are counted over a longer span than requests, because the window of the bound slides.
    retries += slot.retries;
    if (now - slot.started_at < bounds_.window - slot_length()) requests += slot.requests;
  }
  if (retries + 1 > share * bounds_.slack + bounds_.ratio * requests) return false;
  current.retries += 1;
  return true;
}

RetryBudget::Slot& RetryBudget::slot_at(Seconds now) {
  while (!slots_.empty() && now - slots_.front().started_at > bounds_.window + slot_length())
    slots_.pop_front();
  if (slots_.empty() || now - slots_.back().started_at >= slot_length()) slots_.push_back(Slot{now, 0, 0});
  return slots_.back();
}

}  // namespace dockbend
