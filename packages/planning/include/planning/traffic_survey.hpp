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

struct SurveyAsk {
  // held: only what is open at these servers is wanted, and nothing else.
  DB_RECORD(SurveyAsk, (u64, id), (bool, held), (std::vector<std::string>, servers));
};
// Errands a second that came in for a lane, by the service they drew and the homes that
// bind them (their lane's and their partner's; none: any region).
struct LaneRate {
  DB_RECORD(LaneRate, (std::string, lane), (std::string, pool), (double, rate), (double, bulky),
            (std::vector<std::string>, homes));
};
struct SentRate {  // tries a second that went to servers of a zone
  DB_RECORD(SentRate, (std::string, lane), (std::string, zone), (double, rate));
};
struct Speed {
  // told: dev is said, and may be 0.
  DB_RECORD(Speed, (std::string, id), (double, lat), (double, dev), (bool, told));
};
struct Dropped {  // by a fence, since the proxy began
  DB_RECORD(Dropped, (std::string, cause), (u64, n));
};
struct Survey {
  DB_RECORD(Survey, (u64, id), (std::string, front), (std::string, zone), (std::string, region), (double, span),
            (std::vector<LaneRate>, lanes), (std::vector<SentRate>, sent), (std::vector<Speed>, speeds),
            (std::string, node), (std::vector<Held>, held), (std::vector<Dropped>, dropped));
};

// Rates over the last whole seconds. Invariant: a rate counts each errand once, in
// the second in which it came; what is older than the span counts no more.
class Observer {
 public:
  static constexpr std::size_t seconds = 10;
  void errand(std::string const& lane, std::string const& pool, std::vector<std::string> const& homes, bool bulky,
              Secs now);
  void sent(std::string const& lane, std::string const& zone, Secs now);
  void fill(Survey& s, Secs now) const;

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
  Secs first_ = -1;
  using CameKey = std::tuple<std::string, std::string, std::vector<std::string>>;
  std::map<CameKey, std::pair<Ring, Ring>> came_;  // (lane, pool, homes): all, bulky ones
  std::map<Key, Ring> went_;                       // (lane, zone)
};

}  // namespace dockbend
