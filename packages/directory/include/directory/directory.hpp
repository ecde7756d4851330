// The directory of Sinfonia (section 4): a table of proxy sites fed by pushed
// registration and keepalives, a row dropped after missed keepalives, and a
// replaceable selector that returns at most three sites, all good enough.
#pragma once
#include <concepts>
#include <set>
#include <unordered_map>

#include "server_registry/server_registry.hpp"

namespace dockbend {

// One row. Static columns come with the registration, dynamic ones with each
// keepalive. Invariant: a row not heard for interval * misses is not in the table.
struct ProxyEntry {
  std::string front, zone, region;  // static
  bool ready = false;               // dynamic
  double load = 0;                  // dynamic: share of its processor or link in use, 0..1
  Seconds heard = 0;
  u64 channel = 0;         // of the site's own registration here; 0: told by a mate
  std::string via;         // the directory that is the site's primary; empty: this one
  ProxyDrainStatus drain;  // what it says of itself while it is being drained
  u64 unmatched = 0;       // what its agent dropped because no open question fits it
  bool current = false;    // it holds the configuration in force, as far as is known
};

struct ClientContext {  // a client's context
  std::string zone, region;
};

template <class S>
concept Selector = requires(S s, std::vector<ProxyEntry const*> const& table, ClientContext const& c) {
  { s.choose(table, c) } -> std::same_as<std::vector<ProxyEntry const*>>;
};

// Nearest first; among near ones those not much busier than the least busy are
// all good enough, and chance breaks ties so that no herd runs to the lightest.
struct NearestSelector {
  std::size_t most = 3;
  double pressed = 0.5;  // a zone over this on the whole sends more to its region
  double busy = 0.8;     // a site over this is good enough only if no other is
  std::vector<ProxyEntry const*> choose(std::vector<ProxyEntry const*> const& table, ClientContext const& c) const;
};

template <Selector S>
class Directory {
 public:
  // settle: how long a table that began empty is left to fill. Lists made of the first few
  // rows would send everybody to the same few sites; clients keep what they had meanwhile.
  explicit Directory(Seconds incarnation, Seconds settle = 0, S sel = S())
      : incarnation_(incarnation), settle_(settle), sel_(sel) {}
  bool settled(Seconds now) const { return first_ >= 0 && now - first_ >= settle_; }

  // What was heard last holds, from whomever.
  void keep(ProxyEntry s) {
    if (first_ < 0) first_ = s.heard;
    auto const [it, fresh] = rows_.try_emplace(s.front);
    if (fresh || s.heard >= it->second.heard) it->second = std::move(s);
  }
  // All that `via` told us of is still there. The sum of the marks of these rows.
  u64 alive(std::string const& via, Seconds now) {
    u64 marks = 0;
    for (auto& [f, s] : rows_) {
      if (s.channel != 0 || s.via != via) continue;
      s.heard = std::max(s.heard, now);
      marks += hash64(f);
    }
    return marks;
  }
  void drop(std::string const& front) { rows_.erase(front); }
  void expire(Seconds now) {
    for (auto it = rows_.begin(); it != rows_.end();)
      it = now - it->second.heard > incarnation_ ? rows_.erase(it) : std::next(it);
  }
  void forgive(Seconds now) {
    for (auto& [f, s] : rows_)
      s.heard = now;
  }
  // cordoned: sites that get no new clients while another is left.
  template <class Names = std::set<std::string>>
  std::vector<ProxyEntry const*> resolve(ClientContext const& c, Names const& cordoned = {}) const {
    std::vector<ProxyEntry const*> t;
    for (auto const& [f, s] : rows_)
      if (s.ready && cordoned.count(f) == 0) t.push_back(&s);
    if (t.empty())
      for (auto const& [f, s] : rows_)
        if (s.ready) t.push_back(&s);
    return sel_.choose(t, c);
  }
  std::unordered_map<std::string, ProxyEntry> const& rows() const { return rows_; }

 private:
  Seconds incarnation_, settle_, first_ = -1;
  S sel_;
  std::unordered_map<std::string, ProxyEntry> rows_;
};

}  // namespace dockbend
