// The desk of the servers: their beats, and the roll that is passed on.
#pragma once

#include "controller/controller_context.hpp"

namespace dockbend {

class ServerDesk {
 public:
  explicit ServerDesk(House& h) : h_(h) {}

  // News of servers goes to the proxies we feed and to a few mates; whoever finds
  // it new passes it on.
  void spread(std::vector<Row> const& v, std::string const& from) {
    if (v.empty()) return;
    // On disk too, so that after a loss of all power the servers are known before
    // their next beats. Nobody waits for it: the beats set right what it lacks.
    std::vector<Vellum::Op> ops;
    for (Row const& r : v) {
      Vellum::Op o;
      o.what = r.state == Standing::gone ? Vellum::Op::What::drop_row : Vellum::Op::What::put_row;
      o.k = r.id;
      if (r.state != Standing::gone) o.v = codec::pack(r);
      ops.push_back(std::move(o));
    }
    h_.vellum->submit_lazy(std::move(ops));
    for (Row const& r : v)
      pending_[r.id] = from;
    if (flushing_) return;
    flushing_ = true;
    // Changes that come together go out together.
    after(h_.eb, 0.04, [this] { flush_rows(); });
  }

  void rows(std::vector<Row> const& v, std::string const& from) {
    Secs const now = now_s();
    std::vector<Row> news, back;
    for (Row r : v) {
      drained(r);
      if (roll_.join(r, now))
        news.push_back(*roll_.get(r.id, now));
      else if (auto const mine = roll_.get(r.id, now); mine && mine->seq > r.seq && mine->state != r.state)
        back.push_back(*mine);
    }
    spread(news, from);
    auto const it = h_.mates.find(from);
    if (!back.empty() && it != h_.mates.end() && it->second.link) spread_to(*it->second.link, back);
  }

  // Out of contact a beat is heard, so that the server keeps its place where no node is in
  // contact, but not acknowledged: the acknowledgement of a drain binds nodes that we can't tell.
  CallRet heartbeat(std::string const& id, schema::Heartbeat const& b, std::string const& uri) {
    if (id.empty()) return fault(400, "id: empty");
    if (b.state != "ready" && b.state != "draining") return fault(400, "state: neither ready nor draining");
    if (b.service.empty()) return fault(400, "service: empty");
    if (b.capacity < 0) return fault(400, "capacity: negative");
    for (auto const& [s, f] : {std::pair{&id, "id"}, {&b.service, "service"}, {&b.zone, "zone"}})
      if (has_control(*s)) return fault(400, std::string(f) + ": holds a control character");
    try {
      parse_addr(b.address, "address");
    } catch (BadSetting const& e) {
      return fault(400, e.what());
    }
    Row r;
    r.id = id;
    r.service = b.service;
    r.address = b.address;
    r.zone = b.zone;
    r.capacity = b.capacity;
    r.state = b.state == "ready" ? Standing::ready : Standing::draining;
    r.seq = b.callSeq;
    r.cold_left = std::clamp(b.coldLeftS.value_or(0), 0.0, 1e9);
    r.generation = b.generation.value_or("");
    drained(r);
    Secs const now = now_s();
    if (roll_.beat(r, h_.st.ip, now)) spread({*roll_.get(id, now)}, "");
    if (!h_.in_contact()) return h_.elsewhere(uri);
    schema::HeartbeatRet ret;
    std::string const t = beat_target(b.zone);
    if (!t.empty()) ret.beatTarget = t;
    return {200, json::render(ret)};
  }

  CallRet leave(std::string const& id, std::string const& uri) {
    if (id.empty()) return fault(400, "id: empty");
    Secs const now = now_s();
    auto cur = roll_.get(id, now);
    Row r;
    if (cur) r = *cur;
    r.id = id;
    r.state = Standing::gone;
    r.seq = left_seq;
    if (roll_.join(r, now)) spread({r}, "");
    if (!h_.in_contact()) return h_.elsewhere(uri);
    return {200, "{}"};
  }

  // The whole roll, for who begins to be fed. After a loss of power everybody asks: it is made
  // ready once a second at most, and what changed since goes after it.
  void feed(Channel& ch, Secs now) {
    // Out of contact it may lack servers: what it lacks stays with who has it.
    if (whole_.empty() || now - whole_at_ > 1.0 || whole_in_contact_ != h_.in_contact()) {
      News n;
      n.rows_full = whole_in_contact_ = h_.in_contact();
      n.rows = roll_.all(now);
      whole_ = parcel(Kind::news, codec::pack(n));
      whole_at_ = now;
    }
    ch.send(whole_);
    News since;
    since.rows = roll_.changed_since(whole_at_, now);
    if (now > whole_at_ && !since.rows.empty()) ch.send(Kind::news, 0, since);
  }

  // The operator's order binds whatever the server says of itself. Every directory applies it
  // to its own rows as soon as it learns of it, so that nobody waits for the rows' owners.
  void orders_changed() {
    Secs const now = now_s();
    std::vector<Row> news;
    for (auto const& [name, u] : h_.out) {
      auto const e = roll_.get(name, now);
      if (!e || e->state != Standing::ready) continue;
      Row r = *e;
      r.state = Standing::draining;
      if (roll_.join(r, now)) news.push_back(std::move(r));
    }
    spread(news, "");
  }

  // To a mate whose roll differs from ours, or that may have begun anew.
  void spread_all(Link& l) { spread_to(l, roll_.all(now_s())); }
  void tick(Secs now) {
    spread(roll_.expire(h_.st.ip, 3 * h_.st.beatPeriodS, now), "");
    for (auto& [ip, m] : h_.mates)
      if (m.link && m.heard > 0 && now - m.heard > 12) {
        std::vector<Row> const gone = roll_.expire_of(ip, now);
        m.heard = now;
        spread(gone, ip);
      }
  }
  Roll& roll() { return roll_; }
  Roll const& roll() const { return roll_; }
  u64 told_digest() const { return told_digest_; }  // of the roll as others were told of it

 private:
  void drained(Row& r) const {
    if (r.state == Standing::ready && h_.out.count(r.id) > 0) r.state = Standing::draining;
  }
  void spread_to(Link& l, std::vector<Row> const& v) {
    if (v.empty()) return;
    News n;
    n.rows = v;
    l.send(Kind::rows, 0, n);
  }

  void flush_rows() {
    flushing_ = false;
    Secs const now = now_s();
    bool const many = h_.mates_up() > House::few;
    // all: for those we feed. home: for the mates of our region, or for every mate if they are
    // few. abroad: begun here, for two mates in each other region. back: heard from a near mate;
    // one copy goes abroad, so that no single mate is what a region hangs on.
    News all, home, abroad, back;
    for (auto const& [id, from] : pending_) {
      auto r = roll_.get(id, now);
      if (!r) continue;
      bool const near = !from.empty() && h_.is_near(from);
      if (many) {
        if (!near) home.rows.push_back(*r);
        if (from.empty())
          abroad.rows.push_back(*r);
        else if (near)
          back.rows.push_back(*r);
      } else if (from.empty()) {  // with few mates the first teller reached everyone itself
        home.rows.push_back(*r);
      }
      all.rows.push_back(std::move(*r));
    }
    pending_.clear();
    told_digest_ = roll_.digest();
    if (all.rows.empty()) return;
    Parcel const pc = parcel(Kind::news, codec::pack(all));
    for (auto& [id, p] : h_.peers)
      if (p.feeding) p.ch->send(pc);
    std::vector<Link*> near;
    std::map<std::string, std::vector<Link*>> far;
    for (auto& [ip, m] : h_.mates)
      if (m.link && m.link->up()) {
        if (!many || h_.is_near(ip))
          near.push_back(m.link.get());
        else
          far[h_.region_of_mate(ip)].push_back(m.link.get());
      }
    auto tell = [](News const& n, std::vector<Link*> const& to) {
      if (n.rows.empty() || to.empty()) return;
      Parcel const p = parcel(Kind::rows, codec::pack(n));
      for (Link* l : to)
        l->send(p);
    };
    std::vector<Link*> two, one;
    for (auto& [g, l] : far) {
      std::swap(l[0], l[random64() % l.size()]);
      if (l.size() > 1) std::swap(l[1], l[1 + random64() % (l.size() - 1)]);
      two.insert(two.end(), l.begin(), l.begin() + static_cast<long>(std::min<std::size_t>(2, l.size())));
    }
    if (!two.empty()) one.push_back(two[random64() % two.size()]);
    tell(home, near);
    tell(abroad, two);
    tell(back, one);
  }

  std::string beat_target(std::string const& zone) const {
    if (!h_.committed || h_.leaving > 0) return "";
    Member const* best = nullptr;
    int best_tier = 9;
    std::string const region = h_.st.region_of(zone);
    for (Member const& m : h_.committed->roster) {
      int const t = m.zone == zone ? 0 : m.region == region ? 1 : 2;
      if (t < 2 && t < best_tier && h_.up(m.ip) && m.control > 0) {
        best = &m;
        best_tier = t;
      }
    }
    return best == nullptr ? std::string() : Addr{best->ip, best->control}.str();
  }

  House& h_;
  Roll roll_;
  std::map<std::string, std::string> pending_;  // rows to pass on: id -> the mate that told us
  Parcel whole_;                                // the whole roll as it was at whole_at_
  Secs whole_at_ = -1e9;
  bool whole_in_contact_ = false;  // when it was made ready
  bool flushing_ = false;
  u64 told_digest_ = 0;
};

}  // namespace dockbend
