#include "planning/traffic_observer.hpp"

#include <algorithm>
#include <cmath>

namespace dockbend {
namespace {
/// Number of the second, above 0 so that a count never used belongs to none.
u64 second_of(Seconds now) {
  return static_cast<u64>(std::max(0.0, now)) + 1;
}
}  // namespace

void TrafficObserver::SecondCounts::add(u64 second) {
  std::size_t const slot = second % counts_.size();
  if (seconds_[slot] != second) {
    seconds_[slot] = second;
    counts_[slot] = 0;
  }
  counts_[slot] += 1;
}

double TrafficObserver::SecondCounts::sum(u64 second, std::size_t span) const {
  double total = 0;
  for (std::size_t slot = 0; slot < counts_.size(); ++slot)
    if (seconds_[slot] < second && seconds_[slot] + span >= second) total += counts_[slot];
  return total;
}

void TrafficObserver::on_request(std::string const& route, std::string const& service,
                                 std::vector<std::string> const& homes, bool is_bulky, Seconds now) {
  if (first_request_at_ < 0) first_request_at_ = now;
  RequestCounts& counts = requests_[{route, service, homes}];
  counts.all.add(second_of(now));
  if (is_bulky) counts.bulky.add(second_of(now));
}

void TrafficObserver::on_attempt(std::string const& route, std::string const& zone, Seconds now) {
  attempts_[{route, zone}].add(second_of(now));
}

void TrafficObserver::fill(TrafficSurvey& survey, Seconds now) const {
  u64 const second = second_of(now);
  double const observed_for = first_request_at_ < 0 ? 0 : std::floor(now - first_request_at_);
  auto const span = static_cast<std::size_t>(std::clamp(observed_for, 1.0, static_cast<double>(kSpan)));
  survey.span = static_cast<double>(span);
  for (auto const& [key, counts] : requests_) {
    double const count = counts.all.sum(second, span);
    if (count <= 0) continue;
    RouteRate rate;
    rate.route = key.route;
    rate.pool = key.service;
    rate.homes = key.homes;
    rate.rate = count / survey.span;
    rate.bulky = counts.bulky.sum(second, span) / count;
    survey.routes.push_back(std::move(rate));
  }
  for (auto const& [key, counts] : attempts_) {
    double const count = counts.sum(second, span);
    if (count <= 0) continue;
    ZoneSendRate rate;
    rate.route = key.route;
    rate.zone = key.zone;
    rate.rate = count / survey.span;
    survey.sent.push_back(std::move(rate));
  }
}

}  // namespace dockbend
