/// Which member function handles which type of message.
#pragma once
#include <array>
#include <initializer_list>

#include "transport/message.hpp"

namespace dockbend {

/// A table from each `MessageType` to a member function of `Owner`. A type without an entry has no handler: the
/// owner counts such a message as rejected input.
template <class Owner, class... Arguments>
class MessageDispatch {
 public:
  using Handler = void (Owner::*)(Arguments...);
  struct Entry {
    MessageType type;
    Handler handler;
  };

  MessageDispatch(std::initializer_list<Entry> entries) {
    for (Entry const& entry : entries)
      handlers_[static_cast<u8>(entry.type)] = entry.handler;
  }

  /// Null if messages of this type are not expected here.
  Handler find(MessageType type) const { return handlers_[static_cast<u8>(type)]; }

 private:
  std::array<Handler, 256> handlers_{};  // by the type's number on the wire, one byte
};

}  // namespace dockbend
