#include "controller/status_report.hpp"
#include "transport/counters.hpp"

#include <cmath>

namespace dockbend {

namespace {
constexpr Seconds kNeverContacted = 1e6;  // an age from here on means that no majority ever answered
constexpr double kMillisecondsPerSecond = 1000;
}  // namespace

std::string StatusReport::render() const {
  return json_object([this](JsonWriter& json) {
    write_member(json, "node", context_.settings.nodeName);
    write_contact(json);
    write_consensus(json);
    write_rejected_input(json);
    write_unmatched(json);
    services_.membership.write_members(json);
    write_items(json);
    services_.leases.write_leases(json);
    write_evacuations(json);
    write_servers(json);
    write_proxies(json);
  });
}

void StatusReport::write_contact(JsonWriter& json) const {
  write_member(json, "inContact", context_.in_contact());
  Seconds const now = steady_now();
  json.Key("contactAgeS");  // since a majority was asked that then answered; null: never
  Seconds const age = context_.committed ? now - context_.contact.fresh_since(now) : -kNever;
  if (age < kNeverContacted)
    json.Double(std::round(age * kMillisecondsPerSecond) / kMillisecondsPerSecond);
  else
    json.Null();
  write_member(json, "contactBoundS", context_.contact.options().max_age);
}

void StatusReport::write_consensus(JsonWriter& json) const {
  write_member(json, "ballot", services_.consensus.ballot().v);
  write_member(json, "bearsLossOf", u64{services_.consensus.tolerated_disk_losses()});
  write_member(json, "keysWhole", services_.idempotency.ledger().is_complete());
  write_member(json, "keys", u64{services_.idempotency.ledger().size()});
}

void StatusReport::write_rejected_input(JsonWriter& json) const {
  json.Key("badInput");
  write_object(json, [&] {
    write_member(json, "channelsEnded", rejected_input().channels);
    write_member(json, "lettersIgnored", rejected_input().letters);
    write_member(json, "callsRefused", rejected_input().calls);
  });
}

void StatusReport::write_unmatched(JsonWriter& json) const {
  json.Key("dropped");
  write_object(json, [&] {
    context_.unmatched.each([&](UnmatchedReason reason, u64 count) { write_member(json, name_of(reason), count); });
  });
}

void StatusReport::write_items(JsonWriter& json) const {
  write_array(json, "items", [&] {
    if (!context_.committed) return;
    for (ConfigItem const& item : context_.committed->items) {
      if (holds_former_keys(item)) continue;
      write_object(json, [&] {
        write_member(json, "key", item.key);
        write_member(json, "generation", json::gen_str(item.gen));
        write_member(json, "dropped", item.gone);
      });
    }
  });
}

void StatusReport::write_evacuations(JsonWriter& json) const {
  write_array(json, "evacuations", [&] {
    if (!context_.committed) return;
    for (Evacuation const& evacuation : context_.committed->evacuations)
      if (evacuation.on) json.String(evacuation.zone.c_str());
  });
}

void StatusReport::write_servers(JsonWriter& json) const {
  write_array(json, "servers", [&] {
    for (auto const& [id, entry] : services_.registry.roll().entries()) {
      ServerRecord const& record = entry.record;
      if (record.state == ServerState::gone) continue;
      write_object(json, [&] {
        write_member(json, "id", record.id);
        write_member(json, "service", record.service);
        write_member(json, "zone", record.zone);
        write_member(json, "state", record.state == ServerState::ready ? "ready" : "draining");
      });
    }
  });
}

void StatusReport::write_proxies(JsonWriter& json) const {
  write_array(json, "sites", [&] {
    for (auto const& [front, proxy] : services_.directory.catalog().entries())
      write_object(json, [&, &address = front, &entry = proxy] {
        write_member(json, "address", address);
        write_member(json, "zone", entry.zone);
        write_member(json, "ready", entry.ready);
        write_member(json, "load", entry.load);
        if (entry.unmatched > 0) write_member(json, "dropped", entry.unmatched);
      });
  });
}

}  // namespace dockbend
