#include "controller/registry_service.hpp"

#include "controller/api_calls.hpp"

namespace dockbend {

namespace {
constexpr Seconds kGoneServerMemorySeconds = 90;

/// What is wrong with a heartbeat, naming the field; empty: nothing.
std::string fault_of(std::string const& id, schema::Heartbeat const& heartbeat) {
  if (id.empty()) return "id: empty";
  if (heartbeat.state != "ready" && heartbeat.state != "draining") return "state: neither ready nor draining";
  if (heartbeat.service.empty()) return "service: empty";
  if (heartbeat.capacity < 0) return "capacity: negative";
  for (auto const& [text, field] : {std::pair{&id, "id"}, {&heartbeat.service, "service"}, {&heartbeat.zone, "zone"}})
    if (has_control(*text)) return std::string(field) + ": holds a control character";
  try {
    parse_addr(heartbeat.address, "address");
  } catch (SettingsError const& error) {
    return error.what();
  }
  return "";
}
}  // namespace

RegistryService::RegistryService(ControllerContext& h) : context_(h), departures_(h, roll_) {}

void RegistryService::spread(std::vector<ServerRecord> const& v, std::string const& from) {
  if (v.empty()) return;
  // Stored too, so that after a power loss everywhere the servers are known before their next heartbeats. Not
  // confirmed: the heartbeats correct what is missing. One that has left sends none: its row stays until it is
  // forgotten, else another disk's older row would bring it back.
  std::vector<StoreOperation> ops;
  for (ServerRecord const& r : v)
    ops.push_back(r.state == ServerState::gone && !has_left(r) ? StoreOperation::delete_server(r.id)
                                                               : StoreOperation::put_server(r.id, codec::pack(r)));
  context_.disk->submit_lazily(std::move(ops));
  for (ServerRecord const& r : v)
    pending_[r.id] = from;
  if (flushing_) return;
  flushing_ = true;
  // Changes that arrive close together are sent in one message.
  after(context_.loop, 0.04, [this] { flush_rows(); });
}

void RegistryService::rows(std::vector<ServerRecord> const& v, std::string const& from) {
  Seconds const now = steady_now();
  std::vector<ServerRecord> news, back;
  for (ServerRecord r : v) {
    drained(r);
    if (roll_.merge_record(r, now))
      news.push_back(*roll_.find(r.id, now));
    else if (auto const mine = roll_.find(r.id, now); mine && mine->seq > r.seq && mine->state != r.state)
      back.push_back(*mine);
  }
  spread(news, from);
  auto const it = context_.controllers.find(from);
  if (!back.empty() && it != context_.controllers.end() && it->second.link) spread_to(*it->second.link, back);
}

void RegistryService::heartbeat(std::string const& id, schema::Heartbeat const& b, std::string const& uri,
                                Respond const& respond) {
  if (std::string const fault = fault_of(id, b); !fault.empty()) return respond(error_response(400, fault));
  ServerRecord r;
  r.id = id;
  r.service = b.service;
  r.address = b.address;
  r.zone = b.zone;
  r.capacity = b.capacity;
  r.state = b.state == "ready" ? ServerState::ready : ServerState::draining;
  r.seq = b.callSeq;
  r.cold_left = std::clamp(b.coldLeftS.value_or(0), 0.0, 1e9);
  r.generation = b.generation.value_or("");
  drained(r);
  Seconds const now = steady_now();
  if (roll_.record_heartbeat(r, context_.settings.ip, now)) spread({*roll_.find(id, now)}, "");
  if (!context_.in_contact()) return respond(redirect_to_controller_in_contact(context_, uri));
  schema::HeartbeatResponse ret;
  std::string const t = beat_target(b.zone);
  if (!t.empty()) ret.beatTarget = t;
  ApiResponse const acknowledgement{200, json::render(ret)};
  bool const drains = b.state == "draining" && roll_.find(id, now)->state != ServerState::ready;
  if (!drains) return respond(acknowledgement);
  acknowledge_departure(id, acknowledgement, respond);
}

void RegistryService::leave(std::string const& id, std::string const& uri, Respond const& respond) {
  if (id.empty()) return respond(error_response(400, "id: empty"));
  Seconds const now = steady_now();
  auto cur = roll_.find(id, now);
  ServerRecord r;
  if (cur) r = *cur;
  r.id = id;
  r.state = ServerState::gone;
  r.seq = kDepartedSequence;
  if (roll_.merge_record(r, now)) spread({r}, "");
  if (!context_.in_contact()) return respond(redirect_to_controller_in_contact(context_, uri));
  acknowledge_departure(id, {200, "{}"}, respond);
}

void RegistryService::acknowledge_departure(std::string const& id, ApiResponse const& acknowledgement,
                                            Respond const& respond) {
  departures_.replicate(id, [acknowledgement, respond](bool is_durable) {
    respond(is_durable ? acknowledgement : error_response(503, "not held by a majority of disks"));
  });
}

void RegistryService::store_departures(std::vector<ServerRecord> const& departures, std::string const& from,
                                       std::function<void()> stored) {
  rows(departures, from);
  departures_.store(departures, std::move(stored));
}

void RegistryService::feed(Connection& ch, Seconds now) {
  // Out of contact our registry may lack servers: rows_full is false, so receivers keep what is not in it.
  if (whole_.empty() || now - whole_at_ > 1.0 || whole_in_contact_ != context_.in_contact()) {
    StateUpdate n;
    n.rows_full = whole_in_contact_ = context_.in_contact();
    n.rows = roll_.records(now);
    whole_ = encode_message(MessageType::state_update, codec::pack(n));
    whole_at_ = now;
  }
  ch.send(whole_);
  StateUpdate since;
  since.rows = roll_.changed_since(whole_at_, now);
  if (now > whole_at_ && !since.rows.empty()) ch.send(MessageType::state_update, 0, since);
}

void RegistryService::orders_changed() {
  Seconds const now = steady_now();
  std::vector<ServerRecord> news;
  for (auto const& [name, u] : context_.drained_units) {
    auto const e = roll_.find(name, now);
    if (!e || e->state != ServerState::ready) continue;
    ServerRecord r = *e;
    r.state = ServerState::draining;
    if (roll_.merge_record(r, now)) news.push_back(std::move(r));
  }
  spread(news, "");
}

void RegistryService::spread_all(PeerLink& l) {
  spread_to(l, roll_.records(steady_now()));
}

void RegistryService::on_link_up(std::string const& ip, PeerLink& link) {
  if (context_.peers.is_near(ip)) {
    spread_all(link);
  } else {
    std::vector<ServerRecord> departures = roll_.records(steady_now());
    std::erase_if(departures, [](ServerRecord const& record) { return !is_departure(record); });
    spread_to(link, departures);
  }
  departures_.on_link_up(link);
}

void RegistryService::forget_gone(Seconds now) {
  std::vector<StoreOperation> operations;
  for (std::string const& id : roll_.forget_gone(kGoneServerMemorySeconds, now))
    operations.push_back(StoreOperation::delete_server(id));
  if (!operations.empty()) context_.disk->submit_lazily(std::move(operations));
}

void RegistryService::tick(Seconds now) {
  spread(roll_.mark_silent_gone(context_.settings.ip, 3 * context_.settings.beatPeriodS, now), "");
  for (auto& [ip, m] : context_.controllers)
    if (m.link && m.heard > 0 && now - m.heard > 12) {
      std::vector<ServerRecord> const gone = roll_.mark_gone_of_owner(ip, now);
      m.heard = now;
      spread(gone, ip);
    }
}

ServerRegistry& RegistryService::roll() {
  return roll_;
}

ServerRegistry const& RegistryService::roll() const {
  return roll_;
}

u64 RegistryService::told_digest() const {
  return told_digest_;
}

void RegistryService::drained(ServerRecord& r) const {
  if (r.state == ServerState::ready && context_.drained_units.count(r.id) > 0) r.state = ServerState::draining;
}

void RegistryService::spread_to(PeerLink& l, std::vector<ServerRecord> const& v) {
  if (v.empty()) return;
  StateUpdate n;
  n.rows = v;
  l.send(MessageType::server_records, 0, n);
}

void RegistryService::flush_rows() {
  flushing_ = false;
  Seconds const now = steady_now();
  bool const many = context_.peers.exceeds_full_mesh();
  // all: for the agents that we feed. home: for the peers of our region, or for every peer if there are few. abroad:
  // reported here, for two peers in each other region. back: received from a near peer; one copy goes to another
  // region, so that no region depends on a single peer.
  StateUpdate all, home, abroad, back;
  for (auto const& [id, from] : pending_) {
    auto r = roll_.find(id, now);
    if (!r) continue;
    bool const near = !from.empty() && context_.peers.is_near(from);
    if (many) {
      if (!near) home.rows.push_back(*r);
      if (from.empty())
        abroad.rows.push_back(*r);
      else if (near)
        back.rows.push_back(*r);
    } else if (from.empty()) {  // with few peers the first sender reached all of them itself
      home.rows.push_back(*r);
    }
    all.rows.push_back(std::move(*r));
  }
  pending_.clear();
  told_digest_ = roll_.digest();
  if (all.rows.empty()) return;
  EncodedMessage const pc = encode_message(MessageType::state_update, codec::pack(all));
  for (auto& [id, p] : context_.sessions)
    if (p.feeding) p.ch->send(pc);
  std::vector<PeerLink*> near;
  std::map<std::string, std::vector<PeerLink*>> far;
  for (auto& [ip, m] : context_.controllers)
    if (m.link && m.link->up()) {
      if (!many || context_.peers.is_near(ip))
        near.push_back(m.link.get());
      else
        far[context_.peers.region_of(ip)].push_back(m.link.get());
    }
  auto tell = [](StateUpdate const& n, std::vector<PeerLink*> const& to) {
    if (n.rows.empty() || to.empty()) return;
    EncodedMessage const p = encode_message(MessageType::server_records, codec::pack(n));
    for (PeerLink* l : to)
      l->send(p);
  };
  std::vector<PeerLink*> two, one;
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

std::string RegistryService::beat_target(std::string const& zone) const {
  if (!context_.committed || context_.leaving_since > 0) return "";
  Member const* best = nullptr;
  int best_tier = 9;
  std::string const region = context_.settings.region_of(zone);
  for (Member const& m : context_.committed->membership) {
    int const t = m.zone == zone ? 0 : m.region == region ? 1 : 2;
    if (t < 2 && t < best_tier && context_.peers.is_up(m.ip) && m.control > 0) {
      best = &m;
      best_tier = t;
    }
  }
  return best == nullptr ? std::string() : Address{best->ip, best->control}.str();
}

}  // namespace dockbend
