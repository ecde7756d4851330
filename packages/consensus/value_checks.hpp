/// Package-private: what every value and every delta from outside must keep.
#pragma once
#include <set>
#include <string_view>

#include "consensus/replicated_state.hpp"

namespace dockbend {

/// Throws codec::MalformedMessage. Value: ReplicatedState or StateDelta, which name these fields alike.
template <class Value>
void check_fields(Value const& value, bool has_membership) {
  auto const need = [](bool holds, char const* message) {
    if (!holds) throw codec::MalformedMessage(message);
  };
  check_ballot(value.ballot);
  need(value.epoch.v <= value.ballot.v && value.open <= value.ballot, "a value newer than its ballot");
  std::set<std::string_view> ips;
  for (Member const& member : value.membership)
    need(!member.ip.empty() && ips.insert(member.ip).second, "a membership with an empty or repeated address");
  need(!has_membership || !ips.empty(), "a value without a membership");
  for (ConfigItem const& item : value.items)
    need(item.key.size() > 1 && item.key[1] == '/' &&
             std::string_view("lrsc").find(item.key[0]) != std::string_view::npos,
         "an item of unknown kind");
}

}  // namespace dockbend
