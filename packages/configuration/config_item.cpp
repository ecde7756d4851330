#include "configuration/config_item.hpp"

#include "configuration/json.hpp"

namespace dockbend {
namespace item_key {
namespace {
/// In no name that an operator gives, for it is a control character.
std::string const kFormerKeysMark = "\x1f";

std::string key_of(char kind, std::string const& name) {
  return std::string(1, kind) + "/" + name;
}
}  // namespace

std::string limits() {
  return key_of(kLimits, "");
}

std::string route(std::string const& name) {
  return key_of(kRoute, name);
}

std::string service(std::string const& name) {
  return key_of(kService, name);
}

std::string tenant(std::string const& name) {
  return key_of(kTenant, name);
}

std::string former_keys(std::string const& tenant) {
  return key_of(kTenant, kFormerKeysMark + tenant);
}
}  // namespace item_key

namespace {
// The body without its version, whose hexadecimal digits may be in either case.
rapidjson::Document without_version(std::string const& body) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseFullPrecisionFlag>(body.data(), body.size());
  rapidjson::Value* item = &document;
  if (document.IsObject() && document.HasMember("policy")) item = &document["policy"];
  if (item->IsObject()) item->EraseMember("generation");
  return document;
}

/// The member `service` of that object, if it has one.
void append_service(std::vector<std::string>& services, rapidjson::Value const& object) {
  rapidjson::Value const* const service = json::find_member(object, "service");
  if (service != nullptr && service->IsString())
    services.emplace_back(service->GetString(), service->GetStringLength());
}
}  // namespace

std::vector<std::string> services_named_by(ConfigItem const& route) {
  std::vector<std::string> services;
  rapidjson::Document document;
  document.Parse(route.body.data(), route.body.size());
  rapidjson::Value const* const policy = json::find_member(document, "policy");
  rapidjson::Value const* const actuation = policy == nullptr ? nullptr : json::find_member(*policy, "actuation");
  if (actuation == nullptr) return services;
  append_service(services, *actuation);
  rapidjson::Value const* const split = json::find_member(*actuation, "split");
  if (split != nullptr && split->IsArray())
    for (rapidjson::Value const& share : split->GetArray())
      append_service(services, share);
  return services;
}

bool same_item(ConfigItem const& a, ConfigItem const& b) {
  if (a.key != b.key || a.gen != b.gen || a.gone != b.gone) return false;
  if (a.body == b.body) return true;
  rapidjson::Document const first = without_version(a.body);
  rapidjson::Document const second = without_version(b.body);
  return !first.HasParseError() && !second.HasParseError() && first == second;
}

}  // namespace dockbend
