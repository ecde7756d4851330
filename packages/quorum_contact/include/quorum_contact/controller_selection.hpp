#pragma once
#include <string>
#include <vector>

#include "base/types.hpp"

/// \file
/// Which controllers send an agent its state updates. No I/O.

namespace dockbend {

/// What a controller reported of its own contact with a majority. One that was out of contact is believed again
/// at once if it serves us, and otherwise only once it has been in contact for a while, so that an agent does
/// not return each time to a controller that comes and goes.
class ReportedContact {
 public:
  /// steady_after: for how many seconds it has to be in contact first.
  explicit ReportedContact(Seconds steady_after = 1.2) : steady_after_(steady_after) {}
  void update(bool in_contact, Seconds now);
  /// There is a new connection: nothing is known.
  void reset() { *this = ReportedContact(steady_after_); }
  bool is_out() const { return report_ == Report::out; }

  /// Lower is better.
  enum Rank { in_contact = 0, uncertain = 1, out_of_contact = 2 };
  /// serves_us: whether it sends us updates now.
  int rank(Seconds now, bool serves_us) const;

 private:
  enum class Report { none, in, out };
  Seconds steady_after_;
  Seconds in_since_ = 0;  ///< if the report is `in`
  Report report_ = Report::none;
};

/// A controller that is connected.
struct ControllerCandidate {
  std::string ip;
  int contact_rank = ReportedContact::uncertain;
  int distance = 3;   ///< 0: in our zone, 1: in our region, 2: farther, 3: not known
  u64 tie_break = 0;  ///< differs between agents, so that not all choose the same among equals
};

/// The addresses of the `count` best, the best one first: by contact, then by distance. If none is in contact,
/// distance alone decides.
std::vector<std::string> select_controllers(std::vector<ControllerCandidate> candidates, std::size_t count);

}  // namespace dockbend
