#include "configuration/rendering.hpp"

#include "configuration/json.hpp"

namespace dockbend {
namespace {
void append_element(std::string& list, std::string const& element) {
  if (!list.empty()) list += ",";
  list += element;
}

std::string render_sockets(std::map<std::string, std::string> const& policies_by_host) {
  std::string sockets;
  for (auto const& [host, policies] : policies_by_host)
    append_element(sockets, "{\"host\":" + host + ",\"policy\":[" + policies + "]}");
  return sockets;
}
}  // namespace

std::string render_read(std::map<std::string, ConfigItem> const& items) {
  std::string limits, services, tenants;
  std::map<std::string, std::string> policies_by_host;  // both as JSON
  for (auto const& [key, item] : items) {
    if (item.gone) continue;
    switch (key[0]) {
      case item_key::kLimits: limits = item.body; break;
      case item_key::kService: append_element(services, item.body); break;
      case item_key::kTenant: append_element(tenants, item.body); break;
      default: {
        rapidjson::Document const route = json::parse(item.body);
        append_element(policies_by_host[json::dump(json::require_member(route, "host"))],
                       json::dump(json::require_member(route, "policy")));
      }
    }
  }
  std::string out = "{";
  if (!limits.empty()) out += "\"limits\":" + limits + ",";
  if (!tenants.empty()) out += "\"customers\":[" + tenants + "],";
  return out + "\"sockets\":[" + render_sockets(policies_by_host) + "],\"pools\":[" + services + "]}";
}

}  // namespace dockbend
