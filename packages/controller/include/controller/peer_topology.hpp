/// Questions about the other controllers: who is connected, and who is near.
#pragma once
#include <string>
#include <vector>

namespace dockbend {

struct ControllerContext;

/// Reads the links and the committed membership of a context; changes nothing.
class PeerTopology {
 public:
  /// With more connected peers than this nobody sends everything to all of them.
  static constexpr std::size_t kMaxFullMesh = 8;

  /// `context` owns this object.
  explicit PeerTopology(ControllerContext const& context) : context_(context) {}

  /// True for this controller and for those whose links are up.
  bool is_up(std::string const& ip) const;
  /// The region that the membership names; empty if the controller is no member.
  std::string region_of(std::string const& ip) const;
  /// Of our region, or of one that is not known yet.
  bool is_near(std::string const& ip) const;
  /// Peers whose links are up.
  std::size_t connected_count() const;
  bool exceeds_full_mesh() const { return connected_count() > kMaxFullMesh; }
  /// This controller's address and those of the peers whose links are up.
  std::vector<std::string> connected_addresses() const;

 private:
  ControllerContext const& context_;
};

}  // namespace dockbend
