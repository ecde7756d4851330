// The roll of servers: soft state that nodes pass on and mend by digests. It is
// rebuilt from the servers' own beats.
#pragma once
#include <optional>
#include <unordered_map>
#include "base/record.hpp"

#include "wire/codec.hpp"

namespace dockbend {

enum class ServerState : u8 { ready = 1, draining = 2, gone = 3 };

// What is passed on of one server's life. Invariants: an id names one life for
// ever; of two rows of one id the higher seq holds, at one seq the higher
// standing; `left` (a seq no beat reaches) is final.
struct ServerRecord {
  DB_RECORD(ServerRecord, (std::string, id), (std::string, service), (std::string, address), (std::string, zone),
            (double, capacity), (ServerState, state), (u64, seq), (double, cold_left), (std::string, owner),
            (std::string, generation));
};

u64 constexpr kDepartedSequence = ~0ULL >> 1;

class ServerRegistry {
 public:
  struct Entry {
    ServerRecord row;
    Seconds cold_until = 0;
    Seconds changed = 0;  // when we last learned something of it
    Seconds beat = 0;     // when its owner last heard it (owner only)
  };

  // From our own disk, after a start: nobody is late yet.
  void load(ServerRecord const& r, Seconds now);
  // True if the row is news that others and the proxies should hear of.
  bool join(ServerRecord const& r, Seconds now);
  // A beat heard here: true if others should hear of it.
  bool beat(ServerRecord r, std::string const& me, Seconds now);
  // Owner only: rows silent for too long become gone; they are returned.
  std::vector<ServerRecord> expire(std::string const& me, Seconds silent, Seconds now);
  // Rows whose owner was last heard before `since` become gone here.
  std::vector<ServerRecord> expire_of(std::string const& owner, Seconds now);
  // After a stall of our own, nobody is late.
  void forgive(Seconds now);
  void purge(Seconds older, Seconds now);  // forget tombstones

  std::vector<ServerRecord> all(Seconds now) const;
  std::vector<ServerRecord> changed_since(Seconds at, Seconds now) const;  // at or after `at`
  std::optional<ServerRecord> get(std::string const& id, Seconds now) const;
  u64 digest() const { return digest_; }
  std::unordered_map<std::string, Entry> const& entries() const { return m_; }
  // Rows that the whole lacks become gone here; their ids are returned.
  std::vector<std::string> drop_absent(std::vector<ServerRecord> const& full, Seconds older, Seconds now);

 private:
  static u64 mark(ServerRecord const& r);
  void put(Entry& e, ServerRecord const& r, Seconds now);
  std::unordered_map<std::string, Entry> m_;
  u64 digest_ = 0;  // sum of the marks of rows not gone
};

// Wire messages of the agents and directories.
struct HandshakeRequest {
  DB_RECORD(HandshakeRequest, (u32, role), (std::string, ip), (std::string, zone), (std::string, region),
            (std::string, front), (u32, control), (Incarnation, incarnation), (std::string, node), (Ballot, accepted));
};
struct HandshakeResponse {
  DB_RECORD(HandshakeResponse, (std::vector<std::string>, controllers), (Ballot, ballot), (Incarnation, incarnation),
            (Ballot, accepted), (double, wall));
};
// What a proxy that is being drained says of itself; all zero otherwise, and so not sent.
// Invariant: keyed and uploads count what is open, and keyed also what was answered so
// lately that its answer may not be stored yet; since is how long ago, by its own clock, it
// was first told that the directories name it no more.
struct ProxyDrainStatus {
  DB_RECORD(ProxyDrainStatus, (u32, stage), (u64, incarnation), (u32, keyed), (u32, uploads), (double, since));
};
// What it is told: to drain, if it is the life that is meant.
struct DrainInstruction {
  DB_RECORD(DrainInstruction, (u32, stage), (u64, incarnation));
};
// Registration and keepalive. primary: this directory tells the others of the site. strays:
// what its agent has dropped because no open question fits it.
struct ProxyHeartbeat {
  DB_RECORD(ProxyHeartbeat, (std::string, front), (std::string, zone), (std::string, region), (bool, ready),
            (double, load), (Ballot, ballot), (bool, primary), (ProxyDrainStatus, drain), (u64, unmatched));
};
// What a directory tells its mates of the sites it is the primary of. age: since the
// site was last heard, so that a row ends when it would have ended there.
struct ProxyRecord {
  DB_RECORD(ProxyRecord, (std::string, front), (std::string, zone), (std::string, region), (bool, ready),
            (double, load), (double, age), (bool, gone), (ProxyDrainStatus, drain), (bool, current));
};
// For other regions: only what changed, and that all the others are as they were. relay: to be
// passed on to the receiver's region; marks: of the fronts that origin is the primary of.
struct ProxyGossip {
  DB_RECORD(ProxyGossip, (std::vector<ProxyRecord>, rows), (std::string, origin), (bool, relay), (bool, alive),
            (u64, marks));
};
struct ZoneProxyCount {
  DB_RECORD(ZoneProxyCount, (std::string, zone), (u32, n));
};
struct ProxyHeartbeatResponse {
  DB_RECORD(ProxyHeartbeatResponse, (std::vector<ZoneProxyCount>, sites), (Ballot, ballot), (u64, digest),
            (bool, in_contact), (double, wall), (std::vector<std::string>, relays), (DrainInstruction, drain));
};
// True time, as the agent knows it, for its proxy.
struct ClockReading {
  DB_RECORD(ClockReading, (double, wall));
};
struct SubscribeRequest {
  DB_RECORD(SubscribeRequest, (bool, on), (Ballot, have));
};
struct StateUpdate {
  DB_RECORD(StateUpdate, (std::string, state), (std::string, delta), (bool, rows_full),
            (std::vector<ServerRecord>, rows), (std::vector<ZoneProxyCount>, sites));
};
struct GossipDigest {
  DB_RECORD(GossipDigest, (u64, digest), (Ballot, ballot), (std::vector<std::string>, controllers),
            (Incarnation, incarnation), (Ballot, accepted), (double, wall), (bool, fit), (std::string, node),
            (double, contact_left));
};

// Tells a lasting difference of two rolls from news that is still on its way: the
// whole is sent only if both sides stood still and yet differ, or differed for long.
class DigestMismatchDetector {
 public:
  // True if the whole should be fetched now.
  bool hear(u64 mine, u64 theirs) {
    if (mine == theirs) {
      n_ = still_ = 0;
      return false;
    }
    ++n_;
    still_ = mine == mine_ && theirs == theirs_ ? still_ + 1 : 0;
    mine_ = mine;
    theirs_ = theirs;
    if (still_ < 1 && n_ < 8) return false;
    n_ = still_ = 0;
    return true;
  }
  void reset() { *this = DigestMismatchDetector(); }

 private:
  int n_ = 0, still_ = 0;
  u64 mine_ = 0, theirs_ = 0;
};

}  // namespace dockbend
