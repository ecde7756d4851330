// The frame of a letter: 4 bytes length, 1 byte kind, 4 bytes tag, then the body. No I/O:
// the bytes come from a Source, a socket's buffer or a test's string.
#pragma once
#include <concepts>
#include <exception>
#include <optional>
#include <string>
#include <string_view>

#include "base/types.hpp"

namespace dockbend::frame {

std::size_t constexpr kHeaderLength = 9;
std::size_t constexpr kMaxBodyBytes = 64u << 20;  // of a body, deflated or not
u8 constexpr kDeflatedKind = 255;                 // the kind of a deflated body

struct Header {
  u32 size = 0;
  u8 kind = 0;
  u32 tag = 0;
};
void write_head(u8* p, Header const& h);
Header read_head(u8 const* p);

// A deflated body says inside what kind it has and how long it is. Throws codec::Malformed
// unless the whole inflates to just that; never makes room for more than the bytes that
// came could inflate to.
std::string inflate(std::string_view z, u8& kind);
// "": it would not be shorter.
std::string deflate(u8 kind, std::string_view body);

template <class S>
concept Source = requires(S s, u8* p, std::string& body) {
  { s.open() } -> std::same_as<bool>;
  { s.size() } -> std::convertible_to<std::size_t>;
  s.peek(p);     // the next head_len bytes
  s.take(body);  // drops a head, then fills body with what follows
};

// Hands on every whole frame that has come. Returns why the stream can't go on; none: the
// rest waits for more bytes. Invariant: whatever the bytes are, and whatever on() throws at
// them, nothing is thrown from here; a frame is handed on whole or not at all.
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
