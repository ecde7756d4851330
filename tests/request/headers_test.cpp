#include <criterion/criterion.h>

#include "request/headers.hpp"
#include "request/slab.hpp"

using namespace dockbend;

namespace {
UpstreamResponse good() {
  return UpstreamResponse{200, {{"Content-Length", "4"}, {"X-Attempt-Id", "a1"}, {"X-Server-Seal", "s"}}, 4};
}
}  // namespace

Test(errand, whole_answer_of_this_errand_passes) {
  cr_assert(judge(good(), "a1") == AttemptResult::whole);
}

// One header or figure of a good answer is spoiled at a time.
Test(errand, each_spoiled_answer_is_seen) {
  auto with = [](auto f) {
    UpstreamResponse r = good();
    f(r);
    return judge(r, "a1");
  };
  cr_assert(with([](UpstreamResponse& r) { r.heads[1].second = "a2"; }) == AttemptResult::broken,
            "another errand's answer");
  cr_assert(with([](UpstreamResponse& r) { r.heads.erase(r.heads.begin() + 1); }) == AttemptResult::broken, "no id");
  cr_assert(with([](UpstreamResponse& r) { r.heads.pop_back(); }) == AttemptResult::broken, "no seal");
  cr_assert(with([](UpstreamResponse& r) { r.heads.erase(r.heads.begin()); }) == AttemptResult::broken, "unframed");
  cr_assert(with([](UpstreamResponse& r) { r.body = 3; }) == AttemptResult::broken, "ends early");
  cr_assert(with([](UpstreamResponse& r) { r.heads.emplace_back("Content-Length", "4"); }) == AttemptResult::broken,
            "two lengths");
  cr_assert(
      with([](UpstreamResponse& r) { r.heads.emplace_back("Transfer-Encoding", "chunked"); }) == AttemptResult::broken,
      "length and coding");
  cr_assert(with([](UpstreamResponse& r) { r.heads[0].second = "4x"; }) == AttemptResult::broken, "no number");
  for (int const c : {429, 503, 408})
    cr_assert(with([c](UpstreamResponse& r) { r.code = c; }) == AttemptResult::broken,
              "%d without X-Not-Run promises nothing", c);
  cr_assert(with([](UpstreamResponse& r) { r.code = 503, r.heads.emplace_back("X-Not-Run", "1"); }) ==
            AttemptResult::not_run);
  cr_assert(with([](UpstreamResponse& r) {
              r.code = 503, r.heads[1].second = "a2", r.heads.emplace_back("X-Not-Run", "1");
            }) == AttemptResult::broken,
            "a refusal of another errand proves nothing of this one");
  cr_assert(with([](UpstreamResponse& r) { r.heads.emplace_back("X-Attempt-Id", "a2"); }) == AttemptResult::broken,
            "two ids");
  for (int const c : {503, 421, 400})
    cr_assert(with([c](UpstreamResponse& r) {
                r.code = c, r.heads.erase(r.heads.begin() + 1), r.heads.emplace_back("X-Not-Run", "1");
              }) == AttemptResult::broken,
              "a refusal without an id, %d, may be of an earlier request", c);
  cr_assert(with([](UpstreamResponse& r) { r.heads.emplace_back("X-Not-Run", "1"); }) == AttemptResult::broken,
            "a success that says it has not run");
  cr_assert(with([](UpstreamResponse& r) { r.head = true, r.body = 0; }) == AttemptResult::whole,
            "an answer to a HEAD has no body");
  cr_assert(with([](UpstreamResponse& r) { r.code = 421; }) == AttemptResult::misdirected);
  cr_assert(with([](UpstreamResponse& r) { r.code = 500; }) == AttemptResult::whole);
  cr_assert_not(surely_not_run(AttemptResult::broken) || surely_not_run(AttemptResult::silent) ||
                surely_not_run(AttemptResult::whole));
}

Test(errand, what_a_fence_drops_is_counted_by_cause) {
  UpstreamResponse r = good();
  r.heads[1].second = "a2";
  ResponseFilter f;
  f.drop(*examine(r, "a1").why);
  f.drop(ResponseRejection::late_answer);
  f.drop(ResponseRejection::late_answer);
  std::string const said = f.since();
  cr_assert_str_eq(said.c_str(), "other id 1, late answer 2");
  cr_assert(f.since().empty());
  cr_assert_eq(f.dropped(ResponseRejection::late_answer), 2u);
  cr_assert_not(examine(good(), "a1").why.has_value());
}

Test(errand, ambiguous_framing_of_a_request) {
  u64 n = 0;
  cr_assert(framing_of({{"Content-Length", "5"}}, n) == BodyFraming::length && n == 5);
  cr_assert(framing_of({{"content-length", "5"}, {"Content-Length", "5"}}, n) == BodyFraming::ambiguous);
  cr_assert(framing_of({{"Content-Length", "5"}, {"Transfer-Encoding", "chunked"}}, n) == BodyFraming::ambiguous);
  cr_assert(framing_of({{"Transfer-Encoding", "gzip, chunked"}}, n) == BodyFraming::ambiguous);
  cr_assert(framing_of({{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "chunked"}}, n) ==
            BodyFraming::ambiguous);
  cr_assert(framing_of({{"Content-Length", "+5"}}, n) == BodyFraming::ambiguous);
  cr_assert(framing_of({{"Content-Length", ""}}, n) == BodyFraming::ambiguous);
  cr_assert(framing_of({{"Content-Length", "9999999999999999"}}, n) == BodyFraming::ambiguous);
  cr_assert(framing_of({}, n) == BodyFraming::none);
}

Test(errand, an_old_handle_finds_nothing) {
  Slab<int> s;
  auto const a = s.add(std::make_unique<int>(1));
  s.drop(a);
  auto const b = s.add(std::make_unique<int>(2));
  cr_assert_eq(a.ix, b.ix);
  cr_assert(s.get(a) == nullptr);
  cr_assert_eq(*s.get(Slab<int>::Handle::of(b.ptr())), 2);
  s.drop(a);
  cr_assert_eq(s.size(), 1u);
}
