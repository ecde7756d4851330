// Golden files: what is on the wire and on disk, kept under tests/golden/ and compared byte for byte.
// With DOCKBEND_WRITE_GOLDEN=1 in the environment a test writes its files instead of comparing them;
// a file that is missing is a failure otherwise. Labels in the files are numbers or neutral words, so
// that a C++ name may change while its golden file stays.
#pragma once
#include <criterion/criterion.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "base/types.hpp"

namespace dockbend::test {

inline bool writes_golden() {
  char const* const value = std::getenv("DOCKBEND_WRITE_GOLDEN");
  return value != nullptr && std::string(value) == "1";
}
inline std::string golden_path(std::string const& name) {
  return std::string(DOCKBEND_GOLDEN_DIR) + "/" + name;
}

inline std::string to_hex(std::string_view bytes) {
  static char const digits[] = "0123456789abcdef";
  std::string text;
  for (char const byte : bytes) {
    text += digits[static_cast<u8>(byte) >> 4];
    text += digits[static_cast<u8>(byte) & 15];
  }
  return text;
}
inline std::string from_hex(std::string const& text) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16));
  }
  return bytes;
}

// One golden file of lines "label value". Each label is checked once; finish() fails for a label of
// the file that was not checked.
class GoldenFile {
 public:
  explicit GoldenFile(std::string const& name) : path_(golden_path(name)) {
    if (writes_golden()) return;
    std::ifstream in(path_);
    cr_assert(in.good(), "golden file is missing: %s", path_.c_str());
    for (std::string line; std::getline(in, line);) {
      std::size_t const space = line.find(' ');
      std::string const label = line.substr(0, space);
      std::string const value = space == std::string::npos ? std::string() : line.substr(space + 1);
      cr_assert(expected_.emplace(label, value).second, "label %s stands twice in %s", label.c_str(), path_.c_str());
    }
  }
  // Compares the value with the file's. Returns the value of the file.
  std::string check(std::string const& label, std::string const& value) {
    cr_assert(value.find('\n') == std::string::npos, "%s: a golden value is one line", label.c_str());
    cr_assert(seen_.emplace(label, value).second, "label %s was checked twice", label.c_str());
    written_ += value.empty() ? label + "\n" : label + " " + value + "\n";
    if (writes_golden()) return value;
    auto const found = expected_.find(label);
    cr_expect(found != expected_.end(), "%s has no label %s", path_.c_str(), label.c_str());
    if (found == expected_.end()) return value;
    cr_expect(found->second == value, "%s, label %s:\n  golden %s\n  now    %s", path_.c_str(), label.c_str(),
              found->second.c_str(), value.c_str());
    return found->second;
  }
  void finish() {
    if (writes_golden()) {
      std::ofstream(path_) << written_;
      return;
    }
    for (auto const& [label, value] : expected_) {
      cr_expect(seen_.count(label) == 1, "label %s of %s was not checked", label.c_str(), path_.c_str());
    }
  }

 private:
  std::string path_, written_;
  std::map<std::string, std::string> expected_, seen_;
};

}  // namespace dockbend::test
