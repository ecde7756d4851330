#include <criterion/criterion.h>

#include "request/headers.hpp"
#include "request/request_table.hpp"
#include "request/slab.hpp"

using namespace dockbend;

namespace {
UpstreamResponse good() {
  return UpstreamResponse{200, {{"Content-Length", "4"}, {"X-Attempt-Id", "a1"}, {"X-Server-Seal", "s"}}, 4};
}
}  // namespace

Test(headers, a_complete_response_to_this_request_passes) {
  cr_assert(check_response(good(), "a1").result == AttemptResult::complete);
}

// Given a good response of which one header or figure at a time is spoiled.
Test(headers, each_spoiled_response_is_recognized) {
  auto with = [](auto f) {
    UpstreamResponse r = good();
    f(r);
    return check_response(r, "a1").result;
  };
  cr_assert(with([](UpstreamResponse& r) { r.headers[1].second = "a2"; }) == AttemptResult::broken,
            "another request's response");
  cr_assert(with([](UpstreamResponse& r) { r.headers.erase(r.headers.begin() + 1); }) == AttemptResult::broken,
            "no id");
  cr_assert(with([](UpstreamResponse& r) { r.headers.pop_back(); }) == AttemptResult::broken, "no seal");
  cr_assert(with([](UpstreamResponse& r) {
              r.headers[0] = {"Transfer-Encoding", "gzip"};
            }) == AttemptResult::broken,
            "a coding that hides its end");
  cr_assert(with([](UpstreamResponse& r) { r.body_bytes = 3; }) == AttemptResult::broken, "ends early");
  cr_assert(with([](UpstreamResponse& r) { r.headers.emplace_back("Content-Length", "4"); }) == AttemptResult::broken,
            "two lengths");
  cr_assert(with([](UpstreamResponse& r) { r.headers.emplace_back("Transfer-Encoding", "chunked"); }) ==
                AttemptResult::broken,
            "length and coding");
  cr_assert(with([](UpstreamResponse& r) { r.headers[0].second = "4x"; }) == AttemptResult::broken, "no number");
  for (int const c : {429, 503, 408})
    cr_assert(with([c](UpstreamResponse& r) { r.status = c; }) == AttemptResult::broken,
              "%d without X-Not-Run promises nothing", c);
  cr_assert(with([](UpstreamResponse& r) { r.status = 503, r.headers.emplace_back("X-Not-Run", "1"); }) ==
            AttemptResult::not_run);
  cr_assert(with([](UpstreamResponse& r) {
              r.status = 503, r.headers[1].second = "a2", r.headers.emplace_back("X-Not-Run", "1");
            }) == AttemptResult::broken,
            "a refusal of another request proves nothing of this one");
  cr_assert(with([](UpstreamResponse& r) { r.headers.emplace_back("X-Attempt-Id", "a2"); }) == AttemptResult::broken,
            "two ids");
  for (int const c : {503, 421, 400})
    cr_assert(with([c](UpstreamResponse& r) {
                r.status = c, r.headers.erase(r.headers.begin() + 1), r.headers.emplace_back("X-Not-Run", "1");
              }) == AttemptResult::broken,
              "a refusal without an id, %d, may be of an earlier request", c);
  cr_assert(with([](UpstreamResponse& r) { r.headers.emplace_back("X-Not-Run", "1"); }) == AttemptResult::broken,
            "a success that says it has not run");
  cr_assert(
      with([](UpstreamResponse& r) { r.answers_head_request = true, r.body_bytes = 0; }) == AttemptResult::complete,
      "an answer to a HEAD has no body");
  cr_assert(with([](UpstreamResponse& r) { r.status = 421; }) == AttemptResult::misdirected);
  cr_assert(with([](UpstreamResponse& r) { r.status = 500; }) == AttemptResult::complete);
  cr_assert_not(proves_not_run(AttemptResult::broken) || proves_not_run(AttemptResult::silent) ||
                proves_not_run(AttemptResult::complete));
}

// Without a length and a coding the body ends with the connection, unless there is none.
Test(headers, body_without_a_frame_ends_with_its_connection) {
  UpstreamResponse response = good();
  cr_assert_not(ends_with_connection(response));
  response.headers.erase(response.headers.begin());
  cr_assert(ends_with_connection(response));
  cr_assert(check_response(response, "a1").result == AttemptResult::complete);
  response.headers.emplace_back("Transfer-Encoding", "chunked");
  cr_assert_not(ends_with_connection(response));
  response.headers.pop_back();
  for (int const status : {204, 304}) {
    response.status = status;
    cr_assert_not(ends_with_connection(response));
  }
  response.status = 200;
  response.answers_head_request = true;
  cr_assert_not(ends_with_connection(response));
}

Test(response_filter, discards_are_counted_by_cause) {
  UpstreamResponse r = good();
  r.headers[1].second = "a2";
  ResponseFilter f;
  f.count_discard(*check_response(r, "a1").rejection);
  f.count_discard(ResponseRejection::late_answer);
  f.count_discard(ResponseRejection::late_answer);
  std::string const said = f.summary_since_last();
  cr_assert_str_eq(said.c_str(), "other id 1, late answer 2");
  cr_assert(f.summary_since_last().empty());
  cr_assert_eq(f.discarded(ResponseRejection::late_answer), 2u);
  cr_assert_not(check_response(good(), "a1").rejection.has_value());
}

Test(headers, ambiguous_framing_is_recognized) {
  u64 n = 0;
  cr_assert(body_framing({{"Content-Length", "5"}}, n) == BodyFraming::length && n == 5);
  cr_assert(body_framing({{"content-length", "5"}, {"Content-Length", "5"}}, n) == BodyFraming::ambiguous);
  cr_assert(body_framing({{"Content-Length", "5"}, {"Transfer-Encoding", "chunked"}}, n) == BodyFraming::ambiguous);
  cr_assert(body_framing({{"Transfer-Encoding", "gzip, chunked"}}, n) == BodyFraming::ambiguous);
  cr_assert(body_framing({{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "chunked"}}, n) ==
            BodyFraming::ambiguous);
  cr_assert(body_framing({{"Content-Length", "+5"}}, n) == BodyFraming::ambiguous);
  cr_assert(body_framing({{"Content-Length", ""}}, n) == BodyFraming::ambiguous);
  cr_assert(body_framing({{"Content-Length", "9999999999999999"}}, n) == BodyFraming::ambiguous);
  cr_assert(body_framing({}, n) == BodyFraming::none);
}

Test(slab, a_handle_of_an_erased_object_finds_nothing) {
  Slab<int> s;
  auto const a = s.insert(std::make_unique<int>(1));
  s.erase(a);
  auto const b = s.insert(std::make_unique<int>(2));
  cr_assert_eq(a.index, b.index);
  cr_assert(s.find(a) == nullptr);
  cr_assert_eq(*s.find(Slab<int>::Handle::from_pointer(b.to_pointer())), 2);
  s.erase(a);
  cr_assert_eq(s.size(), 1u);
}

namespace {
struct TableEntry {
  RequestTable<TableEntry>::Handle handle;
  u32 key_request_tag = 0;
  int const* connection = nullptr;
  bool has_attempt_on(int const* other) const { return other == connection; }
};
}  // namespace

// The connection of an attempt that was given up may still bring its answer, while another attempt is at work.
Test(request_table, answer_on_another_connection_belongs_to_no_attempt) {
  RequestTable<TableEntry> table;
  int const first = 0, second = 0;
  auto entry = std::make_unique<TableEntry>();
  entry->connection = &second;
  TableEntry& open = table.open(std::move(entry));
  cr_assert_eq(table.find_attempt(open.handle, &second), &open);
  cr_assert_null(table.find_attempt(open.handle, &first));
  cr_assert_eq(table.filter().discarded(ResponseRejection::late_answer), 1u);
}
