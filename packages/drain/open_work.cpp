#include "drain/open_work.hpp"

#include <algorithm>

namespace dockbend {

void OpenWork::add(OpenWork const& other) {
  uploads += other.uploads;
  bytes += other.bytes;
  age = std::max(age, other.age);
  keyed += other.keyed;
  sessions += other.sessions;
}

}  // namespace dockbend
