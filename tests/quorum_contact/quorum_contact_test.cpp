#include "quorum_contact/quorum_contact.hpp"

#include <criterion/criterion.h>

#include <random>
#include <set>

#include "quorum_contact/controller_selection.hpp"

using namespace dockbend;

namespace {

ContactOptions options() {
  return ContactOptions::from_bounds(Bounds());
}

// Controllers that ask each other over a simulated network. Messages take `latency`; links can be cut silently in
// either direction; a frozen controller reads what waits for it only when it runs again.
struct Network {
  struct Message {
    Seconds at = 0;
    std::string from, to;
    bool is_response = false;
    u32 number = 0;
    ContactProbeResponse response;
  };
  struct Node {
    QuorumContact contact;
    Ballot ballot;
    Incarnation incarnation{1};
    bool is_frozen = false;
    std::vector<std::string> nearest_first;
  };

  explicit Network(int count, Seconds link_latency = 0.03) : latency(link_latency) {
    for (int i = 0; i < count; ++i)
      nodes[ip(i)].contact = QuorumContact(options(), ip(i), static_cast<u32>(1000 * i));
    for (auto& [own_ip, node] : nodes) {
      std::vector<QuorumContact::Voter> members;
      for (auto const& [other_ip, other] : nodes) {
        members.push_back({other_ip, Incarnation(1)});
        if (other_ip != own_ip) node.nearest_first.push_back(other_ip);
      }
      node.contact.set_members(members, Incarnation(1));
    }
    run(2);
  }
  static std::string ip(int i) { return "10.0.0." + std::to_string(100 + i); }
  Node& at(int i) { return nodes.at(ip(i)); }
  bool in_contact(int i) { return at(i).contact.in_contact(now); }
  void cut(int a, int b, bool both_ways = true) {
    cut_links.insert({ip(a), ip(b)});
    if (both_ways) cut_links.insert({ip(b), ip(a)});
  }
  void isolate(int a, bool outgoing = true, bool incoming = true) {
    for (int i = 0; i < static_cast<int>(nodes.size()); ++i) {
      if (i != a && outgoing) cut(a, i, false);
      if (i != a && incoming) cut(i, a, false);
    }
  }
  void send(Message message) {
    message.at = now + latency;
    if (cut_links.count({message.from, message.to}) == 0) in_flight.push_back(message);
  }
  void deliver(Message const& message) {
    Node& node = nodes.at(message.to);
    if (message.is_response) {
      node.contact.on_response(message.from, message.number, message.response);
      return;
    }
    ContactProbeResponse response;
    response.incarnation = node.incarnation;
    response.ballot = node.ballot;
    response.time_left = node.contact.time_left(now);
    send({0, message.to, message.from, true, message.number, response});
  }
  void step() {
    now += 0.01;
    ++steps;
    std::vector<Message> later, due;
    for (Message& message : in_flight)
      (message.at <= now && !nodes.at(message.to).is_frozen ? due : later).push_back(message);
    in_flight = later;
    for (Message const& message : due)
      deliver(message);
    for (auto& [own_ip, node] : nodes) {
      if (node.is_frozen) continue;
      // A caller is only redirected to a controller that is in contact at that moment.
      if (std::string const target = node.contact.member_in_contact(now); !target.empty())
        cr_assert(nodes.at(target).contact.in_contact(now), "%s redirects to %s", own_ip.c_str(), target.c_str());
      if (steps % 10 != 0) continue;
      for (std::string const& peer : node.contact.questions_due(node.nearest_first, now)) {
        ++questions;
        send({0, own_ip, peer, false, node.contact.next_question(peer, now), {}});
      }
    }
  }
  // Asserts that `stay` are in contact all the while. True if none of `out` is at the end, nor was at any time
  // later than the bound after the beginning.
  bool run(Seconds duration, std::set<int> stay = {}, std::set<int> out = {}) {
    bool are_out = true;
    Seconds const begin = now, bound = options().max_age;
    while (now < begin + duration) {
      step();
      for (int i : stay)
        cr_assert(in_contact(i), "%d is out after %.2f s", i, now - begin);
      for (int i : out)
        are_out = are_out && (now - begin < bound || !in_contact(i));
    }
    return are_out;
  }

  Seconds latency, now = 100;
  int steps = 0, questions = 0;
  std::map<std::string, Node> nodes;
  std::vector<Message> in_flight;
  std::set<std::pair<std::string, std::string>> cut_links;
};

ContactProbeResponse response_of(u64 ballot, Seconds time_left = 1, u64 incarnation = 1) {
  ContactProbeResponse response;
  response.incarnation = Incarnation(incarnation);
  response.ballot = Ballot(ballot);
  response.time_left = time_left;
  return response;
}

}  // namespace

// One of five is cut off silently, in both directions or either: it is out of contact within the bound, the
// others never are, and its contact returns with the first answers.
Test(quorum_contact, silent_partition_is_noticed_in_every_direction) {
  for (auto const& [outgoing, incoming] : {std::pair{true, true}, {true, false}, {false, true}}) {
    Network network(5);
    network.run(1, {0, 1, 2, 3, 4});
    network.isolate(0, outgoing, incoming);
    cr_assert(network.run(20, {1, 2, 3, 4}, {0}), "cut %d%d", outgoing, incoming);
    network.cut_links.clear();
    network.run(0.8, {1, 2, 3, 4});
    cr_assert(network.in_contact(0));
  }
}

// Two of five reach each other but nobody else.
Test(quorum_contact, minority_that_reaches_itself_is_out_of_contact) {
  Network network(5);
  for (int a : {0, 1})
    for (int b : {2, 3, 4})
      network.cut(a, b);
  cr_assert(network.run(10, {2, 3, 4}, {0, 1}));
  network.cut(2, 3);  // 4 reaches both and stays; they have two each
  cr_assert(network.run(5, {4}, {0, 1, 2, 3}));
  cr_assert_eq(network.at(2).contact.member_in_contact(network.now), Network::ip(4));
  cr_assert_eq(network.at(0).contact.member_in_contact(network.now), "");
}

// A process that was frozen finds answers waiting for it; their questions are old.
Test(quorum_contact, answers_that_waited_for_a_frozen_asker_do_not_count) {
  Network network(3);
  network.at(0).is_frozen = true;
  network.run(5, {1, 2});
  network.at(0).is_frozen = false;
  network.isolate(0);
  cr_assert_not(network.in_contact(0));
  network.run(0.3);
  cr_assert_not(network.in_contact(0));
}

Test(quorum_contact, frozen_peers_are_missed_and_their_late_answers_are_old) {
  Network network(5);
  for (int i : {2, 3, 4})
    network.at(i).is_frozen = true;
  cr_assert(network.run(8, {}, {0, 1}));
  // Nothing new gets through to them, but they answer what waited.
  for (int i : {2, 3, 4}) {
    network.at(i).is_frozen = false;
    for (int j : {0, 1})
      network.cut(j, i, false);
  }
  cr_assert_not(network.in_contact(0));
  network.run(0.04);
  cr_assert(network.run(3, {}, {0, 1}));
}

// An answer fits one question, of this run and over the connection that it was asked on; a disk that was
// replaced is not the member that the membership names.
Test(quorum_contact, answers_to_an_earlier_run_connection_or_disk_do_not_count) {
  QuorumContact earlier_run(ContactOptions(), "a", 7);
  u32 const of_earlier_run = earlier_run.next_question("b", 0);
  QuorumContact contact(ContactOptions(), "a", 5000);
  contact.set_members({{"a", Incarnation(1)}, {"b", Incarnation(1)}}, Incarnation(1));
  contact.next_question("b", 1);
  cr_assert_not(contact.on_response("b", of_earlier_run, response_of(0)));
  cr_assert_not(contact.on_response("b", 0, response_of(0)));
  u32 const of_earlier_connection = contact.next_question("b", 1);
  contact.on_connected("b");
  cr_assert_not(contact.on_response("b", of_earlier_connection, response_of(0)));
  cr_assert_not(contact.in_contact(1));
  u32 const older = contact.next_question("b", 1);
  cr_assert(contact.on_response("b", older, response_of(0, 1, 2)));
  cr_assert_not(contact.in_contact(1), "another disk answered");
  u32 const question = contact.next_question("b", 1);
  cr_assert(contact.on_response("b", question, response_of(0)));
  cr_assert(contact.in_contact(1));
  cr_assert_not(contact.on_response("b", question, response_of(0)), "it was answered");
  cr_assert_not(contact.on_response("b", older, response_of(0)), "older than what was answered");
}

// A member answers, but knows of a change that we don't: what we would serve is old.
Test(quorum_contact, answer_counts_only_once_all_its_member_knew_is_known) {
  QuorumContact contact(ContactOptions(), "a", 1);
  contact.set_members({{"a", Incarnation(1)}, {"b", Incarnation(1)}, {"c", Incarnation(1)}}, Incarnation(1));
  contact.set_known_ballot(Ballot(4));
  cr_assert(contact.on_response("b", contact.next_question("b", 10), response_of(5)));
  cr_assert_not(contact.in_contact(10.1));
  contact.set_known_ballot(Ballot(5));
  cr_assert(contact.in_contact(10.1));
  cr_assert(contact.on_response("b", contact.next_question("b", 11), response_of(9)));
  cr_assert_eq(contact.fresh_since(11.1), 10, "the older answer still counts");
  cr_assert_not(contact.in_contact(11.6));
}

// Fifteen in three regions, the far ones 0.1 s away: nobody asks all of them, and nobody loses contact, also
// when the near ones are gone.
Test(quorum_contact, large_membership_is_asked_only_as_far_as_a_majority_takes) {
  Network network(15, 0.1);
  network.questions = 0;
  std::set<int> all, rest;
  for (int i = 0; i < 15; ++i)
    all.insert(i);
  for (int i = 4; i < 15; ++i)
    rest.insert(i);
  network.run(6, all);
  cr_assert_lt(network.questions, 15 * 8 * 11, "%d questions", network.questions);
  for (int i = 0; i < 4; ++i)
    network.isolate(i);
  cr_assert(network.run(6, rest, {0, 1, 2, 3}));
}

Test(quorum_contact, times_follow_from_the_apply_bound) {
  for (double const apply_bound : {1.5, 2.5, 4.0, 10.0}) {
    Bounds bounds;
    bounds.applyBoundS = apply_bound;
    ContactOptions const times = ContactOptions::from_bounds(bounds);
    Seconds const tick = 0.1, latency = 0.05;
    cr_assert_leq(times.max_age + tick + 4 * latency, apply_bound * 0.81, "agents are served by another in time");
    cr_assert_lt(times.probe_interval + tick + 2 * latency, times.widen_after + 2 * tick, "few widen in calm times");
    cr_assert_lt(times.widen_after + tick + 2 * latency, times.max_age, "widening comes in time");
  }
}

// An agent whose two nearest controllers are cut off from the others is served by others well inside
// applyBoundS, and returns when they are in contact to stay.
Test(controller_selection, agent_leaves_controllers_that_are_out_of_contact) {
  Network network(5);
  std::map<std::string, ReportedContact> reported;
  std::vector<std::string> serving;
  // Those that serve it report a change at once, the others every 0.6 s.
  auto const run_agent = [&](Seconds duration) {
    for (Seconds const begin = network.now; network.now < begin + duration;) {
      network.step();
      if (network.steps % 10 != 0) continue;
      std::vector<ControllerCandidate> candidates;
      for (int i = 0; i < 5; ++i) {
        std::string const ip = Network::ip(i);
        bool const serves_us = std::find(serving.begin(), serving.end(), ip) != serving.end();
        if (serves_us || network.steps % 60 == 0) reported[ip].update(network.in_contact(i), network.now);
        candidates.push_back({ip, reported[ip].rank(network.now, serves_us), i / 2, static_cast<u64>(i)});
      }
      serving = select_controllers(candidates, 2);
    }
  };
  std::vector<std::string> const nearest{Network::ip(0), Network::ip(1)}, others{Network::ip(2), Network::ip(3)};
  run_agent(1);
  cr_assert(serving == nearest);
  for (int a : {0, 1})
    for (int b : {2, 3, 4})
      network.cut(a, b);
  run_agent(0.8 * Bounds().applyBoundS);
  cr_assert(serving == others);
  network.cut(2, 3);
  network.cut(3, 4);  // nobody has a majority: the nearest serve on
  network.cut(2, 4);
  run_agent(3);
  cr_assert(serving == nearest);
  network.cut_links.clear();
  run_agent(4);
  cr_assert(serving == nearest);
}

Test(controller_selection, controller_that_was_out_is_preferred_only_once_it_is_steady) {
  ReportedContact contact(1.2);
  cr_assert_eq(contact.rank(0, false), ReportedContact::uncertain);
  contact.update(true, 0);
  cr_assert_eq(contact.rank(0, false), ReportedContact::in_contact, "it was never out: believed at once");
  contact.update(false, 1);
  cr_assert_eq(contact.rank(1, true), ReportedContact::out_of_contact);
  contact.update(true, 2);
  cr_assert_eq(contact.rank(2, false), ReportedContact::uncertain);
  cr_assert_eq(contact.rank(2, true), ReportedContact::in_contact);
  cr_assert_eq(contact.rank(3.3, false), ReportedContact::in_contact);
}

// Long days of random partitions and freezes: a controller that says it is in contact can't have been cut off for
// longer than the bound, and those that it redirects callers to are in contact.
Test(quorum_contact, random_partitions_never_outlast_the_bound) {
  for (unsigned seed = 1; seed <= 6; ++seed) {
    std::mt19937 random(seed);
    Network network(5);
    auto const any_node = [&] { return static_cast<int>(random() % 5); };
    auto const is_linked = [&](int i, int j) {
      return !network.at(i).is_frozen && !network.at(j).is_frozen &&
             network.cut_links.count({Network::ip(i), Network::ip(j)}) == 0 &&
             network.cut_links.count({Network::ip(j), Network::ip(i)}) == 0;
    };
    Seconds const bound = options().max_age;
    std::map<int, Seconds> reached_at;  // when it last had links in both directions to a majority
    for (int step = 0; step < 6000; ++step) {
      if (random() % 60 == 0) {
        bool const both_ways = random() % 2 == 0;
        int const b = any_node(), a = any_node();
        network.cut(a, b, both_ways);
      }
      if (random() % 400 == 0) network.cut_links.clear();
      if (random() % 200 == 0) network.at(any_node()).is_frozen = true;
      if (random() % 100 == 0)
        for (int i = 0; i < 5; ++i)
          network.at(i).is_frozen = false;
      for (int i = 0; i < 5; ++i) {
        int reached = 1;
        for (int j = 0; j < 5; ++j)
          reached += i != j && is_linked(i, j) ? 1 : 0;
        if (reached >= 3) reached_at[i] = network.now;
      }
      network.step();
      // Messages in flight when a freeze ends may make up a majority that never stood at once, hence twice the bound.
      for (int i = 0; i < 5; ++i)
        if (network.in_contact(i)) cr_assert_lt(network.now - reached_at[i], 2 * bound, "seed %u, node %d", seed, i);
    }
  }
}
