#include <fcntl.h>
#include <time.h>
#include <unistd.h>

#include "base/types.hpp"

namespace dockbend {

Seconds steady_now() {
  timespec ts{};
  clock_gettime(CLOCK_MONOTONIC, &ts);
  return static_cast<double>(ts.tv_sec) + static_cast<double>(ts.tv_nsec) * 1e-9;
}

double wall_clock_now() {
  timespec ts{};
  clock_gettime(CLOCK_REALTIME, &ts);
  return static_cast<double>(ts.tv_sec) + static_cast<double>(ts.tv_nsec) * 1e-9;
}

u64 hash64(std::string_view s, u64 seed) {
  u64 h = 1469598103934665603ULL ^ (seed * 0x9e3779b97f4a7c15ULL);
  for (char const c : s) {
    h ^= static_cast<u8>(c);
    h *= 1099511628211ULL;
  }
  h ^= h >> 33;
  h *= 0xff51afd7ed558ccdULL;
  h ^= h >> 29;
  return h;
}

u64 next64(u64& state) {
  state += 0x9e3779b97f4a7c15ULL;
  u64 z = state;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

u64 random64() {
  static u64 s = [] {
    u64 x = 0;
    int const fd = ::open("/dev/urandom", O_RDONLY | O_CLOEXEC);
    if (fd >= 0) {
      if (::read(fd, &x, sizeof x) != static_cast<ssize_t>(sizeof x)) x = 0;
      ::close(fd);
    }
    timespec ts{};
    clock_gettime(CLOCK_REALTIME, &ts);
    return x ^ (static_cast<u64>(ts.tv_nsec) << 20) ^ static_cast<u64>(ts.tv_sec) ^
           (static_cast<u64>(::getpid()) << 48);
  }();
  return next64(s);
}

double random01() {
  return static_cast<double>(random64() >> 11) * 0x1.0p-53;
}

}  // namespace dockbend
