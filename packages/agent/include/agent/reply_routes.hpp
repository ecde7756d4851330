/// Which controller waits for the proxy's answer to a request that the agent has forwarded. No I/O.
#pragma once
#include <map>
#include <string>

#include "base/types.hpp"

namespace dockbend {

/// Requests are named by an id of the controllers; a later one with the same id replaces the earlier.
class ReplyRoutes {
 public:
  /// The controller at ip waits until then (steady clock).
  void add(u64 id, std::string const& ip, Seconds until) { routes_[id] = {ip, until}; }
  void remove(u64 id) { routes_.erase(id); }
  /// Null: nobody waits.
  std::string const* find(u64 id) const {
    auto const found = routes_.find(id);
    return found == routes_.end() ? nullptr : &found->second.ip;
  }
  void expire(Seconds now) {
    std::erase_if(routes_, [now](auto const& entry) { return entry.second.until < now; });
  }

 private:
  struct Route {
    std::string ip;
    Seconds until = 0;
  };
  std::map<u64, Route> routes_;
};

}  // namespace dockbend
