// A settings file with every known field, and one with only what must be there: which member each field
// sets, and what a member is without it.
#include <criterion/criterion.h>

#include "settings/settings.hpp"
#include "support/golden_file.hpp"

using namespace dockbend;
using namespace dockbend::test;

namespace {
std::string text(std::string const& value) {
  return value;
}
std::string text(bool value) {
  return value ? "true" : "false";
}
std::string text(double value) {
  char digits[40];
  std::snprintf(digits, sizeof digits, "%.12g", value);
  return digits;
}
std::string text(u32 value) {
  return std::to_string(value);
}
std::string text(std::size_t value) {
  return std::to_string(value);
}

void check_settings(GoldenFile& file, Settings const& settings) {
  file.check("nodeName", text(settings.nodeName));
  file.check("role", text(settings.role));
  file.check("machineClass", text(settings.machineClass));
  file.check("ip", text(settings.ip));
  file.check("zone", text(settings.zone));
  file.check("region", text(settings.region));
  file.check("dataDir", text(settings.dataDir));
  for (auto const& [zone, region] : settings.zones)
    file.check("zones." + zone, region);
  for (auto const& [name, address] : settings.bind)
    file.check("bind." + name, address.str());
  file.check("innerPorts-1", text(settings.innerFirst));
  file.check("innerPorts-2", text(settings.innerLast));
  file.check("agentPort", text(settings.agentPort));
  for (std::size_t i = 0; i < settings.seeds.size(); ++i) {
    file.check("seedAddrs-" + text(i + 1), settings.seeds[i].str());
  }
  file.check("bootstrap", text(settings.bootstrap));
  file.check("lossCounted", text(settings.lossCounted));
  file.check("tolerance.machines", text(settings.toleranceMachines));
  file.check("tolerance.zones", text(settings.toleranceZones));
  file.check("tolerance.regions", text(settings.toleranceRegions));
  file.check("beatPeriodS", text(settings.beatPeriodS));
  file.check("limits.memoryMb", text(settings.memoryMb));
  file.check("limits.diskMb", text(settings.diskMb));
  file.check("limits.linkMbps", text(settings.linkMbps));
  file.check("limits.fdLimit", text(settings.fdLimit));
  file.check("limits.cpuShare", text(settings.cpuShare));
  file.check("bounds.quietS", text(settings.bounds.quietS));
  file.check("bounds.ackBoundS", text(settings.bounds.ackBoundS));
  file.check("bounds.convergeS", text(settings.bounds.convergeS));
  file.check("bounds.drainBoundS", text(settings.bounds.drainBoundS));
  file.check("bounds.gracePeriodS", text(settings.bounds.gracePeriodS));
  file.check("bounds.lossSlackS", text(settings.bounds.lossSlackS));
  file.check("bounds.applyBoundS", text(settings.bounds.applyBoundS));
  file.check("bounds.retryRatio", text(settings.bounds.retryRatio));
  file.check("bounds.retryWindowS", text(settings.bounds.retryWindowS));
  file.check("bounds.retrySlack", text(settings.bounds.retrySlack));
  file.check("bounds.keyHorizonS", text(settings.bounds.keyHorizonS));
  file.check("bounds.coldOvershoot", text(settings.bounds.coldOvershoot));
  file.check("bounds.coldTolerance", text(settings.bounds.coldTolerance));
  file.check("bounds.evacuateBoundS", text(settings.bounds.evacuateBoundS));
  file.check("bounds.settleS", text(settings.bounds.settleS));
  file.check("bounds.ttl_max_s", text(settings.bounds.ttlMaxS));
  file.check("bounds.reuseHoldoffS", text(settings.bounds.reuseHoldoffS));
  file.check("bounds.leaseTermS", text(settings.bounds.leaseTermS));
  file.check("bounds.thawSlackS", text(settings.bounds.thawSlackS));
  file.check("bounds.reportPeriodS", text(settings.bounds.reportPeriodS));
  file.check("bounds.usageError", text(settings.bounds.usageError));
  file.check("bounds.usageDelayS", text(settings.bounds.usageDelayS));
  file.check("cloudApi.dutyPerS", text(settings.dutyPerS));
  file.check("rollout.enough", text(settings.rollout.enough));
  file.check("rollout.stageS", text(settings.rollout.stageS));
  file.check("rollout.resendS", text(settings.rollout.resendS));
  file.check("rollout.giveUpS", text(settings.rollout.giveUpS));
  file.check("cloudApi.address", settings.cloud ? settings.cloud->str() : "none");
  for (std::size_t i = 0; i < settings.cloudTasks.size(); ++i) {
    file.check("cloudApi.tasks-" + text(i + 1), settings.cloudTasks[i]);
  }
  file.check("drain.hook", settings.drainHook ? settings.drainHook->str() : "none");
  file.check("rollout.staged", text(settings.staged));
  for (std::size_t i = 0; i < settings.rollout.stages.size(); ++i) {
    file.check("rollout.stages-" + text(i + 1), text(settings.rollout.stages[i]));
  }
  file.check("of-agentPort", text(settings.agent()));
  file.check("of-relay", text(settings.relay()));
}
}  // namespace

Test(golden_settings, every_field) {
  cr_assert(std::filesystem::exists(golden_path("settings.conf")), "golden file is missing: settings.conf");
  GoldenFile file("settings.txt");
  check_settings(file, load_settings(golden_path("settings.conf")));
  file.finish();
}

Test(golden_settings, defaults) {
  GoldenFile file("settings-defaults.txt");
  check_settings(file, parse_settings("ip=10.9.8.7\ninnerPorts=7001,7009\nzone=zone-1\n"));
  file.finish();
}
