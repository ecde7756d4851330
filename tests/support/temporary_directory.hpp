/// A directory for a test's files.
#pragma once
#include <stdlib.h>

#include <filesystem>
#include <string>

namespace dockbend::test {

/// Removed with all its files at the end.
struct TemporaryDirectory {
  TemporaryDirectory() {
    char name[] = "/tmp/dockbend-test-XXXXXX";
    path = ::mkdtemp(name);
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(path); }
  TemporaryDirectory(TemporaryDirectory const&) = delete;

  std::string path;
};

}  // namespace dockbend::test
