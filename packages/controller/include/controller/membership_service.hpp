// The desk of the roster: coming in, leaving, and taking out who was replaced.
#pragma once
#include <algorithm>

#include "consensus/failure_margin.hpp"
#include "consensus/membership_monitor.hpp"
#include "controller/idempotency_service.hpp"

namespace dockbend {

// Invariants: this node asks to come in only while it is not leaving and was not taken out
// by an operator; a SIGTERM is taken for an end for good only if a node of our zone came,
// or knocks, in our place, and for a restart otherwise.
class MembershipService {
 public:
  MembershipService(ControllerContext& h, IdempotencyService& k, Seconds now);

  void tick(Seconds now);

  // The keys are whole, or the disk's standing changed: the others hear of it at once.
  void hurry();
  // A mate asks to be taken in.
  void admit(Member const& me);

  // Does the end of this process wait for its leave?
  bool holds_up(Seconds now) const;
  void term(Seconds now);

  // Calls of the control API: Member.List, Member.Remove and Member.Add.
  std::string list() const;
  void remove(evhttp_request* r, std::string const& ip);
  // A node that was taken out may come back; it does so by itself.
  void add(evhttp_request* r, std::string const& ip);

  template <class W>
  void write_members(W& w) const {
    Seconds const now = steady_now();
    w.Key("members");
    w.StartArray();
    if (context_.committed)
      for (Member const& m : context_.committed->membership) {
        w.StartObject();
        w.Key("address");
        w.String(m.ip.c_str());
        w.Key("zone");
        w.String(m.zone.c_str());
        w.Key("region");
        w.String(m.region.c_str());
        w.Key("up");
        w.Bool(context_.up(m.ip));
        w.Key("state");
        w.String(state_of(m));
        w.Key("silentS");
        w.Double(m.ip == context_.settings.ip || context_.up(m.ip) ? 0
                                                                   : std::round(watch_.silence(m.ip, now) * 10) / 10);
        w.Key("since");
        w.Uint64(m.since.v);
        w.EndObject();
      }
    w.EndArray();
    w.Key("removed");
    w.StartArray();
    if (context_.committed)
      for (RetiredMember const& x : context_.committed->retired)
        w.String(x.ip.c_str());
    w.EndArray();
    w.Key("bears");
    w.StartObject();
    if (context_.committed) {
      FailureMargin const m = failure_margin(*context_.committed, tolerance());
      w.Key("machines");
      w.Bool(m.machines >= 0);
      w.Key("zones");
      w.Bool(m.zones >= 0);
      w.Key("regions");
      w.Bool(m.regions >= 0);
    }
    w.EndObject();
  }

 private:
  static MembershipMonitorOptions plan(Bounds const& b);
  FailureTolerance tolerance() const;
  Member const* me() const;
  char const* state_of(Member const& m) const;

  void see(Seconds now);

  // Wider rosters bind no more, if the round finds the epoch that stood for a horizon.
  static void forget_wider(ReplicatedState& s, std::optional<Epoch> const& settled);

  // Who takes others in: the first of the roster that is up, ourselves counted; "": we do.
  std::string usher() const;

  // Wanted: that the roster names our disk as it is.
  void join(Seconds now);

  // Wanted: nobody in the roster who is gone and was replaced. The first that is up sees to
  // it; the others only once that one had its time.
  void replace(Seconds now);

  // Who came, or knocks, in our place.
  bool heir(Seconds now) const;

  // Wanted while we end for good: first answers handed on, then out of the roster.
  void leave(Seconds now);

  static constexpr std::size_t most_retired = 64;  // the oldest is forgotten: it may then come back

  ControllerContext& context_;
  IdempotencyService& idempotency_;
  MembershipMonitor watch_;
  Epoch seen_;
  bool any_ = false, in_ = false, asked_usher_ = false, swapping_ = false, asking_ = false, left_ = false;
  Seconds join_at_ = 0, last_ = 0;
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("controller");
};

}  // namespace dockbend
