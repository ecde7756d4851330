// What proxies see of the traffic, told when somebody asks. No I/O.
#pragma once
#include <array>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "base/record.hpp"
#include "drain/server_drain.hpp"
#include "wire/codec.hpp"

namespace dockbend {

struct SurveyRequest {
  // held: only what is open at these servers is wanted, and nothing else.
  DB_RECORD(SurveyRequest, (u64, id), (bool, held), (std::vector<std::string>, servers));
};
// Errands a second that came in for a lane, by the service they drew and the homes that
// bind them (their lane's and their partner's; none: any region).
struct RouteRate {
  DB_RECORD(RouteRate, (std::string, route, lane), (std::string, pool), (double, rate), (double, bulky),
            (std::vector<std::string>, homes));
};
struct ZoneSendRate {  // tries a second that went to servers of a zone
  DB_RECORD(ZoneSendRate, (std::string, route, lane), (std::string, zone), (double, rate));
};
struct ServerLatency {
  // told: dev is said, and may be 0.
  DB_RECORD(ServerLatency, (std::string, id), (double, lat), (double, dev), (bool, told));
};
struct DiscardCount {  // by a fence, since the proxy began
  DB_RECORD(DiscardCount, (std::string, cause), (u64, n));
};
struct TrafficSurvey {
  DB_RECORD(TrafficSurvey, (u64, id), (std::string, front), (std::string, zone), (std::string, region), (double, span),
            (std::vector<RouteRate>, routes, lanes), (std::vector<ZoneSendRate>, sent),
            (std::vector<ServerLatency>, speeds), (std::string, node), (std::vector<OpenWork>, held),
            (std::vector<DiscardCount>, dropped));
};

// Rates over the last whole seconds. Invariant: a rate counts each errand once, in
// the second in which it came; what is older than the span counts no more.
class TrafficObserver {
 public:
  static constexpr std::size_t seconds = 10;
  void errand(std::string const& route, std::string const& pool, std::vector<std::string> const& homes, bool bulky,
              Seconds now);
  void sent(std::string const& route, std::string const& zone, Seconds now);
  void fill(TrafficSurvey& s, Seconds now) const;

 private:
  struct Ring {
    std::array<double, seconds + 1> n{};
    std::array<u64, seconds + 1> at{};
    void add(u64 sec) {
      std::size_t const i = sec % n.size();
      if (at[i] != sec) {
        at[i] = sec;
        n[i] = 0;
      }
      n[i] += 1;
    }
    double sum(u64 sec, std::size_t span) const {
      double s = 0;
      for (std::size_t i = 0; i < n.size(); ++i)
        if (at[i] < sec && at[i] + span >= sec) s += n[i];
      return s;
    }
  };
  using Key = std::pair<std::string, std::string>;
  Seconds first_ = -1;
  using CameKey = std::tuple<std::string, std::string, std::vector<std::string>>;
  std::map<CameKey, std::pair<Ring, Ring>> came_;  // (lane, pool, homes): all, bulky ones
  std::map<Key, Ring> went_;                       // (lane, zone)
};

}  // namespace dockbend
