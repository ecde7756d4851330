/// \file
/// What processes use, as the kernel and the allocator say.
#pragma once
#include "base/types.hpp"

namespace dockbend {

/// What a process has used.
struct ProcessUsage {
  Seconds processor_time = 0;
  double resident_megabytes = 0;
};

/// What another process has used so far; zeros if there is no such process.
ProcessUsage process_usage(long pid);

/// The heap that this process holds, in bytes.
double heap_bytes();

/// All bytes that this process handed to write calls so far.
double written_bytes();

/// The processor time that this process spent outside the kernel.
Seconds own_processor_time();

}  // namespace dockbend
