/// The requests in flight, and which of them an arriving answer belongs to: a server's by the slot's generation and the
/// connection that it came on, the agent's by its tag. No I/O.
#pragma once
#include <unordered_map>
#include <utility>

#include "request/response_filter.hpp"
#include "request/slab.hpp"

namespace dockbend {

/// T has `handle` (its own), `key_request_tag` (of its open request for its key; 0: none is open) and
/// `has_attempt_on(connection)`: is one of its attempts at work there? Invariants: a tag is used once and answered
/// once; no tag is left of a request that was closed; an answer that belongs to no request is counted and discarded.
template <class T, class GenerationRule = Generations>
class RequestTable {
 public:
  using Handle = typename Slab<T, GenerationRule>::Handle;

  T& open(std::unique_ptr<T> request) {
    T& opened = *request;
    opened.handle = slab_.insert(std::move(request));
    return opened;
  }
  /// Destroys the request.
  void close(T& request) {
    if (request.key_request_tag != 0) key_requests_.erase(request.key_request_tag);
    slab_.erase(request.handle);
  }
  /// Null if it was closed.
  T* find(Handle handle) { return slab_.find(handle); }

  /// The request whose attempt this connection, taken for owner, carries; null: none any more.
  template <class C>
  T* find_attempt(Handle owner, C const* connection) {
    T* const request = slab_.find(owner);
    if (request != nullptr && request->has_attempt_on(connection)) return request;
    filter_.count_discard(ResponseRejection::late_answer);
    return nullptr;
  }

  /// Opens a request to the agent for the request's key, and returns its tag.
  u32 open_key_request(T& request) {
    request.key_request_tag = ++last_tag_;
    key_requests_[request.key_request_tag] = request.handle;
    return request.key_request_tag;
  }
  /// The request that the agent's answer with this tag belongs to; its key request is closed. Null: none any more.
  T* close_key_request(u32 tag) {
    return close_key_request(tag, [](T const&) { return true; });
  }
  /// belongs: does the answer belong to this request? If not, its key request stays open.
  template <class Belongs>
  T* close_key_request(u32 tag, Belongs belongs) {
    auto const it = key_requests_.find(tag);
    T* const request = it == key_requests_.end() ? nullptr : slab_.find(it->second);
    if (request != nullptr && !belongs(*request)) {
      filter_.count_discard(ResponseRejection::late_claim);
      return nullptr;
    }
    if (it != key_requests_.end()) key_requests_.erase(it);
    if (request == nullptr || request->key_request_tag != tag) {
      filter_.count_discard(ResponseRejection::late_claim);
      return nullptr;
    }
    request->key_request_tag = 0;
    return request;
  }
  /// No open key request will be answered any more: closes each and calls visit(request), which may close the request.
  template <class Visit>
  void close_all_key_requests(Visit visit) {
    std::unordered_map<u32, Handle> closed;
    closed.swap(key_requests_);
    for (auto const& [tag, handle] : closed)
      if (T* const request = slab_.find(handle); request != nullptr && request->key_request_tag == tag) {
        request->key_request_tag = 0;
        visit(*request);
      }
  }

  std::size_t size() const { return slab_.size(); }
  std::size_t open_key_requests() const { return key_requests_.size(); }
  template <class Visit>
  void for_each(Visit visit) const {
    slab_.for_each(visit);
  }
  ResponseFilter& filter() { return filter_; }

 private:
  Slab<T, GenerationRule> slab_;
  std::unordered_map<u32, Handle> key_requests_;  // open ones, by tag
  ResponseFilter filter_;
  u32 last_tag_ = 0;
};

}  // namespace dockbend
