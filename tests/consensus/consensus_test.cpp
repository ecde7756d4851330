/// Rounds of real acceptors and proposers over a network that loses, delays and reorders messages.
#include <criterion/criterion.h>

#include <algorithm>
#include <set>

#include "support/simulated_network.hpp"

using namespace dockbend;
using namespace dockbend::test;

namespace {
/// Each committed value holds everything that was committed before it: nothing acknowledged is lost.
void check_chain(SimulatedNetwork const& network, unsigned seed) {
  std::vector<ReplicatedState> h = network.history;
  std::sort(h.begin(), h.end(), [](ReplicatedState const& a, ReplicatedState const& b) { return a.ballot < b.ballot; });
  for (std::size_t i = 1; i < h.size(); ++i) {
    auto const a = h[i - 1].by_key(), b = h[i].by_key();
    for (auto const& [k, it] : a) {
      cr_assert(b.count(k) == 1, "seed %u: item %s lost", seed, k.c_str());
      cr_assert(b.at(k).gen >= it.gen, "seed %u: item %s went back", seed, k.c_str());
      cr_assert(b.at(k).gen > it.gen || b.at(k).body == it.body, "seed %u: two bodies under one generation", seed);
    }
    for (Member const& m : h[i - 1].membership)
      cr_assert(h[i].member(m.ip) != nullptr, "seed %u: member %s lost at %zu of %zu", seed, m.ip.c_str(), i, h.size());
  }
}
}  // namespace

Test(consensus, racing_proposers_lose_nothing) {
  std::size_t committed = 0;
  for (unsigned seed = 1; seed <= 300; ++seed) {
    SimulatedNetwork network(seed, 3);
    for (int i = 3; i < 6; ++i)
      network.add(i, Incarnation(100 + static_cast<u64>(i)), true);
    for (int r = 0; r < 25; ++r) {
      for (int i = 0; i < 6; ++i) {
        SimulatedNode& node = network.nodes.at(SimulatedNetwork::name(i));
        if (network.random() % 3 != 0) continue;
        if (!node.proposer->is_idle()) {
          if (network.random() % 6 != 0) continue;
          node.proposer->abandon();
        }
        if (i >= 3 && network.random() % 2 == 0)
          network.propose(node.ip, join_member(node.ip, node.acceptor->incarnation()));
        else
          network.propose(node.ip,
                          put_item("r/" + std::to_string(network.random() % 3), 1 + network.random() % 9, node.ip));
      }
      for (int k = 0; k < 45; ++k)
        network.step(0.05);
    }
    network.run();
    check_chain(network, seed);
    committed += network.history.size();
  }
  cr_assert(committed > 600, "only %zu rounds committed", committed);
}

// Three disks that joined before any of them had copied the keys once waited for each other.
Test(consensus, disks_without_keys_are_admitted_only_while_complete_ones_are_a_majority) {
  ReplicatedState s{};
  for (int i = 0; i < 3; ++i) {
    Member m = member(SimulatedNetwork::name(i), Incarnation(1));
    m.whole = true;
    s.membership.push_back(m);
  }
  Member d = member(SimulatedNetwork::name(3), Incarnation(7)), e = member(SimulatedNetwork::name(4), Incarnation(8)),
         f = member(SimulatedNetwork::name(5), Incarnation(9));
  cr_assert(s.admit(d));
  cr_assert(s.admit(e));
  cr_assert_not(s.admit(f), "3 complete disks of 6 are no majority");
  d = *s.member(d.ip);  // what it says of its keys names its membership
  d.whole = true;
  cr_assert(s.admit(d));
  cr_assert(s.admit(f));
  cr_assert_not(s.admit(f), "a member that has not changed is no change");
  Member wiped = member(SimulatedNetwork::name(0), Incarnation(77));
  cr_assert_not(s.admit(wiped), "with it only 3 of 6 would be complete");
}

Test(consensus, power_loss_and_lost_messages_lose_no_committed_value) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    SimulatedNetwork network(seed, 3);
    for (int i = 3; i < 5; ++i)
      network.add(i, Incarnation(100 + static_cast<u64>(i)), true);
    for (int r = 0; r < 30; ++r) {
      std::string const ip = SimulatedNetwork::name(static_cast<int>(network.random() % 5));
      SimulatedNode& node = network.nodes.at(ip);
      if (node.newest() != nullptr) {
        node.proposer->abandon();
        if (network.random() % 3 == 0)
          network.propose(ip, join_member(ip, node.acceptor->incarnation()));
        else
          network.propose(ip, put_item("r/" + std::to_string(network.random() % 4), 1 + network.random() % 9,
                                       ip + std::to_string(r)));
      }
      for (int k = 0; k < 40; ++k)
        network.step(0.1);
      if (network.random() % 3 == 0) network.reboot(SimulatedNetwork::name(static_cast<int>(network.random() % 5)));
      if (network.random() % 9 == 0)
        for (auto& [a, b] : network.nodes)
          network.reboot(a);  // all nodes at once
    }
    network.run();
    check_chain(network, seed);
  }
}

// A disk is wiped right after it acknowledged. It comes back as a new incarnation: it has no vote until the membership
// names that incarnation, and what was committed is still there.
Test(consensus, a_wiped_disk_does_not_vote_for_its_old_incarnation) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    SimulatedNetwork network(seed, 3);
    u64 incarnation = 1000;
    for (int r = 0; r < 12; ++r) {
      std::string const ip = SimulatedNetwork::name(static_cast<int>(network.random() % 3));
      SimulatedNode& node = network.nodes.at(ip);
      if (node.newest() != nullptr) {
        node.proposer->abandon();
        network.propose(ip, put_item("r/a", static_cast<u64>(r) + 1, ip));
      }
      std::size_t const was = network.history.size();
      while (network.history.size() == was && network.step()) {
      }
      if (r == 5) {
        std::string const gone = SimulatedNetwork::name(static_cast<int>(network.random() % 3));
        network.wipe(gone, Incarnation(++incarnation));
        // The others answer it only once it was admitted in its new incarnation.
        for (auto& [a, b] : network.nodes)
          if (a != gone && b.newest() != nullptr) {
            b.proposer->abandon();
            network.propose(a, join_member(gone, Incarnation(incarnation)));
            break;
          }
        network.run();
      }
    }
    network.run();
    check_chain(network, seed);
    cr_assert(network.history.back().by_key().count("r/a") == 1, "seed %u", seed);
  }
}

Test(consensus, a_request_for_another_incarnation_gets_no_vote) {
  Acceptor a(Incarnation(5), Ballot(), std::nullopt);
  PrepareResponse r{};
  cr_assert_not(a.prepare(PrepareRequest{Ballot(9), Ballot(), Incarnation(4)}, r).is_needed);
  cr_assert_not(r.is_promised);
  AcceptResponse q{};
  AcceptRequest acc{};
  acc.ballot = Ballot(9);
  acc.incarnation = Incarnation(4);
  cr_assert_not(a.accept(acc, q).is_needed);
  cr_assert_not(q.is_accepted);
}

Test(consensus, a_minority_commits_nothing) {
  SimulatedNetwork network(7, 5);
  for (int i = 2; i < 5; ++i)
    network.nodes.at(SimulatedNetwork::name(i)).is_up = false;
  network.propose(SimulatedNetwork::name(0), put_item("r/a", 1, "x"));
  network.run();
  cr_assert(network.history.empty());
}

Test(consensus, a_one_way_partition_commits_one_value_only) {
  SimulatedNetwork network(3, 3);
  network.cut.insert({SimulatedNetwork::name(0), SimulatedNetwork::name(1)});
  network.cut.insert({SimulatedNetwork::name(0), SimulatedNetwork::name(2)});
  network.propose(SimulatedNetwork::name(0), put_item("r/a", 1, "cut"));
  network.run();
  cr_assert(network.history.empty());
  network.propose(SimulatedNetwork::name(1), put_item("r/a", 1, "whole"));
  network.run();
  cr_assert_eq(network.history.size(), 1u);
  cr_assert_str_eq(network.history[0].by_key().at("r/a").body.c_str(), "whole");
}

// A disk that can't be written any more stops voting; the others go on without it.
Test(consensus, a_node_whose_disk_is_full_does_not_vote) {
  SimulatedNetwork network(3, 3);
  network.nodes.at(SimulatedNetwork::name(2)).can_vote = false;
  network.propose(SimulatedNetwork::name(0), put_item("r/a", 1, "x"));
  network.run();
  cr_assert_eq(network.history.size(), 1u);
  network.nodes.at(SimulatedNetwork::name(1)).can_vote = false;
  network.propose(SimulatedNetwork::name(0), put_item("r/a", 2, "y"));
  network.run();
  cr_assert_eq(network.history.size(), 1u);
}

// Four members, and a fifth joins: three of the new five are no majority of the old four.
Test(consensus, a_membership_change_needs_majorities_of_both_memberships) {
  SimulatedNetwork network(1, 4);
  network.add(4, Incarnation(50), true);
  std::string const e = SimulatedNetwork::name(4);
  network.propose(e, join_member(e, Incarnation(50)));
  SimulatedNode& node = network.nodes.at(e);
  while (!network.bag.empty() && network.bag.front().kind != SimulatedMessage::Kind::accept_request) {
    SimulatedMessage const m = network.bag.front();
    network.bag.erase(network.bag.begin());
    network.deliver(network.nodes.at(m.to), m);
  }
  int old = 0;
  std::vector<SimulatedMessage> held;
  std::vector<SimulatedMessage> accs;
  accs.swap(network.bag);
  for (SimulatedMessage const& m : accs) {
    if (m.kind != SimulatedMessage::Kind::accept_request) continue;
    if (m.to != e && ++old > 2) {
      held.push_back(m);
      continue;
    }
    network.deliver(network.nodes.at(m.to), m);
  }
  network.run();
  cr_assert_not(node.proposer->is_committed());
  cr_assert_not(held.empty());
  network.bag.push_back(held.front());
  network.run();
  cr_assert(node.proposer->is_committed());
}

// A proposes new members, but its accept requests reach only them: the membership changes are not committed. The others
// go on without A; A, with the new members alone, must not.
Test(consensus, a_membership_change_that_is_not_committed_makes_no_majority) {
  std::string const a = SimulatedNetwork::name(0), b = SimulatedNetwork::name(1), c = SimulatedNetwork::name(2),
                    d = SimulatedNetwork::name(3), e = SimulatedNetwork::name(4);
  auto only = [](SimulatedNetwork& network, std::set<std::string> const& who, auto lost) {
    while (!network.bag.empty()) {
      SimulatedMessage const m = network.bag.front();
      network.bag.erase(network.bag.begin());
      if (who.count(m.from) > 0 && who.count(m.to) > 0 && !lost(m)) network.deliver(network.nodes.at(m.to), m);
    }
  };
  auto none = [](SimulatedMessage const&) { return false; };
  for (bool const at_once : {true, false}) {
    SimulatedNetwork network(1, 3);
    network.add(3, Incarnation(50), false);
    network.add(4, Incarnation(51), false);
    auto const join_d = join_member(d, Incarnation(50)), join_e = join_member(e, Incarnation(51));
    std::vector<Proposer::Change> steps{join_d, join_e};
    if (at_once) steps = {[=](ReplicatedState& s) { return join_d(s) && join_e(s); }};
    for (auto const& s : steps) {
      network.nodes.at(a).proposer->abandon();
      network.propose(a, s);
      only(network, {a, b, c, d, e}, [&](SimulatedMessage const& m) {
        return m.kind == SimulatedMessage::Kind::accept_request && (m.to == b || m.to == c);
      });
    }
    cr_assert(network.history.empty());
    for (int i = 0; i < 2; ++i) {
      network.nodes.at(b).proposer->abandon();
      network.propose(b, put_item("r/x", 1, "b"));
      only(network, {b, c}, none);
    }
    cr_assert_geq(network.history.size(), 1u);
    network.nodes.at(a).proposer->abandon();
    network.propose(a, put_item("r/x", 1, "a"));
    only(network, {a, d, e}, none);
    cr_assert_not(network.nodes.at(a).proposer->is_committed(), "two values stand");
    // Once all are connected again, one outcome is left.
    network.propose(a, put_item("r/x", 1, "a"));
    network.run();
    network.propose(a, put_item("r/x", 1, "a"));
    network.run();
    check_chain(network, at_once);
    cr_assert_str_eq(network.history.back().by_key().at("r/x").body.c_str(), "b");
  }
}
