// Each departure is handed back once: as durable only if a majority of disks holds it, or as expired.
#include <criterion/criterion.h>

#include <random>
#include <set>

#include "server_registry/departure_batches.hpp"

using namespace dockbend;

namespace {
Incarnation constexpr kIncarnation{7};

DepartureBatches::Departure departure_of(std::string const& id, Seconds until = 10) {
  ServerRecord record;
  record.id = id;
  record.state = ServerState::draining;
  return {record, until, nullptr};
}

bool are_two(DepartureBatches::Disks const& disks) {
  return disks.size() >= 2;
}
}  // namespace

Test(departure_batches, departures_that_arrive_together_travel_together) {
  DepartureBatches batches;
  cr_assert_not(batches.close_batch().has_value());
  cr_assert(batches.add(departure_of("a")));
  cr_assert_not(batches.add(departure_of("b")));
  std::optional<u32> const tag = batches.close_batch();
  cr_assert(tag.has_value());
  cr_assert_eq(batches.records(*tag).size(), 2u);
  cr_assert(batches.add(departure_of("c")));  // the next batch begins
  cr_assert_eq(batches.open_tags().size(), 1u);

  cr_assert(batches.on_stored(*tag, "10.0.0.1", kIncarnation));
  cr_assert(batches.take_durable(are_two).empty());
  cr_assert(batches.on_stored(*tag, "10.0.0.2", kIncarnation));
  cr_assert_eq(batches.take_durable(are_two).size(), 2u);
  cr_assert(batches.open_tags().empty());
  cr_assert_not(batches.is_empty());  // c is still collected
  cr_assert_not(batches.on_stored(*tag, "10.0.0.3", kIncarnation));
}

Test(departure_batches, a_batch_ends_with_its_last_departure) {
  DepartureBatches batches;
  batches.add(departure_of("a", 1));
  batches.add(departure_of("b", 2));
  batches.close_batch();
  cr_assert_eq(batches.take_expired(1.5).size(), 1u);
  cr_assert_not(batches.is_empty());
  cr_assert_eq(batches.take_expired(2.5).size(), 1u);
  cr_assert(batches.is_empty());
}

// Confirmations and time run in any order; what is handed back as durable was held by a majority of the disks.
Test(departure_batches, each_departure_is_handed_back_once) {
  std::mt19937 random(1);
  int durable_departures = 0;
  for (int round = 0; round < 500; ++round) {
    int constexpr kDisks = 5;
    DepartureBatches batches;
    std::set<std::string> waiting;
    std::map<std::string, std::set<std::string>> holders;  // by departure
    Seconds now = 0;
    for (int step = 0; step < 60; ++step) {
      now += 0.1;
      if (random() % 3 == 0) {
        std::string const id = std::to_string(step);
        batches.add(departure_of(id, now + 1));
        waiting.insert(id);
      }
      if (random() % 2 == 0) batches.close_batch();
      for (u32 const tag : batches.open_tags()) {
        if (random() % 2 == 0) continue;
        std::string const disk = std::to_string(random() % kDisks);
        for (ServerRecord const& record : batches.records(tag))
          holders[record.id].insert(disk);
        batches.on_stored(tag, disk, kIncarnation);
      }
      for (auto const& departure : batches.take_durable([](auto const& disks) { return disks.size() > kDisks / 2; })) {
        cr_assert_gt(holders[departure.record.id].size(), static_cast<std::size_t>(kDisks / 2));
        cr_assert_eq(waiting.erase(departure.record.id), 1u);
        ++durable_departures;
      }
      for (auto const& departure : batches.take_expired(now))
        cr_assert_eq(waiting.erase(departure.record.id), 1u);
    }
    batches.take_expired(now + 2);
    cr_assert(batches.is_empty());
  }
  cr_assert_gt(durable_departures, 0);
}
