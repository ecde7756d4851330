/// A table of objects whose handles name a slot and the slot's generation: a handle of an earlier object in the same
/// slot finds nothing. No I/O.
#pragma once
#include <memory>
#include <vector>

#include "base/types.hpp"

namespace dockbend {

/// The rule by which a handle fits a slot. Tests put a fault in its place.
struct Generations {
  static bool same(u32 a, u32 b) { return a == b; }
};

/// Owns its objects. Insertion, lookup and removal take constant time.
template <class T, class GenerationRule = Generations>
class Slab {
 public:
  /// Fits in a pointer, so that libevent's callbacks can carry one.
  struct Handle {
    u32 index = 0, generation = 0;
    void* to_pointer() const {
      return reinterpret_cast<void*>(static_cast<std::uintptr_t>(static_cast<u64>(generation) << 32 | index));
    }
    static Handle from_pointer(void* pointer) {
      u64 const bits = reinterpret_cast<std::uintptr_t>(pointer);
      return {static_cast<u32>(bits), static_cast<u32>(bits >> 32)};
    }
  };
  Handle insert(std::unique_ptr<T> object) {
    u32 index = 0;
    if (!free_.empty()) {
      index = free_.back();
      free_.pop_back();
    } else {
      index = static_cast<u32>(slots_.size());
      slots_.push_back(Slot{});
    }
    slots_[index].object = std::move(object);
    ++size_;
    return {index, slots_[index].generation};
  }
  /// Null if the handle's object was erased.
  T* find(Handle handle) {
    bool const fits =
        handle.index < slots_.size() && GenerationRule::same(slots_[handle.index].generation, handle.generation);
    return fits ? slots_[handle.index].object.get() : nullptr;
  }
  void erase(Handle handle) {
    if (find(handle) == nullptr) return;
    slots_[handle.index].object.reset();
    ++slots_[handle.index].generation;
    free_.push_back(handle.index);
    --size_;
  }
  std::size_t size() const { return size_; }
  /// Calls visit(object) for each, in the order of the slots.
  template <class Visit>
  void for_each(Visit visit) const {
    for (Slot const& slot : slots_)
      if (slot.object) visit(*slot.object);
  }

 private:
  struct Slot {
    std::unique_ptr<T> object;
    u32 generation = 1;
  };
  std::vector<Slot> slots_;
  std::vector<u32> free_;  // indices of slots without an object
  std::size_t size_ = 0;
};

}  // namespace dockbend
