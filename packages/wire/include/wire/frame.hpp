/// \file
/// The frame of a message: 4 bytes length, 1 byte message type ("kind"), 4 bytes tag, then the body. No I/O:
/// the bytes come from a Source, which is a socket's buffer or a test's string.
#pragma once
#include <concepts>
#include <exception>
#include <optional>
#include <string>
#include <string_view>

#include "base/types.hpp"

namespace dockbend::frame {

std::size_t constexpr kHeaderLength = 9;
std::size_t constexpr kMaxBodyBytes = 64u << 20;  // deflated or not
u8 constexpr kDeflatedKind = 255;                 // message type of a deflated body

/// `size`: bytes of the body; `kind`: the message type; `tag`: chosen by the requester, repeated in the response.
struct Header {
  u32 size = 0;
  u8 kind = 0;
  u32 tag = 0;
};
/// Both handle kHeaderLength bytes, in network byte order.
void write_head(u8* p, Header const& h);
Header read_head(u8 const* p);

/// Inflates a body, which begins with the message type and the length of the inflated body. Throws
/// codec::MalformedMessage unless all of it inflates to exactly that length; never allocates more than the
/// received bytes could inflate to.
std::string inflate(std::string_view z, u8& kind);
/// The deflated body; "" if it would not be shorter.
std::string deflate(u8 kind, std::string_view body);

/// Received bytes. open(): the connection is still in use; size(): how many bytes are there.
template <class S>
concept Source = requires(S s, u8* p, std::string& body) {
  { s.open() } -> std::same_as<bool>;
  { s.size() } -> std::convertible_to<std::size_t>;
  s.peek(p);     // the next kHeaderLength bytes
  s.take(body);  // drops a header, then fills body with the bytes after it
};

/// Calls on(header, body) for every complete frame. Returns why the stream can't go on; nullopt: the rest waits
/// for more bytes. Invariant: whatever the bytes are and whatever on() throws, this function throws nothing; on()
/// gets complete frames only.
template <Source S, class F>
std::optional<std::string> each(S&& in, F on) {
  while (in.open()) {
    if (in.size() < kHeaderLength) return std::nullopt;
    u8 p[kHeaderLength];
    in.peek(p);
    Header h = read_head(p);
    if (h.size > kMaxBodyBytes) return "a length of " + std::to_string(h.size);
    if (in.size() < kHeaderLength + h.size) return std::nullopt;
    u8 const kind = h.kind;
    try {
      std::string body(h.size, '\0');
      in.take(body);
      if (h.kind == kDeflatedKind) body = inflate(body, h.kind);
      on(h, body);
    } catch (std::exception const& e) {
      return std::string(e.what()) + " in a letter of kind " + std::to_string(kind == kDeflatedKind ? h.kind : kind);
    }
  }
  return std::nullopt;
}

}  // namespace dockbend::frame
