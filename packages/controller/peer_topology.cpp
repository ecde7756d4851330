#include "controller/peer_topology.hpp"

#include <algorithm>

#include "controller/controller_context.hpp"

namespace dockbend {

bool PeerTopology::is_up(std::string const& ip) const {
  if (ip == context_.settings.ip) return true;
  auto const peer = context_.controllers.find(ip);
  return peer != context_.controllers.end() && peer->second.link && peer->second.link->up();
}

std::string PeerTopology::region_of(std::string const& ip) const {
  Member const* const member = context_.committed ? context_.committed->member(ip) : nullptr;
  return member == nullptr ? std::string() : member->region;
}

bool PeerTopology::is_near(std::string const& ip) const {
  std::string const region = region_of(ip);
  return region.empty() || region == context_.settings.region;
}

std::size_t PeerTopology::connected_count() const {
  return static_cast<std::size_t>(
      std::count_if(context_.controllers.begin(), context_.controllers.end(),
                    [](auto const& entry) { return entry.second.link && entry.second.link->up(); }));
}

std::vector<std::string> PeerTopology::connected_addresses() const {
  std::vector<std::string> addresses{context_.settings.ip};
  for (auto const& [ip, peer] : context_.controllers)
    if (peer.link && peer.link->up()) addresses.push_back(ip);
  return addresses;
}

}  // namespace dockbend
