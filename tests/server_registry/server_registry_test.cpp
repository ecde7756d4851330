#include <criterion/criterion.h>

#include <random>

#include <set>

#include "directory/directory.hpp"
#include "server_registry/server_registry.hpp"

using namespace dockbend;

namespace {
ServerRecord row(std::string id, u64 seq, ServerState s = ServerState::ready) {
  ServerRecord r{};
  r.id = std::move(id);
  r.service = "p";
  r.address = "10.0.0.9:80";
  r.zone = "n1";
  r.capacity = 2;
  r.seq = seq;
  r.state = s;
  r.owner = "me";
  return r;
}
}  // namespace

Test(roll, a_late_beat_changes_nothing) {
  ServerRegistry r;
  r.beat(row("a", 5), "me", 0);
  cr_assert(r.beat(row("a", 6, ServerState::draining), "me", 1));
  cr_assert_not(r.beat(row("a", 5), "me", 2));
  cr_assert(r.get("a", 2)->state == ServerState::draining);
  ServerRecord left = row("a", kDepartedSequence, ServerState::gone);
  cr_assert(r.join(left, 3));
  cr_assert_not(r.beat(row("a", 7), "me", 4), "what left stays gone");
}

Test(roll, silence_ends_a_row_and_a_beat_revives_it) {
  ServerRegistry r;
  r.beat(row("a", 1), "me", 0);
  cr_assert(r.expire("me", 4.5, 4).empty());
  cr_assert_eq(r.expire("me", 4.5, 5).size(), 1u);
  cr_assert(r.beat(row("a", 2), "me", 6));
  cr_assert(r.get("a", 6)->state == ServerState::ready);
  r.forgive(20);
  cr_assert(r.expire("me", 4.5, 21).empty(), "after a stall of our own nobody is late");
}

// News in any order, some twice, some lost and mended by a full table: all end alike.
Test(roll, any_order_ends_in_one_table) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 rnd(seed);
    std::vector<ServerRecord> news;
    for (int i = 0; i < 40; ++i) {
      ServerState const s = static_cast<ServerState>(1 + rnd() % 3);
      ServerRecord r = row("s" + std::to_string(rnd() % 6), static_cast<u64>(i), s);
      r.owner = "o" + std::to_string(rnd() % 2);
      news.push_back(r);
    }
    ServerRegistry a, b;
    for (ServerRecord const& r : news)
      a.join(r, 0);
    std::shuffle(news.begin(), news.end(), rnd);
    for (ServerRecord const& r : news)
      if (rnd() % 4 != 0) b.join(r, 0);
    for (ServerRecord const& r : a.all(0))
      b.join(r, 0);
    cr_assert_eq(a.digest(), b.digest(), "seed %u", seed);
  }
}

Test(catalog, rows_drop_after_missed_keepalives_and_lists_stay_short) {
  Directory<NearestSelector> c(3.0);
  for (int i = 0; i < 6; ++i) {
    ProxyEntry s{};
    s.front = "10.0.0." + std::to_string(i) + ":80";
    s.zone = i < 4 ? "n1" : "s1";
    s.region = i < 4 ? "north" : "south";
    s.ready = true;
    s.heard = i == 0 ? 0 : 2;
    c.keep(s);
  }
  cr_assert_eq(c.resolve({"n1", "north"}).size(), 2u);
  c.expire(3.5);
  cr_assert_eq(c.rows().size(), 5u);
  for (ProxyEntry const* s : c.resolve({"n1", "north"}))
    cr_assert_str_eq(s->zone.c_str(), "n1");
  ProxyEntry o;
  o.front = "10.0.1.0:80";
  o.zone = "n2";
  o.region = "north";
  o.ready = true;
  o.heard = 3;
  c.keep(o);
  auto const l = c.resolve({"n1", "north"});
  cr_assert_eq(l.size(), 3u);
  cr_assert_eq(std::count_if(l.begin(), l.end(), [](ProxyEntry const* s) { return s->zone == "n2"; }), 1,
               "not all in one zone");
  c.expire(9);
  cr_assert(c.resolve({"n1", "north"}).empty());
}

// News on its way makes two rolls differ for a moment; only a lasting difference counts.
// Who begins to be fed gets the whole as it was a moment ago and then what changed since:
// together they are the whole as it is.
Test(roll, an_old_whole_and_what_changed_since_are_the_whole) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 rnd(seed);
    ServerRegistry a, b;
    std::vector<ServerRecord> whole;
    Seconds const at = 5;
    for (int t = 0; t <= 10; ++t) {
      if (t == 5) whole = a.all(t);
      for (int k = 0; k < 4; ++k) {
        ServerRecord r;
        r.id = "s" + std::to_string(rnd() % 12);
        r.service = "p";
        r.address = "10.0.0.1:" + std::to_string(1 + rnd() % 3);
        r.state = static_cast<ServerState>(1 + rnd() % 3);
        r.seq = static_cast<u64>(t) * 10 + k;
        a.join(r, t);
      }
    }
    for (ServerRecord const& r : whole)
      b.join(r, 10);
    for (ServerRecord const& r : a.changed_since(at, 10))
      b.join(r, 10);
    cr_assert_eq(a.digest(), b.digest(), "seed %u", seed);
  }
}

Test(roll, a_passing_difference_is_no_mismatch) {
  DigestMismatchDetector m;
  for (u64 i = 0; i < 7; ++i)
    cr_assert_not(m.hear(i, i + 1), "both move");
  cr_assert_not(m.hear(9, 9));
  cr_assert_not(m.hear(9, 8));
  cr_assert(m.hear(9, 8), "both stand still and differ");
  DigestMismatchDetector n;
  bool told = false;
  for (u64 i = 0; i < 9; ++i)
    told = n.hear(i, i + 1) || told;
  cr_assert(told, "or differ for long");
}

// All power was lost and the table begins empty: nobody is sent to the first few rows.
Test(catalog, a_table_that_fills_names_nobody_yet) {
  Directory<NearestSelector> c(1.9, 1.2);
  cr_assert_not(c.settled(100));
  for (int i = 0; i < 30; ++i) {
    ProxyEntry s;
    s.front = "10.0.0." + std::to_string(i) + ":80";
    s.zone = s.region = "z";
    s.ready = true;
    s.heard = 100 + i * 0.03;
    c.keep(s);
    if (i < 29) cr_assert_not(c.settled(s.heard));
  }
  cr_assert(c.settled(101.2));
  ClientContext who;
  who.zone = who.region = "z";
  std::set<std::string> named;
  for (int i = 0; i < 200; ++i)
    for (ProxyEntry const* s : c.resolve(who))
      named.insert(s->front);
  cr_assert_gt(named.size(), 25u);
}
