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
#include "quota/quota.hpp"
#include "rollout/rollout.hpp"
#include "server_registry/server_registry.hpp"
#include "transport/transport.hpp"
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

DOCKBEND_GOLDEN_FIELDS(ViaAsk, ip)
DOCKBEND_GOLDEN_FIELDS(ViaR, ok)
DOCKBEND_GOLDEN_FIELDS(Item, key, gen, gone, body)
DOCKBEND_GOLDEN_FIELDS(Evac, zone, counter, on)
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
DOCKBEND_GOLDEN_FIELDS(schema::Drop, name, generation)
DOCKBEND_GOLDEN_FIELDS(schema::Remove, routes, pools, services, customers)
DOCKBEND_GOLDEN_FIELDS(schema::Amend, upsert, remove)
DOCKBEND_GOLDEN_FIELDS(schema::Heartbeat, service, address, zone, generation, capacity, state, coldLeftS, callSeq)
DOCKBEND_GOLDEN_FIELDS(schema::HeartbeatRet, beatTarget)
DOCKBEND_GOLDEN_FIELDS(schema::ResolveRet, addresses, ttlS)
DOCKBEND_GOLDEN_FIELDS(schema::FaultRet, fault)
DOCKBEND_GOLDEN_FIELDS(Row, id, service, address, zone, capacity, state, seq, cold_left, owner, generation)
DOCKBEND_GOLDEN_FIELDS(Hello, role, ip, zone, region, front, control, life, node, accepted)
DOCKBEND_GOLDEN_FIELDS(HelloR, mates, bal, life, accepted, wall)
DOCKBEND_GOLDEN_FIELDS(DrainWord, stage, life, keyed, uploads, since)
DOCKBEND_GOLDEN_FIELDS(DrainSaid, stage, life)
DOCKBEND_GOLDEN_FIELDS(SiteBeat, front, zone, region, ready, load, bal, primary, drain, strays)
DOCKBEND_GOLDEN_FIELDS(SiteRow, front, zone, region, ready, load, age, gone, drain, current)
DOCKBEND_GOLDEN_FIELDS(SiteNote, rows, origin, relay, alive, marks)
DOCKBEND_GOLDEN_FIELDS(ZoneCount, zone, n)
DOCKBEND_GOLDEN_FIELDS(SiteBeatR, sites, bal, digest, in_contact, wall, relays, drain)
DOCKBEND_GOLDEN_FIELDS(ClockSaid, wall)
DOCKBEND_GOLDEN_FIELDS(Feed, on, have)
DOCKBEND_GOLDEN_FIELDS(News, state, delta, rows_full, rows, sites)
DOCKBEND_GOLDEN_FIELDS(Digest, digest, bal, mates, life, accepted, wall, fit, node, contact_left)
DOCKBEND_GOLDEN_FIELDS(Member, ip, life, zone, region, control, whole, since)
DOCKBEND_GOLDEN_FIELDS(Retired, ip, life)
DOCKBEND_GOLDEN_FIELDS(Term, duty, holder, ip, fence, counter, next)
DOCKBEND_GOLDEN_FIELDS(FixedWindow, window, body)
DOCKBEND_GOLDEN_FIELDS(Unit, pass, name, node, wave, stage, life)
DOCKBEND_GOLDEN_FIELDS(Had, service, n)
DOCKBEND_GOLDEN_FIELDS(Pass, id, servers, state, headroom, max_out, patience, replaced, why, had, total, back, digest,
                       heard, turn)
DOCKBEND_GOLDEN_FIELDS(State, bal, epoch, items, evacs, roster, duties, to_fix, fixed, open, passes, units, was, widest,
                       retired)
DOCKBEND_GOLDEN_FIELDS(Delta, base, bal, epoch, items, evacs_set, evacs, roster_set, roster, duties_set, duties, to_fix,
                       fixed_set, fixed, open, passes_set, passes, units, was_set, was, widest, retired)
DOCKBEND_GOLDEN_FIELDS(Prep, bal, have, life)
DOCKBEND_GOLDEN_FIELDS(PrepR, ok, bal, promised, accepted, full, state, life, delta)
DOCKBEND_GOLDEN_FIELDS(Acc, bal, life, delta, state)
DOCKBEND_GOLDEN_FIELDS(AccR, ok, bal, promised, want_full, life, have)
DOCKBEND_GOLDEN_FIELDS(Commit, bal, delta, state)
DOCKBEND_GOLDEN_FIELDS(Pull, have, won, part, after)
DOCKBEND_GOLDEN_FIELDS(Piece, base, after, upto, last, sum, count, part)
DOCKBEND_GOLDEN_FIELDS(ValueRow, key, body, gone)
DOCKBEND_GOLDEN_FIELDS(Head, life, promised, has, bal, epoch, open, to_fix, sum, count, seq, widest)
DOCKBEND_GOLDEN_FIELDS(Claim, key, holder, epoch, life, work_ms)
DOCKBEND_GOLDEN_FIELDS(ClaimR, say, holder, epoch, life, at_work)
DOCKBEND_GOLDEN_FIELDS(Release, key, holder)
DOCKBEND_GOLDEN_FIELDS(Return, key, holder, code, reason, heads, body, lost, homes)
DOCKBEND_GOLDEN_FIELDS(Fetch, key)
DOCKBEND_GOLDEN_FIELDS(FetchR, have, ret)
DOCKBEND_GOLDEN_FIELDS(Rebuild, epoch, part)
DOCKBEND_GOLDEN_FIELDS(HeldKey, key, holder)
DOCKBEND_GOLDEN_FIELDS(RebuildR, ok, life, keys, epoch)
DOCKBEND_GOLDEN_FIELDS(Ask, key, holder, work_ms, homes)
DOCKBEND_GOLDEN_FIELDS(AskR, leave, ret, holder)
DOCKBEND_GOLDEN_FIELDS(Told, key, holder, outcome, homes, ret)
DOCKBEND_GOLDEN_FIELDS(Load, ready, load, draining, front, drain)
DOCKBEND_GOLDEN_FIELDS(ProbeR, life, bal, left)
DOCKBEND_GOLDEN_FIELDS(Hold, id, drop, for_ms, items)
DOCKBEND_GOLDEN_FIELDS(HoldFor, sites, hold)
DOCKBEND_GOLDEN_FIELDS(HoldR, id, holds, front)
DOCKBEND_GOLDEN_FIELDS(RollNote, id, at, phase, stage, stages, wanted, holding, items, age)
DOCKBEND_GOLDEN_FIELDS(TallyRow, life, window, tenants, counts)
DOCKBEND_GOLDEN_FIELDS(TallyNote, rows)
DOCKBEND_GOLDEN_FIELDS(Want, tenant, high, low, back, spent, refused)
DOCKBEND_GOLDEN_FIELDS(LoanAsk, life, seq, front, wants)
DOCKBEND_GOLDEN_FIELDS(Loan, tenant, high, low, wait, for_ms, proxies)
DOCKBEND_GOLDEN_FIELDS(LoanRet, life, seq, lender, loans)
DOCKBEND_GOLDEN_FIELDS(DutyCmd, duty, node, fence)
DOCKBEND_GOLDEN_FIELDS(SurveyAsk, id, held, servers)
DOCKBEND_GOLDEN_FIELDS(LaneRate, lane, pool, rate, bulky, homes)
DOCKBEND_GOLDEN_FIELDS(SentRate, lane, zone, rate)
DOCKBEND_GOLDEN_FIELDS(Speed, id, lat, dev, told)
DOCKBEND_GOLDEN_FIELDS(Dropped, cause, n)
DOCKBEND_GOLDEN_FIELDS(Survey, id, front, zone, region, span, lanes, sent, speeds, node, held, dropped)
DOCKBEND_GOLDEN_FIELDS(Leaving, id, service, zone, uploads, bytes, keyed, sessions)
DOCKBEND_GOLDEN_FIELDS(RotationPlan, takenAt, maxUnavailable, headroom, partial, order, lacks, worst, fits)
DOCKBEND_GOLDEN_FIELDS(KindRate, region, kind, now, after)
DOCKBEND_GOLDEN_FIELDS(RegionAfter, region, nodes, now, load, peak)
DOCKBEND_GOLDEN_FIELDS(Wave, fronts, nodes, regions, kinds)
DOCKBEND_GOLDEN_FIELDS(Lack, region, kind, rate, load, wanted)
DOCKBEND_GOLDEN_FIELDS(WavePlan, takenAt, headroom, silent, partial, waves, lacks, fits)
DOCKBEND_GOLDEN_FIELDS(CapZone, zone, region, proxies, evacuated)
DOCKBEND_GOLDEN_FIELDS(CapServer, id, service, zone, capacity, ready, coldLeftS, generation)
DOCKBEND_GOLDEN_FIELDS(CapPool, name, connLimit, coldRateS)
DOCKBEND_GOLDEN_FIELDS(CapLane, name, kind, rank, setpointS, homes)
DOCKBEND_GOLDEN_FIELDS(CapSite, front, node, zone, region, ready, load)
DOCKBEND_GOLDEN_FIELDS(Capture, takenAt, node, settled, beatPeriodS, zones, servers, pools, lanes, surveys, silent,
                       sites)
DOCKBEND_GOLDEN_FIELDS(LaneFlow, zone, lane, kind, now, after)
DOCKBEND_GOLDEN_FIELDS(ZoneLoad, zone, service, servers, slots, usedNow, usedAfter, overloaded)
DOCKBEND_GOLDEN_FIELDS(Unserved, lane, kind, rate, homeless)
DOCKBEND_GOLDEN_FIELDS(Forecast, takenAt, gone, proxiesHeard, silent, partial, flows, loads, unserved, fits)
DOCKBEND_GOLDEN_FIELDS(Difference, zone, lane, predicted, received, difference)
DOCKBEND_GOLDEN_FIELDS(Held, id, uploads, bytes, age, keyed, sessions)
DOCKBEND_GOLDEN_FIELDS(OrderUnit, name, node, wave)
DOCKBEND_GOLDEN_FIELDS(Order, id, servers, headroom, maxUnavailable, patienceS, replaced, units, had)
DOCKBEND_GOLDEN_FIELDS(RegionRoom, region, nodes, load)

// Fills fields with distinct values that are not zero and need the whole width of their type.
class Filler {
 public:
  // most_bits: of a whole number, for JSON takes no more than 32 bits for some.
  explicit Filler(unsigned most_bits = 64) : most_bits_(most_bits) {}
  template <class T>
  void fill(T& x) {
    if constexpr (json::IsOpt<T>::value) {
      x.emplace();
      fill(*x);
    } else if constexpr (codec::IsStrong<T>::value) {
      fill(x.v);
    } else if constexpr (codec::IsVec<T>::value) {
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
