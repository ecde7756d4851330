/// Reads and writes records (DB_RECORD) as JSON. A member's name is the field's wire name. Optional fields may be
/// absent or null; all others must be there; unknown members are ignored.
#pragma once
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cmath>
#include <limits>
#include <stdexcept>

#include "configuration/schema.hpp"
#include "wire/codec.hpp"

namespace dockbend::json {
namespace hana = boost::hana;
using Value = rapidjson::Value;

/// JSON that can't be read or is not what was expected. Its text is "field: problem".
struct Fault : std::runtime_error {
  std::string field;    // path of the member, such as "upsert.pools[0].coldS"; empty: the whole body
  std::string problem;  // what was expected or found instead

  Fault(std::string field_path, std::string what_is_wrong);
};

/// An item's version on the wire: eight hexadecimal digits, in either case when read.
/// @throws Fault naming `at`
Generation parse_gen(std::string const& text, std::string const& at);
std::string gen_str(Generation version);

/// A route's kind by its wire name.
/// @throws Fault naming `at` and the name that is not known
schema::RouteKind parse_kind(std::string const& text, std::string const& at);
std::string kind_str(schema::RouteKind kind);

/// The value as JSON text without blanks.
std::string dump(Value const& value);

/// How deep JSON may be nested: parsing, writing and walking it take stack for each level.
constexpr u32 deepest = 64;

/// @throws Fault unless the text is exactly one JSON object, nested no deeper than `deepest`
rapidjson::Document parse(std::string_view text);

/// The member of that name; null if `object` is no object, has none or has null there.
Value const* find_member(Value const& object, char const* name);
/// @throws Fault if find_member gives null
Value const& require_member(Value const& object, char const* name);

template <class T>
struct IsOptional : std::false_type {};
template <class T>
struct IsOptional<std::optional<T>> : std::true_type {};

namespace detail {
constexpr double kLargestExactInteger = 9e15;  // a little below 2^53: beyond it a double skips integers

inline void expect(bool is_met, std::string const& at, char const* problem) {
  if (!is_met) throw Fault(at, problem);
}

inline std::string string_of(Value const& value) {
  return std::string(value.GetString(), value.GetStringLength());
}

template <class T>
T read_integer(Value const& value, std::string const& at) {
  expect(value.IsNumber(), at, "wants a number");
  double const number = value.GetDouble();
  expect(number >= 0 && number == std::floor(number) && number <= kLargestExactInteger, at, "wants a whole number");
  expect(number <= static_cast<double>(std::numeric_limits<T>::max()), at, "out of range");
  return static_cast<T>(number);
}
}  // namespace detail

template <class T>
void read(Value const& value, std::string const& at, T& out);

namespace detail {
template <class T>
void read_list(Value const& value, std::string const& at, std::vector<T>& out) {
  expect(value.IsArray(), at, "wants a list");
  out.clear();
  u32 index = 0;
  for (Value const& element : value.GetArray()) {
    T entry{};
    read(element, at + "[" + std::to_string(index++) + "]", entry);
    out.push_back(std::move(entry));
  }
}

template <class T>
void read_record(Value const& value, std::string const& at, T& out) {
  expect(value.IsObject(), at, "wants an object");
  hana::for_each(hana::accessors<T>(), [&](auto const& accessor) {
    char const* const name = hana::to<char const*>(hana::first(accessor));
    auto& field = hana::second(accessor)(out);
    constexpr bool is_optional = IsOptional<std::decay_t<decltype(field)>>::value;
    std::string const path = at.empty() ? std::string(name) : at + "." + name;
    auto const member = value.FindMember(name);
    if (member != value.MemberEnd() && !(is_optional && member->value.IsNull()))
      read(member->value, path, field);
    else if constexpr (!is_optional)
      throw Fault(path, "missing");
  });
}
}  // namespace detail

/// Reads `value` into `out`.
/// @param at path of the value, for faults; empty for the whole body
/// @throws Fault naming the first member that is missing or not of its field's type; `out` is then partly set
template <class T>
void read(Value const& value, std::string const& at, T& out) {
  using detail::expect;
  if constexpr (IsOptional<T>::value) {
    typename T::value_type content{};
    read(value, at, content);
    out = std::move(content);
  } else if constexpr (codec::IsVector<T>::value) {
    detail::read_list(value, at, out);
  } else if constexpr (codec::Record<T>) {
    detail::read_record(value, at, out);
  } else if constexpr (std::is_same_v<T, Generation>) {
    expect(value.IsString(), at, "wants eight hexadecimal digits");
    out = parse_gen(detail::string_of(value), at);
  } else if constexpr (std::is_same_v<T, schema::RouteKind>) {
    expect(value.IsString(), at, "wants a kind");
    out = parse_kind(detail::string_of(value), at);
  } else if constexpr (std::is_same_v<T, std::string>) {
    expect(value.IsString(), at, "wants a string");
    out = detail::string_of(value);
  } else if constexpr (std::is_same_v<T, bool>) {
    expect(value.IsBool(), at, "wants true or false");
    out = value.GetBool();
  } else if constexpr (std::is_floating_point_v<T>) {
    expect(value.IsNumber(), at, "wants a number");
    out = value.GetDouble();
    expect(std::isfinite(out), at, "out of range");
  } else {
    out = detail::read_integer<T>(value, at);
  }
}

template <class Writer, class T>
void write(Writer& writer, T const& value);

namespace detail {
template <class Writer, class T>
void write_record(Writer& writer, T const& record) {
  writer.StartObject();
  hana::for_each(hana::accessors<T>(), [&](auto const& accessor) {
    auto const& field = hana::second(accessor)(record);
    char const* const name = hana::to<char const*>(hana::first(accessor));
    if constexpr (IsOptional<std::decay_t<decltype(field)>>::value) {
      if (!field) return;
      writer.Key(name);
      write(writer, *field);
    } else {
      writer.Key(name);
      write(writer, field);
    }
  });
  writer.EndObject();
}
}  // namespace detail

/// Writes `value` to a rapidjson writer. Optional fields without a value are left out.
template <class Writer, class T>
void write(Writer& writer, T const& value) {
  if constexpr (codec::IsVector<T>::value) {
    writer.StartArray();
    for (auto const& element : value)
      write(writer, element);
    writer.EndArray();
  } else if constexpr (codec::Record<T>) {
    detail::write_record(writer, value);
  } else if constexpr (std::is_same_v<T, Generation>) {
    writer.String(gen_str(value).c_str());
  } else if constexpr (std::is_same_v<T, schema::RouteKind>) {
    writer.String(kind_str(value).c_str());
  } else if constexpr (codec::IsStrong<T>::value) {
    write(writer, value.v);
  } else if constexpr (std::is_same_v<T, std::string>) {
    writer.String(value.c_str(), static_cast<rapidjson::SizeType>(value.size()));
  } else if constexpr (std::is_same_v<T, bool>) {
    writer.Bool(value);
  } else if constexpr (std::is_floating_point_v<T>) {
    writer.Double(value);
  } else {
    writer.Uint64(static_cast<u64>(value));
  }
}

/// The record as JSON text.
template <class T>
std::string render(T const& record) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  write(writer, record);
  return std::string(buffer.GetString(), buffer.GetSize());
}

/// Reads a record from JSON text.
/// @throws Fault as parse() and read()
template <class T>
T parse_as(std::string_view text) {
  rapidjson::Document const document = parse(text);
  T record{};
  read(static_cast<Value const&>(document), "", record);
  return record;
}

}  // namespace dockbend::json
