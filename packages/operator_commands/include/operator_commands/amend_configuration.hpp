#pragma once
#include <map>
#include <string>
#include <unordered_map>

#include "consensus/replicated_state.hpp"
#include "operator_commands/command_result.hpp"

/// \file
/// The command that changes the configuration.

namespace dockbend {

/// Sets and removes configuration items, all of them or none. Items carry versions: sent again they meet
/// themselves, sent late they meet something newer, and neither changes anything.
class AmendConfiguration {
 public:
  /// known: the value that this controller knew when the call came in; null: none.
  AmendConfiguration(ConfigChange change, ReplicatedState const* known);
  CommandResult apply(ReplicatedState& state) const;
  ConfigChange const& change() const { return change_; }

 private:
  Generation known_version(std::string const& key) const;
  bool may_have_been_refused(ReplicatedState const& state, std::map<std::string, ConfigItem> const& merged) const;
  bool has_item_overtaken(std::map<std::string, ConfigItem> const& merged) const;
  bool has_service_changed(std::map<std::string, ConfigItem> const& merged) const;
  bool has_route_changed(ReplicatedState const& state) const;

  ConfigChange change_;
  /// What was known of its items and of the services that they name, by key.
  std::unordered_map<std::string, Generation> known_versions_;
  bool removes_service_ = false;
  std::map<std::string, Generation> known_routes_;  // by key; only if it removes a service
};

}  // namespace dockbend
