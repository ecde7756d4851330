#include "leases/usage_reporter.hpp"

#include <algorithm>
#include <cmath>

namespace dockbend {

std::optional<FixedWindow> Reporter::to_fix(State const& s, Totals const& t, Wall true_now, Secs now, Secs held_for) {
  if (held_for < 1.2 || now - asked_ < 0.5) return std::nullopt;
  u64 const w = s.to_fix != 0 ? s.to_fix : t.first().v;
  if (w == 0) return std::nullopt;  // nothing was ever counted
  double const end = static_cast<double>(w + 1) * p_.period;
  if (true_now < end + (t.complete(Window(w)) ? p_.settle : p_.late)) return std::nullopt;
  asked_ = now;
  FixedWindow f;
  f.window = w;
  f.body = usage_body(Window(w), t.sum(Window(w)));
  return f;
}

bool Reporter::fix(State& s, FixedWindow const& f) {
  if (s.to_fix != 0 && s.to_fix != f.window) return false;
  s.fixed.push_back(f);
  s.to_fix = f.window + 1;
  return true;
}

bool Reporter::tick_off(State& s, u64 window) {
  return std::erase_if(s.fixed, [&](FixedWindow const& f) { return f.window == window; }) > 0;
}

std::optional<Reporter::Send> Reporter::to_send(State const& s, Secs now) {
  if (acked_ && std::none_of(s.fixed.begin(), s.fixed.end(), [&](FixedWindow const& f) { return f.window == *acked_; }))
    acked_.reset();
  if (calling_ || now < next_) return std::nullopt;
  for (FixedWindow const& f : s.fixed) {
    if (acked_ && f.window <= *acked_) continue;
    return Send{f.window, f.body};
  }
  return std::nullopt;
}

void Reporter::sent(Secs now) {
  calling_ = true;
  next_ = now + p_.gap;
}

void Reporter::answered(u64 window, int code, Secs retry_after, Secs now) {
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
  Secs const back = std::min(p_.back_most, p_.back_first * std::pow(2.0, std::min<u32>(fails_, 8)));
  ++fails_;
  // The platform's word holds up to a bound: "inf", or a year, would end the reports for good.
  Secs const told = std::isfinite(retry_after) ? std::min(retry_after, p_.told_most) : 0;
  next_ = now + std::max(told, back * (0.9 + 0.2 * random01()));
}

void Reporter::forget() {
  calling_ = false;
  fails_ = refused_ = 0;
  acked_.reset();
}

}  // namespace dockbend
