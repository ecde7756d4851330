// The desk of the sites: registration, the directory, and what mates are told of it.
#pragma once
#include <event2/keyvalq_struct.h>
#include <set>

#include "controller/controller_context.hpp"
#include "directory/directory.hpp"

namespace dockbend {

class SiteDesk {
 public:
  explicit SiteDesk(House& h) : h_(h) {}

  void tell_sites(Secs now) {
    bool const many = h_.mates_up() > House::few;
    if (many) tell_far(now);
    if (now - sites_told_ < 0.25) return;
    sites_told_ = now;
    SiteNote n;
    for (std::string const& f : fresh_sites_) {
      auto const it = catalog_.rows().find(f);
      if (it == catalog_.rows().end() || it->second.channel == 0) continue;
      n.rows.push_back(row_of(it->second, now));
    }
    fresh_sites_.clear();
    if (n.rows.empty()) return;
    Parcel const pc = parcel(Kind::sites, codec::pack(n));
    for (auto& [ip, m] : h_.mates)
      if (m.link && (!many || h_.is_near(ip))) m.link->send(pc);
  }

  void mate_sites(std::string const& from, SiteNote const& n, Secs now) {
    std::string const& origin = n.origin.empty() ? from : n.origin;
    if (origin == h_.st.ip) return;
    if (n.relay) {
      SiteNote on = n;
      on.relay = false;
      Parcel const pc = parcel(Kind::sites, codec::pack(on));
      for (auto& [ip, m] : h_.mates)
        if (m.link && ip != origin && h_.is_near(ip)) m.link->send(pc);
    }
    for (SiteRow const& r : n.rows) {
      if (h_.st.region_of(r.zone) != r.region || r.front.empty()) continue;
      auto const it = catalog_.rows().find(r.front);
      // Who registered here is known first-hand.
      if (it != catalog_.rows().end() && it->second.channel != 0 && now - it->second.heard < 1.0) continue;
      if (r.gone) {
        if (it != catalog_.rows().end() && it->second.via == origin) catalog_.drop(r.front);
        continue;
      }
      Site s = site_of(r, now - r.age);
      s.via = origin;
      s.current = r.current;
      catalog_.keep(std::move(s));
    }
    if (n.alive) {
      u64 const marks = catalog_.alive(origin, now);
      int& off = far_off_[origin];
      off = marks == n.marks ? 0 : off + 1;
      // News may be on its way past us; a difference that lasts is mended by the whole.
      if (off >= 2) {
        off = 0;
        if (auto const it = h_.mates.find(origin); it != h_.mates.end() && it->second.link)
          it->second.link->send(Kind::sitesAsk, 0, SiteNote{});
      }
    }
    // Counts change with rows that come or go; else once a tick is enough.
    if (catalog_.rows().size() != counted_rows_) count_sites(now);
  }

  // A mate of another region lacks some of the sites that registered here.
  void whole_for(Channel& ch, Secs now) {
    SiteNote n;
    n.origin = h_.st.ip;
    for (std::string const& f : mine_)
      if (auto const it = catalog_.rows().find(f); it != catalog_.rows().end() && it->second.channel != 0)
        n.rows.push_back(row_of(it->second, now));
    ch.send(Kind::sites, 0, n);
  }

  void directory(evhttp_request* r) {
    std::string const uri = evhttp_request_get_uri(r);
    if (uri.compare(0, 12, "/-/resolve?n") != 0 && uri.compare(0, 11, "/-/resolve?") != 0 && uri != "/-/resolve")
      return h_.write(r, fault(404, "no such call"));
    if (evhttp_request_get_command(r) != EVHTTP_REQ_GET) return h_.write(r, fault(405, "wants GET"));
    evkeyvalq q{};
    evhttp_parse_query(uri.c_str(), &q);
    Consumer c;
    if (char const* z = evhttp_find_header(&q, "zone"); z != nullptr) c.zone = z;
    if (char const* g = evhttp_find_header(&q, "region"); g != nullptr) c.region = g;
    evhttp_clear_headers(&q);
    if (c.region.empty()) c.region = h_.st.region_of(c.zone);
    if (!catalog_.settled(now_s())) return h_.write(r, fault(503, "the table is still filling"));
    auto const l = h_.in_contact() ? catalog_.resolve(c, h_.out) : catalog_.resolve(c, cordoned());
    if (l.empty()) return h_.write(r, fault(503, "no site is ready"));
    schema::ResolveRet ret;
    for (Site const* s : l)
      ret.addresses.push_back(s->front);
    // Who has but one address has nowhere else to go until it asks again.
    ret.ttlS = std::min(l.size() > 1 ? 2.0 : 1.0, h_.st.bounds.ttlMaxS);
    h_.write(r, CallRet{200, json::render(ret)});
  }

  // How many proxies share the global bounds. Fewer are believed only after a
  // while: one that is cut off or starting anew still takes its share.
  void count_sites(Secs now) {
    std::map<std::string, u32> n;
    counted_rows_ = catalog_.rows().size();
    for (auto const& [f, s] : catalog_.rows())
      ++n[s.zone];
    bool changed = false;
    for (auto& [z, c] : counts_)
      if (n[z] >= c.n || !h_.in_contact()) c.seen = now;  // out of contact we may just not hear of them
    for (auto const& [z, k] : n) {
      Counted& c = counts_[z];
      if (k > c.n || (k < c.n && now - c.seen > h_.st.bounds.retryWindowS)) {
        c.n = k;
        c.seen = now;
        changed = true;
      }
    }
    if (!changed) return;
    ++counts_turn_;
    News w;
    w.sites = counted();
    h_.vellum->submit_lazy({Vellum::put_meta("sites", codec::pack(w))});
  }

  std::vector<ZoneCount> counted() const {
    std::vector<ZoneCount> v;
    for (auto const& [z, c] : counts_) {
      ZoneCount zc;
      zc.zone = z;
      zc.n = c.n;
      v.push_back(zc);
    }
    return v;
  }

  // A few sites that a site may reach the core through when it is cut off: of its
  // region first, by chance.
  std::vector<std::string> relays_for(SiteBeat const& b) const {
    std::vector<std::pair<double, std::string>> v;
    for (auto const& [f, s] : catalog_.rows())
      if (f != b.front) v.emplace_back(random01() + (s.region == b.region ? 0 : 1), f.substr(0, f.find(':')));
    std::size_t const n = std::min<std::size_t>(6, v.size());
    std::partial_sort(v.begin(), v.begin() + static_cast<long>(n), v.end());
    std::vector<std::string> out;
    for (std::size_t i = 0; i < n; ++i)
      out.push_back(v[i].second);
    return out;
  }

  // A site's own registration, or its keepalive. One whose zone the settings do not
  // place in its region is declined.
  void beat(SiteBeat const& b, Peer& p, Secs now) {
    if (b.front.empty() || h_.st.region_of(b.zone) != b.region) return;
    Site s = site_of(b, now);
    s.channel = p.ch->id();
    s.strays = b.strays;
    s.current = b.bal >= h_.view.bal;
    if (b.primary) {
      fresh_sites_.insert(b.front);
      mine_.insert(b.front);
    } else {
      mine_.erase(b.front);
    }
    p.primary = b.primary;
    catalog_.keep(std::move(s));
    if (catalog_.rows().size() != counted_rows_) count_sites(now);
  }
  // What a site is to be told: cordoned it only says who it is, draining it acts.
  DrainSaid told(std::string const& front) const {
    DrainSaid d;
    if (auto const it = h_.out.find(front); it != h_.out.end()) {
      d.stage = static_cast<u32>(it->second.stage);
      d.life = it->second.life;
    }
    return d;
  }
  void load(std::vector<ZoneCount> const& l, Secs now) {
    for (ZoneCount const& z : l)
      counts_[z.zone] = Counted{z.n, now};
  }
  double proxies() const {
    double n = 0;
    for (auto const& [z, c] : counts_)
      n += c.n;
    return n;
  }
  u32 proxies_in(std::string const& zone) const {
    auto const it = counts_.find(zone);
    return it == counts_.end() ? 0 : it->second.n;
  }
  u64 turn() const { return counts_turn_; }  // rises when the counts change
  Catalog<NearSelector>& catalog() { return catalog_; }
  Catalog<NearSelector> const& catalog() const { return catalog_; }

 private:
  // Out of contact orders may be old; then the sites' own word of being drained counts too.
  std::set<std::string> cordoned() const {
    std::set<std::string> v;
    for (auto const& [name, u] : h_.out)
      v.insert(name);
    for (auto const& [f, x] : catalog_.rows())
      if (x.drain.stage != 0) v.insert(f);
    return v;
  }
  // The columns that a keepalive and a mate's word of it have in common.
  template <class T>
  static Site site_of(T const& said, Secs heard) {
    Site s;
    s.front = said.front;
    s.zone = said.zone;
    s.region = said.region;
    s.ready = said.ready;
    s.load = said.load;
    s.drain = said.drain;
    s.heard = heard;
    return s;
  }
  static SiteRow row_of(Site const& s, Secs now) {
    SiteRow r;
    r.front = s.front;
    r.zone = s.zone;
    r.region = s.region;
    r.ready = s.ready;
    r.load = s.load;
    r.age = now - s.heard;
    r.drain = s.drain;
    r.current = s.current;
    return r;
  }
  // Other regions need our sites only where nothing nearer is left, and for counts and
  // rollouts: one mate in each gets what changed, once a second, and passes it on.
  void tell_far(Secs now) {
    if (now - far_told_ < 1.0) return;
    far_told_ = now;
    SiteNote n;
    n.origin = h_.st.ip;
    n.relay = n.alive = true;
    for (auto it = mine_.begin(); it != mine_.end();) {
      auto const s = catalog_.rows().find(*it);
      if (s == catalog_.rows().end() || s->second.channel == 0) {
        it = mine_.erase(it);
        continue;
      }
      n.marks += hash64(*it);
      Site const& x = s->second;
      auto const [t, fresh] = far_.try_emplace(*it);
      Site& was = t->second;
      bool const drains = x.drain.life != 0;
      bool const moved = fresh || was.ready != x.ready || std::abs(was.load - x.load) > 0.2 ||
                         was.drain.life != x.drain.life || was.drain.stage != x.drain.stage ||
                         (drains && (was.drain.keyed != x.drain.keyed || was.drain.uploads != x.drain.uploads ||
                                     was.current != x.current));
      if (moved) {
        was = x;
        n.rows.push_back(row_of(x, now));
      }
      ++it;
    }
    for (auto it = far_.begin(); it != far_.end();) {
      if (mine_.count(it->first) > 0) {
        ++it;
        continue;
      }
      SiteRow r = row_of(it->second, now);
      r.age = 0;
      r.gone = true;
      n.rows.push_back(std::move(r));
      it = far_.erase(it);
    }
    std::map<std::string, std::vector<Link*>> by_region;
    for (auto& [ip, m] : h_.mates)
      if (m.link && m.link->up() && !h_.is_near(ip)) by_region[h_.region_of_mate(ip)].push_back(m.link.get());
    Parcel const pc = parcel(Kind::sites, codec::pack(n));
    for (auto& [g, l] : by_region)
      l[random64() % l.size()]->send(pc);
  }

  struct Counted {
    u32 n = 0;
    Secs seen = 0;
  };

  House& h_;
  Catalog<NearSelector> catalog_{1.9, 1.2};
  std::set<std::string> fresh_sites_;      // heard since mates were last told
  std::map<std::string, Counted> counts_;  // proxies by zone
  std::set<std::string> mine_;             // fronts that we are the primary of
  std::map<std::string, Site> far_;        // of them, as other regions were told
  std::map<std::string, int> far_off_;     // mates whose marks differed from ours, and how often in a row
  Secs far_told_ = 0;
  std::size_t counted_rows_ = 0;  // rows when they were last counted
  u64 counts_turn_ = 1;
  Secs sites_told_ = 0;
};

}  // namespace dockbend
