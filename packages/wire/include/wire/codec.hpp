/// \file
/// Encoding of messages between our own processes: Hana structs written and read by nanopb.
///
/// A member's tag is its position in the struct, from 1. Unknown tags are skipped, so a newer sender may add
/// members at the end; a member that an older sender lacks reads as zero.
/// Invariant: unpack() returns a record whose numbers are finite and fit their fields, or throws
/// MalformedMessage; no list or string is longer than the received bytes.
#pragma once
#include <pb_decode.h>
#include <pb_encode.h>

#include <boost/hana.hpp>
#include <cmath>
#include <cstring>
#include <limits>
#include <stdexcept>
#include <type_traits>

#include "base/record.hpp"
#include "base/types.hpp"

namespace dockbend::codec {
namespace hana = boost::hana;

/// The bytes are not a valid record.
struct MalformedMessage : std::runtime_error {
  using std::runtime_error::runtime_error;
};

template <class T>
struct IsStrong : std::false_type {};
template <class T, class Tag>
struct IsStrong<Strong<T, Tag>> : std::true_type {};
template <class T>
struct IsVector : std::false_type {};
template <class T>
struct IsVector<std::vector<T>> : std::true_type {};
template <class T>
concept Record = hana::Struct<T>::value;
template <class T>
concept IntegerOrEnum = std::is_integral_v<T> || std::is_enum_v<T>;

/// nanopb's output callback: appends to the std::string in st->state.
bool append(pb_ostream_t* st, pb_byte_t const* buf, size_t n);

/// The record's encoding.
template <Record T>
std::string pack(T const& x);
/// Reads all of `in` into x, on top of what x has. Throws MalformedMessage.
template <Record T>
void unpack_from(pb_istream_t* in, T& x);

namespace detail {
template <IntegerOrEnum T>
constexpr u64 largest() {
  if constexpr (std::is_enum_v<T>)
    return largest<std::underlying_type_t<T>>();
  else
    return static_cast<u64>(std::numeric_limits<T>::max());
}

inline void need(bool ok) {
  if (!ok) throw MalformedMessage("malformed message");
}

template <class T>
void put(pb_ostream_t* st, u32 tag, T const& x) {
  if constexpr (IsStrong<T>::value) {
    put(st, tag, x.v);
  } else if constexpr (IsVector<T>::value) {
    for (auto const& e : x) {
      if constexpr (Record<typename T::value_type>) {
        std::string const s = pack(e);
        pb_encode_tag(st, PB_WT_STRING, tag);
        pb_encode_string(st, reinterpret_cast<pb_byte_t const*>(s.data()), s.size());
      } else if constexpr (std::is_same_v<typename T::value_type, std::string>) {
        pb_encode_tag(st, PB_WT_STRING, tag);
        pb_encode_string(st, reinterpret_cast<pb_byte_t const*>(e.data()), e.size());
      } else {
        pb_encode_tag(st, PB_WT_VARINT, tag);
        pb_encode_varint(st, static_cast<u64>(e));
      }
    }
  } else if constexpr (Record<T>) {
    std::string const s = pack(x);
    if (s.empty()) return;
    pb_encode_tag(st, PB_WT_STRING, tag);
    pb_encode_string(st, reinterpret_cast<pb_byte_t const*>(s.data()), s.size());
  } else if constexpr (std::is_same_v<T, std::string>) {
    if (x.empty()) return;
    pb_encode_tag(st, PB_WT_STRING, tag);
    pb_encode_string(st, reinterpret_cast<pb_byte_t const*>(x.data()), x.size());
  } else if constexpr (std::is_floating_point_v<T>) {
    if (x == 0 || !std::isfinite(x)) return;  // receivers reject a number that is not finite
    double const d = x;
    pb_encode_tag(st, PB_WT_64BIT, tag);
    pb_encode_fixed64(st, &d);
  } else {
    static_assert(IntegerOrEnum<T>);
    if (x == T{}) return;
    pb_encode_tag(st, PB_WT_VARINT, tag);
    pb_encode_varint(st, static_cast<u64>(x));
  }
}

inline std::string get_string(pb_istream_t* in) {
  pb_istream_t sub;
  need(pb_make_string_substream(in, &sub));
  std::string s(sub.bytes_left, '\0');
  need(pb_read(&sub, reinterpret_cast<pb_byte_t*>(s.data()), s.size()));
  need(pb_close_string_substream(in, &sub));
  return s;
}

template <class T>
void get(pb_istream_t* in, pb_wire_type_t wt, T& x) {
  if constexpr (IsStrong<T>::value) {
    get(in, wt, x.v);
  } else if constexpr (IsVector<T>::value) {
    typename T::value_type e{};
    get(in, wt, e);
    x.push_back(std::move(e));
  } else if constexpr (Record<T>) {
    need(wt == PB_WT_STRING);
    pb_istream_t sub;
    need(pb_make_string_substream(in, &sub));
    unpack_from(&sub, x);
    need(pb_close_string_substream(in, &sub));
  } else if constexpr (std::is_same_v<T, std::string>) {
    need(wt == PB_WT_STRING);
    x = get_string(in);
  } else if constexpr (std::is_floating_point_v<T>) {
    need(wt == PB_WT_64BIT);
    double d = 0;
    need(pb_decode_fixed64(in, &d) && std::isfinite(d));
    x = d;
  } else {
    need(wt == PB_WT_VARINT);
    u64 v = 0;
    need(pb_decode_varint(in, &v) && v <= largest<T>());
    x = static_cast<T>(v);
  }
}
}  // namespace detail

template <Record T>
std::string pack(T const& x) {
  std::string out;
  pb_ostream_t st{};
  st.callback = append;
  st.state = &out;
  st.max_size = SIZE_MAX;
  u32 tag = 0;
  hana::for_each(hana::accessors<T>(), [&](auto const& acc) { detail::put(&st, ++tag, hana::second(acc)(x)); });
  return out;
}

template <Record T>
void unpack_from(pb_istream_t* in, T& x) {
  while (in->bytes_left > 0) {
    pb_wire_type_t wt{};
    u32 tag = 0;
    bool eof = false;
    if (!pb_decode_tag(in, &wt, &tag, &eof)) {
      detail::need(eof);
      break;
    }
    detail::need(tag != 0);
    bool hit = false;
    u32 i = 0;
    hana::for_each(hana::accessors<T>(), [&](auto const& acc) {
      if (++i == tag && !hit) {
        hit = true;
        detail::get(in, wt, hana::second(acc)(x));
      }
    });
    if (!hit) detail::need(pb_skip_field(in, wt));
  }
}

/// The record with this encoding. Throws MalformedMessage.
template <Record T>
T unpack(std::string_view s) {
  T x{};
  pb_istream_t in = pb_istream_from_buffer(reinterpret_cast<pb_byte_t const*>(s.data()), s.size());
  unpack_from(&in, x);
  return x;
}

}  // namespace dockbend::codec
