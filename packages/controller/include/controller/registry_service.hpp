// The desk of the servers: their beats, and the roll that is passed on.
#pragma once

#include "controller/controller_context.hpp"

namespace dockbend {

class RegistryService {
 public:
  explicit RegistryService(ControllerContext& h);

  // News of servers goes to the proxies we feed and to a few mates; whoever finds
  // it new passes it on.
  void spread(std::vector<ServerRecord> const& v, std::string const& from);

  void rows(std::vector<ServerRecord> const& v, std::string const& from);

  // Out of contact a beat is heard, so that the server keeps its place where no node is in
  // contact, but not acknowledged: the acknowledgement of a drain binds nodes that we can't tell.
  ApiResponse heartbeat(std::string const& id, schema::Heartbeat const& b, std::string const& uri);

  ApiResponse leave(std::string const& id, std::string const& uri);

  // The whole roll, for who begins to be fed. After a loss of power everybody asks: it is made
  // ready once a second at most, and what changed since goes after it.
  void feed(Connection& ch, Seconds now);

  // The operator's order binds whatever the server says of itself. Every directory applies it
  // to its own rows as soon as it learns of it, so that nobody waits for the rows' owners.
  void orders_changed();

  // To a mate whose roll differs from ours, or that may have begun anew.
  void spread_all(PeerLink& l);
  void tick(Seconds now);
  ServerRegistry& roll();
  ServerRegistry const& roll() const;
  u64 told_digest() const;  // of the roll as others were told of it

 private:
  void drained(ServerRecord& r) const;
  void spread_to(PeerLink& l, std::vector<ServerRecord> const& v);

  void flush_rows();

  std::string beat_target(std::string const& zone) const;

  ControllerContext& context_;
  ServerRegistry roll_;
  std::map<std::string, std::string> pending_;  // rows to pass on: id -> the mate that told us
  EncodedMessage whole_;                        // the whole roll as it was at whole_at_
  Seconds whole_at_ = -1e9;
  bool whole_in_contact_ = false;  // when it was made ready
  bool flushing_ = false;
  u64 told_digest_ = 0;
};

}  // namespace dockbend
