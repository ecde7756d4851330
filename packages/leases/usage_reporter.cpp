#include "leases/usage_reporter.hpp"

#include <algorithm>
#include <cmath>

namespace dockbend {

std::optional<FrozenUsageReport> UsageReporter::to_fix(ReplicatedState const& s, UsageTotals const& t,
                                                       WallSeconds true_now, Seconds now, Seconds held_for) {
  if (held_for < 1.2 || now - asked_ < 0.5) return std::nullopt;
  u64 const w = s.to_fix != 0 ? s.to_fix : t.first().v;
  if (w == 0) return std::nullopt;  // nothing was ever counted
  double const end = static_cast<double>(w + 1) * p_.period;
  if (true_now < end + (t.complete(UsageWindow(w)) ? p_.settle : p_.late)) return std::nullopt;
  asked_ = now;
  FrozenUsageReport f;
  f.window = w;
  f.body = usage_body(UsageWindow(w), t.sum(UsageWindow(w)));
  return f;
}

bool UsageReporter::fix(ReplicatedState& s, FrozenUsageReport const& f) {
  if (s.to_fix != 0 && s.to_fix != f.window) return false;
  s.fixed.push_back(f);
  s.to_fix = f.window + 1;
  return true;
}

bool UsageReporter::tick_off(ReplicatedState& s, u64 window) {
  return std::erase_if(s.fixed, [&](FrozenUsageReport const& f) { return f.window == window; }) > 0;
}

std::optional<UsageReporter::Send> UsageReporter::to_send(ReplicatedState const& s, Seconds now) {
  if (acked_ &&
      std::none_of(s.fixed.begin(), s.fixed.end(), [&](FrozenUsageReport const& f) { return f.window == *acked_; }))
    acked_.reset();
  if (calling_ || now < next_) return std::nullopt;
  for (FrozenUsageReport const& f : s.fixed) {
    if (acked_ && f.window <= *acked_) continue;
    return Send{f.window, f.body};
  }
  return std::nullopt;
}

void UsageReporter::sent(Seconds now) {
  calling_ = true;
  next_ = now + p_.gap;
}

void UsageReporter::answered(u64 window, int code, Seconds retry_after, Seconds now) {
  calling_ = false;
  bool const ok = code >= 200 && code < 300;
  // What is refused for good is not the reporter's to mend, and must not hold up the
  // windows behind it.
  bool const hopeless = code >= 400 && code < 500 && code != 408 && code != 429 && ++refused_ >= 6;
  if (ok || hopeless) {
    acked_ = window;
    fails_ = refused_ = 0;
    next_ = now + p_.gap;
    return;
  }
  Seconds const back = std::min(p_.back_most, p_.back_first * std::pow(2.0, std::min<u32>(fails_, 8)));
  ++fails_;
  // The platform's word holds up to a bound: "inf", or a year, would end the reports for good.
  Seconds const told = std::isfinite(retry_after) ? std::min(retry_after, p_.told_most) : 0;
  next_ = now + std::max(told, back * (0.9 + 0.2 * random01()));
}

void UsageReporter::forget() {
  calling_ = false;
  fails_ = refused_ = 0;
  acked_.reset();
}

}  // namespace dockbend
