/// The items that a call of the operator sets.
#pragma once
#include <map>
#include <string>

#include "configuration/configuration.hpp"

namespace dockbend::test {

/// amend: the body of the call, which must be valid.
inline std::map<std::string, ConfigItem> items_of(std::string const& amend) {
  std::map<std::string, ConfigItem> items;
  std::string refusal;
  join(items, read_amend(amend), refusal);
  return items;
}

inline void put_items(CompiledConfiguration& configuration, std::string const& amend) {
  for (auto const& [key, item] : items_of(amend))
    configuration.put(item);
}

}  // namespace dockbend::test
