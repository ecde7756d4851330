/// Package-private: items are kept in the order of their keys wherever a round wrote them.
#pragma once
#include <algorithm>
#include <vector>

#include "configuration/configuration.hpp"

namespace dockbend {

inline bool by_item_key(ConfigItem const& a, ConfigItem const& b) {
  return a.key < b.key;
}
inline bool are_items_sorted(std::vector<ConfigItem> const& items) {
  return std::is_sorted(items.begin(), items.end(), by_item_key);
}
inline void sort_items(std::vector<ConfigItem>& items) {
  if (!are_items_sorted(items)) std::sort(items.begin(), items.end(), by_item_key);
}
inline bool are_same(Evacuation const& a, Evacuation const& b) {
  return a.zone == b.zone && a.counter == b.counter && a.on == b.on;
}
inline bool are_same(std::vector<Evacuation> const& a, std::vector<Evacuation> const& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](Evacuation const& x, Evacuation const& y) { return are_same(x, y); });
}

}  // namespace dockbend
