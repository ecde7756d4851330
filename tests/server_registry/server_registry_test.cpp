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

Test(server_registry, a_late_heartbeat_changes_nothing) {
  ServerRegistry r;
  r.record_heartbeat(row("a", 5), "me", 0);
  cr_assert(r.record_heartbeat(row("a", 6, ServerState::draining), "me", 1));
  cr_assert_not(r.record_heartbeat(row("a", 5), "me", 2));
  cr_assert(r.find("a", 2)->state == ServerState::draining);
  ServerRecord left = row("a", kDepartedSequence, ServerState::gone);
  cr_assert(r.merge_record(left, 3));
  cr_assert_not(r.record_heartbeat(row("a", 7), "me", 4), "a server that has left stays gone");
}

Test(server_registry, a_timeout_marks_a_server_gone_and_a_heartbeat_revives_it) {
  ServerRegistry r;
  r.record_heartbeat(row("a", 1), "me", 0);
  cr_assert(r.mark_silent_gone("me", 4.5, 4).empty());
  cr_assert_eq(r.mark_silent_gone("me", 4.5, 5).size(), 1u);
  cr_assert(r.record_heartbeat(row("a", 2), "me", 6));
  cr_assert(r.find("a", 6)->state == ServerState::ready);
  r.restart_timeouts(20);
  cr_assert(r.mark_silent_gone("me", 4.5, 21).empty(), "after a stall of this process no server is late");
}

// Records in any order, some twice, some lost and repaired by a complete list: all registries end equal.
Test(server_registry, records_in_any_order_give_equal_registries) {
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
      a.merge_record(r, 0);
    std::shuffle(news.begin(), news.end(), rnd);
    for (ServerRecord const& r : news)
      if (rnd() % 4 != 0) b.merge_record(r, 0);
    for (ServerRecord const& r : a.records(0))
      b.merge_record(r, 0);
    cr_assert_eq(a.digest(), b.digest(), "seed %u", seed);
  }
}

Test(directory, entries_drop_after_missed_keepalives_and_lists_stay_short) {
  Directory<NearestSelector> c(3.0);
  for (int i = 0; i < 6; ++i) {
    ProxyEntry s{};
    s.front = "10.0.0." + std::to_string(i) + ":80";
    s.zone = i < 4 ? "n1" : "s1";
    s.region = i < 4 ? "north" : "south";
    s.ready = true;
    s.heard = i == 0 ? 0 : 2;
    c.record_keepalive(s);
  }
  cr_assert_eq(c.resolve({"n1", "north"}).size(), 2u);
  c.drop_expired(3.5);
  cr_assert_eq(c.entries().size(), 5u);
  for (ProxyEntry const* s : c.resolve({"n1", "north"}))
    cr_assert_str_eq(s->zone.c_str(), "n1");
  ProxyEntry o;
  o.front = "10.0.1.0:80";
  o.zone = "n2";
  o.region = "north";
  o.ready = true;
  o.heard = 3;
  c.record_keepalive(o);
  auto const l = c.resolve({"n1", "north"});
  cr_assert_eq(l.size(), 3u);
  cr_assert_eq(std::count_if(l.begin(), l.end(), [](ProxyEntry const* s) { return s->zone == "n2"; }), 1,
               "not all in one zone");
  c.drop_expired(9);
  cr_assert(c.resolve({"n1", "north"}).empty());
}

// A new subscriber gets the complete list of a moment ago and then what changed since: together they are the
// complete list of now.
Test(server_registry, an_old_complete_list_and_the_changes_since_give_the_current_one) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 rnd(seed);
    ServerRegistry a, b;
    std::vector<ServerRecord> whole;
    Seconds const at = 5;
    for (int t = 0; t <= 10; ++t) {
      if (t == 5) whole = a.records(t);
      for (int k = 0; k < 4; ++k) {
        ServerRecord r;
        r.id = "s" + std::to_string(rnd() % 12);
        r.service = "p";
        r.address = "10.0.0.1:" + std::to_string(1 + rnd() % 3);
        r.state = static_cast<ServerState>(1 + rnd() % 3);
        r.seq = static_cast<u64>(t) * 10 + k;
        a.merge_record(r, t);
      }
    }
    for (ServerRecord const& r : whole)
      b.merge_record(r, 10);
    for (ServerRecord const& r : a.changed_since(at, 10))
      b.merge_record(r, 10);
    cr_assert_eq(a.digest(), b.digest(), "seed %u", seed);
  }
}

// Updates on their way make two registries differ for a moment; only a lasting difference counts.
Test(digest_mismatch_detector, a_passing_difference_is_no_mismatch) {
  DigestMismatchDetector m;
  for (u64 i = 0; i < 7; ++i)
    cr_assert_not(m.observe(i, i + 1), "both move");
  cr_assert_not(m.observe(9, 9));
  cr_assert_not(m.observe(9, 8));
  cr_assert(m.observe(9, 8), "both stand still and differ");
  DigestMismatchDetector n;
  bool told = false;
  for (u64 i = 0; i < 9; ++i)
    told = n.observe(i, i + 1) || told;
  cr_assert(told, "or differ for long");
}

// After a loss of all power the table begins empty: no client is sent to its first few entries.
Test(directory, a_table_that_is_filling_is_not_settled) {
  Directory<NearestSelector> c(1.9, 1.2);
  cr_assert_not(c.is_settled(100));
  for (int i = 0; i < 30; ++i) {
    ProxyEntry s;
    s.front = "10.0.0." + std::to_string(i) + ":80";
    s.zone = s.region = "z";
    s.ready = true;
    s.heard = 100 + i * 0.03;
    c.record_keepalive(s);
    if (i < 29) cr_assert_not(c.is_settled(s.heard));
  }
  cr_assert(c.is_settled(101.2));
  ClientContext who;
  who.zone = who.region = "z";
  std::set<std::string> named;
  for (int i = 0; i < 200; ++i)
    for (ProxyEntry const* s : c.resolve(who))
      named.insert(s->front);
  cr_assert_gt(named.size(), 25u);
}
