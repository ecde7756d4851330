/// JSON answers of the control API that are not a single record: members in the order in which they are written.
#pragma once
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <functional>
#include <string>
#include <vector>

#include "base/types.hpp"

namespace dockbend {

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

/// The text of one object whose members `write_members` writes.
std::string json_object(std::function<void(JsonWriter&)> const& write_members);

/// One object, as an element of an array.
void write_object(JsonWriter& json, std::function<void()> const& write_members);
/// A member that is an array, whose elements `write_elements` writes.
void write_array(JsonWriter& json, char const* name, std::function<void()> const& write_elements);

/// One member. Text ends at its first NUL character.
void write_member(JsonWriter& json, char const* name, char const* value);
void write_member(JsonWriter& json, char const* name, std::string const& value);
void write_member(JsonWriter& json, char const* name, bool value);
void write_member(JsonWriter& json, char const* name, double value);
void write_member(JsonWriter& json, char const* name, u32 value);
void write_member(JsonWriter& json, char const* name, u64 value);

}  // namespace dockbend
