// The desk of the sites: registration, the directory, and what mates are told of it.
#pragma once
#include <event2/keyvalq_struct.h>
#include <set>

#include "catalog/catalog.hpp"
#include "desks/house.hpp"

namespace dockbend {

class SiteDesk {
 public:
  explicit SiteDesk(House& h) : h_(h) {}

  void tell_sites(Secs now) {
    if (now - sites_told_ < 0.25) return;
    sites_told_ = now;
    SiteNote n;
    for (std::string const& f : fresh_sites_) {
      auto const it = catalog_.rows().find(f);
      if (it == catalog_.rows().end() || it->second.channel == 0) continue;
      SiteRow r;
      r.front = f;
      r.zone = it->second.zone;
      r.region = it->second.region;
      r.ready = it->second.ready;
      r.load = it->second.load;
      r.age = now - it->second.heard;
      r.drain = it->second.drain;
      r.current = it->second.current;
      n.rows.push_back(std::move(r));
    }
    fresh_sites_.clear();
    if (n.rows.empty()) return;
    Parcel const pc = parcel(Kind::sites, codec::pack(n));
    for (auto& [ip, m] : h_.mates)
      if (m.link) m.link->send(pc);
  }

  void mate_sites(std::string const& from, SiteNote const& n, Secs now) {
    for (SiteRow const& r : n.rows) {
      if (h_.st.region_of(r.zone) != r.region || r.front.empty()) continue;
      auto const it = catalog_.rows().find(r.front);
      // Who registered here is known first-hand.
      if (it != catalog_.rows().end() && it->second.channel != 0 && now - it->second.heard < 1.0) continue;
      Site s = site_of(r, now - r.age);
      s.via = from;
      s.current = r.current;
      catalog_.keep(std::move(s));
    }
    count_sites(now);
  }

  void directory(evhttp_request* r) {
    std::string const uri = evhttp_request_get_uri(r);
    if (uri.compare(0, 12, "/-/resolve?n") != 0 && uri.compare(0, 11, "/-/resolve?") != 0 && uri != "/-/resolve") return h_.write(r, fault(404, "no such call"));
    if (evhttp_request_get_command(r) != EVHTTP_REQ_GET) return h_.write(r, fault(405, "wants GET"));
    evkeyvalq q{};
    evhttp_parse_query(uri.c_str(), &q);
    Consumer c;
    if (char const* z = evhttp_find_header(&q, "zone"); z != nullptr) c.zone = z;
    if (char const* g = evhttp_find_header(&q, "region"); g != nullptr) c.region = g;
    evhttp_clear_headers(&q);
    if (c.region.empty()) c.region = h_.st.region_of(c.zone);
    if (!catalog_.settled(now_s())) return h_.write(r, fault(503, "the table is still filling"));
    std::set<std::string> cordoned;
    for (auto const& [n, u] : h_.out) cordoned.insert(n);
    auto const l = catalog_.resolve(c, cordoned);
    if (l.empty()) return h_.write(r, fault(503, "no site is ready"));
    schema::ResolveRet ret;
    for (Site const* s : l) ret.addresses.push_back(s->front);
    // Who has but one address has nowhere else to go until it asks again.
    ret.ttlS = std::min(l.size() > 1 ? 2.0 : 1.0, h_.st.bounds.ttlMaxS);
    h_.write(r, CallRet{200, json::render(ret)});
  }

  // How many proxies share the global bounds. Fewer are believed only after a
  // while: one that is cut off or starting anew still takes its share.
  void count_sites(Secs now) {
    std::map<std::string, u32> n;
    for (auto const& [f, s] : catalog_.rows()) ++n[s.zone];
    bool changed = false;
    for (auto& [z, c] : counts_)
      if (n[z] >= c.n) c.seen = now;
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
    for (std::size_t i = 0; i < n; ++i) out.push_back(v[i].second);
    return out;
  }

  // A site's own registration, or its keepalive. One whose zone the settings do not
  // place in its region is declined.
  void beat(SiteBeat const& b, Peer& p, Secs now) {
    if (b.front.empty() || h_.st.region_of(b.zone) != b.region) return;
    Site s = site_of(b, now);
    s.channel = p.ch->id();
    s.current = b.bal >= h_.view.bal;
    if (b.primary) fresh_sites_.insert(b.front);
    p.primary = b.primary;
    catalog_.keep(std::move(s));
    count_sites(now);
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
    for (ZoneCount const& z : l) counts_[z.zone] = Counted{z.n, now};
  }
  double proxies() const {
    double n = 0;
    for (auto const& [z, c] : counts_) n += c.n;
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
  struct Counted {
    u32 n = 0;
    Secs seen = 0;
  };

  House& h_;
  Catalog<NearSelector> catalog_{1.9, 1.2};
  std::set<std::string> fresh_sites_;  // heard since mates were last told
  std::map<std::string, Counted> counts_;  // proxies by zone
  u64 counts_turn_ = 1;
  Secs sites_told_ = 0;
};

}  // namespace dockbend
