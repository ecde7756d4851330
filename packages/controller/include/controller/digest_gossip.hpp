/// Exchanges digests with peer controllers, by which they find what one of them lacks.
#pragma once
#include "controller/contact_prober.hpp"
#include "controller/controller_services.hpp"

namespace dockbend {

/// A digest sums up this controller's server registry, ballot and clock. A difference that lasts is repaired by
/// sending the whole registry, a newer ballot by a catch-up request. Each digest is a contact probe too.
class DigestGossip {
 public:
  DigestGossip(ControllerServices const& services, ContactProber const& prober)
      : services_(services), context_(services.context), prober_(prober) {}

  /// Sends digests to all connected peers, or, if there are more than `kMaxFullMesh` of them, to a few near ones
  /// and a far one by chance.
  void send_round(Seconds now);
  /// What this controller would say now. `with_addresses`: names the connected controllers too.
  GossipDigest own_digest(bool with_addresses) const;
  /// A peer's digest, asked for or not.
  void on_digest(std::string const& ip, GossipDigest const& digest);
  /// A peer's answer to our digest; `tag` names the one that it answers.
  void on_response(std::string const& ip, u32 tag, GossipDigest const& digest);

 private:
  std::vector<std::string> choose_receivers() const;

  ControllerServices services_;
  ControllerContext& context_;
  ContactProber const& prober_;
};

}  // namespace dockbend
