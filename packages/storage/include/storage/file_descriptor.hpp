/// Owner of a file descriptor.
#pragma once
#include <unistd.h>

#include <utility>

namespace dockbend {

/// Closes its descriptor. -1: none.
class FileDescriptor {
 public:
  explicit FileDescriptor(int descriptor = -1) : descriptor_(descriptor) {}
  ~FileDescriptor() { reset(); }
  FileDescriptor(FileDescriptor&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    if (this != &other) {
      reset();
      descriptor_ = std::exchange(other.descriptor_, -1);
    }
    return *this;
  }
  FileDescriptor(FileDescriptor const&) = delete;
  FileDescriptor& operator=(FileDescriptor const&) = delete;

  int get() const { return descriptor_; }
  bool is_open() const { return descriptor_ >= 0; }

 private:
  void reset() {
    if (is_open()) ::close(descriptor_);
    descriptor_ = -1;
  }
  int descriptor_;
};

}  // namespace dockbend
