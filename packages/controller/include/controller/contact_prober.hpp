/// Asks the other controllers whether this one is in contact with a majority of the membership.
#pragma once
#include "controller/controller_context.hpp"

namespace dockbend {

/// Invariant: a probe's answer counts only for the incarnations and the membership that were last handed to
/// `update_voters`.
class ContactProber {
 public:
  explicit ContactProber(ControllerContext& context) : context_(context) {}

  /// This controller came into contact with a majority (true) or lost it.
  sigc::signal<void(bool is_in_contact)> on_change;

  /// The committed membership may be another: from now on its members are the voters.
  void update_voters();
  /// Asks one peer over its link, if that is up.
  void probe(std::string const& ip, PeerLink& link, Seconds now);
  /// Asks those peers whose answers get old; near ones first. Digests are probes too, and count as such.
  void probe_due(Seconds now);
  /// Emits on_change if contact was gained or lost since the last call.
  void detect_change();

  /// Seconds for which the contact that was last confirmed is still good; 0 without a committed state.
  Seconds remaining(Seconds now) const;
  /// Whether there was contact at the last `detect_change`, which is what the proxies were notified of.
  bool was_in_contact() const { return was_in_contact_; }

 private:
  ControllerContext& context_;
  bool was_in_contact_ = false;
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("controller");
};

}  // namespace dockbend
