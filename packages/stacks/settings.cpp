#include "stacks/settings.hpp"

#include <arpa/inet.h>

#include <cmath>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>

namespace dockbend {
namespace {

std::vector<std::string> split(std::string const& s, char sep) {
  std::vector<std::string> out;
  std::string cur;
  for (char const c : s) {
    if (c == sep) {
      out.push_back(cur);
      cur.clear();
    } else {
      cur += c;
    }
  }
  if (!cur.empty() || !out.empty()) out.push_back(cur);
  return out;
}

double number(std::string const& f, std::string const& v, double lo, double hi) {
  char* end = nullptr;
  double const d = std::strtod(v.c_str(), &end);
  if (v.empty() || *end != '\0' || !std::isfinite(d)) throw BadSetting(f, "not a number: '" + v + "'");
  if (d < lo || d > hi) throw BadSetting(f, "out of range: " + v);
  return d;
}

bool boolean(std::string const& f, std::string const& v) {
  if (v == "true") return true;
  if (v == "false") return false;
  throw BadSetting(f, "neither true nor false: '" + v + "'");
}

}  // namespace

Addr parse_addr(std::string const& s, std::string const& field) {
  auto const c = s.rfind(':');
  if (c == std::string::npos) throw BadSetting(field, "no port in '" + s + "'");
  Addr a;
  a.ip = s.substr(0, c);
  in_addr tmp{};
  if (inet_pton(AF_INET, a.ip.c_str(), &tmp) != 1) throw BadSetting(field, "no IPv4 address: '" + s + "'");
  a.port = static_cast<u32>(number(field, s.substr(c + 1), 1, 65535));
  return a;
}

Settings parse_settings(std::string const& text) {
  Settings st;
  std::map<std::string, std::function<void(std::string const&, std::string const&)>> known;
  auto str = [&](std::string const& k, std::string& dst) {
    known[k] = [&dst](std::string const&, std::string const& v) { dst = v; };
  };
  auto num = [&](std::string const& k, double& dst, double lo = 0, double hi = 1e9) {
    known[k] = [&dst, lo, hi](std::string const& f, std::string const& v) { dst = number(f, v, lo, hi); };
  };
  str("nodeName", st.nodeName);
  str("role", st.role);
  str("machineClass", st.machineClass);
  str("ip", st.ip);
  str("zone", st.zone);
  str("region", st.region);
  str("dataDir", st.dataDir);
  known["bootstrap"] = [&](auto const& f, auto const& v) { st.bootstrap = boolean(f, v); };
  known["lossCounted"] = [&](auto const& f, auto const& v) { st.lossCounted = boolean(f, v); };
  num("beatPeriodS", st.beatPeriodS, 0.01, 3600);
  num("tolerance.machines", st.toleranceMachines);
  num("tolerance.zones", st.toleranceZones);
  num("tolerance.regions", st.toleranceRegions);
  num("limits.memoryMb", st.memoryMb);
  num("limits.diskMb", st.diskMb);
  num("limits.linkMbps", st.linkMbps);
  num("limits.fdLimit", st.fdLimit);
  num("limits.cpuShare", st.cpuShare);
  Bounds& b = st.bounds;
  num("bounds.quietS", b.quietS);
  num("bounds.ackBoundS", b.ackBoundS, 0.1);
  num("bounds.convergeS", b.convergeS);
  num("bounds.drainBoundS", b.drainBoundS);
  num("bounds.gracePeriodS", b.gracePeriodS, 0.1);
  num("bounds.lossSlackS", b.lossSlackS);
  num("bounds.applyBoundS", b.applyBoundS, 0.1);
  num("bounds.retryRatio", b.retryRatio);
  num("bounds.retryWindowS", b.retryWindowS, 0.1);
  num("bounds.retrySlack", b.retrySlack);
  num("bounds.keyHorizonS", b.keyHorizonS);
  num("bounds.coldOvershoot", b.coldOvershoot);
  num("bounds.coldTolerance", b.coldTolerance);
  num("bounds.evacuateBoundS", b.evacuateBoundS);
  num("bounds.settleS", b.settleS);
  num("bounds.ttl_max_s", b.ttlMaxS);
  num("bounds.reuseHoldoffS", b.reuseHoldoffS);
  num("bounds.leaseTermS", b.leaseTermS, 0.1);
  num("bounds.thawSlackS", b.thawSlackS);
  num("bounds.reportPeriodS", b.reportPeriodS, 0.1);
  num("bounds.usageError", b.usageError);
  num("bounds.usageDelayS", b.usageDelayS, 0.1);
  num("cloudApi.dutyPerS", st.dutyPerS);
  known["cloudApi.address"] = [&](auto const& f, auto const& v) { st.cloud = parse_addr(v, f); };
  known["drain.hook"] = [&](auto const& f, auto const& v) { st.drainHook = parse_addr(v, f); };
  known["cloudApi.tasks"] = [&](auto const&, auto const& v) { st.cloudTasks = split(v, ','); };
  num("rollout.enough", st.rollout.enough, 0.01, 1);
  num("rollout.stageS", st.rollout.stageS, 0.01, 86400);
  num("rollout.resendS", st.rollout.resendS, 0.01, 86400);
  num("rollout.giveUpS", st.rollout.giveUpS, 0.01, 86400);
  known["rollout.staged"] = [&](auto const& f, auto const& v) { st.staged = boolean(f, v); };
  known["rollout.stages"] = [&](auto const& f, auto const& v) {
    st.rollout.stages.clear();
    for (auto const& s : split(v, ',')) {
      double const x = number(f, s, 0.001, 1);
      if (!st.rollout.stages.empty() && x <= st.rollout.stages.back()) throw BadSetting(f, "stages must climb");
      st.rollout.stages.push_back(x);
    }
    if (st.rollout.stages.empty() || st.rollout.stages.back() != 1) throw BadSetting(f, "the last stage must be 1");
  };
  known["innerPorts"] = [&](auto const& f, auto const& v) {
    auto const p = split(v, ',');
    if (p.size() != 2) throw BadSetting(f, "wants FIRST,LAST");
    st.innerFirst = static_cast<u32>(number(f, p[0], 1, 65535));
    st.innerLast = static_cast<u32>(number(f, p[1], 1, 65535));
    if (st.innerLast < st.innerFirst + 1) throw BadSetting(f, "needs at least two ports");
  };
  known["agentPort"] = [&](auto const& f, auto const& v) { st.agentPort = static_cast<u32>(number(f, v, 1, 65535)); };
  known["seedAddrs"] = [&](auto const& f, auto const& v) {
    st.seeds.clear();
    for (auto const& s : split(v, ','))
      if (!s.empty()) st.seeds.push_back(parse_addr(s, f));
  };

  std::istringstream in(text);
  std::string line;
  while (std::getline(in, line)) {
    while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) line.pop_back();
    if (line.empty() || line[0] == '#') continue;
    auto const eq = line.find('=');
    if (eq == std::string::npos) throw BadSetting(line, "no '='");
    std::string const k = line.substr(0, eq), v = line.substr(eq + 1);
    if (k.rfind("zones.", 0) == 0) {
      st.zones[k.substr(6)] = v;
    } else if (k.rfind("bind.", 0) == 0) {
      st.bind[k.substr(5)] = parse_addr(v, k);
    } else if (auto const it = known.find(k); it != known.end()) {
      it->second(k, v);
    }
  }
  if (st.rollout.giveUpS == 0) st.rollout.giveUpS = 0.6 * st.bounds.ackBoundS;
  in_addr tmp{};
  if (inet_pton(AF_INET, st.ip.c_str(), &tmp) != 1) throw BadSetting("ip", "missing or no IPv4 address");
  if (st.innerFirst == 0) throw BadSetting("innerPorts", "missing");
  if (st.zone.empty()) throw BadSetting("zone", "missing");
  if (st.region.empty()) st.region = st.region_of(st.zone);
  if (st.zones.find(st.zone) == st.zones.end()) st.zones[st.zone] = st.region;
  return st;
}

Settings load_settings(std::string const& path) {
  std::ifstream f(path);
  if (!f) throw BadSetting(path, "can't be read");
  std::ostringstream ss;
  ss << f.rdbuf();
  return parse_settings(ss.str());
}

std::string settings_path() {
  char const* p = std::getenv("DOCKBEND_SETTINGS");
  return p != nullptr && *p != '\0' ? p : "/etc/dockbend/boot.conf";
}

}  // namespace dockbend
