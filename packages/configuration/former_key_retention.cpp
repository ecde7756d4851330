#include "configuration/former_key_retention.hpp"

#include <algorithm>

namespace dockbend {

void FormerKeyRetention::observe(std::vector<ConfigItem> const& items, Seconds now) {
  for (ConfigItem const& item : items)
    if (holds_former_keys(item)) observe_item(item, now);
}

void FormerKeyRetention::observe_item(ConfigItem const& item, Seconds now) {
  ObservedItem& observed = items_[item.key];
  std::vector<Sighting>& sightings = observed.sightings;
  if (!sightings.empty() && sightings.back().version == item.gen) return;
  // Only a release before sets a lower version: what was seen before says nothing of its keys.
  if (!sightings.empty() && item.gen < sightings.back().version) sightings.clear();
  std::vector<FormerKey> const keys = read_former_keys(item).keys;
  if (keys.empty()) {
    items_.erase(item.key);
    return;
  }
  auto const oldest = std::min_element(keys.begin(), keys.end(),
                                       [](FormerKey const& a, FormerKey const& b) { return a.since < b.since; });
  observed.oldest_key = oldest->since;
  sightings.push_back(Sighting{item.gen, now});
}

std::vector<ExpiredFormerKeys> FormerKeyRetention::expired(Seconds age, Seconds now) {
  std::vector<ExpiredFormerKeys> expired;
  for (auto& [key, observed] : items_) {
    std::vector<Sighting>& sightings = observed.sightings;
    auto const young = std::find_if(sightings.begin(), sightings.end(), [age, now](Sighting const& sighting) {
      return now - sighting.first_seen_at < age;
    });
    if (young == sightings.begin()) continue;
    sightings.erase(sightings.begin(), young - 1);
    Generation const up_to = sightings.front().version;
    if (observed.oldest_key <= up_to) expired.push_back(ExpiredFormerKeys{key, up_to});
  }
  return expired;
}

}  // namespace dockbend
