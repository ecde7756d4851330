#include "command_line/printer.hpp"

#include <cstdio>

#include "configuration/json.hpp"

namespace dockbend::command_line {
namespace {

void print_element(rapidjson::Value const& element) {
  if (!element.IsObject()) {
    std::printf("  %s\n", text_of(element).c_str());
    return;
  }
  std::string line;
  for (auto const& field : element.GetObject())
    line += "  " + std::string(field.name.GetString()) + "=" + text_of(field.value);
  std::printf("%s\n", line.c_str());
}

}  // namespace

std::string text_of(rapidjson::Value const& value) {
  if (value.IsString()) return value.GetString();
  return json::dump(value);
}

void print_object(rapidjson::Value const& object) {
  for (auto const& member : object.GetObject()) {
    if (!member.value.IsArray()) {
      std::printf("%s: %s\n", member.name.GetString(), text_of(member.value).c_str());
      continue;
    }
    std::printf("%s: %u\n", member.name.GetString(), member.value.Size());
    for (auto const& element : member.value.GetArray())
      print_element(element);
  }
}

void print_reply(std::string const& body, bool as_json) {
  if (as_json) {
    std::printf("%s\n", body.c_str());
    return;
  }
  try {
    rapidjson::Document const document = json::parse(body);
    if (document.ObjectEmpty())
      std::printf("done\n");
    else
      print_object(document);
  } catch (json::Fault const&) {
    std::printf("%s\n", body.c_str());
  }
}

}  // namespace dockbend::command_line
