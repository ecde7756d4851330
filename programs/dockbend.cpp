// dockbend: the operator's command line. It speaks the control API only.
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <getopt.h>

#include <cmath>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <set>
#include <sstream>

#include "configuration/json.hpp"
#include "planning/drain_orders.hpp"
#include "planning/forecast.hpp"
#include "settings/settings.hpp"

using namespace dockbend;
using json::Value;

namespace {

int const rc_ok = 0, rc_failed = 1, rc_usage = 2, rc_unfit = 3;

void usage(FILE* f) {
  std::fprintf(
      f,
      "dockbend: looks at a running system and steers it\n\n"
      "usage: dockbend [--at HOST:PORT] [--json] [--timeout S] COMMAND\n\n"
      "  status                    members, manifest, servers, directory rows\n"
      "  manifest read             the whole manifest, as JSON\n"
      "  manifest amend FILE       sends a change; - reads standard input\n"
      "  evacuation begin ZONE     nothing more goes to the zone's servers\n"
      "  evacuation finish ZONE    takes that back\n"
      "  evacuation preview ZONE.. who would take over; changes nothing\n"
      "  evacuation compare FILE   a saved preview against what the sites receive now\n"
      "  member list               the core's members: state, since when, what may be lost\n"
      "  member remove ADDRESS     takes one out for good; refused where that would harm\n"
      "  member add ADDRESS        lets one that was taken out come back\n"
      "  duty status               who carries out what only one node does\n"
      "  duty hand-over DUTY NODE  moves a duty\n"
      "  allowance list            the partners' budgets\n"
      "  allowance show TENANT     one of them, with what each gateway has borrowed\n"
      "  rollout status            the rollouts under way\n"
      "  rollout pause ID          settles no further stage\n"
      "  rollout resume ID         goes on\n"
      "  rollout abort ID          falls back to the trusted version\n"
      "  drain plan NAME..         waves in which proxies can go out; changes nothing\n"
      "  drain start NAME..        takes them out in these waves; NAME: node, address, zone, region\n"
      "  rotation plan NAME..      the order in which servers would leave; changes nothing\n"
      "  rotation start NAME..     takes them out in order; NAME: id, service, generation, zone\n"
      "  drain|rotation status     passes, and what each unit still holds\n"
      "  drain|rotation pause ID, resume ID, abort ID, return ID UNIT\n\n"
      "  --at HOST:PORT  a control address (default: the settings' own, then its seeds)\n"
      "  --json          print the answer as JSON\n"
      "  --timeout S     how long to wait for an answer (default 5)\n"
      "  --save FILE     keep a preview for a later compare\n"
      "  --if-fits       with evacuation begin: only if the preview fits\n"
      "  --tolerance X   with evacuation compare: the share that may differ (default 0.15)\n"
      "  --headroom X    with drain and rotation: the share that stays free (default 0.2)\n"
      "  --max-unavailable N  with rotation: servers of a service out at once (default 1)\n"
      "  --patience S    after this long a unit that is not empty is spoken of (default 60)\n"
      "  --not-replaced  with rotation: nothing comes in the place of what leaves\n"
      "  --help          this text\n"
      "  --version       the version\n\n"
      "exit codes: 0 done (a preview or plan: fits), 1 not reached or refused, 2 wrong usage,\n"
      "3 no order keeps the headroom, a preview that would overload something or leave it homeless, or a compare that\n"
      "is off by more than the tolerance\n");
}

struct Got {
  int code = 0;  // 0: not reached
  std::string body, location;
};

Got call(Address const& at, evhttp_cmd_type cmd, std::string const& path, std::string const& body, int timeout) {
  event_base* loop = event_base_new();
  evhttp_connection* c = evhttp_connection_base_new(loop, nullptr, at.ip.c_str(), static_cast<ev_uint16_t>(at.port));
  evhttp_connection_set_timeout(c, timeout);
  Got g;
  evhttp_request* r = evhttp_request_new(
      [](evhttp_request* q, void* p) {
        if (q == nullptr || evhttp_request_get_response_code(q) == 0) return;
        Got& out = *static_cast<Got*>(p);
        out.code = evhttp_request_get_response_code(q);
        if (char const* l = evhttp_find_header(evhttp_request_get_input_headers(q), "Location"); l != nullptr)
          out.location = l;
        evbuffer* b = evhttp_request_get_input_buffer(q);
        out.body.resize(evbuffer_get_length(b));
        evbuffer_copyout(b, out.body.data(), out.body.size());
      },
      &g);
  evkeyvalq* h = evhttp_request_get_output_headers(r);
  evhttp_add_header(h, "Host", at.str().c_str());
  evhttp_add_header(h, "Connection", "close");
  evhttp_add_header(h, "Content-Type", "application/json");
  if (!body.empty()) evbuffer_add(evhttp_request_get_output_buffer(r), body.data(), body.size());
  evhttp_make_request(c, r, cmd, path.c_str());
  event_base_dispatch(loop);
  evhttp_connection_free(c);
  event_base_free(loop);
  return g;
}

// Not a number: what no check lets pass.
double number_of(char const* s) {
  char* end = nullptr;
  double const x = std::strtod(s, &end);
  return end == s || *end != '\0' ? std::nan("") : x;
}

std::string text_of(Value const& v) {
  if (v.IsString()) return v.GetString();
  return json::dump(v);
}

// Lists of objects as lines, plain values as `name: value`.
void print_text(Value const& v) {
  for (auto const& m : v.GetObject()) {
    if (!m.value.IsArray()) {
      std::printf("%s: %s\n", m.name.GetString(), text_of(m.value).c_str());
      continue;
    }
    std::printf("%s: %u\n", m.name.GetString(), m.value.Size());
    for (auto const& e : m.value.GetArray()) {
      if (!e.IsObject()) {
        std::printf("  %s\n", text_of(e).c_str());
        continue;
      }
      std::string line;
      for (auto const& f : e.GetObject())
        line += "  " + std::string(f.name.GetString()) + "=" + text_of(f.value);
      std::printf("%s\n", line.c_str());
    }
  }
}

// What the command line says, apart from the command itself.
struct Options {
  std::vector<Address> at;
  bool as_json = false, if_fits = false;
  int timeout = 5;
  std::string save;
  double tolerance = 0.15;
  double headroom = 0.2, patience = 60;
  int max_unavailable = 1;
  bool replaced = true;
};

// Asks one node after the other, and goes where they send us.
Got ask(Options const& o, evhttp_cmd_type cmd, std::string const& path, std::string const& body) {
  Got g;
  for (Address const& a : o.at) {
    g = call(a, cmd, path, body, o.timeout);
    for (int hops = 0; g.code == 307 && hops < 2; ++hops) {
      std::string const pre = "http://";
      if (g.location.rfind(pre, 0) != 0) break;
      auto const slash = g.location.find('/', pre.size());
      if (slash == std::string::npos) break;
      try {
        Address const next = parse_addr(g.location.substr(pre.size(), slash - pre.size()), "Location");
        g = call(next, cmd, g.location.substr(slash), body, o.timeout);
      } catch (SettingsError const&) {
        break;
      }
    }
    if (g.code != 0 && g.code < 500) break;
  }
  return g;
}

// 0, or the exit code after the one line that says why.
int complain(Options const& o, Got const& g) {
  if (g.code == 0) {
    std::fprintf(stderr, "dockbend: no answer from %s\n", o.at.empty() ? "anywhere" : o.at.back().str().c_str());
    return rc_failed;
  }
  if (g.code == 200) return rc_ok;
  std::string why = g.body;
  try {
    rapidjson::Document const d = json::parse(g.body);
    if (auto const it = d.FindMember("fault"); it != d.MemberEnd()) why = text_of(it->value);
  } catch (json::Fault const&) {
  }
  std::fprintf(stderr, "dockbend: refused with %d: %s\n", g.code, why.c_str());
  return rc_failed;
}

int survey(Options const& o, FleetSnapshot& c) {
  Got const g = ask(o, EVHTTP_REQ_GET, "/-/Survey", "");
  if (int const rc = complain(o, g)) return rc;
  try {
    c = json::parse_as<FleetSnapshot>(g.body);
  } catch (json::Fault const& e) {
    std::fprintf(stderr, "dockbend: an answer that can't be read: %s\n", e.what());
    return rc_failed;
  }
  return rc_ok;
}

void print(EvacuationForecast const& f) {
  std::string zones;
  for (std::string const& z : f.gone)
    zones += (zones.empty() ? "" : ", ") + z;
  std::printf("without: %s\nproxies heard: %u\n", zones.c_str(), f.proxiesHeard);
  std::printf("age: %.1f s\n", std::max(0.0, wall_clock_now() - f.takenAt));
  for (std::string const& s : f.silent)
    std::printf("  not heard: %s\n", s.c_str());
  if (f.partial) std::printf("PARTIAL: some proxies were not heard, or the node asked is out of touch\n");
  std::printf("%-16s %-16s %-11s %10s %10s\n", "zone", "route", "kind", "now /s", "after /s");
  for (RouteFlow const& l : f.flows)
    std::printf("%-16s %-16s %-11s %10.1f %10.1f\n", l.zone.c_str(), l.route.c_str(), l.kind.c_str(), l.now, l.after);
  std::printf("%-16s %-16s %8s %8s %9s %9s\n", "zone", "service", "servers", "slots", "used now", "after");
  for (ZoneUtilization const& z : f.loads)
    std::printf("%-16s %-16s %8u %8.0f %8.0f%% %8.0f%%%s\n", z.zone.c_str(), z.service.c_str(), z.servers, z.slots,
                100 * z.usedNow / z.slots, 100 * z.usedAfter / z.slots, z.overloaded ? "  OVERLOADED" : "");
  for (UnservedRate const& u : f.unserved)
    std::printf("%s %s: %.1f /s %s\n", u.route.c_str(), u.kind.c_str(), u.rate,
                u.homeless ? "HOMELESS: no server may take them" : "would be turned away");
  std::printf("fits: %s\n", f.fits ? "yes" : "no");
}

int preview(Options const& o, std::set<std::string> const& zones, bool quiet) {
  FleetSnapshot c;
  if (int const rc = survey(o, c)) return rc;
  for (std::string const& z : zones)
    if (std::none_of(c.zones.begin(), c.zones.end(), [&](ZoneSnapshot const& x) { return x.zone == z; })) {
      std::fprintf(stderr, "dockbend: no such zone: %s\n", z.c_str());
      return rc_failed;
    }
  EvacuationForecast const f = forecast_evacuation(c, zones, ForecastOptions{});
  std::string const text = json::render(f);
  if (!o.save.empty()) {
    std::ofstream out(o.save);
    out << text << "\n";
    if (!out) {
      std::fprintf(stderr, "dockbend: can't write %s\n", o.save.c_str());
      return rc_failed;
    }
  }
  if (o.as_json && !quiet)
    std::printf("%s\n", text.c_str());
  else
    print(f);
  return f.fits ? rc_ok : rc_unfit;
}

void print(std::vector<CapacityShortfall> const& lacks) {
  for (CapacityShortfall const& l : lacks)
    std::printf("%s lacks room for %s: %.1f /s, load would be %.2f, at most %.2f is wanted\n", l.region.c_str(),
                l.kind.c_str(), l.rate, l.load, l.wanted);
}

void print(DrainWavePlan const& p) {
  std::printf("headroom: %.2f\nage: %.1f s\n", p.headroom, std::max(0.0, wall_clock_now() - p.takenAt));
  for (std::string const& s : p.silent)
    std::printf("  not heard: %s\n", s.c_str());
  if (p.partial) std::printf("PARTIAL: some proxies were not heard, or the node asked is out of touch\n");
  std::size_t n = 0;
  for (DrainWave const& w : p.waves) {
    std::printf("wave %zu: %zu nodes\n ", ++n, w.nodes.size());
    for (std::string const& x : w.nodes)
      std::printf(" %s", x.c_str());
    std::printf("\n");
    for (RegionForecast const& r : w.regions)
      std::printf("  %-16s %3u nodes serve, load %.2f now, %.2f after, busiest %.2f\n", r.region.c_str(), r.nodes,
                  r.now, r.load, r.peak);
    for (KindRate const& k : w.kinds)
      std::printf("  %-16s %-11s %10.1f /s now %10.1f after\n", k.region.c_str(), k.kind.c_str(), k.now, k.after);
  }
  print(p.lacks);
  std::printf("fits: %s\n", p.fits ? "yes" : "no");
}

void print(RotationPlan const& p) {
  std::printf("headroom: %.2f, %u of a service out at once\n", p.headroom, p.maxUnavailable);
  if (p.partial) std::printf("PARTIAL: some proxies were not heard; who may hold more counts as busy\n");
  std::printf("%-20s %-16s %-16s %8s %10s %6s %9s\n", "server", "service", "zone", "uploads", "bytes", "keyed",
              "sessions");
  for (ServerDeparture const& l : p.order)
    std::printf("%-20s %-16s %-16s %8u %10.0f %6u %9u\n", l.id.c_str(), l.service.c_str(), l.zone.c_str(), l.uploads,
                l.bytes, l.keyed, l.sessions);
  print(p.lacks);
  std::printf("fits: %s\n", p.fits ? "yes" : "no");
}

// Plans, and with `start` sends what was planned.
int pass_over(Options const& o, bool servers, bool start, std::vector<std::string> const& names) {
  FleetSnapshot c;
  if (int const rc = survey(o, c)) return rc;
  DrainOrder order;
  bool fits = false;
  try {
    u64 const id = random64() >> 16 | 1;
    if (servers) {
      RotationPlan const p = plan_rotation(c, find_servers(c, names), static_cast<u32>(o.max_unavailable), o.headroom);
      if (o.as_json && !start)
        std::printf("%s\n", json::render(p).c_str());
      else if (!o.as_json)
        print(p);
      fits = p.fits;
      order = make_server_order(c, p, id, o.patience, o.replaced);
    } else {
      DrainWavePlan const p = plan_drain_waves(c, find_proxies(c, names), o.headroom);
      if (o.as_json && !start)
        std::printf("%s\n", json::render(p).c_str());
      else if (!o.as_json)
        print(p);
      fits = p.fits;
      order = make_proxy_order(c, p, id, o.headroom, o.patience);
    }
  } catch (DrainOrderError const& e) {
    std::fprintf(stderr, "dockbend: %s\n", e.what());
    return e.code == 400 ? rc_usage : rc_failed;
  }
  if (!start || !fits) return fits ? rc_ok : rc_unfit;
  Got const g = ask(o, EVHTTP_REQ_POST, servers ? "/-/Rotation.Start" : "/-/Drain.Start", json::render(order));
  if (int const rc = complain(o, g)) return rc;
  if (o.as_json)
    std::printf("%s\n", g.body.c_str());
  else
    print_text(json::parse(g.body));
  return rc_ok;
}

int compare_with(Options const& o, std::string const& file) {
  std::ifstream in(file);
  std::string const text{std::istreambuf_iterator<char>(in), {}};
  EvacuationForecast f;
  try {
    f = json::parse_as<EvacuationForecast>(text);
  } catch (json::Fault const& e) {
    std::fprintf(stderr, "dockbend: %s is no preview: %s\n", file.c_str(), e.what());
    return rc_usage;
  }
  FleetSnapshot c;
  if (int const rc = survey(o, c)) return rc;
  ForecastComparison const comparison = compare_forecast(f, c);
  std::vector<ForecastDifference> const& d = comparison.differences;
  double const off = comparison.deviation;
  bool const good = off <= o.tolerance;
  if (o.as_json) {
    struct Out {
      DB_RECORD(Out, (double, off), (double, tolerance), (bool, within),
                (std::vector<ForecastDifference>, differences));
    } out;
    out.off = off;
    out.tolerance = o.tolerance;
    out.within = good;
    out.differences = d;
    std::printf("%s\n", json::render(out).c_str());
  } else {
    std::printf("%-16s %-16s %10s %10s %10s\n", "zone", "route", "predicted", "received", "difference");
    for (ForecastDifference const& x : d)
      std::printf("%-16s %-16s %10.1f %10.1f %+10.1f\n", x.zone.c_str(), x.route.c_str(), x.predicted, x.received,
                  x.difference);
    for (std::string const& s : c.silent)
      std::printf("  not heard: %s\n", s.c_str());
    std::printf("off by %.0f%% of all that was predicted; tolerance %.0f%%: %s\n", 100 * off, 100 * o.tolerance,
                good ? "within" : "outside");
  }
  return good ? rc_ok : rc_unfit;
}

}  // namespace

int main(int argc, char** argv) {
  static option const opts[] = {{"at", required_argument, nullptr, 'a'},
                                {"json", no_argument, nullptr, 'j'},
                                {"timeout", required_argument, nullptr, 't'},
                                {"help", no_argument, nullptr, 'h'},
                                {"version", no_argument, nullptr, 'v'},
                                {"save", required_argument, nullptr, 's'},
                                {"if-fits", no_argument, nullptr, 'f'},
                                {"tolerance", required_argument, nullptr, 'T'},
                                {"headroom", required_argument, nullptr, 'H'},
                                {"max-unavailable", required_argument, nullptr, 'm'},
                                {"patience", required_argument, nullptr, 'p'},
                                {"not-replaced", no_argument, nullptr, 'n'},
                                {nullptr, 0, nullptr, 0}};
  Options op;
  try {
    for (int o = 0; (o = getopt_long(argc, argv, "a:jt:hv", opts, nullptr)) != -1;) {
      switch (o) {
        case 'a': op.at.push_back(parse_addr(optarg, "--at")); break;
        case 'j': op.as_json = true; break;
        case 't': op.timeout = std::atoi(optarg); break;
        case 's': op.save = optarg; break;
        case 'f': op.if_fits = true; break;
        case 'H': op.headroom = number_of(optarg); break;
        case 'm': op.max_unavailable = std::atoi(optarg); break;
        case 'p': op.patience = number_of(optarg); break;
        case 'n': op.replaced = false; break;
        case 'T': op.tolerance = std::atof(optarg); break;
        case 'h': usage(stdout); return rc_ok;
        case 'v': std::printf("dockbend 0.2.0\n"); return rc_ok;
        default: usage(stderr); return rc_usage;
      }
    }
  } catch (SettingsError const& e) {
    std::fprintf(stderr, "dockbend: %s\n", e.what());
    return rc_usage;
  }
  if (op.timeout < 1) {
    std::fprintf(stderr, "dockbend: --timeout: wants a whole number of seconds above 0\n");
    return rc_usage;
  }
  if (!(op.headroom >= 0 && op.headroom < 1)) {
    std::fprintf(stderr, "dockbend: --headroom: wants a share from 0 to below 1\n");
    return rc_usage;
  }
  if (op.max_unavailable < 1) {
    std::fprintf(stderr, "dockbend: --max-unavailable: wants a whole number above 0\n");
    return rc_usage;
  }
  if (!(op.patience > 0)) {
    std::fprintf(stderr, "dockbend: --patience: wants seconds above 0\n");
    return rc_usage;
  }
  if (!(op.tolerance > 0)) {
    std::fprintf(stderr, "dockbend: --tolerance: wants a share above 0\n");
    return rc_usage;
  }
  std::vector<std::string> w(argv + optind, argv + argc);
  auto is = [&](std::size_t n, char const* a, char const* b = nullptr) {
    return w.size() == n && w[0] == a && (b == nullptr || w[1] == b);
  };

  evhttp_cmd_type cmd = EVHTTP_REQ_POST;
  std::string path, body;
  bool const previews = w.size() >= 3 && w[0] == "evacuation" && w[1] == "preview",
             compares = is(3, "evacuation", "compare");
  bool const of_nodes = !w.empty() && w[0] == "drain", of_servers = !w.empty() && w[0] == "rotation";
  bool const plans = (of_nodes || of_servers) && w.size() >= 3 && (w[1] == "plan" || w[1] == "start");
  std::string const pass = of_servers ? "/-/Rotation." : "/-/Drain.";
  if (previews || compares || plans) {
    path = "/-/Survey";
  } else if ((of_nodes || of_servers) && w.size() == 2 && w[1] == "status") {
    cmd = EVHTTP_REQ_GET;
    path = pass + "Status";
  } else if ((of_nodes || of_servers) && w.size() == 3 && w[1] == "pause") {
    path = pass + "Pause/" + w[2];
  } else if ((of_nodes || of_servers) && w.size() == 3 && w[1] == "resume") {
    path = pass + "Resume/" + w[2];
  } else if ((of_nodes || of_servers) && w.size() == 3 && w[1] == "abort") {
    path = pass + "Abort/" + w[2];
  } else if ((of_nodes || of_servers) && w.size() == 4 && w[1] == "return") {
    path = pass + "Return/" + w[2] + "/" + w[3];
  } else if (is(1, "status")) {
    cmd = EVHTTP_REQ_GET;
    path = "/-/Status";
  } else if (is(2, "manifest", "read")) {
    cmd = EVHTTP_REQ_GET;
    path = "/-/Config.Read";
    op.as_json = true;
  } else if (is(3, "manifest", "amend")) {
    path = "/-/Config.Amend";
    if (w[2] == "-") {
      body.assign(std::istreambuf_iterator<char>(std::cin), {});
    } else {
      std::ifstream f(w[2]);
      if (!f) {
        std::fprintf(stderr, "dockbend: can't read %s\n", w[2].c_str());
        return rc_usage;
      }
      body.assign(std::istreambuf_iterator<char>(f), {});
    }
  } else if (is(3, "evacuation", "begin")) {
    path = "/-/Evacuation.Begin/" + w[2];
  } else if (is(3, "evacuation", "finish")) {
    path = "/-/Evacuation.Finish/" + w[2];
  } else if (is(2, "member", "list")) {
    cmd = EVHTTP_REQ_GET;
    path = "/-/Member.List";
  } else if (is(3, "member", "remove")) {
    path = "/-/Member.Remove/" + w[2];
  } else if (is(3, "member", "add")) {
    path = "/-/Member.Add/" + w[2];
  } else if (is(2, "duty", "status")) {
    cmd = EVHTTP_REQ_GET;
    path = "/-/Duty.Status";
  } else if (is(4, "duty", "hand-over")) {
    path = "/-/Duty.HandOver/" + w[2] + "/" + w[3];
  } else if (is(2, "allowance", "list")) {
    cmd = EVHTTP_REQ_GET;
    path = "/-/Allowance.List";
  } else if (is(3, "allowance", "show")) {
    cmd = EVHTTP_REQ_GET;
    path = "/-/Allowance.Show/" + w[2];
  } else if (is(2, "rollout", "status")) {
    cmd = EVHTTP_REQ_GET;
    path = "/-/Rollout.Status";
  } else if (is(3, "rollout", "pause")) {
    path = "/-/Rollout.Pause/" + w[2];
  } else if (is(3, "rollout", "resume")) {
    path = "/-/Rollout.Resume/" + w[2];
  } else if (is(3, "rollout", "abort")) {
    path = "/-/Rollout.Abort/" + w[2];
  } else {
    usage(stderr);
    return rc_usage;
  }
  if (op.if_fits && !is(3, "evacuation", "begin")) {
    std::fprintf(stderr, "dockbend: --if-fits goes with evacuation begin\n");
    return rc_usage;
  }
  if (op.at.empty()) {
    try {
      Settings const st = load_settings(settings_path());
      if (auto const it = st.bind.find("control"); it != st.bind.end()) op.at.push_back(it->second);
      op.at.insert(op.at.end(), st.seeds.begin(), st.seeds.end());
    } catch (SettingsError const& e) {
      std::fprintf(stderr, "dockbend: settings: %s (or give --at)\n", e.what());
      return rc_usage;
    }
  }
  if (plans) return pass_over(op, of_servers, w[1] == "start", {w.begin() + 2, w.end()});
  if (previews) return preview(op, {w.begin() + 2, w.end()}, false);
  if (compares) return compare_with(op, w[2]);
  if (op.if_fits)
    if (int const rc = preview(op, {w[2]}, true)) return rc;
  Got const g = ask(op, cmd, path, body);
  if (int const rc = complain(op, g)) return rc;
  if (op.as_json) {
    std::printf("%s\n", g.body.c_str());
    return rc_ok;
  }
  try {
    rapidjson::Document const d = json::parse(g.body);
    if (d.ObjectEmpty())
      std::printf("done\n");
    else
      print_text(d);
  } catch (json::Fault const&) {
    std::printf("%s\n", g.body.c_str());
  }
  return rc_ok;
}
