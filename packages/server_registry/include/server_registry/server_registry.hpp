// The roll of servers: soft state that nodes pass on and mend by digests. It is
// rebuilt from the servers' own beats.
#pragma once
#include <optional>
#include <unordered_map>
#include "base/record.hpp"

#include "wire/codec.hpp"

namespace dockbend {

enum class Standing : u8 { ready = 1, draining = 2, gone = 3 };

// What is passed on of one server's life. Invariants: an id names one life for
// ever; of two rows of one id the higher seq holds, at one seq the higher
// standing; `left` (a seq no beat reaches) is final.
struct Row {
  DB_RECORD(Row, (std::string, id), (std::string, service), (std::string, address), (std::string, zone),
            (double, capacity), (Standing, state), (u64, seq), (double, cold_left), (std::string, owner),
            (std::string, generation));
};

u64 constexpr left_seq = ~0ULL >> 1;

class Roll {
 public:
  struct Entry {
    Row row;
    Secs cold_until = 0;
    Secs changed = 0;  // when we last learned something of it
    Secs beat = 0;     // when its owner last heard it (owner only)
  };

  // From our own disk, after a start: nobody is late yet.
  void load(Row const& r, Secs now);
  // True if the row is news that others and the proxies should hear of.
  bool join(Row const& r, Secs now);
  // A beat heard here: true if others should hear of it.
  bool beat(Row r, std::string const& me, Secs now);
  // Owner only: rows silent for too long become gone; they are returned.
  std::vector<Row> expire(std::string const& me, Secs silent, Secs now);
  // Rows whose owner was last heard before `since` become gone here.
  std::vector<Row> expire_of(std::string const& owner, Secs now);
  // After a stall of our own, nobody is late.
  void forgive(Secs now);
  void purge(Secs older, Secs now);  // forget tombstones

  std::vector<Row> all(Secs now) const;
  std::vector<Row> changed_since(Secs at, Secs now) const;  // at or after `at`
  std::optional<Row> get(std::string const& id, Secs now) const;
  u64 digest() const { return digest_; }
  std::unordered_map<std::string, Entry> const& entries() const { return m_; }
  // Rows that the whole lacks become gone here; their ids are returned.
  std::vector<std::string> drop_absent(std::vector<Row> const& full, Secs older, Secs now);

 private:
  static u64 mark(Row const& r);
  void put(Entry& e, Row const& r, Secs now);
  std::unordered_map<std::string, Entry> m_;
  u64 digest_ = 0;  // sum of the marks of rows not gone
};

// Wire messages of the agents and directories.
struct Hello {
  DB_RECORD(Hello, (u32, role), (std::string, ip), (std::string, zone), (std::string, region), (std::string, front),
            (u32, control), (Life, life), (std::string, node), (Ballot, accepted));
};
struct HelloR {
  DB_RECORD(HelloR, (std::vector<std::string>, mates), (Ballot, bal), (Life, life), (Ballot, accepted), (double, wall));
};
// What a proxy that is being drained says of itself; all zero otherwise, and so not sent.
// Invariant: keyed and uploads count what is open, and keyed also what was answered so
// lately that its answer may not be stored yet; since is how long ago, by its own clock, it
// was first told that the directories name it no more.
struct DrainWord {
  DB_RECORD(DrainWord, (u32, stage), (u64, life), (u32, keyed), (u32, uploads), (double, since));
};
// What it is told: to drain, if it is the life that is meant.
struct DrainSaid {
  DB_RECORD(DrainSaid, (u32, stage), (u64, life));
};
// Registration and keepalive. primary: this directory tells the others of the site. strays:
// what its agent has dropped because no open question fits it.
struct SiteBeat {
  DB_RECORD(SiteBeat, (std::string, front), (std::string, zone), (std::string, region), (bool, ready), (double, load),
            (Ballot, bal), (bool, primary), (DrainWord, drain), (u64, strays));
};
// What a directory tells its mates of the sites it is the primary of. age: since the
// site was last heard, so that a row ends when it would have ended there.
struct SiteRow {
  DB_RECORD(SiteRow, (std::string, front), (std::string, zone), (std::string, region), (bool, ready), (double, load),
            (double, age), (bool, gone), (DrainWord, drain), (bool, current));
};
// For other regions: only what changed, and that all the others are as they were. relay: to be
// passed on to the receiver's region; marks: of the fronts that origin is the primary of.
struct SiteNote {
  DB_RECORD(SiteNote, (std::vector<SiteRow>, rows), (std::string, origin), (bool, relay), (bool, alive), (u64, marks));
};
struct ZoneCount {
  DB_RECORD(ZoneCount, (std::string, zone), (u32, n));
};
struct SiteBeatR {
  DB_RECORD(SiteBeatR, (std::vector<ZoneCount>, sites), (Ballot, bal), (u64, digest), (bool, in_contact),
            (double, wall), (std::vector<std::string>, relays), (DrainSaid, drain));
};
// True time, as the agent knows it, for its proxy.
struct ClockSaid {
  DB_RECORD(ClockSaid, (double, wall));
};
struct Feed {
  DB_RECORD(Feed, (bool, on), (Ballot, have));
};
struct News {
  DB_RECORD(News, (std::string, state), (std::string, delta), (bool, rows_full), (std::vector<Row>, rows),
            (std::vector<ZoneCount>, sites));
};
struct Digest {
  DB_RECORD(Digest, (u64, digest), (Ballot, bal), (std::vector<std::string>, mates), (Life, life), (Ballot, accepted),
            (double, wall), (bool, fit), (std::string, node), (double, contact_left));
};

// Tells a lasting difference of two rolls from news that is still on its way: the
// whole is sent only if both sides stood still and yet differ, or differed for long.
class Mismatch {
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
  void reset() { *this = Mismatch(); }

 private:
  int n_ = 0, still_ = 0;
  u64 mine_ = 0, theirs_ = 0;
};

}  // namespace dockbend
