#include "controller/json_writer.hpp"

namespace dockbend {

std::string json_object(std::function<void(JsonWriter&)> const& write_members) {
  rapidjson::StringBuffer buffer;
  JsonWriter json(buffer);
  write_object(json, [&] { write_members(json); });
  return std::string(buffer.GetString(), buffer.GetSize());
}

void write_object(JsonWriter& json, std::function<void()> const& write_members) {
  json.StartObject();
  write_members();
  json.EndObject();
}

void write_array(JsonWriter& json, char const* name, std::function<void()> const& write_elements) {
  json.Key(name);
  json.StartArray();
  write_elements();
  json.EndArray();
}

void write_member(JsonWriter& json, char const* name, char const* value) {
  json.Key(name);
  json.String(value);
}

void write_member(JsonWriter& json, char const* name, std::string const& value) {
  write_member(json, name, value.c_str());
}

void write_member(JsonWriter& json, char const* name, bool value) {
  json.Key(name);
  json.Bool(value);
}

void write_member(JsonWriter& json, char const* name, double value) {
  json.Key(name);
  json.Double(value);
}

void write_member(JsonWriter& json, char const* name, u32 value) {
  json.Key(name);
  json.Uint(value);
}

void write_member(JsonWriter& json, char const* name, u64 value) {
  json.Key(name);
  json.Uint64(value);
}

}  // namespace dockbend
