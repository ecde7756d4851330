// Clients look photos up with HEAD and approve hours with POST, in turn on one connection. The operator drops the
// route of the photos.
// Usage: head_refused BUILD RECORD. TROUBLE=0: the route stays.
#include "stand.hpp"

using namespace stand;

namespace {
char constexpr kHost[] = "tunti.example", kService[] = "tuntipalvelu";
double constexpr kBeatPeriod = 1.3, kBefore = 3, kAfter = 5;

std::string configuration() {
  std::string const actuation = std::string(R"("actuation":{"service":")") + kService + R"(","deadlineS":1.2,"maxTries":2,"homeRegions":[]}})";
  return std::string(R"({"upsert":{"limits":{"headerBytes":16384,"bodyBytes":67108864,"headerDeadlineS":3,"idleTimeoutS":15,"generation":"00000001"},)") +
         R"("sockets":[{"host":")" + kHost +
         R"(","policy":[{"name":"r-photo","kind":"idempotent","setpointS":0.2,"rank":2,"generation":"00000001","selector":{"pathPrefix":"/photo/"},)" + actuation +
         R"(,{"name":"r-approve","kind":"keyed","setpointS":0.3,"rank":1,"generation":"00000001","selector":{"pathPrefix":"/approve/"},)" + actuation +
         R"(]}],"pools":[{"name":")" + kService +
         R"(","healthPath":"/health","connLimit":110,"protocol":"h1","tlsMode":false,"selfDedupes":false,"coldS":0,"coldRateS":1000,"generation":"00000001"}]},"remove":{"routes":[]}})";
}
char constexpr kDrop[] = R"({"upsert":{},"remove":{"routes":[{"name":"r-photo","generation":"00000002"}]}})";

struct Counts {
  int looked_up = 0, dropped = 0, approved = 0, stray = 0, lost = 0;
};

// One client's connection, as a sound one: an answer to HEAD has no body (RFC 9110, 9.3.2).
class Client {
 public:
  Client(System& system, std::size_t edge, Record& record, std::mutex& mutex, Counts& counts)
      : system_(system), edge_(edge), record_(record), mutex_(mutex), counts_(counts) {}

  void run(std::atomic<bool> const& ends) {
    for (int i = 0; !ends; ++i) {
      if (!wire_) wire_ = Wire::dial(system_.front(edge_), now() + 1);
      if (wire_ && look_up(i)) approve(i);
      sleep_for(0.05);
    }
  }

 private:
  bool send(std::string const& method, std::string const& target, std::string const& more, std::string const& body) {
    id_ = random_id();
    std::string request = method + " " + target + " HTTP/1.1\r\nHost: " + kHost + "\r\nX-Attempt-Id: " + id_ + "\r\nX-Time-Left: 1200\r\n" + more;
    if (method == "POST") request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (wire_->write(request + "\r\n" + body, now() + 1.2)) return true;
    wire_.reset();
    return false;
  }
  bool look_up(int i) {
    if (!send("HEAD", "/photo/" + std::to_string(i), "", "")) return false;
    auto const answer = wire_->read_message(now() + 1.7, true);
    std::lock_guard<std::mutex> const lock(mutex_);
    if (!answer) {
      wire_.reset();
      return false;
    }
    ++(answer->status() == 404 ? counts_.dropped : counts_.looked_up);
    record_.line("HEAD /photo/%d to %s, try %s: %d", i, system_.front(edge_).str().c_str(), id_.c_str(), answer->status());
    return true;
  }
  void approve(int i) {
    std::string const key = "k-" + random_id().substr(0, 8);
    if (!send("POST", "/approve/" + std::to_string(i), "X-Operation-Key: " + key + "\r\n", "hours")) return;
    auto const answer = wire_->read_message(now() + 1.7);
    std::lock_guard<std::mutex> const lock(mutex_);
    if (answer && answer->start.starts_with("HTTP/1.1 ")) {
      ++counts_.approved;
      record_.line("POST /approve/%d to %s, try %s, key %s: %d", i, system_.front(edge_).str().c_str(), id_.c_str(), key.c_str(), answer->status());
      return;
    }
    ++counts_.stray;
    std::string shown = answer ? answer->start : "nothing whole";
    record_.line("POST /approve/%d, try %s, key %s: bytes that are no answer, where its answer is due: '%s'", i, id_.c_str(), key.c_str(), shown.c_str());
    unread_.push_back(id_);
    wire_.reset();
  }

 public:
  std::vector<std::string> unread_;  // tries whose answer could not be read

 private:
  System& system_;
  std::size_t edge_;
  Record& record_;
  std::mutex& mutex_;
  Counts& counts_;
  std::unique_ptr<Wire> wire_;
  std::string id_;
};
}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  signal(SIGPIPE, SIG_IGN);
  Record record(argv[2]);
  char const* const trouble_text = std::getenv("TROUBLE");
  bool const trouble = trouble_text == nullptr || std::string(trouble_text) != "0";

  System system(argv[1],
                {{"espoo-a", "uusimaa"}, {"vantaa-b", "uusimaa"}, {"hervanta-a", "pirkanmaa"}, {"lielahti-b", "pirkanmaa"}, {"vaasa-a", "pohjanmaa"}, {"seinajoki-b", "pohjanmaa"}},
                {2, 2, 2, 1, 1, 1}, record);
  system.start();
  std::vector<Address> controllers;
  for (std::size_t i = 0; i < system.controllers.size(); ++i)
    controllers.push_back(system.control(i));
  if (system.order("POST", "/-/Config.Amend", configuration(), 15) != 200) {
    record.line("the first configuration was not taken");
    return 2;
  }
  system.first_start_is_over();

  std::mutex mutex;
  std::set<std::string> ran;  // tries
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < 12; ++i) {
    auto server = std::make_unique<Server>("i-" + random_id().substr(0, 8), kService, system.zones[static_cast<std::size_t>(i) / 2].name, Address{system.server_ip(i), 9001});
    server->capacity = 8;
    server->work_s = 0.02;
    server->on_run = [&](Run const& run) {
      std::lock_guard<std::mutex> const lock(mutex);
      ran.insert(run.attempt_id);
      record.line("%s runs %s, try %s", run.server.c_str(), run.target.c_str(), run.attempt_id.c_str());
    };
    if (!server->start()) return 2;
    server->start_beats(controllers, kBeatPeriod);
    servers.push_back(std::move(server));
  }
  if (!system.wait_ready(15)) {
    record.line("the proxies did not become ready");
    return 2;
  }
  sleep_for(4);

  Counts counts;
  std::atomic<bool> ends{false};
  std::vector<std::unique_ptr<Client>> clients;
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < system.edges.size(); ++i) {
    clients.push_back(std::make_unique<Client>(system, i, record, mutex, counts));
    threads.emplace_back([client = clients.back().get(), &ends] { client->run(ends); });
  }
  sleep_for(kBefore);
  {
    std::lock_guard<std::mutex> const lock(mutex);
    record.line("before the change: %d look-ups served, %d approvals answered, %d times bytes that are no answer", counts.looked_up, counts.approved, counts.stray);
    if (counts.looked_up == 0 || counts.approved == 0 || counts.stray > 0) {
      ends = true;
      record.line("the clients are not served as they should be before the change");
    }
  }
  bool const was_sound = !ends;
  bool is_changed = true;
  if (was_sound && trouble) {
    int const status = system.order("POST", "/-/Config.Amend", kDrop, 10);
    record.line("POST /-/Config.Amend %s: %d", kDrop, status);
    is_changed = status == 200;
  }
  if (was_sound && is_changed) sleep_for(kAfter);
  ends = true;
  for (std::thread& thread : threads)
    thread.join();
  if (!was_sound || !is_changed) return 2;
  for (auto const& client : clients)
    for (std::string const& id : client->unread_) {
      std::lock_guard<std::mutex> const lock(mutex);
      if (ran.contains(id)) {
        ++counts.lost;
        record.line("the approval of try %s has run, and its client could not read the answer", id.c_str());
      }
    }
  record.line("%d look-ups served, %d answered with 404, %d approvals answered; %d times bytes that are no answer, %d approvals that ran without a readable answer", counts.looked_up,
              counts.dropped, counts.approved, counts.stray, counts.lost);
  std::printf("%d answers to HEAD with 404; %d times bytes that are no answer in the protocol, %d approvals that ran without a readable answer\n", counts.dropped, counts.stray, counts.lost);
  return counts.stray > 0 ? 1 : 0;
}
