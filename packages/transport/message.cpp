#include "transport/message.hpp"

#include "wire/frame.hpp"

namespace dockbend {
namespace {
EncodedMessage shared(MessageType type, std::string bytes) {
  return EncodedMessage{type, std::make_shared<std::string const>(std::move(bytes))};
}
}  // namespace

EncodedMessage encode_message(MessageType type, std::string body) {
  if (body.size() < kDeflateFromBytes) return shared(type, std::move(body));
  std::string deflated = frame::deflate(static_cast<u8>(type), body);
  return deflated.empty() ? shared(type, std::move(body)) : shared(MessageType::deflated, std::move(deflated));
}

}  // namespace dockbend
