#include "controller/departure_replicator.hpp"

namespace dockbend {

namespace {

constexpr Seconds kBatchDelaySeconds = 0.01;
constexpr Seconds kPatienceSeconds = 0.8;  // a server waits a second for its acknowledgement
constexpr Seconds kTakenWhileLeavingSeconds = 0.4;

}  // namespace

void DepartureReplicator::replicate(std::string const& id, Done done) {
  Seconds const now = steady_now();
  std::optional<ServerRecord> const record = registry_.find(id, now);
  if (!record || registry_.is_durable(id)) return done(record.has_value());
  if (is_ending(now)) return done(false);
  bool const is_first_of_batch = batches_.add({*record, now + kPatienceSeconds, std::move(done)});
  if (is_first_of_batch) after(context_.loop, kBatchDelaySeconds, [this] { send_batch(); });
}

bool DepartureReplicator::is_ending(Seconds now) const {
  return context_.leaving_since > 0 && now - context_.leaving_since > kTakenWhileLeavingSeconds;
}

void DepartureReplicator::send_batch() {
  std::optional<u32> const tag = batches_.close_batch();
  if (!tag) return;
  StoreDeparturesRequest const request{batches_.records(*tag)};
  EncodedMessage const message = encode_message(MessageType::store_departures_request, codec::pack(request));
  for (auto& [ip, peer] : context_.controllers)
    if (peer.link) peer.link->send(message, *tag);
  store(request.records, [this, tag = *tag] {
    batches_.on_stored(tag, context_.settings.ip, context_.acceptor->incarnation());
    finish_durable();
  });
}

void DepartureReplicator::store(std::vector<ServerRecord> const& departures, std::function<void()> stored) {
  if (!context_.is_incarnation_durable) return;
  Seconds const now = steady_now();
  std::vector<StoreOperation> operations;
  for (ServerRecord const& departure : departures)
    if (auto const known = registry_.find(departure.id, now))
      operations.push_back(StoreOperation::put_server(known->id, codec::pack(*known)));
  context_.disk->submit(std::move(operations), [stored = std::move(stored)](bool is_written) {
    if (is_written) stored();
  });
}

void DepartureReplicator::on_response(std::string const& ip, u32 tag, StoreDeparturesResponse const& response) {
  if (batches_.on_stored(tag, ip, response.incarnation)) finish_durable();
}

void DepartureReplicator::on_link_up(PeerLink& link) {
  for (u32 const tag : batches_.open_tags())
    link.send(MessageType::store_departures_request, tag, StoreDeparturesRequest{batches_.records(tag)});
}

void DepartureReplicator::tick(Seconds now) {
  finish_durable();  // the membership may have changed
  std::vector<DepartureBatches::Departure> const expired = batches_.take_expired(now);
  if (expired.empty()) return;
  LOG4CPLUS_WARN(logger_, "No majority of disks held " << expired.size()
                                                       << " departures of servers in time; they are not acknowledged.");
  for (DepartureBatches::Departure const& departure : expired)
    departure.done(false);
}

void DepartureReplicator::finish_durable() {
  std::vector<DepartureBatches::Departure> const durable =
      batches_.take_durable([this](DepartureBatches::Disks const& disks) { return is_majority(disks); });
  for (DepartureBatches::Departure const& departure : durable)
    registry_.mark_durable(departure.record);
  for (DepartureBatches::Departure const& departure : durable)
    departure.done(true);
}

bool DepartureReplicator::is_majority(DepartureBatches::Disks const& disks) const {
  if (!context_.committed) return false;
  return context_.committed->is_held_by_quorum([&](Member const& member) {
    auto const disk = disks.find(member.ip);
    return disk != disks.end() && disk->second == member.incarnation;
  });
}

}  // namespace dockbend
