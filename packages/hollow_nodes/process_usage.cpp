#include "hollow_nodes/process_usage.hpp"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>

namespace dockbend {
namespace {
double constexpr kBytesPerMegabyte = 1e6;
double constexpr kSecondsPerMicrosecond = 1e-6;
}  // namespace

ProcessUsage process_usage(long pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string const text((std::istreambuf_iterator<char>(file)), {});
  auto const name_end = text.rfind(')');  // the name before it may hold spaces
  if (name_end == std::string::npos) return {};
  unsigned long user_ticks = 0, system_ticks = 0;
  long resident_pages = 0;
  std::sscanf(text.c_str() + name_end + 2,
              "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu %*d %*d %*d %*d %*d %*d %*u %*u %ld", &user_ticks,
              &system_ticks, &resident_pages);
  ProcessUsage usage;
  usage.processor_time = static_cast<double>(user_ticks + system_ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
  usage.resident_megabytes =
      static_cast<double>(resident_pages) * static_cast<double>(sysconf(_SC_PAGESIZE)) / kBytesPerMegabyte;
  return usage;
}

double heap_bytes() {
  struct mallinfo2 const info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

double written_bytes() {
  std::ifstream file("/proc/self/io");
  std::string name;
  double count = 0;
  while (file >> name >> count)
    if (name == "wchar:") return count;
  return 0;
}

Seconds own_processor_time() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_utime.tv_sec) +
         static_cast<double>(usage.ru_utime.tv_usec) * kSecondsPerMicrosecond;
}

}  // namespace dockbend
