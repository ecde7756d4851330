#include "controller/directory_service.hpp"

namespace dockbend {

DirectoryService::DirectoryService(ControllerContext& h) : context_(h) {}

void DirectoryService::tell_sites(Seconds now) {
  bool const many = context_.peers.exceeds_full_mesh();
  if (many) tell_far(now);
  if (now - sites_told_ < 0.25) return;
  sites_told_ = now;
  ProxyGossip n;
  for (std::string const& f : fresh_sites_) {
    auto const it = catalog_.entries().find(f);
    if (it == catalog_.entries().end() || it->second.channel == 0) continue;
    n.rows.push_back(row_of(it->second, now));
  }
  fresh_sites_.clear();
  if (n.rows.empty()) return;
  EncodedMessage const pc = encode_message(MessageType::proxy_records, codec::pack(n));
  for (auto& [ip, m] : context_.controllers)
    if (m.link && (!many || context_.peers.is_near(ip))) m.link->send(pc);
}

void DirectoryService::controller_sites(std::string const& from, ProxyGossip const& n, Seconds now) {
  std::string const& origin = n.origin.empty() ? from : n.origin;
  if (origin == context_.settings.ip) return;
  if (n.relay) {
    ProxyGossip on = n;
    on.relay = false;
    EncodedMessage const pc = encode_message(MessageType::proxy_records, codec::pack(on));
    for (auto& [ip, m] : context_.controllers)
      if (m.link && ip != origin && context_.peers.is_near(ip)) m.link->send(pc);
  }
  for (ProxyRecord const& r : n.rows) {
    if (context_.settings.region_of(r.zone) != r.region || r.front.empty()) continue;
    auto const it = catalog_.entries().find(r.front);
    // Our own entry is newer than what a peer says of it.
    if (it != catalog_.entries().end() && it->second.channel != 0 && now - it->second.heard < 1.0) continue;
    if (r.gone) {
      if (it != catalog_.entries().end() && it->second.via == origin) catalog_.remove(r.front);
      continue;
    }
    ProxyEntry s = site_of(r, now - r.age);
    s.via = origin;
    s.current = r.current;
    catalog_.record_keepalive(std::move(s));
  }
  if (n.alive) {
    u64 const marks = catalog_.renew_entries_of(origin, now);
    int& off = far_off_[origin];
    off = marks == n.marks ? 0 : off + 1;
    // Updates may still be in flight; a difference that lasts is repaired by asking for all entries.
    if (off >= 2) {
      off = 0;
      if (auto const it = context_.controllers.find(origin); it != context_.controllers.end() && it->second.link)
        it->second.link->send(MessageType::proxy_records_request, 0, ProxyGossip{});
    }
  }
  // Counts change when entries come or go; otherwise once a tick is enough.
  if (catalog_.entries().size() != counted_rows_) count_sites(now);
}

void DirectoryService::whole_for(Connection& ch, Seconds now) {
  ProxyGossip n;
  n.origin = context_.settings.ip;
  for (std::string const& f : mine_)
    if (auto const it = catalog_.entries().find(f); it != catalog_.entries().end() && it->second.channel != 0)
      n.rows.push_back(row_of(it->second, now));
  ch.send(MessageType::proxy_records, 0, n);
}

void DirectoryService::directory(evhttp_request* r) {
  std::string const uri = evhttp_request_get_uri(r);
  if (uri.compare(0, 12, "/-/resolve?n") != 0 && uri.compare(0, 11, "/-/resolve?") != 0 && uri != "/-/resolve")
    return context_.api.write(r, error_response(404, "no such call"));
  if (evhttp_request_get_command(r) != EVHTTP_REQ_GET) return context_.api.write(r, error_response(405, "wants GET"));
  evkeyvalq q{};
  evhttp_parse_query(uri.c_str(), &q);
  ClientContext c;
  if (char const* z = evhttp_find_header(&q, "zone"); z != nullptr) c.zone = z;
  if (char const* g = evhttp_find_header(&q, "region"); g != nullptr) c.region = g;
  evhttp_clear_headers(&q);
  if (c.region.empty()) c.region = context_.settings.region_of(c.zone);
  if (!catalog_.is_settled(steady_now()))
    return context_.api.write(r, error_response(503, "the table is still filling"));
  auto const l = context_.in_contact() ? catalog_.resolve(c, context_.drained_units) : catalog_.resolve(c, cordoned());
  if (l.empty()) return context_.api.write(r, error_response(503, "no site is ready"));
  schema::ResolveResponse ret;
  for (ProxyEntry const* s : l)
    ret.addresses.push_back(s->front);
  // A client with only one address has no alternative until it asks again.
  ret.ttlS = std::min(l.size() > 1 ? 2.0 : 1.0, context_.settings.bounds.ttlMaxS);
  context_.api.write(r, ApiResponse{200, json::render(ret)});
}

void DirectoryService::count_sites(Seconds now) {
  std::map<std::string, u32> n;
  counted_rows_ = catalog_.entries().size();
  for (auto const& [f, s] : catalog_.entries())
    ++n[s.zone];
  bool changed = false;
  for (auto& [z, c] : counts_)
    if (n[z] >= c.n || !context_.in_contact()) c.seen = now;  // out of contact: their keepalives may not reach us
  for (auto const& [z, k] : n) {
    Counted& c = counts_[z];
    if (k > c.n || (k < c.n && now - c.seen > context_.settings.bounds.retryWindowS)) {
      c.n = k;
      c.seen = now;
      changed = true;
    }
  }
  if (!changed) return;
  ++counts_turn_;
  StateUpdate w;
  w.sites = counted();
  context_.disk->submit_lazily({StoreOperation::put_meta("sites", codec::pack(w))});
}

std::vector<ZoneProxyCount> DirectoryService::counted() const {
  std::vector<ZoneProxyCount> v;
  for (auto const& [z, c] : counts_) {
    ZoneProxyCount zc;
    zc.zone = z;
    zc.n = c.n;
    v.push_back(zc);
  }
  return v;
}

std::vector<std::string> DirectoryService::relays_for(ProxyHeartbeat const& b) const {
  std::vector<std::pair<double, std::string>> v;
  for (auto const& [f, s] : catalog_.entries())
    if (f != b.front) v.emplace_back(random01() + (s.region == b.region ? 0 : 1), f.substr(0, f.find(':')));
  std::size_t const n = std::min<std::size_t>(6, v.size());
  std::partial_sort(v.begin(), v.begin() + static_cast<long>(n), v.end());
  std::vector<std::string> out;
  for (std::size_t i = 0; i < n; ++i)
    out.push_back(v[i].second);
  return out;
}

void DirectoryService::beat(ProxyHeartbeat const& b, InboundSession& p, Seconds now) {
  if (b.front.empty() || context_.settings.region_of(b.zone) != b.region) return;
  ProxyEntry s = site_of(b, now);
  s.channel = p.ch->id();
  s.unmatched = b.unmatched;
  s.current = b.ballot >= context_.view.ballot;
  if (b.primary) {
    fresh_sites_.insert(b.front);
    mine_.insert(b.front);
  } else {
    mine_.erase(b.front);
  }
  p.primary = b.primary;
  catalog_.record_keepalive(std::move(s));
  if (catalog_.entries().size() != counted_rows_) count_sites(now);
}

DrainInstruction DirectoryService::told(std::string const& front) const {
  DrainInstruction d;
  if (auto const it = context_.drained_units.find(front); it != context_.drained_units.end()) {
    d.stage = static_cast<u32>(it->second.stage);
    d.incarnation = it->second.incarnation;
  }
  return d;
}

void DirectoryService::load(std::vector<ZoneProxyCount> const& l, Seconds now) {
  for (ZoneProxyCount const& z : l)
    counts_[z.zone] = Counted{z.n, now};
}

double DirectoryService::proxies() const {
  double n = 0;
  for (auto const& [z, c] : counts_)
    n += c.n;
  return n;
}

u32 DirectoryService::proxies_in(std::string const& zone) const {
  auto const it = counts_.find(zone);
  return it == counts_.end() ? 0 : it->second.n;
}

u64 DirectoryService::turn() const {
  return counts_turn_;
}

Directory<NearestSelector>& DirectoryService::catalog() {
  return catalog_;
}

Directory<NearestSelector> const& DirectoryService::catalog() const {
  return catalog_;
}

std::set<std::string> DirectoryService::cordoned() const {
  std::set<std::string> v;
  for (auto const& [name, u] : context_.drained_units)
    v.insert(name);
  for (auto const& [f, x] : catalog_.entries())
    if (x.drain.stage != 0) v.insert(f);
  return v;
}

ProxyRecord DirectoryService::row_of(ProxyEntry const& s, Seconds now) {
  ProxyRecord r;
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

void DirectoryService::tell_far(Seconds now) {
  if (now - far_told_ < 1.0) return;
  far_told_ = now;
  ProxyGossip n;
  n.origin = context_.settings.ip;
  n.relay = n.alive = true;
  for (auto it = mine_.begin(); it != mine_.end();) {
    auto const s = catalog_.entries().find(*it);
    if (s == catalog_.entries().end() || s->second.channel == 0) {
      it = mine_.erase(it);
      continue;
    }
    n.marks += hash64(*it);
    ProxyEntry const& x = s->second;
    auto const [t, fresh] = far_.try_emplace(*it);
    ProxyEntry& was = t->second;
    bool const drains = x.drain.incarnation != 0;
    bool const moved = fresh || was.ready != x.ready || std::abs(was.load - x.load) > 0.2 ||
                       was.drain.incarnation != x.drain.incarnation || was.drain.stage != x.drain.stage ||
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
    ProxyRecord r = row_of(it->second, now);
    r.age = 0;
    r.gone = true;
    n.rows.push_back(std::move(r));
    it = far_.erase(it);
  }
  std::map<std::string, std::vector<PeerLink*>> by_region;
  for (auto& [ip, m] : context_.controllers)
    if (m.link && m.link->up() && !context_.peers.is_near(ip))
      by_region[context_.peers.region_of(ip)].push_back(m.link.get());
  EncodedMessage const pc = encode_message(MessageType::proxy_records, codec::pack(n));
  for (auto& [g, l] : by_region)
    l[random64() % l.size()]->send(pc);
}

}  // namespace dockbend
