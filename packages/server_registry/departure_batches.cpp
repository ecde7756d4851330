#include "server_registry/departure_batches.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dockbend {
namespace {

/// Moves the departures whose time is over to `expired`.
void move_expired(std::vector<DepartureBatches::Departure>& departures, Seconds now,
                  std::vector<DepartureBatches::Departure>& expired) {
  auto const first_expired = std::stable_partition(departures.begin(), departures.end(),
                                                   [&](auto const& departure) { return departure.until > now; });
  std::move(first_expired, departures.end(), std::back_inserter(expired));
  departures.erase(first_expired, departures.end());
}

}  // namespace

bool DepartureBatches::add(Departure departure) {
  collected_.push_back(std::move(departure));
  return collected_.size() == 1;
}

std::optional<u32> DepartureBatches::close_batch() {
  if (collected_.empty()) return std::nullopt;
  batches_[++last_tag_].departures = std::exchange(collected_, {});
  return last_tag_;
}

std::vector<u32> DepartureBatches::open_tags() const {
  std::vector<u32> tags;
  for (auto const& [tag, batch] : batches_)
    tags.push_back(tag);
  return tags;
}

std::vector<ServerRecord> DepartureBatches::records(u32 tag) const {
  std::vector<ServerRecord> records;
  auto const batch = batches_.find(tag);
  if (batch == batches_.end()) return records;
  for (Departure const& departure : batch->second.departures)
    records.push_back(departure.record);
  return records;
}

bool DepartureBatches::on_stored(u32 tag, std::string const& ip, Incarnation incarnation) {
  auto const batch = batches_.find(tag);
  if (batch == batches_.end()) return false;
  batch->second.disks[ip] = incarnation;
  return true;
}

std::vector<DepartureBatches::Departure> DepartureBatches::take_durable(IsMajority const& is_majority) {
  std::vector<Departure> durable;
  for (auto& [tag, batch] : batches_) {
    if (!is_majority(batch.disks)) continue;
    std::move(batch.departures.begin(), batch.departures.end(), std::back_inserter(durable));
    batch.departures.clear();
  }
  remove_finished_batches();
  return durable;
}

std::vector<DepartureBatches::Departure> DepartureBatches::take_expired(Seconds now) {
  std::vector<Departure> expired;
  move_expired(collected_, now, expired);
  for (auto& [tag, batch] : batches_)
    move_expired(batch.departures, now, expired);
  remove_finished_batches();
  return expired;
}

void DepartureBatches::remove_finished_batches() {
  std::erase_if(batches_, [](auto const& entry) { return entry.second.departures.empty(); });
}

}  // namespace dockbend
