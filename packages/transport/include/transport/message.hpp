/// Messages as they come from a connection and as they are made ready for sending.
#pragma once
#include <memory>
#include <string>
#include <string_view>

#include "wire/codec.hpp"
#include "wire/message_type.hpp"

namespace dockbend {

/// A message's body made ready once, for many receivers; a large one is deflated. All connections in which it waits
/// share the bytes, so they cost memory once.
struct EncodedMessage {
  MessageType kind{};  // as sent: `deflated` if the body is
  std::shared_ptr<std::string const> bytes;

  std::string const& body() const { return *bytes; }
  bool empty() const { return !bytes || bytes->empty(); }
};

/// Bodies below this fill one packet as they are and are not deflated.
constexpr std::size_t kDeflateFromBytes = 1500;

/// Encodes a body; deflates it if it is large enough and gets shorter by that.
EncodedMessage encode_message(MessageType type, std::string body);

/// A message that has come. The body is valid only during the call that brings it.
struct Message {
  MessageType kind{};
  u32 tag = 0;  // chosen by the sender; an answer has its request's
  std::string_view body;

  /// @throws codec::MalformedMessage if the body is no such record
  template <codec::Record T>
  T as() const {
    return codec::unpack<T>(body);
  }
};

}  // namespace dockbend
