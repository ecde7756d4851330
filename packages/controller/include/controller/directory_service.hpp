// The desk of the sites: registration, the directory, and what mates are told of it.
#pragma once
#include <event2/keyvalq_struct.h>
#include <set>

#include "controller/controller_context.hpp"
#include "directory/directory.hpp"

namespace dockbend {

class DirectoryService {
 public:
  explicit DirectoryService(ControllerContext& h);

  void tell_sites(Seconds now);

  void controller_sites(std::string const& from, ProxyGossip const& n, Seconds now);

  // A mate of another region lacks some of the sites that registered here.
  void whole_for(Connection& ch, Seconds now);

  void directory(evhttp_request* r);

  // How many proxies share the global bounds. Fewer are believed only after a
  // while: one that is cut off or starting anew still takes its share.
  void count_sites(Seconds now);

  std::vector<ZoneProxyCount> counted() const;

  // A few sites that a site may reach the core through when it is cut off: of its
  // region first, by chance.
  std::vector<std::string> relays_for(ProxyHeartbeat const& b) const;

  // A site's own registration, or its keepalive. One whose zone the settings do not
  // place in its region is declined.
  void beat(ProxyHeartbeat const& b, InboundSession& p, Seconds now);
  // What a site is to be told: cordoned it only says who it is, draining it acts.
  DrainInstruction told(std::string const& front) const;
  void load(std::vector<ZoneProxyCount> const& l, Seconds now);
  double proxies() const;
  u32 proxies_in(std::string const& zone) const;
  u64 turn() const;  // rises when the counts change
  Directory<NearestSelector>& catalog();
  Directory<NearestSelector> const& catalog() const;

 private:
  // Out of contact orders may be old; then the sites' own word of being drained counts too.
  std::set<std::string> cordoned() const;
  // The columns that a keepalive and a mate's word of it have in common.
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
  // Other regions need our sites only where nothing nearer is left, and for counts and
  // rollouts: one mate in each gets what changed, once a second, and passes it on.
  void tell_far(Seconds now);

  struct Counted {
    u32 n = 0;
    Seconds seen = 0;
  };

  ControllerContext& context_;
  Directory<NearestSelector> catalog_{1.9, 1.2};
  std::set<std::string> fresh_sites_;      // heard since mates were last told
  std::map<std::string, Counted> counts_;  // proxies by zone
  std::set<std::string> mine_;             // fronts that we are the primary of
  std::map<std::string, ProxyEntry> far_;  // of them, as other regions were told
  std::map<std::string, int> far_off_;     // mates whose marks differed from ours, and how often in a row
  Seconds far_told_ = 0;
  std::size_t counted_rows_ = 0;  // rows when they were last counted
  u64 counts_turn_ = 1;
  Seconds sites_told_ = 0;
};

}  // namespace dockbend
