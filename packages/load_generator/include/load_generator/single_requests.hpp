/// \file
/// HTTP requests that are sent now and then, each on a connection of its own.
#pragma once
#include <event2/http.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "settings/settings.hpp"
#include "transport/event_owners.hpp"

namespace dockbend {

/// Frees connections from the event loop, because none may be freed in the callback of its own request.
class RetiredConnections {
 public:
  explicit RetiredConnections(event_base* loop) : loop_(loop) {}
  RetiredConnections(RetiredConnections const&) = delete;
  RetiredConnections& operator=(RetiredConnections const&) = delete;

  /// Takes the connection over and frees it at the next turn of the loop, or with this object if that is earlier.
  void retire(HttpConnectionOwner connection);

 private:
  event_base* loop_;
  std::shared_ptr<std::vector<HttpConnectionOwner>> connections_ = std::make_shared<std::vector<HttpConnectionOwner>>();
};

/// What one request says beside its Host header.
struct SingleRequest {
  evhttp_cmd_type method = EVHTTP_REQ_GET;
  std::string path;
  std::string json_body;  // empty: no body and no Content-Type
};

/// Sends single requests and owns their connections. Each waits for its answer for at most a second.
class SingleRequests {
 public:
  /// Takes an answer, or null if there is none. libevent frees it afterwards.
  using AnswerHandler = std::function<void(evhttp_request*)>;

  explicit SingleRequests(event_base* loop) : loop_(loop), retired_(loop) {}
  SingleRequests(SingleRequests const&) = delete;
  SingleRequests& operator=(SingleRequests const&) = delete;
  /// Requests under way are given up; their handlers are not called.
  ~SingleRequests();

  void send(Address const& target, SingleRequest const& request, AnswerHandler on_answer);

 private:
  struct Pending {
    SingleRequests* owner = nullptr;
    HttpConnectionOwner connection;
    AnswerHandler on_answer;
  };
  void on_answer(Pending* pending, evhttp_request* answer);

  event_base* loop_;
  RetiredConnections retired_;
  std::map<Pending*, std::unique_ptr<Pending>> pending_;
  bool is_closing_ = false;  // while the destructor frees connections, which may call back
};

}  // namespace dockbend
