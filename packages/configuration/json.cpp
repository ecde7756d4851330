#include "configuration/json.hpp"

#include <array>
#include <cstdio>

namespace dockbend::json {
namespace {
constexpr std::size_t kVersionDigits = 8;

int hexadecimal_digit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

// The library takes a zero byte for the end, and needs stack for each level; so both are refused before it sees them.
void check_text(std::string_view text) {
  u32 depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    char const c = text[i];
    if (c == '\0') throw Fault("", "can't be read whole");
    if (in_string) {
      if (c == '\\')
        ++i;
      else
        in_string = c != '"';
    } else if (c == '"') {
      in_string = true;
    } else if (c == '{' || c == '[') {
      if (++depth > deepest) throw Fault("", "nested too deep");
    } else if ((c == '}' || c == ']') && depth > 0) {
      --depth;
    }
  }
}
}  // namespace

Fault::Fault(std::string field_path, std::string what_is_wrong)
    : std::runtime_error((field_path.empty() ? std::string("body") : field_path) + ": " + what_is_wrong),
      field(std::move(field_path)),
      problem(std::move(what_is_wrong)) {}

Generation parse_gen(std::string const& text, std::string const& at) {
  if (text.size() != kVersionDigits) throw Fault(at, "wants eight hexadecimal digits");
  u64 value = 0;
  for (char const c : text) {
    int const digit = hexadecimal_digit(c);
    if (digit < 0) throw Fault(at, "wants eight hexadecimal digits");
    value = value * 16 + static_cast<u64>(digit);
  }
  return Generation(value);
}

std::string gen_str(Generation version) {
  std::array<char, 20> text{};
  std::snprintf(text.data(), text.size(), "%08llx", static_cast<unsigned long long>(version.v));
  return text.data();
}

schema::RouteKind parse_kind(std::string const& text, std::string const& at) {
  using schema::RouteKind;
  for (RouteKind const kind : {RouteKind::idempotent, RouteKind::effectful, RouteKind::keyed, RouteKind::inflow})
    if (text == kind_str(kind)) return kind;
  throw Fault(at, "no such kind: '" + text + "'");
}

std::string kind_str(schema::RouteKind kind) {
  using schema::RouteKind;
  switch (kind) {
    case RouteKind::idempotent: return "idempotent";
    case RouteKind::effectful: return "effectful";
    case RouteKind::keyed: return "keyed";
    case RouteKind::inflow: return "inflow";
  }
  return "";
}

std::string dump(Value const& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return std::string(buffer.GetString(), buffer.GetSize());
}

rapidjson::Document parse(std::string_view text) {
  check_text(text);
  rapidjson::Document document;
  // Full precision: what is read back is what was sent, to the last digit.
  document.Parse<rapidjson::kParseValidateEncodingFlag | rapidjson::kParseFullPrecisionFlag>(text.data(), text.size());
  if (document.HasParseError()) throw Fault("", "can't be read whole");
  if (!document.IsObject()) throw Fault("", "wants an object");
  return document;
}

Value const* find_member(Value const& object, char const* name) {
  if (!object.IsObject()) return nullptr;
  auto const member = object.FindMember(name);
  return member == object.MemberEnd() || member->value.IsNull() ? nullptr : &member->value;
}

Value const& require_member(Value const& object, char const* name) {
  Value const* const member = find_member(object, name);
  if (member == nullptr) throw Fault(name, "missing");
  return *member;
}

}  // namespace dockbend::json
