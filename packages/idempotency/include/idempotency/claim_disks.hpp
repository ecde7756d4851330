#pragma once
#include <map>
#include <string>
#include <vector>

#include "consensus/replicated_state.hpp"

/// \file
/// The disks that an agent's claims go to: which are members, which are connected, how far away each is.
/// A disk is named by the address of its controller. No I/O.

namespace dockbend {

class ClaimDisks {
 public:
  /// Where the agent runs. node: its name, which decides the order among disks that are equally near.
  ClaimDisks(std::string zone, std::string region, std::string node)
      : zone_(std::move(zone)), region_(std::move(region)), node_(std::move(node)) {}

  /// connection: its number, not 0. is_relayed: it leads through another agent, of any region.
  void connect(std::string const& ip, u64 connection, bool is_relayed);
  void disconnect(std::string const& ip);
  void set_round_trip(std::string const& ip, Seconds round_trip) { links_[ip].round_trip = round_trip; }
  void set_members(std::vector<Member> members);

  std::vector<Member> const& members() const { return members_; }
  /// Null if no member has this address.
  Member const* member(std::string const& ip) const;
  std::size_t majority() const { return members_.size() / 2 + 1; }

  /// The connected members, nearest first; those equally near in an order that differs from node to node.
  std::vector<std::string> const& nearest_first() const { return nearest_first_; }
  /// The number of the connection; 0: none.
  u64 connection(std::string const& ip) const { return link(ip).connection; }
  bool is_connected(std::string const& ip) const { return connection(ip) != 0; }
  /// Seconds; a guess if it was not measured yet.
  Seconds round_trip(std::string const& ip) const { return link(ip).round_trip; }
  /// Whether the body of an answer may go to that disk: it is in one of the home regions, and no relay, which may
  /// stand in any region, is on the way. No homes: every member may.
  bool may_store_body(std::string const& ip, std::vector<std::string> const& homes) const;
  /// Whether the body of an answer may come from that disk: no relay is on the way. The disk may be outside the homes
  /// that are in force now: it was inside when the answer was stored.
  bool may_send_body(std::string const& ip, std::vector<std::string> const& homes) const;
  /// The nearest connected disk that may store the body; empty: there is none.
  std::string nearest_that_may_store(std::vector<std::string> const& homes) const;

 private:
  struct Link {
    u64 connection = 0;  ///< 0: not connected
    Seconds round_trip = 0.1;
    bool is_relayed = false;
  };
  Link link(std::string const& ip) const;
  int distance(Member const& member) const;
  void sort_by_distance();

  std::string zone_, region_, node_;
  std::map<std::string, Link> links_;
  std::vector<Member> members_;
  std::vector<std::string> nearest_first_;
};

}  // namespace dockbend
