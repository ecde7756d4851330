#include "consensus/round_timeout.hpp"

#include <algorithm>

namespace dockbend {
namespace {
/// Shorter requests show what an answer takes, longer ones what the link carries.
std::size_t constexpr kBulkBytes = 16384;
Seconds constexpr kLeastTimeout = 0.8;
Seconds constexpr kMostExpected = 30;
Seconds constexpr kLeastTransfer = 0.001;
/// How much a new measurement counts against the average so far.
double constexpr kAnswerWeight = 0.2;
double constexpr kRateWeight = 0.5;
/// A round waits for so many times what is expected.
double constexpr kAnswerFactor = 4;
double constexpr kTransferFactor = 2;
}  // namespace

RoundTimeout::RoundTimeout(double bytes_per_s) : assumed_bytes_per_s_(std::max(bytes_per_s, 1.0)) {}

RoundTimeout::Link& RoundTimeout::link(std::string const& ip) {
  return links_.try_emplace(ip, Link{assumed_bytes_per_s_}).first->second;
}

void RoundTimeout::asked(std::string const& ip, std::size_t bytes, Seconds now) {
  Link& to = link(ip);
  if (to.asked_at < 0) to.asked_at = now;
  to.asked_bytes += bytes;
}

void RoundTimeout::answered(std::string const& ip, Seconds now) {
  Link& from = link(ip);
  if (from.asked_at < 0) return;
  Seconds const took = now - from.asked_at;
  if (from.asked_bytes < kBulkBytes) {
    from.answer += kAnswerWeight * (took - from.answer);
  } else {
    double const measured = static_cast<double>(from.asked_bytes) / std::max(took - from.answer, kLeastTransfer);
    from.bytes_per_s += kRateWeight * (measured - from.bytes_per_s);
  }
  from.asked_at = -1;
  from.asked_bytes = 0;
}

void RoundTimeout::begin() {
  for (auto& [ip, to] : links_) {
    to.asked_at = -1;
    to.asked_bytes = 0;
  }
}

Seconds RoundTimeout::expected_answer(std::string const& ip) const {
  auto const it = links_.find(ip);
  Link const to = it != links_.end() ? it->second : Link{assumed_bytes_per_s_};
  return kAnswerFactor * to.answer + kTransferFactor * static_cast<double>(to.asked_bytes) / to.bytes_per_s;
}

Seconds RoundTimeout::timeout(std::vector<std::string> const& others) const {
  if (others.empty()) return kLeastTimeout;
  std::vector<Seconds> expected;
  for (std::string const& ip : others)
    expected.push_back(expected_answer(ip));
  // The slowest of the fastest others that make a majority with this node.
  auto const slowest_needed = expected.begin() + static_cast<std::ptrdiff_t>((expected.size() - 1) / 2);
  std::nth_element(expected.begin(), slowest_needed, expected.end());
  return kLeastTimeout + std::min(*slowest_needed, kMostExpected);
}

}  // namespace dockbend
