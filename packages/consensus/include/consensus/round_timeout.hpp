// How long a round waits before it is given up: what its members took to answer, and the
// bytes that they are to be sent over the links as measured. No I/O.
#pragma once
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "base/types.hpp"

namespace dockbend {

class RoundTimeout {
 public:
  explicit RoundTimeout(double bytes_per_s) : rate_(std::max(bytes_per_s, 1.0)) {}

  void asked(std::string const& ip, std::size_t bytes, Seconds now) {
    Way& w = way(ip);
    if (w.at < 0) w.at = now;
    w.bytes += bytes;
  }
  void answered(std::string const& ip, Seconds now) {
    Way& w = way(ip);
    if (w.at < 0) return;
    Seconds const took = now - w.at;
    // Short letters say what an answer takes, its sync included; long ones what the link carries.
    if (w.bytes < bulk)
      w.answer += 0.2 * (took - w.answer);
    else
      w.rate += 0.5 * (static_cast<double>(w.bytes) / std::max(took - w.answer, 0.001) - w.rate);
    w.at = -1;
    w.bytes = 0;
  }
  // A new round: what was asked before is no longer waited for.
  void begin() {
    for (auto& [ip, w] : ways_) {
      w.at = -1;
      w.bytes = 0;
    }
  }
  // By when the others needed for a majority should have answered, from the round's beginning.
  Seconds of(std::vector<std::string> const& members) const {
    std::vector<Seconds> v;
    for (std::string const& ip : members) {
      auto const it = ways_.find(ip);
      Way const w = it != ways_.end() ? it->second : Way{rate_};
      v.push_back(4 * w.answer + 2 * static_cast<double>(w.bytes) / w.rate);
    }
    if (v.empty()) return least;
    auto const mid = v.begin() + static_cast<std::ptrdiff_t>((v.size() - 1) / 2);
    std::nth_element(v.begin(), mid, v.end());
    return least + std::min(*mid, most);
  }

 private:
  static std::size_t constexpr bulk = 16384;
  static Seconds constexpr least = 0.8, most = 30;
  struct Way {
    double rate = 1;
    Seconds answer = 0.1, at = -1;
    std::size_t bytes = 0;  // asked and not answered
  };
  Way& way(std::string const& ip) { return ways_.try_emplace(ip, Way{rate_}).first->second; }
  double rate_;
  std::map<std::string, Way> ways_;
};

}  // namespace dockbend
