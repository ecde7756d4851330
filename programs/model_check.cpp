// collation: compares what the copies of the register, the keys and the duties may come
// to, whatever is lost, repeated or restarted, with what is promised of them.
#include <getopt.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "model_checking/model_catalog.hpp"

using namespace dockbend;
using namespace dockbend::model_checking;

namespace {
int const rc_ok = 0, rc_breach = 1, rc_usage = 2;
u64 const most_states = 50000000, most_walks = 100000000, most_length = 100000;

void usage(FILE* f) {
  std::fprintf(f,
               "dockbend-model-check: a model checker for the register, the keys and the duties\n\n"
               "usage: dockbend-model-check list\n"
               "       dockbend-model-check search MODEL [options]   every order of events, breadth first\n"
               "       dockbend-model-check walk MODEL [options]     long random walks by seed\n"
               "       dockbend-model-check replay TRACEFILE         plays a trace that was written\n\n"
               "  MODEL          registers, ledgers or duties\n"
               "  --fault F      plants a fault (see list; default none)\n"
               "  --plan LIST    bounds on top of the model's own, as nodes=4,joins=2 (see list)\n"
               "  --states N     search: states at most (default 200000, at most %llu)\n"
               "  --depth N      search: events at most (default 100)\n"
               "  --seed N       walk: the first seed (default 1)\n"
               "  --walks N      walk: how many (default 1000)\n"
               "  --length N     walk: events a walk at most (default 200)\n"
               "  --out FILE     writes the trace of a breach there\n"
               "  --json         one line of JSON\n"
               "  --help, --version\n\n"
               "Exit codes: 0 no breach, 1 a breach was found (or replayed), 2 wrong usage.\n",
               static_cast<unsigned long long>(most_states));
}

struct Bad : std::runtime_error {
  using std::runtime_error::runtime_error;
};
u64 number(char const* s, char const* what, u64 lo, u64 hi) {
  char* end = nullptr;
  errno = 0;
  unsigned long long const x = std::strtoull(s, &end, 10);
  if (*s == '-' || end == s || *end != '\0' || errno != 0 || x < lo || x > hi)
    throw Bad(std::string(what) + ": wants a number from " + std::to_string(lo) + " to " + std::to_string(hi));
  return x;
}

int list(bool as_json) {
  if (as_json) {
    rapidjson::StringBuffer sb;
    rapidjson::Writer<rapidjson::StringBuffer> w(sb);
    w.StartArray();
    for (Case const& c : cases()) {
      w.StartObject();
      w.Key("model");
      w.String(c.model.c_str());
      w.Key("fault");
      w.String(c.error_response.c_str());
      w.Key("what");
      w.String(c.what.c_str());
      w.Key("plan");
      w.String(write_plan(c.plan).c_str());
      w.EndObject();
    }
    w.EndArray();
    std::printf("%s\n", sb.GetString());
    return rc_ok;
  }
  for (Case const& c : cases()) {
    std::printf("%-10s %-26s %s\n", c.model.c_str(), c.error_response.c_str(), c.what.c_str());
    if (c.error_response == kNoFault) std::printf("%-37s %s\n", "", write_plan(c.plan).c_str());
  }
  return rc_ok;
}

void report(Case const& c, Bounds const& plan, SearchResult const& o, bool walked, std::string const& out,
            bool as_json) {
  Replay const p = o.breach.empty() ? Replay{} : c.play(plan, o.trace);
  if (!out.empty() && !o.breach.empty()) {
    std::ofstream f(out);
    f << write_trace(RecordedTrace{&c, plan, o.seed, o.breach, o.trace});
    if (!f.flush()) std::fprintf(stderr, "dockbend-model-check: can't write %s\n", out.c_str());
  }
  if (as_json) {
    rapidjson::StringBuffer sb;
    rapidjson::Writer<rapidjson::StringBuffer> w(sb);
    w.StartObject();
    w.Key("model");
    w.String(c.model.c_str());
    w.Key("fault");
    w.String(c.error_response.c_str());
    w.Key("plan");
    w.String(write_plan(plan).c_str());
    for (auto const& [k, x] : {std::pair{"states", o.states},
                               {"steps", o.steps},
                               {"walks", o.walks},
                               {"depth", u64{o.depth}},
                               {"seed", o.seed}}) {
      w.Key(k);
      w.Uint64(x);
    }
    w.Key("complete");
    w.Bool(o.complete);
    w.Key("breach");
    w.String(o.breach.c_str());
    w.Key("atTheEnd");
    w.Bool(o.settled);
    w.Key("trace");
    w.StartArray();
    for (std::string const& l : p.lines)
      w.String(l.c_str());
    w.EndArray();
    w.EndObject();
    std::printf("%s\n", sb.GetString());
    return;
  }
  std::printf("%s, fault %s: %llu states, %llu steps, ", c.model.c_str(), c.error_response.c_str(),
              static_cast<unsigned long long>(o.states), static_cast<unsigned long long>(o.steps));
  if (walked)
    std::printf("%llu walks, longest %u\n", static_cast<unsigned long long>(o.walks), o.depth);
  else
    std::printf("depth %u%s\n", o.depth, o.complete ? ", all there is within the bounds" : "");
  if (o.breach.empty()) {
    std::printf("no breach\n");
    return;
  }
  std::printf("BREACH%s: %s\n", o.settled ? " at the end" : "", o.breach.c_str());
  if (walked) std::printf("seed %llu, made shorter\n", static_cast<unsigned long long>(o.seed));
  for (std::size_t i = 0; i < p.lines.size(); ++i)
    std::printf("%3zu. %s\n", i + 1, p.lines[i].c_str());
  if (!out.empty())
    std::printf("again: dockbend-model-check replay %s\n", out.c_str());
  else
    std::printf("again: the same call with --out FILE, then dockbend-model-check replay FILE\n");
}

int replay(std::string const& file, bool as_json) {
  std::ifstream f(file);
  if (!f) throw Bad("can't read " + file);
  std::stringstream s;
  s << f.rdbuf();
  RecordedTrace const r = read_trace(s.str());
  Replay const p = r.of->play(r.plan, r.trace);
  SearchResult o;
  o.breach = p.breach;
  o.settled = p.settled;
  o.trace = r.trace;
  o.seed = r.seed;
  o.steps = r.trace.size();
  report(*r.of, r.plan, o, false, "", as_json);
  return p.breach.empty() ? rc_ok : rc_breach;
}
}  // namespace

int main(int argc, char** argv) {
  static option const opts[] = {{"fault", required_argument, nullptr, 'f'},  {"plan", required_argument, nullptr, 'p'},
                                {"states", required_argument, nullptr, 's'}, {"depth", required_argument, nullptr, 'd'},
                                {"seed", required_argument, nullptr, 'S'},   {"walks", required_argument, nullptr, 'w'},
                                {"length", required_argument, nullptr, 'l'}, {"out", required_argument, nullptr, 'o'},
                                {"json", no_argument, nullptr, 'j'},         {"help", no_argument, nullptr, 'h'},
                                {"version", no_argument, nullptr, 'v'},      {nullptr, 0, nullptr, 0}};
  std::string error_response = kNoFault, bounds, out;
  SearchLimits how{200000, 100};
  WalkLimits walks{1, 1000, 200};
  bool as_json = false;
  try {
    for (int o = 0; (o = getopt_long(argc, argv, "hv", opts, nullptr)) != -1;) {
      switch (o) {
        case 'f': error_response = optarg; break;
        case 'p': bounds = optarg; break;
        case 's': how.most_states = number(optarg, "--states", 1, most_states); break;
        case 'd': how.depth = static_cast<u32>(number(optarg, "--depth", 1, most_length)); break;
        case 'S': walks.seed = number(optarg, "--seed", 0, ~0ULL); break;
        case 'w': walks.count = number(optarg, "--walks", 1, most_walks); break;
        case 'l': walks.length = static_cast<u32>(number(optarg, "--length", 1, most_length)); break;
        case 'o': out = optarg; break;
        case 'j': as_json = true; break;
        case 'h': usage(stdout); return rc_ok;
        case 'v': std::printf("dockbend-model-check (dockbend) 0.2.0\n"); return rc_ok;
        default: usage(stderr); return rc_usage;
      }
    }
    std::string const what = optind < argc ? argv[optind] : "", arg = optind + 1 < argc ? argv[optind + 1] : "";
    if (what == "list" && optind + 1 == argc) return list(as_json);
    if (what == "replay" && optind + 2 == argc) return replay(arg, as_json);
    if ((what == "search" || what == "walk") && optind + 2 == argc) {
      if (find(arg, kNoFault) == nullptr) throw Bad("no such model: " + arg);
      Case const* c = find(arg, error_response);
      if (c == nullptr) throw Bad("no such fault of " + arg + ": " + error_response);
      Bounds const plan = read_plan(bounds, c->plan);
      SearchResult const o = what == "search" ? c->search(plan, how) : c->walk(plan, walks);
      report(*c, plan, o, what == "walk", out, as_json);
      return o.breach.empty() ? rc_ok : rc_breach;
    }
  } catch (std::exception const& e) {
    std::fprintf(stderr, "dockbend-model-check: %s\n", e.what());
    return rc_usage;
  }
  usage(stderr);
  return rc_usage;
}
