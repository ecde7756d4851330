#pragma once
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "consensus/replicated_state.hpp"
#include "idempotency/claim_messages.hpp"

/// \file
/// The releases that may not have reached their disk yet. No I/O.

namespace dockbend {

/// Releases have no response, so each is kept until its connection has lasted long enough for it to have
/// arrived, and is sent again over the next connection otherwise: a key that nobody runs would stay held.
class UnconfirmedReleases {
 public:
  /// Keeps a release for that disk. False if the oldest one of the disk had to be dropped for it.
  bool add(std::string const& ip, ReleaseRequest const& release, Seconds now);
  /// All that is kept for a disk which has a new connection, oldest first; they count as sent now.
  std::vector<ReleaseRequest> resend(std::string const& ip, Seconds now);
  /// Drops what connected disks must have received by now.
  void drop_received(Seconds now, std::function<bool(std::string const& ip)> const& is_connected);
  /// Drops all for disks that are no members.
  void keep_members(ReplicatedState const& state);

 private:
  struct Release {
    ReleaseRequest request;
    Seconds at = 0;  ///< when it was sent over the present connection, or, without one, when it was added
  };
  static std::size_t constexpr kMaxPerDisk = 1024;
  static Seconds constexpr kReceivedAfter = 5;  ///< longer than a connection stays up without a sign of life

  std::map<std::string, std::deque<Release>> by_disk_;  ///< each oldest first
};

}  // namespace dockbend
