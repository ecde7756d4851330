/// What proxies have open at a server: the message part by which they report it. No I/O.
#pragma once
#include <string>

#include "base/record.hpp"
#include "base/types.hpp"

namespace dockbend {

/// Requests open at the server `id`, of one proxy or summed over several. `uploads`: requests whose body is still
/// being sent; `bytes`: sent of those bodies so far; `age`: seconds since the oldest of them began; `keyed`: requests
/// with an idempotency key; `sessions`: all open requests.
struct OpenWork {
  DB_RECORD(OpenWork, (std::string, id), (u32, uploads), (double, bytes), (double, age), (u32, keyed), (u32, sessions));
  /// Adds what another proxy has open at the same server.
  void add(OpenWork const& other);
};

}  // namespace dockbend
