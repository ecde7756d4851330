/// Package-private: the kinds of rows that a value consists of. A row's key begins with its kind and a slash; both are
/// the disk format.
#pragma once
#include <cstddef>
#include <string>

namespace dockbend {

enum class RowKind : char {
  item = 'i',
  evacuation = 'e',
  member = 'm',
  previous_member = 'w',
  retired_member = 'r',
  lease = 't',
  lease_counter = 'n',  ///< what a renewal changes, apart from the lease so that a renewal writes little
  frozen_report = 'f',
  drain_run = 'p',
  initial_servers = 'h',  ///< of a drain run: as long as there are services, and never changed
  drain_unit = 'u',
};
inline constexpr std::size_t kRowPrefixLength = 2;

inline std::string row_key(RowKind kind, std::string const& name) {
  return std::string{static_cast<char>(kind), '/'} + name;
}
inline RowKind kind_of(std::string const& key) {
  return static_cast<RowKind>(key[0]);
}

}  // namespace dockbend
