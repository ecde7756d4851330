#include "proxy/load_reporter.hpp"

#include <sys/resource.h>

#include <algorithm>

#include "idempotency/proxy_messages.hpp"

namespace dockbend {
namespace {
Seconds constexpr kShortestUpdateInterval = 0.3;
double constexpr kSmoothing = 0.5;
double constexpr kLeastCpuShare = 0.01;
double constexpr kBytesPerSecondOfMbps = 125e3;
u64 constexpr kListenerTicksPerSecond = 10;

Seconds process_cpu_seconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) * 1e-6;
}
}  // namespace

void LoadReporter::report() {
  ProxyLoadReport message;
  message.ready = context_.is_ready();
  message.draining = context_.drain.is_shutting_down();
  message.front = front_address_;
  Seconds const now = steady_now();
  update_load(now);
  message.load = load_;
  message.drain = drain_status(now);
  context_.agent.send(MessageType::proxy_load, 0, message);
}

// The load is that of the busier of processor and network link.
void LoadReporter::update_load(Seconds now) {
  Seconds const cpu_seconds = process_cpu_seconds();
  if (now - updated_at_ <= kShortestUpdateInterval) return;
  TrafficCounters& traffic = context_.traffic;
  Settings const& settings = context_.settings;
  if (updated_at_ > 0) {
    Seconds const interval = now - updated_at_;
    double const cpu_load = (cpu_seconds - cpu_seconds_) / interval / std::max(kLeastCpuShare, settings.cpuShare);
    double const link_load = settings.linkMbps > 0 ? std::max(traffic.bytes_in, traffic.bytes_out) / interval /
                                                         (settings.linkMbps * kBytesPerSecondOfMbps)
                                                   : 0;
    load_ += kSmoothing * (std::max(cpu_load, link_load) - load_);
  }
  traffic.bytes_in = traffic.bytes_out = 0;
  cpu_seconds_ = cpu_seconds;
  updated_at_ = now;
}

ProxyDrainStatus LoadReporter::drain_status(Seconds now) {
  ProxyDrainState& maintenance = context_.drain.maintenance();
  u32 keyed = 0, uploads = 0;
  if (maintenance.is_concerned()) {
    context_.requests.for_each([&](ProxiedRequest const& request) {
      keyed += request.route->kind == schema::RouteKind::keyed ? 1 : 0;
      uploads += request.is_upload ? 1 : 0;
    });
    // A connection that was silent for longer than a client may be idle has ended.
    u64 const idle_ticks =
        static_cast<u64>(static_cast<double>(kListenerTicksPerSecond) * context_.configuration.limits().idle);
    uploads += front_.open_body_reads(idle_ticks + kListenerTicksPerSecond);
  }
  return maintenance.status(keyed, uploads, now);
}

}  // namespace dockbend
