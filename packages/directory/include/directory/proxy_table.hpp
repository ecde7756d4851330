/// The table of the directory: proxies by registration and keepalive, with a time-out.
#pragma once
#include <string>
#include <unordered_map>

#include "directory/proxy_entry.hpp"

namespace dockbend {

/// Soft state: an entry lives as long as keepalives come, directly or passed on by the proxy's primary directory.
/// Times are of the caller's steady clock.
class ProxyTable {
 public:
  /// `timeout`: seconds without a keepalive after which an entry is dropped. `settle_time`: seconds that a table which
  /// began empty is given to fill.
  explicit ProxyTable(Seconds timeout, Seconds settle_time = 0) : timeout_(timeout), settle_time_(settle_time) {}

  /// False while the table is still filling. Lists made of its first few entries would send all clients to the same
  /// few proxies; clients keep the list they have meanwhile.
  bool is_settled(Seconds now) const;
  /// Takes a registration or keepalive. What was heard last is valid, whichever directory it came from.
  void record_keepalive(ProxyEntry entry);
  /// The primary directory `via` states that all its entries are still there: renews those that came from it. Returns
  /// the sum of the hashes of their front addresses, by which the caller finds out whether both have the same ones.
  u64 renew_entries_of(std::string const& via, Seconds now);
  void remove(std::string const& front) { entries_.erase(front); }
  /// Drops what has timed out.
  void drop_expired(Seconds now);
  /// Starts all time-outs anew: after this process itself was stalled, no proxy is late.
  void restart_timeouts(Seconds now);
  std::unordered_map<std::string, ProxyEntry> const& entries() const { return entries_; }

 private:
  Seconds timeout_, settle_time_;
  Seconds first_heard_ = -1;                             // when the first entry came; < 0: none yet
  std::unordered_map<std::string, ProxyEntry> entries_;  // by front address
};

}  // namespace dockbend
