// Answers of the control API as text.
#pragma once
#include <rapidjson/document.h>

#include <string>

namespace dockbend::command_line {

/// A JSON value on one line; strings without quotes.
std::string text_of(rapidjson::Value const& value);

/// An object as text: plain members as `name: value`, lists as their length and a line an element.
void print_object(rapidjson::Value const& object);

/// The body of an answer: as it is with as_json or if it is no JSON, `done` if it is empty, else as text.
void print_reply(std::string const& body, bool as_json);

}  // namespace dockbend::command_line
