// What the scripts of this folder share: the system's processes, stand-ins for servers, clients and the operator, and
// the record. Standard library and POSIX only. Every address is a loopback address.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace stand {

inline double now() {
  timespec ts{};
  clock_gettime(CLOCK_MONOTONIC, &ts);
  return static_cast<double>(ts.tv_sec) + static_cast<double>(ts.tv_nsec) * 1e-9;
}
inline double const began_at = now();
inline void sleep_until(double at) {
  while (now() < at)
    std::this_thread::sleep_for(std::chrono::duration<double>(std::min(0.05, std::max(0.0005, at - now()))));
}
inline void sleep_for(double seconds) { sleep_until(now() + seconds); }

// ---- the record -------------------------------------------------------------------------------------------------

class Record {
 public:
  explicit Record(std::string const& path) : file_(std::fopen(path.c_str(), "w")) {}
  ~Record() { if (file_ != nullptr) std::fclose(file_); }
  // One line, with the seconds since the start.
  void line(char const* format, ...) {
    std::lock_guard<std::mutex> const lock(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%9.3f ", now() - began_at);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

// ---- sockets and HTTP -------------------------------------------------------------------------------------------

struct Address {
  std::string ip;
  int port = 0;
  std::string str() const { return ip + ":" + std::to_string(port); }
};
inline Address address_of(std::string const& text) {
  auto const colon = text.rfind(':');
  return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
}
inline sockaddr_in socket_address(Address const& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}
inline int listen_at(Address const& address) {
  int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int const on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in const at = socket_address(address);
  if (bind(socket, reinterpret_cast<sockaddr const*>(&at), sizeof at) != 0 || listen(socket, 512) != 0) {
    close(socket);
    return -1;
  }
  return socket;
}
inline bool is_free(Address const& address) {
  int const socket = listen_at(address);
  if (socket >= 0) close(socket);
  return socket >= 0;
}

struct Message {
  std::string start;  // the first line
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string const* header(std::string const& name) const {
    for (auto const& [key, value] : headers)
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return &value;
    return nullptr;
  }
  std::string value(std::string const& name) const {
    std::string const* const found = header(name);
    return found == nullptr ? "" : *found;
  }
  int status() const { return start.size() < 12 ? 0 : std::atoi(start.c_str() + 9); }
  std::string method() const { return start.substr(0, start.find(' ')); }
  std::string target() const {
    auto const first = start.find(' ');
    return first == std::string::npos ? "" : start.substr(first + 1, start.find(' ', first + 1) - first - 1);
  }
};

// A connection with a buffer; all calls give up at a moment of the steady clock.
class Wire {
 public:
  explicit Wire(int socket) : socket_(socket) {
    int const on = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Wire(Wire const&) = delete;
  ~Wire() { if (socket_ >= 0) close(socket_); }
  int socket() const { return socket_; }

  static std::unique_ptr<Wire> dial(Address const& to, double until) {
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (socket < 0) return nullptr;
    auto wire = std::make_unique<Wire>(socket);
    sockaddr_in const at = socket_address(to);
    if (connect(socket, reinterpret_cast<sockaddr const*>(&at), sizeof at) != 0) {
      if (errno != EINPROGRESS || !wire->wait(POLLOUT, until)) return nullptr;
      int error = 0;
      socklen_t length = sizeof error;
      getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length);
      if (error != 0) return nullptr;
    }
    return wire;
  }
  bool wait(short events, double until) const {
    for (;;) {
      double const left = until - now();
      if (left <= 0) return false;
      pollfd entry{socket_, events, 0};
      int const found = poll(&entry, 1, static_cast<int>(std::min(left * 1000 + 1, 1000.0)));
      if (found > 0) return true;
      if (found < 0 && errno != EINTR) return false;
    }
  }
  bool write(std::string_view bytes, double until) {
    while (!bytes.empty()) {
      ssize_t const sent = send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent > 0) {
        bytes.remove_prefix(static_cast<std::size_t>(sent));
      } else if (errno == EAGAIN || errno == EINTR) {
        if (!wait(POLLOUT, until)) return false;
      } else {
        return false;
      }
    }
    return true;
  }
  // Reads more; false: the end, an error or the time.
  bool fill(double until) {
    char bytes[65536];
    for (;;) {
      ssize_t const got = recv(socket_, bytes, sizeof bytes, MSG_DONTWAIT);
      if (got > 0) {
        buffer_.append(bytes, static_cast<std::size_t>(got));
        return true;
      }
      if (got == 0) {
        ended_ = true;
        return false;
      }
      if (errno != EAGAIN && errno != EINTR) {
        was_reset_ = true;
        return false;
      }
      if (!wait(POLLIN, until)) return false;
    }
  }
  // A whole message; nothing if it doesn't come whole.
  std::optional<Message> read_message(double until, bool is_head_answer = false) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
      if (!fill(until)) return std::nullopt;
    Message message;
    std::size_t at = 0;
    bool is_first = true;
    while (at < end + 2) {
      std::size_t const line_end = buffer_.find("\r\n", at);
      std::string const line = buffer_.substr(at, line_end - at);
      at = line_end + 2;
      if (is_first) {
        message.start = line;
        is_first = false;
        continue;
      }
      auto const colon = line.find(':');
      if (colon == std::string::npos) continue;
      auto const first = line.find_first_not_of(' ', colon + 1);
      message.headers.emplace_back(line.substr(0, colon), first == std::string::npos ? "" : line.substr(first));
    }
    buffer_.erase(0, end + 4);
    if (is_head_answer) return message;
    if (strcasecmp(message.value("Transfer-Encoding").c_str(), "chunked") == 0) {
      for (;;) {
        std::size_t line_end = 0;
        while ((line_end = buffer_.find("\r\n")) == std::string::npos)
          if (!fill(until)) return std::nullopt;
        std::size_t const length = std::strtoul(buffer_.c_str(), nullptr, 16);
        while (buffer_.size() < line_end + 2 + length + 2)
          if (!fill(until)) return std::nullopt;
        message.body += buffer_.substr(line_end + 2, length);
        buffer_.erase(0, line_end + 2 + length + 2);
        if (length == 0) return message;
      }
    }
    std::size_t const length = std::strtoul(message.value("Content-Length").c_str(), nullptr, 10);
    while (buffer_.size() < length)
      if (!fill(until)) return std::nullopt;
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return message;
  }
  void reset() {
    linger const no_wait{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &no_wait, sizeof no_wait);
    close(socket_);
    socket_ = -1;
  }
  bool has_bytes() const { return !buffer_.empty(); }
  bool ended() const { return ended_; }
  bool was_reset() const { return was_reset_; }

 private:
  int socket_;
  std::string buffer_;
  bool ended_ = false, was_reset_ = false;
};

// One call on a connection of its own; nothing: no whole answer in time.
inline std::optional<Message> call(Address const& to, std::string const& method, std::string const& target,
                                   std::string const& body, double seconds) {
  double const until = now() + seconds;
  auto const wire = Wire::dial(to, until);
  if (!wire) return std::nullopt;
  std::string request = method + " " + target + " HTTP/1.1\r\nHost: " + to.str() + "\r\nConnection: close\r\n";
  if (method == "POST") request += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  if (!wire->write(request + "\r\n" + body, until)) return std::nullopt;
  return wire->read_message(until);
}

// ---- the system's processes ---------------------------------------------------------------------------------------

struct Process {
  std::string name, program, settings, log;
  std::vector<std::string> arguments;
  pid_t pid = -1;

  void start() {
    pid = fork();
    if (pid != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the test
    int const out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    int const in = open("/dev/null", O_RDONLY);
    dup2(in, 0);
    std::string const variable = "DOCKBEND_SETTINGS=" + settings;
    char path[] = "PATH=/usr/bin:/bin";
    char* environment[] = {const_cast<char*>(variable.c_str()), path, nullptr};
    std::vector<char*> words{const_cast<char*>(program.c_str())};
    for (std::string const& argument : arguments)
      words.push_back(const_cast<char*>(argument.c_str()));
    words.push_back(nullptr);
    execve(program.c_str(), words.data(), environment);
    _exit(127);
  }
  bool is_running() {
    if (pid <= 0) return false;
    if (waitpid(pid, nullptr, WNOHANG) == 0) return true;
    pid = -1;
    return false;
  }
  void signal(int number) const { if (pid > 0) ::kill(pid, number); }
  void wait_end() {
    if (pid > 0) waitpid(pid, nullptr, 0);
    pid = -1;
  }
  void kill_now() {
    signal(SIGKILL);
    wait_end();
  }
};

struct Zone {
  std::string name, region;
};

// Controllers (one a zone) and edge machines, as a small deployment has them.
class System {
 public:
  std::vector<Zone> zones;
  std::map<std::string, std::string> more_settings;  // of all processes, in place of those below
  std::vector<Process> controllers;
  struct Edge {
    std::string ip, zone, region;
    Process agent, proxy;
  };
  std::vector<Edge> edges;
  std::string directory;
  std::string build;  // where the programs are

  // edges_in: how many edge machines in each zone.
  System(std::string build_directory, std::vector<Zone> in_zones, std::vector<int> const& edges_in, Record& record,
         std::map<std::string, std::string> more = {}, int controllers_in_use = -1)
      : zones(std::move(in_zones)), more_settings(std::move(more)), build(std::move(build_directory)), record_(record) {
    char pattern[] = "/tmp/review.XXXXXX";
    directory = mkdtemp(pattern);
    choose_subnet(edges_in);
    std::size_t const n = controllers_in_use < 0 ? zones.size() : static_cast<std::size_t>(controllers_in_use);
    for (std::size_t i = 0; i < n; ++i) {
      std::string const name = "core-" + zones[i].name;
      std::string const data = directory + "/data-" + name;
      mkdir(data.c_str(), 0755);
      controllers.push_back(Process{name, build + "/dockbend-controller", directory + "/" + name + ".conf",
                                    directory + "/" + name + ".log", {"--staged"}});
      write_core_settings(i, true);
    }
    int number = 0;
    for (std::size_t i = 0; i < zones.size(); ++i)
      for (int k = 0; k < edges_in[i]; ++k, ++number) {
        Edge edge;
        edge.ip = edge_ip(number);
        edge.zone = zones[i].name;
        edge.region = zones[i].region;
        std::string const name = "edge-" + zones[i].name + "-" + std::to_string(k + 1);
        std::string const conf = directory + "/" + name + ".conf";
        edge.agent = Process{name + " agent", build + "/dockbend-agent", conf, directory + "/" + name + ".agent.log", {}};
        edge.proxy = Process{name + " proxy", build + "/dockbend-proxy", conf, directory + "/" + name + ".proxy.log", {}};
        std::ofstream(conf) << "nodeName=" << name << "\nrole=proxy\nmachineClass=edge\nserves=edge\nip=" << edge.ip
                            << "\nzone=" << edge.zone << "\nregion=" << edge.region << "\nbind.front=" << edge.ip
                            << ":8144\nbind.ready=" << edge.ip << ":8140\nagentPort=" << agent_ports_[number]
                            << "\nlimits.memoryMb=260\nlimits.fdLimit=4100\nlimits.cpuShare=0.2\n" << common(true);
        edges.push_back(edge);
      }
  }
  ~System() {
    for (Edge& edge : edges) {
      edge.proxy.kill_now();
      edge.agent.kill_now();
    }
    for (Process& controller : controllers)
      controller.kill_now();
    if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(directory);
  }
  std::string core_ip(std::size_t i) const { return subnet_ + ".1." + std::to_string(i + 1); }
  std::string edge_ip(int number) const { return subnet_ + ".2." + std::to_string(number + 1); }
  std::string server_ip(int number) const {
    return subnet_ + "." + std::to_string(3 + number / 200) + "." + std::to_string(number % 200 + 1);
  }
  std::string subnet() const { return subnet_; }
  Address control(std::size_t i) const { return {core_ip(i), 8146}; }
  Address locator(std::size_t i) const { return {core_ip(i), 8143}; }
  Address front(std::size_t i) const { return {edges[i].ip, 8144}; }
  Address ready(std::size_t i) const { return {edges[i].ip, 8140}; }

  void write_core_settings(std::size_t i, bool bootstrap) {
    Process const& controller = controllers[i];
    std::ofstream(controller.settings) << "nodeName=" << controller.name
                                       << "\nrole=controller\nmachineClass=core\nserves=controller,locator\nip=" << core_ip(i)
                                       << "\nzone=" << zones[i].name << "\nregion=" << zones[i].region
                                       << "\nbind.control=" << control(i).str() << "\nbind.directory=" << locator(i).str()
                                       << "\ndataDir=" << directory << "/data-" << controller.name
                                       << "\nlossCounted=true\nlimits.memoryMb=256\nlimits.fdLimit=4096\nlimits.cpuShare=0.3\nlimits.diskMb=256\n"
                                       << common(bootstrap);
  }
  void start() {
    for (Process& controller : controllers)
      controller.start();
    for (Edge& edge : edges) {
      edge.agent.start();
      edge.proxy.start();
    }
  }
  // After the first start the settings say that it was.
  void first_start_is_over() {
    for (std::size_t i = 0; i < controllers.size(); ++i)
      write_core_settings(i, false);
  }
  bool wait_ready(double seconds) {
    double const until = now() + seconds;
    for (std::size_t i = 0; i < edges.size(); ++i)
      for (;;) {
        auto const answer = call(ready(i), "GET", "/-/readiness", "", 1);
        if (answer && answer->status() == 200) break;
        if (now() > until) return false;
        sleep_for(0.1);
      }
    return true;
  }
  // As an operator does: node after node, until a clear answer or the time.
  int order(std::string const& method, std::string const& target, std::string const& body, double seconds,
            std::string* answer_body = nullptr) {
    double const until = now() + seconds;
    for (std::size_t i = 0; now() < until; ++i) {
      Address to = control(i % controllers.size());
      std::string path = target;
      for (int hop = 0; hop < 3; ++hop) {
        auto const answer = call(to, method, path, body, 1.0);
        if (!answer) break;
        if (answer->status() == 307) {
          std::string const location = answer->value("Location");
          auto const slash = location.find('/', 7);
          to = address_of(location.substr(7, slash - 7));
          path = location.substr(slash);
          continue;
        }
        if (answer->status() >= 200 && answer->status() < 500 && answer->status() != 408 && answer->status() != 429) {
          if (answer_body != nullptr) *answer_body = answer->body;
          return answer->status();
        }
        break;
      }
      sleep_for(0.1);
    }
    return 0;
  }

 private:
  std::string common(bool bootstrap) const {
    std::map<std::string, std::string> settings{
        {"innerPorts", "7660,7675"},
        {"bootstrap", bootstrap ? "true" : "false"},
        {"limits.coreCount", "1"},
        {"limits.linkMbps", "1000.0"},
        {"discoverySource", "self_report"},
        {"entryKind", "locator"},
        {"beatPeriodS", "1.3"},
        {"invariants", "base,drain,config,cost,retry,recover,places,keys"},
        {"tolerance.machines", "1"},
        {"tolerance.zones", "1"},
        {"tolerance.regions", "1"},
        {"bounds.seedDelayS", "3"},
        {"bounds.reuseHoldoffS", "2"},
        {"bounds.quietS", "3"},
        {"bounds.ackBoundS", "4"},
        {"bounds.convergeS", "4"},
        {"bounds.drainBoundS", "2.5"},
        {"bounds.gracePeriodS", "6"},
        {"bounds.lossSlackS", "0.2"},
        {"bounds.applyBoundS", "2.5"},
        {"bounds.revertSlackS", "0.25"},
        {"bounds.stretchS", "5"},
        {"bounds.retryRatio", "0.2"},
        {"bounds.retryWindowS", "10"},
        {"bounds.retrySlack", "58"},
        {"bounds.keyHorizonS", "60"},
        {"bounds.coldOvershoot", "1.5"},
        {"bounds.coldTolerance", "5"},
        {"bounds.evacuateBoundS", "5"},
        {"bounds.settleS", "15"},
        {"bounds.ttl_max_s", "5"},
        {"loopMode", "parts"}};
    for (Zone const& zone : zones)
      settings["zones." + zone.name] = zone.region;
    std::string seeds;
    std::size_t const n = std::min<std::size_t>(3, controllers_count());
    for (std::size_t i = 0; i < n; ++i)
      seeds += (i > 0 ? "," : "") + control(i).str();
    settings["seedAddrs"] = seeds;
    for (auto const& [key, value] : more_settings)
      settings[key] = value;
    std::string text;
    for (auto const& [key, value] : settings)
      text += key + "=" + value + "\n";
    return text;
  }
  std::size_t controllers_count() const { return std::max(controllers.size(), std::size_t{3}); }

  void choose_subnet(std::vector<int> const& edges_in) {
    int edge_count = 0;
    for (int const n : edges_in)
      edge_count += n;
    std::mt19937 random(static_cast<unsigned>(getpid()) ^ static_cast<unsigned>(std::chrono::steady_clock::now().time_since_epoch().count()));
    for (;;) {
      subnet_ = "127." + std::to_string(20 + random() % 200);
      bool free = true;
      for (std::size_t i = 0; i < zones.size() && free; ++i)
        free = is_free(control(i)) && is_free(locator(i)) && is_free({core_ip(i), 7660});
      for (int i = 0; i < edge_count && free; ++i)
        free = is_free({edge_ip(i), 8144}) && is_free({edge_ip(i), 8140}) && is_free({edge_ip(i), 7662});
      if (free) break;
    }
    std::set<int> ports;  // an agent and its proxy meet on 127.0.0.1: each machine has a port of its own there
    while (static_cast<int>(ports.size()) < edge_count) {
      int const port = 11000 + static_cast<int>(random() % 18000);
      if (is_free({"127.0.0.1", port})) ports.insert(port);
    }
    agent_ports_.assign(ports.begin(), ports.end());
  }

  Record& record_;
  std::string subnet_;
  std::vector<int> agent_ports_;
};

// ---- a stand-in server --------------------------------------------------------------------------------------------

struct Run {
  double at = 0;
  std::string server, attempt_id, key, target;
};

// Begins and ends with its object. Follows the users' page: 421 for another's id, 400 without an attempt id, 503 with
// X-Not-Run beyond its capacity and queue, a seal on each success.
class Server {
 public:
  std::string id, service, zone;
  Address address;
  int capacity = 4;
  double work_s = 0.02;
  // Called when a request begins to run.
  std::function<void(Run const&)> on_run;
  // Called for each request that reaches it (421 apart); by the time of its last byte.
  std::function<void(Message const&, double at)> on_arrival;
  std::atomic<bool> is_leaving{false};

  Server(std::string server_id, std::string of_service, std::string in_zone, Address at)
      : id(std::move(server_id)), service(std::move(of_service)), zone(std::move(in_zone)), address(std::move(at)) {}
  ~Server() { stop(); }

  bool start() {
    listener_ = listen_at(address);
    if (listener_ < 0) return false;
    accepting_ = std::thread([this] { accept_all(); });
    return true;
  }
  // Heartbeats to one of these nodes, or where they say, until stop_beats().
  void start_beats(std::vector<Address> controllers, double period) {
    beating_ = std::thread([this, controllers = std::move(controllers), period] { beat(controllers, period); });
  }
  void stop_beats() {
    beats_end_ = true;
    if (beating_.joinable()) beating_.join();
  }
  void stop() {
    if (is_stopped_.exchange(true)) return;
    stop_beats();
    if (listener_ >= 0) shutdown(listener_, SHUT_RDWR);
    if (accepting_.joinable()) accepting_.join();
    if (listener_ >= 0) close(listener_);
    while (open_connections_ > 0)
      sleep_for(0.005);
  }
  std::string last_target() const {
    std::lock_guard<std::mutex> const lock(mutex_);
    return beat_target_;
  }
  std::string heartbeat_body(char const* state) {
    char text[400];
    std::snprintf(text, sizeof text,
                  "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"generation\":\"v1\",\"capacity\":%d,\"state\":\"%s\","
                  "\"coldLeftS\":0,\"callSeq\":%d}",
                  service.c_str(), address.str().c_str(), zone.c_str(), capacity, state, ++calls_);
    return text;
  }

 private:
  void beat(std::vector<Address> const& controllers, double period) {
    std::mt19937 random(std::hash<std::string>()(id));
    while (!beats_end_) {
      bool done = false;
      std::string const target = last_target();
      if (!target.empty()) done = beat_once(address_of(target));
      if (!done) {
        {
          std::lock_guard<std::mutex> const lock(mutex_);
          beat_target_.clear();
        }
        std::vector<Address> order = controllers;
        std::shuffle(order.begin(), order.end(), random);
        for (Address const& controller : order)
          if (beats_end_ || beat_once(controller)) break;
      }
      double const next = now() + period;
      while (!beats_end_ && now() < next)
        sleep_for(0.01);
    }
  }
  bool beat_once(Address to) {
    std::string target = "/-/Servers.Heartbeat/" + id;
    std::string const body = heartbeat_body("ready");
    for (int hop = 0; hop < 3; ++hop) {
      auto const answer = call(to, "POST", target, body, 1.0);
      if (!answer) return false;
      if (answer->status() == 307) {
        std::string const location = answer->value("Location");
        auto const slash = location.find('/', 7);
        to = address_of(location.substr(7, slash - 7));
        target = location.substr(slash);
        continue;
      }
      if (answer->status() < 200 || answer->status() > 299) return false;
      auto const at = answer->body.find("\"beatTarget\":\"");
      if (at != std::string::npos) {
        auto const first = at + 14;
        std::lock_guard<std::mutex> const lock(mutex_);
        beat_target_ = answer->body.substr(first, answer->body.find('"', first) - first);
      }
      return true;
    }
    return false;
  }
  void accept_all() {
    for (;;) {
      int const socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        if (errno == EINTR || errno == ECONNABORTED) continue;
        return;
      }
      ++open_connections_;
      std::thread([this, socket] {
        serve(socket);
        --open_connections_;
      }).detach();
    }
  }
  void serve(int socket) {
    Wire wire(socket);
    double idle_until = now() + 10;
    while (!is_stopped_) {
      std::optional<Message> request;
      if (!wire.has_bytes() && !wire.wait(POLLIN, std::min(idle_until, now() + 0.1))) {
        if (now() > idle_until) return;
        continue;
      }
      request = wire.read_message(now() + 20);
      if (!request) return;
      if (!answer(wire, *request)) return;
      idle_until = now() + 10;
    }
  }
  bool answer(Wire& wire, Message const& request) {
    std::string const attempt_id = request.value("X-Attempt-Id");
    std::string headers = "X-Server-Id: " + id + "\r\n";
    if (!attempt_id.empty()) headers += "X-Attempt-Id: " + attempt_id + "\r\n";
    std::string const* const wanted = request.header("X-Target-Server");
    if (wanted != nullptr && *wanted != id) return respond(wire, "421 Misdirected Request", headers + "X-Not-Run: 1\r\n", "");
    if (on_arrival) on_arrival(request, now());
    if (attempt_id.empty()) return respond(wire, "400 Bad Request", headers + "X-Not-Run: 1\r\n", "");
    if (in_work_.fetch_add(1) >= 2 * capacity) {
      --in_work_;
      return respond(wire, "503 Service Unavailable", headers + "X-Not-Run: 1\r\n", "");
    }
    if (on_run) on_run(Run{now(), id, attempt_id, request.value("X-Operation-Key"), request.target()});
    sleep_for(work_s);
    --in_work_;
    std::string const seal = id + "." + std::to_string(++seals_);
    return respond(wire, "200 OK", headers + "X-Server-Seal: " + seal + "\r\n", seal + " " + attempt_id);
  }
  bool respond(Wire& wire, std::string const& status, std::string const& headers, std::string const& body) {
    bool const ends = is_leaving;
    std::string const bytes = "HTTP/1.1 " + status + "\r\n" + headers + "Connection: " + (ends ? "close" : "keep-alive") +
                              "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    return wire.write(bytes, now() + 5) && !ends;
  }

  int listener_ = -1;
  std::thread accepting_, beating_;
  std::atomic<bool> beats_end_{false}, is_stopped_{false};
  std::atomic<int> open_connections_{0}, in_work_{0}, calls_{0}, seals_{0};
  mutable std::mutex mutex_;
  std::string beat_target_;
};

// ---- a client's try -----------------------------------------------------------------------------------------------

struct Try {
  std::string id;
  double sent_at = 0, ended_at = 0;
  int status = 0;  // 0: no whole answer
  Message answer;
};
inline std::string random_id() {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  std::lock_guard<std::mutex> const lock(mutex);
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}
// On a connection of its own.
inline Try send_try(Address const& front, std::string const& host, std::string const& method, std::string const& target,
                    std::string const& more_headers, std::string const& body, double time_left) {
  Try result;
  result.id = random_id();
  result.sent_at = now();
  double const until = result.sent_at + time_left;
  if (auto const wire = Wire::dial(front, std::min(until, now() + 1))) {
    std::string request = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + result.id +
                          "\r\nX-Time-Left: " + std::to_string(static_cast<int>(time_left * 1000)) + "\r\n" + more_headers;
    if (method == "POST" || method == "PUT") request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (wire->write(request + "\r\n" + body, until))
      if (auto answer = wire->read_message(until + 0.5, method == "HEAD")) {
        result.status = answer->status();
        result.answer = std::move(*answer);
      }
  }
  result.ended_at = now();
  return result;
}

}  // namespace stand
