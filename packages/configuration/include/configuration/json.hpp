// JSON <-> Hana structs. A fault names the field by its path.
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

struct Fault : std::runtime_error {
  std::string field;
  Fault(std::string f, std::string const& why)
      : std::runtime_error((f.empty() ? std::string("body") : f) + ": " + why), field(f) {}
};

Generation parse_gen(std::string const& s, std::string const& at);
std::string gen_str(Generation g);
schema::RouteKind parse_kind(std::string const& s, std::string const& at);
std::string kind_str(schema::RouteKind k);
std::string dump(Value const& v);
// Throws Fault unless the whole text is one JSON object, nested no deeper than `deepest`:
// reading, writing and walking it take stack for each level.
u32 constexpr deepest = 64;
rapidjson::Document parse(std::string_view text);

template <class T>
struct IsOptional : std::false_type {};
template <class T>
struct IsOptional<std::optional<T>> : std::true_type {};

template <class T>
void read(Value const& v, std::string const& at, T& x) {
  if constexpr (IsOptional<T>::value) {
    typename T::value_type y{};
    read(v, at, y);
    x = std::move(y);
  } else if constexpr (codec::IsVector<T>::value) {
    if (!v.IsArray()) throw Fault(at, "wants a list");
    x.clear();
    u32 i = 0;
    for (auto const& e : v.GetArray()) {
      typename T::value_type y{};
      read(e, at + "[" + std::to_string(i++) + "]", y);
      x.push_back(std::move(y));
    }
  } else if constexpr (codec::Record<T>) {
    if (!v.IsObject()) throw Fault(at, "wants an object");
    hana::for_each(hana::accessors<T>(), [&](auto const& acc) {
      char const* const n = hana::to<char const*>(hana::first(acc));
      auto& f = hana::second(acc)(x);
      std::string const p = at.empty() ? std::string(n) : at + "." + n;
      auto const it = v.FindMember(n);
      using F = std::decay_t<decltype(f)>;
      if (it == v.MemberEnd() || (it->value.IsNull() && IsOptional<F>::value)) {
        if constexpr (!IsOptional<F>::value) throw Fault(p, "missing");
      } else {
        read(it->value, p, f);
      }
    });
  } else if constexpr (std::is_same_v<T, Generation>) {
    if (!v.IsString()) throw Fault(at, "wants eight hexadecimal digits");
    x = parse_gen(std::string(v.GetString(), v.GetStringLength()), at);
  } else if constexpr (std::is_same_v<T, schema::RouteKind>) {
    if (!v.IsString()) throw Fault(at, "wants a kind");
    x = parse_kind(std::string(v.GetString(), v.GetStringLength()), at);
  } else if constexpr (std::is_same_v<T, std::string>) {
    if (!v.IsString()) throw Fault(at, "wants a string");
    x.assign(v.GetString(), v.GetStringLength());
  } else if constexpr (std::is_same_v<T, bool>) {
    if (!v.IsBool()) throw Fault(at, "wants true or false");
    x = v.GetBool();
  } else if constexpr (std::is_floating_point_v<T>) {
    if (!v.IsNumber()) throw Fault(at, "wants a number");
    x = v.GetDouble();
    if (!std::isfinite(x)) throw Fault(at, "out of range");
  } else {
    if (!v.IsNumber()) throw Fault(at, "wants a number");
    double const d = v.GetDouble();
    if (d < 0 || d != std::floor(d) || d > 9e15) throw Fault(at, "wants a whole number");
    if (d > static_cast<double>(std::numeric_limits<T>::max())) throw Fault(at, "out of range");
    x = static_cast<T>(d);
  }
}

template <class W, class T>
void write(W& w, T const& x) {
  if constexpr (codec::IsVector<T>::value) {
    w.StartArray();
    for (auto const& e : x)
      write(w, e);
    w.EndArray();
  } else if constexpr (codec::Record<T>) {
    w.StartObject();
    hana::for_each(hana::accessors<T>(), [&](auto const& acc) {
      auto const& f = hana::second(acc)(x);
      using F = std::decay_t<decltype(f)>;
      char const* const n = hana::to<char const*>(hana::first(acc));
      if constexpr (IsOptional<F>::value) {
        if (!f) return;
        w.Key(n);
        write(w, *f);
      } else {
        w.Key(n);
        write(w, f);
      }
    });
    w.EndObject();
  } else if constexpr (std::is_same_v<T, Generation>) {
    w.String(gen_str(x).c_str());
  } else if constexpr (std::is_same_v<T, schema::RouteKind>) {
    w.String(kind_str(x).c_str());
  } else if constexpr (codec::IsStrong<T>::value) {
    write(w, x.v);
  } else if constexpr (std::is_same_v<T, std::string>) {
    w.String(x.c_str(), static_cast<rapidjson::SizeType>(x.size()));
  } else if constexpr (std::is_same_v<T, bool>) {
    w.Bool(x);
  } else if constexpr (std::is_floating_point_v<T>) {
    w.Double(x);
  } else {
    w.Uint64(static_cast<u64>(x));
  }
}

template <class T>
std::string render(T const& x) {
  rapidjson::StringBuffer sb;
  rapidjson::Writer<rapidjson::StringBuffer> w(sb);
  write(w, x);
  return std::string(sb.GetString(), sb.GetSize());
}

template <class T>
T parse_as(std::string_view text) {
  rapidjson::Document const d = parse(text);
  T x{};
  read(static_cast<Value const&>(d), "", x);
  return x;
}

}  // namespace dockbend::json
