// An attempt at work is not broken off for what does not end it: an answer to another request, a server that reads
// late, or a failure of its retry.
#include <criterion/criterion.h>

#include "support/proxy_fixture.hpp"

using namespace dockbend;
using namespace dockbend::test;

namespace {
/// A late attempt and its retry are at work, one at each server; this one's fails, and one attempt is left.
void hedge_and_fail(ProxyFixture& fixture, KeepingServer& failing) {
  fixture.hedge(fixture.second.port);
  fixture.until([&] { return fixture.second.requests.size() == 1; });
  failing.answer(500);
  fixture.until([&] { return fixture.hedged_attempts() == 0; });
}
/// What has come behind a request's head; empty: the head is not complete.
std::string body_received(ScriptedServer const& server) {
  std::string bytes(server.received(), ' ');
  evbuffer_copyout(bufferevent_get_input(server.accepted.back()), bytes.data(), bytes.size());
  std::string const end_of_head = "\r\n\r\n";
  auto const end = bytes.find(end_of_head);
  return end == std::string::npos ? "" : bytes.substr(end + end_of_head.size());
}

/// So much of an answer that states no length has been sent when its connection ends.
std::size_t constexpr kSizesBeforeEnd[] = {0, 1000, 5 << 20};

/// The server's whole answer to the open request: a body of that size, without a length. Its connection is still open.
void send_without_length(ProxyFixture& fixture, ScriptedServer& server, std::size_t size,
                         std::string const& header = "") {
  fixture.until([&] { return server.received() > 0; });
  server.forget_received();
  server.answer_without_length("a1", std::string(size, 'x'), header);
  fixture.until([&] { return server.has_written_all(); });
  fixture.run_for(0.02);
  cr_assert_not(fixture.is_answered, "its body goes on until its connection ends");
}
}  // namespace

// The server is at work on the second request when the answer to the first one comes once more. It was broken off then,
// and the client got 502, for an upload may not be sent again.
Test(attempt_at_work, stray_answer_is_discarded_and_the_next_one_is_waited_for) {
  ProxyFixture fixture;
  ScriptedServer server(fixture.loop);
  fixture.add_server("i-1", server.port);
  fixture.ask(EVHTTP_REQ_POST, "/u/x", "body", "a1");
  fixture.until([&] { return server.received() > 0; });
  server.forget_received();
  server.answer("a1", kBody);
  fixture.expect_answer();

  fixture.ask(EVHTTP_REQ_POST, "/u/x", "body", "a2");
  fixture.until([&] { return server.received() > 0; });
  for (int strays = 0; strays < 3; ++strays) {
    server.answer("a1", "a stray answer");
    fixture.run_for(0.02);
    cr_assert_not(fixture.is_answered);
    cr_assert_not(server.is_closed);
  }
  server.answer("a2", kBody);
  fixture.expect_answer();
  cr_assert_eq(server.accepted.size(), 1u);
  cr_assert_eq(fixture.context.requests.filter().discarded(ResponseRejection::other_id), 3u);
  Endpoint const& endpoint = fixture.context.load_balancer.endpoint(ServerIndex{0});
  cr_assert_eq(endpoint.idle_connections, 0, "a connection with stray answers is not kept");
  cr_assert_eq(endpoint.in_flight, 0);
}

// Stray answer and answer arrive together.
Test(attempt_at_work, answer_right_behind_a_stray_one_is_taken) {
  ProxyFixture fixture;
  ScriptedServer server(fixture.loop);
  fixture.add_server("i-1", server.port);
  fixture.ask(EVHTTP_REQ_POST, "/u/x", "body", "a2");
  fixture.until([&] { return server.received() > 0; });
  server.answer("a1", "a stray answer");
  server.answer("a2", kBody);
  fixture.expect_answer();
}

// A stray answer without the answer that is due: the server closes, and the request is not taken for answered.
Test(attempt_at_work, close_behind_a_stray_answer_ends_the_attempt) {
  ProxyFixture fixture;
  ScriptedServer server(fixture.loop);
  fixture.add_server("i-1", server.port);
  fixture.ask(EVHTTP_REQ_POST, "/u/x", "body", "a2");
  fixture.until([&] { return server.received() > 0; });
  server.answer("a1", "a stray answer");
  fixture.run_for(0.02);
  bufferevent_free(server.accepted.back());
  server.accepted.pop_back();
  fixture.until([&] { return fixture.is_answered; });
  cr_assert_eq(fixture.status, 502);
  cr_assert_eq(fixture.context.requests.size(), 0u);
}

// The server's window is closed for longer than a machine may leave our bytes unacknowledged (0.25 s here). The kernel
// ended the connection then, though the server had acknowledged what it had room for.
Test(attempt_at_work, server_that_reads_late_is_waited_for) {
  ProxyFixture fixture;
  ScriptedServer server(fixture.loop, 4096);
  server.is_reading = false;
  fixture.add_server("i-1", server.port);
  std::string const body(45000, 'b');
  fixture.ask(EVHTTP_REQ_POST, "/p/x", body, "a1");
  fixture.run_for(2.5);
  cr_assert_not(fixture.is_answered, "%d", fixture.status);
  server.read_on();
  fixture.until([&] { return server.received() > body.size(); });
  server.answer("a1", kBody);
  fixture.expect_answer();
}

// The retry's server fails at once, while the first one is at work, which may still succeed.
Test(attempt_at_work, failure_of_the_retry_does_not_end_the_late_attempt) {
  ProxyFixture fixture;
  hedge_and_fail(fixture, fixture.second);
  cr_assert_not(fixture.is_answered);
  fixture.first.answer();
  fixture.expect_answer();
}

// The late attempt fails first.
Test(attempt_at_work, failure_of_the_late_attempt_does_not_end_the_retry) {
  ProxyFixture fixture;
  hedge_and_fail(fixture, fixture.first);
  cr_assert_not(fixture.is_answered);
  fixture.second.answer();
  fixture.expect_answer();
}

// With nothing else at work a failure is the answer, as its server gave it.
Test(attempt_at_work, failure_of_the_last_attempt_is_forwarded) {
  ProxyFixture fixture;
  hedge_and_fail(fixture, fixture.second);
  fixture.first.answer(500);
  fixture.until([&] { return fixture.is_answered; });
  cr_assert_eq(fixture.status, 500);
  cr_assert_str_eq(fixture.body.c_str(), kBody);
}

// They belong to no request: the next one goes out on another connection.
Test(attempt_at_work, bytes_behind_a_whole_answer_end_the_connection) {
  ProxyFixture fixture;
  ScriptedServer server(fixture.loop);
  fixture.add_server("i-1", server.port);
  fixture.ask();
  fixture.until([&] { return server.received() > 0; });
  server.answer("a1", kBody);
  evbuffer_add_printf(bufferevent_get_output(server.accepted.back()), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  fixture.expect_answer();
  fixture.until([&] { return server.is_closed; });
  cr_assert_eq(fixture.context.load_balancer.endpoint(ServerIndex{0}).idle_connections, 0);
}

// A server may answer before it has read a long body, and read on later: it gets the rest of that body, and then the
// next request.
Test(attempt_at_work, early_answer_takes_no_byte_from_the_body) {
  ProxyFixture fixture;
  ScriptedServer server(fixture.loop, 4096);
  server.is_reading = false;
  fixture.add_server("i-1", server.port);
  std::string const body(45000, 'b');
  fixture.ask(EVHTTP_REQ_POST, "/u/x", body, "a1");
  fixture.until([&] { return !server.accepted.empty(); });
  server.answer("a1", kBody);
  fixture.run_for(0.1);
  server.read_on();
  fixture.expect_answer();
  fixture.until([&] { return body_received(server).size() >= body.size(); });
  fixture.run_for(0.02);
  cr_assert(body_received(server) == body, "the body is whole, and nothing is behind it");
  server.forget_received();

  fixture.ask(EVHTTP_REQ_POST, "/u/x", "next", "a2");
  fixture.until([&] { return !body_received(server).empty(); });
  fixture.run_for(0.02);
  cr_assert(body_received(server) == "next");
  server.answer("a2", kBody);
  fixture.expect_answer();
}

// Failure: answers that state no length and end with their connection were never delivered. Uploads got 502 though they
// had run; requests that may be repeated ran again and again.
Test(attempt_at_work, answer_that_ends_with_its_connection_is_delivered_whole) {
  for (bool const is_upload : {false, true}) {
    for (std::size_t const size : kSizesBeforeEnd) {
      for (char const* const header : {"", "Connection: close", "Connection: keep-alive"}) {
        ProxyFixture fixture;
        ScriptedServer server(fixture.loop);
        fixture.add_server("i-1", server.port);
        fixture.ask(is_upload ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, is_upload ? "/u/x" : "/p/x", is_upload ? "body" : "");
        send_without_length(fixture, server, size, header);
        server.close();
        fixture.until([&] { return fixture.is_answered; });
        cr_assert_eq(fixture.status, 200, "%zu bytes, '%s': %d", size, header, fixture.status);
        cr_assert(fixture.body == std::string(size, 'x'), "%zu of %zu bytes", fixture.body.size(), size);
        Endpoint const& endpoint = fixture.context.load_balancer.endpoint(ServerIndex{0});
        cr_assert_eq(endpoint.idle_connections, 0);
        cr_assert_eq(endpoint.in_flight, 0);
      }
    }
  }
}

// A reset cuts the answer short: where it may be repeated it is, and an upload is not passed for answered.
Test(attempt_at_work, answer_without_a_length_that_is_reset_is_not_whole) {
  for (std::size_t const size : kSizesBeforeEnd) {
    ProxyFixture fixture;
    ScriptedServer server(fixture.loop);
    fixture.add_server("i-1", server.port);
    fixture.ask();
    send_without_length(fixture, server, size);
    fixture.add_server("i-2", fixture.second.port);
    server.reset();
    fixture.until([&] { return !fixture.second.requests.empty(); });
    fixture.second.answer();
    fixture.expect_answer();
  }
  for (std::size_t const size : kSizesBeforeEnd) {
    ProxyFixture fixture;
    ScriptedServer server(fixture.loop);
    fixture.add_server("i-1", server.port);
    fixture.ask(EVHTTP_REQ_POST, "/u/x", "body");
    send_without_length(fixture, server, size);
    server.reset();
    fixture.until([&] { return fixture.is_answered; });
    cr_assert_eq(fixture.status, 502);
  }
}

// The answer to a HEAD has no body, whatever its head says: its connection need not end, and may carry another request.
Test(attempt_at_work, answer_to_a_head_request_needs_no_length) {
  ProxyFixture fixture;
  ScriptedServer server(fixture.loop);
  fixture.add_server("i-1", server.port);
  for (int i = 0; i < 2; ++i) {
    fixture.ask(EVHTTP_REQ_HEAD);
    fixture.until([&] { return server.received() > 0; });
    server.forget_received();
    server.answer_without_length("a1", "");
    fixture.until([&] { return fixture.is_answered; });
    cr_assert_eq(fixture.status, 200);
  }
  cr_assert_eq(server.accepted.size(), 1u);
}

// A body in chunks ends with its last chunk: a close before that cuts it short.
Test(attempt_at_work, answer_in_chunks_does_not_end_with_its_connection) {
  ProxyFixture fixture;
  ScriptedServer server(fixture.loop);
  fixture.add_server("i-1", server.port);
  fixture.ask(EVHTTP_REQ_POST, "/u/x", "body");
  fixture.until([&] { return server.received() > 0; });
  server.answer_without_length("a1", "5\r\nchunk\r\n", "Transfer-Encoding: chunked\r\nConnection: close");
  fixture.until([&] { return server.has_written_all(); });
  server.close();
  fixture.until([&] { return fixture.is_answered; });
  cr_assert_eq(fixture.status, 502);
}
