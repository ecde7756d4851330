// Throws malformed requests and frames at the ports of running processes on loopback and counts
// what comes back. A process that ends is seen by whoever started it (input_ports.sh).
#include <arpa/inet.h>
#include <getopt.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <optional>

#include "support/input_mutation.hpp"

using namespace dockbend;
using namespace dockbend::test;

namespace {
int const patience_ms = 3000;
int const silence_ms = 500;
struct Back {
  int code = 0;  // 0: closed without an answer
  bool hung = false;
  std::string body;
};

int dial(Address const& a) {
  int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in sa{};
  sa.sin_family = AF_INET;
  sa.sin_port = htons(static_cast<uint16_t>(a.port));
  inet_pton(AF_INET, a.ip.c_str(), &sa.sin_addr);
  if (connect(fd, reinterpret_cast<sockaddr*>(&sa), sizeof sa) == 0) return fd;
  close(fd);
  return -1;
}

enum class HalfClose { at_once, after_answer };

// Sends all and reads what comes back to its end. To the proxy a client that half-closes has left: whoever wants an
// answer half-closes once it has begun, or once none has come for a while, so that what was cut off midway ends too.
Back round_trip(Address const& a, std::string const& bytes, HalfClose half_close = HalfClose::after_answer) {
  Back b;
  int const fd = dial(a);
  if (fd < 0) return b;
  for (std::size_t at = 0; at < bytes.size();) {
    ssize_t const n = send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0) break;
    at += static_cast<std::size_t>(n);
  }
  pollfd answer{fd, POLLIN, 0};
  if (half_close == HalfClose::after_answer) poll(&answer, 1, silence_ms);
  shutdown(fd, SHUT_WR);
  std::string got;
  for (char buf[65536];;) {
    pollfd p{fd, POLLIN, 0};
    if (poll(&p, 1, patience_ms) <= 0) {
      b.hung = true;
      break;
    }
    ssize_t const n = recv(fd, buf, sizeof buf, 0);
    if (n <= 0) break;
    got.append(buf, static_cast<std::size_t>(n));
  }
  close(fd);
  if (got.compare(0, 5, "HTTP/") == 0 && got.size() > 12) b.code = std::atoi(got.c_str() + 9);
  if (auto const i = got.find("\r\n\r\n"); i != std::string::npos) b.body = got.substr(i + 4);
  return b;
}

std::string call(std::string const& method, std::string const& path, std::string const& body = "",
                 std::string const& more = "") {
  return method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n" + more +
         (body.empty() && method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" +
         body;
}

struct Counts {
  std::uint64_t sent = 0, refused = 0, closed = 0, frames = 0;
  std::map<int, std::uint64_t> codes;
  std::vector<std::string> faults;
  void nonsense(char const* port, std::string const& what, Back const& b) {
    ++sent;
    ++(b.code == 0 ? closed : refused);
    ++codes[b.code];
    if (b.hung) faults.push_back(std::string(port) + " says nothing to: " + what.substr(0, 120));
    if (b.code >= 200 && b.code < 300)
      faults.push_back(std::string(port) + " gave " + std::to_string(b.code) + " for: " + what.substr(0, 120));
  }
};

std::vector<std::string> broken_heads(std::string const& line) {
  std::string const h = line + " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: a1\r\n";
  std::vector<std::string> v{"\r\n\r\n",
                             "GET\r\n\r\n",
                             "GET / HTTP/9.9\r\n\r\n",
                             std::string("\0\x01\x02\xff\xfe\r\n\r\n", 9),
                             "FROB / HTTP/1.1\r\nHost: x\r\n\r\n",
                             "GET nowhere HTTP/1.1\r\nHost: x\r\n\r\n",
                             "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n",
                             h + "Content-Length: -5\r\n\r\n",
                             h + "Content-Length: 99999999999999999999\r\n\r\n",
                             h + "Content-Length: 50\r\n\r\nhalf",
                             h + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                             h + "no colon here\r\n\r\n",
                             h + "Transfer-Encoding: chunked\r\n\r\nzz\r\nx\r\n0\r\n\r\n",
                             h + "Transfer-Encoding: chunked\r\n\r\n-1\r\n",
                             h + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nx",
                             h + "Transfer-Encoding: chunked\r\n\r\n5\r\nhalf",
                             h + "X-Long: " + std::string(400000, 'x') + "\r\n\r\n",
                             h + "X: y\r\n"};
  std::string many = h;
  for (int i = 0; i < 20000; ++i)
    many += "X-" + std::to_string(i) + ": y\r\n";
  v.push_back(many + "\r\n");
  return v;
}

// What the front would otherwise pass on to a server.
std::vector<std::string> smuggling(std::string const& line) {
  std::string const h = " HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n";
  std::vector<std::string> v;
  for (char const* x :
       {"X-Attempt-Id: a1\r\nTransfer-Encoding : chunked\r\n", "X-Attempt-Id: a1\r\nX-Attempt-Id: a2\r\n",
        "X-Attempt-Id: a1\r\nHost: other\r\n", "X-Attempt-Id: a1\r\nContent-Length: 0\r\nContent-Length: 4\r\n",
        "X-Attempt-Id: a1\r\nA B: c\r\n", "X-Attempt-Id: a1\r\n: c\r\n", "X-Attempt-Id: a1\r\nContent-Length: +0\r\n",
        ""})
    v.push_back(line + h + x + "\r\n");
  v.push_back("GET /read/x y" + h + "X-Attempt-Id: a1\r\n\r\n");
  v.push_back("GET /read/x\x01" + h + "X-Attempt-Id: a1\r\n\r\n");
  return v;
}

std::vector<std::pair<std::string, std::string>> const wrong_calls{{"GET", "/-/Config.Amend"},
                                                                   {"POST", "/-/Config.Read"},
                                                                   {"GET", "/-/Servers.Heartbeat/x"},
                                                                   {"POST", "/-/Servers.Heartbeat/"},
                                                                   {"POST", "/-/Servers.Leave/"},
                                                                   {"POST", "/-/Evacuation.Begin/nowhere"},
                                                                   {"POST", "/-/Evacuation.Finish/"},
                                                                   {"POST", "/-/Rollout.Pause/x"},
                                                                   {"POST", "/-/Rollout.Abort/99999999999999999999999"},
                                                                   {"POST", "/-/Duty.HandOver/"},
                                                                   {"POST", "/-/Duty.HandOver/usage/nobody"},
                                                                   {"GET", "/-/Allowance.Show/%00"},
                                                                   {"POST", "/-/Drain.Start"},
                                                                   {"POST", "/-/Drain.Pause/x"},
                                                                   {"POST", "/-/Rotation.Return/1/%ff"},
                                                                   {"GET", "/-/Drain.Start"},
                                                                   {"GET", "/-/"},
                                                                   {"GET", "/" + std::string(9000, 'a')},
                                                                   {"POST", "/-/Servers.Heartbeat/x?y"}};
}  // namespace

int main(int argc, char** argv) {
  static option const opts[] = {{"control", required_argument, nullptr, 'c'},
                                {"directory", required_argument, nullptr, 'd'},
                                {"inner", required_argument, nullptr, 'i'},
                                {"agent", required_argument, nullptr, 'a'},
                                {"front", required_argument, nullptr, 'f'},
                                {"seed", required_argument, nullptr, 's'},
                                {"rounds", required_argument, nullptr, 'r'},
                                {"help", no_argument, nullptr, 'h'},
                                {nullptr, 0, nullptr, 0}};
  char const* const usage =
      "usage: input_ports --control IP:PORT --directory IP:PORT --inner IP:PORT --agent IP:PORT --front IP:PORT "
      "[--seed N] [--rounds 1..10000]\n"
      "Throws malformed requests and frames at these; prints counts as JSON. Exit codes: 0 no fault, 1 faults, 2 wrong "
      "usage\n";
  std::map<int, Address> at;
  std::uint64_t seed = 1, rounds = 40;
  try {
    for (int o = 0; (o = getopt_long(argc, argv, "", opts, nullptr)) != -1;) {
      if (o == 'h') return std::fputs(usage, stdout) < 0 ? 1 : 0;
      if (o == 's')
        seed = std::strtoull(optarg, nullptr, 10);
      else if (o == 'r')
        rounds = std::strtoull(optarg, nullptr, 10);
      else if (o != '?')
        at[o] = parse_addr(optarg, argv[optind - 2]);
    }
    if (at.size() != 5 || optind < argc || seed == 0 || rounds == 0 || rounds > 10000)
      throw SettingsError("usage", "five addresses, and rounds from 1 to 10000, are wanted");
  } catch (SettingsError const& e) {
    std::fprintf(stderr, "input_ports: %s\n%s", e.what(), usage);
    return 2;
  }
  Address const control = at['c'], directory = at['d'], inner = at['i'], agent = at['a'], front = at['f'];
  Counts n;
  Spoiler sp(seed);

  auto const before = round_trip(control, call("GET", "/-/Config.Read"));
  if (before.code != 200) n.faults.push_back("Config.Read before: " + std::to_string(before.code));
  auto serves = [&] {
    for (int i = 0; i < 100; ++i) {
      if (round_trip(front, call("GET", "/read/x", "", "X-Attempt-Id: a" + std::to_string(i) + "\r\n")).code == 200)
        return true;
      usleep(100000);
    }
    return false;
  };
  if (!serves()) n.faults.push_back("the front does not serve at the beginning");

  for (std::string const& s : broken_heads("POST /-/Config.Amend"))
    n.nonsense("control", s, round_trip(control, s));
  for (std::string const& s : broken_heads("GET /-/resolve?zone=desk"))
    n.nonsense("directory", s, round_trip(directory, s));
  for (std::string const& s : broken_heads("POST /read/x"))
    n.nonsense("front", s, round_trip(front, s));
  for (std::string const& s : smuggling("GET /read/x"))
    n.nonsense("front", s, round_trip(front, s));
  for (auto const& [m, p] : wrong_calls) {
    std::string const s = call(m, p, m == "POST" ? "{\"units\":3" : "");
    n.nonsense("control", s, round_trip(control, s));
  }
  for (std::string const& b :
       {std::string(2000000, '['), "{\"upsert\":" + std::string(1000000, '['), std::string("{}\0", 3),
        std::string("\xff\xfe{}"), std::string("{\"remove\":[]}"), std::string("nul")})
    for (char const* p : {"/-/Config.Amend", "/-/Servers.Heartbeat/x", "/-/Drain.Start"})
      n.nonsense("control", p, round_trip(control, call("POST", p, b)));
  // Random ones: the reading here and there must agree.
  for (std::uint64_t i = 0; i < rounds; ++i) {
    std::string const body = sp.spoil(good_amend, json_words);
    bool good = true;
    try {
      read_amend(body);
    } catch (json::Fault const&) {
      good = false;
    }
    if (good) continue;
    n.nonsense("control", body, round_trip(control, call("POST", "/-/Config.Amend", body)));
    std::string const s = sp.spoil(call("POST", "/pay/x", "12345678", "X-Attempt-Id: a1\r\n"),
                                   {"\r\n", ":", " ", "\t", "HTTP/1.1", "Content-Length: 3\r\n"});
    Back const b = round_trip(front, s);  // no X-Operation-Key: nothing may run
    n.nonsense("front", s, b);
  }

  // Frames: records of chance under every kind, spoiled or not, to both inner ports.
  for (std::uint64_t i = 0; i < rounds; ++i)
    for (Address const& a : {inner, agent}) {
      HandshakeRequest h;
      h.role = 1 + static_cast<u32>(sp.below(2));
      h.ip = "127.0.0.1";
      std::string s = sp.chance(80) ? framed(MessageType::handshake_request, 0, codec::pack(h)) : sp.text(30);
      hana::for_each(Records{}, [&](auto t) {
        typename decltype(t)::type x{};
        sp.fill(x);
        std::string const body = sp.chance(50) ? codec::pack(x) : sp.spoil(codec::pack(x));
        if (!sp.chance(10)) return;
        s += framed(static_cast<MessageType>(sp.chance(20) ? sp.below(256) : 2 + sp.below(72)),
                    static_cast<u32>(sp.odd_number()), body);
      });
      if (sp.chance(20)) s += framed(MessageType::deflated, 0, std::string("\x07\x04\0\0\0x", 6));
      if (sp.chance(20)) s.resize(s.size() - std::min<std::size_t>(s.size(), 3));
      ++n.frames;
      if (round_trip(a, s, HalfClose::at_once).hung) n.faults.push_back("a frame's channel does not end");
    }

  auto const after = round_trip(control, call("GET", "/-/Config.Read"));
  if (after.code != 200 || after.body != before.body)
    n.faults.push_back("Config.Read is not what it was: " + std::to_string(after.code));
  if (Back const s = round_trip(control, call("GET", "/-/Status")); s.code != 200)
    n.faults.push_back("Status after: " + std::to_string(s.code));
  else if (auto const i = s.body.find("\"badInput\""); i != std::string::npos)
    std::printf("%s\n", s.body.substr(i, s.body.find('}', i) + 1 - i).c_str());
  if (!serves()) n.faults.push_back("the front does not serve at the end");
  for (std::string const& f : n.faults)
    std::fprintf(stderr, "input_ports: %s\n", f.c_str());
  std::printf("{\"requests\":%llu,\"refused\":%llu,\"closed\":%llu,\"channels\":%llu,\"faults\":%zu,\"codes\":{",
              static_cast<unsigned long long>(n.sent), static_cast<unsigned long long>(n.refused),
              static_cast<unsigned long long>(n.closed), static_cast<unsigned long long>(n.frames), n.faults.size());
  char const* sep = "";
  for (auto const& [c, k] : n.codes) {
    std::printf("%s\"%d\":%llu", sep, c, static_cast<unsigned long long>(k));
    sep = ",";
  }
  std::printf("}}\n");
  return n.faults.empty() ? 0 : 1;
}
