#include "settings/settings.hpp"

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
  // Decimal only: strtod accepts blanks, nan and hexadecimal too.
  bool const plain = !v.empty() && v.find_first_not_of("0123456789+-.eE") == std::string::npos;
  if (!plain || end != v.c_str() + v.size() || !std::isfinite(d)) throw SettingsError(f, "not a number: '" + v + "'");
  if (d < lo || d > hi) throw SettingsError(f, "out of range: " + v);
  return d;
}

u32 port(std::string const& f, std::string const& v) {
  if (v.empty() || v.size() > 5 || v.find_first_not_of("0123456789") != std::string::npos)
    throw SettingsError(f, "not a port: '" + v + "'");
  return static_cast<u32>(number(f, v, 1, 65535));
}

bool boolean(std::string const& f, std::string const& v) {
  if (v == "true") return true;
  if (v == "false") return false;
  throw SettingsError(f, "neither true nor false: '" + v + "'");
}

}  // namespace

bool is_ip(std::string const& s) {
  in_addr tmp{};
  return s.find('\0') == std::string::npos && inet_pton(AF_INET, s.c_str(), &tmp) == 1;
}

Address parse_addr(std::string const& s, std::string const& field) {
  auto const c = s.rfind(':');
  if (c == std::string::npos) throw SettingsError(field, "no port in '" + s + "'");
  Address a;
  a.ip = s.substr(0, c);
  if (!is_ip(a.ip)) throw SettingsError(field, "no IPv4 address: '" + s + "'");
  a.port = port(field, s.substr(c + 1));
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
  for (auto const& [k, dst] : {std::pair{"tolerance.machines", &st.toleranceMachines},
                               {"tolerance.zones", &st.toleranceZones},
                               {"tolerance.regions", &st.toleranceRegions}})
    known[k] = [dst = dst](auto const& f, auto const& v) {
      *dst = number(f, v, 0, 1e6);
      if (*dst != std::floor(*dst)) throw SettingsError(f, "wants a whole number: " + v);
    };
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
      if (!st.rollout.stages.empty() && x <= st.rollout.stages.back()) throw SettingsError(f, "stages must climb");
      st.rollout.stages.push_back(x);
    }
    if (st.rollout.stages.empty() || st.rollout.stages.back() != 1) throw SettingsError(f, "the last stage must be 1");
  };
  known["innerPorts"] = [&](auto const& f, auto const& v) {
    auto const p = split(v, ',');
    if (p.size() != 2) throw SettingsError(f, "wants FIRST,LAST");
    st.innerFirst = port(f, p[0]);
    st.innerLast = port(f, p[1]);
    if (st.innerLast < st.innerFirst + 1) throw SettingsError(f, "needs at least two ports");
  };
  known["agentPort"] = [&](auto const& f, auto const& v) { st.agentPort = port(f, v); };
  known["seedAddrs"] = [&](auto const& f, auto const& v) {
    st.seeds.clear();
    for (auto const& s : split(v, ','))
      if (!s.empty()) st.seeds.push_back(parse_addr(s, f));
  };

  std::istringstream in(text);
  std::string line;
  std::map<std::string, std::string> given;
  while (std::getline(in, line)) {
    while (!line.empty() && (line.back() == '\r' || line.back() == ' '))
      line.pop_back();
    if (line.empty() || line[0] == '#') continue;
    auto const eq = line.find('=');
    if (eq == std::string::npos) throw SettingsError("settings", "no '=' in line '" + line.substr(0, 60) + "'");
    std::string const k = line.substr(0, eq), v = line.substr(eq + 1);
    if (known.count(k) == 0 && k.rfind("zones.", 0) != 0 && k.rfind("bind.", 0) != 0) continue;
    if (has_control(k) || has_control(v)) throw SettingsError(k.substr(0, k.find('.')), "holds a control character");
    // Which of two values is meant can't be known; the same value given twice does no harm.
    if (auto const [g, fresh] = given.try_emplace(k, v); !fresh && g->second != v)
      throw SettingsError(k, "given twice: '" + g->second + "' and '" + v + "'");
    if (k.rfind("zones.", 0) == 0) {
      st.zones[k.substr(6)] = v;
    } else if (k.rfind("bind.", 0) == 0) {
      st.bind[k.substr(5)] = parse_addr(v, k);
    } else {
      known[k](k, v);
    }
  }
  if (st.rollout.giveUpS == 0) st.rollout.giveUpS = 0.6 * st.bounds.ackBoundS;
  if (!is_ip(st.ip)) throw SettingsError("ip", "missing or no IPv4 address");
  if (st.innerFirst == 0) throw SettingsError("innerPorts", "missing");
  if (st.zone.empty()) throw SettingsError("zone", "missing");
  if (st.region.empty()) st.region = st.region_of(st.zone);
  if (st.zones.count(st.zone) > 0 && st.region_of(st.zone) != st.region)
    throw SettingsError("region",
                        "'" + st.region + "', but zones." + st.zone + " says '" + st.region_of(st.zone) + "'");
  if (st.zones.find(st.zone) == st.zones.end()) st.zones[st.zone] = st.region;
  return st;
}

Settings load_settings(std::string const& path) {
  std::ifstream f(path);
  if (!f) throw SettingsError(path, "can't be read");
  std::ostringstream ss;
  ss << f.rdbuf();
  return parse_settings(ss.str());
}

std::string settings_path() {
  char const* p = std::getenv("DOCKBEND_SETTINGS");
  return p != nullptr && *p != '\0' ? p : "/etc/dockbend/boot.conf";
}

}  // namespace dockbend
