#include "planning/drain_waves.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace dockbend {
namespace {
double constexpr kLoadNoise = 0.02;  // a load risen by no more is not a wave's doing
double constexpr kNegligibleRate = 1e-9;
double constexpr kMinLoadLimit = 0.01;  // divides
double constexpr kShrinkFactor = 0.8;   // of a wave that does not fit

using Fronts = std::set<std::string>;
using Regions = std::set<std::string>;

/// Regions that the wave takes proxies from must keep the headroom; others must not get worse than that by it.
bool is_affected(RegionForecast const& region, Regions const& touched) {
  return touched.count(region.region) > 0 || region.load > region.now + kLoadNoise;
}

bool fits(DrainWave const& wave, double headroom, Regions const& touched) {
  return std::all_of(wave.regions.begin(), wave.regions.end(), [&](RegionForecast const& region) {
    if (!is_affected(region, touched)) return true;
    return region.nodes > 0 && region.load <= 1 - headroom && region.peak <= std::max(1.0, 1 - headroom / 2);
  });
}

/// The lowest rank of each kind's routes.
std::map<std::string, u32> rank_by_kind(FleetSnapshot const& fleet) {
  std::map<std::string, u32> ranks;
  for (RouteSnapshot const& route : fleet.routes) {
    auto const [it, is_new] = ranks.try_emplace(route.kind, route.rank);
    if (!is_new) it->second = std::min(it->second, route.rank);
  }
  return ranks;
}

double rate_to_carry(KindRate const& kind) {
  return std::max(kind.now, kind.after);
}

CapacityShortfall make_shortfall(RegionForecast const& region, std::string const& kind, double rate, double headroom) {
  CapacityShortfall shortfall;
  shortfall.region = region.region;
  shortfall.kind = kind;
  shortfall.rate = rate;
  shortfall.load = region.load;
  shortfall.wanted = 1 - headroom;
  return shortfall;
}

/// Which kinds of requests find no capacity in a region once those that matter more have theirs.
std::vector<CapacityShortfall> region_shortfalls(DrainWave const& wave, RegionForecast const& region, double headroom,
                                                 std::map<std::string, u32>& ranks) {
  std::vector<KindRate const*> kinds;
  double total = 0;
  for (KindRate const& kind : wave.kinds) {
    if (kind.region != region.region) continue;
    kinds.push_back(&kind);
    total += rate_to_carry(kind);
  }
  std::sort(kinds.begin(), kinds.end(),
            [&](KindRate const* a, KindRate const* b) { return ranks[a->kind] < ranks[b->kind]; });
  double const bearable = region.nodes == 0 || region.load <= 0 ? 0 : total * (1 - headroom) / region.load;
  std::vector<CapacityShortfall> shortfalls;
  double taken = 0;
  for (KindRate const* kind : kinds) {
    double const rate = rate_to_carry(*kind);
    double const excess = std::min(rate, taken + rate - bearable);
    taken += rate;
    if (excess > kNegligibleRate) shortfalls.push_back(make_shortfall(region, kind->kind, excess, headroom));
  }
  if (shortfalls.empty()) shortfalls.push_back(make_shortfall(region, "all", 0, headroom));
  return shortfalls;
}

std::vector<CapacityShortfall> wave_shortfalls(FleetSnapshot const& fleet, DrainWave const& wave, double headroom,
                                               Regions const& touched) {
  std::map<std::string, u32> ranks = rank_by_kind(fleet);
  std::vector<CapacityShortfall> shortfalls;
  for (RegionForecast const& region : wave.regions) {
    bool const keeps_headroom = region.nodes > 0 && region.load <= 1 - headroom;
    if (touched.count(region.region) == 0 || keeps_headroom) continue;
    for (CapacityShortfall& shortfall : region_shortfalls(wave, region, headroom, ranks))
      shortfalls.push_back(std::move(shortfall));
  }
  return shortfalls;
}

/// Plans wave after wave until all proxies have their place or one wave does not fit.
class WavePlanner {
 public:
  WavePlanner(FleetSnapshot const& fleet, double headroom) : fleet_(fleet), headroom_(headroom) {}

  void plan(std::vector<std::string> const& fronts, DrainWavePlan& plan) {
    sort_by_region(fronts);
    plan.fits = true;
    for (bool is_first = true; is_first || has_remaining(); is_first = false) {
      if (!plan_wave(is_first, plan)) return;
      for (auto& [region, proxies] : remaining_)
        proxies.erase(proxies.begin(), proxies.begin() + static_cast<long>(take_[region]));
    }
  }

 private:
  void sort_by_region(std::vector<std::string> const& fronts) {
    std::map<std::string, ProxySnapshot const*> by_front;
    for (ProxySnapshot const& proxy : fleet_.sites)
      by_front[proxy.front] = &proxy;
    for (std::string const& front : fronts) {
      auto const it = by_front.find(front);
      if (it == by_front.end() || !it->second->ready)
        not_ready_.insert(front);
      else
        remaining_[it->second->region].push_back(it->second);
    }
    for (auto& [region, proxies] : remaining_)
      std::sort(proxies.begin(), proxies.end(),
                [](ProxySnapshot const* a, ProxySnapshot const* b) { return a->load < b->load; });
  }

  bool has_remaining() const {
    return std::any_of(remaining_.begin(), remaining_.end(), [](auto const& item) { return !item.second.empty(); });
  }

  /// Tries smaller and smaller waves until one fits, or even one proxy a region is too much. Returns false then.
  bool plan_wave(bool is_first, DrainWavePlan& plan) {
    for (auto const& [region, proxies] : remaining_)
      take_[region] = first_guess(region, proxies.size());
    while (true) {
      Fronts const leaving = leaving_now(is_first);
      Regions const touched = touched_regions();
      DrainWave wave = predict_client_shift(fleet_, leaving);
      if (fits(wave, headroom_, touched)) {
        if (!leaving.empty()) plan.waves.push_back(std::move(wave));
        return true;
      }
      bool const is_smallest =
          std::all_of(take_.begin(), take_.end(), [](auto const& item) { return item.second <= 1; });
      if (is_smallest) {
        plan.lacks = wave_shortfalls(fleet_, wave, headroom_, touched);
        plan.fits = false;
        return false;
      }
      shrink();
    }
  }

  /// How many proxies of a region may leave at once, judged by the sum of its loads; predict_client_shift has the last
  /// word.
  std::size_t first_guess(std::string const& region, std::size_t waiting) const {
    double load = 0;
    std::size_t ready = 0;
    for (ProxySnapshot const& proxy : fleet_.sites) {
      if (proxy.region != region || !proxy.ready) continue;
      load += proxy.load;
      ++ready;
    }
    auto const needed = static_cast<std::size_t>(std::ceil(load / std::max(kMinLoadLimit, 1 - headroom_)));
    std::size_t const dispensable = ready - std::min(ready, std::max<std::size_t>(1, needed));
    // Half of a region stays whatever the load: it has to bear a loss during the drain as well.
    std::size_t const guess = std::min({waiting, dispensable, ready / 2});
    return guess == 0 && waiting > 0 ? 1 : guess;
  }

  Fronts leaving_now(bool is_first) const {
    Fronts leaving = is_first ? not_ready_ : Fronts();
    for (auto const& [region, proxies] : remaining_)
      for (std::size_t i = 0; i < take_.at(region); ++i)
        leaving.insert(proxies[i]->front);
    return leaving;
  }

  Regions touched_regions() const {
    Regions touched;
    for (auto const& [region, count] : take_)
      if (count > 0) touched.insert(region);
    return touched;
  }

  void shrink() {
    for (auto& [region, count] : take_)
      if (count > 1) count = std::min(count - 1, static_cast<std::size_t>(static_cast<double>(count) * kShrinkFactor));
  }

  FleetSnapshot const& fleet_;
  double headroom_;
  Fronts not_ready_;                                                    // leave with the first wave
  std::map<std::string, std::vector<ProxySnapshot const*>> remaining_;  // by region, the least loaded first
  std::map<std::string, std::size_t> take_;  // how many of each region are in the wave being planned
};
}  // namespace

DrainWavePlan plan_drain_waves(FleetSnapshot const& fleet, std::vector<std::string> const& fronts, double headroom) {
  DrainWavePlan plan;
  plan.takenAt = fleet.takenAt;
  plan.headroom = headroom;
  plan.silent = fleet.silent;
  plan.partial = !fleet.is_complete();
  WavePlanner(fleet, headroom).plan(fronts, plan);
  return plan;
}

}  // namespace dockbend
