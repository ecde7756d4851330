#include "store_files.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <stdexcept>

#include "base/types.hpp"
#include "storage/file_descriptor.hpp"

namespace dockbend {

bool file_exists(std::string const& path) {
  return ::access(path.c_str(), F_OK) == 0;
}

void sync_directory(std::string const& directory) {
  FileDescriptor const file(::open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!file.is_open() || ::fsync(file.get()) != 0) throw std::runtime_error("disk: can't sync " + directory);
}

unsigned layout_in_file_header(std::string const& path) {
  static char constexpr kMagic[16] = "SQLite format 3";  // with its zero at the end
  static std::size_t constexpr kUserVersionOffset = 60;  // four bytes, the most significant first
  FileDescriptor const file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!file.is_open()) return 0;
  std::array<u8, kUserVersionOffset + 4> header{};
  if (::pread(file.get(), header.data(), header.size(), 0) != static_cast<ssize_t>(header.size())) return 0;
  if (std::memcmp(header.data(), kMagic, sizeof kMagic) != 0) return 0;
  unsigned version = 0;
  for (std::size_t i = 0; i < 4; ++i)
    version = version << 8 | header[kUserVersionOffset + i];
  return version;
}

}  // namespace dockbend
