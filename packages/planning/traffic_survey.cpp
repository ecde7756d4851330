#include "planning/traffic_survey.hpp"

#include <algorithm>
#include <cmath>

namespace dockbend {
namespace {
u64 second_of(Seconds now) {
  return static_cast<u64>(std::max(0.0, now)) + 1;
}
}  // namespace

void TrafficObserver::errand(std::string const& route, std::string const& pool, std::vector<std::string> const& homes,
                             bool bulky, Seconds now) {
  if (first_ < 0) first_ = now;
  auto& [all, big] = came_[{route, pool, homes}];
  all.add(second_of(now));
  if (bulky) big.add(second_of(now));
}

void TrafficObserver::sent(std::string const& route, std::string const& zone, Seconds now) {
  went_[{route, zone}].add(second_of(now));
}

void TrafficObserver::fill(TrafficSurvey& s, Seconds now) const {
  u64 const sec = second_of(now);
  double const lived = first_ < 0 ? 0 : std::floor(now - first_);
  auto const span = static_cast<std::size_t>(std::clamp(lived, 1.0, static_cast<double>(seconds)));
  double const d = static_cast<double>(span);
  s.span = d;
  for (auto const& [k, r] : came_) {
    double const n = r.first.sum(sec, span);
    if (n <= 0) continue;
    RouteRate l;
    l.route = std::get<0>(k);
    l.pool = std::get<1>(k);
    l.homes = std::get<2>(k);
    l.rate = n / d;
    l.bulky = r.second.sum(sec, span) / n;
    s.routes.push_back(std::move(l));
  }
  for (auto const& [k, r] : went_) {
    double const n = r.sum(sec, span);
    if (n <= 0) continue;
    ZoneSendRate x;
    x.route = k.first;
    x.zone = k.second;
    x.rate = n / d;
    s.sent.push_back(std::move(x));
  }
}

}  // namespace dockbend
