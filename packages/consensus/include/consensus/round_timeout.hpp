/// How long a round waits before it is abandoned: what its members took to answer, and the bytes they are to be sent
/// over the links as measured. No I/O.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "base/types.hpp"

namespace dockbend {

class RoundTimeout {
 public:
  /// bytes_per_s: the rate assumed of a link that was not measured yet.
  explicit RoundTimeout(double bytes_per_s);

  /// A request of so many bytes was sent to that member.
  void asked(std::string const& ip, std::size_t bytes, Seconds now);
  void answered(std::string const& ip, Seconds now);
  /// A new round begins: what was asked before is no longer waited for.
  void begin();
  /// How long after its begin the round is abandoned; the other members' majority should have answered by then.
  Seconds timeout(std::vector<std::string> const& others) const;

 private:
  struct Link {
    double bytes_per_s = 1;
    Seconds answer = 0.1;         ///< what a short request takes, its disk write included
    Seconds asked_at = -1;        ///< below 0: nothing asked
    std::size_t asked_bytes = 0;  ///< asked and not answered
  };
  Link& link(std::string const& ip);
  Seconds expected_answer(std::string const& ip) const;

  double assumed_bytes_per_s_;
  std::map<std::string, Link> links_;  // by ip
};

}  // namespace dockbend
