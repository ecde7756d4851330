/// What the models share: nodes' addresses by number, and digests.
#pragma once
#include <boost/container_hash/hash.hpp>
#include <string>

#include "base/types.hpp"

namespace dockbend::model_checking {

/// Node 0 is 10.0.0.1.
inline std::string address(u32 node) {
  return "10.0.0." + std::to_string(node + 1);
}
inline u32 node_at(std::string const& ip) {
  return static_cast<u32>(std::stoul(ip.substr(std::string("10.0.0.").size()))) - 1;
}
/// A digest of all that went into `seed`, and x.
inline u64 mixed(u64 seed, u64 x) {
  std::size_t digest = seed;
  boost::hash_combine(digest, x);
  return digest;
}
inline u64 mixed(u64 seed, std::string const& x) {
  return mixed(seed, std::hash<std::string>{}(x));
}

}  // namespace dockbend::model_checking
