// patron: dockbend's load generator, and the stand-in server that it is tried on.
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <getopt.h>
#include <signal.h>

#include <cstdio>
#include <cstring>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "configuration/json.hpp"
#include "load_generation/load_report.hpp"
#include "transport/transport.hpp"

using namespace dockbend;

namespace {

int const rc_ok = 0, rc_failed = 1, rc_usage = 2;

void usage(FILE* f) {
  std::fprintf(f,
               "dockbend-loadgen: an open-loop load generator for dockbend\n\n"
               "usage: dockbend-loadgen --to HOST:PORT [--to ...] --host NAME --kind KIND [--kind KIND...] [options]\n"
               "       dockbend-loadgen serve --at HOST:PORT [options]\n\n"
               "  --to               a gateway; errands go to those given in turn\n"
               "  --kind NAME:METHOD:PATH:RATE[:BODYBYTES[:keyed[:TOKEN]]]\n"
               "                     errands of one kind, RATE a second; TOKEN is the partner's key\n"
               "  --budget TOKEN=RATE:BURST\n"
               "                     set what a partner got against this budget, over every span\n"
               "  --resolve HOST:PORT  a directory; gateways are those it names, asked once a second\n"
               "  --from ZONE:REGION where the clients are, for the directory; may be repeated\n"
               "  --retries N        further tries after 503, 429 or 421, at another gateway (default 0)\n"
               "  --for S            how long errands arrive (default 10)\n"
               "  --time-left S      what each errand says it will wait (default 2)\n"
               "  --seed N           the same seed draws the same arrivals (default 1)\n"
               "  --json             print the figures as JSON\n\n"
               "  serve              a stand-in server: seals, refuses when full, answers health\n"
               "  --id ID            its id (default stand-in)\n"
               "  --work-ms M        how long an errand takes (default 20)\n"
               "  --upload-ms M      how long one with a body over 100 kB takes (default: as others)\n"
               "  --capacity N       how many at once; as many again may wait (default 4)\n"
               "  --beat HOST:PORT   a control address to beat to\n"
               "  --service S, --zone Z  what the beats say\n\n"
               "  --help, --version\n\n"
               "Times run from when an errand was due. It stops by itself.\n"
               "exit codes: 0 done, 1 nothing was answered or no listening, 2 wrong usage\n");
}

struct Run;
struct Kind_ {
  LoadKind k;
  Arrivals a;
  Tally t;
};

struct Call {
  Run* run = nullptr;
  std::size_t kind = 0;
  Seconds due = 0, sent = 0;
  std::size_t gate = 0;
  int attempts = 0;
  std::string op;  // its operation key, the same for all tries
  evhttp_connection* ec = nullptr;
};

struct Gate {
  Address to;
  std::deque<evhttp_connection*> idle;
  Seconds down_until = 0;
  Seconds named = 1e18;  // by a directory, for so long
};

struct Budget {
  double rate = 0, burst = 0;
  Granted got{0};
};

struct Run {
  event_base* loop = nullptr;
  std::vector<Gate> gates;
  std::size_t turn = 0;
  std::map<std::string, Budget> budgets;  // by token
  std::string host;
  Seconds time_left = 2, start = 0, span = 10;
  u64 seed = 1, ids = 0;
  std::vector<std::unique_ptr<Kind_>> kinds;
  std::size_t open = 0, at_work = 0, arriving = 0;
  std::vector<Address> directories;
  std::vector<std::pair<std::string, std::string>> from;  // zone, region
  std::size_t asked = 0;
  int retries = 0;
  std::unique_ptr<PeriodicTimer> resolver;

  // Every second a directory, by turns, for each place that clients are at.
  void resolve() {
    for (auto const& [zone, region] : from) {
      Address const& d = directories[asked++ % directories.size()];
      evhttp_connection* const ec =
          evhttp_connection_base_new(loop, nullptr, d.ip.c_str(), static_cast<ev_uint16_t>(d.port));
      evhttp_connection_set_timeout(ec, 1);
      evhttp_connection_free_on_completion(ec);
      evhttp_request* const r =
          evhttp_request_new([](evhttp_request* q, void* p) { static_cast<Run*>(p)->resolved(q); }, this);
      evhttp_add_header(evhttp_request_get_output_headers(r), "Host", d.str().c_str());
      evhttp_make_request(ec, r, EVHTTP_REQ_GET,
                          ("/-/resolve?name=" + host + "&region=" + region + "&zone=" + zone).c_str());
    }
  }
  void resolved(evhttp_request* r) {
    if (r == nullptr || evhttp_request_get_response_code(r) != 200) return;
    evbuffer* const b = evhttp_request_get_input_buffer(r);
    std::string body(evbuffer_get_length(b), '\0');
    evbuffer_copyout(b, body.data(), body.size());
    try {
      for (std::string const& a : json::parse_as<schema::ResolveResponse>(body).addresses) {
        Address const to = parse_addr(a, "addresses");
        auto it = std::find_if(gates.begin(), gates.end(), [&](Gate const& g) { return g.to == to; });
        if (it == gates.end()) it = gates.insert(gates.end(), Gate{to, {}, 0, 0});
        it->named = steady_now() + 3.5;
      }
    } catch (std::exception const&) {  // an answer that can't be read names nobody
    }
  }

  void arm(std::size_t i) {
    Seconds const at = kinds[i]->a.next();
    if (at > span) {
      if (--arriving == 0 && at_work == 0) event_base_loopbreak(loop);
      return;
    }
    after(loop, start + at - steady_now(), [this, i, at] {
      send(i, start + at);
      arm(i);
    });
  }

  void send(std::size_t i, Seconds due) {
    auto* const c = new Call;
    c->run = this;
    c->kind = i;
    c->due = due;
    ++at_work;
    attempt(c);
  }

  void attempt(Call* c) {
    LoadKind const& k = kinds[c->kind]->k;
    c->sent = steady_now();
    if (gates.empty()) return finish(c, 0, false);
    // The next gateway in turn that is named and did not fail a moment ago.
    for (std::size_t n = 0; n < gates.size(); ++n) {
      c->gate = turn++ % gates.size();
      if (gates[c->gate].down_until <= c->sent && gates[c->gate].named > c->sent) break;
    }
    auto& idle = gates[c->gate].idle;
    Address const& to = gates[c->gate].to;
    if (idle.empty()) {
      c->ec = evhttp_connection_base_new(loop, nullptr, to.ip.c_str(), static_cast<ev_uint16_t>(to.port));
      evhttp_connection_set_timeout(c->ec, static_cast<int>(time_left) + 2);
      ++open;
    } else {
      c->ec = idle.back();
      idle.pop_back();
    }
    evhttp_request* r = evhttp_request_new(done, c);
    evkeyvalq* h = evhttp_request_get_output_headers(r);
    evhttp_add_header(h, "Host", host.c_str());
    char id[40];
    std::snprintf(id, sizeof id, "%016llx",
                  static_cast<unsigned long long>(hash64("patron", seed + ++ids) ^ random64()));
    evhttp_add_header(h, "X-Attempt-Id", id);
    if (!k.token.empty()) evhttp_add_header(h, "Authorization", ("Token " + k.token).c_str());
    if (c->op.empty()) c->op = std::string("k-") + id;
    if (k.keyed) evhttp_add_header(h, "X-Operation-Key", c->op.c_str());
    evhttp_add_header(h, "X-Time-Left", std::to_string(static_cast<long>(time_left * 1000)).c_str());
    if (k.body > 0) {
      std::string const b(k.body, 'x');
      evbuffer_add(evhttp_request_get_output_buffer(r), b.data(), b.size());
    }
    evhttp_cmd_type const cmd = k.method == "GET"   ? EVHTTP_REQ_GET
                                : k.method == "PUT" ? EVHTTP_REQ_PUT
                                                    : EVHTTP_REQ_POST;
    if (evhttp_make_request(c->ec, r, cmd, k.path.c_str()) != 0) finish(c, 0, false);
  }

  static void done(evhttp_request* r, void* p) {
    auto* const c = static_cast<Call*>(p);
    int const code = r == nullptr ? 0 : evhttp_request_get_response_code(r);
    bool keep = code != 0;
    if (keep) {
      char const* cn = evhttp_find_header(evhttp_request_get_input_headers(r), "Connection");
      keep = cn == nullptr || evutil_ascii_strcasecmp(cn, "close") != 0;
    }
    c->run->finish(c, code, keep);
  }

  void finish(Call* c, int code, bool keep) {
    Seconds const now = steady_now();
    if ((code == 503 || code == 429 || code == 421) && c->attempts < retries && now - c->due < time_left) {
      ++c->attempts;
      evhttp_connection* const ec = c->ec;
      if (keep)
        gates[c->gate].idle.push_back(ec);
      else
        after(loop, 0, [ec] { evhttp_connection_free(ec); });
      return after(loop, 0.05, [this, c] { attempt(c); });
    }
    kinds[c->kind]->t.add(c->due, c->sent, now, code);
    if (code == 0 && c->gate < gates.size()) gates[c->gate].down_until = now + 1;
    if (code >= 200 && code < 300)
      if (auto const b = budgets.find(kinds[c->kind]->k.token); b != budgets.end()) b->second.got.add(now);
    if (keep) {
      gates[c->gate].idle.push_back(c->ec);
    } else if (c->ec != nullptr) {
      evhttp_connection* const ec = c->ec;
      after(loop, 0, [ec] { evhttp_connection_free(ec); });
    }
    delete c;
    if (--at_work == 0 && arriving == 0) event_base_loopbreak(loop);
  }

  bool print(bool as_json) const {
    u64 good = 0;
    rapidjson::StringBuffer sb;
    rapidjson::Writer<rapidjson::StringBuffer> w(sb);
    w.StartObject();
    w.Key("channels");
    w.Uint64(open);
    w.Key("kinds");
    w.StartArray();
    if (!as_json)
      std::printf("%-14s %8s %8s %6s %9s %9s %9s %9s  %s\n", "kind", "due", "good", "late", "p50 ms", "p90 ms",
                  "p99 ms", "most ms", "answers");
    for (auto const& k : kinds) {
      Tally const& t = k->t;
      good += t.times.count();
      std::string codes;
      for (auto const& [c, n] : t.codes)
        codes +=
            (codes.empty() ? "" : " ") + (c == 0 ? std::string("none") : std::to_string(c)) + ":" + std::to_string(n);
      if (!as_json)
        std::printf("%-14s %8llu %8llu %6llu %9.1f %9.1f %9.1f %9.1f  %s\n", k->k.name.c_str(),
                    static_cast<unsigned long long>(t.due), static_cast<unsigned long long>(t.times.count()),
                    static_cast<unsigned long long>(t.late), t.times.quantile(0.5) * 1e3, t.times.quantile(0.9) * 1e3,
                    t.times.quantile(0.99) * 1e3, t.times.most() * 1e3, codes.c_str());
      w.StartObject();
      w.Key("kind");
      w.String(k->k.name.c_str());
      w.Key("due");
      w.Uint64(t.due);
      w.Key("good");
      w.Uint64(t.times.count());
      w.Key("late");
      w.Uint64(t.late);
      for (auto const& [n, q] : {std::pair{"p50Ms", 0.5}, {"p90Ms", 0.9}, {"p99Ms", 0.99}, {"p999Ms", 0.999}}) {
        w.Key(n);
        w.Double(t.times.quantile(q) * 1e3);
      }
      w.Key("mostMs");
      w.Double(t.times.most() * 1e3);
      w.Key("answers");
      w.StartObject();
      for (auto const& [c, n] : t.codes) {
        w.Key(std::to_string(c).c_str());
        w.Uint64(n);
      }
      w.EndObject();
      w.EndObject();
    }
    w.EndArray();
    w.Key("budgets");
    w.StartArray();
    for (auto const& [t, b] : budgets) {
      if (!as_json)
        std::printf("budget %s: at most %.0f over rate x time; the burst is %.0f: %s\n", t.c_str(), b.got.worst(),
                    b.burst, b.got.worst() <= b.burst ? "held" : "BROKEN");
      w.StartObject();
      w.Key("token");
      w.String(t.c_str());
      w.Key("mostOverRate");
      w.Double(b.got.worst());
      w.Key("burst");
      w.Double(b.burst);
      w.EndObject();
    }
    w.EndArray();
    w.EndObject();
    if (as_json) std::printf("%s\n", sb.GetString());
    return good > 0;
  }
};

// The stand-in server. Invariant: at work <= capacity, waiting <= capacity.
struct Server {
  event_base* loop = nullptr;
  std::string id = "stand-in", service, zone;
  Address at;
  Seconds work = 0.02, upload = 0;  // upload: 0: as others
  u32 capacity = 4, busy = 0;
  u64 seq = 0, run = 0, twice = 0;
  std::set<std::string> keys;  // of keyed errands run
  std::deque<evhttp_request*> waiting;

  static void head(evhttp_request* r, char const* k, std::string const& v) {
    evhttp_add_header(evhttp_request_get_output_headers(r), k, v.c_str());
  }

  void arrive(evhttp_request* r) {
    evkeyvalq* in = evhttp_request_get_input_headers(r);
    if (std::strcmp(evhttp_request_get_uri(r), "/health") == 0) {
      head(r, "X-Server-Id", id);
      evhttp_send_reply(r, 200, "OK", nullptr);
      return;
    }
    if (std::strcmp(evhttp_request_get_uri(r), "/counts") == 0) {
      evbuffer* b = evbuffer_new();
      evbuffer_add_printf(b, "{\"id\":\"%s\",\"runs\":%llu,\"keys\":%zu,\"keysRunTwice\":%llu}\n", id.c_str(),
                          static_cast<unsigned long long>(run), keys.size(), static_cast<unsigned long long>(twice));
      evhttp_send_reply(r, 200, "OK", b);
      evbuffer_free(b);
      return;
    }
    char const* a = evhttp_find_header(in, "X-Attempt-Id");
    if (a != nullptr) head(r, "X-Attempt-Id", a);
    char const* t = evhttp_find_header(in, "X-Target-Server");
    if (t != nullptr && id != t) {
      head(r, "X-Server-Id", id);
      evhttp_send_reply(r, 421, "Misdirected Request", nullptr);
    } else if (a == nullptr || (busy >= capacity && waiting.size() >= capacity)) {
      head(r, "X-Not-Run", "1");
      evhttp_send_reply(r, a == nullptr ? 400 : 503, "Not Run", nullptr);
    } else if (busy >= capacity) {
      waiting.push_back(r);
    } else {
      begin(r);
    }
  }

  void begin(evhttp_request* r) {
    ++busy;
    if (char const* k = evhttp_find_header(evhttp_request_get_input_headers(r), "X-Operation-Key"); k != nullptr)
      twice += keys.insert(k).second ? 0 : 1;
    bool const large = evbuffer_get_length(evhttp_request_get_input_buffer(r)) > 100000;
    after(loop, large && upload > 0 ? upload : work, [this, r] {
      --busy;
      head(r, "X-Server-Seal", id + "." + std::to_string(++run));
      evbuffer* b = evbuffer_new();
      evbuffer_add_printf(b, "run %llu\n", static_cast<unsigned long long>(run));
      evhttp_send_reply(r, 200, "OK", b);
      evbuffer_free(b);
      if (!waiting.empty()) {
        evhttp_request* const n = waiting.front();
        waiting.pop_front();
        begin(n);
      }
    });
  }

  void beat(Address const& to) {
    schema::Heartbeat h{};
    h.service = service;
    h.address = at.str();
    h.zone = zone;
    h.generation = "v1";
    h.capacity = capacity;
    h.state = "ready";
    h.coldLeftS = 0;
    h.callSeq = ++seq;
    std::string const body = json::render(h);
    evhttp_connection* c = evhttp_connection_base_new(loop, nullptr, to.ip.c_str(), static_cast<ev_uint16_t>(to.port));
    evhttp_connection_set_timeout(c, 1);
    evhttp_request* r = evhttp_request_new(
        [](evhttp_request*, void* p) {
          auto* const ec = static_cast<std::pair<event_base*, evhttp_connection*>*>(p);
          after(ec->first, 0, [ec] {
            evhttp_connection_free(ec->second);
            delete ec;
          });
        },
        new std::pair<event_base*, evhttp_connection*>(loop, c));
    evkeyvalq* o = evhttp_request_get_output_headers(r);
    evhttp_add_header(o, "Host", to.str().c_str());
    evhttp_add_header(o, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(r), body.data(), body.size());
    evhttp_make_request(c, r, EVHTTP_REQ_POST, ("/-/Servers.Heartbeat/" + id).c_str());
  }
};

double number(char const* s, char const* what, double lo, double hi) {
  char* end = nullptr;
  double const d = std::strtod(s, &end);
  if (*s == '\0' || *end != '\0' || !(d >= lo) || d > hi)
    throw BadLoad(std::string(what) + ": not a fitting number: '" + s + "'");
  return d;
}

}  // namespace

int main(int argc, char** argv) {
  static option const opts[] = {{"to", required_argument, nullptr, 't'},
                                {"host", required_argument, nullptr, 'o'},
                                {"kind", required_argument, nullptr, 'k'},
                                {"for", required_argument, nullptr, 'f'},
                                {"time-left", required_argument, nullptr, 'l'},
                                {"seed", required_argument, nullptr, 's'},
                                {"json", no_argument, nullptr, 'j'},
                                {"at", required_argument, nullptr, 'a'},
                                {"id", required_argument, nullptr, 'i'},
                                {"work-ms", required_argument, nullptr, 'w'},
                                {"upload-ms", required_argument, nullptr, 'u'},
                                {"capacity", required_argument, nullptr, 'c'},
                                {"beat", required_argument, nullptr, 'b'},
                                {"service", required_argument, nullptr, 'S'},
                                {"zone", required_argument, nullptr, 'z'},
                                {"budget", required_argument, nullptr, 'B'},
                                {"resolve", required_argument, nullptr, 'r'},
                                {"from", required_argument, nullptr, 'F'},
                                {"retries", required_argument, nullptr, 'R'},
                                {"help", no_argument, nullptr, 'h'},
                                {"version", no_argument, nullptr, 'v'},
                                {nullptr, 0, nullptr, 0}};
  Run run;
  Server sv;
  std::optional<Address> at, beat;
  std::vector<LoadKind> kinds;
  bool as_json = false;
  try {
    for (int o = 0; (o = getopt_long(argc, argv, "hv", opts, nullptr)) != -1;) {
      switch (o) {
        case 't': run.gates.push_back(Gate{parse_addr(optarg, "--to"), {}, 0, 1e18}); break;
        case 'r': run.directories.push_back(parse_addr(optarg, "--resolve")); break;
        case 'R': run.retries = static_cast<int>(number(optarg, "--retries", 0, 100)); break;
        case 'F': {
          std::string const v = optarg;
          auto const c = v.find(':');
          if (c == std::string::npos || c == 0 || c + 1 == v.size())
            throw BadLoad("--from: wants ZONE:REGION, not '" + v + "'");
          run.from.emplace_back(v.substr(0, c), v.substr(c + 1));
          break;
        }
        case 'B': {
          std::string const v = optarg;
          auto const e = v.find('='), c = v.find(':', e == std::string::npos ? 0 : e);
          if (e == std::string::npos || c == std::string::npos)
            throw BadLoad("--budget: wants TOKEN=RATE:BURST, not '" + v + "'");
          double const rate = number(v.substr(e + 1, c - e - 1).c_str(), "--budget: RATE", 0.001, 1e9);
          run.budgets.insert_or_assign(
              v.substr(0, e), Budget{rate, number(v.substr(c + 1).c_str(), "--budget: BURST", 1, 1e9), Granted(rate)});
          break;
        }
        case 'o': run.host = optarg; break;
        case 'k': kinds.push_back(parse_kind(optarg)); break;
        case 'f': run.span = number(optarg, "--for", 0.01, 86400); break;
        case 'l': run.time_left = number(optarg, "--time-left", 0.01, 3600); break;
        case 's': run.seed = static_cast<u64>(number(optarg, "--seed", 0, 1e15)); break;
        case 'j': as_json = true; break;
        case 'a': at = parse_addr(optarg, "--at"); break;
        case 'i': sv.id = optarg; break;
        case 'w': sv.work = number(optarg, "--work-ms", 0, 1e6) / 1000; break;
        case 'u': sv.upload = number(optarg, "--upload-ms", 0, 1e6) / 1000; break;
        case 'c': sv.capacity = static_cast<u32>(number(optarg, "--capacity", 1, 1e6)); break;
        case 'b': beat = parse_addr(optarg, "--beat"); break;
        case 'S': sv.service = optarg; break;
        case 'z': sv.zone = optarg; break;
        case 'h': usage(stdout); return rc_ok;
        case 'v': std::printf("dockbend-loadgen (dockbend) 0.2.0\n"); return rc_ok;
        default: usage(stderr); return rc_usage;
      }
    }
  } catch (std::exception const& e) {
    std::fprintf(stderr, "dockbend-loadgen: %s\n", e.what());
    return rc_usage;
  }
  signal(SIGPIPE, SIG_IGN);
  event_base* const loop = event_base_new();
  bool const serve = optind + 1 == argc && std::strcmp(argv[optind], "serve") == 0;
  if (serve && at && (!beat || (!sv.service.empty() && !sv.zone.empty()))) {
    sv.loop = loop;
    sv.at = *at;
    evhttp* h = evhttp_new(loop);
    evhttp_set_gencb(
        h, [](evhttp_request* r, void* p) { static_cast<Server*>(p)->arrive(r); }, &sv);
    if (evhttp_bind_socket(h, at->ip.c_str(), static_cast<ev_uint16_t>(at->port)) != 0) {
      std::fprintf(stderr, "dockbend-loadgen: can't listen at %s\n", at->str().c_str());
      return rc_failed;
    }
    std::unique_ptr<PeriodicTimer> tick;
    if (beat) {
      sv.beat(*beat);
      tick = std::make_unique<PeriodicTimer>(loop, 1.0, [&] { sv.beat(*beat); });
    }
    event_base_dispatch(loop);
    return rc_ok;
  }
  bool const nowhere = run.directories.empty() ? run.gates.empty() : run.from.empty();
  if (serve || optind < argc || nowhere || run.host.empty() || kinds.empty()) {
    usage(stderr);
    return rc_usage;
  }
  run.loop = loop;
  for (std::size_t i = 0; i < kinds.size(); ++i)
    run.kinds.push_back(std::make_unique<Kind_>(Kind_{kinds[i], Arrivals(kinds[i].rate, run.seed * 1000 + i), {}}));
  run.arriving = kinds.size();
  if (!run.directories.empty()) {
    run.resolve();
    run.resolver = std::make_unique<PeriodicTimer>(loop, 1.0, [&run] { run.resolve(); });
  }
  run.start = steady_now() + (run.directories.empty() ? 0 : 0.5);  // the first answers of directories
  for (std::size_t i = 0; i < kinds.size(); ++i)
    run.arm(i);
  event_base_dispatch(loop);
  return run.print(as_json) ? rc_ok : rc_failed;
}
