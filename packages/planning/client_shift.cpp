#include "planning/client_shift.hpp"

#include <algorithm>
#include <map>

#include "directory/nearest_selector.hpp"

namespace dockbend {
namespace {
int constexpr kListsDrawn = 300;  // for a zone: a proxy's share is then known to a few hundredths
int constexpr kShiftSteps = 3;    // clients follow in steps: the directory sees loads rise and sends the rest elsewhere

using RatesByKind = std::map<std::string, double>;  // requests a second

std::string kind_of(FleetSnapshot const& fleet, std::string const& route) {
  RouteSnapshot const* definition = fleet.find_route(route);
  return definition == nullptr ? "unknown" : definition->kind;
}

std::map<std::string, RatesByKind> rates_by_front(FleetSnapshot const& fleet) {
  std::map<std::string, RatesByKind> rates;
  for (TrafficSurvey const& survey : fleet.surveys)
    for (RouteRate const& route : survey.routes)
      rates[survey.front][kind_of(fleet, route.route)] += route.rate;
  return rates;
}

ProxyEntry entry_of(ProxySnapshot const& proxy) {
  ProxyEntry entry;
  entry.front = proxy.front;
  entry.zone = proxy.zone;
  entry.region = proxy.region;
  entry.ready = proxy.ready;
  entry.load = proxy.load;
  return entry;
}

/// The shares of a zone's clients that the selector sends to each proxy, by front address; they add up to 1.
std::map<std::string, double> client_shares(std::vector<ProxyEntry> const& remaining, ClientContext const& client) {
  std::vector<ProxyEntry const*> table;
  for (ProxyEntry const& entry : remaining)
    if (entry.ready) table.push_back(&entry);
  NearestSelector const selector;
  std::map<std::string, double> shares;
  for (int i = 0; i < kListsDrawn; ++i) {
    auto const list = selector.choose(table, client);
    for (ProxyEntry const* entry : list)
      shares[entry->front] += 1.0 / static_cast<double>(list.size()) / kListsDrawn;
  }
  return shares;
}

/// Moves the clients of leaving proxies to the others, and with them load and requests.
class ClientShift {
 public:
  ClientShift(FleetSnapshot const& fleet, std::set<std::string> const& leaving)
      : fleet_(fleet), leaving_(leaving), rates_before_(rates_by_front(fleet)), rates_after_(rates_before_) {
    for (ProxySnapshot const& proxy : fleet.sites) {
      if (is_leaving(proxy)) {
        leaving_by_zone_[proxy.zone].push_back(&proxy);
        rates_after_.erase(proxy.front);
        continue;
      }
      remaining_.push_back(entry_of(proxy));
      load_after_[proxy.front] = proxy.load;
    }
    for (int step = 0; step < kShiftSteps; ++step)
      for (auto const& [zone, proxies] : leaving_by_zone_)
        move_clients(proxies);
  }

  DrainWave result() {
    DrainWave wave;
    wave.fronts.assign(leaving_.begin(), leaving_.end());
    wave.nodes = node_names();
    wave.regions = region_forecasts();
    wave.kinds = kind_rates();
    return wave;
  }

 private:
  bool is_leaving(ProxySnapshot const& proxy) const { return leaving_.count(proxy.front) > 0; }

  /// One step for the proxies that leave in one zone.
  void move_clients(std::vector<ProxySnapshot const*> const& proxies) {
    ClientContext client;
    client.zone = proxies.front()->zone;
    client.region = proxies.front()->region;
    auto const shares = client_shares(remaining_, client);
    for (ProxySnapshot const* proxy : proxies)
      for (auto const& [front, share] : shares) {
        load_after_[front] += proxy->load * share / kShiftSteps;
        auto const it = rates_before_.find(proxy->front);
        if (it == rates_before_.end()) continue;
        for (auto const& [kind, rate] : it->second)
          rates_after_[front][kind] += rate * share / kShiftSteps;
      }
    for (ProxyEntry& entry : remaining_)
      entry.load = load_after_[entry.front];
  }

  std::vector<std::string> node_names() const {
    std::vector<std::string> names;
    for (std::string const& front : leaving_) {
      auto const it = std::find_if(fleet_.sites.rbegin(), fleet_.sites.rend(),
                                   [&](ProxySnapshot const& proxy) { return proxy.front == front; });
      names.push_back(it == fleet_.sites.rend() || it->node.empty() ? front : it->node);
    }
    return names;
  }

  std::vector<RegionForecast> region_forecasts() {
    std::map<std::string, RegionForecast> by_region;
    std::map<std::string, u32> ready_before;
    for (ProxySnapshot const& proxy : fleet_.sites) {
      RegionForecast& forecast = by_region[proxy.region];
      forecast.region = proxy.region;
      forecast.now += proxy.load;
      ready_before[proxy.region] += proxy.ready ? 1 : 0;
      if (is_leaving(proxy)) continue;
      double const load = load_after_[proxy.front];
      forecast.nodes += proxy.ready ? 1 : 0;
      forecast.load += load;
      if (proxy.ready) forecast.peak = std::max(forecast.peak, load);
    }
    std::vector<RegionForecast> forecasts;
    for (auto& [region, forecast] : by_region) {
      forecast.now /= std::max(1u, ready_before[region]);
      forecast.load /= std::max(1u, forecast.nodes);
      forecasts.push_back(forecast);
    }
    return forecasts;
  }

  std::vector<KindRate> kind_rates() {
    std::map<std::pair<std::string, std::string>, KindRate> by_region_and_kind;
    for (ProxySnapshot const& proxy : fleet_.sites) {
      if (auto const it = rates_before_.find(proxy.front); it != rates_before_.end())
        for (auto const& [kind, rate] : it->second)
          by_region_and_kind[{proxy.region, kind}].now += rate;
      if (is_leaving(proxy)) continue;
      for (auto const& [kind, rate] : rates_after_[proxy.front])
        by_region_and_kind[{proxy.region, kind}].after += rate;
    }
    std::vector<KindRate> rates;
    for (auto& [key, rate] : by_region_and_kind) {
      rate.region = key.first;
      rate.kind = key.second;
      rates.push_back(rate);
    }
    return rates;
  }

  FleetSnapshot const& fleet_;
  std::set<std::string> const& leaving_;
  std::map<std::string, RatesByKind> const rates_before_;  // by front address
  std::map<std::string, RatesByKind> rates_after_;
  std::map<std::string, double> load_after_;
  std::map<std::string, std::vector<ProxySnapshot const*>> leaving_by_zone_;
  std::vector<ProxyEntry> remaining_;
};
}  // namespace

DrainWave predict_client_shift(FleetSnapshot const& fleet, std::set<std::string> const& leaving) {
  return ClientShift(fleet, leaving).result();
}

}  // namespace dockbend
