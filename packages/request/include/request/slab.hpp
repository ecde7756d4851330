// Continuations in a slab: a handle names a slot and its generation (turn), and a handle
// of an earlier one finds nothing.
#pragma once
#include <memory>
#include <vector>

#include "base/types.hpp"

namespace dockbend {

struct Generations {
  static bool same(u32 a, u32 b) { return a == b; }
};

template <class T, class Turns = Generations>
class Slab {
 public:
  struct Handle {
    u32 ix = 0, turn = 0;
    void* ptr() const {
      return reinterpret_cast<void*>(static_cast<std::uintptr_t>(static_cast<u64>(turn) << 32 | ix));
    }
    static Handle of(void* p) {
      u64 const v = reinterpret_cast<std::uintptr_t>(p);
      return {static_cast<u32>(v), static_cast<u32>(v >> 32)};
    }
  };
  Handle add(std::unique_ptr<T> x) {
    u32 i = 0;
    if (!free_.empty()) {
      i = free_.back();
      free_.pop_back();
    } else {
      i = static_cast<u32>(v_.size());
      v_.push_back(Place{});
    }
    v_[i].x = std::move(x);
    ++n_;
    return {i, v_[i].turn};
  }
  T* get(Handle h) { return h.ix < v_.size() && Turns::same(v_[h.ix].turn, h.turn) ? v_[h.ix].x.get() : nullptr; }
  void drop(Handle h) {
    if (get(h) == nullptr) return;
    v_[h.ix].x.reset();
    ++v_[h.ix].turn;
    free_.push_back(h.ix);
    --n_;
  }
  std::size_t size() const { return n_; }
  template <class F>
  void each(F f) const {
    for (Place const& p : v_)
      if (p.x) f(*p.x);
  }

 private:
  struct Place {
    std::unique_ptr<T> x;
    u32 turn = 1;
  };
  std::vector<Place> v_;
  std::vector<u32> free_;
  std::size_t n_ = 0;
};

}  // namespace dockbend
