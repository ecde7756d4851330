/// \file
/// Proxies at a controller: their registration, the directory that clients ask, and what peers are sent of it.
///
/// A "site" in a name is a proxy, the "catalog" is the directory's table, and a "row" is a ProxyEntry.
#pragma once
#include <event2/keyvalq_struct.h>
#include <set>

#include "controller/controller_context.hpp"
#include "directory/directory.hpp"

namespace dockbend {

/// Invariant: an entry that was heard here within the last second is not replaced by what a peer says of it.
class DirectoryService {
 public:
  explicit DirectoryService(ControllerContext& h);

  /// Sends peers the keepalives since the last call, at most four times a second.
  void tell_sites(Seconds now);

  /// A peer sent entries of its proxies, or of those of another peer.
  void controller_sites(std::string const& from, ProxyGossip const& n, Seconds now);

  /// Sends all entries whose primary is this controller, to a peer of another region that lacks some.
  void whole_for(Connection& ch, Seconds now);

  /// Answers GET /-/resolve: up to three front addresses for the client's zone and region, chosen by the directory's
  /// ProxySelector. 503 while the table is still filling or if no proxy is ready.
  void directory(evhttp_request* r);

  /// Counts the proxies of each zone, by which global limits are divided. A lower count is taken over only after
  /// retryWindowS: a proxy that is cut off or restarting still uses its share.
  void count_sites(Seconds now);

  /// The counts by zone.
  std::vector<ZoneProxyCount> counted() const;

  /// At most six machines whose agents can relay for this proxy's agent when it is cut off from the controllers: chosen
  /// by chance, those of its region first.
  std::vector<std::string> relays_for(ProxyHeartbeat const& b) const;

  /// A proxy's registration or keepalive. Ignored if the settings do not place its zone in its region.
  void beat(ProxyHeartbeat const& b, InboundSession& p, Seconds now);
  /// The drain instruction for a proxy, empty if it is in no drain run. A cordoned proxy only reports its incarnation;
  /// a draining one acts on it.
  DrainInstruction told(std::string const& front) const;
  /// Takes over the counts that were on disk at the start.
  void load(std::vector<ZoneProxyCount> const& l, Seconds now);
  double proxies() const;  ///< the count of all zones
  u32 proxies_in(std::string const& zone) const;
  u64 turn() const;  ///< version of the counts: rises when they change
  Directory<NearestSelector>& catalog();
  Directory<NearestSelector> const& catalog() const;

 private:
  // Proxies in a drain run. Out of contact the runs known here may be old, so the proxies' own reports count too.
  std::set<std::string> cordoned() const;
  // The columns that a ProxyHeartbeat and a ProxyRecord have in common.
  template <class T>
  static ProxyEntry site_of(T const& said, Seconds heard) {
    ProxyEntry s;
    s.front = said.front;
    s.zone = said.zone;
    s.region = said.region;
    s.ready = said.ready;
    s.load = said.load;
    s.drain = said.drain;
    s.heard = heard;
    return s;
  }
  static ProxyRecord row_of(ProxyEntry const& s, Seconds now);
  // Other regions need our proxies only where nothing nearer is left, and for counts and rollouts: once a second, one
  // peer in each gets what changed, and forwards it.
  void tell_far(Seconds now);

  struct Counted {
    u32 n = 0;
    Seconds seen = 0;
  };

  ControllerContext& context_;
  Directory<NearestSelector> catalog_{1.9, 1.2};
  std::set<std::string> fresh_sites_;      // heard since peers were last notified
  std::map<std::string, Counted> counts_;  // proxies by zone
  std::set<std::string> mine_;             // fronts whose primary directory is this controller
  std::map<std::string, ProxyEntry> far_;  // of mine_, as last sent to other regions
  std::map<std::string, int> far_off_;     // peers whose digest differed from ours, and how often in a row
  Seconds far_told_ = 0;
  std::size_t counted_rows_ = 0;  // table size at the last count
  u64 counts_turn_ = 1;
  Seconds sites_told_ = 0;
};

}  // namespace dockbend
