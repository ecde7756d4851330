// The fields of each record in the order in which they stand on the wire, by name. A golden test
// fills a record through these lists: a field that moves in its struct, or changes its type, gives
// other bytes, also if a neighbour has the same type. This list says what the order is; it changes
// only by a field's new name or by fields added at the end.
#pragma once
#include <algorithm>
#include <boost/preprocessor.hpp>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

#include "configuration/json.hpp"
#include "consensus/replicated_state.hpp"
#include "consensus/state_chunk.hpp"
#include "consensus/state_rows.hpp"
#include "drain/drain_run.hpp"
#include "drain/proxy_drain.hpp"
#include "drain/server_drain.hpp"
#include "idempotency/key_table.hpp"
#include "idempotency/proxy_messages.hpp"
#include "leases/lease_client.hpp"
#include "planning/drain_orders.hpp"
#include "planning/drain_waves.hpp"
#include "planning/forecast.hpp"
#include "planning/traffic_survey.hpp"
#include "quorum_contact/quorum_contact.hpp"
#include "quota/quota_messages.hpp"
#include "rollout/rollout_messages.hpp"
#include "server_registry/server_registry.hpp"
#include "transport/relay.hpp"
#include "usage/usage_totals.hpp"
#include "wire/codec.hpp"

namespace dockbend::test {

template <class T>
struct GoldenFields;  // no list for this record: add one below

#define DOCKBEND_GOLDEN_VISIT(r, data, field) visit(record.field);
#define DOCKBEND_GOLDEN_FIELDS(Type, ...)                                                    \
  template <>                                                                                \
  struct GoldenFields<Type> {                                                                \
    static std::size_t constexpr kCount = BOOST_PP_VARIADIC_SIZE(__VA_ARGS__);               \
    template <class Visit>                                                                   \
    static void each(Type& record, Visit visit) {                                            \
      BOOST_PP_SEQ_FOR_EACH(DOCKBEND_GOLDEN_VISIT, _, BOOST_PP_VARIADIC_TO_SEQ(__VA_ARGS__)) \
    }                                                                                        \
  };

DOCKBEND_GOLDEN_FIELDS(RelayRequest, ip)
DOCKBEND_GOLDEN_FIELDS(RelayResponse, ok)
DOCKBEND_GOLDEN_FIELDS(ConfigItem, key, gen, gone, body)
DOCKBEND_GOLDEN_FIELDS(Evacuation, zone, counter, on)
DOCKBEND_GOLDEN_FIELDS(schema::Selector, pathPrefix)
DOCKBEND_GOLDEN_FIELDS(schema::Share, service, gain)
DOCKBEND_GOLDEN_FIELDS(schema::Actuation, service, split, deadlineS, maxTries, homeRegions)
DOCKBEND_GOLDEN_FIELDS(schema::Policy, name, kind, setpointS, rank, keyless, generation, selector, actuation)
DOCKBEND_GOLDEN_FIELDS(schema::Socket, host, policy)
DOCKBEND_GOLDEN_FIELDS(schema::Pool, name, healthPath, connLimit, selfDedupes, coldS, coldRateS, generation)
DOCKBEND_GOLDEN_FIELDS(schema::Allowance, rate, burst, reserve)
DOCKBEND_GOLDEN_FIELDS(schema::Customer, name, keys, rank, homeRegions, allowance, generation)
DOCKBEND_GOLDEN_FIELDS(schema::Limits, headerBytes, bodyBytes, headerDeadlineS, idleTimeoutS, generation)
DOCKBEND_GOLDEN_FIELDS(schema::Upsert, limits, sockets, pools, customers)
DOCKBEND_GOLDEN_FIELDS(schema::ItemRemoval, name, generation)
DOCKBEND_GOLDEN_FIELDS(schema::Remove, routes, pools, services, customers)
DOCKBEND_GOLDEN_FIELDS(schema::AmendRequest, upsert, remove)
DOCKBEND_GOLDEN_FIELDS(schema::Heartbeat, service, address, zone, generation, capacity, state, coldLeftS, callSeq)
DOCKBEND_GOLDEN_FIELDS(schema::HeartbeatResponse, beatTarget)
DOCKBEND_GOLDEN_FIELDS(schema::ResolveResponse, addresses, ttlS)
DOCKBEND_GOLDEN_FIELDS(schema::ErrorResponse, error_response)
DOCKBEND_GOLDEN_FIELDS(ServerRecord, id, service, address, zone, capacity, state, seq, cold_left, owner, generation)
DOCKBEND_GOLDEN_FIELDS(HandshakeRequest, role, ip, zone, region, front, control, incarnation, node, accepted)
DOCKBEND_GOLDEN_FIELDS(HandshakeResponse, controllers, ballot, incarnation, accepted, wall)
DOCKBEND_GOLDEN_FIELDS(ProxyDrainStatus, stage, incarnation, keyed, uploads, since)
DOCKBEND_GOLDEN_FIELDS(DrainInstruction, stage, incarnation)
DOCKBEND_GOLDEN_FIELDS(ProxyHeartbeat, front, zone, region, ready, load, ballot, primary, drain, unmatched)
DOCKBEND_GOLDEN_FIELDS(ProxyRecord, front, zone, region, ready, load, age, gone, drain, current)
DOCKBEND_GOLDEN_FIELDS(ProxyGossip, rows, origin, relay, alive, marks)
DOCKBEND_GOLDEN_FIELDS(ZoneProxyCount, zone, n)
DOCKBEND_GOLDEN_FIELDS(ProxyHeartbeatResponse, sites, ballot, digest, in_contact, wall, relays, drain)
DOCKBEND_GOLDEN_FIELDS(ClockReading, wall)
DOCKBEND_GOLDEN_FIELDS(SubscribeRequest, on, have)
DOCKBEND_GOLDEN_FIELDS(StateUpdate, state, delta, rows_full, rows, sites)
DOCKBEND_GOLDEN_FIELDS(GossipDigest, digest, ballot, controllers, incarnation, accepted, wall, fit, node, contact_left)
DOCKBEND_GOLDEN_FIELDS(Member, ip, incarnation, zone, region, control, whole, since)
DOCKBEND_GOLDEN_FIELDS(RetiredMember, ip, incarnation)
DOCKBEND_GOLDEN_FIELDS(Lease, duty, holder, ip, fence, counter, next)
DOCKBEND_GOLDEN_FIELDS(FrozenUsageReport, window, body)
DOCKBEND_GOLDEN_FIELDS(DrainUnit, pass, name, node, wave, stage, incarnation)
DOCKBEND_GOLDEN_FIELDS(InitialServerCount, service, n)
DOCKBEND_GOLDEN_FIELDS(DrainRun, id, servers, state, headroom, max_out, patience, replaced, why, had, total, back,
                       digest, heard, turn)
DOCKBEND_GOLDEN_FIELDS(ReplicatedState, ballot, epoch, items, evacuations, membership, duties, to_fix, fixed, open,
                       passes, units, previous_membership, largest_membership, retired)
DOCKBEND_GOLDEN_FIELDS(StateDelta, base, ballot, epoch, items, evacuations_set, evacuations, membership_set, membership,
                       duties_set, duties, to_fix, fixed_set, fixed, open, passes_set, passes, units,
                       previous_membership_set, previous_membership, largest_membership, retired)
DOCKBEND_GOLDEN_FIELDS(PrepareRequest, ballot, have, incarnation)
DOCKBEND_GOLDEN_FIELDS(PrepareResponse, is_promised, ballot, promised, accepted, has_complete_state, state, incarnation,
                       delta)
DOCKBEND_GOLDEN_FIELDS(AcceptRequest, ballot, incarnation, delta, state)
DOCKBEND_GOLDEN_FIELDS(AcceptResponse, is_accepted, ballot, promised, needs_complete_state, incarnation, have)
DOCKBEND_GOLDEN_FIELDS(CommitNotice, ballot, delta, state)
DOCKBEND_GOLDEN_FIELDS(CatchUpRequest, have, committed, chunk_ballot, chunk_after)
DOCKBEND_GOLDEN_FIELDS(StateChunk, base, after, upto, last, sum, count, part)
DOCKBEND_GOLDEN_FIELDS(StateRow, key, body, gone)
DOCKBEND_GOLDEN_FIELDS(VoteHeader, incarnation, promised, has_value, ballot, epoch, open, to_fix, sum, count, seq,
                       largest_membership)
DOCKBEND_GOLDEN_FIELDS(ClaimRequest, key, holder, epoch, incarnation, work_ms, split, client)
DOCKBEND_GOLDEN_FIELDS(ClaimResponse, vote, holder, epoch, incarnation, in_progress, held_by)
DOCKBEND_GOLDEN_FIELDS(ReleaseRequest, key, holder, split, client)
DOCKBEND_GOLDEN_FIELDS(StoredAnswer, key, holder, code, reason, headers, body, lost, homes, split)
DOCKBEND_GOLDEN_FIELDS(FetchAnswerRequest, key, holders, split)
DOCKBEND_GOLDEN_FIELDS(FetchAnswerResponse, found, stored_answer)
DOCKBEND_GOLDEN_FIELDS(KeyCopyRequest, epoch, part, after, pages)
DOCKBEND_GOLDEN_FIELDS(HeldKey, key, holder, split)
DOCKBEND_GOLDEN_FIELDS(KeyCopyResponse, ok, incarnation, keys, epoch, after, has_more)
DOCKBEND_GOLDEN_FIELDS(AcquireKeyRequest, key, holder, work_ms, homes, split, client)
DOCKBEND_GOLDEN_FIELDS(AcquireKeyResponse, result, stored_answer, holder)
DOCKBEND_GOLDEN_FIELDS(KeyOutcomeNotice, key, holder, outcome, homes, stored_answer, split, client)
DOCKBEND_GOLDEN_FIELDS(ProxyLoadReport, ready, load, draining, front, drain)
DOCKBEND_GOLDEN_FIELDS(ContactProbeResponse, incarnation, ballot, time_left)
DOCKBEND_GOLDEN_FIELDS(StageRequest, id, drop, for_ms, items)
DOCKBEND_GOLDEN_FIELDS(StageForwardRequest, sites, hold)
DOCKBEND_GOLDEN_FIELDS(StageResponse, id, holds, front)
DOCKBEND_GOLDEN_FIELDS(RolloutStatusNotice, id, at, phase, stage, stages, wanted, holding, items, age)
DOCKBEND_GOLDEN_FIELDS(UsageRow, incarnation, window, tenants, counts)
DOCKBEND_GOLDEN_FIELDS(UsageUpdate, rows)
DOCKBEND_GOLDEN_FIELDS(QuotaDemand, tenant, high, low, back, spent, refused)
DOCKBEND_GOLDEN_FIELDS(QuotaLeaseRequest, incarnation, seq, front, wants)
DOCKBEND_GOLDEN_FIELDS(QuotaLease, tenant, high, low, wait, for_ms, proxies)
DOCKBEND_GOLDEN_FIELDS(QuotaLeaseResponse, incarnation, seq, lender, loans)
DOCKBEND_GOLDEN_FIELDS(HandOverCommand, duty, node, fence)
DOCKBEND_GOLDEN_FIELDS(SurveyRequest, id, held, servers)
DOCKBEND_GOLDEN_FIELDS(RouteRate, route, pool, rate, bulky, homes)
DOCKBEND_GOLDEN_FIELDS(ZoneSendRate, route, zone, rate)
DOCKBEND_GOLDEN_FIELDS(ServerLatency, id, lat, dev, told)
DOCKBEND_GOLDEN_FIELDS(DiscardCount, cause, n)
DOCKBEND_GOLDEN_FIELDS(TrafficSurvey, id, front, zone, region, span, routes, sent, speeds, node, held, dropped)
DOCKBEND_GOLDEN_FIELDS(StoreDeparturesRequest, records)
DOCKBEND_GOLDEN_FIELDS(StoreDeparturesResponse, incarnation)
DOCKBEND_GOLDEN_FIELDS(ServerDeparture, id, service, zone, uploads, bytes, keyed, sessions)
DOCKBEND_GOLDEN_FIELDS(RotationPlan, takenAt, maxUnavailable, headroom, partial, order, lacks, worst, fits)
DOCKBEND_GOLDEN_FIELDS(KindRate, region, kind, now, after)
DOCKBEND_GOLDEN_FIELDS(RegionForecast, region, nodes, now, load, peak)
DOCKBEND_GOLDEN_FIELDS(DrainWave, fronts, nodes, regions, kinds)
DOCKBEND_GOLDEN_FIELDS(CapacityShortfall, region, kind, rate, load, wanted)
DOCKBEND_GOLDEN_FIELDS(DrainWavePlan, takenAt, headroom, silent, partial, waves, lacks, fits)
DOCKBEND_GOLDEN_FIELDS(ZoneSnapshot, zone, region, proxies, evacuated)
DOCKBEND_GOLDEN_FIELDS(ServerSnapshot, id, service, zone, capacity, ready, coldLeftS, generation)
DOCKBEND_GOLDEN_FIELDS(ServiceSnapshot, name, connLimit, coldRateS)
DOCKBEND_GOLDEN_FIELDS(RouteSnapshot, name, kind, rank, setpointS, homes)
DOCKBEND_GOLDEN_FIELDS(ProxySnapshot, front, node, zone, region, ready, load)
DOCKBEND_GOLDEN_FIELDS(FleetSnapshot, takenAt, node, settled, beatPeriodS, zones, servers, pools, routes, surveys,
                       silent, sites)
DOCKBEND_GOLDEN_FIELDS(RouteFlow, zone, route, kind, now, after)
DOCKBEND_GOLDEN_FIELDS(ZoneUtilization, zone, service, servers, slots, usedNow, usedAfter, overloaded)
DOCKBEND_GOLDEN_FIELDS(UnservedRate, route, kind, rate, homeless)
DOCKBEND_GOLDEN_FIELDS(EvacuationForecast, takenAt, gone, proxiesHeard, silent, partial, flows, loads, unserved, fits)
DOCKBEND_GOLDEN_FIELDS(ForecastDifference, zone, route, predicted, received, difference)
DOCKBEND_GOLDEN_FIELDS(OpenWork, id, uploads, bytes, age, keyed, sessions)
DOCKBEND_GOLDEN_FIELDS(DrainOrderUnit, name, node, wave)
DOCKBEND_GOLDEN_FIELDS(DrainOrder, id, servers, headroom, maxUnavailable, patienceS, replaced, units, had)
DOCKBEND_GOLDEN_FIELDS(RegionCapacity, region, nodes, load)

// Fills fields with distinct values that are not zero and need the whole width of their type.
class Filler {
 public:
  // most_bits: of a whole number, for JSON takes no more than 32 bits for some.
  explicit Filler(unsigned most_bits = 64) : most_bits_(most_bits) {}
  template <class T>
  void fill(T& x) {
    if constexpr (json::IsOptional<T>::value) {
      x.emplace();
      fill(*x);
    } else if constexpr (codec::IsStrong<T>::value) {
      fill(x.v);
    } else if constexpr (codec::IsVector<T>::value) {
      x.resize(2);
      for (auto& element : x)
        fill(element);
    } else if constexpr (codec::Record<T>) {
      fill_first(x, GoldenFields<T>::kCount);
    } else if constexpr (std::is_same_v<T, std::string>) {
      x = "text-" + std::to_string(++last_);
    } else if constexpr (std::is_floating_point_v<T>) {
      x = static_cast<T>(++last_) + 0.5;
    } else if constexpr (std::is_same_v<T, bool>) {
      x = true;
    } else if constexpr (std::is_enum_v<T>) {
      x = static_cast<T>(1 + ++last_ % 4);
    } else {
      static_assert(std::is_unsigned_v<T>);
      // The top bit but one: a narrower type could not hold it.
      unsigned const bits = std::min<unsigned>(sizeof(T) * 8, most_bits_);
      x = static_cast<T>((T{1} << (bits - 2)) + static_cast<T>(++last_));
    }
  }
  // Only the first fields, as an older sender that does not know the others.
  template <codec::Record T>
  void fill_first(T& record, std::size_t fields) {
    static_assert(GoldenFields<T>::kCount == decltype(boost::hana::size(boost::hana::accessors<T>()))::value);
    std::size_t place = 0;
    GoldenFields<T>::each(record, [&](auto& field) {
      if (place++ < fields) fill(field);
    });
  }

 private:
  unsigned most_bits_;
  u64 last_ = 0;
};

template <class T>
T filled(unsigned most_bits = 64) {
  T record{};
  Filler(most_bits).fill(record);
  return record;
}
template <class T>
T filled_first(std::size_t fields) {
  T record{};
  Filler().fill_first(record, fields);
  return record;
}

}  // namespace dockbend::test
