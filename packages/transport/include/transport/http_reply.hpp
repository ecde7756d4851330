/// Answers of an HTTP server: what follows the head is what the head says, and nothing else.
#pragma once
#include <event2/buffer.h>
#include <event2/http.h>

namespace dockbend {

/// May an answer to this method with this status have a body (RFC 9110, 6.4.1)?
bool may_have_body(evhttp_cmd_type method, int status);

/// Hands an answer to libevent; nothing else calls evhttp_send_reply. `body`, null for none, is drained, and left out
/// where an answer may have none: libevent would write it all the same. The request is libevent's again afterwards.
void send_reply(evhttp_request* request, int status, char const* reason, evbuffer* body);

/// libevent answers a request that it can't read or does not allow by itself, and writes a page behind the head even if
/// the head states no length, as in an answer to HEAD. Holds the server's connections to what their heads say. To be
/// called before the server listens; not for a server that has its own evhttp_set_bevcb.
void trim_own_replies_of(evhttp* server);

/// The same for one connection: drops what follows the last head in `output` if that states no length. To be called
/// whenever bytes were added to the output while no answer of ours is written.
void trim_own_reply(evbuffer* output);

}  // namespace dockbend
