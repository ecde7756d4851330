// The requests in hand, and whose answer it is that came: a server's by the slot's
// generation and the channel it came on, the agent's by its tag. No I/O.
#pragma once
#include <unordered_map>
#include <utility>

#include "request/response_filter.hpp"
#include "request/slab.hpp"

namespace dockbend {

// T has handle (its own), key_request_tag (of its ask for a claim, 0: none open) and connection (of its
// attempt, null: none). Invariants: a tag is used once and answered once; no tag is left of
// a request that was closed; what is nobody's any more is counted and dropped.
template <class T, class Turns = Generations>
class RequestTable {
 public:
  using Handle = typename Slab<T, Turns>::Handle;

  T& open(std::unique_ptr<T> x) {
    T& t = *x;
    t.handle = slab_.add(std::move(x));
    return t;
  }
  void close(T& t) {
    if (t.key_request_tag != 0) asks_.erase(t.key_request_tag);
    slab_.drop(t.handle);
  }
  T* find(Handle h) { return slab_.get(h); }
  // Whose attempt this channel, taken for owner, carries; null: nobody's any more.
  template <class C>
  T* on(Handle owner, C const* chan) {
    T* const t = slab_.get(owner);
    if (t != nullptr && t->connection == chan) return t;
    fence_.drop(ResponseRejection::late_answer);
    return nullptr;
  }
  u32 ask(T& t) {
    t.key_request_tag = ++next_;
    asks_[t.key_request_tag] = t.handle;
    return t.key_request_tag;
  }
  T* asked(u32 tag) {
    return asked(tag, [](T const&) { return true; });
  }
  // mine: is what came the answer to this one's ask? If not, the ask stays open.
  template <class P>
  T* asked(u32 tag, P mine) {
    auto const it = asks_.find(tag);
    T* const t = it == asks_.end() ? nullptr : slab_.get(it->second);
    if (t != nullptr && !mine(*t)) {
      fence_.drop(ResponseRejection::late_claim);
      return nullptr;
    }
    if (it != asks_.end()) asks_.erase(it);
    if (t == nullptr || t->key_request_tag != tag) {
      fence_.drop(ResponseRejection::late_claim);
      return nullptr;
    }
    t->key_request_tag = 0;
    return t;
  }
  // No open ask will be answered any more.
  template <class F>
  void agent_gone(F f) {
    std::unordered_map<u32, Handle> l;
    l.swap(asks_);
    for (auto const& [tag, h] : l)
      if (T* const t = slab_.get(h); t != nullptr && t->key_request_tag == tag) {
        t->key_request_tag = 0;
        f(*t);
      }
  }
  std::size_t size() const { return slab_.size(); }
  std::size_t asks() const { return asks_.size(); }
  template <class F>
  void each(F f) const {
    slab_.each(f);
  }
  ResponseFilter& fence() { return fence_; }

 private:
  Slab<T, Turns> slab_;
  std::unordered_map<u32, Handle> asks_;
  ResponseFilter fence_;
  u32 next_ = 0;
};

}  // namespace dockbend
