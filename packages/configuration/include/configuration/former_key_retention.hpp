/// Decides when a former key need not be known any more.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "configuration/former_keys.hpp"

namespace dockbend {

/// Counts, on the steady clock of this process alone, for how long each version of the items of former keys has been
/// there. What one process has seen for some time has been there for at least that long, whatever clocks others have;
/// after a restart it counts anew.
/// Invariant: the sightings of an item are of rising versions and times, and not older than its oldest key.
class FormerKeyRetention {
 public:
  /// Takes note of the items in force at `now`.
  void observe(std::vector<ConfigItem> const& items, Seconds now);
  /// The keys that have been there for `age` seconds, by the items last observed.
  std::vector<ExpiredFormerKeys> expired(Seconds age, Seconds now);

 private:
  struct Sighting {
    Generation version;
    Seconds first_seen_at = 0;
  };
  struct ObservedItem {
    Generation oldest_key;  ///< the lowest `since` of its keys
    std::vector<Sighting> sightings;
  };

  void observe_item(ConfigItem const& item, Seconds now);

  std::map<std::string, ObservedItem> items_;  ///< by item key; those that hold keys
};

}  // namespace dockbend
