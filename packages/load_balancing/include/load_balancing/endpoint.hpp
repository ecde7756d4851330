/// What the load balancer knows of one server, and what a request asks of it. No I/O.
#pragma once
#include <string>
#include <vector>

#include "base/types.hpp"
#include "load_balancing/slow_start_limiter.hpp"

namespace dockbend {

/// Limits of one service, from the configuration.
struct ServiceLimits {
  double connection_limit = 64;  ///< connections that one server bears, from all proxies together
  double slow_start_rate = 0;    ///< requests a second to one server that is warming up; 0: no limit
  Seconds slow_start_duration = 0;
};

/// One server as this proxy sees it. Invariants: in_flight <= connections; nothing is sent to a server that is not
/// ready, is misdirected, or stands in an evacuated zone. A slot is used again for another server only once nothing of
/// the one before is left; `uses` then rises.
struct Endpoint {
  std::string id, address;
  ServiceIndex service;
  LocationIndex zone, region;
  double capacity = 1;  ///< requests at once, from all proxies together
  bool ready = false;
  bool is_misdirected = false;  ///< another server answered at its address

  Seconds warming_until = 0;
  SlowStartLimiter slow_start;

  u32 in_flight = 0;         ///< requests of this proxy
  u32 connections = 0;       ///< of this proxy
  u32 idle_connections = 0;  ///< of these

  double preference = 0;         ///< 0 to 1, by rendezvous hashing: each proxy prefers a few servers of its own
  double warm_up_draw = 0;       ///< 0 to 1, by another hash: decides which proxies warm it up
  double failure_share = 0;      ///< smoothed share of requests here that failed
  Seconds failure_share_at = 0;  ///< when that was updated
  Seconds safe_idle_time = 60;   ///< connections idle for longer were found reset
  Seconds idle_reset_at = 0;     ///< when that was found

  /// Smoothed time of a response in seconds, 0: none seen. Of unlike routes as if each were an average one of the
  /// service.
  double latency = 0;
  double latency_deviation = 0;  ///< smoothed distance of responses from it
  Seconds latency_at = 0;        ///< of the newest one
  u32 ejections = 0;             ///< in a row, at most five are counted
  Seconds ejected_until = 0;
  u64 uses = 0;  ///< of this slot
};

/// How near a server is, which counts before its load does.
enum class Proximity : u8 { zone = 0, region = 1, remote = 2 };

/// What a request needs of a server. Refers to the caller's data.
struct EndpointQuery {
  ServiceIndex service;
  std::vector<LocationIndex> const* homes = nullptr;    ///< regions; null or empty: any
  std::vector<ServerIndex> const* attempted = nullptr;  ///< not these again
  bool is_upload = false;                               ///< its body is costly to send far
  Seconds latency_target = 0.5;
  std::string const* route = nullptr;  ///< whose estimates count; null: those of the service
};

/// A server that takes longer than this many times the usual latency is busy.
double constexpr kBusyFactor = 1.5;

/// Load shedding: what would be late anyway is refused early, the lowest ranks first. Rank 0 never, rank 1 at three
/// times its latency target, rank 2 at twice, and so on down to once its target. What takes no longer than on a server
/// that is not busy is never refused, whatever the target. usual_latency: on such a server; 0: not known.
inline bool should_shed(u32 rank, Seconds expected_latency, Seconds latency_target, Seconds usual_latency = 0) {
  if (rank == 0 || expected_latency <= kBusyFactor * usual_latency) return false;
  return expected_latency > latency_target * (1.0 + 2.0 / rank);
}

}  // namespace dockbend
