/// Writes every answer that a client gets: the proxy's own, a server's, and a stored one.
#pragma once
#include <string>

#include "idempotency/proxy_messages.hpp"
#include "proxy/drain_status.hpp"
#include "proxy/proxied_request.hpp"
#include "proxy/response_flush_tracker.hpp"

namespace dockbend {

/// The only place that answers a client's request. It does not end requests: callers do that next.
class ResponseWriter {
 public:
  ResponseWriter(DrainStatus const& drain, ResponseFlushTracker& flushes) : drain_(drain), flushes_(flushes) {}

  /// An answer of the proxy's own. attempt_id: empty if the client named none.
  void write_local_reply(evhttp_request* client_request, LocalReply const& reply, std::string const& attempt_id) const;
  /// A server's complete answer, passed on unchanged but for headers of one hop. body is drained.
  void forward(ProxiedRequest& request, evhttp_request* upstream_request, UpstreamResponse const& response,
               evbuffer* body) const;
  /// The answer that an earlier request with the same key got, under this request's attempt id.
  void write_stored_answer(ProxiedRequest& request, StoredAnswer const& answer) const;

 private:
  void close_if_draining(evkeyvalq* headers) const;
  void send(evhttp_request* client_request, int status, char const* reason, evbuffer* body) const;
  DrainStatus const& drain_;
  ResponseFlushTracker& flushes_;
};

/// The answer as it is kept for repeats of its key. body is copied, not drained.
StoredAnswer make_stored_answer(ProxiedRequest const& request, evhttp_request* upstream_request,
                                UpstreamResponse const& response, evbuffer* body);

}  // namespace dockbend
