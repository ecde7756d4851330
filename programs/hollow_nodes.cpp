// facsimile: hollow nodes. Many agents and beating servers in one process, that speak the real
// frames through the real libraries to a real archivist; and the libraries themselves at a size.
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <getopt.h>
#include <malloc.h>
#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <memory>

#include "configuration/configuration.hpp"
#include "consensus/acceptor.hpp"
#include "consensus/proposer.hpp"
#include "idempotency/key_table.hpp"
#include "load_balancing/load_balancer.hpp"
#include "server_registry/server_registry.hpp"
#include "settings/settings.hpp"
#include "storage/disk_store.hpp"
#include "transport/transport.hpp"

using namespace dockbend;

namespace {
int const rc_ok = 0, rc_failed = 1, rc_usage = 2;
long const most_sites = 2000, most_servers = 20000, most_items = 500000;

void usage(FILE* f) {
  std::fprintf(f,
               "dockbend-hollow-nodes: hollow nodes before one real dockbend-controller, to measure what it costs\n\n"
               "usage: dockbend-hollow-nodes nodes --control HOST:PORT --inner HOST:PORT [options]\n"
               "       dockbend-hollow-nodes library [options]\n\n"
               "  nodes    agents that register, keep alive and are fed, and servers that beat\n"
               "    --sites N      hollow agents (default 10, at most %ld)\n"
               "    --servers N    hollow servers (default 10, at most %ld)\n"
               "    --claims R     claims on keys a second, over all agents (default 0)\n"
               "    --for S        how long (default 10, at most 600); the first fifth is not counted\n"
               "    --pid PID      the dockbend-controller's process, on this machine: its processor time and memory\n"
               "    --zone Z, --region R  where they say they are (default desk, desk)\n"
               "  library  the parts of a node at a size, without any node\n"
               "    --lanes N, --tenants N, --servers N (default 100, 100, 100; at most %ld together)\n"
               "  --help, --version\n\n"
               "Prints JSON. Exit codes: 0 done, 1 not reached, 2 wrong usage.\n",
               most_sites, most_servers, most_items);
}

struct Bad : std::runtime_error {
  using std::runtime_error::runtime_error;
};
double number(char const* s, char const* what, double lo, double hi) {
  char* end = nullptr;
  double const x = std::strtod(s, &end);
  if (end == s || *end != '\0' || !(x >= lo && x <= hi))
    throw Bad(std::string(what) + ": wants a number from " + std::to_string(static_cast<long>(lo)) + " to " +
              std::to_string(static_cast<long>(hi)));
  return x;
}

struct Used {
  double cpu = 0, mb = 0;
};
Used used_by(long pid) {
  Used u;
  std::ifstream f("/proc/" + std::to_string(pid) + "/stat");
  std::string s((std::istreambuf_iterator<char>(f)), {});
  auto const p = s.rfind(')');
  if (p == std::string::npos) return u;
  unsigned long ut = 0, st = 0;
  long rss = 0;
  std::sscanf(s.c_str() + p + 2,
              "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu %*d %*d %*d %*d %*d %*d %*u %*u %ld", &ut, &st,
              &rss);
  u.cpu = static_cast<double>(ut + st) / static_cast<double>(sysconf(_SC_CLK_TCK));
  u.mb = static_cast<double>(rss) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  return u;
}

struct Town {
  event_base* loop = nullptr;
  Address control, inner;
  std::string zone = "desk", region = "desk";
  long sites = 10, servers = 10, pid = 0;
  double claims = 0, span = 10;
  struct Agent {
    std::unique_ptr<PeerLink> link;
    std::string front;
    bool fed = false;
  };
  std::vector<Agent> agents;
  std::vector<evhttp_connection*> conns;
  u64 letters_in = 0, bytes_in = 0, letters_out = 0, bytes_out = 0, beats_ok = 0, beats_failed = 0, granted = 0,
      refused = 0, seq = 0, up = 0;
  Incarnation incarnation;
  Epoch epoch;
  double due = 0;
  std::size_t turn = 0, beat_turn = 0;

  template <codec::Record T>
  void send(Agent& a, MessageType k, u32 tag, T const& x) {
    if (a.link->ch() == nullptr) return;
    std::string const b = codec::pack(x);
    ++letters_out;
    bytes_out += 9 + b.size();
    a.link->ch()->send(k, tag, b);
  }
  void begin() {
    agents.resize(static_cast<std::size_t>(sites));
    for (std::size_t i = 0; i < agents.size(); ++i) {
      Agent& a = agents[i];
      a.front = "127.9." + std::to_string(i / 200) + "." + std::to_string(i % 200 + 1) + ":8144";
      a.link = std::make_unique<PeerLink>(loop, inner, 1.0, 4.0);
      a.link->on_up.connect([this, &a](PeerLink&) {
        HandshakeRequest h;
        h.role = 2;
        h.ip = a.front.substr(0, a.front.find(':'));
        h.zone = zone;
        h.region = region;
        h.front = a.front;
        send(a, MessageType::handshake_request, 0, h);
        send(a, MessageType::subscribe, 0, SubscribeRequest{true, Ballot()});
        ++up;
      });
      a.link->on_down.connect([this](PeerLink&) { --up; });
      a.link->on_message.connect([this](PeerLink&, Message const& l) { heard(l); });
    }
    for (int i = 0; i < 20 && i < servers; ++i) {
      conns.push_back(
          evhttp_connection_base_new(loop, nullptr, control.ip.c_str(), static_cast<ev_uint16_t>(control.port)));
      evhttp_connection_set_timeout(conns.back(), 2);
    }
  }
  void heard(Message const& l) {
    ++letters_in;
    bytes_in += 9 + l.body.size();
    if (l.kind == MessageType::handshake_response) incarnation = l.as<HandshakeResponse>().incarnation;
    if (l.kind == MessageType::catch_up_response)
      if (CommitNotice const c = l.as<CommitNotice>(); !c.state.empty())
        epoch = codec::unpack<ReplicatedState>(c.state).epoch;
    if (l.kind == MessageType::claim_response) ++(l.as<ClaimResponse>().vote == ClaimVote::granted ? granted : refused);
  }
  // Every 20 ms: the part of all keepalives, beats and claims that is due.
  void tick(Seconds dt) {
    Seconds const now = steady_now();
    for (std::size_t n = static_cast<std::size_t>(static_cast<double>(agents.size()) * dt / 0.6 + random01());
         n > 0 && !agents.empty(); --n) {
      Agent& a = agents[turn++ % agents.size()];
      ProxyHeartbeat b;
      b.front = a.front;
      b.zone = zone;
      b.region = region;
      b.ready = true;
      b.load = 0.3 + 0.2 * random01();
      b.primary = true;
      send(a, MessageType::proxy_heartbeat, 0, b);
    }
    for (Agent& a : agents)
      a.link->tick(now);
    for (std::size_t n = static_cast<std::size_t>(static_cast<double>(servers) * dt / 1.5 + random01());
         n > 0 && servers > 0; --n)
      beat(beat_turn++ % static_cast<std::size_t>(servers));
    due += claims * dt;
    for (; due >= 1 && !agents.empty(); due -= 1) {
      ClaimRequest c;
      c.key = "facsimile/" + std::to_string(random64());
      c.holder = random64() | 1;
      c.epoch = epoch;
      c.incarnation = incarnation;
      c.work_ms = 1000;
      send(agents[random64() % agents.size()], MessageType::claim_request, 1, c);
    }
  }
  void beat(std::size_t i) {
    evhttp_request* r = evhttp_request_new(
        [](evhttp_request* q, void* p) {
          Town* const t = static_cast<Town*>(p);
          ++(q != nullptr && evhttp_request_get_response_code(q) == 200 ? t->beats_ok : t->beats_failed);
        },
        this);
    evhttp_add_header(evhttp_request_get_output_headers(r), "Host", "x");
    evbuffer_add_printf(evhttp_request_get_output_buffer(r),
                        "{\"service\":\"hollow%zu\",\"address\":\"127.8.%zu.%zu:80\",\"zone\":\"%s\",\"generation\":"
                        "\"v1\",\"capacity\":4,\"state\":\"ready\",\"coldLeftS\":0,\"callSeq\":%llu}",
                        i % 8, i / 200, i % 200 + 1, zone.c_str(), static_cast<unsigned long long>(++seq));
    evhttp_make_request(conns[i % conns.size()], r, EVHTTP_REQ_POST,
                        ("/-/Servers.Heartbeat/hollow-" + std::to_string(i)).c_str());
  }
};

int nodes(Town& t) {
  t.loop = event_base_new();
  t.begin();
  Seconds const start = steady_now(), warm = t.span * 0.2;
  Used before;
  bool counted = false;
  PeriodicTimer const tick(t.loop, 0.02, [&] {
    Seconds const now = steady_now() - start;
    if (!counted && now > warm) {
      counted = true;
      before = used_by(t.pid);
      t.letters_in = t.bytes_in = t.letters_out = t.bytes_out = t.beats_ok = t.beats_failed = t.granted = t.refused = 0;
    }
    if (now > t.span)
      event_base_loopbreak(t.loop);
    else
      t.tick(0.02);
  });
  event_base_dispatch(t.loop);
  Used const after = used_by(t.pid);
  double const s = t.span - warm;
  std::printf(
      "{\"sites\":%ld,\"up\":%llu,\"servers\":%ld,\"claimsPerS\":%.0f,\"seconds\":%.1f,\"archivistCores\":%.4f,"
      "\"archivistMb\":%.1f,"
      "\"lettersInPerS\":%.1f,\"bytesInPerS\":%.0f,\"lettersOutPerS\":%.1f,\"bytesOutPerS\":%.0f,\"beatsPerS\":%.1f,"
      "\"beatsFailed\":%llu,"
      "\"grantedPerS\":%.1f,\"refused\":%llu}\n",
      t.sites, static_cast<unsigned long long>(t.up), t.servers, t.claims, s, (after.cpu - before.cpu) / s, after.mb,
      static_cast<double>(t.letters_in) / s, static_cast<double>(t.bytes_in) / s,
      static_cast<double>(t.letters_out) / s, static_cast<double>(t.bytes_out) / s, static_cast<double>(t.beats_ok) / s,
      static_cast<unsigned long long>(t.beats_failed), static_cast<double>(t.granted) / s,
      static_cast<unsigned long long>(t.refused));
  return t.up > 0 || t.beats_ok > 0 ? rc_ok : rc_failed;
}

double heap() {
  struct mallinfo2 const m = mallinfo2();
  return static_cast<double>(m.uordblks + m.hblkhd);
}

// All that this process handed to write calls so far.
double written() {
  std::ifstream f("/proc/self/io");
  std::string k;
  double n = 0;
  while (f >> k >> n)
    if (k == "wchar:") return n;
  return 0;
}

// What one change costs a register of three members: what its proposer sends the two others, and
// what one disk writes, its log's part in the file included. The real rounds, votes and file.
struct ChangeCost {
  double sent = 0, disk = 0;    // bytes a change
  double value = 0, round = 0;  // heap of one value; the most that the proposer's votes and rounds hold
};
struct Founders {
  static int constexpr members = 3, rounds = 60;
  std::vector<std::unique_ptr<Acceptor>> accs;
  Proposer prop;
  double sent = 0, peak = 0;
  struct File {
    DiskStore& s;
    void write_vote(VoteWrite w, std::function<void(bool)> done) {
      DiskStore::Write x;
      x.vote = std::move(w);
      s.commit({&x});
      done(x.is_written);
    }
  } file;
  VoteWriter<File> writer;

  explicit Founders(DiskStore& s)
      : prop("10.0.0.1",
             [this](Ballot have, Ballot b) {
               return accs[0]->state()->ballot == b ? accs[0]->changes_since(have) : std::nullopt;
             }),
        file{s},
        writer(file, 0) {}
  void write(Acceptor::PendingWrite const& s) {
    if (s.is_needed)
      writer.write(accs[0]->vote_header(), s.rows, [](bool ok) {
        if (!ok) throw std::runtime_error("the disk took no vote");
      });
  }
  void deliver(Proposer::Messages v) {
    while (!v.empty()) {
      OutgoingMessage const o = std::move(v.front());
      v.erase(v.begin());
      std::size_t const i = static_cast<std::size_t>(o.to_ip.back() - '1');
      auto const count = [&](std::size_t n) { sent += i == 0 ? 0 : 9.0 + static_cast<double>(n); };
      Proposer::Messages more;
      if (auto const* const prepare = std::get_if<PrepareRequest>(&o.request)) {
        PrepareResponse r;
        Acceptor::PendingWrite const s = accs[i]->prepare(*prepare, r);
        if (i == 0) write(s);
        count(codec::pack(*prepare).size());
        count(codec::pack(r).size());
        more = prop.on_prepare_response(o.to_ip, r);
      } else {
        auto const& accept = std::get<AcceptRequest>(o.request);
        AcceptResponse r;
        Acceptor::PendingWrite const s = accs[i]->accept(accept, r);
        if (i == 0) write(s);
        count(codec::pack(accept).size());
        count(codec::pack(r).size());
        more = prop.on_accept_response(o.to_ip, r);
      }
      peak = std::max(peak, heap());
      v.insert(v.end(), more.begin(), more.end());
    }
    if (!prop.is_committed()) throw std::runtime_error("a round was lost");
  }
  void round(Proposer::Change c) {
    prop.observe_ballot(accs[0]->promised());
    deliver(prop.begin_round(*accs[0]->state(), std::move(c), 0, std::nullopt));
    CommitNotice m;
    m.ballot = prop.value().ballot;
    m.delta = prop.delta();
    sent += 2 * (9.0 + static_cast<double>(codec::pack(m).size()));
  }
  ChangeCost cost(std::function<void(ReplicatedState&, int)> const& change) {
    double const s0 = sent, w0 = written();
    for (int i = 0; i < rounds; ++i)
      round([&](ReplicatedState& s) {
        change(s, i);
        return true;
      });
    return {(sent - s0) / rounds, (written() - w0) / rounds, 0, 0};
  }
};

std::pair<ChangeCost, ChangeCost> change_costs(std::vector<ConfigItem> items) {
  char dir[] = "/tmp/dockbend-hollow-XXXXXX";
  if (::mkdtemp(dir) == nullptr) throw std::runtime_error("no room in /tmp");
  std::pair<ChangeCost, ChangeCost> out;
  {
    DiskStore store(dir);
    store.load();
    Founders f(store);
    ReplicatedState s;
    std::sort(items.begin(), items.end(), [](ConfigItem const& a, ConfigItem const& b) { return a.key < b.key; });
    s.items = std::move(items);
    for (int i = 0; i < Founders::members; ++i) {
      Member m;
      m.ip = "10.0.0." + std::to_string(i + 1);
      m.incarnation = Incarnation(1);
      s.membership.push_back(m);
    }
    s.duties.push_back(Lease{"usage", "core-1", "10.0.0.1", 1, 1, ""});
    s.ballot = Ballot(1);
    double const none = heap();
    for (int i = 0; i < Founders::members; ++i)
      f.accs.push_back(std::make_unique<Acceptor>(Incarnation(1), Ballot(1), s));
    double const value = (heap() - none) / Founders::members;
    f.writer.write(f.accs[0]->vote_header(), rows_of(s), [](bool) {});
    s = ReplicatedState();
    double const base = heap() - value;  // less our own vote
    f.round([](ReplicatedState&) { return true; });
    out.first = f.cost([](ReplicatedState& x, int i) {
      ConfigItem& it = x.items[static_cast<std::size_t>(i) * 7919 % x.items.size()];
      it.gen = Generation(it.gen.v + 1);
    });
    out.first.value = value;
    out.first.round = f.peak - base;
    out.second = f.cost([](ReplicatedState& x, int) { ++x.duties[0].counter; });
  }
  std::filesystem::remove_all(dir);
  return out;
}

// What a node keeps for lanes, tenants and servers, and what an errand's choice costs.
int library(long routes, long tenants, long servers) {
  auto item = [](std::string const& body) { return read_amend(body).items; };
  std::vector<ConfigItem> items = item(
      R"({"upsert":{"pools":[{"name":"p","healthPath":"/h","connLimit":100,"protocol":"h1","tlsMode":false,"selfDedupes":false,"coldS":3,"coldRateS":9,"generation":"00000001"}]}})");
  auto add = [&](std::vector<ConfigItem> const& v) { items.insert(items.end(), v.begin(), v.end()); };
  for (long i = 0; i < routes; ++i) {
    std::string const n = std::to_string(i);
    add(item("{\"upsert\":{\"sockets\":[{\"host\":\"h" + std::to_string(i / 50) +
             ".example\",\"policy\":[{\"name\":\"r-" + n +
             "\",\"kind\":\"idempotent\",\"setpointS\":0.3,\"rank\":2,\"generation\":\"00000001\",\"selector\":{"
             "\"pathPrefix\":\"/p" +
             n + "/\"},\"actuation\":{\"service\":\"p\",\"deadlineS\":1.2,\"maxTries\":2,\"homeRegions\":[]}}]}]}}"));
  }
  for (long i = 0; i < tenants; ++i) {
    std::string const n = std::to_string(i);
    add(item("{\"upsert\":{\"customers\":[{\"name\":\"tenant-" + n + "\",\"keys\":[\"key-0123456789-" + n +
             "\"],\"rank\":1,\"generation\":\"00000001\"}]}}"));
  }
  double const h0 = heap();
  ReplicatedState s;
  s.items = items;
  std::string const packed = codec::pack(s);
  std::size_t const deflated = encode_message(MessageType::state_update, packed).body().size();
  double const h1 = heap();
  auto man = std::make_unique<CompiledConfiguration>(CompiledConfiguration::from(items));
  double const h2 = heap();
  std::vector<LoadBalancer::ServerUpdate> rows;
  for (long i = 0; i < servers; ++i) {
    LoadBalancer::ServerUpdate x;
    x.id = "i-" + std::to_string(1000000 + i);
    x.service = "p";
    x.address = "10.128.0.9:8080";
    x.zone = "desk";
    x.capacity = 4;
    x.ready = true;
    rows.push_back(std::move(x));
  }
  Settings const st = parse_settings("ip=10.0.0.1\nzone=desk\ninnerPorts=7000,7010\nzones.desk=desk\n");
  double const h3 = heap();
  auto as = std::make_unique<LoadBalancer>(st);
  as->replace_servers(rows, 0);
  as->set_proxy_counts({{"desk", 20}});
  double const h4 = heap();
  EndpointQuery w;
  w.service = as->service_index("p");
  int const rounds = 2000;
  auto cpu = [] {
    rusage r{};
    getrusage(RUSAGE_SELF, &r);
    return static_cast<double>(r.ru_utime.tv_sec) + static_cast<double>(r.ru_utime.tv_usec) * 1e-6;
  };
  double const c0 = cpu();
  std::size_t hit = 0;
  for (int i = 0; i < rounds; ++i)
    hit += as->choose(w, 1 + i * 0.001).server ? 1 : 0;
  double const c1 = cpu();
  for (int i = 0; i < rounds * 10; ++i)
    hit += man->find("h0.example", "/p1/x") ? 1 : 0;
  double const c2 = cpu();
  auto const [changed, renewed] = change_costs(std::move(items));
  std::printf(
      "{\"lanes\":%ld,\"tenants\":%ld,\"servers\":%ld,\"viewBytes\":%zu,\"deflatedBytes\":%zu,\"viewHeapBytes\":%.0f,"
      "\"compiledHeapBytes\":%.0f,\"tableHeapBytes\":%.0f,\"chooseUs\":%.2f,\"findUs\":%.3f,\"hits\":%zu,"
      "\"changeSentBytes\":%.0f,\"changeDiskBytes\":%.0f,\"renewalSentBytes\":%.0f,\"renewalDiskBytes\":%.0f,"
      "\"valueHeapBytes\":%.0f,\"roundHeapBytes\":%.0f}\n",
      routes, tenants, servers, packed.size(), deflated, h1 - h0 - static_cast<double>(packed.size()), h2 - h1, h4 - h3,
      (c1 - c0) / rounds * 1e6, (c2 - c1) / rounds / 10 * 1e6, hit, changed.sent, changed.disk, renewed.sent,
      renewed.disk, changed.value, changed.round);
  return rc_ok;
}
}  // namespace

int main(int argc, char** argv) {
  static option const opts[] = {
      {"control", required_argument, nullptr, 'c'}, {"inner", required_argument, nullptr, 'i'},
      {"sites", required_argument, nullptr, 's'},   {"servers", required_argument, nullptr, 'S'},
      {"claims", required_argument, nullptr, 'k'},  {"for", required_argument, nullptr, 'f'},
      {"pid", required_argument, nullptr, 'p'},     {"zone", required_argument, nullptr, 'z'},
      {"region", required_argument, nullptr, 'r'},  {"lanes", required_argument, nullptr, 'l'},
      {"tenants", required_argument, nullptr, 't'}, {"help", no_argument, nullptr, 'h'},
      {"version", no_argument, nullptr, 'v'},       {nullptr, 0, nullptr, 0}};
  Town t;
  long routes = 100, tenants = 100, servers = 100;
  bool control = false, inner = false;
  try {
    for (int o = 0; (o = getopt_long(argc, argv, "hv", opts, nullptr)) != -1;) {
      switch (o) {
        case 'c':
          t.control = parse_addr(optarg, "--control");
          control = true;
          break;
        case 'i':
          t.inner = parse_addr(optarg, "--inner");
          inner = true;
          break;
        case 's': t.sites = static_cast<long>(number(optarg, "--sites", 0, most_sites)); break;
        case 'S': t.servers = servers = static_cast<long>(number(optarg, "--servers", 0, most_servers)); break;
        case 'k': t.claims = number(optarg, "--claims", 0, 100000); break;
        case 'f': t.span = number(optarg, "--for", 1, 600); break;
        case 'p': t.pid = static_cast<long>(number(optarg, "--pid", 1, 1e9)); break;
        case 'z': t.zone = optarg; break;
        case 'r': t.region = optarg; break;
        case 'l': routes = static_cast<long>(number(optarg, "--lanes", 1, most_items)); break;
        case 't': tenants = static_cast<long>(number(optarg, "--tenants", 0, most_items)); break;
        case 'h': usage(stdout); return rc_ok;
        case 'v': std::printf("dockbend-hollow-nodes (dockbend) 0.2.0\n"); return rc_ok;
        default: usage(stderr); return rc_usage;
      }
    }
    if (routes + tenants + servers > most_items)
      throw Bad("--lanes, --tenants, --servers: more than " + std::to_string(most_items) + " together");
  } catch (std::exception const& e) {
    std::fprintf(stderr, "dockbend-hollow-nodes: %s\n", e.what());
    return rc_usage;
  }
  signal(SIGPIPE, SIG_IGN);
  std::string const what = optind + 1 == argc ? argv[optind] : "";
  if (what == "library") return library(routes, tenants, servers);
  if (what == "nodes" && control && inner) return nodes(t);
  usage(stderr);
  return rc_usage;
}
