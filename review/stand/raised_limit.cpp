// Clients keep connections and look rosters up. The operator raises the limit on bodies; the clients then upload notes
// of 2 MB on the connections that they kept.
// Usage: raised_limit BUILD RECORD. TROUBLE=0: the limit is high from the start, and nothing is changed.
#include "stand.hpp"

using namespace stand;

namespace {
char constexpr kHost[] = "tunti.example", kService[] = "asiakirjat";
double constexpr kApplyBound = 2.5, kBeatPeriod = 1.3;
std::size_t constexpr kUploadBytes = 2'000'000;
int constexpr kConnectionsPerEdge = 4;

std::string limits(long body_bytes, char const* generation) {
  return R"("limits":{"headerBytes":16384,"bodyBytes":)" + std::to_string(body_bytes) + R"(,"headerDeadlineS":3,"idleTimeoutS":15,"generation":")" + generation + "\"}";
}
std::string configuration(long body_bytes) {
  std::string const actuation = std::string(R"("actuation":{"service":")") + kService + R"(","deadlineS":5,"maxTries":2,"homeRegions":[]}})";
  return R"({"upsert":{)" + limits(body_bytes, "00000001") + R"(,"sockets":[{"host":")" + kHost +
         R"(","policy":[{"name":"r-roster","kind":"idempotent","setpointS":0.2,"rank":2,"generation":"00000001","selector":{"pathPrefix":"/roster/"},)" + actuation +
         R"(,{"name":"r-note","kind":"inflow","setpointS":0.4,"rank":1,"generation":"00000001","selector":{"pathPrefix":"/note/"},)" + actuation + R"(]}],"pools":[{"name":")" + kService +
         R"(","healthPath":"/health","connLimit":110,"protocol":"h1","tlsMode":false,"selfDedupes":false,"coldS":0,"coldRateS":1000,"generation":"00000001"}]},"remove":{"routes":[]}})";
}
long constexpr kLow = 1048576, kHigh = 67108864;

struct Answer {
  std::string id;
  int status = 0;
  double sent_at = 0;
};
Answer ask(Wire& wire, std::string const& method, std::string const& target, std::string const& body) {
  Answer result;
  result.id = random_id();
  result.sent_at = now();
  std::string request = method + " " + target + " HTTP/1.1\r\nHost: " + kHost + "\r\nX-Attempt-Id: " + result.id + "\r\nX-Time-Left: 5000\r\n";
  if (method == "POST") request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  wire.write(request + "\r\n" + body, now() + 5);  // an answer may come before all is sent
  if (auto const answer = wire.read_message(now() + 5)) result.status = answer->status();
  return result;
}
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
  if (system.order("POST", "/-/Config.Amend", configuration(trouble ? kLow : kHigh), 15) != 200) {
    record.line("the first configuration was not taken");
    return 2;
  }
  record.line("the first configuration: bodyBytes %ld", trouble ? kLow : kHigh);
  system.first_start_is_over();
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < 12; ++i) {
    auto server = std::make_unique<Server>("i-" + random_id().substr(0, 8), kService, system.zones[static_cast<std::size_t>(i) / 2].name, Address{system.server_ip(i), 9001});
    server->capacity = 8;
    server->work_s = 0.02;
    server->on_run = [&record](Run const& run) { record.line("%s runs %s, try %s", run.server.c_str(), run.target.c_str(), run.attempt_id.c_str()); };
    if (!server->start()) return 2;
    server->start_beats(controllers, kBeatPeriod);
    servers.push_back(std::move(server));
  }
  if (!system.wait_ready(15)) {
    record.line("the proxies did not become ready");
    return 2;
  }
  sleep_for(4);

  std::mutex mutex;
  int requests = 0, served = 0, denied = 0, others = 0, fresh_served = 0;
  std::atomic<bool> uploads_begin{false};
  std::vector<std::thread> clients;
  for (std::size_t i = 0; i < system.edges.size(); ++i)
    for (int k = 0; k < kConnectionsPerEdge; ++k)
      clients.emplace_back([&, i, k] {
        auto wire = Wire::dial(system.front(i), now() + 1);
        if (!wire) return;
        sleep_for(0.02 * k);
        while (!uploads_begin) {  // the connection is in use all the time
          Answer const look_up = ask(*wire, "GET", "/roster/" + std::to_string(k), "");
          {
            std::lock_guard<std::mutex> const lock(mutex);
            ++requests;
            served += look_up.status == 200 ? 1 : 0;
            record.line("GET /roster/%d to %s, try %s: %d", k, system.front(i).str().c_str(), look_up.id.c_str(), look_up.status);
          }
          if (look_up.status != 200) wire = Wire::dial(system.front(i), now() + 1);
          if (!wire) return;
          sleep_for(0.3);
        }
        std::string const note(kUploadBytes, 'n');
        Answer const upload = ask(*wire, "POST", "/note/" + std::to_string(k), note);
        auto const fresh = Wire::dial(system.front(i), now() + 1);
        Answer const again = fresh ? ask(*fresh, "POST", "/note/" + std::to_string(k), note) : Answer{};
        std::lock_guard<std::mutex> const lock(mutex);
        requests += 2;
        served += (upload.status == 200 ? 1 : 0) + (again.status == 200 ? 1 : 0);
        denied += upload.status == 413 ? 1 : 0;
        others += upload.status != 413 && upload.status != 200 ? 1 : 0;
        fresh_served += again.status == 200 ? 1 : 0;
        record.line("POST /note/%d of %zu bytes to %s on a kept connection, try %s: %d; the same on a new connection: %d", k, kUploadBytes, system.front(i).str().c_str(), upload.id.c_str(),
                    upload.status, again.status);
      });
  sleep_for(2);
  double acknowledged_at = now();
  if (trouble) {
    std::string const change = "{\"upsert\":{" + limits(kHigh, "00000002") + "}}";
    int const status = system.order("POST", "/-/Config.Amend", change, 10);
    acknowledged_at = now();
    record.line("POST /-/Config.Amend %s: %d", change.c_str(), status);
    if (status != 200) {
      uploads_begin = true;
      for (std::thread& client : clients)
        client.join();
      return 2;
    }
  }
  sleep_until(acknowledged_at + kApplyBound + 1.5);
  record.line("the uploads begin, %.2f s after the acknowledgement", now() - acknowledged_at);
  uploads_begin = true;
  for (std::thread& client : clients)
    client.join();
  double const allowed = 5 + requests / 500.0;
  record.line("%d requests, %d served; on kept connections %d uploads were denied with 413 (more than %.1f break DENIED, any breaks CONFIG), %d ended otherwise; on new connections %d uploads were served", requests, served,
              denied, allowed, others, fresh_served);
  std::printf("%d uploads on kept connections denied with 413, %d ended otherwise; %d served on new connections\n", denied, others, fresh_served);
  if (fresh_served == 0) return 2;
  return denied > allowed ? 1 : 0;
}
