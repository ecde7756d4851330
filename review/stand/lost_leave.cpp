// A server leaves; the controller that acknowledges it is killed at that moment and comes back 3 s later.
// Usage: lost_leave BUILD RECORD. TROUBLE=0: nothing is killed. AWAY=SECONDS: until it comes back.
#include "stand.hpp"

using namespace stand;

namespace {
char constexpr kHost[] = "tunti.example", kService[] = "tuntipalvelu";
double constexpr kQuiet = 3, kDrainBound = 2.5, kBeatPeriod = 1.3, kServesOn = 12;

std::string configuration() {
  return std::string(R"({"upsert":{"limits":{"headerBytes":16384,"bodyBytes":67108864,"headerDeadlineS":3,"idleTimeoutS":15,"generation":"00000001"},)") +
         R"("sockets":[{"host":")" + kHost +
         R"(","policy":[{"name":"r-roster","kind":"idempotent","setpointS":0.3,"rank":2,"generation":"00000001","selector":{"pathPrefix":"/roster/"},"actuation":{"service":")" +
         kService + R"(","deadlineS":1.2,"maxTries":2,"homeRegions":[]}}]}],"pools":[{"name":")" + kService +
         R"(","healthPath":"/health","connLimit":110,"protocol":"h1","tlsMode":false,"selfDedupes":false,"coldS":0,"coldRateS":1000,"generation":"00000001"}]},"remove":{"routes":[]}})";
}

struct Arrival {
  double at;
  std::string server, attempt_id;
};
}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  signal(SIGPIPE, SIG_IGN);
  Record record(argv[2]);
  char const* const trouble_text = std::getenv("TROUBLE");
  bool const trouble = trouble_text == nullptr || std::string(trouble_text) != "0";
  char const* const away_text = std::getenv("AWAY");
  double const away = away_text != nullptr ? std::atof(away_text) : 3.0;

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
  std::vector<Arrival> arrivals;
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < 12; ++i) {
    auto server = std::make_unique<Server>("i-" + random_id().substr(0, 8), kService, system.zones[i / 2].name, Address{system.server_ip(i), 9001});
    server->capacity = 8;
    server->work_s = 0.02;
    server->on_arrival = [&, id = server->id](Message const& request, double at) {
      std::lock_guard<std::mutex> const lock(mutex);
      arrivals.push_back({at, id, request.value("X-Attempt-Id")});
      record.line("%s gets %s, try %s", id.c_str(), request.target().c_str(), arrivals.back().attempt_id.c_str());
    };
    if (!server->start()) return 2;
    server->start_beats(controllers, kBeatPeriod);
    servers.push_back(std::move(server));
  }
  if (!system.wait_ready(15)) {
    record.line("the proxies did not become ready");
    return 2;
  }
  sleep_for(6);  // calm: all are in touch

  // Clients: 90 requests a second, each a try of its own, to all edge machines in turn.
  std::map<std::string, Try> tries;
  std::atomic<bool> ends{false};
  std::vector<std::thread> clients;
  for (std::size_t i = 0; i < system.edges.size(); ++i)
    clients.emplace_back([&, i] {
      while (!ends) {
        double const next = now() + 0.1;
        Try const done = send_try(system.front(i), kHost, "GET", "/roster/" + std::to_string(i), "", "", 1.2);
        {
          std::lock_guard<std::mutex> const lock(mutex);
          tries[done.id] = done;
          record.line("GET /roster/%zu to %s, try %s: %d", i, system.front(i).str().c_str(), done.id.c_str(), done.status);
        }
        sleep_until(next);
      }
    });
  sleep_for(3);
  // The server that is used most is the one that leaves.
  std::map<std::string, std::size_t> served;
  {
    std::lock_guard<std::mutex> const lock(mutex);
    for (Arrival const& arrival : arrivals)
      ++served[arrival.server];
  }
  Server* most_used = servers[0].get();
  for (auto const& server : servers)
    if (served[server->id] > served[most_used->id]) most_used = server.get();
  Server& leaving = *most_used;
  auto const end_clients = [&] {
    ends = true;
    for (std::thread& client : clients)
      client.join();
  };
  std::string const target = leaving.last_target();
  std::size_t node = 0;
  for (std::size_t i = 0; i < controllers.size(); ++i)
    if (controllers[i].str() == target) node = i;
  record.line("server %s at %s has got %zu requests; its heartbeats go to %s (%s)", leaving.id.c_str(), leaving.address.str().c_str(), served[leaving.id], target.c_str(),
              system.controllers[node].name.c_str());
  if (served[leaving.id] == 0 || target.empty()) {
    record.line("no server is in use");
    end_clients();
    return 2;
  }

  // It leaves: the call first, then it serves on.
  leaving.stop_beats();
  double const sent_at = now();
  auto const answer = call(controllers[node], "POST", "/-/Servers.Leave/" + leaving.id, "", 1.0);
  double const acknowledged_at = now();
  if (trouble) system.controllers[node].signal(SIGKILL);
  double const killed_at = now();
  leaving.is_leaving = true;
  if (!answer || answer->status() != 200) {
    record.line("the leave was answered with %d", answer ? answer->status() : 0);
    end_clients();
    return 2;
  }
  record.line("POST /-/Servers.Leave/%s was acknowledged with 200 by %s after %.1f ms", leaving.id.c_str(), system.controllers[node].name.c_str(), (acknowledged_at - sent_at) * 1000);
  double restarted_at = acknowledged_at;
  if (trouble) {
    record.line("%s was killed %.2f ms after that", system.controllers[node].name.c_str(), (killed_at - acknowledged_at) * 1000);
    system.controllers[node].wait_end();
    sleep_until(killed_at + away);
    if (away < kServesOn) {
      system.controllers[node].start();
      restarted_at = now();
      record.line("%s was started again", system.controllers[node].name.c_str());
    }
  }
  sleep_until(acknowledged_at + kServesOn);
  end_clients();

  // The machines are in touch from quietS after the kill until the start, and from quietS after the start on.
  auto const in_touch = [&](double at) {
    if (!trouble) return true;
    if (at < killed_at + kQuiet) return false;
    return restarted_at == acknowledged_at || at < restarted_at || at >= restarted_at + kQuiet;
  };
  std::lock_guard<std::mutex> const lock(mutex);
  int late = 0, broken = 0;
  std::map<int, int> statuses;
  for (auto const& [id, done] : tries)
    ++statuses[done.status];
  for (Arrival const& arrival : arrivals) {
    if (arrival.server != leaving.id || arrival.at <= acknowledged_at + kDrainBound) continue;
    ++late;
    auto const found = tries.find(arrival.attempt_id);
    bool const counts = found != tries.end() && in_touch(found->second.sent_at) && in_touch(arrival.at);
    broken += counts ? 1 : 0;
    record.line("%s reached the server %.3f s after the acknowledgement (%.3f s after the restart), answered with %d%s", arrival.attempt_id.c_str(), arrival.at - acknowledged_at,
                arrival.at - restarted_at, found == tries.end() ? 0 : found->second.status, counts ? "; by machines in touch" : "");
  }
  std::string answers;
  for (auto const& [status, count] : statuses)
    answers += " " + std::to_string(status) + ":" + std::to_string(count);
  record.line("%zu tries, answers%s; %d requests reached the server later than %.1f s after its leave was acknowledged, %d of them by machines in touch", tries.size(), answers.c_str(),
              late, kDrainBound, broken);
  std::printf("%d requests reached a server later than %.1f s after its leave was acknowledged, %d of them by machines in touch\n", late, kDrainBound, broken);
  return broken > 0 ? 1 : 0;
}
