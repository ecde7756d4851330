#include "controller/status_report.hpp"

#include <cmath>

namespace dockbend {

namespace {
constexpr Seconds kNeverContacted = 1e6;  // an age from here on means that no majority ever answered
constexpr double kMillisecondsPerSecond = 1000;
}  // namespace

std::string StatusReport::render() const {
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  writer.StartObject();
  writer.Key("node");
  writer.String(context_.settings.nodeName.c_str());
  write_contact(writer);
  write_consensus(writer);
  write_rejected_input(writer);
  write_unmatched(writer);
  services_.membership.write_members(writer);
  write_items(writer);
  services_.leases.write_leases(writer);
  write_evacuations(writer);
  write_servers(writer);
  write_proxies(writer);
  writer.EndObject();
  return std::string(buffer.GetString(), buffer.GetSize());
}

void StatusReport::write_contact(Writer& writer) const {
  writer.Key("inContact");
  writer.Bool(context_.in_contact());
  Seconds const now = steady_now();
  writer.Key("contactAgeS");  // since a majority was asked that then answered; null: never
  Seconds const age = context_.committed ? now - context_.contact.since(now) : -kNever;
  if (age < kNeverContacted)
    writer.Double(std::round(age * kMillisecondsPerSecond) / kMillisecondsPerSecond);
  else
    writer.Null();
  writer.Key("contactBoundS");
  writer.Double(context_.contact.plan().bound);
}

void StatusReport::write_consensus(Writer& writer) const {
  writer.Key("ballot");
  writer.Uint64(services_.consensus.ballot().v);
  writer.Key("bearsLossOf");
  writer.Uint64(services_.consensus.tolerated_disk_losses());
  writer.Key("keysWhole");
  writer.Bool(services_.idempotency.ledger().whole());
  writer.Key("keys");
  writer.Uint64(services_.idempotency.ledger().size());
}

void StatusReport::write_rejected_input(Writer& writer) const {
  writer.Key("badInput");
  writer.StartObject();
  writer.Key("channelsEnded");
  writer.Uint64(rejected_input().channels);
  writer.Key("lettersIgnored");
  writer.Uint64(rejected_input().letters);
  writer.Key("callsRefused");
  writer.Uint64(rejected_input().calls);
  writer.EndObject();
}

void StatusReport::write_unmatched(Writer& writer) const {
  writer.Key("dropped");
  writer.StartObject();
  context_.unmatched.each([&](UnmatchedReason reason, u64 count) {
    writer.Key(name_of(reason));
    writer.Uint64(count);
  });
  writer.EndObject();
}

void StatusReport::write_items(Writer& writer) const {
  writer.Key("items");
  writer.StartArray();
  if (context_.committed)
    for (ConfigItem const& item : context_.committed->items) {
      writer.StartObject();
      writer.Key("key");
      writer.String(item.key.c_str());
      writer.Key("generation");
      writer.String(json::gen_str(item.gen).c_str());
      writer.Key("dropped");
      writer.Bool(item.gone);
      writer.EndObject();
    }
  writer.EndArray();
}

void StatusReport::write_evacuations(Writer& writer) const {
  writer.Key("evacuations");
  writer.StartArray();
  if (context_.committed)
    for (Evacuation const& evacuation : context_.committed->evacuations)
      if (evacuation.on) writer.String(evacuation.zone.c_str());
  writer.EndArray();
}

void StatusReport::write_servers(Writer& writer) const {
  writer.Key("servers");
  writer.StartArray();
  for (auto const& [id, entry] : services_.registry.roll().entries()) {
    if (entry.record.state == ServerState::gone) continue;
    writer.StartObject();
    writer.Key("id");
    writer.String(id.c_str());
    writer.Key("service");
    writer.String(entry.record.service.c_str());
    writer.Key("zone");
    writer.String(entry.record.zone.c_str());
    writer.Key("state");
    writer.String(entry.record.state == ServerState::ready ? "ready" : "draining");
    writer.EndObject();
  }
  writer.EndArray();
}

void StatusReport::write_proxies(Writer& writer) const {
  writer.Key("sites");
  writer.StartArray();
  for (auto const& [front, proxy] : services_.directory.catalog().entries()) {
    writer.StartObject();
    writer.Key("address");
    writer.String(front.c_str());
    writer.Key("zone");
    writer.String(proxy.zone.c_str());
    writer.Key("ready");
    writer.Bool(proxy.ready);
    writer.Key("load");
    writer.Double(proxy.load);
    if (proxy.unmatched > 0) {
      writer.Key("dropped");
      writer.Uint64(proxy.unmatched);
    }
    writer.EndObject();
  }
  writer.EndArray();
}

}  // namespace dockbend
