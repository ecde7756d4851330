/// Checks on a configuration change that go beyond the JSON types of its members. Private to this package.
#pragma once
#include <string>

#include "configuration/schema.hpp"

namespace dockbend::validation {

/// Each function checks one item of a call.
/// @param at path of the item in the call, such as "upsert.pools[0]"; the limits have one fixed path
/// @throws json::Fault naming the first member that is not valid
void check_limits(schema::Limits const& limits);
void check_policy(schema::Policy const& policy, std::string const& at);
void check_pool(schema::Pool const& pool, std::string const& at);
void check_customer(schema::Customer const& customer, std::string const& at);

/// A name must not be empty nor have control characters: names stand in headers, log lines and keys.
void check_name(std::string const& name, std::string const& at);

}  // namespace dockbend::validation
