#include "wire/frame.hpp"

#include <zlib.h>

#include "wire/codec.hpp"

namespace dockbend::frame {
namespace {
std::size_t const zip_head = 5;       // 1 byte kind, 4 bytes length
std::size_t const most_ratio = 1032;  // deflate's own limit
u8 const ping = 1;

void put32(u8* p, u32 x) {
  p[0] = static_cast<u8>(x >> 24);
  p[1] = static_cast<u8>(x >> 16);
  p[2] = static_cast<u8>(x >> 8);
  p[3] = static_cast<u8>(x);
}
u32 get32(u8 const* p) {
  return static_cast<u32>(p[0]) << 24 | static_cast<u32>(p[1]) << 16 | static_cast<u32>(p[2]) << 8 | p[3];
}
}  // namespace

void write_head(u8* p, Header const& h) {
  put32(p, h.size);
  p[4] = h.kind;
  put32(p + 5, h.tag);
}
Header read_head(u8 const* p) {
  return Header{get32(p), p[4], get32(p + 5)};
}

std::string inflate(std::string_view z, u8& kind) {
  if (z.size() < zip_head) throw codec::MalformedMessage("short parcel");
  kind = static_cast<u8>(z[0]);
  if (kind == kDeflatedKind || kind == ping) throw codec::MalformedMessage("parcel of a kind that is never deflated");
  uLongf n = get32(reinterpret_cast<u8 const*>(z.data()) + 1);
  std::size_t const data = z.size() - zip_head;
  if (n > kMaxBodyBytes || n > data * most_ratio) throw codec::MalformedMessage("parcel too large");
  std::string out(n, '\0');
  if (uncompress(reinterpret_cast<Bytef*>(out.data()), &n, reinterpret_cast<Bytef const*>(z.data()) + zip_head, data) !=
          Z_OK ||
      n != out.size())
    throw codec::MalformedMessage("broken parcel");
  return out;
}

std::string deflate(u8 kind, std::string_view body) {
  uLongf n = compressBound(body.size());
  std::string z(n + zip_head, '\0');
  z[0] = static_cast<char>(kind);
  put32(reinterpret_cast<u8*>(z.data()) + 1, static_cast<u32>(body.size()));
  if (compress2(reinterpret_cast<Bytef*>(z.data()) + zip_head, &n, reinterpret_cast<Bytef const*>(body.data()),
                body.size(), 1) != Z_OK ||
      n + zip_head >= body.size())
    return "";
  z.resize(n + zip_head);
  return z;
}

}  // namespace dockbend::frame
