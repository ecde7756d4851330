#include "wire/codec.hpp"

namespace dockbend {

namespace codec {
bool append(pb_ostream_t* st, pb_byte_t const* buf, size_t n) {
  static_cast<std::string*>(st->state)->append(reinterpret_cast<char const*>(buf), n);
  return true;
}
}  // namespace codec

}  // namespace dockbend
